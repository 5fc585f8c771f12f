"""Build the parts that pass requests on when a host needs them first."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import trio
from returns.result import Result

from agatetack.config.route import Route
from agatetack.forwarding.runner import ForwardingNeed
from agatetack.ids import Deadline, HostId, ServiceId
from agatetack.messages import Answer, CallerRequest
from agatetack.outcomes import Refusal
from agatetack.peers.exchange import Exchange, Topic
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState

if TYPE_CHECKING:
    from agatetack.forwarding.forwarder import Forwarder
    from agatetack.forwarding.receiver import ForwardReceiver


class LateForwarder(ForwardingNeed):
    """Passes requests on, with a forwarder that is built once a path is lost.

    Attributes:
        built: The forwarder, or None.
        needed: Set once it is built.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        has_free_slot: Callable[[TargetState, Deadline], bool],
        build: Callable[[], "Forwarder"],
    ):
        """Watch the paths to the targets.

        Args:
            registry: The targets.
            has_free_slot: Returns whether a request would not wait at a target.
            build: Returns the forwarder; called once.
        """
        super().__init__(registry, has_free_slot)
        self.build = build
        self.built: Forwarder | None = None
        self.needed = trio.Event()
        registry.paths.watchers.append(self._on_path)

    async def run(self) -> None:
        """Run the forwarder's tasks once it is built, until cancelled."""
        await self.needed.wait()
        await self._forwarder().run()

    def is_short(self, service: ServiceId) -> bool:
        """Return whether another host may have room for `service` sooner."""
        if not self.may_be_short(service):
            return False
        return self._forwarder().is_short(service)

    async def forward(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return what another host answered, or why none did."""
        return await self._forwarder().forward(route, request)

    def _on_path(self, target: TargetState) -> None:
        # Before a request needs it, which would have to wait for the modules.
        self._forwarder()

    def _forwarder(self) -> "Forwarder":
        if self.built is None:
            self.built = self.build()
            self.needed.set()
        return self.built


class LateReceiver:
    """Answers other hosts, with a receiver that is built at the first call."""

    def __init__(
        self, exchange: Exchange, build: Callable[[], "ForwardReceiver"]
    ):
        """Answer calls of other hosts.

        Args:
            exchange: The other hosts.
            build: Returns the receiver, which answers from then on.
        """
        self.build = build
        exchange.serve(Topic.FORWARD, self._answer)
        exchange.serve(Topic.FORWARD_CANCEL, self._cancel)

    async def _answer(self, sender: HostId, payload: bytes) -> bytes | None:
        return await self.build().answer(sender, payload)

    async def _cancel(self, sender: HostId, payload: bytes) -> bytes | None:
        return await self.build().cancel(sender, payload)
