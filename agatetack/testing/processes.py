"""Start gateways and stand-ins as processes of their own, for tests."""

import contextlib
import pathlib
import re
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator, Sequence

import ruamel.yaml
import trio

from agatetack.config.route import RequestClass, Route
from agatetack.daemon import HostPorts
from agatetack.ids import ChangeId, RouteId, ServiceId, TeamId
from agatetack.operators.calls import CallName
from agatetack.operators.client import OperatorsClient
from agatetack.operators.requests import (
    ApplyRouteRequest,
    GetStatusRequest,
    ListHostsRequest,
    ListRoutesRequest,
)
from agatetack.operators.tokens import NewToken, make_token
from agatetack.testing.stand_ins import Command, Gateway, Ports, Reply

PORTS_LINE = re.compile(
    r"callers on port (\d+), operators on (\d+), peers on (\d+)"
)
CLASSES = {
    "profiles": RequestClass.FAST,
    "payouts": RequestClass.ONCE,
    "export": RequestClass.WHOLE,
    "archive": RequestClass.DEFERRED,
}
"""The class of each service's route."""

END_SECONDS = 20
"""Longest time that a process may take to end."""

READY_SECONDS = 20
"""Longest time until all gateways are ready."""

IN_FORCE_SECONDS = 5
"""Longest time until a route is in force on all gateways."""

PAUSE_SECONDS = 0.05


class StandInProcess:
    """The platform and the targets.

    Attributes:
        ports: Where they listen.
    """

    def __init__(self, services: Sequence[str], seconds: float, count: int):
        """Start `count` targets for each service."""
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "agatetack.testing.stand_ins",
                str(seconds),
                str(count),
                *services,
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.ports = Ports.model_validate_json(self.process.stdout.readline())

    def command(self, **fields: object) -> Reply:
        """Carry out one command; see `Command`."""
        line = Command(**fields).model_dump_json()
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()
        return Reply.model_validate_json(self.process.stdout.readline())

    def close(self) -> None:
        """End the process."""
        self.process.stdin.close()
        self.process.wait(END_SECONDS)


class GatewayProcess:
    """One daemon.

    Attributes:
        name: Its host id.
        ports: Where it listens.
    """

    def __init__(self, name: str, settings: pathlib.Path):
        """Start `agatetack gateway` with a settings file."""
        self.name = name
        self.errors = settings.with_suffix(".log")
        with self.errors.open("w") as errors:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "agatetack",
                    "gateway",
                    "-c",
                    str(settings),
                ],
                stderr=errors,
            )
        self.ports = self._read_ports()

    def _read_ports(self) -> HostPorts:
        while self.process.poll() is None:
            match = PORTS_LINE.search(self.errors.read_text())
            if match:
                callers, operators, peers = map(int, match.groups())
                return HostPorts(callers, peers, operators)
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(0.05)
        raise RuntimeError(self.errors.read_text())

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    def wait(self) -> int:
        """Return the exit status once the process has ended."""
        return self.process.wait(END_SECONDS)

    def close(self) -> None:
        """End the process, whatever it does."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """Stand-ins and gateways.

    Attributes:
        stand_ins: The platform and the targets.
        gateways: The daemons, in the order of their start.
        token: The operators' token.
    """

    def __init__(self, folder: pathlib.Path, stand_ins: StandInProcess):
        """Write settings files into `folder`."""
        self.folder = folder
        self.stand_ins = stand_ins
        self.gateways: list[GatewayProcess] = []
        self.token: NewToken = make_token("tester", TeamId("team"))

    def add_gateway(self, **overrides: dict) -> GatewayProcess:
        """Start one more gateway, with `overrides` over its settings."""
        name = f"gateway-{len(self.gateways) + 1}"
        path = self.folder / f"{name}.yaml"
        with path.open("w") as file:
            ruamel.yaml.YAML(typ="safe").dump(
                self._settings(name) | overrides, file
            )
        gateway = GatewayProcess(name, path)
        self.gateways.append(gateway)
        self.list_gateways()
        return gateway

    def client(self, gateway: GatewayProcess) -> OperatorsClient:
        """Return a client of one gateway's administration API."""
        address = f"http://127.0.0.1:{gateway.ports.operators}"
        return OperatorsClient(address, self.token.secret)

    def list_gateways(self) -> None:
        """List the gateways that are still running."""
        listed = [
            Gateway(id=each.name, port=each.ports.peers)
            for each in self.gateways
            if each.process.poll() is None
        ]
        self.stand_ins.command(gateways=listed)

    def _settings(self, name: str) -> dict:
        endpoint = {"ip": "127.0.0.1", "port": self.stand_ins.ports.platform}
        anywhere = {"listen": {"ip": "127.0.0.1", "port": 0}}
        token = self.token.entry.as_map()
        return {
            "host": {"id": name},
            "callers": anywhere,
            "operators": anywhere | {"tokens": [token]},
            "peers": anywhere,
            "platform": {
                "log": {"endpoint": endpoint},
                "host_list": {"endpoint": endpoint, "poll_seconds": 0.2},
            },
            "lifecycle": {"notice_seconds": 0.2, "drain_seconds": 10},
        }


@contextlib.contextmanager
def running_fleet(
    folder: pathlib.Path,
    services: Sequence[str],
    seconds: float = 0.002,
    targets: int = 2,
) -> Iterator[Fleet]:
    """Start stand-ins; end every process afterwards."""
    fleet = Fleet(folder, StandInProcess(services, seconds, targets))
    try:
        yield fleet
    finally:
        for gateway in fleet.gateways:
            gateway.close()
        fleet.stand_ins.close()


async def when_ready(fleet: Fleet) -> None:
    """Wait until every gateway is ready and has heard of all others."""

    async def is_ready(client: OperatorsClient) -> bool:
        status = await client.call(CallName.GET_STATUS, GetStatusRequest())
        hosts = await client.call(CallName.LIST_HOSTS, ListHostsRequest())
        live = sum(host.live for host in hosts.hosts)
        return (
            status.ready
            and status.log_reachable
            and live == len(fleet.gateways)
        )

    await _wait_for_each(fleet, is_ready, READY_SECONDS)


async def publish(fleet: Fleet, names: Sequence[str]) -> None:
    """Publish a route for each service and wait for every gateway.

    Args:
        fleet: The gateways.
        names: Services of `CLASSES`.
    """
    async with fleet.client(fleet.gateways[0]) as client:
        for name in names:
            route = Route(
                RouteId(name),
                TeamId("team"),
                ServiceId(name),
                CLASSES[name],
                f"/{name}",
            )
            await client.call(
                CallName.APPLY_ROUTE,
                ApplyRouteRequest(route, ChangeId(f"c-{name}")),
            )

    async def has_all(client: OperatorsClient) -> bool:
        page = await client.call(CallName.LIST_ROUTES, ListRoutesRequest())
        return len(page.routes) == len(names)

    await _wait_for_each(fleet, has_all, IN_FORCE_SECONDS)


async def _wait_for_each(
    fleet: Fleet,
    is_done: Callable[[OperatorsClient], Awaitable[bool]],
    seconds: float,
) -> None:
    with trio.fail_after(seconds):
        for gateway in fleet.gateways:
            async with fleet.client(gateway) as client:
                while not await is_done(client):
                    await trio.sleep(PAUSE_SECONDS)
