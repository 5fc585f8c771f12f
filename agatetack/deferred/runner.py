"""Claim open tickets, run them, and record how they end."""

import dataclasses
import random
from collections.abc import Sequence

import trio

from agatetack.clock import Clock, wall_to_deadline
from agatetack.config.route import RouteSource
from agatetack.deferred.counters import Counters
from agatetack.deferred.ends import make_end, split_answer
from agatetack.deferred.fold import Hold, Ticket
from agatetack.deferred.partition import EntryNotFound, Partition
from agatetack.deferred.queue import Executor
from agatetack.deferred.records import load_request, new_attempt
from agatetack.deferred.schedule import RECHECK_SECONDS, Schedule
from agatetack.deferred.verdict import NextStep, Verdict, run_once
from agatetack.deferred.writer import AppendOutcome
from agatetack.generated.deferred.ttypes import (
    EndChunk,
    EndKind,
    Entry,
    Start,
)
from agatetack.generated.deferred.ttypes import Hold as HoldRecord
from agatetack.ids import AttemptId, Deadline, HostId, RouteId
from agatetack.outcomes import RefusalReason
from agatetack.record_log.log import LogUnavailable
from agatetack.settings.model import Settings

HOLD_TIMEOUT_RATIO = 2
"""How long a hold lasts, as a multiple of the attempt timeout."""

MAX_BACKOFF_DOUBLINGS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """What remains to be done after a run.

    Attributes:
        again_at: When to check the ticket again, or None.
        end: The chunks of the ticket's end to record; empty if it is open.
    """

    again_at: Deadline | None
    end: Sequence[EndChunk] = ()


