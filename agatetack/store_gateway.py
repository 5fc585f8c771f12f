"""Build a host that reads routes, targets and peers from a metadata store."""

import dataclasses
import random
from typing import TYPE_CHECKING

import trio

from agatetack.clock import Clock
from agatetack.config.document_routes import DocumentRoutes
from agatetack.config.route import Currency, RequestClass
from agatetack.gateway_core import GatewayCore, GatewayReadiness
from agatetack.hosts.evacuations import Evacuations
from agatetack.hosts.member_directory import MemberDirectory
from agatetack.hosts.registered_targets import RegisteredTargets
from agatetack.keyed.follower import ReadCounters, TopicCurrency, TopicFollower
from agatetack.keyed.generations import StoreGenerations
from agatetack.keyed.reader import FanOutReader, TopicReader
from agatetack.keyed.seeds import SeedClient, SeedServer
from agatetack.keyed.sharing import TopicSharing
from agatetack.keyed.topic import KeyedTopic
from agatetack.late import LateModule
from agatetack.lifecycle.readiness import ReadinessView
from agatetack.lifecycle.status import (
    MetricsHandler,
    ReadyHandler,
    status_server,
)
from agatetack.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    ConfigurationDecoder,
    EvacuationKeyParser,
)
from agatetack.platform.load_header import CommaSeparatedLoadReader
from agatetack.platform.registrations import (
    REGISTRATIONS_TOPIC,
    ServerDecoder,
)
from agatetack.platform.store_client import StoreClient, StoreTopic, topic_name
from agatetack.quarantine.liveness import LivenessCheck, ReportLivenessCheck
from agatetack.serving.runners import FastRunner, OnceClassRunner, WholeRunner
from agatetack.settings.model import Settings
from agatetack.targets.pool import ConnectionLimit, SettingsConnectionLimit
from agatetack.targets.state import TargetState

if TYPE_CHECKING:
    from agatetack.keyed.proofs import ProvenAge

# Loaded for a document that has client accounts, or routes of these classes.
account_check = LateModule("agatetack.identity.check")
host_claims = LateModule("agatetack.claims.host_claims")
once = LateModule("agatetack.attempts.once")
proofs = LateModule("agatetack.keyed.proofs")
resume = LateModule("agatetack.download.resume")
shared_quotas = LateModule("agatetack.quotas.shared")

FIRST_READ_TIMEOUT_SECONDS = 0.25
"""Longest time that callers wait, while a host starts, for its first read of
the store, which usually takes 20 ms. After that the host refuses requests, so
that callers can try another host."""

FIRST_READ_POLL_INTERVAL_SECONDS = 0.005
"""Interval at which a starting host checks whether that read is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class StorePorts:
    """The ports that a host listens on; 0 where it does not."""

    callers: int
    peers: int
    ready: int = 0
    metrics: int = 0


PROBE_CONNECTIONS = 1
"""Connections that a host opens to a target for probes, in addition to those
for requests."""


class DocumentConnectionLimit(ConnectionLimit):
    """Divides a target's connection limit in the document among all hosts."""

    def __init__(self, gateway: "StoreGateway"):
        """Use the document and the number of hosts known to `gateway`."""
        self.gateway = gateway
        self.own = SettingsConnectionLimit(gateway.settings)

    def limit_for(self, target: TargetState) -> int:
        """Return this host's share, at most the limit in the settings."""
        own = self.own.limit_for(target)
        info = self.gateway.documents.services.get(target.service)
        if info is None or not info.max_connections:
            return own
        part = info.max_connections // self.gateway.peers.fleet_size()
        return max(1, min(own, part - PROBE_CONNECTIONS))


class StoreReadiness(GatewayReadiness):
    """Checks what a host on a store must know before it accepts requests."""

    def __init__(self, gateway: "StoreGateway"):
        """Check what `gateway` has read from the store."""
        super().__init__(gateway.routes, gateway.registry)
        self.gateway = gateway

    def configured(self) -> bool:
        """Return whether routes and targets have been read."""
        return super().configured() and self.gateway.targets.known


