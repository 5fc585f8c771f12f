"""Hold one host's configuration and apply records from all sources to it."""

import collections
import dataclasses
import enum
from collections.abc import Sequence

import trio

from agatetack.config.counters import ConfigCounters, Problem
from agatetack.config.fold import (
    REMEMBERED_RECORDS,
    Decision,
    Fold,
    Step,
    Verdict,
)
from agatetack.config.records import extend_chain
from agatetack.config.route import RouteSource, RouteTable
from agatetack.ids import ChangeId, LogOffset
from agatetack.logs import PartLog

MAX_KEPT_BYTES = 512 * 1024
"""Maximum total size of the records kept for peers that are behind."""

RECORDS_PER_YIELD = 8
"""Number of records folded before yielding to other tasks."""


class Source(enum.Enum):
    """Where records or a snapshot came from."""

    LOG = "log"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Consecutive records of the configuration stream.

    Attributes:
        first: The offset of the first one.
        payloads: The encoded records, unchanged from the log.
    """

    first: LogOffset
    payloads: Sequence[bytes]

    @property
    def last(self) -> LogOffset:
        """Return the offset of the last record."""
        return LogOffset(self.first + len(self.payloads) - 1)


@dataclasses.dataclass(frozen=True, slots=True)
class KeptRecord:
    """A folded record, kept for peers that are behind.

    Attributes:
        payload: The encoded record, unchanged from the log.
        chain: Checksum of all records up to this one.
    """

    payload: bytes
    chain: int


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A task that waits for a change to be decided.

    Attributes:
        base: The version of this host's fold when the change was written.
        settled: Set once one of the fields below is.
        decision: How the change was decided, or None.
        stale: Whether the record was appended too late to be decided.
        decision_lost: Whether the decision is unknown, as a snapshot replaced
            the records that may have contained it.
    """

    base: LogOffset
    settled: trio.Event = dataclasses.field(default_factory=trio.Event)
    decision: Decision | None = None
    stale: bool = False
    decision_lost: bool = False


