"""Expire and forget tickets, and re-append them before retention ends."""

import random
from collections.abc import Iterable

import trio

from agatetack.clock import Clock
from agatetack.deferred.counters import Counters
from agatetack.deferred.ends import make_end
from agatetack.deferred.fold import NOT_STORED, Ticket
from agatetack.deferred.host_ranking import HostRanking, score
from agatetack.deferred.partition import EntryNotFound, Partition
from agatetack.deferred.records import new_attempt
from agatetack.deferred.writer import AppendOutcome, PendingEntry
from agatetack.generated.deferred.ttypes import EndKind, Entry
from agatetack.generated.deferred.ttypes import Hold as HoldRecord
from agatetack.ids import Deadline, HostId, WallTime
from agatetack.outcomes import RefusalReason
from agatetack.record_log.log import LogUnavailable
from agatetack.settings.model import Settings

REAPPEND_AGE_RATIO = 0.5
"""Age at which a record is re-appended, as a share of the retention."""

STAGGER_RATIO = 0.02
"""Extra wait of each lower-ranked host, as a share of the retention."""

MAX_STAGGERS = 10
MAX_BACKOFF_DOUBLINGS = 6
SLICE_TICKETS = 2000
"""Tickets that are checked before other tasks may run."""

GROUP_TICKETS = 100
"""Tickets whose records are queued for append together."""

STORED_OUTCOMES = (AppendOutcome.LANDED, AppendOutcome.NEEDLESS)
"""Append outcomes after which the ticket is safely in the log."""


