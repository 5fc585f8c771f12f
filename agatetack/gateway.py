"""Wire the slices of one host together and run them."""

import dataclasses
import random
from collections.abc import Sequence

import trio

from agatetack.admission.service import ServiceAdmission
from agatetack.attempts.once import OnceRunner
from agatetack.attempts.race import AttemptRunner
from agatetack.attempts.single import SingleAttempt
from agatetack.balance.policies import make_policy
from agatetack.callers.server import CallerServer
from agatetack.claims.log_store import LogClaimStore
from agatetack.clock import Clock, SystemClock
from agatetack.config.route import RequestClass, RouteSource
from agatetack.config.store import ConfigStore
from agatetack.deferred.log_queue import LogDeferredQueue
from agatetack.hosts.directory import HostDirectory, ListChange
from agatetack.hosts.host_list import HostList
from agatetack.ids import Deadline, RouteId, ServiceId
from agatetack.lifecycle.drain import Lifecycle
from agatetack.lifecycle.in_flight import TrackingHandler
from agatetack.lifecycle.readiness import ReadinessView
from agatetack.logs import PartLog
from agatetack.measure.http_probe import HttpProbe
from agatetack.measure.prober import Prober
from agatetack.metrics import Metrics
from agatetack.peers.mesh import PeerExchange
from agatetack.quarantine.liveness import PoolLivenessCheck
from agatetack.quarantine.local_tracker import LocalCrashTracker
from agatetack.record_log.log import Log
from agatetack.serving.dispatcher import Dispatcher
from agatetack.serving.explain import Explanations
from agatetack.serving.runners import (
    DeferredRunner,
    FastRunner,
    LowPriorityExecutor,
    OnceClassRunner,
    WholeRunner,
)
from agatetack.serving.tickets import TicketHandler
from agatetack.settings.model import Settings
from agatetack.targets.drains import TargetDrains
from agatetack.targets.http_client import HttpTargetClient
from agatetack.targets.registry import TargetRegistry
from agatetack.tls import ServerTls

MAX_STOPS = 2
"""Wishes to stop that count: the first drains, the second ends that."""

log = PartLog("gateway")


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayPorts:
    """The ports that a host listens on."""

    callers: int
    peers: int


class GatewayReadiness(ReadinessView):
    """What a host must know before it takes requests."""

    def __init__(self, routes: RouteSource, registry: TargetRegistry):
        """Look at the routes in force and at what is known of targets."""
        self.routes = routes
        self.registry = registry

    def configured(self) -> bool:
        """Return whether the routes in force are known."""
        return self.routes.table is not None

    def unmeasured_routes(self) -> Sequence[RouteId]:
        """Return the routes of which no target has reported its load."""
        return [
            route.id
            for route in self.routes.table.routes.values()
            if not self._measured(route.service)
        ]

    def _measured(self, service: ServiceId) -> bool:
        targets = self.registry.targets(service)
        return any(target.report is not None for target in targets)


