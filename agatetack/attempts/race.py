"""Run an idempotent request: retries, hedges, first answer wins."""

import dataclasses

import trio
from returns.result import Failure, Result, Success

from agatetack.admission.controller import (
    AdmissionController,
    AttemptResult,
    Permit,
    PermitRequest,
    Priority,
)
from agatetack.attempts.budget import RouteBudgets
from agatetack.attempts.quantile import LatencyQuantile
from agatetack.attempts.single import AttemptPlan, SingleAttempt
from agatetack.config.route import Route
from agatetack.ids import RouteId, TargetId
from agatetack.messages import Answer, BytesBody, CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import (
    Outcome,
    Refusal,
    RefusalReason,
    RetryReason,
    refuse,
)
from agatetack.settings.model import Settings
from agatetack.targets.client import AttemptFailure

RETRY_REASONS = {
    RefusalReason.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    RefusalReason.SHED_BY_TARGET: RetryReason.SHED_BY_TARGET,
    RefusalReason.CONNECTION_LOST: RetryReason.CONNECTION_LOST,
    RefusalReason.ANSWER_TIMEOUT: RetryReason.ANSWER_TIMEOUT,
    RefusalReason.ANSWER_MALFORMED: RetryReason.ANSWER_MALFORMED,
    RefusalReason.ANSWER_CUT: RetryReason.ANSWER_CUT,
}
"""Failures after which an idempotent request may be sent again."""

DETAILS = {
    RefusalReason.CONNECT_FAILED: "No target could be reached.",
    RefusalReason.SHED_BY_TARGET: "The target has too much work.",
    RefusalReason.CONNECTION_LOST: "The target dropped the connection.",
    RefusalReason.ANSWER_TIMEOUT: "The target did not answer in time.",
    RefusalReason.ANSWER_MALFORMED: "The target's answer is not HTTP.",
    RefusalReason.ANSWER_CUT: "The target's answer ended before its end.",
}


@dataclasses.dataclass(slots=True)
class RaceState:
    """How far one request's attempts have come.

    Attributes:
        route: The request's route.
        request: The request.
        hedged: Whether a late answer may start a second attempt.
        priority: Which waiting requests go first.
        started: Attempts begun.
        open: Attempts under way.
        tried: Targets that have had the request.
        answer: The first answer, or None.
        refusal: Why no permit was got, or None.
        failure: The last attempt's failure, or None.
        may_have_run: Whether any attempt can have run.
        changed: Set when an attempt ends.
    """

    route: Route
    request: CallerRequest
    hedged: bool
    priority: Priority
    started: int = 0
    open: int = 0
    tried: set[TargetId] = dataclasses.field(default_factory=set)
    answer: Answer | None = None
    refusal: Refusal | None = None
    failure: AttemptFailure | None = None
    may_have_run: bool = False
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)

    def finish(self, result: Result[Answer, AttemptFailure]) -> None:
        """Take the end of one attempt."""
        self.open -= 1
        if isinstance(result, Success):
            self.answer = result.unwrap()
        else:
            self.failure = result.failure()
            self.may_have_run |= self.failure.outcome is not Outcome.NOT_RUN
        self.changed.set()


