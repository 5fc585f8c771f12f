"""Read one claim stream and give pending entries their verdicts."""

import collections
import dataclasses
import math

import trio

from agatetack.claims import codec
from agatetack.claims.appender import (
    RETRY_SECONDS,
    Appender,
    AppendListener,
    PendingAppend,
)
from agatetack.claims.fold import MS_PER_SECOND, Fold
from agatetack.claims.rate_limiter import AppendRateLimiter
from agatetack.clock import Clock
from agatetack.generated.claims.ttypes import Entry, Verdict, VerdictKind
from agatetack.ids import Deadline, LogOffset, StreamId
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.record_log.log import (
    Log,
    LogPage,
    LogRecord,
    LogTruncated,
    LogUnavailable,
)
from agatetack.record_log.resumption import Resumption
from agatetack.settings.model import Settings

MAX_POSITIONS = 512
"""Number of past read positions that are remembered."""

log_lines = PartLog("claims")


@dataclasses.dataclass(frozen=True, slots=True)
class PendingAppendId:
    """Identifies an entry that waits for its verdict."""

    kind: int
    attempt: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """The first offset that was not folded at a given time."""

    at: Deadline
    next: LogOffset


class Partition(AppendListener):
    """One claim stream as this host sees it.

    Attributes:
        number: Which partition it is, from 0.
        fold: Which attempt holds which key, by the records read so far.
        ready: Whether the fold has reached the stream's end.
        reachable: Whether the log answered the last time it was called.
        resumption: Signals when the stream is read to its end after a gap.
        last_complete_read_at: When the last read that reached the end began.
    """

    def __init__(
        self,
        number: int,
        settings: Settings,
        log: Log,
        metrics: Metrics,
        clock: Clock,
        rate_limiter: AppendRateLimiter,
    ):
        """Prepare to read the stream of partition `number`."""
        self.number = number
        self.stream = StreamId(f"claims-{number}")
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.appender = Appender(
            self.stream, settings, log, metrics, rate_limiter, self
        )
        self.fold = Fold(settings)
        self.ready = False
        self.reachable = True
        self.resumption = Resumption()
        self.last_complete_read_at = Deadline(-math.inf)
        self.read_scope = trio.CancelScope()
        self.read_requested = trio.Event()
        self.pending: dict[PendingAppendId, PendingAppend] = {}
        self.positions: collections.deque[Position] = collections.deque(
            maxlen=MAX_POSITIONS
        )

    async def run(self) -> None:
        """Read and append until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_loop)
            nursery.start_soon(self.appender.run)

    def offset_at(self, arrived: Deadline) -> LogOffset:
        """Return the first offset that was not folded at `arrived`."""
        for position in reversed(self.positions):
            if position.at <= arrived:
                return position.next
        return LogOffset(0)

    def log_time_ms(self) -> int:
        """Return the estimated time of the log's clock, in ms since 1970."""
        return max(self.fold.now_ms, int(self.clock.wall() * MS_PER_SECOND))

    # Pending entries.

    async def submit(
        self, entries: list[Entry], deadline: Deadline
    ) -> list[Verdict]:
        """Append `entries` and return a verdict for each.

        An entry may be submitted again; a second record of it has no effect.

        Returns:
            For each entry FAILED or NOT_READY if no append of it was sent,
            IN_DOUBT if one was or may be sent, else the fold's verdict.
        """
        if not self.ready:
            return [Verdict(VerdictKind.NOT_READY) for _ in entries]
        pending_appends = [self.watch(entry) for entry in entries]
        for pending in pending_appends:
            self.appender.put(pending)
        try:
            with trio.move_on_at(deadline):
                for pending in pending_appends:
                    await pending.settled.wait()
        finally:
            for pending in pending_appends:
                self.unwatch(pending)
        return [
            pending.verdict or Verdict(VerdictKind.IN_DOUBT)
            for pending in pending_appends
        ]

    def watch(self, entry: Entry) -> PendingAppend:
        """Return an object that gets the verdict once `entry` is folded."""
        name = PendingAppendId(entry.kind, entry.attempt)
        pending = self.pending.get(name)
        if pending is None:
            pending = PendingAppend(entry)
            self.pending[name] = pending
            if self.ready and self.fold.has(entry):
                pending.settle(self.fold.verdict_on(entry))
        pending.waiters += 1
        return pending

    def unwatch(self, pending: PendingAppend) -> None:
        """Stop waiting; an entry without waiters is not sent any more."""
        pending.waiters -= 1
        if not pending.waiters:
            name = PendingAppendId(pending.entry.kind, pending.entry.attempt)
            del self.pending[name]

    def on_appended(self, offset: LogOffset, payload: bytes) -> None:
        """Fold an appended record at once, if it is the next one."""
        self.reachable = True
        if self.ready and offset == self.fold.next:
            self._fold_payload(offset, self.log_time_ms(), payload)
        elif offset >= self.fold.next:
            # Records of other hosts precede it and must be read first.
            self._request_read()

    def on_log_failed(self) -> None:
        """Refuse new claims until the log answers again."""
        self.reachable = False
        self._request_read()

    # Reading.

    async def _read_loop(self) -> None:
        while True:
            self.read_requested = trio.Event()
            try:
                # A failed append cancels a waiting read, as the next read
                # shows at once whether the log answers.
                with trio.CancelScope() as self.read_scope:
                    await self._read()
            except LogTruncated as error:
                self.resumption.interrupt()
                self._restart_at(error.first)
            except LogUnavailable:
                self.resumption.interrupt()
                self.reachable = False
                await trio.sleep(RETRY_SECONDS)
            else:
                await self._pause()

    async def _pause(self) -> None:
        """Let records accumulate, as one read per record would cost too much.

        Verdicts are not delayed: coordinators fold their own records at once
        and send the verdicts to the other hosts.
        """
        if self.ready and self.reachable:
            with trio.move_on_after(self.settings.claims.read_pause_seconds):
                await self.read_requested.wait()

    def _request_read(self) -> None:
        """Start a read now."""
        self.read_requested.set()
        self.read_scope.cancel()

    async def _read(self) -> None:
        settings = self.settings.platform.log
        started = Deadline(trio.current_time())
        # Don't wait for new records until a read has reached the end, as an
        # empty page shows sooner that it has.
        waits = self.ready and self.reachable
        wait = Deadline(started + (settings.poll_seconds if waits else 0))
        deadline = Deadline(wait + settings.timeout_seconds)
        page = await self.log.read(self.stream, self.fold.next, deadline, wait)
        self._apply_page(page, started)

    def _restart_at(self, first: LogOffset) -> None:
        """Continue at the first retained record; earlier ones were dropped."""
        if self.fold.next > 0:
            log_lines.warning(
                "Partition %d: retention dropped unread records %d to %d.",
                self.number,
                self.fold.next,
                first - 1,
            )
            self._count_dropped("retention")
        self.ready = False
        for pending in self.pending.values():
            pending.settle(Verdict(VerdictKind.IN_DOUBT))
        self.fold.start(first)

    def _apply_page(self, page: LogPage, started: Deadline) -> None:
        self.reachable = True
        for record in page.records:
            self._apply_record(record)
        if self.fold.next >= page.end:
            self.ready = True
            self.last_complete_read_at = started
            self.resumption.reach_end()
        label = {"stream": self.stream}
        self.metrics.log_offset.set(label, self.fold.next)
        self.metrics.log_lag.set(label, max(0, page.end - self.fold.next))

    def _apply_record(self, record: LogRecord) -> None:
        # Records appended here may have been folded during this read.
        if record.offset >= self.fold.next:
            at_ms = math.floor(record.appended_at * MS_PER_SECOND)
            self._fold_payload(record.offset, at_ms, record.payload)

    def _fold_payload(
        self, offset: LogOffset, at_ms: int, payload: bytes
    ) -> None:
        try:
            entries = codec.decode_batch(payload).entries
        except codec.BadMessage as error:
            log_lines.warning("Skipped malformed record %d: %s.", offset, error)
            self._count_dropped("bad-record")
            entries = []
        for entry in entries:
            self.fold.apply(offset, at_ms, entry)
            self._settle_waiter(entry)
        self.fold.advance(offset, at_ms)
        now = Deadline(trio.current_time())
        self.positions.append(Position(now, self.fold.next))

    def _settle_waiter(self, entry: Entry) -> None:
        pending = self.pending.get(PendingAppendId(entry.kind, entry.attempt))
        if pending is not None and self.ready:
            pending.settle(self.fold.verdict_on(entry))

    def _count_dropped(self, reason: str) -> None:
        self.metrics.dropped.inc({"part": "claims", "reason": reason})