class TicketMaintenance:
    """Periodically maintains the tickets of one partition.

    Waiting by rank spreads re-appends over long-running hosts. A host that
    has just read to the end of the stream can't know whether other hosts were
    running before, or how long it will run itself, so it doesn't wait.

    Attributes:
        wait_by_rank: Whether re-appends wait for hosts that rank ahead of
            this one.
        failures: Consecutive scans that could not append all that was due.
    """

    def __init__(
        self,
        settings: Settings,
        partition: Partition,
        ranking: HostRanking,
        counters: Counters,
        clock: Clock,
        entropy: random.Random,
    ):
        """Maintain the tickets of `partition`."""
        self.settings = settings
        self.partition = partition
        self.ranking = ranking
        self.counters = counters
        self.clock = clock
        self.entropy = entropy
        self.wait_by_rank = False
        self.failures = 0

    async def run(self) -> None:
        """Scan all tickets repeatedly until cancelled.

        A scan starts as soon as the stream has been read to its end after a
        gap, soon after a failed append, and every `upkeep_seconds` otherwise.
        """
        while True:
            resumed = self.partition.resumption.resumed
            all_stored = True
            if self.partition.fresh:
                all_stored = await self.scan()
            self.failures = 0 if all_stored else self.failures + 1
            self.wait_by_rank = all_stored
            with trio.move_on_after(self._pause_seconds()):
                await resumed.wait()
                self.wait_by_rank = False
                self.failures = 0

    def _pause_seconds(self) -> float:
        """Return the seconds until the next scan."""
        limits = self.settings.deferred
        if not self.failures:
            return limits.upkeep_seconds
        pause = limits.retry_seconds * 2 ** min(
            self.failures, MAX_BACKOFF_DOUBLINGS
        )
        return min(pause, limits.upkeep_seconds)

    async def scan(self) -> bool:
        """Expire, forget and re-append the tickets that are due now.

        Returns:
            Whether all records that were due are known to be in the log.
        """
        self.counters.scans.inc({"ranked": str(self.wait_by_rank).lower()})
        tickets = list(self.partition.fold.tickets.values())
        due: list[Ticket] = []
        for start in range(0, len(tickets), SLICE_TICKETS):
            due += self._collect_due(tickets[start : start + SLICE_TICKETS])
            await trio.lowlevel.checkpoint()
        due.sort(key=self._urgency_key)
        all_stored = True
        for start in range(0, len(due), GROUP_TICKETS):
            all_stored &= await self._append(due[start : start + GROUP_TICKETS])
        return all_stored

    def _urgency_key(self, ticket: Ticket) -> tuple[float, int]:
        """Return the sort key of due tickets, most urgent first.

        Tickets whose records are about equally old are ordered differently on
        each host, so that hosts that start together begin with different
        tickets and find the others already re-appended.
        """
        retention = self.settings.platform.log.retention_seconds
        age_step = _oldest_append_time(ticket) // (STAGGER_RATIO * retention)
        weight = score(ticket.id, self.ranking.host)
        return age_step, -int.from_bytes(weight, "big")

    def _collect_due(self, tickets: list[Ticket]) -> list[Ticket]:
        """Forget expired tickets; return those that need a record now."""
        return [
            ticket
            for ticket in self.find_candidates(tickets)
            if not self._forget_if_unneeded(ticket)
            and self._needs_record(ticket)
        ]

    def _needs_record(self, ticket: Ticket) -> bool:
        return self._expiry_due(ticket) or self._reappend_due(ticket)

    def find_candidates(self, tickets: Iterable[Ticket]) -> list[Ticket]:
        """Return the tickets for which anything may be due now.

        This runs for every ticket, so it has to be cheap.
        """
        now = self.clock.wall()
        retention = self.settings.platform.log.retention_seconds
        appended_before = now - REAPPEND_AGE_RATIO * retention
        found = []
        for ticket in tickets:
            end = ticket.end
            if end is None:
                if (
                    ticket.deadline > now
                    and ticket.appended_at > appended_before
                ):
                    continue
            elif end.keep_until > now and end.appended_at > appended_before:
                continue
            found.append(ticket)
        return found

    async def _append(self, tickets: list[Ticket]) -> bool:
        """Append the records that tickets need now, in shared batches.

        Returns once they are read back, together with what other hosts have
        appended before them, so that the next group skips those tickets.

        Returns:
            Whether all records are known to be in the log.
        """
        pending: list[PendingEntry] = []
        all_readable = True
        for ticket in tickets:
            try:
                pending += await self._queue_records(ticket)
            except LogUnavailable:
                self.counters.reappended("log-unavailable")
                all_readable = False
        for entry in pending:
            await entry.done.wait()
        unstored = sum(
            entry.outcome not in STORED_OUTCOMES for entry in pending
        )
        self.counters.reappended_records.add({"kind": "not-landed"}, unstored)
        if pending and not unstored:
            await self._read_back(tickets)
        return all_readable and not unstored

    async def _read_back(self, tickets: list[Ticket]) -> None:
        seconds = self.settings.platform.log.timeout_seconds
        until = Deadline(self.clock.now() + seconds)
        for ticket in tickets:
            if self.partition.get(ticket.id) is ticket:
                await self.partition.wait_for(
                    ticket.id,
                    lambda known: not self._needs_record(known),
                    until,
                )

    async def _queue_records(self, ticket: Ticket) -> list[PendingEntry]:
        """Queue the records that a ticket needs now.

        Raises:
            LogUnavailable: The records to re-append can't be read.
        """
        if self.partition.get(ticket.id) is not ticket:
            return []
        try:
            if self._expiry_due(ticket):
                return [self._queue_expiry(ticket)]
            if self._reappend_due(ticket):
                return await self._queue_copies(ticket)
        except EntryNotFound:
            return self._queue_lost_end(ticket)
        return []

    def _queue_lost_end(self, ticket: Ticket) -> list[PendingEntry]:
        """Fail a ticket whose records were dropped rather than re-appended."""
        if not ticket.open or not self._past_retention(ticket.appended_at):
            return []
        self.counters.reappended("lost")
        reason = RefusalReason.INTERNAL_ERROR
        return [self._queue_end(ticket, EndKind.FAILED, reason)]

    def _forget_if_unneeded(self, ticket: Ticket) -> bool:
        """Forget a ticket if it is no longer needed; return whether it is."""
        fold = self.partition.fold
        if fold.tickets.get(ticket.id) is not ticket:
            return True
        if ticket.end is not None:
            unneeded = ticket.end.keep_until <= self.clock.wall()
        else:
            # Without a submission, a hold or an incomplete end has no use once
            # the retention has passed.
            unneeded = ticket.offset == NOT_STORED and self._past_retention(
                ticket.appended_at
            )
        if unneeded:
            fold.forget(ticket)
        return unneeded

    def _past_retention(self, appended_at: WallTime) -> bool:
        retention = self.settings.platform.log.retention_seconds
        return appended_at + retention <= self.clock.wall()

    def _expiry_due(self, ticket: Ticket) -> bool:
        if not ticket.open:
            return False
        takeover = self.settings.deferred.takeover_seconds
        now = self.clock.wall()
        if ticket.deadline > now:
            return False
        return ticket.deadline + self.ranking.rank(ticket.id) * takeover <= now

    def _reappend_due(self, ticket: Ticket) -> bool:
        """Return whether a ticket's records must be appended again."""
        if ticket.end is None and not ticket.open:
            return False
        appended_at = _oldest_append_time(ticket)
        retention = self.settings.platform.log.retention_seconds
        now = self.clock.wall()
        if appended_at + REAPPEND_AGE_RATIO * retention > now:
            return False
        if not self.wait_by_rank:
            return True
        staggers = min(self.ranking.rank(ticket.id), MAX_STAGGERS)
        due_ratio = REAPPEND_AGE_RATIO + staggers * STAGGER_RATIO
        return appended_at + due_ratio * retention <= now

    def _queue_expiry(self, ticket: Ticket) -> PendingEntry:
        reason = RefusalReason.TICKET_EXPIRED
        return self._queue_end(ticket, EndKind.EXPIRED, reason)

    def _queue_end(
        self, ticket: Ticket, kind: int, reason: RefusalReason
    ) -> PendingEntry:
        keep_result_until = (
            self.clock.wall() + self.settings.deferred.result_keep_seconds
        )
        attempt = new_attempt(HostId(self.settings.host.id), self.entropy)
        end = make_end(ticket, attempt, kind, keep_result_until)
        end.reason = reason.value
        return self.partition.writer.enqueue(Entry(end=end))

    async def _queue_copies(self, ticket: Ticket) -> list[PendingEntry]:
        writer = self.partition.writer

        def needed() -> bool:
            return self._reappend_due(ticket)

        if ticket.end is not None:
            self.counters.reappended("end")
            chunks = await self.partition.load_chunks(ticket, ticket.end)
            for chunk in chunks:
                chunk.origin = ticket.end.origin
            return [
                writer.enqueue(Entry(end=chunk), needed) for chunk in chunks
            ]
        self.counters.reappended("submission")
        submission = await self.partition.load_submission(ticket)
        submission.hold = _to_hold_record(ticket)
        submission.origin = ticket.origin
        return [writer.enqueue(Entry(submission=submission), needed)]


def _oldest_append_time(ticket: Ticket) -> WallTime:
    """Return the time of the oldest record that a ticket needs."""
    return ticket.appended_at if ticket.end is None else ticket.end.appended_at


def _to_hold_record(ticket: Ticket) -> HoldRecord | None:
    hold = ticket.hold
    if hold is None:
        return None
    return HoldRecord(
        number=hold.number,
        attempt=hold.attempt,
        host=hold.host,
        until=hold.until,
        tries=hold.tries,
        origin=hold.origin,
    )
