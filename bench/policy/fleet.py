"""Put the product's gateways together with fake targets and fake peers."""

import math
import random
from collections.abc import Sequence

import trio
from returns.result import Failure, Result, Success

from agatetack.admission.service import ServiceAdmission
from agatetack.balance.policies import make_policy
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import (
    Deadline,
    FailureDomain,
    HostId,
    RequestId,
    ServiceId,
)
from agatetack.measure.probe import ProbeAnswer, ProbeClient, ProbeFailure
from agatetack.measure.prober import Prober
from agatetack.messages import Answer, BytesBody
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.peers.exchange import (
    CallHandler,
    Exchange,
    MessageHandler,
    Peer,
    PeerUnreachable,
    Scope,
    Topic,
)
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import Settings
from agatetack.targets.client import (
    Attempt,
    AttemptFailed,
    AttemptFailure,
    TargetClient,
)
from agatetack.targets.registry import (
    LeavingSign,
    ReportedState,
    TargetRegistry,
)
from agatetack.targets.state import LoadReport, ReportSource, TargetState
from bench.policy.oracle import Oracle
from bench.policy.scenario import SPREAD, Scenario, one_way
from bench.policy.target import FakeTarget

SERVICE = ServiceId("profiles")
PROBE_BYTES = 250


class FakeExchange(Exchange):
    """Peers in the same process, with network time between them."""

    def __init__(self, fleet: "Fleet", gateway: int):
        """Belong to gateway number `gateway`."""
        self.fleet = fleet
        self.gateway = gateway
        self.handlers: dict[Topic, list[MessageHandler]] = {}
        self.bytes_sent = 0
        self.messages = 0

    def publish(
        self, topic: Topic, payload: bytes, scope: Scope = Scope.ALL
    ) -> None:
        """Deliver to all others after the network time."""
        self.messages += 1
        self.bytes_sent += len(payload) * (len(self.fleet.gateways) - 1)
        if topic is Topic.LOAD_SAMPLES and not self.fleet.scenario.sharing:
            return
        self.fleet.nursery.start_soon(self._deliver, topic, payload)

    async def _deliver(self, topic: Topic, payload: bytes) -> None:
        await trio.sleep(0.0015)
        sender = HostId(f"gateway-{self.gateway}")
        for gateway in self.fleet.gateways:
            if gateway.exchange is not self:
                for handler in gateway.exchange.handlers.get(topic, ()):
                    handler(sender, payload)

    def send(self, peer: HostId, topic: Topic, payload: bytes) -> None:
        """Drop the message; the bench sends to all hosts only."""

    def subscribe(self, topic: Topic, handler: MessageHandler) -> None:
        """Keep the handler."""
        self.handlers.setdefault(topic, []).append(handler)

    def serve(self, topic: Topic, handler: CallHandler) -> None:
        """Ignore the handler; the bench makes no calls."""

    async def call(
        self, peer: HostId, topic: Topic, payload: bytes, deadline: Deadline
    ) -> bytes:
        """Raise PeerUnreachable."""
        raise PeerUnreachable(peer)

    def live_peers(self) -> Sequence[Peer]:
        """Return all others."""
        count = self.fleet.scenario.gateways - 1
        return [
            Peer(HostId(f"peer-{n}"), 1, FailureDomain("domain-a"), False)
            for n in range(count if self.fleet.scenario.sharing else 0)
        ]

    def fleet_size(self) -> int:
        """Return the number of gateways."""
        return self.fleet.scenario.gateways


class FakeClient(TargetClient):
    """Call fake targets over a network with delays."""

    def __init__(self, fleet: "Fleet", registry: TargetRegistry, domain: str):
        """Call from `domain`."""
        self.fleet = fleet
        self.registry = registry
        self.domain = domain

    async def call(self, attempt: Attempt) -> Answer:
        """Run the request at its target."""
        target = self.fleet.targets[attempt.target.id]
        delay = one_way(self.domain, target.domain)
        target.sends.append(trio.current_time())
        self.fleet.attempts += 1
        target.coming += 1
        try:
            await trio.sleep(delay)
        finally:
            target.coming -= 1
        if target.dropped:
            await trio.sleep(delay)
            self.registry.note_leaving(
                attempt.target, LeavingSign.CONNECT_REFUSED
            )
            raise self._failed(RefusalReason.CONNECT_FAILED, True)
        if target.sheds:
            await trio.sleep(delay)
            raise self._failed(RefusalReason.SHED_BY_TARGET, False)
        work = self.fleet.work(attempt.request.request_id)
        load = await target.serve(work)
        await trio.sleep(delay)
        report = LoadReport(
            in_flight=load,
            slots=target.slots,
            own_in_flight=attempt.target.in_flight,
            at=Deadline(trio.current_time()),
            source=ReportSource.ANSWER,
        )
        self.registry.note_report(attempt.target, report)
        return Answer(200, [], BytesBody(b""))

    def _failed(self, reason: RefusalReason, suspect: bool) -> AttemptFailed:
        return AttemptFailed(AttemptFailure(reason, Outcome.NOT_RUN, suspect))


