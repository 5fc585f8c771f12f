"""Define which routes are valid, with the same result on every host.

These rules are checked before a route is appended to the log and again in
every host's fold, so they depend only on the route, not on settings, clocks or
other state. A fleet runs several releases at once during an update, and two
hosts that decide differently on one record would have different routes. So a
released rule must never change; a stricter rule for new routes may only be
checked before the append.
"""

import dataclasses
import enum
import re
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from agatetack.config.route import RequestClass, Route, SplitPart
from agatetack.ids import Region, RouteId

MAX_NAME_LENGTH = 100
"""Maximum length of an id, team or service, in characters."""

MAX_HOST_LENGTH = 253
"""Maximum length of a host name in DNS, in characters."""

MAX_PREFIX_LENGTH = 512
"""Maximum length of a path prefix, in characters."""

MIN_DEADLINE_SECONDS = 0.001
MAX_DEADLINE_SECONDS = 30 * 86_400.0
MAX_BODY_BYTES = 2**40
MAX_REQUESTS_PER_SECOND = 1e9
MAX_QUEUE = 1_000_000
MAX_ATTEMPTS = 100
MAX_PRIORITY = 1000
MAX_SPLIT_PARTS = 100
MAX_WEIGHT = 1e6
MAX_REGIONS = 100

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
HOST = re.compile(r"[a-z0-9_]([a-z0-9_.-]*[a-z0-9_])?|\[[0-9a-f:.]+\]")
# The characters that RFC 3986 allows in a path; two hex digits follow `%`.
PREFIX = re.compile(r"/([A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2})*")


class RouteField(enum.Enum):
    """The fields of a route that a finding can be about."""

    ID = "id"
    TEAM = "team"
    SERVICE = "service"
    REQUEST_CLASS = "request_class"
    PATH_PREFIX = "path_prefix"
    HOST = "host"
    DEADLINE_SECONDS = "deadline_seconds"
    MAX_BODY_BYTES = "max_body_bytes"
    REQUESTS_PER_SECOND = "requests_per_second"
    MAX_QUEUE = "max_queue"
    TIMEOUT_SECONDS = "timeout_seconds"
    MAX_ATTEMPTS = "max_attempts"
    TARGET_LATENCY_SECONDS = "target_latency_seconds"
    PRIORITY = "priority"
    SPLIT = "split"
    REGIONS = "regions"


@dataclasses.dataclass(frozen=True, slots=True)
class RouteFinding:
    """A rule that a route violates.

    Attributes:
        field: The invalid field.
        message: A description of the error, to show to an operator.
    """

    field: RouteField
    message: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f"{self.field.value}: {self.message}"


class RouteMatch(NamedTuple):
    """The requests that a route matches; no two routes may have the same."""

    host: str
    prefix: str


def route_match(route: Route) -> RouteMatch:
    """Return what `route` matches, which is equal for conflicting routes."""
    return RouteMatch(route.host, route.path_prefix.rstrip("/"))


def check_route(route: Route) -> tuple[RouteFinding, ...]:
    """Return every rule that `route` violates; none if it is valid."""
    return (
        *_check_names(route),
        *_check_class(route),
        *_check_match(route),
        *_check_limits(route),
    )


def check_unique_match(
    route: Route, others: Iterable[Route]
) -> tuple[RouteFinding, ...]:
    """Return a finding if another route matches the same requests.

    Args:
        route: The route to accept.
        others: The routes in force; one with the same id is ignored.
    """
    duplicate_id = find_same_match(route, others)
    if duplicate_id is None:
        return ()
    message = f"route {duplicate_id} takes the same host and path prefix"
    return (RouteFinding(RouteField.PATH_PREFIX, message),)


def find_same_match(route: Route, others: Iterable[Route]) -> RouteId | None:
    """Return the first id, in sort order, of other routes with this match."""
    own_match = route_match(route)
    same_match_ids = (
        other.id
        for other in others
        if other.id != route.id and route_match(other) == own_match
    )
    return min(same_match_ids, default=None)


def _check_names(route: Route) -> Iterable[RouteFinding]:
    names = (
        (RouteField.ID, route.id),
        (RouteField.TEAM, route.team),
        (RouteField.SERVICE, route.service),
    )
    for field, name in names:
        if not isinstance(name, str) or not NAME.fullmatch(name):
            yield RouteFinding(
                field,
                "must be letters, digits, '.', '_' or '-',"
                " and start with a letter or digit",
            )
        elif len(name) > MAX_NAME_LENGTH:
            yield RouteFinding(
                field, f"must have at most {MAX_NAME_LENGTH} characters"
            )


def _check_class(route: Route) -> Iterable[RouteFinding]:
    if not isinstance(route.request_class, RequestClass):
        known = ", ".join(known.value for known in RequestClass)
        yield RouteFinding(RouteField.REQUEST_CLASS, f"must be one of {known}")


