"""Expire and forget tickets, and re-append them before retention ends."""

import random
from collections.abc import Iterable

import trio

from agatetack.clock import Clock
from agatetack.deferred.counters import Counters
from agatetack.deferred.ends import make_end
from agatetack.deferred.fold import NOT_STORED, Ticket
from agatetack.deferred.host_ranking import HostRanking, score
from agatetack.deferred.partition import NotKept, Partition
from agatetack.deferred.records import new_attempt
from agatetack.deferred.writer import AppendOutcome, PendingEntry
from agatetack.generated.deferred.ttypes import EndKind, Entry
from agatetack.generated.deferred.ttypes import Hold as HoldRecord
from agatetack.ids import Deadline, HostId, WallTime
from agatetack.outcomes import RefusalReason
from agatetack.record_log.log import LogUnavailable
from agatetack.settings.model import Settings

DUE_RATIO = 0.5
"""Age at which a record is re-appended, as a share of the retention."""

STAGGER_RATIO = 0.02
"""Extra wait of each lower-ranked host, as a share of the retention."""

MAX_STAGGERS = 10
MAX_BACKOFF_DOUBLINGS = 6
SLICE = 2000
"""Tickets that are checked before other tasks may run."""

GROUP = 100
"""Tickets whose records are queued for append together."""

KEPT = (AppendOutcome.LANDED, AppendOutcome.NEEDLESS)
"""Append outcomes after which the ticket is safely in the log."""


