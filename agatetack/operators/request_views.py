"""Define what operators are shown of callers' requests.

As in `views.py`, names are those of `thrift/operators.thrift`.
"""

import dataclasses
import enum

from agatetack.admission.controller import AttemptResult
from agatetack.ids import (
    AttemptId,
    HostId,
    IdempotencyKey,
    RequestId,
    RouteId,
    ServiceId,
    TargetId,
)
from agatetack.outcomes import Outcome, RefusalReason, RetryReason


class ClaimState(enum.Enum):
    """What is known of an idempotency key."""

    UNCLAIMED = "unclaimed"
    IN_PROGRESS = "in-progress"
    DONE = "done"
    RELEASED = "released"
    EXPIRED = "expired"


class QuarantineState(enum.Enum):
    """Whether a suspected request is refused already."""

    SUSPECTED = "suspected"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimView:
    """What is known of an idempotency key on one route.

    Attributes:
        route_id: The route.
        service: Its service.
        key: The caller's idempotency key.
        state: What is known.
        attempt_id: The attempt that holds or held the claim.
        host_id: The host that claimed it.
        claimed_unix_ms: The log's clock at the claim.
        expires_unix_ms: When the key is forgotten.
        answer_status: HTTP status, if done.
    """

    route_id: RouteId
    service: ServiceId
    key: IdempotencyKey
    state: ClaimState
    attempt_id: AttemptId | None = None
    host_id: HostId | None = None
    claimed_unix_ms: int | None = None
    expires_unix_ms: int | None = None
    answer_status: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimList:
    """Claims of one key."""

    claims: tuple[ClaimView, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request suspected to crash targets.

    Attributes:
        fingerprint: In hex.
        route_id: The route.
        service: Its service.
        state: Whether it is refused already.
        crashes: How many targets it crashed.
        target_ids: Which.
        last_crash_unix_ms: When, lately.
        refused_until_unix_ms: Until when it is refused.
        refusals: Since the host's start.
    """

    fingerprint: str
    route_id: RouteId
    service: ServiceId
    state: QuarantineState
    crashes: int
    target_ids: tuple[TargetId, ...]
    last_crash_unix_ms: int
    refused_until_unix_ms: int | None = None
    refusals: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineList:
    """Requests suspected to crash targets, by fingerprint."""

    requests: tuple[QuarantinedRequest, ...]
    next_after: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainedAttempt:
    """One attempt of a request; times are since the request's arrival.

    Attributes:
        attempt_id: The attempt.
        target_id: Where it went.
        started_after_ms: When it was sent.
        ended_after_ms: When it ended; None while it runs.
        result: What it showed of the target.
        failure: Why it brought no answer.
        retry_reason: Why it was made; None for the first.
        choice: Why this target, in one sentence.
    """

    attempt_id: AttemptId
    target_id: TargetId
    started_after_ms: int
    ended_after_ms: int | None = None
    result: AttemptResult | None = None
    failure: RefusalReason | None = None
    retry_reason: RetryReason | None = None
    choice: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainedRequest:
    """What one host did with a request.

    Attributes:
        request_id: The request.
        host_id: The host.
        arrived_unix_ms: When it arrived there.
        attempts: In the order of their start.
        route_id: None if no route matched.
        service: The route's service.
        outcome: What became of it; None while it is served.
        reason: Why the answer is not a target's own, if it is not.
        detail: One sentence for a person.
        status: HTTP status sent to the caller.
        finished_after_ms: Since its arrival.
    """

    request_id: RequestId
    host_id: HostId
    arrived_unix_ms: int
    attempts: tuple[ExplainedAttempt, ...]
    route_id: RouteId | None = None
    service: ServiceId | None = None
    outcome: Outcome | None = None
    reason: RefusalReason | None = None
    detail: str | None = None
    status: int | None = None
    finished_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the hosts did with a request, by arrival.

    Attributes:
        requests: A caller may send an id more than once.
        silent_hosts: Hosts that did not answer in time.
    """

    requests: tuple[ExplainedRequest, ...]
    silent_hosts: tuple[HostId, ...]