class Gateway:
    """One host: every slice, wired; `run` serves until it is cancelled.

    Attributes:
        settings: The host's settings.
        metrics: The host's counters.
        routes: The routes in force.
        registry: The targets.
        config: Changes of routes.
        claims: Who may run which never-repeated request.
        deferred: Requests that may wait.
        peers: The other hosts.
        lifecycle: How far the host is between its start and its end.
        stops: Takes a value for each wish to stop, by signal or operator.
    """

    def __init__(
        self,
        settings: Settings,
        platform_log: Log,
        host_list: HostList,
        clock: Clock | None = None,
    ):
        """Build every slice; nothing runs before `run`.

        Args:
            settings: The host's settings.
            platform_log: The platform's log.
            host_list: The platform's list of hosts.
            clock: The host's clocks; the system's if None.
        """
        clock = clock or SystemClock()
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self.directory = HostDirectory(settings, host_list, self.metrics)
        self.peers = PeerExchange(settings, self.directory, self.metrics, clock)
        self.routes = RouteSource()
        self.config = ConfigStore(
            settings, platform_log, self.peers, self.routes, self.metrics, clock
        )
        self._build_target_side()
        self.claims = LogClaimStore(
            settings, platform_log, self.peers, self.metrics, clock
        )
        self.deferred = LogDeferredQueue(
            settings,
            platform_log,
            self.peers,
            self.routes,
            LowPriorityExecutor(settings, self.attempts),
            self.metrics,
            clock,
        )
        self.lifecycle = Lifecycle(settings, self.metrics, clock)
        self.stops, self.stops_out = trio.open_memory_channel[int](MAX_STOPS)
        self._build_caller_side()
        self._build_drain()

    def _build_target_side(self) -> None:
        settings, metrics = self.settings, self.metrics
        self.registry = TargetRegistry(settings, metrics)
        self.directory.on_change(self._targets_listed)
        seed = random.SystemRandom().getrandbits(63)
        self.admission = ServiceAdmission(
            settings,
            self.registry,
            make_policy(settings, seed),
            metrics,
            self.peers.fleet_size,
        )
        self.drains = TargetDrains(
            self.registry, self.peers, metrics, self.clock
        )
        self.client = HttpTargetClient(settings, self.registry)
        self.prober = Prober(
            settings,
            self.registry,
            self.peers,
            metrics,
            HttpProbe(settings),
            seed,
        )
        self.crashes = LocalCrashTracker(
            settings, self.peers, PoolLivenessCheck(self.client.pools), metrics
        )
        self.single = SingleAttempt(
            settings, self.client, self.crashes, metrics
        )
        self.attempts = AttemptRunner(
            settings, self.admission, self.single, metrics
        )

    def _build_caller_side(self) -> None:
        settings, metrics = self.settings, self.metrics
        once = OnceRunner(
            settings, self.claims, self.admission, self.single, metrics
        )
        self.explanations = Explanations()
        self.dispatcher = Dispatcher(
            settings,
            self.routes,
            {
                RequestClass.FAST: FastRunner(self.attempts),
                RequestClass.ONCE: OnceClassRunner(once),
                RequestClass.WHOLE: WholeRunner(self.attempts, metrics),
                RequestClass.DEFERRED: DeferredRunner(settings, self.deferred),
            },
            TicketHandler(settings, self.deferred, metrics),
            self.crashes,
            self.explanations,
            metrics,
            lambda: self.lifecycle.accepting,
        )
        self.callers_tls = None
        if settings.callers.tls is not None:
            self.callers_tls = ServerTls(
                settings.callers.tls, "callers", metrics
            )
        self.callers = CallerServer(
            settings,
            TrackingHandler(self.dispatcher, self.lifecycle.in_flight),
            metrics,
            self.callers_tls,
        )

    def _build_drain(self) -> None:
        self.lifecycle.on_leaving(self.peers.announce_leaving)
        self.lifecycle.on_closing(self.callers.stop_accepting)
        self.lifecycle.on_closing(self.callers.close_idle)
        self.lifecycle.add_flush("callers", self._flush_callers)
        self.lifecycle.add_flush("claims", self._flush_claims)
        self.lifecycle.add_flush("deferred", self._flush_deferred)

    async def _flush_callers(self, deadline: Deadline) -> None:
        # A request that is still arriving is not in flight yet, and would be
        # cut instead of refused.
        await self.callers.ended.wait()

    async def _flush_claims(self, deadline: Deadline) -> None:
        await self.claims.flush(deadline)

    async def _flush_deferred(self, deadline: Deadline) -> None:
        # With the log out this would wait for ever; the lifecycle names it
        # unfinished, and another host runs what was taken up here.
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
            await nursery.start(self.prober.run)
            nursery.start_soon(self.crashes.run)
            nursery.start_soon(self.drains.run)
            nursery.start_soon(self.client.pools.close_old)
            nursery.start_soon(self.attempts.hedger.run)
            nursery.start_soon(self.attempts.forget_routes, self.routes)
            if self.callers_tls is not None:
                nursery.start_soon(self.callers_tls.run)
            readiness = GatewayReadiness(self.routes, self.registry)
            nursery.start_soon(self.lifecycle.run_until_ready, readiness)
            callers_port = await nursery.start(self.callers.run)
            task_status.started(GatewayPorts(callers_port, peers_port))
