"""Build the components common to all hosts, whatever their route source."""

import random
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

import trio

from agatetack.admission.controller import AdmissionController
from agatetack.admission.service import ServiceAdmission
from agatetack.attempts.fleet_budget import FleetBudget
from agatetack.attempts.probing_admission import ProbingAdmission
from agatetack.attempts.race import AttemptRunner
from agatetack.attempts.single import SingleAttempt
from agatetack.balance.cold_share import ColdShare
from agatetack.balance.policies import make_policy
from agatetack.balance.pushback_share import PushbackShare
from agatetack.balance.rate_share import RateShare
from agatetack.balance.start_share import StartShare
from agatetack.balance.target_share import CombinedShares
from agatetack.callers.memory import CallerMemory
from agatetack.callers.server import CallerServer
from agatetack.clock import Clock, Lateness, LatenessMeter, SystemClock
from agatetack.config.route import (
    AlwaysCurrent,
    Currency,
    RequestClass,
    RouteSource,
)
from agatetack.forwarding.late import LateForwarder, LateReceiver
from agatetack.forwarding.runner import ForwardingRunner
from agatetack.ids import Deadline, RouteId, ServiceId
from agatetack.late import LateModule
from agatetack.lifecycle.drain import Lifecycle
from agatetack.lifecycle.in_flight import TrackingHandler
from agatetack.lifecycle.readiness import ReadinessView
from agatetack.measure.http_probe import HttpProbe
from agatetack.measure.occupancy import Occupancy
from agatetack.measure.path_sharing import PathSharing
from agatetack.measure.prober import Prober
from agatetack.measure.rounds import ProbeRounds
from agatetack.messages import Handler
from agatetack.metrics import Metrics
from agatetack.peers.exchange import GatewayDirectory
from agatetack.peers.mesh import PeerExchange
from agatetack.quarantine.liveness import LivenessCheck, PoolLivenessCheck
from agatetack.quarantine.local_tracker import LocalCrashTracker
from agatetack.serving.dispatcher import ClassRunner, Dispatcher
from agatetack.serving.explain import Explanations
from agatetack.settings.model import PolicyName, Settings
from agatetack.targets.http_client import HttpTargetClient
from agatetack.targets.load import HeaderLoadReader, LoadReader
from agatetack.targets.presend_probe import PreSendProber
from agatetack.targets.registry import TargetRegistry

if TYPE_CHECKING:
    from agatetack.forwarding.forwarder import Forwarder
    from agatetack.forwarding.receiver import ForwardReceiver
    from agatetack.identity.check import AccountCheck
    from agatetack.quotas.limiter import QuotaLimiter

forwarder = LateModule("agatetack.forwarding.forwarder")
receiver = LateModule("agatetack.forwarding.receiver")
tls = LateModule("agatetack.tls")

DELIVERY_MARGIN_SECONDS = 0.05
"""How long before the end of a drain connections are no longer waited for of
which only the caller's end is missing."""

MAX_STOP_REQUESTS = 2
"""Stop requests that are buffered."""


class GatewayReadiness(ReadinessView):
    """Checks what a host must know before it accepts requests."""

    def __init__(self, routes: RouteSource, registry: TargetRegistry):
        """Check the routes in force and the targets in `registry`."""
        self.routes = routes
        self.registry = registry

    def configured(self) -> bool:
        """Return whether the routes in force are known."""
        return self.routes.table is not None

    def unmeasured_routes(self) -> Sequence[RouteId]:
        """Return the routes for which no target has reported its load."""
        return [
            route.id
            for route in self.routes.table.routes.values()
            if not self._measured(route.service)
        ]

    def _measured(self, service: ServiceId) -> bool:
        targets = self.registry.targets(service)
        return any(target.report is not None for target in targets)


