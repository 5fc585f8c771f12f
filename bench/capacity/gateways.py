"""Measure what gateways spend while no caller calls them.

Each gateway is a process of its own; the platform and a few targets are
stand-ins in one more. All traffic with the platform passes through a relay in
this process, which counts its bytes.
"""

import dataclasses
import pathlib
import re
import statistics
import tempfile
import time
import urllib.request

import trio

from agatetack.testing.processes import Fleet, GatewayProcess, running_fleet
from bench.capacity.held import resident_bytes
from bench.capacity.slopes import Slope, new_slope
from bench.datapath.load import cpu_seconds

COMMAND = "python -m bench.capacity measure gateways"
SIZES = (2, 14)
SERVICES = ("profiles", "payouts", "exports", "archive")
TARGETS = 8
"""Targets of each service, as today."""

SETTLE_SECONDS = 12.0
SECONDS = 20.0
SCRAPES = 20
PEER_BYTES = re.compile(
    r'^agatetack_peer_bytes_total\{direction="sent[^"]*"\} (\S+)', re.MULTILINE
)


class Relay:
    """Passes connections on to one port and counts their bytes.

    Attributes:
        port: Where it listens.
        passed: Bytes passed on, both ways.
    """

    def __init__(self, to_port: int):
        """Relay to `to_port` on this computer."""
        self.to_port = to_port
        self.port = 0
        self.passed = 0

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Relay until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        try:
            far = await trio.open_tcp_stream("127.0.0.1", self.to_port)
            async with near, far, trio.open_nursery() as nursery:
                nursery.start_soon(self._pass_on, near, far)
                nursery.start_soon(self._pass_on, far, near)
        except* (trio.BrokenResourceError, OSError):
            # The other end learns of it by its own connection's end.
            pass

    async def _pass_on(
        self, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        async for data in source:
            self.passed += len(data)
            await sink.send_all(data)
        await sink.send_eof()


@dataclasses.dataclass(frozen=True, slots=True)
class Idle:
    """What one gateway spent in one second, or holds; means of all.

    Attributes:
        core: Share of a core.
        platform_bytes: Bytes exchanged with the platform, both ways.
        peer_bytes: Bytes sent to peers.
        resident: Resident memory, in bytes.
        scrape_us: Processor time of one GET of /metrics.
        scrape_bytes: Length of its answer.
    """

    core: float
    platform_bytes: float
    peer_bytes: float
    resident: float
    scrape_us: float
    scrape_bytes: float


def scrape(gateway: GatewayProcess) -> bytes:
    """Return the metrics of a gateway."""
    url = f"http://127.0.0.1:{gateway.ports.operators}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        return answer.read()


def peer_bytes(gateway: GatewayProcess) -> float:
    """Return the bytes that a gateway has sent to its peers."""
    found = PEER_BYTES.findall(scrape(gateway).decode())
    return sum(map(float, found))


def cpu_total(gateways: list[GatewayProcess]) -> float:
    """Return the processor seconds that gateways have used."""
    return sum(cpu_seconds(each.process.pid) for each in gateways)


async def watch_fleet(fleet: Fleet, relay: Relay) -> Idle:
    """Return what the fleet's gateways spend when left alone."""
    gateways = fleet.gateways
    await trio.sleep(SETTLE_SECONDS)
    sent = sum(map(peer_bytes, gateways))
    await trio.sleep(1)
    passed, cpu = relay.passed, cpu_total(gateways)
    begun = time.perf_counter()
    await trio.sleep(SECONDS)
    span = (time.perf_counter() - begun) * len(gateways)
    cpu = cpu_total(gateways) - cpu
    passed = relay.passed - passed
    resident = [resident_bytes(each.process.pid) for each in gateways]
    # The second of pause before is part of this difference.
    sent = sum(map(peer_bytes, gateways)) - sent
    sent_span = span + len(gateways)
    before = cpu_seconds(gateways[0].process.pid)
    pages = [scrape(gateways[0]) for _ in range(SCRAPES)]
    scraped = cpu_seconds(gateways[0].process.pid) - before
    return Idle(
        core=cpu / span,
        platform_bytes=passed / span,
        peer_bytes=sent / sent_span,
        resident=statistics.mean(resident),
        scrape_us=scraped / SCRAPES * 1e6,
        scrape_bytes=len(pages[-1]),
    )


async def measure_fleet(size: int) -> Idle:
    """Return what each of `size` gateways spends without calls."""
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(pathlib.Path(folder), SERVICES, targets=TARGETS) as fleet,
    ):
        relay = Relay(fleet.stand_ins.ports.platform)
        async with trio.open_nursery() as nursery:
            await nursery.start(relay.run)
            endpoint = {"ip": "127.0.0.1", "port": relay.port}
            for _ in range(size):
                # The daemon tells its ports only while the relay runs.
                await trio.to_thread.run_sync(
                    lambda: fleet.add_gateway(
                        platform={
                            "log": {"endpoint": endpoint},
                            "host_list": {"endpoint": endpoint},
                        }
                    )
                )
            idle = await watch_fleet(fleet, relay)
            nursery.cancel_scope.cancel()
    return idle


def slopes_of(size: int, idle: Idle) -> list[Slope]:
    """Return the slopes of one fleet."""
    end = f"each of {size} gateways without calls"
    figures = (
        ("core", idle.core, f"share of a core, {end}"),
        (
            "platform_bytes",
            idle.platform_bytes,
            f"bytes a second with the platform, both ways, {end}",
        ),
        (
            "peer_bytes",
            idle.peer_bytes,
            f"bytes a second sent to peers, {end}",
        ),
        ("resident_bytes", idle.resident, f"resident memory, {end}"),
    )
    return [
        new_slope(f"idle_{size}_{name}", value, says, COMMAND)
        for name, value, says in figures
    ]


def measure() -> list[Slope]:
    """Return the slopes of control."""
    slopes = []
    for size in SIZES:
        idle = trio.run(measure_fleet, size)
        slopes += slopes_of(size, idle)
    slopes += [
        new_slope(
            "scrape_us",
            idle.scrape_us,
            f"processor time of one GET of /metrics, {len(SERVICES)} services",
            COMMAND,
        ),
        new_slope(
            "scrape_bytes",
            idle.scrape_bytes,
            f"length of that page, {len(SERVICES)} services",
            COMMAND,
        ),
    ]
    return slopes
