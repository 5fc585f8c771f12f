"""Define every setting, its unit and its bounds.

The defaults stand in `agatetack/default_settings.yaml`, which documents each
option; the models here hold none, so the two cannot disagree.
"""

import enum
from typing import Annotated

from msgspec import Meta

from agatetack.settings.section import (
    LARGEST,
    Bytes,
    Count,
    Endpoint,
    HeaderName,
    Name,
    NotNegative,
    Positive,
    Ratio,
    Seconds,
    Section,
    TlsFiles,
)


class HostSettings(Section):
    """Who this process is."""

    id: Name
    failure_domain: Name
    region: Name
    regions: dict[str, Name]
    memory_mb: Count | None
    reserved_memory_mb: Count
    max_descriptors: Annotated[int, Meta(ge=400, le=10**9)] | None


class CallerHeaders(Section):
    """Names of the headers exchanged with callers, in lower case."""

    deadline_ms: HeaderName
    idempotency_key: HeaderName
    issued_at: HeaderName
    request_id: HeaderName
    caller: HeaderName
    credentials: HeaderName
    outcome: HeaderName
    reason: HeaderName
    ticket: HeaderName


RefusalStatus = Annotated[int, Meta(ge=400, le=599)]


class CallersSettings(Section):
    """How callers are served."""

    listen: Endpoint
    tls: TlsFiles | None
    headers: CallerHeaders
    ticket_path: str
    max_connections: Count
    memory_ratio: Annotated[float, Meta(gt=0, le=1)]
    max_header_bytes: Bytes
    max_body_bytes: Bytes
    replay_body_bytes: Bytes
    stream_body_bytes: Bytes | None
    kept_bodies_bytes: Bytes
    header_timeout_seconds: Seconds
    keep_alive_seconds: Seconds
    write_timeout_seconds: Seconds
    slowest_link_bytes_per_second: Positive
    default_deadline_seconds: Seconds
    max_deadline_seconds: Seconds
    end_means_gone: bool
    pipeline_depth: Count
    refusal_statuses: dict[str, RefusalStatus]
    statuses_promise: bool
    retry_after_decimals: Annotated[int, Meta(ge=0, le=3)]


class TargetHeaders(Section):
    """Names of the headers exchanged with targets, in lower case."""

    in_flight: HeaderName
    slots: HeaderName
    state: HeaderName
    outcome: HeaderName
    deadline_ms: HeaderName
    attempt: HeaderName | None
    request_id: HeaderName | None
    instance: HeaderName | None
    answering_instance: HeaderName | None
    signature: HeaderName | None
    load: HeaderName | None
    warm_up_ms: HeaderName | None
    rate_limit: HeaderName | None
    leaving: HeaderName | None
    account: HeaderName | None


class TargetsSettings(Section):
    """How targets are called."""

    headers: TargetHeaders
    not_run_value: str | None
    load_path: str
    slots: Count
    max_queued: Count | None
    max_connections: Count
    connect_timeout_seconds: Seconds
    idle_proof_seconds: Seconds
    idle_close_seconds: Seconds
    max_header_bytes: Bytes
    byte_timeout_seconds: Seconds


class LogSettings(Section):
    """Where the platform's log is and how it is used."""

    endpoint: Endpoint
    timeout_seconds: Seconds
    poll_seconds: Seconds
    retry_seconds: Seconds
    appends_per_second: Positive
    retention_seconds: Seconds
    max_record_bytes: Bytes


class HostListSettings(Section):
    """Where the platform's list of hosts and targets is."""

    endpoint: Endpoint
    timeout_seconds: Seconds
    poll_seconds: Seconds
    shrink_ratio: Ratio
    shrink_hold_seconds: Seconds


class StoreSettings(Section):
    """The platform's metadata store, in place of log and list of hosts."""

    endpoint: Endpoint | None
    timeout_seconds: Seconds
    poll_seconds: Annotated[float, Meta(gt=0, le=30)]
    batch_seconds: Annotated[float, Meta(ge=0, le=1)]
    retry_seconds: Seconds
    silent_seconds: Annotated[int, Meta(ge=1, le=30)]
    doubt_seconds: NotNegative
    member_topic: Name
    bounds: tuple[str, ...]


class PlatformSettings(Section):
    """The platform's services."""

    log: LogSettings
    host_list: HostListSettings
    store: StoreSettings


class OperatorRole(enum.Enum):
    """What an operator's token may do."""

    READ = "read"
    CHANGE = "change"
    RELEASE = "release"


class ConfigSettings(Section):
    """How accepted routes spread and are kept."""

    gossip_seconds: Seconds
    fetch_delay_seconds: Seconds
    fetch_timeout_seconds: Seconds
    transfer_timeout_seconds: Seconds
    log_reads_per_second: Positive
    acknowledge_seconds: NotNegative
    snapshot_age_ratio: Annotated[float, Meta(gt=0, le=0.5)]
    snapshot_stagger_seconds: Seconds
    snapshot_records: Count
    kept_records: Count


AnyOrName = Annotated[
    str, Meta(pattern=r"^(\*|[A-Za-z0-9][A-Za-z0-9._-]*)$", max_length=100)
]


class OperatorToken(Section):
    """One operator's access; the token itself is never stored."""

    name: Name
    team: Name
    sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
    roles: tuple[OperatorRole, ...]
    services: tuple[AnyOrName, ...]


class TeamLimits(Section):
    """What the routes of one team may take together."""

    team: Name
    max_routes: Count
    max_requests_per_second: NotNegative


