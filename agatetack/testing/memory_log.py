"""Stand in for the platform's log, in memory and with scripted faults."""

import dataclasses
import enum
from collections.abc import Callable

import trio

from agatetack.clock import Clock, SystemClock
from agatetack.ids import Deadline, LogOffset, StreamId, WallTime
from agatetack.record_log.log import (
    Log,
    LogOutcomeUnknown,
    LogPage,
    LogRecord,
    LogTooFast,
    LogTruncated,
    LogUnavailable,
)


class AppendFault(enum.Enum):
    """What may go wrong with one append."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    TOO_FAST = "too-fast"
    REPLY_LOST = "reply-lost"
    REQUEST_LOST = "request-lost"
    LANDS_LATE = "lands-late"


@dataclasses.dataclass(slots=True)
class LogFaults:
    """Faults in force; tests change them at any time.

    Attributes:
        outage: Whether every call fails at once.
        frozen: Whether calls neither take effect nor return until it ends.
        delay_seconds: How long each call takes.
        next_appends: Faults of the next appends, first one first.
        late_seconds: When an append that lands late takes effect.
        appends_per_second: Appends taken from all hosts together, or 0 for
            no limit; one more in the same second is refused as too fast.
    """

    outage: bool = False
    frozen: bool = False
    delay_seconds: float = 0.0
    next_appends: list[AppendFault] = dataclasses.field(default_factory=list)
    late_seconds: float = 1.0
    appends_per_second: float = 0.0


class MemoryLogService:
    """The records of all streams; shared by the clients of all hosts.

    Attributes:
        streams: Records by stream, from the first one kept.
        ends: The offset of each stream's next append.
        appends: Number of appends that took effect.
        faults: Faults for every client.
        watchers: Called with each record that is appended.
    """

    def __init__(self, clock: Clock | None = None):
        """Start with empty streams."""
        self.clock = clock or SystemClock()
        self.streams: dict[StreamId, list[LogRecord]] = {}
        self.ends: dict[StreamId, int] = {}
        self.appends = 0
        self.faults = LogFaults()
        self.watchers: list[Callable[[StreamId, LogRecord], None]] = []
        self.changed = trio.Event()
        self.paced_until = 0.0

    def pace(self) -> None:
        """Refuse an append that comes faster than the faults allow.

        Raises:
            LogTooFast: More than a second's appends came within a second.
        """
        rate = self.faults.appends_per_second
        if not rate:
            return
        now = trio.current_time()
        if self.paced_until > now + 1:
            raise LogTooFast(Deadline(self.paced_until - 1))
        self.paced_until = max(self.paced_until, now) + 1 / rate

    def store(self, stream: StreamId, payload: bytes) -> LogOffset:
        """Append at once and wake waiting readers."""
        offset = LogOffset(self.ends.get(stream, 0))
        record = LogRecord(offset, payload, self.clock.wall())
        self.streams.setdefault(stream, []).append(record)
        self.ends[stream] = offset + 1
        self.appends += 1
        for watcher in self.watchers:
            watcher(stream, record)
        self.changed.set()
        self.changed = trio.Event()
        return offset

    def first(self, stream: StreamId) -> LogOffset:
        """Return the first offset still kept."""
        records = self.streams.get(stream)
        if records:
            return records[0].offset
        return LogOffset(self.ends.get(stream, 0))

    def truncate(self, stream: StreamId, first: int) -> None:
        """Forget the records before offset `first`."""
        records = self.streams.get(stream, [])
        self.streams[stream] = [r for r in records if r.offset >= first]

    def expire(self, before: WallTime) -> None:
        """Forget the records that were appended before wall time `before`."""
        for stream, records in self.streams.items():
            kept = [r for r in records if r.appended_at >= before]
            self.streams[stream] = kept


class MemoryLog(Log):
    """One host's client of a `MemoryLogService`, with faults of its own."""

    def __init__(
        self, service: MemoryLogService, nursery: trio.Nursery | None = None
    ):
        """Reach `service`.

        Args:
            service: Where the records are.
            nursery: Runs appends that land late; needed only for those.
        """
        self.service = service
        self.nursery = nursery
        self.faults = LogFaults()

    async def append(
        self, stream: StreamId, payload: bytes, deadline: Deadline
    ) -> LogOffset:
        """Append one record, unless a fault is scripted."""
        await self._pass_faults(deadline, appending=True)
        self.service.pace()
        fault = AppendFault.NONE
        for faults in (self.faults, self.service.faults):
            if faults.next_appends:
                fault = faults.next_appends.pop(0)
                break
        if fault is AppendFault.UNAVAILABLE:
            raise LogUnavailable("scripted")
        if fault is AppendFault.TOO_FAST:
            raise LogTooFast(Deadline(trio.current_time() + 0.05))
        if fault is AppendFault.REQUEST_LOST:
            raise LogOutcomeUnknown("scripted: never lands")
        if fault is AppendFault.LANDS_LATE:
            self._land_late(stream, payload, faults.late_seconds)
            raise LogOutcomeUnknown("scripted: lands late")
        offset = self.service.store(stream, payload)
        if fault is AppendFault.REPLY_LOST:
            raise LogOutcomeUnknown("scripted: landed")
        return offset

    async def read(
        self,
        stream: StreamId,
        start: LogOffset,
        deadline: Deadline,
        wait_until: Deadline | None = None,
        max_records: int = 1000,
    ) -> LogPage:
        """Return records from `start` on, unless a fault is scripted."""
        await self._pass_faults(deadline, appending=False)
        if wait_until is not None:
            await self._wait_for(stream, start, min(wait_until, deadline))
        first = self.service.first(stream)
        if start < first:
            raise LogTruncated(first)
        records = self.service.streams.get(stream, [])
        skip = start - first
        return LogPage(
            records=records[skip : skip + max_records],
            first=first,
            end=LogOffset(self.service.ends.get(stream, 0)),
        )

    async def _wait_for(
        self, stream: StreamId, start: LogOffset, until: float
    ) -> None:
        with trio.move_on_at(until):
            while self.service.ends.get(stream, 0) <= start:
                await self.service.changed.wait()

    async def _pass_faults(self, deadline: Deadline, appending: bool) -> None:
        for faults in (self.faults, self.service.faults):
            if faults.outage:
                await trio.lowlevel.checkpoint()
                raise LogUnavailable("scripted outage")
            while faults.frozen:
                await trio.sleep(0.01)
                if trio.current_time() >= deadline:
                    if appending:
                        raise LogOutcomeUnknown("scripted: frozen")
                    raise LogUnavailable("scripted: frozen")
            if faults.delay_seconds:
                await trio.sleep(faults.delay_seconds)
        await trio.lowlevel.checkpoint()

    def _land_late(
        self, stream: StreamId, payload: bytes, seconds: float
    ) -> None:
        if self.nursery is None:
            raise ValueError("an append that lands late needs a nursery")
        self.nursery.start_soon(self._store_later, stream, payload, seconds)

    async def _store_later(
        self, stream: StreamId, payload: bytes, seconds: float
    ) -> None:
        await trio.sleep(seconds)
        self.service.store(stream, payload)