class ConfigState:
    """One host's fold, its table in force and the waiters for changes.

    Attributes:
        fold: The fold of the records read so far.
        ready: Whether the fold has reached the newest known record.
        changed: Set and replaced whenever the fold or `ready` changes.
        waiters: The waiters by change.
        kept: The newest records, the last one at `fold.version`.
    """

    def __init__(
        self, source: RouteSource, counters: ConfigCounters, max_kept: int
    ):
        """Start without configuration; `source.table` stays None."""
        self.source = source
        self.counters = counters
        self.max_kept = max_kept
        self.log = PartLog("config")
        self.fold = Fold()
        self.ready = False
        self.changed = trio.Event()
        self.waiters: dict[ChangeId, list[Waiter]] = {}
        self.kept: collections.deque[KeptRecord] = collections.deque()
        self.kept_bytes = 0

    @property
    def first_kept(self) -> LogOffset:
        """Return the offset of the first record kept."""
        return LogOffset(self.fold.version - len(self.kept) + 1)

    def fold_batch(self, batch: Batch, source: Source) -> list[Step]:
        """Fold those records of `batch` that come next.

        Records that are already folded are skipped, and nothing is folded
        after a gap, so no source can restore an older state.
        """
        skip = self.fold.version + 1 - batch.first
        if skip < 0 or skip >= len(batch.payloads):
            return []
        steps = [self._fold_record(p) for p in batch.payloads[skip:]]
        self.counters.count_folded(source.value, len(steps))
        self._update_table(steps)
        for step in steps:
            self._settle(step)
        self._notify()
        return steps

    async def fold_in_parts(self, batch: Batch, source: Source) -> None:
        """Fold a batch in parts, so that a long one does not delay requests."""
        for at in range(0, len(batch.payloads), RECORDS_PER_YIELD):
            part = batch.payloads[at : at + RECORDS_PER_YIELD]
            self.fold_batch(Batch(LogOffset(batch.first + at), part), source)
            await trio.lowlevel.checkpoint()

    def load(self, fold: Fold, source: Source) -> bool:
        """Load a snapshot's fold if it is newer; return whether it is."""
        if fold.version <= self.fold.version:
            return False
        self.log.info(
            "loaded a snapshot of version %d from %s.",
            fold.version,
            source.value,
        )
        self.counters.count_loaded(source.value)
        self.fold = fold
        self.kept.clear()
        self.kept_bytes = 0
        if self.ready:
            self.source.table = RouteTable(fold.routes())
        for change_id, waiters in list(self.waiters.items()):
            for waiter in waiters:
                self._settle_after_load(change_id, waiter)
        self._notify()
        return True

    def mark_ready(self) -> None:
        """Put the fold's routes in force, as they are the newest known."""
        if self.ready:
            return
        self.source.table = RouteTable(self.fold.routes())
        self.ready = True
        self.log.info("ready at version %d.", self.fold.version)
        self._notify()

    def kept_after(self, version: LogOffset) -> list[KeptRecord]:
        """Return the kept records after `version`; none if there is a gap."""
        skip = version + 1 - self.first_kept
        return [] if skip < 0 else list(self.kept)[skip:]

    def chain_after(self, batch: Batch) -> int | None:
        """Return the checksum after `batch`, or None if there is a gap."""
        skip = self.fold.version + 1 - batch.first
        if skip < 0:
            return None
        chain = self.fold.chain
        for payload in batch.payloads[skip:]:
            chain = extend_chain(chain, payload)
        return chain

    def add_waiter(self, change_id: ChangeId) -> Waiter:
        """Add a waiter for a change that is about to be written."""
        waiter = Waiter(self.fold.version)
        self.waiters.setdefault(change_id, []).append(waiter)
        return waiter

    def remove_waiter(self, change_id: ChangeId, waiter: Waiter) -> None:
        """Remove a waiter."""
        waiters = self.waiters[change_id]
        waiters.remove(waiter)
        if not waiters:
            del self.waiters[change_id]

    def _fold_record(self, payload: bytes) -> Step:
        step = self.fold.apply(LogOffset(self.fold.version + 1), payload)
        self.counters.count_verdict(step.verdict)
        if step.verdict in (Verdict.MALFORMED, Verdict.INVALID):
            self.log.warning(
                "skipped record %d, which is malformed or invalid.",
                self.fold.version,
            )
        self.kept.append(KeptRecord(payload, self.fold.chain))
        self.kept_bytes += len(payload)
        while (
            len(self.kept) > self.max_kept or self.kept_bytes > MAX_KEPT_BYTES
        ):
            self.kept_bytes -= len(self.kept.popleft().payload)
        return step

    def _update_table(self, steps: Sequence[Step]) -> None:
        if self.source.table is None:
            return
        changed = {
            step.change.route_id: None
            for step in steps
            if step.verdict is Verdict.ACCEPTED
        }
        for route_id in changed:
            slot = self.fold.slots.get(route_id)
            route = None if slot is None else slot.route
            self.source.table = self.source.table.with_route(route_id, route)

    def _settle(self, step: Step) -> None:
        if step.change is None:
            return
        change_id = step.change.change_id
        decision = self.fold.decisions.get(change_id)
        for waiter in self.waiters.get(change_id, ()):
            if decision is not None:
                waiter.decision = decision
                waiter.settled.set()
            elif self.fold.version - waiter.base > REMEMBERED_RECORDS:
                waiter.stale = True
                waiter.settled.set()

    def _settle_after_load(self, change_id: ChangeId, waiter: Waiter) -> None:
        waiter.decision = self.fold.decisions.get(change_id)
        # The change may have been decided in the records that the snapshot
        # replaces, and the decision removed again by later ones of them.
        waiter.decision_lost = (
            waiter.decision is None
            and self.fold.version - waiter.base > REMEMBERED_RECORDS
        )
        if waiter.decision is not None or waiter.decision_lost:
            waiter.settled.set()

    def _notify(self) -> None:
        self.counters.set_position(
            self.fold.version, len(self.fold.matches), self.ready
        )
        self.changed.set()
        self.changed = trio.Event()

    def report_problem(
        self, problem: Problem, text: str, *args: object
    ) -> None:
        """Count a problem and log it as a warning."""
        self.counters.count_problem(problem)
        self.log.warning(text, *args)