class FakeProbe(ProbeClient):
    """Ask fake targets' lagging load endpoints."""

    def __init__(self, fleet: "Fleet", domain: str):
        """Ask from `domain`."""
        self.fleet = fleet
        self.domain = domain

    async def probe(
        self, target: TargetState, deadline: Deadline, max_bytes: int
    ) -> Result[ProbeAnswer, ProbeFailure]:
        """Return what the load endpoint says."""
        fake = self.fleet.targets[target.id]
        self.fleet.probes += 1
        delay = one_way(self.domain, fake.domain)
        await trio.sleep(2 * delay)
        if fake.dropped:
            return Failure(ProbeFailure.REFUSED)
        load = 0 if fake.lying else fake.lagging
        return Success(
            ProbeAnswer(load, fake.slots, ReportedState.READY, PROBE_BYTES)
        )


class Gateway:
    """One host: the product's registry, policy, admission and prober."""

    def __init__(self, fleet: "Fleet", number: int, settings: Settings):
        """Wire the parts up as a daemon does."""
        self.settings = settings
        self.metrics = Metrics()
        self.domain = settings.host.failure_domain
        self.exchange = FakeExchange(fleet, number)
        self.registry = TargetRegistry(settings, self.metrics)
        self.policy = make_policy(settings, number)
        if fleet.scenario.oracle:
            self.policy = Oracle(fleet.targets, number)
        self.admission = ServiceAdmission(
            settings,
            self.registry,
            self.policy,
            self.metrics,
            self.exchange.fleet_size,
        )
        self.prober = Prober(
            settings,
            self.registry,
            self.exchange,
            self.metrics,
            FakeProbe(fleet, self.domain),
            number,
        )
        # The run is short and its fleet is complete from the start.
        for bucket in (self.prober.probes, self.prober.probe_bytes):
            bucket.filled_at = trio.current_time()
        self.prober.sharing.bucket.filled_at = trio.current_time()
        self.client = FakeClient(fleet, self.registry, self.domain)


class Fleet:
    """All gateways and targets of one run.

    Attributes:
        attempts: Attempts sent to targets.
        probes: Probes sent to targets.
    """

    def __init__(self, scenario: Scenario, nursery: trio.Nursery):
        """Build everything; nothing runs yet."""
        self.scenario = scenario
        self.nursery = nursery
        self.attempts = 0
        self.probes = 0
        rng = random.Random(scenario.seed)
        made = [
            FakeTarget(n + 1, self._domain(n), scenario, rng.getrandbits(32))
            for n in range(scenario.targets)
        ]
        self.targets = {target.id: target for target in made}
        self.gateways = [
            Gateway(self, n, self._settings(n))
            for n in range(scenario.gateways)
        ]
        listed = [self._listed(target) for target in made]
        for gateway in self.gateways:
            gateway.registry.update(listed)

    def work(self, request: RequestId) -> float:
        """Return what a request takes on a healthy target, in seconds.

        It depends on nothing but the seed and the request, so that policies
        are compared on the same work.
        """
        rng = random.Random(f"{self.scenario.seed}-{request}")
        shift = math.log(self.scenario.service_seconds) - SPREAD**2 / 2
        return rng.lognormvariate(shift, SPREAD)

    def start(self) -> None:
        """Start targets and probers."""
        for target in self.targets.values():
            self.nursery.start_soon(target.run)
            self.nursery.start_soon(target.refresh)
        for gateway in self.gateways:
            self.nursery.start_soon(gateway.prober.run)

    def _domain(self, number: int) -> FailureDomain:
        return FailureDomain(f"domain-{number % self.scenario.domains}")

    def _settings(self, number: int) -> Settings:
        return default_settings(
            host={
                "id": f"gateway-{number}",
                "failure_domain": self._domain(number),
            },
            balance={
                "policy": self.scenario.policy.value,
                "cold_seconds": 0.5,
            },
            measure={"probes_per_second": self.scenario.probes_per_second},
        )

    def _listed(self, target: FakeTarget) -> ListedHost:
        return ListedHost(
            id=HostId(target.id),
            role=HostRole.TARGET,
            state=HostState.LIVE,
            ip=target.ip,
            port=80,
            failure_domain=target.domain,
            service=SERVICE,
        )