def _check_match(route: Route) -> Iterable[RouteFinding]:
    prefix_problem = _prefix_problem(route.path_prefix)
    if prefix_problem:
        yield RouteFinding(RouteField.PATH_PREFIX, prefix_problem)
    host_problem = _host_problem(route.host)
    if host_problem:
        yield RouteFinding(RouteField.HOST, host_problem)


def _prefix_problem(prefix: str) -> str | None:
    if not isinstance(prefix, str) or not prefix.startswith("/"):
        return "must start with '/'"
    if len(prefix) > MAX_PREFIX_LENGTH:
        return f"must have at most {MAX_PREFIX_LENGTH} characters"
    if not PREFIX.fullmatch(prefix):
        return "must hold only characters of a URL path, without a query"
    if "//" in prefix:
        return "must not have an empty segment"
    if {".", ".."} & set(prefix.split("/")):
        return "must not have a '.' or '..' segment"
    return None


def _host_problem(host: str) -> str | None:
    if not isinstance(host, str):
        return "must be text"
    if host == "":
        return None
    if host != host.lower():
        return "must be in lower case"
    if len(host) > MAX_HOST_LENGTH or not HOST.fullmatch(host):
        return "must be a host name or IP number without a port"
    return None


def _check_limits(route: Route) -> Iterable[RouteFinding]:
    yield from _check_number(
        RouteField.DEADLINE_SECONDS,
        route.deadline_seconds,
        MIN_DEADLINE_SECONDS,
        MAX_DEADLINE_SECONDS,
    )
    yield from _check_integer(
        RouteField.MAX_BODY_BYTES, route.max_body_bytes, MAX_BODY_BYTES
    )
    yield from _check_number(
        RouteField.REQUESTS_PER_SECOND,
        route.requests_per_second,
        0.0,
        MAX_REQUESTS_PER_SECOND,
    )
    yield from _check_integer(RouteField.MAX_QUEUE, route.max_queue, MAX_QUEUE)
    for field, seconds in (
        (RouteField.TIMEOUT_SECONDS, route.timeout_seconds),
        (RouteField.TARGET_LATENCY_SECONDS, route.target_latency_seconds),
    ):
        yield from _check_number(field, seconds, 0.0, MAX_DEADLINE_SECONDS)
    yield from _check_integer(
        RouteField.MAX_ATTEMPTS, route.max_attempts, MAX_ATTEMPTS
    )
    yield from _check_integer(RouteField.PRIORITY, route.priority, MAX_PRIORITY)
    yield from _check_split(route.split)
    yield from _check_regions(route.regions)


def _check_regions(regions: Sequence[Region]) -> Iterable[RouteFinding]:
    if not isinstance(regions, tuple) or not all(
        isinstance(name, str) and NAME.fullmatch(name) for name in regions
    ):
        yield RouteFinding(RouteField.REGIONS, "must be a list of names")
    elif len(regions) > MAX_REGIONS:
        yield RouteFinding(
            RouteField.REGIONS, f"must have at most {MAX_REGIONS} names"
        )


def _check_split(split: Sequence[SplitPart]) -> Iterable[RouteFinding]:
    if not isinstance(split, tuple) or not all(
        isinstance(part, SplitPart) for part in split
    ):
        yield RouteFinding(RouteField.SPLIT, "must be a list of parts")
        return
    if len(split) > MAX_SPLIT_PARTS:
        yield RouteFinding(
            RouteField.SPLIT, f"must have at most {MAX_SPLIT_PARTS} parts"
        )
    for part in split:
        if not isinstance(part.service, str) or not NAME.fullmatch(
            part.service
        ):
            yield RouteFinding(RouteField.SPLIT, "names no service")
        yield from _check_number(RouteField.SPLIT, part.weight, 0.0, MAX_WEIGHT)
    if split and not any(_is_positive(part.weight) for part in split):
        yield RouteFinding(RouteField.SPLIT, "needs a weight above 0")


def _is_positive(weight: object) -> bool:
    number = isinstance(weight, int | float) and not isinstance(weight, bool)
    return number and weight > 0


def _check_number(
    field: RouteField, value: float, minimum: float, maximum: float
) -> Iterable[RouteFinding]:
    if isinstance(value, bool) or not isinstance(value, int | float):
        yield RouteFinding(field, "must be a number")
    # This also rejects NaN, as every comparison with it is false.
    elif not minimum <= value <= maximum:
        yield RouteFinding(field, f"must be from {minimum:g} to {maximum:g}")


def _check_integer(
    field: RouteField, value: int, maximum: int
) -> Iterable[RouteFinding]:
    if isinstance(value, bool) or not isinstance(value, int):
        yield RouteFinding(field, "must be a whole number")
    elif not 0 <= value <= maximum:
        yield RouteFinding(field, f"must be from 0 to {maximum}")
