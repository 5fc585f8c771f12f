"""Measure the tail through whole gateways, by policy and with hedges.

Run as `python -m bench.tail [LOAD ...]`. Four gateways and the stand-ins run as
processes; twelve targets of two slots, noisy neighbours that take slots for 10
to 80 ms, one target ten times slower. Each way gets the same seeded arrivals.
"""

import dataclasses
import pathlib
import random
import sys
import tempfile

import httpcore
import trio

from agatetack.testing.processes import (
    Fleet,
    publish,
    running_fleet,
    when_ready,
)
from bench.datapath.load import Load, LoadResult

SERVICE = "profiles"
TARGETS = 12
SLOTS = 2
GATEWAYS = 4
SERVICE_SECONDS = 0.02
NOISE_SHARE = 0.15
SECONDS = 10.0
WARM_UP_SECONDS = 3.0
SEED = 3
DEFAULT_LOADS = (0.5, 0.7, 0.85)


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """One way to run the gateways."""

    name: str
    balance: dict
    attempts: dict
    measure: dict


NO_HEDGES = {"hedge_ratio": 0, "hedge_burst": 1, "hedge_quantile": 0.999}
NO_PROBES = {"probes_per_second": 0}
WAYS = (
    Way("power-of-two", {"policy": "power-of-two"}, NO_HEDGES, {}),
    Way("least-in-flight", {"policy": "least-in-flight"}, NO_HEDGES, {}),
    Way("expected-wait", {"policy": "expected-wait"}, NO_HEDGES, {}),
    Way("  and hedges", {"policy": "expected-wait"}, {}, {}),
    Way("  without probes", {"policy": "expected-wait"}, {}, NO_PROBES),
)


class SpreadLoad(Load):
    """A load over several ports, chosen at random for each request."""

    def __init__(self, ports: list[int]):
        """Load `ports`."""
        super().__init__(ports[0])
        self.loads = [Load(port) for port in ports]
        for load in self.loads:
            load.result = self.result
        self.rng = random.Random(SEED)

    async def _one(self, released: float) -> None:
        await self.rng.choice(self.loads)._one(released)


def capacity() -> float:
    """Return how many requests a second the targets can run."""
    return TARGETS * SLOTS / SERVICE_SECONDS


async def drive(fleet: Fleet, load: float) -> LoadResult:
    """Return the times at one load, after a warm-up."""
    await when_ready(fleet)
    await publish(fleet, [SERVICE])
    ports = [gateway.ports.callers for gateway in fleet.gateways]
    rate = load * capacity()
    await SpreadLoad(ports).open_loop(rate / 2, int(rate / 2), SEED)
    fleet.stand_ins.command(noise=min(NOISE_SHARE, 1 - load))
    fleet.stand_ins.command(slow=fleet.stand_ins.ports.targets[SERVICE][0])
    warm = SpreadLoad(ports)
    await warm.open_loop(rate, int(rate * WARM_UP_SECONDS), SEED + 1)
    measured = SpreadLoad(ports)
    return await measured.open_loop(rate, int(rate * SECONDS), SEED + 2)


async def counters(fleet: Fleet) -> tuple[float, float]:
    """Return attempts a request, and probes a request."""
    attempts = requests = probes = 0.0
    async with httpcore.AsyncConnectionPool() as http:
        for gateway in fleet.gateways:
            url = f"http://127.0.0.1:{gateway.ports.operators}/metrics"
            text = (await http.request("GET", url)).content.decode()
            attempts += _sum(text, "agatetack_attempts_total{")
            requests += _sum(text, "agatetack_requests_total{")
            probes += _sum(text, 'agatetack_measure_spent_total{unit="probes"}')
    return attempts / requests, probes / requests


def _sum(text: str, start: str) -> float:
    lines = [line for line in text.splitlines() if line.startswith(start)]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


def main(loads: list[float]) -> None:
    """Print a table; the first way of each load is the baseline."""
    print(
        f"{'load':>5} {'way':20}{'p50 ms':>8}{'p99 ms':>8}{'p99.9':>8}"
        f"{'p99 ratio':>10}{'refused':>9}{'attempts':>9}{'probes':>8}"
    )
    for load in loads:
        base = 0.0
        for way in WAYS:
            with tempfile.TemporaryDirectory() as folder:
                base = run_way(pathlib.Path(folder), load, way, base)


def run_way(folder: pathlib.Path, load: float, way: Way, base: float) -> float:
    """Print one line, and return the p99 that ratios are taken to."""
    with running_fleet(folder, [SERVICE], SERVICE_SECONDS, TARGETS) as fleet:
        for _ in range(GATEWAYS):
            fleet.add_gateway(
                balance=way.balance, attempts=way.attempts, measure=way.measure
            )
        result = trio.run(drive, fleet, load)
        attempts, probes = trio.run(counters, fleet)
    p99 = result.quantile_ms(99)
    base = base or p99
    total = result.answered + result.failed
    print(
        f"{load:5.2f} {way.name:20}{result.quantile_ms(50):8.1f}{p99:8.1f}"
        f"{result.quantile_ms(99.9):8.1f}{p99 / base:10.2f}"
        f"{result.failed / total:9.4f}{attempts:9.3f}{probes:8.3f}",
        flush=True,
    )
    return base


if __name__ == "__main__":
    main([float(text) for text in sys.argv[1:]] or list(DEFAULT_LOADS))
