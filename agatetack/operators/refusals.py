"""Define the typed errors with which an operators' call is refused.

Each has the name and the fields of its exception in
`thrift/operators.thrift`.
"""

import dataclasses
import enum

from agatetack.ids import ChangeId
from agatetack.operators.views import ChangeRejection, Finding, RouteRecord


class AccessProblem(enum.Enum):
    """Why access was denied."""

    TOKEN_MISSING = "token-missing"
    TOKEN_WRONG = "token-wrong"
    ROLE_MISSING = "role-missing"
    SERVICE_OUT_OF_SCOPE = "service-out-of-scope"
    OTHER_TEAM = "other-team"
    TOO_MANY_FAILURES = "too-many-failures"
    NO_TOKENS_CONFIGURED = "no-tokens-configured"


class TeamLimit(enum.Enum):
    """Which limit of a team a change would exceed."""

    ROUTES = "routes"
    REQUESTS_PER_SECOND = "requests-per-second"
    UNLIMITED_ROUTE = "unlimited-route"


class UnavailableReason(enum.Enum):
    """Why a call cannot be answered now."""

    LOG_UNAVAILABLE = "log-unavailable"
    NO_CONFIGURATION = "no-configuration"
    BEHIND = "behind"
    SHUTTING_DOWN = "shutting-down"
    PEER_UNREACHABLE = "peer-unreachable"
    RATE_LIMITED = "rate-limited"
    INTERNAL_ERROR = "internal-error"


class Entity(enum.Enum):
    """What was not found."""

    ROUTE = "route"
    TARGET = "target"
    QUARANTINE = "quarantine"
    REQUEST = "request"


class OperatorsError(Exception):
    """An operators' call was refused; `message` is one line."""

    message: str

    def __str__(self) -> str:
        """Return the message."""
        return self.message


@dataclasses.dataclass(eq=False)
class AccessDenied(OperatorsError):
    """The token is missing or does not allow the call."""

    problem: AccessProblem
    message: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(eq=False)
class InvalidRequest(OperatorsError):
    """The request's fields are wrong; nothing was done."""

    message: str
    findings: tuple[Finding, ...]


@dataclasses.dataclass(eq=False)
class ChangeRejected(OperatorsError):
    """The change lost or does not fit; `current` is in force instead."""

    reason: ChangeRejection
    message: str
    change_id: ChangeId
    findings: tuple[Finding, ...] = ()
    current: RouteRecord | None = None


@dataclasses.dataclass(eq=False)
class ChangeInDoubt(OperatorsError):
    """The change may be in force or come into force."""

    message: str
    change_id: ChangeId
    retry_after_ms: int | None = None


@dataclasses.dataclass(eq=False)
class LimitExceeded(OperatorsError):
    """The change would exceed a limit of its team; nothing was done."""

    limit: TeamLimit
    message: str
    allowed: float
    wanted: float


@dataclasses.dataclass(eq=False)
class NotFound(OperatorsError):
    """There is no such thing here."""

    entity: Entity
    id: str
    message: str


@dataclasses.dataclass(eq=False)
class Unavailable(OperatorsError):
    """The call cannot be answered now; it had no effect."""

    reason: UnavailableReason
    message: str
    retry_after_ms: int | None = None
