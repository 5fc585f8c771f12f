"""Define what operators are shown.

Each type has the field names of its struct in `thrift/operators.thrift`;
`service` stands for `service_name`, which Thrift reserves.
"""

import dataclasses
import enum

from agatetack.config.route import Route
from agatetack.ids import (
    ChangeId,
    FailureDomain,
    HostId,
    LogOffset,
    RouteId,
    ServiceId,
    TargetId,
)
from agatetack.lifecycle.phase import Phase
from agatetack.targets.state import ReportSource, TargetStatus


class ChangeState(enum.Enum):
    """What became of a change of configuration."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    PENDING = "pending"
    UNKNOWN = "unknown"


class ChangeRejection(enum.Enum):
    """Why a change was rejected."""

    VERSION_CONFLICT = "version-conflict"
    PATH_TAKEN = "path-taken"
    INVALID = "invalid"
    STALE = "stale"
    CHANGE_ID_REUSED = "change-id-reused"
    OTHER = "other"


class ChangeKind(enum.Enum):
    """What a change does."""

    APPLY = "apply"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong, and where, such as `route.path_prefix`."""

    place: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRecord:
    """A route in force.

    Attributes:
        route: The route.
        version: Offset of its record in the log.
        author: Name of the token that changed it last.
        change_id: The change that brought it.
        accepted_unix_ms: The log's clock at that change.
    """

    route: Route
    version: LogOffset
    author: str | None = None
    change_id: ChangeId | None = None
    accepted_unix_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RouteList:
    """Routes by id; all records of the log before `offset` were read.

    In this and the other lists `next_after` leads to the next page, if any.
    """

    routes: tuple[RouteRecord, ...]
    offset: LogOffset
    next_after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeResult:
    """What an apply or delete did.

    Attributes:
        change_id: The change.
        kind: What it does.
        dry_run: Whether it was only checked.
        findings: What a dry run found wrong; else empty.
        version: The new version; None after a dry run.
        previous: What was in force before, if anything.
    """

    change_id: ChangeId
    kind: ChangeKind
    dry_run: bool
    findings: tuple[Finding, ...]
    version: LogOffset | None = None
    previous: RouteRecord | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What became of a change.

    Attributes:
        change_id: The change.
        state: How it ended, if it has.
        version: Of an accepted change.
        reason: Of a rejected change.
        message: One sentence for a person.
        route_id: The route it is about, if known.
        kind: What it does, if known.
        author: Name of the token that sent it, if known.
    """

    change_id: ChangeId
    state: ChangeState
    version: LogOffset | None = None
    reason: ChangeRejection | None = None
    message: str | None = None
    route_id: RouteId | None = None
    kind: ChangeKind | None = None
    author: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """The host that answers.

    Attributes:
        host_id: Its name.
        failure_domain: Where it is.
        region: Where that is.
        phase: How far it is between its start and its end.
        ready: Whether it takes callers' requests.
        not_ready_because: One sentence, if it is not ready.
        started_unix_ms: When it started.
        config_offset: All records of the log before it are in force.
        config_lag_records: Records not read yet; None with the log out.
        routes: Number of routes in force.
        in_flight: Requests being served.
        fleet_size: Number of hosts, never too low.
        log_reachable: Whether the log's last call succeeded.
    """

    host_id: HostId
    failure_domain: FailureDomain
    region: str
    phase: Phase
    ready: bool
    started_unix_ms: int
    config_offset: LogOffset
    routes: int
    in_flight: int
    fleet_size: int
    log_reachable: bool
    not_ready_because: str | None = None
    config_lag_records: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """A gateway as the answering host sees it.

    Attributes:
        host_id: Its name.
        failure_domain: Where it is.
        phase: How far it is between its start and its end.
        live: Whether it was heard within the peers' timeout.
        config_offset: How far it has read, if heard of.
        last_heard_age_ms: None for the answering host itself, or if not known.
    """

    host_id: HostId
    failure_domain: FailureDomain
    phase: Phase
    live: bool
    config_offset: LogOffset | None = None
    last_heard_age_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """All gateways that the answering host knows, by id."""

    hosts: tuple[HostView, ...]
    next_after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """A target as the answering host sees it.

    Attributes:
        target_id: `ip:port`.
        service: Its service.
        failure_domain: Where it is.
        status: Whether it may get new work.
        drained: Whether an operator drained it.
        in_flight: This host's requests there.
        slots: Requests it can run at the same time.
        allowed: Most requests of this host there.
        failures: Failed attempts since the last answer.
        reported_in_flight: Requests of all gateways, as it last said.
        report_age_ms: Age of that report; None before the first.
        report_source: Where it came from.
        latency_ms: Moving average of answer times.
    """

    target_id: TargetId
    service: ServiceId
    failure_domain: FailureDomain
    status: TargetStatus
    drained: bool
    in_flight: int
    slots: int
    allowed: int
    failures: int
    reported_in_flight: int | None = None
    report_age_ms: int | None = None
    report_source: ReportSource | None = None
    latency_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetList:
    """Targets by id."""

    targets: tuple[TargetView, ...]
    next_after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCount:
    """How many load reports came from one source."""

    source: ReportSource
    reports: int


@dataclasses.dataclass(frozen=True, slots=True)
class MeasureBudget:
    """Spending on measuring; totals count from the host's start.

    Attributes:
        fleet_probes_per_second: The budget as set, for all hosts.
        fleet_bytes_per_second: The budget as set, for all hosts.
        host_probes_per_second: This host's share.
        host_bytes_per_second: This host's share.
        spent_probes: Probes sent by this host.
        spent_bytes: Bytes that they took, both ways.
        refused_probes: Probes not sent because the budget was spent.
        reports: Load reports by source.
        recent_probes_per_second: Over the last seconds.
        recent_bytes_per_second: Over the last seconds.
    """

    fleet_probes_per_second: float
    fleet_bytes_per_second: float
    host_probes_per_second: float
    host_bytes_per_second: float
    spent_probes: int
    spent_bytes: int
    refused_probes: int
    reports: tuple[ReportCount, ...]
    recent_probes_per_second: float | None = None
    recent_bytes_per_second: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredPartition:
    """One partition of the deferred queue.

    Attributes:
        partition: Its number, from 0.
        open: Tickets without a result.
        running: Of these, running on this host.
        done: Results that can be fetched.
        oldest_open_age_ms: Age of the oldest open ticket.
        lag_records: Records not read from the log yet, if known.
    """

    partition: int
    open: int
    running: int
    done: int
    oldest_open_age_ms: int | None = None
    lag_records: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredStatus:
    """The deferred queue; `max_open` is for the whole fleet."""

    max_open: int
    partitions: tuple[DeferredPartition, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """An answer without content."""