class StoreGateway(GatewayCore):
    """One host on a metadata store; `run` serves until it is cancelled.

    Attributes:
        store: The client of the store.
        generations: Tracks the store's generation.
        documents: The operators' document in force.
        evacuations: The failure domains that operators evacuated.
        targets: The registered targets.
        members: The registered hosts.
        followers: Readers of the topics that keep these up to date.
        nursery: Runs the host's tasks; None before it runs.
        proofs: Tells how old the document in force may be; None without client
            accounts.
        seed_port: Port on which this host sends starting hosts a copy of what
            it has read; 0 if it doesn't listen.
    """

    def __init__(self, settings: Settings, clock: Clock | None = None):
        """Build all components; `run` starts them.

        Args:
            settings: The host's settings; they name the store.
            clock: The host's clocks; the system's if None.
        """
        super().__init__(settings, clock)
        metrics = self.metrics
        self.generations = StoreGenerations(metrics)
        self.store = StoreClient(settings, self.generations)
        self.documents = DocumentRoutes(
            CONFIGURATION_KEY, ConfigurationDecoder(), self.routes, metrics
        )
        member_topic = StoreTopic(
            self.store, topic_name(settings.platform.store.member_topic)
        )
        self.members = MemberDirectory(settings, member_topic, metrics)
        load_reader = None
        if settings.targets.headers.load is not None:
            load_reader = CommaSeparatedLoadReader(settings)
        self.build_target_side(
            self.members, load_reader, self.documents.load_paths
        )
        self.targets = RegisteredTargets(
            settings, ServerDecoder(), self.registry.update, metrics
        )
        self.evacuations = Evacuations(
            EvacuationKeyParser(), self.registry.set_evacuated, metrics
        )
        self.read_counters = ReadCounters(metrics)
        self.seed_port = 0
        self.followers = [
            self._follower(
                "documents",
                CONFIGURATION_TOPIC,
                FanOutReader(self.documents, self.evacuations),
            ),
            self._follower("targets", REGISTRATIONS_TOPIC, self.targets),
            self._follower("members", member_topic, self.members),
        ]
        self.sharing = TopicSharing(
            settings, self.followers, self.peers, metrics, self.generations
        )
        self.seed_server = SeedServer(
            settings, self.followers, self.members, metrics
        )
        self.seed_client = SeedClient(
            settings,
            self.followers,
            metrics,
            self.generations,
        )
        self.proofs: ProvenAge | None = None
        self.client.pools.connection_limit = DocumentConnectionLimit(self)
        self.nursery: trio.Nursery | None = None
        self._build_classes()
        self.documents.watchers.append(self._build_document_parts)
        self.documents.watchers.append(self._apply_caller_limits)
        self.documents.watchers.append(self._apply_warm_up_rates)

    def _follower(
        self, name: str, topic: str | KeyedTopic, reader: TopicReader
    ) -> TopicFollower:
        if isinstance(topic, str):
            topic = StoreTopic(self.store, topic)
        return TopicFollower(
            self.settings,
            name,
            topic,
            reader,
            self.read_counters,
            self.generations,
            random.Random(f"{self.seed} {name}"),
        )

    def _build_classes(self) -> None:
        self.build_caller_side(
            {
                RequestClass.FAST: FastRunner(self.attempts),
                RequestClass.WHOLE: WholeRunner(self.attempts, self.metrics),
            }
        )

    def _build_document_parts(self) -> None:
        """Build the parts that the document in force needs.

        This is done before a request can be matched with the document.
        """
        if self.accounts is None and self.documents.accounts.table is not None:
            self._build_account_parts()
        classes = {
            route.request_class for route in self.routes.table.routes.values()
        }
        if RequestClass.WHOLE in classes:
            resume.load()
        if (
            RequestClass.ONCE in classes
            and RequestClass.ONCE not in self.dispatcher.runners
        ):
            self._build_once_runner()

    def _build_account_parts(self) -> None:
        """Build the parts that only client accounts need.

        A host without accounts doesn't load their modules.
        """
        self.proofs = proofs.ProvenAge(
            self.settings,
            self.followers[0],
            self.documents.accounts,
            self.sharing.readers,
            self.peers,
            self.metrics,
            self.generations,
            self.clock,
        )
        self.proofs.update()
        self.documents.watchers.append(self.proofs.update)
        self.accounts = account_check.AccountCheck(
            self.settings,
            self.documents.accounts,
            self.metrics,
            self.proofs,
        )
        self.dispatcher.accounts = self.accounts
        self.quotas = shared_quotas.SharedQuotas(
            self.settings,
            self.documents.accounts,
            self.peers,
            self.metrics,
            self.clock,
        )
        self.quotas.apply()
        self.documents.watchers.append(self.quotas.apply)
        self.dispatcher.quotas = self.quotas
        if self.nursery is not None:
            self._start_account_parts(self.nursery)

    def _start_account_parts(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.quotas.run)
        nursery.start_soon(self.proofs.run)

    def _build_once_runner(self) -> None:
        runner = once.OnceRunner(
            self.settings,
            host_claims.HostClaims(),
            self.request_admission,
            self.single,
            self.metrics,
            self.fleet_budget,
        )
        self.add_runner(RequestClass.ONCE, OnceClassRunner(runner))

    def readiness(self) -> ReadinessView:
        """Return the checks this host must pass before it takes requests."""
        return StoreReadiness(self)

    def reconfigure(self, settings: Settings) -> None:
        """Apply changed settings, as far as a running host can."""
        self.settings = settings
        self.lifecycle.settings = settings.lifecycle
        self.fleet_budget.set_limits(settings)
        if self.proofs is not None:
            self.proofs.update(settings)
        self._apply_caller_limits()

    def _apply_caller_limits(self) -> None:
        """Apply the callers' limits of the document, or of the settings."""
        callers = self.settings.callers
        limits = self.documents.limits
        if limits is not None:
            callers = callers.copy_with(
                {
                    "max_header_bytes": limits.max_header_bytes,
                    "max_body_bytes": limits.max_body_bytes,
                    "header_timeout_seconds": limits.header_timeout_seconds,
                    "keep_alive_seconds": limits.idle_timeout_seconds,
                }
            )
        self.callers.limit(callers)

    def _apply_warm_up_rates(self) -> None:
        """Apply the warm-up rates in the document to the targets."""
        self.registry.set_warm_up_rates(
            {
                info.id: info.warm_up_rate
                for info in self.documents.services.values()
            }
        )

    def liveness_check(self) -> LivenessCheck:
        """Return the check that tells a crash from one lost connection."""
        return ReportLivenessCheck(self.registry)

    def currency(self) -> Currency:
        """Return what tells whether the document in force is the newest."""
        return TopicCurrency(self.followers[0], self.lateness)

    def fleet_size(self) -> int | None:
        """Return an upper bound of the number of hosts; None if unknown."""
        return self.peers.fleet_size() if self.members.known else None

    async def run(
        self,
        task_status: trio.TaskStatus[StorePorts] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; the ports are reported once all listen."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.sharing.run)
            if self.accounts is not None:
                self._start_account_parts(nursery)
            nursery.start_soon(self.targets.run)
            nursery.start_soon(self.members.register_others)
            nursery.start_soon(self.members.rewrite_lost)
            peers_port = await nursery.start(self.peers.run)
            self.seed_port = await nursery.start(self.seed_server.run)
            await self._read_store(nursery, peers_port)
            callers_port = await self.start_serving(nursery)
            ready, metrics = await self._start_status(nursery)
            task_status.started(
                StorePorts(callers_port, peers_port, ready, metrics)
            )

    async def _read_store(self, nursery: trio.Nursery, port: int) -> None:
        """Read the store's topics, and register this host there.

        Args:
            nursery: Runs the tasks that follow the topics.
            port: This host's port for peers.
        """
        own = self.settings.host.id
        registered_by_seed = await self.seed_client.start(
            own, self.members.own_record(port)
        )
        for follower in self.followers:
            nursery.start_soon(follower.run)
        nursery.start_soon(self.members.register, port, registered_by_seed)
        await self._wait_until_configured()

    async def _wait_until_configured(self) -> None:
        """Wait briefly for routes and targets before serving callers.

        Otherwise, callers that connected while this host was starting would
        be refused about 20 ms before it can serve them. A host that copied
        records that are too old waits until the store has answered or has
        failed to.
        """
        readiness = self.readiness()
        with trio.move_on_after(FIRST_READ_TIMEOUT_SECONDS):
            while not readiness.configured():
                await trio.sleep(FIRST_READ_POLL_INTERVAL_SECONDS)
        timeout_seconds = self.settings.platform.store.timeout_seconds
        with trio.move_on_after(timeout_seconds):
            while readiness.configured() and any(
                each.awaits_answer for each in self.followers
            ):
                await trio.sleep(FIRST_READ_POLL_INTERVAL_SECONDS)

    async def _start_status(self, nursery: trio.Nursery) -> tuple[int, int]:
        """Serve readiness and metrics; return their ports, or 0 if off."""
        status = self.settings.status
        updaters = [follower.show for follower in self.followers]
        updaters.append(self._show_proof_age)
        updaters.append(self.caller_memory.show)
        servers = (
            (status.ready_listen, ReadyHandler(self.settings, self.lifecycle)),
            (
                status.metrics_listen,
                MetricsHandler(self.settings, self.metrics, updaters),
            ),
        )
        ports = []
        for listen, handler in servers:
            port = 0
            if listen is not None:
                server = status_server(
                    self.settings,
                    listen,
                    handler,
                    self.metrics,
                    self.caller_memory,
                )
                port = await nursery.start(server.run)
            ports.append(port)
        return ports[0], ports[1]

    def _show_proof_age(self) -> None:
        if self.proofs is not None:
            self.proofs.show()

    async def aclose(self) -> None:
        """Close the connections to the store."""
        await self.store.aclose()
