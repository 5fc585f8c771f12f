"""Make one attempt at one target and record its result."""

import dataclasses

import trio
from returns.result import Failure, Result, Success

from agatetack.admission.controller import AttemptResult, Permit
from agatetack.attempts.rules import body_deadlines
from agatetack.config.route import Route
from agatetack.decisions import DecisionLog, age
from agatetack.ids import AttemptId, Deadline
from agatetack.messages import (
    Answer,
    AnswerCut,
    AttemptRecord,
    Body,
    BytesBody,
    CallerRequest,
    read_whole,
)
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, RefusalReason, RetryReason
from agatetack.quarantine.tracker import CrashTracker
from agatetack.settings.model import Settings
from agatetack.targets.client import (
    Attempt,
    AttemptFailed,
    AttemptFailure,
    Freshness,
    TargetClient,
)
from agatetack.targets.state import TargetState
from agatetack.unique import new_attempt_id

ATTEMPT_RESULTS = {
    RefusalReason.SHED_BY_TARGET: AttemptResult.SHED,
    RefusalReason.TARGET_UNWILLING: AttemptResult.CANCELLED,
}
"""Results of attempts by failure reason; `FAILED` for all other reasons."""

decisions = DecisionLog("attempts")

FAILING_STATUSES = frozenset({500, 502, 503, 504})
"""Statuses that may be caused by a faulty target; 501 and 505 depend on the
request alone."""

ANSWER_BYTES_WEIGHT = 0.1
"""Weight of one answer in the moving average of a target's answer sizes."""

FAIL_FAST_RATIO = 0.75
"""A failing answer that takes less than this share of the target's usual
latency counts as a fault of the target, which did no work for the request.

With 0.5, noise lets some of these answers count as regular ones, which lowers
the usual latency until all of them do.
"""


def fails_fast(status: int, latency: float, target: TargetState) -> bool:
    """Return whether a target failed a request without working on it.

    Of a target without any earlier answer each failing answer counts.

    Args:
        status: The answer's HTTP status.
        latency: Seconds from the attempt's start to the answer's headers.
        target: The target that answered.
    """
    if status not in FAILING_STATUSES:
        return False
    usual = target.latency
    return usual is None or latency < FAIL_FAST_RATIO * usual


