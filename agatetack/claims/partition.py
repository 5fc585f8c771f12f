"""Read and write one claim stream: a tail and an appender."""

import collections
import dataclasses
import math

import trio

from agatetack.claims import codec
from agatetack.claims.fold import MS, Fold
from agatetack.claims.pace import Pace
from agatetack.clock import Clock
from agatetack.generated.claims.ttypes import (
    Batch,
    Entry,
    Verdict,
    VerdictKind,
)
from agatetack.ids import Deadline, LogOffset, StreamId
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.platform.log import (
    Log,
    LogOutcomeUnknown,
    LogPage,
    LogRecord,
    LogTooFast,
    LogTruncated,
    LogUnavailable,
)
from agatetack.settings.model import Settings

MAX_APPENDS_IN_FLIGHT = 8
"""Appends of one partition that wait for their reply at the same time."""

RETRY_SECONDS = 0.1
"""Pause before the log is tried again after it failed."""

POSITIONS = 512
"""How many past positions of the tail are remembered."""

log_lines = PartLog("claims")


@dataclasses.dataclass(slots=True)
class Pending:
    """An entry on its way into the log.

    Attributes:
        entry: What to append.
        lasting: Whether to try again while the log is out.
        verdict: What became of it, or None while that is open.
        settled: Set with the verdict.
        in_doubt: Whether an append of it was sent and not answered.
        waiters: Tasks that wait for the verdict.
    """

    entry: Entry
    lasting: bool
    verdict: Verdict | None = None
    settled: trio.Event = dataclasses.field(default_factory=trio.Event)
    in_doubt: bool = False
    waiters: int = 0

    def settle(self, verdict: Verdict) -> None:
        """Give `verdict` to those who wait, once."""
        if self.verdict is None:
            self.verdict = verdict
            self.settled.set()


@dataclasses.dataclass(frozen=True, slots=True)
class PendingId:
    """What tells one entry on its way from another."""

    kind: int
    attempt: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """The first offset that was not folded at a time."""

    at: Deadline
    next: LogOffset


