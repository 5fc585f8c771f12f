"""Define a change of one route and its possible outcomes."""

import dataclasses
import enum

from agatetack.config.route import Route
from agatetack.ids import ChangeId, LogOffset, RouteId, WallTime

NO_VERSION = LogOffset(-1)
"""Expected version of a route that must not exist yet; also the version of a
fold before its first record."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouteChange:
    """A change of one route, requested by an operator.

    Attributes:
        change_id: Chosen by the operator; makes retries idempotent.
        route_id: The route to change.
        route: The new route, or None to delete it.
        expected_version: Version that the route must have for the change to
            be accepted, or NO_VERSION if the route must not exist.
        author: Who requested the change.
        written_at: When it was written.
    """

    change_id: ChangeId
    route_id: RouteId
    route: Route | None
    expected_version: LogOffset
    author: str
    written_at: WallTime


class RejectReason(enum.Enum):
    """Why a change was rejected."""

    CONFLICT = "conflict"
    PATH_TAKEN = "path-taken"
    INVALID = "invalid"
    STALE = "stale"
    LOG_UNAVAILABLE = "log-unavailable"
    NOT_READY = "not-ready"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change is in force on this host and will be on every other.

    Attributes:
        version: The route's new version.
    """

    version: LogOffset


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A change is not in force and never will be.

    Attributes:
        reason: Why it was rejected.
        detail: An explanation for the operator, in one sentence.
        version: The version that conflicts with the change, or NO_VERSION.
    """

    reason: RejectReason
    detail: str
    version: LogOffset = NO_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class InDoubt:
    """The outcome of a change is unknown; it can be queried by its id.

    Attributes:
        detail: An explanation for the operator, in one sentence.
    """

    detail: str


class ChangeStatus(enum.Enum):
    """The status of a change, as far as a host knows it."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    PENDING = "pending"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeState:
    """What a host knows of a change, to answer an operator's query.

    Attributes:
        status: Its status.
        version: The accepted version, or the one that it conflicts with.
        reason: Why it was rejected, or None.
    """

    status: ChangeStatus
    version: LogOffset = NO_VERSION
    reason: RejectReason | None = None
