"""Run an idempotent request with retries and hedges; first answer wins."""

import dataclasses
import functools

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
from agatetack.attempts.fleet_budget import FleetBudget
from agatetack.attempts.hedger import Hedger
from agatetack.attempts.quantile import LatencyQuantile
from agatetack.attempts.rules import (
    RETRY_REASONS,
    failure_refusal,
    retry_reason,
)
from agatetack.attempts.single import AttemptPlan, SingleAttempt
from agatetack.attempts.state import RaceState, SecondAttempt
from agatetack.config.route import Route, RouteSource
from agatetack.ids import Deadline, RouteId
from agatetack.logs import PartLog
from agatetack.messages import Answer, CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import (
    Outcome,
    Refusal,
    RetryReason,
)
from agatetack.settings.model import Settings
from agatetack.targets.client import Freshness

log = PartLog("attempts")

NEW_CONNECTION_REASONS = frozenset({RetryReason.HEDGE, RetryReason.STALLED})
"""Second attempts that use a new connection, as the first one may be late
because open connections no longer deliver anything."""

BEFORE_BODY_REASONS = frozenset(
    {RetryReason.CONNECT_FAILED, RetryReason.TARGET_UNWILLING}
)
"""Failures that occur before any byte of the request's body is read. After
others the start of a streamed body is lost, even if the target did not run the
request."""

MIN_LEFT_FOR_HEDGE = 2
"""Attempts that the fleet's budget must still allow for a hedge to be sent;
the rest is reserved for requests that would fail otherwise."""

CLEANUP_INTERVAL_SECONDS = 60.0
"""Interval at which the state of removed routes is dropped."""

STALL_RATIO = 3.0
"""Multiple of a route's late threshold after which an answer counts as
stalled: it may never come."""

MIN_STALL_SECONDS = 0.05
"""Minimum time after which an answer counts as stalled."""

DEFAULT_STALL_TIME_RATIO = 1 / 3
"""Share of the remaining time after which an answer counts as stalled on a
route whose usual latency is not known yet."""


