"""Run gateways and fake targets in one process, for tests."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator, Mapping

import httpcore
import trio

from agatetack.config.route import RequestClass, Route, RouteTable
from agatetack.gateway import Gateway, GatewayPorts
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import FailureDomain, HostId, RouteId, ServiceId, TeamId
from agatetack.settings.defaults import default_settings
from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import MemoryLog, MemoryLogService

LOOPBACK = "127.0.0.1"
DOMAIN = FailureDomain("domain-a")
SERVICE = ServiceId("service")


@dataclasses.dataclass(slots=True)
class LocalFleet:
    """Gateways with one route each, over the same targets.

    Attributes:
        gateways: The hosts.
        ports: Where each listens.
        targets: The targets of the one service.
        hosts: The platform's list.
        http: A plain HTTP client.
    """

    gateways: list[Gateway]
    ports: list[GatewayPorts]
    targets: list[FakeTarget]
    hosts: MemoryHostList
    http: httpcore.AsyncConnectionPool

    async def get(
        self, path: str, gateway: int = 0, **headers: str
    ) -> httpcore.Response:
        """Send a GET through one of the gateways.

        Args:
            path: The path.
            gateway: Which gateway.
            **headers: Header fields; underscores stand for hyphens.
        """
        port = self.ports[gateway % len(self.ports)].callers
        fields = {name.replace("_", "-"): v for name, v in headers.items()}
        return await self.http.request(
            "GET", f"http://{LOOPBACK}:{port}{path}", headers=fields
        )

    async def wait_for_peers(self) -> None:
        """Wait until every gateway has heard of all others."""
        others = len(self.gateways) - 1
        with trio.fail_after(10):
            while any(
                len(gateway.peers.live_peers()) < others
                for gateway in self.gateways
            ):
                await trio.sleep(0.02)


@contextlib.asynccontextmanager
async def local_fleet(
    request_class: RequestClass,
    gateways: int = 1,
    targets: int = 4,
    options: FakeTargetOptions | None = None,
    **overrides: Mapping,
) -> AsyncIterator[LocalFleet]:
    """Start targets and gateways, with a route for all paths in force.

    Args:
        request_class: The class of the route.
        gateways: How many hosts.
        targets: How many targets.
        options: How the targets behave.
        **overrides: Settings laid over those of each host.
    """
    settings = default_settings()
    service = MemoryLogService()
    hosts = MemoryHostList()
    route = Route(RouteId("route"), TeamId("team"), SERVICE, request_class, "/")
    async with (
        httpcore.AsyncConnectionPool(max_connections=500) as http,
        trio.open_nursery() as nursery,
    ):
        fleet = LocalFleet([], [], [], hosts, http)
        for _ in range(targets):
            target = FakeTarget(settings, options or FakeTargetOptions())
            port = await nursery.start(target.serve)
            fleet.targets.append(target)
            hosts.hosts.append(_listed(target.id, HostRole.TARGET, port))
        for number in range(gateways):
            gateway = Gateway(
                _settings(number, overrides), MemoryLog(service, nursery), hosts
            )
            ports = await nursery.start(gateway.run)
            # Reading an empty log to its end would replace the table.
            while not gateway.config.ready:
                await trio.sleep(0.005)
            gateway.routes.table = RouteTable([route])
            fleet.gateways.append(gateway)
            fleet.ports.append(ports)
            name = gateway.settings.host.id
            hosts.hosts.append(_listed(name, HostRole.GATEWAY, ports.peers))
        yield fleet
        nursery.cancel_scope.cancel()


def _settings(number: int, overrides: Mapping):
    anywhere = {"listen": {"ip": LOOPBACK, "port": 0}}
    layers = {
        "host": {"id": f"gateway-{number}"},
        "callers": anywhere,
        "operators": anywhere,
        "peers": anywhere | {"heartbeat_seconds": 0.1},
        "platform": {
            "log": {"poll_seconds": 0.05},
            "host_list": {"poll_seconds": 0.05},
        },
    }
    for name, section in overrides.items():
        layers[name] = {**layers.get(name, {}), **section}
    return default_settings(**layers)


def _listed(name: str, role: HostRole, port: int) -> ListedHost:
    service = SERVICE if role is HostRole.TARGET else ServiceId("")
    return ListedHost(
        HostId(name), role, HostState.LIVE, LOOPBACK, port, DOMAIN, service
    )