class Upkeep:
    """Periodically maintains the tickets of one partition.

    Waiting by rank spreads re-appends over long-running hosts. A host that
    has just read to the end of the stream can't know whether other hosts were
    running before, or how long it will run itself, so it doesn't wait.

    Attributes:
        ranked: Whether re-appends wait for hosts that rank ahead of this one.
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
        self.ranked = False
        self.failures = 0

    async def run(self) -> None:
        """Scan all tickets repeatedly until cancelled.

        A scan starts as soon as the stream has been read to its end after a
        gap, soon after a failed append, and every `upkeep_seconds` otherwise.
        """
        while True:
            resumed = self.partition.reading.resumed
            all_kept = True
            if self.partition.fresh:
                all_kept = await self.look_through()
            self.failures = 0 if all_kept else self.failures + 1
            self.ranked = all_kept
            with trio.move_on_after(self._pause()):
                await resumed.wait()
                self.ranked = False
                self.failures = 0

    def _pause(self) -> float:
        """Return the seconds until the next scan."""
        limits = self.settings.deferred
        if not self.failures:
            return limits.upkeep_seconds
        pause = limits.retry_seconds * 2 ** min(
            self.failures, MAX_BACKOFF_DOUBLINGS
        )
        return min(pause, limits.upkeep_seconds)

    async def look_through(self) -> bool:
        """Expire, forget and re-append the tickets that are due now.

        Returns:
            Whether all records that were due are known to be in the log.
        """
        self.counters.looks.inc({"ranked": str(self.ranked).lower()})
        tickets = list(self.partition.fold.tickets.values())
        due: list[Ticket] = []
        for start in range(0, len(tickets), SLICE):
            due += self._due_among(tickets[start : start + SLICE])
            await trio.lowlevel.checkpoint()
        due.sort(key=self._urgency)
        all_kept = True
        for start in range(0, len(due), GROUP):
            all_kept &= await self._append(due[start : start + GROUP])
        return all_kept

    def _urgency(self, ticket: Ticket) -> tuple[float, int]:
        """Return the sort key of due tickets, most urgent first.

        Tickets whose records are about equally old are ordered differently on
        each host, so that hosts that start together begin with different
        tickets and find the others already re-appended.
        """
        retention = self.settings.platform.log.retention_seconds
        step = _kept_since(ticket) // (STAGGER_RATIO * retention)
        weight = score(ticket.id, self.ranking.host)
        return step, -int.from_bytes(weight, "big")

    def _due_among(self, tickets: list[Ticket]) -> list[Ticket]:
        """Forget expired tickets; return those that need a record now."""
        return [
            ticket
            for ticket in self.candidates(tickets)
            if not self._forget(ticket) and self._needs_record(ticket)
        ]

    def _needs_record(self, ticket: Ticket) -> bool:
        return self._expired(ticket) or self._due(ticket)

    def candidates(self, tickets: Iterable[Ticket]) -> list[Ticket]:
        """Return the tickets for which anything may be due now.

        This runs for every ticket, so it has to be cheap.
        """
        now = self.clock.wall()
        retention = self.settings.platform.log.retention_seconds
        kept_before = now - DUE_RATIO * retention
        found = []
        for ticket in tickets:
            end = ticket.end
            if end is None:
                if ticket.deadline > now and ticket.kept_since > kept_before:
                    continue
            elif end.keep_until > now and end.kept_since > kept_before:
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
        readable = True
        for ticket in tickets:
            try:
                pending += await self._put(ticket)
            except LogUnavailable:
                self.counters.reappended("log-unavailable")
                readable = False
        for entry in pending:
            await entry.done.wait()
        missed = sum(entry.outcome not in KEPT for entry in pending)
        self.counters.kept.add({"kind": "not-landed"}, missed)
        if pending and not missed:
            await self._read_back(tickets)
        return readable and not missed

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

    async def _put(self, ticket: Ticket) -> list[PendingEntry]:
        """Queue the records that a ticket needs now.

        Raises:
            LogUnavailable: The records to re-append can't be read.
        """
        if self.partition.get(ticket.id) is not ticket:
            return []
        try:
            if self._expired(ticket):
                return [self._expire(ticket)]
            if self._due(ticket):
                return await self._put_again(ticket)
        except NotKept:
            return self._end_lost(ticket)
        return []

    def _end_lost(self, ticket: Ticket) -> list[PendingEntry]:
        """Fail a ticket whose records were dropped rather than re-appended."""
        if not ticket.open or not self._past_retention(ticket.kept_since):
            return []
        self.counters.reappended("lost")
        reason = RefusalReason.INTERNAL_ERROR
        return [self._put_end(ticket, EndKind.FAILED, reason)]

    def _forget(self, ticket: Ticket) -> bool:
        """Forget a ticket if it is no longer needed; return whether it is."""
        fold = self.partition.fold
        if fold.tickets.get(ticket.id) is not ticket:
            return True
        if ticket.end is not None:
            over = ticket.end.keep_until <= self.clock.wall()
        else:
            # Without a submission, a hold or an incomplete end has no use once
            # the retention has passed.
            over = ticket.offset == NOT_STORED and self._past_retention(
                ticket.kept_since
            )
        if over:
            fold.forget(ticket)
        return over

    def _past_retention(self, kept_since: WallTime) -> bool:
        retention = self.settings.platform.log.retention_seconds
        return kept_since + retention <= self.clock.wall()

    def _expired(self, ticket: Ticket) -> bool:
        if not ticket.open:
            return False
        takeover = self.settings.deferred.takeover_seconds
        now = self.clock.wall()
        if ticket.deadline > now:
            return False
        return ticket.deadline + self.ranking.rank(ticket.id) * takeover <= now

    def _due(self, ticket: Ticket) -> bool:
        """Return whether a ticket's records must be appended again."""
        if ticket.end is None and not ticket.open:
            return False
        kept_since = _kept_since(ticket)
        retention = self.settings.platform.log.retention_seconds
        now = self.clock.wall()
        if kept_since + DUE_RATIO * retention > now:
            return False
        if not self.ranked:
            return True
        staggers = min(self.ranking.rank(ticket.id), MAX_STAGGERS)
        share = DUE_RATIO + staggers * STAGGER_RATIO
        return kept_since + share * retention <= now

    def _expire(self, ticket: Ticket) -> PendingEntry:
        reason = RefusalReason.TICKET_EXPIRED
        return self._put_end(ticket, EndKind.EXPIRED, reason)

    def _put_end(
        self, ticket: Ticket, kind: int, reason: RefusalReason
    ) -> PendingEntry:
        keep = self.clock.wall() + self.settings.deferred.result_keep_seconds
        attempt = new_attempt(HostId(self.settings.host.id), self.entropy)
        end = make_end(ticket, attempt, kind, keep)
        end.reason = reason.value
        return self.partition.writer.put(Entry(end=end))

    async def _put_again(self, ticket: Ticket) -> list[PendingEntry]:
        writer = self.partition.writer

        def needed() -> bool:
            return self._due(ticket)

        if ticket.end is not None:
            self.counters.reappended("end")
            chunks = await self.partition.load_chunks(ticket, ticket.end)
            for chunk in chunks:
                chunk.origin = ticket.end.origin
            return [writer.put(Entry(end=chunk), needed) for chunk in chunks]
        self.counters.reappended("submission")
        submission = await self.partition.load_submission(ticket)
        submission.hold = _store_hold(ticket)
        submission.origin = ticket.origin
        return [writer.put(Entry(submission=submission), needed)]


def _kept_since(ticket: Ticket) -> WallTime:
    """Return the time of the oldest record that a ticket needs."""
    return ticket.kept_since if ticket.end is None else ticket.end.kept_since


def _store_hold(ticket: Ticket) -> HoldRecord | None:
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
