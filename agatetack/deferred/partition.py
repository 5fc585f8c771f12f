"""Follow one partition's log stream and load stored entries from it."""

import collections
from collections.abc import Callable

import trio

from agatetack.clock import Clock
from agatetack.deferred.fold import End, Fold, Ticket
from agatetack.deferred.queue import StoredAnswer
from agatetack.deferred.records import (
    MalformedRecord,
    decode_batch,
    load_headers,
    stream_of,
)
from agatetack.deferred.writer import AppendRateLimiter, Writer
from agatetack.generated.deferred.ttypes import EndChunk, Entry, Submission
from agatetack.ids import Deadline, LogOffset, TicketId
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.record_log.log import (
    Log,
    LogRecord,
    LogTruncated,
    LogUnavailable,
)
from agatetack.record_log.resumption import Resumption
from agatetack.settings.model import Settings

LOG = PartLog("deferred")
RETRY_SECONDS = 0.2
"""Delay before a failed read of the log is retried."""

PAGE_RECORDS = 32
"""Records per read; each may be as large as the log allows."""

MAX_END_SPAN_RATIO = 0.25
"""Longest time between the records of one end, as a share of retention."""

OpenHandler = Callable[[TicketId], None]
"""Called with a ticket that is open and was just read from the log."""


class EntryNotFound(Exception):
    """The requested entry is no longer in the log at its known offset."""


