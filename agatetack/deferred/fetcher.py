"""Return the results of tickets; any host can answer a poll."""

import dataclasses
from collections.abc import Mapping

from returns.result import Failure, Result, Success

from agatetack.clock import Clock
from agatetack.deferred.counters import Counters
from agatetack.deferred.fold import End, Ticket
from agatetack.deferred.partition import EntryNotFound, Partition
from agatetack.deferred.queue import StoredAnswer, TicketState
from agatetack.deferred.records import partition_of
from agatetack.generated.deferred.ttypes import EndKind
from agatetack.ids import Deadline, TicketId
from agatetack.outcomes import Outcome, Refusal, RefusalReason, refuse
from agatetack.record_log.log import LogUnavailable
from agatetack.settings.model import Settings

FetchResult = Result[StoredAnswer | TicketState, Refusal]
MAX_LOAD_TRIES = 3
"""Attempts to load a result whose records are being re-appended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """A completed lookup; `ticket` is None if there is no such ticket."""

    ticket: Ticket | None


class Fetcher:
    """Answers polls from this host's ticket state and from the log."""

    def __init__(
        self,
        settings: Settings,
        partitions: Mapping[int, Partition],
        counters: Counters,
        clock: Clock,
    ):
        """Look up tickets in `partitions`."""
        self.settings = settings
        self.partitions = partitions
        self.counters = counters
        self.clock = clock

    async def fetch(
        self, ticket: TicketId, wait_until: Deadline
    ) -> FetchResult:
        """Return the result, or the ticket's state at `wait_until`."""
        number = partition_of(ticket, len(self.partitions))
        if number is None:
            return _refuse_unknown(ticket)
        partition = self.partitions[number]
        latest = self.clock.now() + self.settings.deferred.max_wait_seconds
        until = Deadline(min(wait_until, latest))
        lookup = await self._look_up(partition, ticket)
        if lookup is None:
            return self._refuse_unavailable()
        if lookup.ticket is None:
            return _refuse_unknown(ticket)
        return await self._wait_for_end(partition, lookup.ticket, until)

    async def _look_up(
        self, partition: Partition, ticket_id: TicketId
    ) -> Lookup | None:
        """Look up a ticket; None if the log can't be read to its end."""
        ticket = partition.get(ticket_id)
        if not partition.caught_up or not self._is_retrievable(ticket):
            seconds = self.settings.platform.log.timeout_seconds
            limit = Deadline(self.clock.now() + seconds)
            # Another host may have accepted the ticket just now.
            if not await partition.wait_caught_up(limit):
                return None
            if not await partition.sync(limit):
                return None
            ticket = partition.get(ticket_id)
        return Lookup(ticket if self._is_retrievable(ticket) else None)

    async def _wait_for_end(
        self, partition: Partition, ticket: Ticket, until: Deadline
    ) -> FetchResult:
        for _ in range(MAX_LOAD_TRIES):
            primary_ticket = partition.fold.primary(ticket)
            ended = await partition.wait_for(
                primary_ticket.id, lambda known: known.end is not None, until
            )
            if ended is None or ended.end is None:
                return Success(TicketState.OPEN)
            try:
                return await self._load_result(partition, ended, ended.end)
            except LogUnavailable:
                return self._refuse_unavailable()
            except EntryNotFound:
                # Its records have just been re-appended at other offsets.
                ticket = partition.get(ticket.id) or ticket
        return _refuse_unknown(ticket.id)

    async def _load_result(
        self, partition: Partition, ticket: Ticket, end: End
    ) -> FetchResult:
        if end.kind == EndKind.ANSWERED:
            return Success(await partition.load_answer(ticket, end))
        if end.kind == EndKind.EXPIRED:
            return Success(TicketState.EXPIRED)
        return _refuse_failed(end)

    def _is_retrievable(self, ticket: Ticket | None) -> bool:
        """Return whether a ticket is open or its result is still kept."""
        if ticket is None or ticket.end is None:
            return ticket is not None and ticket.open
        return ticket.end.keep_until > self.clock.wall()

    def _refuse_unavailable(self) -> FetchResult:
        seconds = self.settings.admission.retry_after_seconds
        # The default outcome of this reason, "not run", would wrongly be taken
        # as the outcome of the ticket's request.
        refusal = Refusal(
            RefusalReason.LOG_UNAVAILABLE,
            "The log can't be read now; poll again later.",
            Outcome.UNKNOWN,
            Deadline(self.clock.now() + seconds),
        )
        return Failure(refusal)


def _refuse_failed(end: End) -> FetchResult:
    try:
        reason = RefusalReason(end.reason)
    except ValueError:
        reason = RefusalReason.INTERNAL_ERROR
    detail = f"The request could not be answered: {reason.value}."
    # An earlier attempt may have run, whatever the reason of the last one.
    return Failure(Refusal(reason, detail, Outcome.UNKNOWN))


def _refuse_unknown(ticket: TicketId) -> FetchResult:
    reason = RefusalReason.TICKET_UNKNOWN
    detail = f"No ticket {ticket!r:.60} is known, or its result is not kept."
    return Failure(refuse(reason, detail))
