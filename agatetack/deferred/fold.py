"""Fold one partition's records into the state of its tickets.

The fold is order-independent and idempotent, like a join in a semilattice:
records may come in any order, repeatedly, or be missing if a re-appended copy
follows, and the result is the same. If a ticket has several ends, the one that
was complete at the lowest offset counts; re-appended copies carry the offset
of the original record.
"""

import dataclasses
import sys

from agatetack.generated.deferred.ttypes import (
    EndChunk,
    EndKind,
    Entry,
    Submission,
)
from agatetack.generated.deferred.ttypes import Hold as HoldRecord
from agatetack.ids import (
    AttemptId,
    HostId,
    LogOffset,
    RouteId,
    TicketId,
    WallTime,
)
from agatetack.record_log.log import LogRecord

NOT_STORED = LogOffset(-1)
"""Stands for the offset of a submission that has not been read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """A host's temporary claim to run a ticket; advisory, not a lock.

    Attributes:
        number: The hold's sequence number; the ticket's highest is in force.
        attempt: The attempt's id, unique across hosts.
        host: The host that runs the ticket.
        until: When other hosts may take over the ticket.
        tries: Attempts that may have run, including this one.
        origin: The offset of its original record.
    """

    number: int
    attempt: AttemptId
    host: HostId
    until: WallTime
    tries: int
    origin: LogOffset


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """How a ticket ended.

    Attributes:
        kind: Answered, expired or failed.
        attempt: The attempt that recorded this end.
        origin: The offset at which it was first complete.
        offsets: The offsets at which its chunks can be read now.
        appended_at: The append time of the oldest of these records, by the
            log's clock.
        keep_until: When the ticket may be forgotten.
        reason: Why the request failed, or None.
    """

    kind: int
    attempt: AttemptId
    origin: LogOffset
    offsets: tuple[LogOffset, ...]
    appended_at: WallTime
    keep_until: WallTime
    reason: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """The position of one chunk of an end in the log."""

    origin: LogOffset
    offset: LogOffset
    appended_at: WallTime


@dataclasses.dataclass(slots=True)
class Ticket:
    """One deferred request, without its body.

    Attributes:
        id: The ticket's id.
        identity: A digest that is the same for resubmissions of the request.
        route: Its route, or "" while its submission has not been read.
        submitted_at: When it was submitted.
        deadline: When its answer is no longer useful.
        offset: The offset at which its submission can be read, or
            `NOT_STORED`.
        origin: The lowest known offset of its original records.
        appended_at: The append time of the submission's latest record, by the
            log's clock.
        hold: The hold in force, or None.
        end: How the ticket ended, or None.
        chunks_by_attempt: For each attempt, the chunks of an end that is split
            across several records.
    """

    id: TicketId
    identity: bytes
    appended_at: WallTime
    route: RouteId = RouteId("")
    submitted_at: WallTime = WallTime(0.0)
    deadline: WallTime = WallTime(0.0)
    offset: LogOffset = NOT_STORED
    origin: LogOffset = NOT_STORED
    hold: Hold | None = None
    end: End | None = None
    chunks_by_attempt: dict[AttemptId, dict[int, Chunk]] | None = None

    @property
    def open(self) -> bool:
        """Return whether the request still has to be run."""
        return self.end is None and self.offset != NOT_STORED


class Fold:
    """The state of one partition's tickets.

    Attributes:
        tickets: All tickets that are open or whose end is kept.
        by_identity: The ticket that resubmissions of a request are given.
        open_count: Tickets that still have to be run.
        second_ends: Ends of tickets that had already ended in another
            attempt; each means that a request ran twice.
    """

    def __init__(self, max_end_span_seconds: float) -> None:
        """Start without tickets.

        Args:
            max_end_span_seconds: Longest time between the records of one end.
                It must be less than what is left of the retention when records
                are re-appended, so that no chunk is dropped before the others
                are in the log.
        """
        self.max_end_span_seconds = max_end_span_seconds
        self.tickets: dict[TicketId, Ticket] = {}
        self.by_identity: dict[bytes, TicketId] = {}
        self.open_count = 0
        self.second_ends = 0

    def apply(self, record: LogRecord, entry: Entry) -> TicketId:
        """Apply one entry of `record` and return its ticket."""
        part = entry.submission or entry.start or entry.end
        ticket = self._get_or_create(TicketId(part.ticket), record)
        was_open = ticket.open
        if entry.submission is not None:
            self._apply_submission(ticket, entry.submission, record)
        elif entry.start is not None:
            self._apply_hold(ticket, entry.start.hold, record)
        else:
            self._apply_end_chunk(ticket, entry.end, record)
        self.open_count += ticket.open - was_open
        return ticket.id

    def primary(self, ticket: Ticket) -> Ticket:
        """Return the ticket to run for equal submissions; mostly `ticket`."""
        if ticket.end is not None:
            return ticket
        first = self.by_identity.get(ticket.identity, ticket.id)
        return self.tickets.get(first, ticket)

    def find_identity(self, identity: bytes) -> Ticket | None:
        """Return the ticket of an earlier submission of the same request."""
        ticket = self.by_identity.get(identity)
        return None if ticket is None else self.tickets.get(ticket)

    def forget(self, ticket: Ticket) -> None:
        """Drop a ticket that need not be kept any more."""
        del self.tickets[ticket.id]
        self.open_count -= ticket.open
        self._unindex(ticket)

    def _get_or_create(self, ticket_id: TicketId, record: LogRecord) -> Ticket:
        ticket = self.tickets.get(ticket_id)
        if ticket is None:
            ticket = Ticket(ticket_id, b"", record.appended_at)
            self.tickets[ticket_id] = ticket
        return ticket

    def _apply_submission(
        self, ticket: Ticket, submission: Submission, record: LogRecord
    ) -> None:
        ticket.identity = submission.identity
        # There are few routes, so interning their ids saves memory.
        ticket.route = RouteId(sys.intern(submission.route))
        ticket.submitted_at = WallTime(submission.submitted_at)
        ticket.deadline = WallTime(submission.deadline)
        origin = submission.origin
        self._lower_origin(ticket, record.offset if origin is None else origin)
        ticket.offset = max(ticket.offset, record.offset)
        ticket.appended_at = max(ticket.appended_at, record.appended_at)
        if submission.hold is not None:
            self._apply_hold(ticket, submission.hold, record)
        self._index(ticket)

    def _lower_origin(self, ticket: Ticket, origin: int) -> None:
        if ticket.origin == NOT_STORED or origin < ticket.origin:
            ticket.origin = LogOffset(origin)

    def _apply_hold(
        self, ticket: Ticket, hold: HoldRecord, record: LogRecord
    ) -> None:
        if ticket.end is not None:
            return
        origin = record.offset if hold.origin is None else hold.origin
        previous = ticket.hold
        if previous is not None and (previous.number, -previous.origin) >= (
            hold.number,
            -origin,
        ):
            return
        ticket.hold = Hold(
            hold.number,
            AttemptId(hold.attempt),
            HostId(sys.intern(hold.host)),
            WallTime(hold.until),
            hold.tries,
            LogOffset(origin),
        )

    def _apply_end_chunk(
        self, ticket: Ticket, chunk: EndChunk, record: LogRecord
    ) -> None:
        ticket.identity = chunk.identity
        attempt = AttemptId(chunk.attempt)
        chunks = self._complete_chunks(ticket, attempt, chunk, record)
        if chunks is None:
            return
        previous = ticket.end
        origin = max(item.origin for item in chunks)
        if previous is not None and previous.attempt == attempt:
            origin = min(origin, previous.origin)
        new = End(
            kind=chunk.kind,
            attempt=attempt,
            origin=origin,
            offsets=tuple(item.offset for item in chunks),
            appended_at=min(item.appended_at for item in chunks),
            keep_until=WallTime(chunk.keep_until),
            reason=chunk.reason and sys.intern(chunk.reason),
        )
        if previous is not None and previous.attempt != attempt:
            self.second_ends += 1
            if (previous.origin, previous.attempt) < (new.origin, new.attempt):
                return
        ticket.end = new
        ticket.hold = None
        self._lower_origin(ticket, new.origin)
        self._index(ticket)

    def _complete_chunks(
        self,
        ticket: Ticket,
        attempt: AttemptId,
        chunk: EndChunk,
        record: LogRecord,
    ) -> list[Chunk] | None:
        """Return all chunks of an end if it is complete with `chunk`."""
        origin = record.offset if chunk.origin is None else chunk.origin
        new = Chunk(LogOffset(origin), record.offset, record.appended_at)
        if chunk.chunks == 1:
            return [new]
        if ticket.chunks_by_attempt is None:
            ticket.chunks_by_attempt = {}
        known = ticket.chunks_by_attempt.setdefault(attempt, {})
        previous = known.get(chunk.index)
        if previous is not None and self._close_in_time(
            previous.appended_at, new.appended_at
        ):
            new = Chunk(
                min(previous.origin, new.origin),
                max(previous.offset, new.offset),
                max(previous.appended_at, new.appended_at),
            )
        known[chunk.index] = new
        if len(known) < chunk.chunks:
            return None
        times = [item.appended_at for item in known.values()]
        if not self._close_in_time(min(times), max(times)):
            # The log may already have dropped the oldest chunk, so that a host
            # that starts now could not read it.
            return None
        return [known[index] for index in range(chunk.chunks)]

    def _close_in_time(self, one: WallTime, other: WallTime) -> bool:
        """Return whether two append times are close enough for one end."""
        return abs(other - one) <= self.max_end_span_seconds

    def _index(self, ticket: Ticket) -> None:
        """Index the ticket for resubmissions, unless they should run anew.

        Resubmissions of a request that expired or failed get a new ticket.
        """
        end = ticket.end
        if end is not None and end.kind != EndKind.ANSWERED:
            self._unindex(ticket)
            return
        if not ticket.identity:
            return
        first = self.find_identity(ticket.identity)
        if first is None or _selection_key(ticket) < _selection_key(first):
            self.by_identity[ticket.identity] = ticket.id

    def _unindex(self, ticket: Ticket) -> None:
        if self.by_identity.get(ticket.identity) == ticket.id:
            del self.by_identity[ticket.identity]


def _selection_key(ticket: Ticket) -> tuple[bool, LogOffset, TicketId]:
    """Return the sort key that selects one ticket of equal submissions.

    The first one in the log is selected, as it may run before the next is
    read.
    """
    return (ticket.end is None, ticket.origin, ticket.id)
