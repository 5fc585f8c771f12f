"""Store submitted requests in the log, each under one ticket."""

import dataclasses
import random
from collections.abc import Mapping

import trio
from returns.result import Failure, Result, Success

from agatetack.clock import Clock
from agatetack.config.route import Route
from agatetack.deferred.counters import Counters
from agatetack.deferred.fold import Ticket
from agatetack.deferred.partition import Partition
from agatetack.deferred.records import (
    identity_of,
    make_submission,
    new_ticket,
)
from agatetack.deferred.writer import AppendOutcome
from agatetack.generated.deferred.ttypes import Entry
from agatetack.ids import Deadline, TicketId
from agatetack.messages import Body, CallerGone, CallerRequest
from agatetack.outcomes import Refusal, RefusalReason, TicketRefusal, refuse
from agatetack.settings.model import Settings

MAX_DOUBTFUL = 100
"""Unconfirmed submissions that are kept in memory with their bodies; the oldest
is dropped first."""


@dataclasses.dataclass(slots=True)
class Doubt:
    """A submission by this host that may or may not be in the log."""

    ticket: TicketId
    entry: Entry


class Submitter:
    """Append submissions and wait until they are read back.

    Attributes:
        doubts: Unconfirmed submissions by identity. A resubmission reuses the
            ticket, so that a request that may be in the log is neither run
            under two tickets nor refused as not run.
        under_way: Requests that are being submitted, by identity.
    """

    def __init__(
        self,
        settings: Settings,
        partitions: Mapping[int, Partition],
        counters: Counters,
        clock: Clock,
        entropy: random.Random,
    ):
        """Submit requests to `partitions`."""
        self.settings = settings
        self.partitions = partitions
        self.counters = counters
        self.clock = clock
        self.entropy = entropy
        self.doubts: dict[bytes, Doubt] = {}
        self.under_way: dict[bytes, trio.Event] = {}

    async def submit(
        self, route: Route, request: CallerRequest
    ) -> Result[TicketId, Refusal]:
        """Return the request's ticket once its record has been read back."""
        result = await self._submit(route, request)
        if isinstance(result, Failure):
            self.counters.submit(result.failure().reason.value)
        return result

    async def _submit(
        self, route: Route, request: CallerRequest
    ) -> Result[TicketId, Refusal]:
        limit = min(self.settings.deferred.max_body_bytes, route.max_body_bytes)
        try:
            body = await read_body(request.body, limit)
        except CallerGone:
            reason = RefusalReason.CALLER_GONE
            return Failure(refuse(reason, "The caller is gone."))
        if body is None:
            reason = RefusalReason.BODY_TOO_LARGE
            detail = f"The body is larger than {limit} bytes."
            return Failure(refuse(reason, detail))
        identity = identity_of(route, request, body)
        while identity in self.under_way:
            # The same request is being submitted; wait for the outcome.
            await self.under_way[identity].wait()
        self.under_way[identity] = trio.Event()
        try:
            return await self._take_in(route, request, identity, body)
        finally:
            self.under_way.pop(identity).set()

    async def _take_in(
        self,
        route: Route,
        request: CallerRequest,
        identity: bytes,
        body: bytes,
    ) -> Result[TicketId, Refusal]:
        number = int.from_bytes(identity[:4], "big") % len(self.partitions)
        partition = self.partitions[number]
        known = partition.fold.find_identity(identity)
        if known is not None and over(known, self.clock):
            # Its result has expired and must not be returned any more.
            partition.fold.forget(known)
            known = None
        if known is not None:
            self.counters.submit("known")
            return Success(known.id)
        doubt = self.doubts.get(identity)
        if doubt is not None:
            return await self._land(partition, identity, doubt, True)
        if self._full():
            return Failure(self._refuse_full())
        ticket = new_ticket(number, self.entropy)
        submission = make_submission(
            ticket, identity, route, request, body, self.clock
        )
        entry = Entry(submission=submission)
        if not partition.writer.fits(entry):
            reason = RefusalReason.BODY_TOO_LARGE
            return Failure(refuse(reason, "The request fits no log record."))
        return await self._land(
            partition, identity, Doubt(ticket, entry), False
        )

    async def _land(
        self,
        partition: Partition,
        identity: bytes,
        doubt: Doubt,
        in_doubt: bool,
    ) -> Result[TicketId, Refusal]:
        """Append until the ticket is read back or the submission times out.

        Args:
            partition: The partition of the request.
            identity: The request's identity.
            doubt: The request's ticket and record.
            in_doubt: Whether an earlier append may have succeeded.
        """
        seconds = self.settings.deferred.submit_timeout_seconds
        until = Deadline(self.clock.now() + seconds)
        # Remembered before the append, so that a resubmission finds the ticket
        # even if this call is cancelled.
        self._remember(identity, doubt)
        while True:
            outcome = await self._append(partition, doubt.entry, until)
            if outcome is AppendOutcome.REFUSED and not in_doubt:
                self.doubts.pop(identity, None)
                return Failure(self._refuse_log())
            in_doubt = True
            read_back = Deadline(min(until, self._read_back_until()))
            known = await partition.wait_for(
                doubt.ticket, lambda known: True, read_back
            )
            if known is not None:
                self.doubts.pop(identity, None)
                self.counters.submit("accepted")
                return Success(partition.fold.primary(known).id)
            if self.clock.now() >= until:
                return Failure(_refuse_doubt(doubt.ticket))

    async def _append(
        self, partition: Partition, entry: Entry, until: Deadline
    ) -> AppendOutcome:
        pending = partition.writer.put(entry)
        try:
            with trio.move_on_at(until):
                await pending.done.wait()
        finally:
            never_appended = partition.writer.withdraw(pending)
        if never_appended:
            return AppendOutcome.REFUSED
        return pending.outcome or AppendOutcome.UNKNOWN

    def _read_back_until(self) -> Deadline:
        seconds = self.settings.platform.log.timeout_seconds
        return Deadline(self.clock.now() + seconds)

    def _remember(self, identity: bytes, doubt: Doubt) -> None:
        self.doubts[identity] = doubt
        if len(self.doubts) > MAX_DOUBTFUL:
            del self.doubts[next(iter(self.doubts))]

    def _full(self) -> bool:
        limits = self.settings.deferred
        folds = [part.fold for part in self.partitions.values()]
        still_open = sum(fold.open_count for fold in folds)
        kept = sum(len(fold.tickets) for fold in folds)
        return still_open >= limits.max_open or kept >= limits.max_kept

    def _refuse_full(self) -> Refusal:
        return refuse(
            RefusalReason.QUEUE_FULL,
            "Too many deferred requests are open or kept.",
            self._retry_at(),
        )

    def _refuse_log(self) -> Refusal:
        return refuse(
            RefusalReason.LOG_UNAVAILABLE,
            "The log can't be reached, so the request was not kept.",
            self._retry_at(),
        )

    def _retry_at(self) -> Deadline:
        seconds = self.settings.admission.retry_after_seconds
        return Deadline(self.clock.now() + seconds)


def over(ticket: Ticket, clock: Clock) -> bool:
    """Return whether a ticket has ended and its result has expired."""
    return ticket.end is not None and ticket.end.keep_until <= clock.wall()


async def read_body(body: Body, limit: int) -> bytes | None:
    """Return the whole body, or None if it is longer than `limit` bytes."""
    if (body.length or 0) > limit:
        return None
    parts: list[bytes] = []
    size = 0
    while part := await body.receive():
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b"".join(parts)


def _refuse_doubt(ticket: TicketId) -> TicketRefusal:
    rule = refuse(RefusalReason.TICKET_IN_DOUBT, "")
    return TicketRefusal(
        reason=rule.reason,
        detail=f"The request may have been kept; poll ticket {ticket}.",
        outcome=rule.outcome,
        ticket=ticket,
    )
