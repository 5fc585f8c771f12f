"""Send the bench's requests; another way of attempting plugs in here."""

import abc

import trio
from returns.result import Success

from agatetack.admission.controller import AttemptResult, PermitRequest
from agatetack.attempts.race import AttemptRunner
from agatetack.attempts.single import SingleAttempt
from agatetack.config.route import RequestClass, Route
from agatetack.ids import AttemptId, Deadline, RouteId, TargetId, TeamId
from agatetack.messages import CallerRequest
from agatetack.outcomes import Refusal, RefusalReason
from agatetack.quarantine.tracker import CrashTracker
from agatetack.targets.client import Attempt, AttemptFailed
from bench.policy.fleet import SERVICE, Gateway

MAX_ATTEMPTS = 3

ROUTE = Route(
    id=RouteId("profiles"),
    team=TeamId("team"),
    service=SERVICE,
    request_class=RequestClass.FAST,
    path_prefix="/",
)


class Attempts(abc.ABC):
    """A way to bring one request to targets."""

    @abc.abstractmethod
    async def send(
        self, gateway: Gateway, request: CallerRequest
    ) -> RefusalReason | None:
        """Return None once answered, or why the request is refused."""


class PlainAttempts(Attempts):
    """Retry after connect failures and shed answers; no hedges."""

    async def send(
        self, gateway: Gateway, request: CallerRequest
    ) -> RefusalReason | None:
        """Return None once answered, or why the request is refused."""
        tried: frozenset = frozenset()
        reason = RefusalReason.CANNOT_MEET_DEADLINE
        for number in range(MAX_ATTEMPTS):
            wanted = PermitRequest(
                ROUTE, request, request.deadline, avoid=tried
            )
            result = await gateway.admission.acquire(wanted)
            if not isinstance(result, Success):
                return result.failure().reason
            permit = result.unwrap()
            tried |= {permit.target.id}
            outcome = AttemptResult.CANCELLED
            try:
                with trio.fail_at(request.deadline):
                    failed = await self._call(gateway, request, permit, number)
                outcome = failed[0] if failed else AttemptResult.ANSWERED
            except trio.TooSlowError:
                outcome = AttemptResult.FAILED
                return RefusalReason.ANSWER_TIMEOUT
            finally:
                permit.release(outcome)
            if failed is None:
                return None
            reason = failed[1]
        return reason

    async def _call(self, gateway, request, permit, number):
        attempt = Attempt(
            AttemptId(f"{request.request_id}-{number}"),
            request,
            permit.target,
            Deadline(request.deadline),
        )
        started = trio.current_time()
        try:
            await gateway.client.call(attempt)
        except AttemptFailed as error:
            reason = error.failure.reason
            shed = reason is RefusalReason.SHED_BY_TARGET
            return (
                AttemptResult.SHED if shed else AttemptResult.FAILED,
                reason,
            )
        permit.answered_headers(trio.current_time() - started)
        return None


class NoCrashes(CrashTracker):
    """Suspect no request: no target of the bench crashes."""

    def check(self, route: Route, request: CallerRequest) -> Refusal | None:
        """Return None."""

    def connection_lost(
        self, route: Route, request: CallerRequest, target: TargetId
    ) -> None:
        """Do nothing."""

    def answered(self, route: Route, request: CallerRequest) -> None:
        """Do nothing."""


class ProductAttempts(Attempts):
    """The product's own retries, stall retries and, if wanted, hedges.

    Attributes:
        hedged: Whether late answers start a second attempt.
        runners: One for each gateway.
    """

    def __init__(self, hedged: bool):
        """Start without runners; a gateway's is made at its first request."""
        self.hedged = hedged
        self.runners: dict[Gateway, AttemptRunner] = {}

    async def send(
        self, gateway: Gateway, request: CallerRequest
    ) -> RefusalReason | None:
        """Return None once answered, or why the request is refused."""
        runner = self.runners.get(gateway)
        if runner is None:
            runner = self._runner(gateway)
            self.runners[gateway] = runner
        result = await runner.run(ROUTE, request, self.hedged)
        if not isinstance(result, Success):
            return result.failure().reason
        await result.unwrap().aclose()
        return None

    def _runner(self, gateway: Gateway) -> AttemptRunner:
        single = SingleAttempt(
            gateway.settings, gateway.client, NoCrashes(), gateway.metrics
        )
        runner = AttemptRunner(
            gateway.settings, gateway.admission, single, gateway.metrics
        )
        gateway.client.fleet.nursery.start_soon(runner.hedger.run)
        return runner
