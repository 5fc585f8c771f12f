"""Define what operators ask for, one request for each call of the API."""

import dataclasses

from agatetack.config.route import Route
from agatetack.ids import (
    ChangeId,
    IdempotencyKey,
    LogOffset,
    RequestId,
    RouteId,
    ServiceId,
    TargetId,
    TeamId,
)

DEFAULT_TIMEOUT_MS = 5000
"""How long a call may wait for the log or for peers, if not said."""

DEFAULT_PAGE_SIZE = 100
"""Items of a page of a list, if not said."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListRoutesRequest:
    """Ask for the routes in force; None does not narrow the list."""

    service: ServiceId | None = None
    team: TeamId | None = None
    page_size: int = DEFAULT_PAGE_SIZE
    after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GetRouteRequest:
    """Ask for one route."""

    route_id: RouteId


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyRouteRequest:
    """Ask to create or replace a route.

    Attributes:
        route: What is to be in force; its version is not looked at.
        change_id: Unique; the same id again is a repeat of this change.
        expected_version: The version to replace, or None to create.
        dry_run: Whether to check only.
        timeout_ms: How long to wait for the log.
    """

    route: Route
    change_id: ChangeId
    expected_version: LogOffset | None = None
    dry_run: bool = False
    timeout_ms: int = DEFAULT_TIMEOUT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteRouteRequest:
    """Ask to delete a route; see `ApplyRouteRequest`."""

    route_id: RouteId
    change_id: ChangeId
    expected_version: LogOffset
    dry_run: bool = False
    timeout_ms: int = DEFAULT_TIMEOUT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class GetChangeRequest:
    """Ask what became of a change."""

    change_id: ChangeId
    timeout_ms: int = DEFAULT_TIMEOUT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class GetStatusRequest:
    """Ask for the answering host."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListHostsRequest:
    """Ask for all gateways that the answering host knows."""

    page_size: int = DEFAULT_PAGE_SIZE
    after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ListTargetsRequest:
    """Ask for targets, of one service or of all."""

    service: ServiceId | None = None
    page_size: int = DEFAULT_PAGE_SIZE
    after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class GetMeasureBudgetRequest:
    """Ask for the spending on measuring."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetDeferredRequest:
    """Ask for the requests that may wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetClaimsRequest:
    """Ask what is known of an idempotency key, on one route or on all."""

    key: IdempotencyKey
    route_id: RouteId | None = None
    timeout_ms: int = DEFAULT_TIMEOUT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class ListQuarantineRequest:
    """Ask for requests suspected to crash targets."""

    service: ServiceId | None = None
    page_size: int = DEFAULT_PAGE_SIZE
    after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseQuarantinedRequest:
    """Ask to let a quarantined request run again; fingerprint in hex."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTargetRequest:
    """Ask to send no new work to a target, or to send it again."""

    target_id: TargetId
    timeout_ms: int = DEFAULT_TIMEOUT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class DrainHostRequest:
    """Ask the answering host to stop gracefully."""

    message: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Ask what the hosts did with a request lately."""

    request_id: RequestId
    timeout_ms: int = DEFAULT_TIMEOUT_MS