class Partition:
    """One claim stream as this host sees it.

    Attributes:
        number: Which partition it is, from 0.
        fold: Who holds which key.
        ready: Whether the fold has reached the stream's end.
        reachable: Whether the log answered last.
    """

    def __init__(
        self,
        number: int,
        settings: Settings,
        log: Log,
        metrics: Metrics,
        clock: Clock,
        pace: Pace,
    ):
        """Prepare to read the stream of partition `number`."""
        self.number = number
        self.stream = StreamId(f"claims-{number}")
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.pace = pace
        self.fold = Fold(settings)
        self.ready = False
        self.reachable = True
        self.queue: collections.deque[Pending] = collections.deque()
        self.pending: dict[PendingId, Pending] = {}
        self.work = trio.Event()
        self.positions: collections.deque[Position] = collections.deque(
            maxlen=POSITIONS
        )
        self.slots = trio.Semaphore(MAX_APPENDS_IN_FLIGHT)
        self.ready_event = trio.Event()

    async def run(self) -> None:
        """Read and append until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tail)
            nursery.start_soon(self._append_batches, nursery)

    # Positions.

    def seen_at(self, arrived: Deadline) -> LogOffset:
        """Return the first offset that was not folded at `arrived`."""
        for position in reversed(self.positions):
            if position.at <= arrived:
                return position.next
        return LogOffset(0)

    def log_ms(self) -> int:
        """Return the log's time as far as known, in ms since 1970."""
        return max(self.fold.now_ms, int(self.clock.wall() * MS))

    # Entries on their way.

    async def submit(
        self, entry: Entry, deadline: Deadline, lasting: bool = False
    ) -> Verdict:
        """Append `entry` and return what became of it.

        Args:
            entry: What to append; the same entry may be given again.
            deadline: When to give up.
            lasting: Whether to try again while the log is out.

        Returns:
            FAILED if no append of it can have had an effect, IN_DOUBT if
            one may yet have, else the fold's verdict.
        """
        if not self.ready:
            return Verdict(VerdictKind.NOT_READY)
        pending = self._enqueue(entry, lasting)
        pending.waiters += 1
        try:
            with trio.move_on_at(deadline):
                await pending.settled.wait()
        finally:
            pending.waiters -= 1
            if pending.waiters == 0:
                self._forget(pending)
        return pending.verdict or Verdict(VerdictKind.IN_DOUBT)

    def _enqueue(self, entry: Entry, lasting: bool) -> Pending:
        name = PendingId(entry.kind, entry.attempt)
        pending = self.pending.get(name)
        if pending is None:
            pending = Pending(entry, lasting)
            self.pending[name] = pending
            self.queue.append(pending)
            self.work.set()
        return pending

    def _forget(self, pending: Pending) -> None:
        name = PendingId(pending.entry.kind, pending.entry.attempt)
        if self.pending.get(name) is pending:
            del self.pending[name]
        if pending.verdict is None and pending in self.queue:
            self.queue.remove(pending)
            if not pending.in_doubt:
                pending.settle(Verdict(VerdictKind.FAILED))

    # Appending.

    async def _append_batches(self, nursery: trio.Nursery) -> None:
        while True:
            await self.work.wait()
            await self.slots.acquire()
            await self.pace.take()
            batch = self._next_batch()
            if not batch:
                self.work = trio.Event()
                self.slots.release()
                continue
            nursery.start_soon(self._append, batch)

    def _next_batch(self) -> list[Pending]:
        batch: list[Pending] = []
        while self.queue and len(batch) < self.settings.claims.max_batch:
            pending = self.queue.popleft()
            if pending.verdict is None:
                batch.append(pending)
        if not self.queue:
            self.work = trio.Event()
        return batch

    async def _append(self, batch: list[Pending]) -> None:
        try:
            await self._append_once(batch)
        finally:
            self.slots.release()

    async def _append_once(self, batch: list[Pending]) -> None:
        payload = codec.encode(Batch([pending.entry for pending in batch]))
        timeout = self.settings.platform.log.timeout_seconds
        deadline = Deadline(trio.current_time() + timeout)
        try:
            offset = await self.log.append(self.stream, payload, deadline)
        except LogTooFast as error:
            self._count_append("too-fast", batch)
            self._again(batch, error.retry_at)
        except LogUnavailable:
            self._count_append("unavailable", batch)
            self._refused(batch)
        except LogOutcomeUnknown:
            self._count_append("in-doubt", batch)
            for pending in batch:
                pending.in_doubt = True
            self.reachable = False
            self._again(batch, self._retry_at())
        else:
            self._count_append("done", batch)
            self.reachable = True
            # With nothing in between, there is no need to read it back.
            if offset == self.fold.next and self.ready:
                self._fold(offset, self.log_ms(), payload)

    def _refused(self, batch: list[Pending]) -> None:
        self.reachable = False
        again = []
        while self.queue:
            batch.append(self.queue.popleft())
        for pending in batch:
            if pending.lasting or pending.in_doubt:
                again.append(pending)
            else:
                pending.settle(Verdict(VerdictKind.FAILED))
        self._again(again, self._retry_at())

    def _again(self, batch: list[Pending], at: Deadline) -> None:
        self.pace.hold(at)
        for pending in reversed(batch):
            if pending.verdict is None and pending.waiters:
                self.queue.appendleft(pending)
                self.work.set()

    def _retry_at(self) -> Deadline:
        return Deadline(trio.current_time() + RETRY_SECONDS)

    def _count_append(self, result: str, batch: list[Pending]) -> None:
        self.metrics.appends.inc({"kind": "claims", "result": result})
        self.metrics.appended_records.add({"kind": "claims"}, len(batch))

    # Reading.

    async def _tail(self) -> None:
        settings = self.settings.platform.log
        while True:
            # Until the end was seen, an empty answer is worth more than a
            # record that comes later.
            poll = settings.poll_seconds if self.ready else 0
            wait = Deadline(trio.current_time() + poll)
            deadline = Deadline(wait + settings.timeout_seconds)
            try:
                page = await self.log.read(
                    self.stream, self.fold.next, deadline, wait
                )
            except LogTruncated as error:
                await self._start_over(error.first)
            except LogUnavailable:
                self.reachable = False
                await trio.sleep(RETRY_SECONDS)
            else:
                self._take(page)

    async def _start_over(self, first: LogOffset) -> None:
        """Go on at the first record kept, as those before it are gone."""
        if self.fold.next > 0:
            log_lines.warning(
                "Partition %d lost records %d to %d to retention.",
                self.number,
                self.fold.next,
                first - 1,
            )
            self.metrics.dropped.inc({"part": "claims", "reason": "retention"})
        self.ready = False
        for pending in list(self.pending.values()):
            pending.settle(Verdict(VerdictKind.IN_DOUBT))
        self.fold.start(first, 0)

    def _take(self, page: LogPage) -> None:
        self.reachable = True
        for record in page.records:
            self._take_record(record)
        if self.fold.next >= page.end and not self.ready:
            self.ready = True
            self.ready_event.set()
        label = {"stream": self.stream}
        self.metrics.log_offset.set(label, self.fold.next)
        self.metrics.log_lag.set(label, max(0, page.end - self.fold.next))

    def _take_record(self, record: LogRecord) -> None:
        # Own appends may have been folded while this page was read.
        if record.offset >= self.fold.next:
            at_ms = math.floor(record.appended_at * MS)
            self._fold(record.offset, at_ms, record.payload)

    def _fold(self, offset: LogOffset, at_ms: int, payload: bytes) -> None:
        try:
            entries = codec.decode_batch(payload).entries
        except codec.BadMessage as error:
            log_lines.warning("Record %d is skipped: %s.", offset, error)
            self.metrics.dropped.inc({"part": "claims", "reason": "bad-record"})
            entries = []
        for entry in entries:
            self.fold.apply(offset, at_ms, entry)
            self._settle(entry)
        self.fold.advance(offset, at_ms)
        now = Deadline(trio.current_time())
        self.positions.append(Position(now, self.fold.next))

    def _settle(self, entry: Entry) -> None:
        pending = self.pending.get(PendingId(entry.kind, entry.attempt))
        if pending is not None:
            pending.settle(self.fold.judge(entry))