class AttemptRunner:
    """Runs idempotent requests.

    Attributes:
        retries: Budget of retries, by route.
        hedges: Budget of hedges, by route.
        quantiles: Latency above which answers are late, by route.
        hedger: Timers of the requests in progress; its `run` must run.
    """

    def __init__(
        self,
        settings: Settings,
        admission: AdmissionController,
        single: SingleAttempt,
        metrics: Metrics,
        fleet_budget: FleetBudget | None = None,
    ):
        """Send attempts through `single` as `admission` permits.

        Args:
            settings: The host's settings.
            admission: Grants permits to send to a target.
            single: Makes attempts.
            metrics: Where retries are counted.
            fleet_budget: The fleet's budget of repeats; a separate one if None.
        """
        self.fleet_budget = fleet_budget or FleetBudget(
            settings, lambda: None, metrics
        )
        limits = settings.attempts
        self.limits = limits
        self.admission = admission
        self.single = single
        self.metrics = metrics
        self.retries = RouteBudgets(limits.retry_ratio, limits.retry_burst)
        self.hedges = RouteBudgets(limits.hedge_ratio, limits.hedge_burst)
        self.quantiles: dict[RouteId, LatencyQuantile] = {}
        self.hedger = Hedger()

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
            priority: The request's priority among waiting requests.
        """
        self.retries.of(route.id).earn()
        self.hedges.of(route.id).earn()
        self.fleet_budget.record_request(route.service)
        state = RaceState(route, request, priority)
        permit = await self._permit(state, wait=True)
        if permit is None:
            return Failure(state.refusal)
        started = trio.current_time()
        try:
            await self._race(state, permit, hedged)
        except BaseException:
            if state.answer is not None:
                await state.answer.aclose()
            raise
        if state.answer is None:
            return Failure(self._refusal(state))
        sent_at = request.sent_since(Deadline(started))
        self._add_latency(route.id, trio.current_time() - sent_at)
        return Success(state.answer)

    async def forget_routes(self, routes: RouteSource) -> None:
        """Drop the state of removed routes periodically, until cancelled."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_SECONDS)
            if routes.table is None:
                continue
            present = set(routes.table.routes)
            self.retries.retain(present)
            self.hedges.retain(present)
            for route in self.quantiles.keys() - present:
                del self.quantiles[route]

    async def _race(
        self, state: RaceState, permit: Permit, hedged: bool
    ) -> None:
        """Make attempts in sequence, and one in parallel to a late one."""
        self._set_timer(state, hedged)
        try:
            with state.sequence_scope:
                await self._run_sequence(state, permit)
        finally:
            if state.timer is not None:
                state.timer.stop()
            state.over = True
            # Cancelling an attempt closes its connection, which tells the
            # target that its answer is no longer needed.
            if state.second is not None:
                state.second.scope.cancel()

    def _set_timer(self, state: RaceState, hedged: bool) -> None:
        if not state.request.replayable:
            return
        hedge_delay = self._hedge_delay(state.route)
        if hedged and hedge_delay is not None:
            when = Deadline(trio.current_time() + hedge_delay)
            action = functools.partial(self._hedge, state)
            state.timer = self.hedger.after(when, action)
        else:
            self._set_stall_timer(state)

    def _set_stall_timer(self, state: RaceState) -> None:
        now = trio.current_time()
        action = functools.partial(self._fail_over, state)
        when = Deadline(now + self._stall_seconds(state))
        state.timer = self.hedger.after(when, action)

    def _stall_seconds(self, state: RaceState) -> float:
        """Return the seconds after which an answer counts as stalled."""
        now = trio.current_time()
        late_threshold = self._late_threshold(state.route.id)
        if late_threshold is None:
            return (state.request.deadline - now) * DEFAULT_STALL_TIME_RATIO
        return max(late_threshold * STALL_RATIO, MIN_STALL_SECONDS)

    def _is_late(self, state: RaceState, wait_seconds: float) -> bool:
        """Return whether the target had the whole request for so long.

        While the body still arrives, a second attempt would only wait for the
        same bytes.
        """
        body = state.request.body
        if not body.in_memory:
            return False
        if body.arrived_at is None:
            return True
        return trio.current_time() >= body.arrived_at + wait_seconds

    async def _run_sequence(
        self, state: RaceState, permit: Permit | None
    ) -> None:
        """Make attempts one after the other until one is answered."""
        while permit is not None:
            await self._attempt(state, permit, retry_reason(state.failure))
            if state.answer is None and state.second is not None:
                await state.second.done.wait()
            if state.answer is not None:
                return
            permit = await self._retry_permit(state)

    async def _hedge(self, state: RaceState) -> None:
        """Send a hedge if the first attempt is still in progress."""
        spare = (
            self.fleet_budget.left(state.route.service) >= MIN_LEFT_FOR_HEDGE
        )
        late = self._is_late(state, self._hedge_delay(state.route) or 0.0)
        if (
            state.needs_second()
            and late
            and spare
            and self._spend(state, self.hedges)
        ):
            await self._second_attempt(state, RetryReason.HEDGE)
        if state.needs_second():
            self._set_stall_timer(state)

    async def _fail_over(self, state: RaceState) -> None:
        """Make a second attempt if the first one has stalled.

        Its connection may never deliver anything again, so that it would wait
        until its deadline.
        """
        if not state.needs_second() or not state.request.replayable:
            return
        if not self._is_late(state, MIN_STALL_SECONDS):
            self._set_stall_timer(state)
            return
        if self._spend(state, self.retries):
            await self._second_attempt(state, RetryReason.STALLED)

    def _may_start(self, state: RaceState) -> bool:
        """Return whether the request may go to one more target."""
        limit = state.route.max_attempts or self.limits.max_attempts
        return state.started < limit

    def _spend(self, state: RaceState, budgets: RouteBudgets) -> bool:
        """Spend one more attempt from both budgets, or from neither."""
        if not self._may_start(state):
            return False
        if self.admission.stops_second_attempts(state.route, state.request):
            return False
        budget = budgets.of(state.route.id)
        if not budget.spend():
            return False
        if self.fleet_budget.spend(state.route.service):
            return True
        budget.give_back()
        return False

    async def _second_attempt(
        self, state: RaceState, reason: RetryReason
    ) -> None:
        if self.single.crashes.check(state.route, state.request) is not None:
            return
        permit = await self._permit(state, wait=False)
        if permit is None:
            return
        if not state.needs_second():
            permit.release(AttemptResult.CANCELLED)
            return
        self.metrics.retried(state.route.id, reason)
        second = SecondAttempt()
        state.second = second
        try:
            with second.scope:
                await self._attempt(state, permit, reason)
        except Exception as error:
            # This task serves all routes and must not end; the request goes
            # on. The attempt may have been sent, so the request can no longer
            # be refused as "not run".
            state.may_have_run = True
            log.error("A second attempt failed: %r.", error)
        state.second = None
        second.done.set()
        if state.answer is not None:
            state.sequence_scope.cancel()

    async def _attempt(
        self, state: RaceState, permit: Permit, reason: RetryReason | None
    ) -> None:
        state.started += 1
        state.open += 1
        state.tried.add(permit.target.id)
        plan = AttemptPlan(
            state.route,
            state.request,
            state.request.deadline,
            freshness=self._freshness(reason),
            retry_reason=reason,
        )
        try:
            result = await self.single.run(plan, permit)
        finally:
            state.open -= 1
        answered = isinstance(result, Success)
        if answered and (state.answer is not None or state.over):
            await result.unwrap().aclose()
        elif answered:
            state.answer = result.unwrap()
        else:
            failure = result.failure()
            state.note_failure(failure)
            if not failure.sent:
                state.started -= 1

    def _freshness(self, reason: RetryReason | None) -> Freshness:
        if reason is RetryReason.HEDGE and not self.limits.hedge_on_new:
            return Freshness.ANY
        return (
            Freshness.NEW if reason in NEW_CONNECTION_REASONS else Freshness.ANY
        )

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
        if reason is None or not self._may_start(state):
            return None
        if not state.request.replayable and reason not in BEFORE_BODY_REASONS:
            return None
        if trio.current_time() >= state.request.deadline:
            return None
        refusal = self.single.crashes.check(state.route, state.request)
        if refusal is not None:
            state.refusal = refusal
            return None
        if state.failure.sent and not self._spend(state, self.retries):
            return None
        permit = await self._permit(state, wait=True)
        if permit is not None:
            self.metrics.retried(state.route.id, reason)
        return permit

    def _refusal(self, state: RaceState) -> Refusal:
        """Return the refusal; "not run" only if no attempt can have run."""
        if state.failure is None:
            return state.refusal
        refusal = failure_refusal(state.failure)
        if state.may_have_run:
            refusal = dataclasses.replace(refusal, outcome=Outcome.UNKNOWN)
        if state.refusal is not None:
            retry_at = state.refusal.retry_at
        else:
            retry_at = self.admission.retry_at(state.route)
        return dataclasses.replace(refusal, retry_at=retry_at)

    def _hedge_delay(self, route: Route) -> float | None:
        """Return the seconds after which an answer is late enough to hedge.

        For a route with a target latency it is a share of that: an answer at
        the usual latency may already be too late.
        """
        share = self.limits.hedge_latency_share
        if share and route.target_latency_seconds:
            return share * route.target_latency_seconds
        return self._late_threshold(route.id)

    def _late_threshold(self, route: RouteId) -> float | None:
        latencies = self.quantiles.get(route)
        if latencies is None or latencies.value is None:
            return None
        return max(latencies.value, self.limits.hedge_min_seconds)

    def _add_latency(self, route: RouteId, seconds: float) -> None:
        latencies = self.quantiles.get(route)
        if latencies is None:
            latencies = LatencyQuantile(self.limits.hedge_quantile)
            self.quantiles[route] = latencies
        latencies.add(seconds)