class Runner:
    """This host's workers.

    Attributes:
        slots: Limits the requests that run at the same time.
        refusals: Consecutive refusals per route, for the backoff of its pauses.
    """

    def __init__(
        self,
        settings: Settings,
        schedule: Schedule,
        source: RouteSource,
        executor: Executor,
        counters: Counters,
        clock: Clock,
        entropy: random.Random,
    ):
        """Run the tickets that `schedule` returns."""
        self.settings = settings
        self.schedule = schedule
        self.source = source
        self.executor = executor
        self.counters = counters
        self.clock = clock
        self.entropy = entropy
        self.slots = trio.CapacityLimiter(settings.deferred.concurrency)
        self.refusals: dict[RouteId, int] = {}

    async def work(self) -> None:
        """Run one ticket after another until cancelled.

        There are more workers than slots, so that some can record ends while
        others run requests.
        """
        while True:
            async with self.slots:
                ticket = await self.schedule.take()
                run_result = await self._run_guarded(ticket)
            try:
                if run_result.end:
                    await self.record_end(ticket, run_result.end)
            finally:
                self.schedule.done(ticket.id, run_result.again_at)

    async def _run_guarded(self, ticket: Ticket) -> RunResult:
        again_at = self._deadline_in(RECHECK_SECONDS)
        try:
            return await self._run(ticket)
        except (EntryNotFound, LogUnavailable):
            # Its record was re-appended elsewhere or can't be read now; retry.
            self.counters.run("not-loaded")
            return RunResult(again_at)
        except BaseException:
            self.schedule.done(ticket.id, again_at)
            raise

    async def _run(self, ticket: Ticket) -> RunResult:
        """Run a ticket once if this host obtains the hold."""
        partition = self.schedule.partition_of(ticket.id)
        hold = await self._acquire_hold(partition, ticket)
        if hold is None:
            return RunResult(self._deadline_in(RECHECK_SECONDS))
        if hold.tries > self.settings.deferred.max_tries:
            verdict = Verdict(NextStep.FAIL, RefusalReason.CONNECTION_LOST)
        else:
            verdict = await self._attempt(partition, ticket, hold)
        self.counters.run(verdict.next.value)
        if verdict.next is NextStep.NOT_RUN:
            await self._release_hold(partition, ticket, hold)
            return RunResult(self._pause_route(ticket.route))
        self.refusals.pop(ticket.route, None)
        is_last_try = hold.tries >= self.settings.deferred.max_tries
        if verdict.next is NextStep.TRY_AGAIN and not is_last_try:
            return RunResult(
                self._deadline_in(self._backoff_seconds(hold.tries))
            )
        return RunResult(None, self._make_end(ticket, hold, verdict))

    async def _attempt(
        self, partition: Partition, ticket: Ticket, hold: Hold
    ) -> Verdict:
        table = self.source.table
        route = None if table is None else table.routes.get(ticket.route)
        if route is None:
            return Verdict(NextStep.NOT_RUN, RefusalReason.NO_ROUTE)
        submission = await partition.load_submission(ticket)
        seconds = self.settings.deferred.attempt_timeout_seconds
        end = wall_to_deadline(self.clock, ticket.deadline)
        deadline = min(end, self._deadline_in(seconds))
        request = load_request(submission, deadline, self.clock)
        return await run_once(self.executor, route, request, self.settings)

    async def _acquire_hold(
        self, partition: Partition, ticket: Ticket
    ) -> Hold | None:
        """Return this host's hold once it is read back, or None.

        None means that the append failed or was not confirmed in time, that
        the ticket has ended, or that another host's hold is in force.
        """
        record = self._next_hold(ticket)
        attempt = AttemptId(record.attempt)
        entry = Entry(start=Start(ticket.id, record))
        outcome = await partition.writer.write(entry)
        if outcome is AppendOutcome.REFUSED:
            return None
        until = self._deadline_in(self.settings.platform.log.timeout_seconds)
        await partition.wait_for(
            ticket.id, lambda known: _hold_is_settled(known, record), until
        )
        known = partition.get(ticket.id)
        if known is None or not known.open or known.hold is None:
            return None
        if known.hold.attempt != attempt:
            self.counters.run("taken-elsewhere")
            return None
        return known.hold

    def _next_hold(self, ticket: Ticket) -> HoldRecord:
        previous = ticket.hold
        seconds = self.settings.deferred.attempt_timeout_seconds
        host = HostId(self.settings.host.id)
        return HoldRecord(
            number=1 if previous is None else previous.number + 1,
            attempt=new_attempt(host, self.entropy),
            host=host,
            until=self.clock.wall() + HOLD_TIMEOUT_RATIO * seconds,
            tries=1 if previous is None else previous.tries + 1,
        )

    async def _release_hold(
        self, partition: Partition, ticket: Ticket, hold: Hold
    ) -> None:
        """Record that the attempt did not run, so that it isn't counted.

        If this can't be recorded, the attempt counts as a try: the limit on
        tries still holds, but the ticket may fail sooner.
        """
        record = HoldRecord(
            number=hold.number + 1,
            attempt=hold.attempt,
            host=hold.host,
            until=self.clock.wall(),
            tries=hold.tries - 1,
        )
        await partition.writer.write(Entry(start=Start(ticket.id, record)))

    def _make_end(
        self, ticket: Ticket, hold: Hold, verdict: Verdict
    ) -> list[EndChunk]:
        """Return the chunks that record how a ticket ended."""
        keep_result_until = (
            self.clock.wall() + self.settings.deferred.result_keep_seconds
        )
        reason = verdict.reason
        if verdict.next is NextStep.ANSWER and verdict.answer is not None:
            chunks = split_answer(
                ticket,
                hold.attempt,
                verdict.answer,
                keep_result_until,
                self.settings,
            )
            writer = self.schedule.partition_of(ticket.id).writer
            if all(writer.fits(Entry(end=chunk)) for chunk in chunks):
                return chunks
            # The answer's headers alone are too large for a record.
            reason = RefusalReason.RESULT_TOO_LARGE
        end = make_end(ticket, hold.attempt, EndKind.FAILED, keep_result_until)
        if reason is not None:
            end.reason = reason.value
        return [end]

    async def record_end(
        self, ticket: Ticket, chunks: Sequence[EndChunk]
    ) -> None:
        """Append the chunks until the ticket is read back as ended."""
        partition = self.schedule.partition_of(ticket.id)
        pause = self.settings.deferred.retry_seconds
        while True:
            outcomes = [
                await partition.writer.write(Entry(end=chunk))
                for chunk in chunks
            ]
            until = self._deadline_in(
                self.settings.platform.log.timeout_seconds
            )
            if AppendOutcome.REFUSED not in outcomes:
                known = await partition.wait_for(
                    ticket.id, lambda known: known.end is not None, until
                )
                if known is not None:
                    return
            known = partition.get(ticket.id)
            if partition.caught_up and (known is None or known.end):
                return
            self.counters.run("end-not-recorded")
            await trio.sleep(pause)

    def _pause_route(self, route: RouteId) -> Deadline:
        """Pause a route after a refusal, with exponential backoff."""
        refusals = self.refusals.get(route, 0) + 1
        self.refusals[route] = refusals
        until = self._deadline_in(self._backoff_seconds(refusals))
        self.schedule.pause(route, until)
        return until

    def _backoff_seconds(self, count: int) -> float:
        """Return the seconds to wait after the `count`-th failure."""
        doublings = min(count - 1, MAX_BACKOFF_DOUBLINGS)
        return self.settings.deferred.retry_seconds * 2**doublings

    def _deadline_in(self, seconds: float) -> Deadline:
        return Deadline(self.clock.now() + seconds)


def _hold_is_settled(ticket: Ticket, record: HoldRecord) -> bool:
    """Return whether it is known if the hold of `record` was obtained."""
    if ticket.end is not None:
        return True
    return ticket.hold is not None and ticket.hold.number >= record.number
