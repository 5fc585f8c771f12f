"""Measure what one target, connection, link or fingerprint holds in memory."""

import contextlib
import dataclasses
import gc
import time
import tracemalloc

import trio

from agatetack.ids import Deadline, TargetId
from agatetack.lifecycle.in_flight import InFlightRequests
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange
from agatetack.quarantine.liveness import LivenessCheck
from agatetack.quarantine.local_tracker import LocalCrashTracker
from agatetack.settings.defaults import default_settings
from agatetack.targets.connection import open_connection
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import MAX_RECENT_LATENCIES, TargetState
from agatetack.testing.peer_fleet import start_fleet
from agatetack.testing.targets import listed_target, make_request, make_route
from bench.capacity.slopes import Slope, new_slope
from bench.datapath.__main__ import started
from bench.datapath.load import REQUEST, cpu_seconds

COMMAND = "python -m bench.capacity measure held"
TARGETS = 200
CONNECTIONS = 500
IN_FLIGHT = 2000
FEW_LOSSES = 200
MANY_LOSSES = 800
FLEETS = (4, 12)
LINK_SECONDS = 4.0
IDLE_SECONDS = 8.0


def traced_bytes() -> int:
    """Return the memory that is held now, by what tracemalloc counts."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


async def target_slopes() -> list[Slope]:
    """Return the memory of one target, new and with its history."""
    registry = TargetRegistry(default_settings(), Metrics())
    listed = [listed_target(number) for number in range(TARGETS)]
    before = traced_bytes()
    registry.update(listed)
    fresh = traced_bytes()
    for target in registry.by_id.values():
        target.recent.extend(n / 1e3 for n in range(MAX_RECENT_LATENCIES))
    known = traced_bytes()
    return [
        new_slope(
            "target_fresh_bytes",
            (fresh - before) / TARGETS,
            "memory of a target that was never called",
            COMMAND,
        ),
        new_slope(
            "target_bytes",
            (known - before) / TARGETS,
            f"the same with its {MAX_RECENT_LATENCIES} latest latencies",
            COMMAND,
        ),
    ]


async def target_connection_bytes(port: int) -> float:
    """Return the memory of one open connection to a target."""
    target = TargetState(
        TargetId("bench"), "bench", "127.0.0.1", port, "domain-a"
    )
    before = traced_bytes()
    held = [
        await open_connection(target, Deadline(trio.current_time() + 1))
        for _ in range(CONNECTIONS)
    ]
    size = traced_bytes() - before
    for connection in held:
        connection.close()
    return size / CONNECTIONS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    raise ValueError("the kernel tells no resident memory")


@dataclasses.dataclass(frozen=True, slots=True)
class IdleCallers:
    """What one connection without a request costs a gateway."""

    memory_bytes: float
    core: float


async def idle_callers(pid: int, port: int) -> IdleCallers:
    """Return what each caller's idle connection costs a gateway."""
    few = await open_callers(port, CONNECTIONS // 10)
    memory = resident_bytes(pid)
    core = await core_share(pid)
    many = await open_callers(port, CONNECTIONS)
    memory = resident_bytes(pid) - memory
    core = await core_share(pid) - core
    for stream in few + many:
        await stream.aclose()
    return IdleCallers(memory / CONNECTIONS, core / CONNECTIONS)


async def core_share(pid: int) -> float:
    """Return the share of a core that a process takes."""
    cpu = cpu_seconds(pid)
    await trio.sleep(IDLE_SECONDS)
    return (cpu_seconds(pid) - cpu) / IDLE_SECONDS


async def open_callers(port: int, count: int) -> list[trio.SocketStream]:
    """Return connections that have had one answer each."""
    streams = []
    for _ in range(count):
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(REQUEST)
        await stream.receive_some()
        streams.append(stream)
    return streams


def target_connection_slope() -> Slope:
    """Return the memory of a connection to a target."""
    with started("target") as target:
        size = trio.run(target_connection_bytes, target.port)
    return new_slope(
        "target_connection_bytes",
        size,
        "memory of one connection to a target, without the kernel's",
        COMMAND,
    )


def caller_slopes() -> list[Slope]:
    """Return what connections of callers cost."""
    with (
        started("target") as target,
        started("gateway", str(target.port)) as gateway,
    ):
        idle = trio.run(idle_callers, gateway.pid, gateway.port)
    return [
        new_slope(
            "caller_connection_bytes",
            idle.memory_bytes,
            "resident memory of one caller's idle connection",
            COMMAND,
        ),
        new_slope(
            "caller_connection_core",
            max(0.0, idle.core),
            "share of a core for it",
            COMMAND,
        ),
    ]


async def in_flight_bytes() -> float:
    """Return the memory of one entry of the requests being served."""
    requests = InFlightRequests()
    before = traced_bytes()
    for number in range(IN_FLIGHT):
        requests.begin(f"request-{number:028d}", None)
    return (traced_bytes() - before) / IN_FLIGHT


class NoCheck(LivenessCheck):
    """Proves nothing, so that each loss stays counted."""

    async def stayed_up(
        self, target: TargetId, lost_at: Deadline, until: Deadline
    ) -> bool:
        """Return False."""
        return False


def new_tracker() -> LocalCrashTracker:
    """Return a tracker that nothing is held against."""
    return LocalCrashTracker(
        default_settings(), NoExchange(), NoCheck(), Metrics()
    )


def lose_connections(tracker: LocalCrashTracker, count: int) -> None:
    """Have a tracker suspect `count` different requests."""
    route = make_route()
    for number in range(count):
        request = make_request()
        request.path = f"/{number}".encode()
        tracker.connection_lost(route, request, TargetId("10.0.0.1:80"))
    # What waits to be looked into is taken within `confirm_seconds`.
    with contextlib.suppress(trio.WouldBlock):
        while True:
            tracker.loss_receiver.receive_nowait()


async def fingerprint_bytes() -> float:
    """Return the memory of one suspected request."""
    tracker = new_tracker()
    before = traced_bytes()
    lose_connections(tracker, MANY_LOSSES)
    return (traced_bytes() - before) / MANY_LOSSES


async def loss_us(count: int) -> float:
    """Return the mean processor time of `count` lost connections."""
    tracker = new_tracker()
    begun = time.process_time()
    lose_connections(tracker, count)
    return (time.process_time() - begun) / count * 1e6


def loss_slopes() -> list[Slope]:
    """Return what a lost connection costs, by what is held already."""
    few = trio.run(loss_us, FEW_LOSSES)
    many = trio.run(loss_us, MANY_LOSSES)
    # The mean number held during a run is half of its losses.
    each = (many - few) / ((MANY_LOSSES - FEW_LOSSES) / 2)
    return [
        new_slope(
            "loss_us",
            few,
            f"processor time of a lost connection, {FEW_LOSSES // 2} held",
            COMMAND,
        ),
        new_slope(
            "loss_each_us",
            each,
            "of it for each suspected request that is held",
            COMMAND,
        ),
    ]


async def fleet_bytes(hosts: int) -> int:
    """Return the memory of a fleet with a link between any two hosts."""
    before = traced_bytes()
    async with trio.open_nursery() as nursery:
        names = [f"gateway-{number}" for number in range(hosts)]
        await start_fleet(nursery, names, shared_key="bench")
        await trio.sleep(LINK_SECONDS)
        size = traced_bytes() - before
        nursery.cancel_scope.cancel()
    return size


def link_slope() -> Slope:
    """Return the memory of one end of a link with a peer."""
    few, many = FLEETS
    small = trio.run(fleet_bytes, few) / few
    large = trio.run(fleet_bytes, many) / many
    return new_slope(
        "link_bytes",
        (large - small) / (many - few),
        "memory of one link with a peer, at one end",
        COMMAND,
    )


def measure() -> list[Slope]:
    """Return the slopes of what is held."""
    slopes = caller_slopes() + loss_slopes()
    tracemalloc.start()
    slopes.append(target_connection_slope())
    slopes += trio.run(target_slopes)
    slopes.append(
        new_slope(
            "in_flight_bytes",
            trio.run(in_flight_bytes),
            "memory of one entry of the requests being served",
            COMMAND,
        )
    )
    slopes.append(
        new_slope(
            "fingerprint_bytes",
            trio.run(fingerprint_bytes),
            "memory of one suspected request",
            COMMAND,
        )
    )
    slopes.append(link_slope())
    tracemalloc.stop()
    return slopes
