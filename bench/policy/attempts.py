"""Send the bench's requests; another way of attempting plugs in here."""

import abc

import trio
from returns.result import Success

from agatetack.admission.controller import AttemptResult, PermitRequest
from agatetack.config.route import RequestClass, Route
from agatetack.ids import AttemptId, Deadline, RouteId, TeamId
from agatetack.messages import CallerRequest
from agatetack.outcomes import RefusalReason
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
