"""Define a route: which requests it takes and how they may be treated."""

import dataclasses
import enum
from collections.abc import Sequence

from agatetack.ids import LogOffset, Region, RouteId, ServiceId, TeamId


class RequestClass(enum.Enum):
    """How a route's requests may be treated."""

    FAST = "fast"
    ONCE = "once"
    WHOLE = "whole"
    DEFERRED = "deferred"


@dataclasses.dataclass(frozen=True, slots=True)
class SplitPart:
    """One service that gets a share of a route's requests.

    Attributes:
        service: Whose targets run them.
        weight: Its share, as a part of the sum of all weights.
    """

    service: ServiceId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One accepted route.

    Attributes:
        id: Chosen by the operator.
        team: The team that owns it.
        service: Whose targets run the requests.
        request_class: How the requests may be treated.
        path_prefix: Paths that it takes; `/` takes all.
        host: Host header that it takes, in lower case, or "" for any.
        deadline_seconds: Time given to a request that brings no deadline.
        max_body_bytes: Largest request body.
        requests_per_second: Limit of the whole fleet, or 0 for none.
        max_queue: Requests waiting in one process, or 0 for the setting.
        version: The log offset of its record; no host ever takes a lower.
        timeout_seconds: Longest time to keep a caller waiting, or 0 for none
            but the deadline.
        max_attempts: Targets that one request may be sent to, or 0 for the
            setting.
        target_latency_seconds: Time within which answers are wanted, or 0.
        priority: Its rank among the routes of a service; 0 goes first.
        split: The services that share its requests; empty for `service`.
        regions: Where its requests may be run; empty for anywhere.
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
    """The routes in force, arranged for matching.

    The longest path prefix wins; among equals a route that names the host
    goes before one that takes any. A prefix takes whole path segments.
    """

    def __init__(self, routes: Sequence[Route] = ()):
        """Arrange `routes`."""
        self.routes = {route.id: route for route in routes}
        self.by_prefix: dict[str, list[Route]] = {}
        for route in routes:
            prefix = route.path_prefix.rstrip("/")
            self.by_prefix.setdefault(prefix, []).append(route)
        for prefix, group in self.by_prefix.items():
            self._set_group(prefix, group)

    def replaced(self, route_id: RouteId, route: Route | None) -> "RouteTable":
        """Return a table with one route put in or, with None, taken out.

        Whoever still holds this table keeps it unchanged. All groups but the
        ones touched are shared, so the cost is that of two flat copies.
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
    """Hold the table in force; swapped whole when configuration changes.

    Attributes:
        table: The routes in force, or None before any are known.
    """

    def __init__(self, table: RouteTable | None = None):
        """Start with `table`."""
        self.table = table
