"""Bring up gateways, targets and the platform's stand-ins for a replay."""

import dataclasses

import trio

from agatetack.config.change import NO_VERSION, RouteChange
from agatetack.config.route import Route
from agatetack.gateway import Gateway
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import (
    ChangeId,
    Deadline,
    FailureDomain,
    HostId,
    RouteId,
    ServiceId,
    TeamId,
)
from agatetack.settings.defaults import default_settings, merge_layers
from agatetack.settings.model import Settings
from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import MemoryLog, MemoryLogService
from agatetack.testing.trace import RouteLine, TargetsLine, Trace
from agatetack.testing.virtual_clock import VirtualClock

LOOPBACK = "127.0.0.1"
DOMAIN = "domain-a"
TEAM = TeamId("replay")
READY_SECONDS = 60.0
"""Longest virtual time until all gateways have all routes."""

PAUSE_SECONDS = 0.05
SETTLE_SECONDS = 0.6
"""A little more than one heartbeat of peers."""


@dataclasses.dataclass(slots=True)
class ReplayHost:
    """One gateway of the fleet.

    Attributes:
        gateway: The gateway itself.
        log: Its client of the log.
        life: Cancelled to kill it.
        port: Where it serves callers.
        peers_port: Where it serves its peers.
    """

    gateway: Gateway
    log: MemoryLog
    life: trio.CancelScope
    port: int = 0
    peers_port: int = 0

    @property
    def alive(self) -> bool:
        """Return whether it has not been killed."""
        return not self.life.cancel_called


