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

MAX_UNCONFIRMED_SUBMISSIONS = 100
"""Unconfirmed submissions that are kept in memory with their bodies; the oldest
is dropped first."""


@dataclasses.dataclass(slots=True)
class UnconfirmedSubmission:
    """A submission by this host that may or may not be in the log."""

    ticket: TicketId
    entry: Entry


class Submitter:
    """Append submissions and wait until they are read back.

    Attributes:
        unconfirmed: Unconfirmed submissions by identity. A resubmission reuses
            the ticket, so that a request that may be in the log is neither run
            under two tickets nor refused as not run.
        in_progress: Requests that are being submitted, by identity.
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
        self.unconfirmed: dict[bytes, UnconfirmedSubmission] = {}
        self.in_progress: dict[bytes, trio.Event] = {}

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
        while identity in self.in_progress:
            # The same request is being submitted; wait for the outcome.
            await self.in_progress[identity].wait()
        self.in_progress[identity] = trio.Event()
        try:
            return await self._accept(route, request, identity, body)
        finally:
            self.in_progress.pop(identity).set()

    async def _accept(
        self,
        route: Route,
        request: CallerRequest,
        identity: bytes,
        body: bytes,
    ) -> Result[TicketId, Refusal]:
        number = int.from_bytes(identity[:4], "big") % len(self.partitions)
        partition = self.partitions[number]
        known = partition.fold.find_identity(identity)
        if known is not None and result_expired(known, self.clock):
            # Its result has expired and must not be returned any more.
            partition.fold.forget(known)
            known = None
        if known is not None:
            self.counters.submit("known")
            return Success(known.id)
        unconfirmed = self.unconfirmed.get(identity)
        if unconfirmed is not None:
            return await self._append_until_confirmed(
                partition, identity, unconfirmed, True
            )
        if self._at_capacity():
            return Failure(self._refuse_full())
        ticket = new_ticket(number, self.entropy)
        submission = make_submission(
            ticket, identity, route, request, body, self.clock
        )
        entry = Entry(submission=submission)
        if not partition.writer.fits(entry):
            reason = RefusalReason.BODY_TOO_LARGE
            return Failure(refuse(reason, "The request fits no log record."))
        return await self._append_until_confirmed(
            partition, identity, UnconfirmedSubmission(ticket, entry), False
        )

    async def _append_until_confirmed(
        self,
        partition: Partition,
        identity: bytes,
        unconfirmed: UnconfirmedSubmission,
        maybe_appended: bool,
    ) -> Result[TicketId, Refusal]:
        """Append until the ticket is read back or the submission times out.

        Args:
            partition: The partition of the request.
            identity: The request's identity.
            unconfirmed: The request's ticket and record.
            maybe_appended: Whether an earlier append may have succeeded.
        """
        seconds = self.settings.deferred.submit_timeout_seconds
        until = Deadline(self.clock.now() + seconds)
        # Remembered before the append, so that a resubmission finds the ticket
        # even if this call is cancelled.
        self._remember_unconfirmed(identity, unconfirmed)
        while True:
            outcome = await self._append(partition, unconfirmed.entry, until)
            if outcome is AppendOutcome.REFUSED and not maybe_appended:
                self.unconfirmed.pop(identity, None)
                return Failure(self._refuse_log_unavailable())
            maybe_appended = True
            confirm_by = Deadline(min(until, self._confirmation_deadline()))
            known = await partition.wait_for(
                unconfirmed.ticket, lambda known: True, confirm_by
            )
            if known is not None:
                self.unconfirmed.pop(identity, None)
                self.counters.submit("accepted")
                return Success(partition.fold.primary(known).id)
            if self.clock.now() >= until:
                return Failure(_refuse_in_doubt(unconfirmed.ticket))

    async def _append(
        self, partition: Partition, entry: Entry, until: Deadline
    ) -> AppendOutcome:
        pending = partition.writer.enqueue(entry)
        try:
            with trio.move_on_at(until):
                await pending.done.wait()
        finally:
            never_appended = partition.writer.withdraw(pending)
        if never_appended:
            return AppendOutcome.REFUSED
        return pending.outcome or AppendOutcome.UNKNOWN

    def _confirmation_deadline(self) -> Deadline:
        seconds = self.settings.platform.log.timeout_seconds
        return Deadline(self.clock.now() + seconds)

    def _remember_unconfirmed(
        self, identity: bytes, unconfirmed: UnconfirmedSubmission
    ) -> None:
        self.unconfirmed[identity] = unconfirmed
        if len(self.unconfirmed) > MAX_UNCONFIRMED_SUBMISSIONS:
            del self.unconfirmed[next(iter(self.unconfirmed))]

    def _at_capacity(self) -> bool:
        limits = self.settings.deferred
        folds = [part.fold for part in self.partitions.values()]
        open_tickets = sum(fold.open_count for fold in folds)
        stored_tickets = sum(len(fold.tickets) for fold in folds)
        return (
            open_tickets >= limits.max_open or stored_tickets >= limits.max_kept
        )

    def _refuse_full(self) -> Refusal:
        return refuse(
            RefusalReason.QUEUE_FULL,
            "Too many deferred requests are open or kept.",
            self._retry_at(),
        )

    def _refuse_log_unavailable(self) -> Refusal:
        return refuse(
            RefusalReason.LOG_UNAVAILABLE,
            "The log can't be reached, so the request was not kept.",
            self._retry_at(),
        )

    def _retry_at(self) -> Deadline:
        seconds = self.settings.admission.retry_after_seconds
        return Deadline(self.clock.now() + seconds)


def result_expired(ticket: Ticket, clock: Clock) -> bool:
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


def _refuse_in_doubt(ticket: TicketId) -> TicketRefusal:
    rule = refuse(RefusalReason.TICKET_IN_DOUBT, "")
    return TicketRefusal(
        reason=rule.reason,
        detail=f"The request may have been kept; poll ticket {ticket}.",
        outcome=rule.outcome,
        ticket=ticket,
    )