class AttemptRunner:
    """Runs idempotent requests.

    Attributes:
        retries: Budget of retries, by route.
        hedges: Budget of hedges, by route.
        late_after: When answers are late, by route.
    """

    def __init__(
        self,
        settings: Settings,
        admission: AdmissionController,
        single: SingleAttempt,
        metrics: Metrics,
    ):
        """Send attempts through `single` as `admission` permits."""
        limits = settings.attempts
        self.limits = limits
        self.admission = admission
        self.single = single
        self.metrics = metrics
        self.retries = RouteBudgets(limits.retry_ratio, limits.retry_burst)
        self.hedges = RouteBudgets(limits.hedge_ratio, limits.hedge_burst)
        self.late_after: dict[RouteId, LatencyQuantile] = {}

    async def run(
        self,
        route: Route,
        request: CallerRequest,
        hedged: bool,
        priority: Priority = Priority.NORMAL,
    ) -> Result[Answer, Refusal]:
        """Return the first answer, or why there is none.

        Args:
            route: The request's route; its requests are idempotent.
            request: What to send.
            hedged: Whether a late answer may start a second attempt.
            priority: Which waiting requests go first.
        """
        self.retries.of(route.id).earn()
        self.hedges.of(route.id).earn()
        hedged = hedged and request.replayable
        state = RaceState(route, request, hedged, priority)
        permit = await self._permit(state, wait=True)
        if permit is None:
            return Failure(state.refusal)
        started = trio.current_time()
        try:
            if hedged and self._hedge_after(route.id) is not None:
                await self._race(state, permit)
            else:
                await self._in_turn(state, permit)
        except BaseException:
            if state.answer is not None:
                await state.answer.aclose()
            raise
        if state.answer is None:
            return Failure(self._refusal(state))
        self._learn(route.id, trio.current_time() - started)
        return Success(state.answer)

    async def _in_turn(self, state: RaceState, permit: Permit) -> None:
        """Make attempts one after the other."""
        while permit is not None:
            await self._attempt(state, permit)
            if state.answer is not None:
                return
            permit = await self._retry_permit(state)

    async def _race(self, state: RaceState, permit: Permit) -> None:
        """Make attempts, a second one while the first is late."""
        hedge_at = trio.current_time() + self._hedge_after(state.route.id)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._attempt, state, permit)
            while True:
                with trio.move_on_at(hedge_at) as late:
                    await state.changed.wait()
                if state.answer is not None:
                    break
                # An attempt may end while a permit is awaited below.
                state.changed = trio.Event()
                if late.cancelled_caught:
                    hedge_at = float("inf")
                    permit = await self._hedge_permit(state)
                elif state.open == 0:
                    permit = await self._retry_permit(state)
                    if permit is None:
                        break
                else:
                    permit = None
                if state.answer is not None:
                    if permit is not None:
                        permit.release(AttemptResult.CANCELLED)
                    break
                if permit is not None:
                    nursery.start_soon(self._attempt, state, permit)
            # Cancelling an attempt closes its connection, which tells the
            # target that its work is of no more use.
            nursery.cancel_scope.cancel()

    async def _attempt(self, state: RaceState, permit: Permit) -> None:
        state.started += 1
        state.open += 1
        state.tried.add(permit.target.id)
        if isinstance(state.request.body, BytesBody):
            state.request.body.rewind()
        plan = AttemptPlan(state.route, state.request, state.request.deadline)
        result = await self.single.run(plan, permit)
        if state.answer is not None and isinstance(result, Success):
            await result.unwrap().aclose()
            return
        state.finish(result)

    async def _permit(self, state: RaceState, wait: bool) -> Permit | None:
        wanted = PermitRequest(
            route=state.route,
            request=state.request,
            deadline=state.request.deadline,
            priority=state.priority,
            avoid=state.tried,
            wait=wait,
        )
        result = await self.admission.acquire(wanted)
        if isinstance(result, Success):
            return result.unwrap()
        state.refusal = result.failure()
        return None

    async def _retry_permit(self, state: RaceState) -> Permit | None:
        reason = RETRY_REASONS.get(state.failure.reason)
        if reason is None or state.started >= self.limits.max_attempts:
            return None
        if state.may_have_run and not state.request.replayable:
            return None
        if trio.current_time() >= state.request.deadline:
            return None
        refusal = self.single.crashes.check(state.route, state.request)
        if refusal is not None:
            state.refusal = refusal
            return None
        if not self.retries.of(state.route.id).spend():
            return None
        permit = await self._permit(state, wait=True)
        if permit is not None:
            self.metrics.retried(state.route.id, reason)
        return permit

    async def _hedge_permit(self, state: RaceState) -> Permit | None:
        if not self.hedges.of(state.route.id).spend():
            return None
        permit = await self._permit(state, wait=False)
        if permit is not None:
            self.metrics.retried(state.route.id, RetryReason.HEDGE)
        return permit

    def _refusal(self, state: RaceState) -> Refusal:
        """Return the refusal; "not run" only if no attempt can have run."""
        if state.failure is None:
            return state.refusal
        failure = state.failure
        reason = failure.reason
        outcome = Outcome.UNKNOWN if state.may_have_run else failure.outcome
        plain = refuse(reason, DETAILS.get(reason, reason.value))
        retry_at = failure.retry_at
        if state.refusal is not None and retry_at is None:
            retry_at = state.refusal.retry_at
        return dataclasses.replace(plain, outcome=outcome, retry_at=retry_at)

    def _hedge_after(self, route: RouteId) -> float | None:
        learned = self.late_after.get(route)
        if learned is None or learned.value is None:
            return None
        return max(learned.value, self.limits.hedge_min_seconds)

    def _learn(self, route: RouteId, seconds: float) -> None:
        learned = self.late_after.get(route)
        if learned is None:
            learned = LatencyQuantile(self.limits.hedge_quantile)
            self.late_after[route] = learned
        learned.add(seconds)