class ReplayFleet:
    """Everything that a trace plays on.

    Attributes:
        trace: The trace.
        settings: Settings that all hosts share.
        clock: Wall time for records.
        service: The log's records and faults.
        host_list: The platform's list.
        targets: Targets by their names in the trace.
        entries: Their entries in the list, as they were at the start.
        listed: Their entries in the list, as they are now.
        hosts: The gateways.
        started: When all gateways were ready, on trio's clock.
    """

    def __init__(self, trace: Trace, nursery: trio.Nursery):
        """Make a fleet that runs in `nursery`; `start` brings it up."""
        self.trace = trace
        self.nursery = nursery
        self.settings = default_settings(**trace.about.settings)
        self.clock = VirtualClock()
        self.service = MemoryLogService(self.clock)
        self.host_list = MemoryHostList()
        self.targets: dict[str, FakeTarget] = {}
        self.entries: dict[str, ListedHost] = {}
        self.listed: dict[str, ListedHost] = {}
        self.hosts: list[ReplayHost] = []
        self.started = 0.0

    async def start(self) -> None:
        """Start all and wait until every gateway has every route."""
        for line in self.trace.targets:
            for name in line.names:
                await self._start_target(line, name)
        self.show_list()
        for number in range(self.trace.about.gateways):
            await self._start_gateway(number + 1)
        with trio.fail_after(READY_SECONDS):
            await self._publish_routes()
        self.started = trio.current_time()

    def show_list(self) -> None:
        """Let the platform's list show targets and gateways as they are."""
        entries = list(self.listed.values())
        entries.extend(self._gateway_entry(host) for host in self.hosts)
        self.host_list.hosts = entries

    def host(self, number: int) -> ReplayHost:
        """Return a gateway by its number, from 1."""
        return self.hosts[(number - 1) % len(self.hosts)]

    def kill(self, number: int) -> None:
        """End a gateway without a word; the list shows it for ever."""
        self.host(number).life.cancel()

    def versions(self, service: str) -> set[Route | None]:
        """Return what the live gateways hold as the route of `service`."""
        tables = [
            host.gateway.routes.table for host in self.hosts if host.alive
        ]
        return {
            None if table is None else table.routes.get(RouteId(service))
            for table in tables
        }

    async def _start_target(self, line: TargetsLine, name: str) -> None:
        options = FakeTargetOptions(
            slots=line.slots,
            service_seconds=line.service_ms / 1000,
            spread=line.spread,
            seed=len(self.targets),
        )
        target = FakeTarget(self.settings, options)
        for fault, value in line.faults.items():
            set_fault(target.faults, fault, value)
        await self.nursery.start(target.serve)
        self.targets[name] = target
        self.entries[name] = ListedHost(
            HostId(target.id),
            HostRole.TARGET,
            HostState.LIVE,
            LOOPBACK,
            target.port,
            FailureDomain(DOMAIN),
            ServiceId(line.service),
        )
        self.listed[name] = self.entries[name]

    async def _start_gateway(self, number: int) -> None:
        settings = self._host_settings(number)
        seed = self.trace.about.seed + number
        log = MemoryLog(self.service, self.nursery)
        gateway = Gateway(settings, log, self.host_list, self.clock, seed)
        host = ReplayHost(gateway, log, trio.CancelScope())
        await self.nursery.start(self._run_gateway, host)
        self.hosts.append(host)
        self.show_list()

    def _host_settings(self, number: int) -> Settings:
        anywhere = {"listen": {"ip": LOOPBACK, "port": 0}}
        own = {
            "host": {"id": f"gateway-{number}", "failure_domain": DOMAIN},
            "callers": anywhere,
            "operators": anywhere,
            "peers": anywhere,
        }
        layers = merge_layers({}, self.trace.about.settings)
        return default_settings(**merge_layers(layers, own))

    async def _run_gateway(
        self, host: ReplayHost, task_status: trio.TaskStatus[None]
    ) -> None:
        with host.life:
            async with trio.open_nursery() as nursery:
                ports = await nursery.start(host.gateway.run)
                host.port = ports.callers
                host.peers_port = ports.peers
                task_status.started()

    def _gateway_entry(self, host: ReplayHost) -> ListedHost:
        name = host.gateway.settings.host.id
        return ListedHost(
            HostId(name),
            HostRole.GATEWAY,
            HostState.LIVE,
            LOOPBACK,
            host.peers_port,
            FailureDomain(DOMAIN),
            ServiceId(""),
        )

    def _is_up(self, gateway: Gateway) -> bool:
        """Return whether a gateway has its routes and knows all others.

        A host that was lost before it was ever heard is another failure than
        the traces state.
        """
        others = len(self.hosts) - 1
        return gateway.config.ready and (
            len(gateway.peers.live_peers()) >= others
        )

    async def _publish_routes(self) -> None:
        while not all(self._is_up(host.gateway) for host in self.hosts):
            await trio.sleep(PAUSE_SECONDS)
        for line in self.trace.routes:
            change = self.make_change("start-" + line.service, make_route(line))
            deadline = Deadline(trio.current_time() + READY_SECONDS)
            result = await self.hosts[0].gateway.config.apply(change, deadline)
            result.unwrap()
        while not all(map(self._has_routes, self.hosts)):
            await trio.sleep(PAUSE_SECONDS)
        # Peers and targets need a moment to become known.
        await trio.sleep(SETTLE_SECONDS)

    def make_change(self, name: str, route: Route) -> RouteChange:
        """Return a change of `route`, expecting the version it carries."""
        return RouteChange(
            ChangeId(name),
            route.id,
            route,
            route.version,
            "replay",
            self.clock.wall(),
        )

    def _has_routes(self, host: ReplayHost) -> bool:
        table = host.gateway.routes.table
        return table is not None and len(table.routes) == len(self.trace.routes)


def make_route(line: RouteLine) -> Route:
    """Return the route of `line`, not yet published."""
    return Route(
        RouteId(line.service),
        TEAM,
        ServiceId(line.service),
        line.request_class,
        line.path,
        version=NO_VERSION,
    )


def set_fault(faults: object, name: str, value: object) -> None:
    """Set one fault of a trace; text stands for bytes where those are due.

    Raises:
        AttributeError: There is no such fault.
    """
    before = getattr(faults, name)
    if isinstance(value, str) and name in ("crash_mark", "stray_bytes", "etag"):
        value = value.encode()
    elif isinstance(before, float) and isinstance(value, int):
        value = float(value)
    setattr(faults, name, value)
