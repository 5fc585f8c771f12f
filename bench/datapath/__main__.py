"""Print the latency that the gateway and the relays add, and their rates.

Run as `python -m bench.datapath [RELAY ...]`; without names all relays are
measured, with `-` none. Every process is started here, by kind, and
ends with this one; all traffic is on loopback and bounded in count.
"""

import contextlib
import dataclasses
import subprocess
import sys
from collections.abc import Iterator

import trio

from bench.datapath.load import Load, LoadResult, cpu_seconds
from bench.datapath.relays import RELAYS

TARGETS = 2
PEAK_REQUESTS = 6000
PEAK_USERS = 16
RATE_SHARE = 3
"""The open loop runs at the peak rate divided by this."""

OPEN_REQUESTS = 4000
WARM_UP_REQUESTS = 500
SEED = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A started process and its port."""

    pid: int
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What was measured of one way to the target.

    Attributes:
        name: The way.
        peak: Requests a second, as fast as they go.
        cpu_us: Processor time of a request at that rate, in microseconds.
        result: Times at a third of the gateway's peak rate.
    """

    name: str
    peak: float
    cpu_us: float
    result: LoadResult


@contextlib.contextmanager
def started(kind: str, argument: str = "") -> Iterator[Server]:
    """Run a process of `bench.datapath.serve` and end it afterwards."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.datapath.serve", kind, argument],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield Server(process.pid, int(process.stdout.readline()))
    finally:
        process.stdin.close()
        process.wait(timeout=10)


def measure_peak(server: Server) -> tuple[float, float]:
    """Return requests a second and processor microseconds of each."""
    trio.run(Load(server.port).closed_loop, PEAK_USERS, WARM_UP_REQUESTS)
    before = cpu_seconds(server.pid)
    result = trio.run(Load(server.port).closed_loop, PEAK_USERS, PEAK_REQUESTS)
    used = cpu_seconds(server.pid) - before
    return result.answered / result.seconds, used / result.answered * 1e6


def measure(name: str, server: Server, rate: float | None) -> Row:
    """Measure one way; its own peak sets the rate if none is given."""
    peak, cpu_us = measure_peak(server)
    result = trio.run(
        Load(server.port).open_loop,
        rate or peak / RATE_SHARE,
        OPEN_REQUESTS,
        SEED,
    )
    return Row(name, peak, cpu_us, result)


def main(relays: list[str]) -> None:
    """Measure the gateway, the way without it and `relays`; print a table."""
    with contextlib.ExitStack() as stack:
        targets = [
            stack.enter_context(started("target")) for _ in range(TARGETS)
        ]
        ports = ",".join(str(target.port) for target in targets)
        with started("gateway", ports) as server:
            gateway = measure("agatetack", server, None)
        rate = gateway.peak / RATE_SHARE
        rows = [measure("direct", targets[0], rate), gateway]
        for relay in relays:
            with started("relay", f"{relay}:{targets[0].port}") as server:
                rows.append(measure(f"relay {relay}", server, rate))
    print_table(rows, rate)


def print_table(rows: list[Row], rate: float) -> None:
    """Print one line for each way; the first one is the baseline."""
    print(f"open loop at {rate:.0f} requests/s; times in ms")
    print(
        f"{'way':26}{'peak/s':>8}{'cpu us':>8}{'p50':>8}{'p99':>8}"
        f"{'p50 added':>11}{'p99 added':>11}{'p99 ratio':>11}{'failed':>8}"
    )
    base = rows[0].result
    for row in rows:
        p50 = row.result.quantile_ms(50)
        p99 = row.result.quantile_ms(99)
        print(
            f"{row.name:26}{row.peak:8.0f}{row.cpu_us:8.0f}{p50:8.2f}{p99:8.2f}"
            f"{p50 - base.quantile_ms(50):11.2f}"
            f"{p99 - base.quantile_ms(99):11.2f}"
            f"{p99 / base.quantile_ms(99):11.2f}{row.result.failed:8d}"
        )


if __name__ == "__main__":
    main([name for name in sys.argv[1:] or RELAYS if name != "-"])