class PermittedBody(Body):
    """An answer's body that releases its permit when it ends.

    Attributes:
        complete_result: The attempt's result if the body arrives completely.
    """

    def __init__(
        self, body: Body, permit: Permit, complete_result: AttemptResult
    ):
        """Read `body` and hold `permit` until its end."""
        self.body = body
        self.length = body.length
        self.permit = permit
        self.complete_result = complete_result
        self.released = False

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of it are in memory."""
        return self.body.held_bytes

    def receive_nowait(self) -> bytes | None:
        """Return bytes that have arrived already, or None."""
        return self.body.receive_nowait()

    async def receive(self) -> bytes:
        """Return the next bytes, or `b""` at the verified end."""
        try:
            data = await self.body.receive()
        except Exception:
            # A cancelled read is not caught, as it is not the target's fault;
            # whoever cancelled it closes the body.
            self.release(AttemptResult.FAILED)
            raise
        if not data:
            self.release(self.complete_result)
        return data

    def take_whole(self) -> bytes | None:
        """Return the whole body if all of it arrived and none was read."""
        content = self.body.take_whole()
        if content is not None:
            self.release(self.complete_result)
        return content

    async def aclose(self) -> None:
        """Close the body and release its permit."""
        self.release(AttemptResult.CANCELLED)
        await self.body.aclose()

    def release(self, result: AttemptResult) -> None:
        """Release the permit; further calls have no effect."""
        if not self.released:
            self.released = True
            self.permit.release(result)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptPlan:
    """Parameters of an attempt.

    Attributes:
        route: The request's route.
        request: What to send.
        deadline: When to give up.
        freshness: Which connections may be used.
        attempt_id: The attempt's id, or None to make one.
        retry_reason: Why it is made, or None for a request's first attempt.
    """

    route: Route
    request: CallerRequest
    deadline: Deadline
    freshness: Freshness = Freshness.ANY
    attempt_id: AttemptId | None = None
    retry_reason: RetryReason | None = None


def _buffered(content: bytes, length: int) -> BytesBody:
    """Return a body in memory with the length announced, also for HEAD."""
    buffered = BytesBody(content)
    buffered.length = length
    return buffered


class SingleAttempt:
    """Makes attempts and reports to permits, metrics and crash tracker."""

    def __init__(
        self,
        settings: Settings,
        client: TargetClient,
        crashes: CrashTracker,
        metrics: Metrics,
    ):
        """Call targets with `client`."""
        self.callers = settings.callers
        self.client = client
        self.crashes = crashes
        self.metrics = metrics

    async def run(
        self, plan: AttemptPlan, permit: Permit
    ) -> Result[Answer, AttemptFailure]:
        """Send the request to the permit's target.

        The permit is released here, or by the answer's body at its end.
        """
        try:
            # A request that was refused while it got its permit is not sent.
            await trio.lowlevel.checkpoint_if_cancelled()
        except trio.Cancelled:
            permit.release(AttemptResult.CANCELLED)
            raise
        self.metrics.attempts.inc({"route": plan.route.id})
        if isinstance(plan.request.body, BytesBody):
            plan.request.body.rewind()
        attempt = Attempt(
            id=plan.attempt_id or new_attempt_id(),
            request=plan.request,
            target=permit.target,
            deadline=plan.deadline,
            freshness=plan.freshness,
            body_deadlines=body_deadlines(
                plan.route, plan.request, self.callers
            ),
        )
        started = Deadline(trio.current_time())
        note = AttemptRecord(
            attempt.id, permit.target.id, started, plan.retry_reason
        )
        plan.request.attempts.append(note)
        self._trace_send(plan, permit)
        try:
            answer = await self.client.call(attempt)
        except AttemptFailed as failed:
            note.failure = failed.failure.reason
            self._note_failure(plan, permit, failed.failure)
            self._trace_end(plan, note, failed.failure.outcome.value)
            return Failure(failed.failure)
        except BaseException:
            note.cancelled = True
            self._trace_end(plan, note, "cancelled")
            permit.release(AttemptResult.CANCELLED)
            raise
        finally:
            note.ended = Deadline(trio.current_time())
        # A caller that sends its body slowly doesn't make the target slow.
        complete_result = self._note_answer(
            permit, answer, note.ended - plan.request.sent_since(started)
        )
        if answer.body.length is not None:
            step = answer.body.length - permit.target.answer_bytes
            permit.target.answer_bytes += ANSWER_BYTES_WEIGHT * step
        answer.body = PermittedBody(answer.body, permit, complete_result)
        failure = await self._buffer_small(plan, answer)
        if failure is not None:
            note.failure = failure.reason
            self._trace_end(plan, note, failure.outcome.value)
            return Failure(failure)
        self._trace_end(plan, note, str(answer.status))
        self.crashes.answered(plan.route, plan.request)
        return Success(answer)

    def _trace_send(self, plan: AttemptPlan, permit: Permit) -> None:
        """Trace the load report that the attempt is sent on, and its age."""
        target = permit.target
        report = target.report
        decisions.held(
            plan.request.decision_trace,
            "send",
            target=target.id,
            why=plan.retry_reason.value if plan.retry_reason else "first",
            service=target.service,
            own_in_flight=target.in_flight,
            load=None if report is None else report.in_flight,
            slowness=None if report is None else report.slowness,
            load_age_ms=None if report is None else age(report.at),
            left_ms=round((plan.deadline - trio.current_time()) * 1000),
        )

    def _trace_end(
        self, plan: AttemptPlan, note: AttemptRecord, outcome: str
    ) -> None:
        decisions.held(
            plan.request.decision_trace,
            "attempt-end",
            target=note.target,
            outcome=outcome,
            reason=note.failure.value if note.failure else None,
            took_ms=age(note.started),
        )

    def _note_answer(
        self, permit: Permit, answer: Answer, latency: float
    ) -> AttemptResult:
        """Record an answer's latency and return the attempt's result."""
        self.metrics.target_answered(permit.target.id, latency)
        if fails_fast(answer.status, latency, permit.target):
            # Its latency would rank a target that does no work first.
            return AttemptResult.FAILED
        permit.answered_headers(latency)
        return AttemptResult.ANSWERED

    async def _buffer_small(
        self, plan: AttemptPlan, answer: Answer
    ) -> AttemptFailure | None:
        """Buffer a small body, so that a truncated one can be retried.

        Returns:
            Why the body could not be read, or None.
        """
        length = answer.body.length
        if length is None or length > self.callers.replay_body_bytes:
            return None
        content = answer.body.take_whole()
        if content is not None:
            answer.body = _buffered(content, length)
            return None
        try:
            with trio.move_on_at(plan.deadline) as scope:
                buffered = await read_whole(answer.body)
                answer.body = _buffered(buffered.content, length)
        except AnswerCut:
            reason = RefusalReason.ANSWER_CUT
        except BaseException:
            await answer.body.aclose()
            raise
        else:
            if not scope.cancelled_caught:
                return None
            answer.body.release(AttemptResult.FAILED)
            reason = RefusalReason.ANSWER_TIMEOUT
        await answer.body.aclose()
        return AttemptFailure(reason, Outcome.UNKNOWN, target_suspect=True)

    def _note_failure(
        self, plan: AttemptPlan, permit: Permit, failure: AttemptFailure
    ) -> None:
        result = ATTEMPT_RESULTS.get(failure.reason, AttemptResult.FAILED)
        if failure.reason is RefusalReason.ANSWER_TIMEOUT and (
            not failure.target_suspect
        ):
            # The caller did not send the request's body in time.
            result = AttemptResult.CANCELLED
        permit.release(result)
        if failure.reason is RefusalReason.CONNECTION_LOST:
            self.crashes.connection_lost(
                plan.route, plan.request, permit.target.process
            )