class OperatorsSettings(Section):
    """The administration API."""

    listen: Endpoint
    tls: TlsFiles | None
    tokens: tuple[OperatorToken, ...]
    failed_attempts_per_minute: Count
    max_routes_per_team: Count
    max_requests_per_second_per_team: NotNegative
    team_limits: tuple[TeamLimits, ...]


class PeersSettings(Section):
    """Exchange with the other hosts."""

    listen: Endpoint
    advertise: Endpoint | None
    seed_listen: Endpoint | None
    seeds: tuple[Endpoint, ...]
    tls: TlsFiles | None
    shared_key: str | None
    heartbeat_seconds: Seconds
    timeout_seconds: Seconds
    max_frame_bytes: Bytes
    bytes_per_second: Bytes
    max_peers: Count


class MeasureSettings(Section):
    """The budget of measuring; figures are for the whole fleet."""

    probes_per_second: NotNegative
    bytes_per_second: NotNegative
    probe_timeout_seconds: Seconds
    probe_reuses: Count
    report_half_life_seconds: Seconds
    target_probes_per_second: NotNegative
    target_looks_per_second: NotNegative


class PolicyName(enum.Enum):
    """The policies that choose a target."""

    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_IN_FLIGHT = "least-in-flight"
    POWER_OF_TWO = "power-of-two"
    EXPECTED_WAIT = "expected-wait"
    FLEET_VIEW = "fleet-view"


class BalanceSettings(Section):
    """How a target is chosen."""

    policy: PolicyName
    cold_seconds: Seconds
    cold_rate_ratio: NotNegative
    cold_rate_slack: NotNegative
    same_domain_seconds: NotNegative
    other_domain_seconds: NotNegative
    slow_ratio: Annotated[float, Meta(gt=1, le=LARGEST)]
    slow_retry_seconds: Seconds
    leaving_hold_seconds: Seconds


class AdmissionSettings(Section):
    """Limits and queues in front of the targets."""

    max_queue: Count
    standing_queue_seconds: Seconds
    min_target_limit: Count
    max_target_limit: Count
    retry_after_seconds: Seconds


class AttemptsSettings(Section):
    """Retries and hedges, as shares of requests."""

    retry_ratio: Ratio
    retry_burst: Count
    hedge_ratio: Ratio
    hedge_burst: Count
    hedge_quantile: Ratio
    hedge_min_seconds: Seconds
    hedge_latency_share: Ratio
    hedge_on_new: bool
    max_attempts: Count
    fleet_ratio: Ratio
    fleet_slack: NotNegative
    fleet_window_seconds: Seconds


class ClaimsSettings(Section):
    """At-most-once requests."""

    partitions: Count
    key_window_seconds: Seconds
    undated_window_seconds: Seconds
    fleet_appends_per_second: Positive
    max_batch: Count
    max_keys: Count
    steward_timeout_seconds: Seconds
    read_pause_seconds: Seconds
    proven_connection_seconds: Seconds


class DeferredSettings(Section):
    """Requests that may wait."""

    partitions: Count
    max_open: Count
    max_kept: Count
    max_body_bytes: Bytes
    max_result_bytes: Bytes
    result_keep_seconds: Seconds
    max_wait_seconds: Seconds
    attempt_timeout_seconds: Seconds
    concurrency: Count
    max_tries: Count
    retry_seconds: Seconds
    takeover_seconds: Seconds
    upkeep_seconds: Seconds
    submit_timeout_seconds: Seconds
    append_interval_seconds: Seconds
    append_ratio: Annotated[float, Meta(gt=0, le=1)]
    append_burst: Count
    cache_bytes: Bytes


class QuarantineSettings(Section):
    """Requests that crash targets."""

    crashes: Count
    hold_seconds: Seconds
    decay_seconds: Seconds
    max_fingerprints: Count
    confirm_seconds: Seconds
    confirm_first: bool


class IdentitySettings(Section):
    """How the API keys of client accounts are checked."""

    strict_revocation: bool
    revocation_seconds: Seconds


class QuotasSettings(Section):
    """How exactly the quotas of client accounts are kept."""

    window_seconds: Seconds
    overshoot_ratio: NotNegative
    overshoot_slack: NotNegative


class LifecycleSettings(Section):
    """Start and stop."""

    notice_seconds: Seconds
    drain_seconds: Seconds
    warm_up_seconds: Seconds
    address_wait_seconds: NotNegative


class StatusSettings(Section):
    """Addresses on which a host says whether it is ready, and its counters."""

    ready_listen: Endpoint | None
    ready_path: str
    metrics_listen: Endpoint | None
    metrics_path: str
    max_connections: Count


class LogLevel(enum.Enum):
    """The least level of the lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogOutput(enum.Enum):
    """Where log lines go."""

    STANDARD_OUTPUT = "standard-output"
    STANDARD_ERROR = "standard-error"


class LogsSettings(Section):
    """What is logged."""

    level: LogLevel
    output: LogOutput
    decisions: bool
    json_lines: bool
    max_lines_per_second: Count


class Settings(Section):
    """All settings of one host."""

    host: HostSettings
    callers: CallersSettings
    targets: TargetsSettings
    platform: PlatformSettings
    config: ConfigSettings
    operators: OperatorsSettings
    peers: PeersSettings
    measure: MeasureSettings
    balance: BalanceSettings
    admission: AdmissionSettings
    attempts: AttemptsSettings
    claims: ClaimsSettings
    deferred: DeferredSettings
    quarantine: QuarantineSettings
    identity: IdentitySettings
    quotas: QuotasSettings
    lifecycle: LifecycleSettings
    status: StatusSettings
    logs: LogsSettings
