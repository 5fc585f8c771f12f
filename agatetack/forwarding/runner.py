"""Run requests here, or at another host if this one reaches no target."""

from returns.result import Failure, Result

from agatetack.config.route import Route
from agatetack.forwarding.forwarder import Forwarder, may_try_another
from agatetack.messages import Answer, CallerRequest
from agatetack.outcomes import Outcome, Refusal, RefusalReason
from agatetack.serving.dispatcher import ClassRunner

PATH_REASONS = frozenset(
    {RefusalReason.NO_TARGET, RefusalReason.CONNECT_FAILED}
)
"""Refusals that may be due to this host's own paths."""


class ForwardingRunner(ClassRunner):
    """Passes a request on if, by lost paths, no target is left for it.

    If there is one, but all of them are in use, a host that reaches more of
    them is asked first, and the request waits here if that one can't take it.
    A request that another host passed to this one is never passed on.
    """

    def __init__(self, runner: ClassRunner, forwarder: Forwarder):
        """Run requests with `runner` unless `forwarder` has to take them."""
        self.runner = runner
        self.forwarder = forwarder

    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return the answer, or the refusal if there is none."""
        if request.forwarded:
            return await self.runner.run(route, request)
        if self.forwarder.is_cut_off(route.service):
            return await self.forwarder.forward(route, request)
        if request.replayable and self.forwarder.is_short(route.service):
            result = await self.forwarder.forward(route, request)
            if not may_try_another(result):
                return result
        result = await self.runner.run(route, request)
        if isinstance(result, Failure) and self._is_for_others(
            route, result.failure()
        ):
            return await self.forwarder.forward(route, request)
        return result

    def _is_for_others(self, route: Route, refusal: Refusal) -> bool:
        return (
            refusal.outcome is Outcome.NOT_RUN
            and refusal.reason in PATH_REASONS
            and self.forwarder.is_cut_off(route.service)
        )
