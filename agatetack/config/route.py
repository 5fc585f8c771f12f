"""Define a route: which requests it matches and how they may be handled."""

import abc
import dataclasses
import enum
from collections.abc import Sequence

from agatetack.ids import LogOffset, Region, RouteId, ServiceId, TeamId


class RequestClass(enum.Enum):
    """How the requests of a route may be handled."""

    FAST = "fast"
    ONCE = "once"
    WHOLE = "whole"
    DEFERRED = "deferred"


@dataclasses.dataclass(frozen=True, slots=True)
class SplitPart:
    """One service that gets a share of a route's requests.

    Attributes:
        service: The service whose targets run them.
        weight: Its share, relative to the sum of all weights.
    """

    service: ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One accepted route.

    Attributes:
        id: Chosen by the operator.
        team: The team that owns it.
        service: The service whose targets run the requests.
        request_class: How the requests may be handled.
        path_prefix: Prefix of the paths that it matches; `/` matches all.
        host: Host header that it matches, in lower case, or "" for any.
        deadline_seconds: Deadline of requests that do not specify one.
        max_body_bytes: Maximum size of a request body.
        requests_per_second: Rate limit for the whole fleet, or 0 for none.
        max_queue: Maximum number of requests waiting in one process, or 0 to
            use the setting.
        version: The log offset of its record; it never decreases on a host.
        timeout_seconds: Maximum time that a caller waits, or 0 to apply only
            the deadline.
        max_attempts: Maximum number of targets that one request is sent to,
            or 0 to use the setting.
        target_latency_seconds: Desired maximum latency of answers, or 0.
        priority: Its rank among the routes of a service; 0 is the highest.
        split: The services that share its requests, or empty if all of them
            go to `service`.
        regions: Regions in which its requests may run; empty for all.
    """

    id: RouteId
    team: TeamId
    service: ServiceId
    request_class: RequestClass
    path_prefix: str
    host: str = ""
    deadline_seconds: float = 10.0
    max_body_bytes: int = 104_857_600
    requests_per_second: float = 0.0
    max_queue: int = 0
    version: LogOffset = LogOffset(-1)
    timeout_seconds: float = 0.0
    max_attempts: int = 0
    target_latency_seconds: float = 0.0
    priority: int = 0
    split: tuple[SplitPart, ...] = ()
    regions: tuple[Region, ...] = ()


class RouteTable:
    """The routes in force, indexed for matching.

    The longest path prefix wins. Among routes with the same prefix, one for a
    specific host takes precedence over one for any host. A prefix matches
    whole path segments only.
    """

    def __init__(self, routes: Sequence[Route] = ()):
        """Index `routes`."""
        self.routes = {route.id: route for route in routes}
        self.by_prefix: dict[str, list[Route]] = {}
        for route in routes:
            prefix = route.path_prefix.rstrip("/")
            self.by_prefix.setdefault(prefix, []).append(route)
        for prefix, group in self.by_prefix.items():
            self._set_group(prefix, group)

    def with_route(
        self, route_id: RouteId, route: Route | None
    ) -> "RouteTable":
        """Return a copy with one route added, replaced or, with None, removed.

        This table stays unchanged for code that still uses it. The copy shares
        all groups except the changed ones, so it costs two shallow dict copies.
        """
        table = RouteTable()
        table.routes = dict(self.routes)
        table.by_prefix = dict(self.by_prefix)
        old = table.routes.pop(route_id, None)
        if old is not None:
            prefix = old.path_prefix.rstrip("/")
            group = [r for r in table.by_prefix[prefix] if r.id != route_id]
            table._set_group(prefix, group)
        if route is not None:
            prefix = route.path_prefix.rstrip("/")
            group = [*table.by_prefix.get(prefix, ()), route]
            table._set_group(prefix, group)
            table.routes[route_id] = route
        return table

    def _set_group(self, prefix: str, group: list[Route]) -> None:
        if not group:
            del self.by_prefix[prefix]
            return
        group.sort(key=lambda route: (route.host == "", route.id))
        self.by_prefix[prefix] = group

    def match(self, host: str, path: str) -> Route | None:
        """Return the route for a request, or None.

        Args:
            host: The Host header without port, in lower case.
            path: The path with or without its query.
        """
        prefix = path.partition("?")[0].rstrip("/")
        while True:
            for route in self.by_prefix.get(prefix, ()):
                if route.host in ("", host):
                    return route
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]


class RouteSource:
    """Holds the table in force, which each change replaces as a whole.

    Attributes:
        table: The routes in force, or None before any are known.
    """

    def __init__(self, table: RouteTable | None = None):
        """Start with `table`."""
        self.table = table


class Currency(abc.ABC):
    """Whether the configuration in force at this host is the newest one."""

    @property
    @abc.abstractmethod
    def is_old(self) -> bool:
        """Return whether it may be too old to be served by.

        What would tell is on its way. It is not if the store is known not to
        answer: hosts then go on with what they have.
        """

    @property
    @abc.abstractmethod
    def may_lack_routes(self) -> bool:
        """Return whether a route that is not in force here may exist."""


class AlwaysCurrent(Currency):
    """The currency of hosts that have no other way to tell."""

    @property
    def is_old(self) -> bool:
        """Return False."""
        return False

    @property
    def may_lack_routes(self) -> bool:
        """Return False."""
        return False
