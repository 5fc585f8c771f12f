"""Run an at-most-once request under one claim."""

import dataclasses

import trio
from returns.result import Failure, Result, Success

from agatetack.admission.controller import AdmissionController, PermitRequest
from agatetack.attempts.fleet_budget import FleetBudget
from agatetack.attempts.rules import failure_refusal, retry_reason
from agatetack.attempts.single import AttemptPlan, SingleAttempt
from agatetack.claims.store import Claim, ClaimStore
from agatetack.config.route import Route
from agatetack.ids import Deadline, TargetId
from agatetack.messages import Answer, CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, Refusal
from agatetack.settings.model import Settings
from agatetack.targets.client import AttemptFailure, Freshness
from agatetack.unique import new_attempt_id

RELEASE_TIME_RATIO = 0.1
"""Share of the remaining time reserved for releasing an unused claim."""


@dataclasses.dataclass(slots=True)
class OnceState:
    """Progress of one at-most-once request.

    Attributes:
        claim: The claim under which the request is sent.
        tried: Targets tried; all but the last are known not to have run it.
        failure: The last attempt's failure, or None.
        sent: Attempts of which a target may have received anything.
    """

    claim: Claim
    tried: set[TargetId] = dataclasses.field(default_factory=set)
    failure: AttemptFailure | None = None
    sent: int = 0


class OnceRunner:
    """Runs at-most-once requests.

    A request is never hedged. It is sent to another target only if the one
    before certainly did not run it.
    """

    def __init__(
        self,
        settings: Settings,
        claims: ClaimStore,
        admission: AdmissionController,
        single: SingleAttempt,
        metrics: Metrics,
        fleet_budget: FleetBudget | None = None,
    ):
        """Take a claim from `claims` before a request is sent.

        Args:
            settings: The host's settings.
            claims: Grants claims on requests.
            admission: Grants permits to send to a target.
            single: Makes attempts.
            metrics: Where retries are counted.
            fleet_budget: The fleet's budget of repeats; a separate one if None.
        """
        self.fleet_budget = fleet_budget or FleetBudget(
            settings, lambda: None, metrics
        )
        self.limits = settings.attempts
        self.claims = claims
        self.admission = admission
        self.single = single
        self.metrics = metrics

    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return the answer, or why there is none."""
        claimed = await self.claims.claim(route, request, new_attempt_id())
        if isinstance(claimed, Failure):
            return claimed
        self.fleet_budget.record_request(route.service)
        state = OnceState(claimed.unwrap())
        try:
            return await self._run_claimed(route, request, state)
        except trio.Cancelled:
            # The caller disconnected before anything was sent.
            with trio.CancelScope(shield=True):
                await self.claims.release(state.claim)
            raise

    async def _run_claimed(
        self, route: Route, request: CallerRequest, state: OnceState
    ) -> Result[Answer, Refusal]:
        while True:
            permit = await self._permit(route, request, state)
            if isinstance(permit, Failure):
                return await self._give_up(permit.failure(), state)
            plan = AttemptPlan(
                route,
                request,
                request.deadline,
                Freshness.PROVEN,
                state.claim.attempt,
                retry_reason(state.failure),
            )
            granted = permit.unwrap()
            state.tried.add(granted.target.id)
            # From here on a disconnect of the caller must not cancel the
            # attempt: it would be unknown whether the target ran the request.
            # Only an attempt whose body has not arrived ends with its caller.
            with trio.CancelScope(shield=True):
                result = await self.single.run(plan, granted)
                if isinstance(result, Success):
                    status = result.unwrap().status
                    await self.claims.finish(state.claim, status)
                    return result
            state.failure = result.failure()
            state.sent += state.failure.sent
            if not self._may_try_again(route, request, state):
                refusal = dataclasses.replace(
                    failure_refusal(state.failure),
                    retry_at=self.admission.retry_at(route),
                )
                return await self._give_up(refusal, state)
            self.metrics.retried(route.id, retry_reason(state.failure))

    async def _permit(
        self, route: Route, request: CallerRequest, state: OnceState
    ) -> Result:
        # Before a caller can be told that nothing was run, the unused claim
        # has to be released and the release read back.
        left = request.deadline - trio.current_time()
        wanted = PermitRequest(
            route=route,
            request=request,
            deadline=Deadline(request.deadline - left * RELEASE_TIME_RATIO),
            avoid=state.tried,
        )
        return await self.admission.acquire(wanted)

    def _may_try_again(
        self, route: Route, request: CallerRequest, state: OnceState
    ) -> bool:
        limit = route.max_attempts or self.limits.max_attempts
        return (
            state.failure.outcome is Outcome.NOT_RUN
            and state.sent < limit
            and trio.current_time() < request.deadline
            and request.replayable
            and (
                not state.failure.sent or self.fleet_budget.spend(route.service)
            )
        )

    async def _give_up(
        self, refusal: Refusal, state: OnceState
    ) -> Result[Answer, Refusal]:
        """Return the refusal.

        Its outcome is "not run" only once the claim's release is in the log.
        """
        ran = state.failure is not None and (
            state.failure.outcome is not Outcome.NOT_RUN
        )
        if not ran and await self.claims.release(state.claim):
            return Failure(refusal)
        return Failure(dataclasses.replace(refusal, outcome=Outcome.UNKNOWN))
