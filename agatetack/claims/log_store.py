"""Give leave to run never-repeated requests, by the order of the log."""

import dataclasses

import trio
from returns.result import Failure, Result, Success

from agatetack.claims.key import RequestKey, attempt_digest, read_key
from agatetack.claims.pace import Pace
from agatetack.claims.partition import Partition
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
from agatetack.logs import PartLog
from agatetack.messages import CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, Refusal, RefusalReason, refuse
from agatetack.peers.exchange import Exchange
from agatetack.platform.log import Log
from agatetack.settings.model import Settings

MS = 1000
"""Milliseconds in a second."""

MAX_BACKGROUND = 20_000
"""Entries that this host keeps trying to append."""

log_lines = PartLog("claims")


@dataclasses.dataclass(frozen=True, slots=True)
class HeldClaim(Claim):
    """A claim together with where it stands.

    Attributes:
        request_key: The key's digests.
    """

    request_key: RequestKey


class LogClaimStore(ClaimStore):
    """Claims kept in streams of the platform's log.

    Attributes:
        partitions: The claim streams, by number.
        open_entries: Entries that are appended in the background.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log,
        exchange: Exchange,
        metrics: Metrics,
        clock: Clock,
    ):
        """Prepare; nothing is read or written before `run`."""
        self.settings = settings
        self.exchange = exchange
        self.metrics = metrics
        self.clock = clock
        pace = Pace(self._rate)
        self.partitions = [
            Partition(number, settings, log, metrics, clock, pace)
            for number in range(settings.claims.partitions)
        ]
        self.nursery: trio.Nursery | None = None
        self.open_entries = 0
        self.verdicts = metrics.counter(
            "agatetack_claims_total", "Claims, by verdict."
        )
        self.given_up = metrics.counter(
            "agatetack_claims_background_dropped_total",
            "Outcomes and releases that were not recorded, by reason.",
        )

    def _rate(self) -> float:
        """Return this host's share of the appends in a second."""
        fleet = self.settings.claims.fleet_appends_per_second
        return fleet / self.exchange.fleet_size()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Read and append until cancelled; started before it has caught up."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for partition in self.partitions:
                nursery.start_soon(partition.run)
            task_status.started()

    @property
    def ready(self) -> bool:
        """Return whether every stream was read up to its end."""
        return all(partition.ready for partition in self.partitions)

    async def claim(
        self, route: Route, request: CallerRequest, attempt: AttemptId
    ) -> Result[Claim, Refusal]:
        """Return leave to dispatch, or why the request is refused."""
        key = read_key(self.settings, route, request)
        if isinstance(key, Failure):
            return key
        request_key = key.unwrap()
        early = self._look(request_key)
        if early is not None:
            return Failure(early)
        held = HeldClaim(route.id, request.key, attempt, request_key)
        entry = self._claim_entry(held, request)
        verdict = await self._submit(held, entry, request.deadline)
        name = VerdictKind._VALUES_TO_NAMES[verdict.kind].lower()
        self.verdicts.inc({"verdict": name})
        if verdict.kind == VerdictKind.GRANTED:
            return self._granted(held, request, entry)
        return Failure(await self._refusal(held, request, verdict))

    async def finish(self, claim: Claim, status: int) -> None:
        """Record in the background that the request was answered."""
        self._persist(claim, EntryKind.DONE, status)

    async def release(self, claim: Claim) -> bool:
        """Record that the request was never dispatched."""
        entry = self._entry(claim, EntryKind.RELEASE)
        timeout = self.settings.platform.log.timeout_seconds
        deadline = Deadline(trio.current_time() + timeout)
        verdict = await self._submit(claim, entry, deadline)
        if verdict.kind == VerdictKind.FREE:
            return True
        self._persist(claim, EntryKind.RELEASE)
        return False

    # Before anything is appended.

    def _look(self, key: RequestKey) -> Refusal | None:
        """Return a refusal that needs no append, or None."""
        partition = self.partitions[key.partition]
        known = partition.fold.look(key.digest, key.fingerprint)
        if known.kind != VerdictKind.FREE:
            return self._taken(known)
        if self._expired(partition, key):
            return refuse(
                RefusalReason.KEY_EXPIRED,
                "The key was issued outside the time for which keys are kept.",
            )
        if not partition.ready or not partition.reachable:
            return self._log_out(partition)
        if len(partition.fold.keys) >= self._max_keys():
            return refuse(
                RefusalReason.KEY_STORE_FULL,
                "No further keys can be remembered now.",
                self._retry_at(),
            )
        return None

    def _max_keys(self) -> int:
        claims = self.settings.claims
        return -(-claims.max_keys // claims.partitions)

    def _expired(self, partition: Partition, key: RequestKey) -> bool:
        if key.issued_ms is None:
            return False
        window_ms = self.settings.claims.key_window_seconds * MS
        now_ms = partition.log_ms()
        oldest = max(now_ms - window_ms, partition.fold.since_ms)
        # One window is the slack for clocks that disagree.
        return not oldest <= key.issued_ms <= now_ms + window_ms / 3

    def _log_out(self, partition: Partition) -> Refusal:
        outcome = Outcome.NOT_RUN if partition.ready else Outcome.UNKNOWN
        return Refusal(
            RefusalReason.LOG_UNAVAILABLE,
            "The log that decides who may run a key is out.",
            outcome,
            self._retry_at(),
        )

    def _retry_at(self) -> Deadline:
        wait = self.settings.admission.retry_after_seconds
        return Deadline(trio.current_time() + wait)

    # Entries.

    def _claim_entry(self, held: HeldClaim, request: CallerRequest) -> Entry:
        key = held.request_key
        partition = self.partitions[key.partition]
        until = deadline_to_wall(self.clock, request.deadline)
        return Entry(
            kind=EntryKind.CLAIM,
            key=key.digest,
            attempt=attempt_digest(held.attempt),
            fingerprint=key.fingerprint,
            seen=partition.seen_at(request.arrived),
            dated=key.issued_ms is not None,
            until_ms=int(until * MS),
        )

    def _entry(
        self, claim: Claim, kind: int, status: int | None = None
    ) -> Entry:
        return Entry(
            kind=kind,
            key=claim.request_key.digest,
            attempt=attempt_digest(claim.attempt),
            status=status,
        )

    async def _submit(
        self,
        claim: HeldClaim,
        entry: Entry,
        deadline: Deadline,
        lasting: bool = False,
    ) -> Verdict:
        partition = self.partitions[claim.request_key.partition]
        return await partition.submit(entry, deadline, lasting)

    def _persist(
        self, claim: HeldClaim, kind: int, status: int | None = None
    ) -> None:
        """Append an entry in the background, for as long as it matters."""
        if self.nursery is None or self.open_entries >= MAX_BACKGROUND:
            self.given_up.inc({"reason": "too-many"})
            return
        entry = self._entry(claim, kind, status)
        self.open_entries += 1
        self.nursery.start_soon(self._persist_task, claim, entry)

    async def _persist_task(self, claim: HeldClaim, entry: Entry) -> None:
        window = self.settings.claims.key_window_seconds
        deadline = Deadline(trio.current_time() + window)
        try:
            while trio.current_time() < deadline:
                verdict = await self._submit(claim, entry, deadline, True)
                if verdict.kind in UNSETTLED:
                    await trio.sleep(RETRY_SECONDS)
                    continue
                return
            self.given_up.inc({"reason": "too-old"})
        finally:
            self.open_entries -= 1

    # Verdicts.

    def _granted(
        self, held: HeldClaim, request: CallerRequest, entry: Entry
    ) -> Result[Claim, Refusal]:
        """Return the claim, unless it comes too late to be used."""
        late = trio.current_time() >= request.deadline
        # A suspended host's monotonic clock may stand still meanwhile.
        if late or self.clock.wall() * MS >= entry.until_ms:
            return Failure(self._in_doubt(held))
        return Success(held)

    async def _refusal(
        self, held: HeldClaim, request: CallerRequest, verdict: Verdict
    ) -> Refusal:
        partition = self.partitions[held.request_key.partition]
        if verdict.kind in (VerdictKind.FAILED, VerdictKind.NOT_READY):
            return self._log_out(partition)
        if verdict.kind == VerdictKind.IN_DOUBT:
            return self._in_doubt(held)
        if verdict.kind == VerdictKind.DEAD:
            return self._in_doubt(held)
        return self._taken(verdict)

    def _in_doubt(self, held: HeldClaim) -> Refusal:
        """Make the claim dead in the background and answer "unknown"."""
        self._persist(held, EntryKind.RELEASE)
        return refuse(
            RefusalReason.CLAIM_IN_DOUBT,
            "It could not be settled in time whether the key was claimed.",
            self._retry_at(),
        )

    def _taken(self, verdict: Verdict) -> Refusal:
        """Return the refusal for a key that another attempt holds."""
        if verdict.kind == VerdictKind.REUSED:
            return refuse(
                RefusalReason.KEY_REUSED,
                "The key was used for a different request.",
            )
        if verdict.kind == VerdictKind.DONE:
            return refuse(
                RefusalReason.KEY_ALREADY_DONE,
                f"The request ran and was answered with {verdict.status}.",
            )
        if (verdict.until_ms or 0) > self.clock.wall() * MS:
            return refuse(
                RefusalReason.KEY_IN_PROGRESS,
                "An earlier attempt with this key is still running.",
                self._retry_at(),
            )
        return refuse(
            RefusalReason.KEY_OUTCOME_UNKNOWN,
            "An earlier attempt with this key may have run.",
        )


RETRY_SECONDS = 0.2
"""Pause before an entry is given to the log again in the background."""

UNSETTLED = frozenset(
    (VerdictKind.FAILED, VerdictKind.IN_DOUBT, VerdictKind.NOT_READY)
)
"""Verdicts that say nothing of the log's order."""
