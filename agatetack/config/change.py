"""Define a change of one route and what can become of it."""

import dataclasses
import enum

from agatetack.config.route import Route
from agatetack.ids import ChangeId, LogOffset, RouteId, WallTime

NO_VERSION = LogOffset(-1)
"""Expected of a route that must not exist; also `nothing folded yet`."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouteChange:
    """One operator's change of one route.

    Attributes:
        change_id: Chosen by the operator; sending it again changes nothing.
        route_id: The route to change.
        route: The route as it should be, or None to delete it.
        expected_version: Version that the operator has seen, or NO_VERSION
            if the route must not exist.
        author: Who wants it.
        written_at: When it was written.
    """

    change_id: ChangeId
    route_id: RouteId
    route: Route | None
    expected_version: LogOffset
    author: str
    written_at: WallTime


class RejectReason(enum.Enum):
    """Why a change did not come into force."""

    CONFLICT = "conflict"
    PATH_TAKEN = "path-taken"
    INVALID = "invalid"
    STALE = "stale"
    LOG_UNAVAILABLE = "log-unavailable"
    NOT_READY = "not-ready"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change is in force here and will be on every host.

    Attributes:
        version: The route's new version.
    """

    version: LogOffset


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A change did not and will not come into force.

    Attributes:
        reason: Why.
        detail: One sentence for a person.
        version: The version that stands in the way, or NO_VERSION.
    """

    reason: RejectReason
    detail: str
    version: LogOffset = NO_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class InDoubt:
    """A change may or may not come into force; ask again by its id.

    Attributes:
        detail: One sentence for a person.
    """

    detail: str


class ChangeStatus(enum.Enum):
    """What a host knows of a change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    PENDING = "pending"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeState:
    """What a host knows of a change, for an operator who asks later.

    Attributes:
        status: What became of it.
        version: The accepted version, or the one that stood in the way.
        reason: Why it was rejected, or None.
    """

    status: ChangeStatus
    version: LogOffset = NO_VERSION
    reason: RejectReason | None = None
