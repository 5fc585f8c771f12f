"""Permit at-most-once requests to run, by the order of the log."""

import dataclasses

import trio
from returns.result import Failure, Result, Success

from agatetack.claims import refusals
from agatetack.claims.background import BackgroundTasks
from agatetack.claims.call_handler import ClaimCallHandler
from agatetack.claims.fold import MS_PER_SECOND
from agatetack.claims.inquiry import Inquiries
from agatetack.claims.key import RequestKey, attempt_digest, read_key
from agatetack.claims.open_keys import OpenKeys
from agatetack.claims.partition import Partition
from agatetack.claims.rate_limiter import AppendRateLimiter
from agatetack.claims.reappender import Reappender
from agatetack.claims.recorder import Recorder
from agatetack.claims.router import Router
from agatetack.claims.store import Claim, ClaimStore
from agatetack.clock import Clock, deadline_to_wall
from agatetack.config.route import Route
from agatetack.generated.claims.ttypes import (
    Entry,
    EntryKind,
    Verdict,
    VerdictKind,
)
from agatetack.ids import AttemptId, Deadline
from agatetack.messages import CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal, RefusalReason
from agatetack.peers.exchange import Exchange
from agatetack.record_log.log import Log
from agatetack.settings.model import Settings

HOUSEKEEPING_INTERVAL_SECONDS = 1.0
"""Interval at which keys that need not be remembered are dropped."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeldClaim(Claim):
    """A claim with the data that its records need.

    Attributes:
        request_key: The key's digests.
        deadline: When a response to the request is no longer of use.
    """

    request_key: RequestKey
    deadline: Deadline


class LogClaimStore(ClaimStore):
    """Claims kept in streams of the platform's log.

    Attributes:
        partitions: The claim streams, by number.
        open_keys: Keys of this host's own open attempts.
        recorder: Appends outcomes and releases in the background.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log,
        exchange: Exchange,
        metrics: Metrics,
        clock: Clock,
    ):
        """Set up the parts; nothing is read or written before `run`."""
        self.settings = settings
        self.clock = clock
        self.background = BackgroundTasks()
        self.router = Router(settings, exchange, metrics, self.background)
        self.partitions = [
            self._partition(number, log, metrics)
            for number in range(settings.claims.partitions)
        ]
        self.open_keys = OpenKeys()
        self.inquiries = Inquiries(
            settings,
            exchange,
            self.partitions,
            self.open_keys,
            self.background,
        )
        self.recorder = Recorder(
            settings, self.router, metrics, self.background
        )
        self.reappender = Reappender(settings, self.router, metrics)
        self.call_handler = ClaimCallHandler(
            settings, self.partitions, self.inquiries
        )
        self.call_handler.serve(exchange)
        self.verdict_count = metrics.counter(
            "agatetack_claims_total", "Claims that were judged, by verdict."
        )
        self.key_count = metrics.gauge(
            "agatetack_claims_keys", "Keys remembered, by partition."
        )

    def _partition(self, number: int, log: Log, metrics: Metrics) -> Partition:
        rate_limiter = AppendRateLimiter(
            lambda: self.router.append_rate(number)
        )
        return Partition(
            number, self.settings, log, metrics, self.clock, rate_limiter
        )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Read and append until cancelled; starts before it has caught up."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.background.run)
            for partition in self.partitions:
                nursery.start_soon(partition.run)
                nursery.start_soon(self.reappender.run, partition)
            nursery.start_soon(self._run_housekeeping)
            task_status.started()

    @property
    def ready(self) -> bool:
        """Return whether every stream was read up to its end."""
        return all(partition.ready for partition in self.partitions)

    async def flush(self, deadline: Deadline) -> bool:
        """Wait until all outcomes are in the log; return whether they are."""
        return await self.recorder.flush(deadline)

    async def _run_housekeeping(self) -> None:
        max_seconds = self.settings.callers.max_deadline_seconds
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
            oldest = Deadline(trio.current_time() - max_seconds)
            self.open_keys.purge_blocks(oldest)
            for partition in self.partitions:
                self.open_keys.purge(partition)
                label = {"partition": str(partition.number)}
                self.key_count.set(label, len(partition.fold))

    async def claim(
        self, route: Route, request: CallerRequest, attempt: AttemptId
    ) -> Result[Claim, Refusal]:
        """Return permission to dispatch, or why the request is refused."""
        parsed = read_key(self.settings, route, request)
        if isinstance(parsed, Failure):
            return parsed
        key = parsed.unwrap()
        known = self._local_refusal(key, request)
        if known is not None:
            return Failure(known)
        held = HeldClaim(route.id, request.key, attempt, key, request.deadline)
        self.open_keys.open(key.digest, key.partition)
        granted = False
        try:
            result = await self._claim(held, request)
            granted = isinstance(result, Success)
            return result
        finally:
            if granted:
                self.open_keys.mark_granted(key.digest)
            else:
                self.open_keys.close(key.digest)

    async def finish(self, claim: HeldClaim, status: int) -> None:
        """Record in the background that the request was answered."""
        entry = self._entry(claim, EntryKind.DONE, status)
        self.recorder.record(self._partition_of(claim), entry)

    async def release(self, claim: HeldClaim) -> bool:
        """Record that the request was never dispatched.

        A release that is not settled by the request's deadline, or shortly
        after the call, is retried in the background.
        """
        partition = self._partition_of(claim)
        self.open_keys.close(claim.request_key.digest)
        entry = self._entry(claim, EntryKind.RELEASE)
        grace = self.settings.claims.steward_timeout_seconds
        deadline = max(claim.deadline, Deadline(trio.current_time() + grace))
        if partition.reachable:
            verdict = await self.router.submit(partition, entry, deadline)
            if verdict.kind == VerdictKind.FREE:
                return True
        self.recorder.record(partition, entry)
        return False

    def _local_refusal(
        self, key: RequestKey, request: CallerRequest
    ) -> Refusal | None:
        """Return a refusal if this host's own state requires one, or None."""
        partition = self.partitions[key.partition]
        retry_at = self._retry_at()
        known = partition.fold.lookup(key.digest, key.fingerprint)
        if known.kind != VerdictKind.FREE:
            return refusals.key_taken(known, self.clock.wall(), retry_at)
        if self._is_expired(partition, key):
            return refusals.expired()
        if self._is_blocked(key, request):
            return refusals.in_doubt(retry_at)
        if self.open_keys.is_open(key.digest, partition):
            return refusals.in_progress(retry_at)
        return None

    def _is_blocked(self, key: RequestKey, request: CallerRequest) -> bool:
        """Return whether "not run" may have been answered since the arrival.

        Releases are only sure to be remembered for one window, so a request
        that arrived earlier is refused.
        """
        window = self.settings.claims.key_window_seconds
        too_old = trio.current_time() - request.arrived > window
        return too_old or self.open_keys.is_blocked(key.digest, request.arrived)

    async def _claim(
        self, held: HeldClaim, request: CallerRequest
    ) -> Result[Claim, Refusal]:
        partition = self._partition_of(held)
        if not partition.ready or not partition.reachable:
            reason = RefusalReason.LOG_UNAVAILABLE
            return Failure(await self._not_claimed(held, reason))
        if len(partition.fold) >= self._max_keys():
            reason = RefusalReason.KEY_STORE_FULL
            return Failure(await self._not_claimed(held, reason))
        entry = self._claim_entry(held, request)
        try:
            verdict = await self.router.submit(partition, entry, held.deadline)
        except trio.Cancelled:
            self._void_claim(held)
            raise
        name = VerdictKind._VALUES_TO_NAMES[verdict.kind]
        self.verdict_count.inc({"verdict": name.lower().replace("_", "-")})
        if verdict.kind != VerdictKind.GRANTED:
            return Failure(await self._refusal(held, verdict))
        if self._is_past_deadline(held, entry):
            return Failure(self._void_claim(held))
        return Success(held)

    def _is_past_deadline(self, held: HeldClaim, entry: Entry) -> bool:
        """Return whether the request's deadline has passed on either clock.

        The monotonic clock may stop while a host is suspended.
        """
        late = trio.current_time() >= held.deadline
        return late or self.clock.wall() * MS_PER_SECOND >= entry.until_ms

    async def _refusal(self, held: HeldClaim, verdict: Verdict) -> Refusal:
        if verdict.kind in (VerdictKind.FAILED, VerdictKind.NOT_READY):
            reason = RefusalReason.LOG_UNAVAILABLE
            return await self._not_claimed(held, reason)
        if verdict.kind in (VerdictKind.IN_DOUBT, VerdictKind.DEAD):
            return self._void_claim(held)
        retry_at = self._retry_at()
        return refusals.key_taken(verdict, self.clock.wall(), retry_at)

    async def _not_claimed(
        self, held: HeldClaim, reason: RefusalReason
    ) -> Refusal:
        key = held.request_key
        unused = await self.inquiries.unused(key.partition, key.digest)
        return refusals.not_claimed(reason, unused, self._retry_at())

    def _void_claim(self, held: HeldClaim) -> Refusal:
        """Void the claim in the background and refuse as "unknown"."""
        entry = self._entry(held, EntryKind.RELEASE)
        self.recorder.record(self._partition_of(held), entry)
        return refusals.in_doubt(self._retry_at())

    def _max_keys(self) -> int:
        claims = self.settings.claims
        return -(-claims.max_keys // claims.partitions)

    def _is_expired(self, partition: Partition, key: RequestKey) -> bool:
        """Return whether the key may have been used and forgotten.

        Keys are kept for two windows. The second one allows for differences
        between the clocks of hosts and callers, a third of it for each.
        """
        if key.issued_ms is None:
            return False
        window_ms = self.settings.claims.key_window_seconds * MS_PER_SECOND
        now_ms = partition.log_time_ms()
        oldest = max(now_ms - window_ms, partition.fold.known_since_ms)
        return not oldest <= key.issued_ms <= now_ms + window_ms / 3

    def _retry_at(self) -> Deadline:
        wait = self.settings.admission.retry_after_seconds
        return Deadline(trio.current_time() + wait)

    def _partition_of(self, claim: HeldClaim) -> Partition:
        return self.partitions[claim.request_key.partition]

    def _claim_entry(self, held: HeldClaim, request: CallerRequest) -> Entry:
        key = held.request_key
        until = deadline_to_wall(self.clock, request.deadline)
        seen = self._partition_of(held).offset_at(request.arrived)
        return Entry(
            kind=EntryKind.CLAIM,
            key=key.digest,
            attempt=attempt_digest(held.attempt),
            fingerprint=key.fingerprint,
            seen=seen,
            dated=key.issued_ms is not None,
            until_ms=int(until * MS_PER_SECOND),
        )

    def _entry(
        self, claim: HeldClaim, kind: int, status: int | None = None
    ) -> Entry:
        return Entry(
            kind=kind,
            key=claim.request_key.digest,
            attempt=attempt_digest(claim.attempt),
            status=status,
        )
