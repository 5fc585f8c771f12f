"""Build a host that stores routes, claims and deferred work in the log."""

import dataclasses

import trio

from agatetack.attempts.once import OnceRunner
from agatetack.claims.log_store import LogClaimStore
from agatetack.clock import Clock
from agatetack.config.route import RequestClass
from agatetack.config.store import ConfigStore
from agatetack.deferred.log_queue import LogDeferredQueue
from agatetack.gateway_core import GatewayCore
from agatetack.hosts.directory import HostDirectory, ListChange
from agatetack.hosts.host_list import HostList
from agatetack.ids import Deadline
from agatetack.record_log.log import Log
from agatetack.serving.deferred_runners import (
    DeferredRunner,
    LowPriorityExecutor,
)
from agatetack.serving.runners import (
    FastRunner,
    OnceClassRunner,
    WholeRunner,
)
from agatetack.serving.tickets import TicketHandler
from agatetack.settings.model import Settings
from agatetack.targets.drains import TargetDrains


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayPorts:
    """The ports that a host listens on."""

    callers: int
    peers: int


class Gateway(GatewayCore):
    """One host with all its components; `run` serves until cancelled.

    Attributes:
        directory: Follows the platform's list of hosts.
        config: Store of the routes and their changes.
        drains: Targets that operators drained.
        claims: Grants attempts permission to run at-most-once requests.
        deferred: Queue of deferred requests.
    """

    def __init__(
        self,
        settings: Settings,
        platform_log: Log,
        host_list: HostList,
        clock: Clock | None = None,
        seed: int | None = None,
    ):
        """Build all components; `run` starts them.

        Args:
            settings: The host's settings.
            platform_log: The platform's log.
            host_list: The platform's list of hosts.
            clock: The host's clocks; the system's if None.
            seed: Seed of its random choices; drawn at random if None.
        """
        super().__init__(settings, clock, seed)
        self.directory = HostDirectory(settings, host_list, self.metrics)
        self.build_target_side(self.directory)
        self.directory.on_change(self._targets_listed)
        self.config = ConfigStore(
            settings,
            platform_log,
            self.peers,
            self.routes,
            self.metrics,
            self.clock,
        )
        self.drains = TargetDrains(
            self.registry, self.peers, self.metrics, self.clock
        )
        self.claims = LogClaimStore(
            settings, platform_log, self.peers, self.metrics, self.clock
        )
        self.deferred = LogDeferredQueue(
            settings,
            platform_log,
            self.peers,
            self.routes,
            LowPriorityExecutor(settings, self.attempts),
            self.metrics,
            self.clock,
        )
        self._build_classes()
        self.lifecycle.add_flush("claims", self._flush_claims)
        self.lifecycle.add_flush("deferred", self._flush_deferred)

    def _build_classes(self) -> None:
        settings, metrics = self.settings, self.metrics
        once = OnceRunner(
            settings,
            self.claims,
            self.admission,
            self.single,
            metrics,
            self.fleet_budget,
        )
        self.build_caller_side(
            {
                RequestClass.FAST: FastRunner(self.attempts),
                RequestClass.ONCE: OnceClassRunner(once),
                RequestClass.WHOLE: WholeRunner(self.attempts, metrics),
                RequestClass.DEFERRED: DeferredRunner(settings, self.deferred),
            },
            TicketHandler(settings, self.deferred, metrics),
        )

    async def _flush_claims(self, deadline: Deadline) -> None:
        await self.claims.flush(deadline)

    async def _flush_deferred(self, deadline: Deadline) -> None:
        # Without a deadline this would never end while the log is down. The
        # lifecycle then reports the flush as unfinished, and another host
        # runs the requests that this host had started.
        with trio.fail_at(deadline):
            await self.deferred.drain()

    def _targets_listed(self, change: ListChange) -> None:
        self.registry.update(self.directory.targets())

    async def run(
        self,
        task_status: trio.TaskStatus[GatewayPorts] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; the ports are reported once all listen."""
        async with trio.open_nursery() as nursery:
            peers_port = await nursery.start(self.peers.run)
            await nursery.start(self.directory.run)
            await nursery.start(self.config.run)
            await nursery.start(self.claims.run)
            await nursery.start(self.deferred.run)
            nursery.start_soon(self.drains.run)
            callers_port = await self.start_serving(nursery)
            task_status.started(GatewayPorts(callers_port, peers_port))