class GatewayCore:
    """The components of one host that don't depend on its route source.

    Attributes:
        settings: The host's settings.
        clock: Its wall clock and monotonic clock.
        seed: Seed of the random generators that choose targets.
        metrics: Its metrics.
        lateness: How late its event loop is.
        peers: The exchange with the other hosts.
        routes: The routes in force.
        registry: The known targets and their state.
        lifecycle: The host's phase, from start to drain and exit.
        callers: The server for callers.
        caller_memory: The memory of all connections of callers.
        stops: Receives a value for each stop request, by signal or operator.
        accounts: Identifies client accounts, or None.
        quotas: Limits the requests of client accounts, or None.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        seed: int | None = None,
    ):
        """Create what the other components need.

        Args:
            settings: The host's settings.
            clock: The host's clocks; the system's if None.
            seed: Seed of its random choices; drawn at random if None.
        """
        self.settings = settings
        self.seed = seed
        if seed is None:
            self.seed = random.SystemRandom().getrandbits(63)
        self.clock = clock or SystemClock()
        self.metrics = Metrics()
        self.lateness = Lateness()
        self.lateness_meter = LatenessMeter(self.lateness, self.metrics)
        self.routes = RouteSource()
        self.stops, self.stops_out = trio.open_memory_channel[int](
            MAX_STOP_REQUESTS
        )
        self.lifecycle = Lifecycle(
            settings, self.metrics, self.clock, self.lateness
        )
        self.accounts: AccountCheck | None = None
        self.quotas: QuotaLimiter | None = None

    def build_target_side(
        self,
        directory: GatewayDirectory,
        load_reader: LoadReader | None = None,
        load_paths: Mapping[ServiceId, str] | None = None,
    ) -> None:
        """Build the components that discover, measure and call targets.

        Args:
            directory: The directory of the other hosts.
            load_reader: Parses load reports; if None, the settings decide.
            load_paths: Load paths by service, where they differ from the
                settings' one.
        """
        settings, metrics = self.settings, self.metrics
        self.peers = PeerExchange(settings, directory, metrics, self.clock)
        self.registry = TargetRegistry(settings, metrics)
        self.registry.listing_watchers.append(self.peers.set_targets)
        seed = self.seed
        self.start_share = StartShare(
            self.registry, self.peers, lambda: list(self.peers.members.listed)
        )
        self.rate_share = RateShare(
            settings, self.registry, directory.gateways, self.peers, metrics
        )
        pushback_share = PushbackShare(metrics)
        self.admission = ServiceAdmission(
            settings,
            self.registry,
            make_policy(settings, seed),
            metrics,
            self.peers.fleet_size,
            CombinedShares(
                [
                    pushback_share,
                    self.start_share,
                    ColdShare(settings, self.registry, directory.gateways),
                    self.rate_share,
                ]
            ),
            serving_end=self.lifecycle.serving_end,
        )
        self.client = HttpTargetClient(settings, self.registry, load_reader)
        self.prober = Prober(
            settings,
            self.registry,
            self.peers,
            metrics,
            HttpProbe(
                settings, load_reader, load_paths, self.registry.pushbacks
            ),
            seed,
            CombinedShares([pushback_share, self.rate_share]),
            self.lateness,
        )
        self.path_sharing = PathSharing(
            self.registry, self.peers, metrics, self.prober.looks.suspect
        )
        self.forwarder = LateForwarder(
            self.registry,
            self.admission.policy.has_free_slot,
            self._build_forwarder,
        )
        self.rounds = ProbeRounds(
            settings,
            self.registry,
            self.peers,
            self.prober,
            self.fleet_size,
            random.Random(f"{seed} rounds"),
            self.lateness,
            self.path_sharing,
        )
        self.occupancy = None
        if settings.balance.policy is PolicyName.FLEET_VIEW:
            self.occupancy = Occupancy(
                self.registry,
                self.peers,
                metrics,
                self.prober.sharing,
                self.lateness,
            )
        self.crashes = LocalCrashTracker(
            settings, self.peers, self.liveness_check(), metrics
        )
        self.single = SingleAttempt(
            settings, self.client, self.crashes, metrics
        )
        self.fleet_budget = FleetBudget(settings, self.fleet_size, metrics)
        self.request_admission = self._build_request_admission(
            load_reader, load_paths
        )
        self.attempts = AttemptRunner(
            settings,
            self.request_admission,
            self.single,
            metrics,
            self.fleet_budget,
        )

    def _build_forwarder(self) -> "Forwarder":
        return forwarder.Forwarder(
            self.registry,
            self.peers,
            self.path_sharing,
            self.admission.policy.has_free_slot,
            self.metrics,
        )

    def _build_forward_receiver(self) -> "ForwardReceiver":
        return receiver.ForwardReceiver(
            self.peers,
            self.dispatcher.run_forwarded,
            self.lifecycle.in_flight,
            self.settings.peers.max_frame_bytes,
            self.metrics,
        )

    def _build_request_admission(
        self,
        load_reader: LoadReader | None,
        load_paths: Mapping[ServiceId, str] | None,
    ) -> AdmissionController:
        """Return the admission for requests, with pre-send probes if set."""
        if not self.settings.measure.target_looks_per_second:
            return self.admission
        presend_prober = PreSendProber(
            self.settings,
            self.registry,
            self.client.pools,
            load_reader or HeaderLoadReader(self.settings),
            self.peers,
            self.metrics,
            load_paths,
            self.lateness,
        )
        return ProbingAdmission(self.admission, presend_prober, self.metrics)

    def liveness_check(self) -> LivenessCheck:
        """Return the check that tells a crash from one lost connection."""
        return PoolLivenessCheck(self.client.pools)

    def currency(self) -> Currency:
        """Return what tells whether the routes in force are the newest."""
        return AlwaysCurrent()

    def fleet_size(self) -> int | None:
        """Return an upper bound of the number of hosts; None if unknown."""
        return self.peers.fleet_size()

    def build_caller_side(
        self,
        runners: Mapping[RequestClass, ClassRunner],
        tickets: Handler | None = None,
    ) -> None:
        """Build the components that serve callers.

        Args:
            runners: The runner of each request class.
            tickets: Handles polls for deferred requests; None if the host
                runs no deferred requests.
        """
        settings, metrics = self.settings, self.metrics
        self.explanations = Explanations()
        self.dispatcher = Dispatcher(
            settings,
            self.routes,
            {
                request_class: self._with_forwarding(request_class, runner)
                for request_class, runner in runners.items()
            },
            tickets,
            self.crashes,
            self.explanations,
            metrics,
            lambda: self.lifecycle.accepting,
            self.accounts,
            self.quotas,
            self.lifecycle.serving_end,
            self.currency(),
        )
        LateReceiver(self.peers, self._build_forward_receiver)
        self.callers_tls = None
        if settings.callers.tls is not None:
            self.callers_tls = tls.ServerTls(
                settings.callers.tls, "callers", metrics
            )
        self.caller_memory = CallerMemory(settings, metrics)
        self.callers = CallerServer(
            settings,
            TrackingHandler(self.dispatcher, self.lifecycle.in_flight),
            metrics,
            self.callers_tls,
            self.caller_memory,
        )
        self.lifecycle.on_leaving(self.peers.announce_leaving)
        self.lifecycle.on_closing(self.callers.stop_accepting)
        self.lifecycle.on_closing(self.callers.close_idle)
        self.lifecycle.on_ended(self.callers.cut_unfinished)
        self.lifecycle.add_flush("callers", self._flush_callers)
        self.lifecycle.add_flush("replies", self.peers.flush_replies)

    def add_runner(
        self, request_class: RequestClass, runner: ClassRunner
    ) -> None:
        """Run the requests of `request_class` with `runner`."""
        self.dispatcher.runners[request_class] = self._with_forwarding(
            request_class, runner
        )

    def _with_forwarding(
        self, request_class: RequestClass, runner: ClassRunner
    ) -> ClassRunner:
        if request_class is RequestClass.DEFERRED:
            # Any host runs it later.
            return runner
        return ForwardingRunner(runner, self.forwarder)

    async def _flush_callers(self, deadline: Deadline) -> None:
        # A request that is still being received doesn't count as in flight
        # yet. Without this wait, its connection would be closed instead of
        # the request being refused.
        await self.callers.wait_delivered(
            Deadline(deadline - DELIVERY_MARGIN_SECONDS)
        )

    def readiness(self) -> ReadinessView:
        """Return the checks this host must pass before it takes requests."""
        return GatewayReadiness(self.routes, self.registry)

    async def start_serving(self, nursery: trio.Nursery) -> int:
        """Start the tasks of all components; return the port for callers."""
        nursery.start_soon(self.lateness_meter.run)
        await nursery.start(self.prober.run)
        nursery.start_soon(self.rounds.run)
        nursery.start_soon(self.path_sharing.run)
        nursery.start_soon(self.forwarder.run)
        if self.occupancy is not None:
            nursery.start_soon(self.occupancy.run)
            self.start_share.begin()
            nursery.start_soon(self.start_share.run)
        nursery.start_soon(self.crashes.run)
        nursery.start_soon(self.client.pools.close_expired)
        nursery.start_soon(self.attempts.hedger.run)
        nursery.start_soon(self.attempts.forget_routes, self.routes)
        if self.callers_tls is not None:
            nursery.start_soon(self.callers_tls.run)
        nursery.start_soon(self.lifecycle.run_until_ready, self.readiness())
        return await nursery.start(self.callers.run)
