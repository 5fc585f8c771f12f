"""Run requests here, or at another host if this one reaches no target."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio
from returns.result import Failure, Result, Success

from agatetack.config.route import Route
from agatetack.ids import Deadline, ServiceId
from agatetack.messages import Answer, CallerRequest
from agatetack.outcomes import Outcome, Refusal, RefusalReason
from agatetack.serving.dispatcher import ClassRunner
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState

if TYPE_CHECKING:
    from agatetack.forwarding.forwarder import Forwarder
    from agatetack.forwarding.late import LateForwarder

PATH_REASONS = frozenset(
    {RefusalReason.NO_TARGET, RefusalReason.CONNECT_FAILED}
)
"""Refusals that may be due to this host's own paths."""


TRY_ANOTHER_REASONS = frozenset(
    {
        RefusalReason.NO_TARGET,
        RefusalReason.CONNECT_FAILED,
        RefusalReason.NO_CONFIGURATION,
        RefusalReason.SHUTTING_DOWN,
    }
)
"""Refusals of one host that another one may not repeat."""


class ForwardingNeed:
    """Tells whether lost paths make it necessary to pass requests on."""

    def __init__(
        self,
        registry: TargetRegistry,
        has_free_slot: Callable[[TargetState, Deadline], bool],
    ):
        """Judge by the targets in `registry` and their free slots."""
        self.registry = registry
        self.has_free_slot = has_free_slot

    def is_cut_off(self, service: ServiceId) -> bool:
        """Return whether lost paths leave no target of `service`."""
        if self.registry.targets(service):
            return False
        return self.registry.count_unreachable(service) > 0

    def may_be_short(self, service: ServiceId) -> bool:
        """Return whether lost paths leave only targets without a free slot."""
        if not (self.registry.paths.lost or self.registry.leaving):
            # It is asked for each request.
            return False
        now = Deadline(trio.current_time())
        targets = self.registry.targets(service)
        if any(self.has_free_slot(target, now) for target in targets):
            return False
        return self.registry.count_unreachable(service) > 0


class ForwardingRunner(ClassRunner):
    """Passes a request on if, by lost paths, no target is left for it.

    If there is one, but all of them are in use, a host that reaches more of
    them is asked first, and the request waits here if that one can't take it.
    A request that another host passed to this one is never passed on.
    """

    def __init__(
        self, runner: ClassRunner, forwarder: "Forwarder | LateForwarder"
    ):
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


def may_try_another(result: Result[Answer, Refusal]) -> bool:
    """Return whether the request has not run and another host may run it."""
    if isinstance(result, Success):
        return False
    refusal = result.failure()
    return (
        refusal.outcome is Outcome.NOT_RUN
        and refusal.reason in TRY_ANOTHER_REASONS
    )