class Partition:
    """One partition: its log stream, its tickets, and tasks waiting on them.

    Attributes:
        number: The partition's number, with which its ticket ids begin.
        fold: The state of its tickets.
        position: The offset of the next record to read.
        caught_up: Whether the stream has been read to its end since this
            host started, or since it last had to start over.
        caught_up_at: When the stream was last read to its end.
        resumption: Signals that the stream was read to its end after an
            interruption.
        writer: Appends to the stream.
    """

    def __init__(
        self,
        number: int,
        settings: Settings,
        log: Log,
        rate_limiter: AppendRateLimiter,
        metrics: Metrics,
        clock: Clock,
    ):
        """Start before the first record; `run` reads the stream."""
        self.number = number
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self.clock = clock
        self.stream = stream_of(number)
        self.fold = self._new_fold()
        self.position = LogOffset(0)
        self.caught_up = False
        self.caught_up_at = Deadline(0.0)
        self.resumption = Resumption()
        self.changed = trio.Event()
        self.ticket_events: dict[TicketId, trio.Event] = {}
        self.cache: collections.OrderedDict[LogOffset, bytes] = (
            collections.OrderedDict()
        )
        self.cached_bytes = 0
        self.writer = Writer(
            settings, log, self.stream, rate_limiter, metrics, clock
        )
        self.on_open: OpenHandler = lambda ticket: None

    async def run(self) -> None:
        """Read the stream until cancelled."""
        while True:
            try:
                await self._read_page()
            except LogTruncated as error:
                self.resumption.interrupt()
                self._restart_from(error.first)
            except LogUnavailable:
                self.resumption.interrupt()
                await trio.sleep(RETRY_SECONDS)

    @property
    def fresh(self) -> bool:
        """Return whether the ticket state is recent enough to act on.

        To a host that was paused or cut off from the log, tickets that have
        ended and been forgotten in the meantime may still look open.
        """
        log_settings = self.settings.platform.log
        max_age_seconds = (
            log_settings.poll_seconds + log_settings.timeout_seconds
        )
        age = self.clock.now() - self.caught_up_at
        return self.caught_up and age <= max_age_seconds

    def get(self, ticket: TicketId) -> Ticket | None:
        """Return the state of a ticket, or None if it is unknown."""
        return self.fold.tickets.get(ticket)

    async def wait_for(
        self,
        ticket: TicketId,
        condition: Callable[[Ticket], bool],
        until: Deadline,
    ) -> Ticket | None:
        """Return the ticket once it meets `condition`, or None at `until`."""
        while True:
            found = self.get(ticket)
            if found is not None and condition(found):
                return found
            event = self.ticket_events.setdefault(ticket, trio.Event())
            try:
                with trio.move_on_at(until) as scope:
                    await event.wait()
            finally:
                self._discard_event(ticket, event)
            if scope.cancelled_caught:
                return None

    async def wait_caught_up(self, until: Deadline) -> bool:
        """Wait until the stream is read to its end; return False at `until`."""
        with trio.move_on_at(until):
            while not self.caught_up:
                await self.changed.wait()
        return self.caught_up

    async def sync(self, until: Deadline) -> bool:
        """Wait until all records now in the log are read.

        Returns:
            False if the log can't be read that far by `until`.
        """
        try:
            page = await self.log.read(
                self.stream, self.position, until, max_records=1
            )
        except LogTruncated:
            # The reading task has to start over, so the state is outdated.
            return False
        except LogUnavailable:
            return False
        with trio.move_on_at(until):
            while self.position < page.end:
                await self.changed.wait()
        return self.position >= page.end

    async def load_submission(self, ticket: Ticket) -> Submission:
        """Return a ticket's stored request.

        Raises:
            EntryNotFound: It was dropped, or re-appended at another offset.
            LogUnavailable: The log can't be read.
        """
        for entry in await self._load_entries(ticket.offset):
            part = entry.submission
            if part is not None and part.ticket == ticket.id:
                return part
        raise EntryNotFound(ticket.id)

    async def load_chunks(self, ticket: Ticket, end: End) -> list[EndChunk]:
        """Return the chunks of a ticket's end.

        Raises:
            EntryNotFound: They were dropped, or re-appended at another offset.
            LogUnavailable: The log can't be read.
        """
        chunks = []
        for index, offset in enumerate(end.offsets):
            for entry in await self._load_entries(offset):
                part = entry.end
                if (
                    part is not None
                    and (part.ticket, part.attempt) == (ticket.id, end.attempt)
                    and part.index == index
                ):
                    chunks.append(part)
                    break
            else:
                raise EntryNotFound(ticket.id)
        return chunks

    async def load_answer(self, ticket: Ticket, end: End) -> StoredAnswer:
        """Return the answer that ended a ticket; raises like `load_chunks`."""
        chunks = await self.load_chunks(ticket, end)
        return StoredAnswer(
            status=chunks[0].status or 0,
            headers=tuple(load_headers(chunks[0].headers)),
            body=b"".join(chunk.body for chunk in chunks),
        )

    async def _read_page(self) -> None:
        log_settings = self.settings.platform.log
        now = self.clock.now()
        # The first reads don't wait for new records, so that an empty stream
        # counts as caught up at once.
        poll_seconds = log_settings.poll_seconds if self.caught_up else 0.0
        page = await self.log.read(
            self.stream,
            self.position,
            Deadline(now + poll_seconds + log_settings.timeout_seconds),
            wait_until=Deadline(now + poll_seconds),
            max_records=PAGE_RECORDS,
        )
        for record in page.records:
            for ticket in self._apply(record):
                self._notify(ticket)
            self.position = LogOffset(record.offset + 1)
            # Decoding takes long enough to delay fast routes on this thread.
            await trio.lowlevel.checkpoint()
        if self.position >= page.end:
            self.caught_up = True
            self.caught_up_at = self.clock.now()
            self.resumption.reach_end()
        self.changed.set()
        self.changed = trio.Event()

    def _apply(self, record: LogRecord) -> list[TicketId]:
        """Apply a record to the state; return its tickets, each once."""
        try:
            entries = decode_batch(record.payload)
        except MalformedRecord:
            self.metrics.dropped.inc(
                {"part": "deferred", "reason": "malformed-record"}
            )
            return []
        self._cache_record(record.offset, record.payload)
        tickets = [self.fold.apply(record, entry) for entry in entries]
        return list(dict.fromkeys(tickets))

    def _notify(self, ticket: TicketId) -> None:
        event = self.ticket_events.pop(ticket, None)
        if event is not None:
            event.set()
        found = self.get(ticket)
        if found is not None and found.open:
            self.on_open(ticket)

    def _discard_event(self, ticket: TicketId, event: trio.Event) -> None:
        """Remove an event that no task waits for any more."""
        waiting = event.statistics().tasks_waiting
        if waiting == 0 and self.ticket_events.get(ticket) is event:
            del self.ticket_events[ticket]

    def _restart_from(self, first: LogOffset) -> None:
        """Rebuild the state from the first record that the log still has.

        The old state is discarded: it can't distinguish open tickets from
        those that ended and were forgotten while this host wasn't reading.
        """
        if self.position > 0:
            LOG.warning(
                "Retention removed unread records of %s from offset %d on.",
                self.stream,
                self.position,
            )
            self.metrics.dropped.inc(
                {"part": "deferred", "reason": "retention-overtook"}
            )
        self.fold = self._new_fold()
        self.position = first
        self.caught_up = False

    def _new_fold(self) -> Fold:
        retention = self.settings.platform.log.retention_seconds
        return Fold(MAX_END_SPAN_RATIO * retention)

    async def _load_entries(self, offset: LogOffset) -> list[Entry]:
        payload = self.cache.get(offset)
        if payload is None:
            payload = await self._read_payload(offset)
            self._cache_record(offset, payload)
        else:
            self.cache.move_to_end(offset)
        return decode_batch(payload)

    async def _read_payload(self, offset: LogOffset) -> bytes:
        seconds = self.settings.platform.log.timeout_seconds
        deadline = Deadline(self.clock.now() + seconds)
        try:
            page = await self.log.read(
                self.stream, offset, deadline, max_records=1
            )
        except LogTruncated as error:
            raise EntryNotFound(str(offset)) from error
        if not page.records:
            raise EntryNotFound(str(offset))
        return page.records[0].payload

    def _cache_record(self, offset: LogOffset, payload: bytes) -> None:
        """Cache a record and evict the least recently used ones."""
        limit = self.settings.deferred.cache_bytes
        limit //= self.settings.deferred.partitions
        if len(payload) > limit or offset in self.cache:
            return
        self.cache[offset] = payload
        self.cached_bytes += len(payload)
        while self.cached_bytes > limit:
            _, dropped = self.cache.popitem(last=False)
            self.cached_bytes -= len(dropped)
