"""Measure the cost of configuration and the time until it is in force.

Run `python -m bench.config_state`. It prints costs of this machine together
with their ratios; only loopback memory is used. Times until in force are of
trio's mock clock, so they count waiting and not computing.
"""

import dataclasses
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable

import absl.logging
import defopt
import trio
import trio.testing

from agatetack.clock import SystemClock
from agatetack.config.change import RouteChange
from agatetack.config.fold import REMEMBERED_RECORDS, Fold
from agatetack.config.records import encode_change
from agatetack.config.route import RequestClass, Route, RouteSource, RouteTable
from agatetack.config.snapshot import (
    decode_snapshot,
    encode_snapshot,
    pack_snapshot,
)
from agatetack.config.store import ConfigStore
from agatetack.ids import (
    ChangeId,
    Deadline,
    HostId,
    LogOffset,
    RouteId,
    ServiceId,
    TeamId,
    WallTime,
)
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Topic
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.memory_log import MemoryLog, MemoryLogService

ROUTE_COUNTS = (100, 500, 1500)
SPREADS = ((14, 20), (50, 4), (200, 1))
"""Numbers of hosts, and of changes tried with each."""

MAX_PEERS = 16
PEER_STEPS = (1, 2, 3, 5, 7, 11, 17, 23)
"""With more hosts, each has these neighbours both ways on a ring."""

LARGE_FLEET = 2000
POLL_SECONDS = 4.0
IDLE_SECONDS = 10.0
LOG_SECONDS = 0.003
LINK_SECONDS = 0.0015
REPEATS = 7


def make_route(index: int, max_queue: int = 0) -> Route:
    """Return one of many routes of a realistic size."""
    return Route(
        RouteId(f"survey-profiles-{index:05d}"),
        TeamId(f"team-{index % 40:02d}"),
        ServiceId(f"profiles-{index:05d}"),
        RequestClass.FAST,
        f"/services/profiles-{index:05d}",
        max_queue=max_queue,
    )


def make_change(number: int, index: int, expected: int) -> RouteChange:
    """Return a change of one of those routes."""
    route = make_route(index, number % 1000)
    return RouteChange(
        ChangeId(f"change-{number:026d}"),
        route.id,
        route,
        LogOffset(expected),
        "ann@example.org",
        WallTime(1_700_000_000.0),
    )


def make_records(routes: int, changes: int) -> list[bytes]:
    """Return records that create routes and then change them in turn."""
    versions = [-1] * routes
    records = []
    for offset in range(changes):
        index = offset % routes
        change = make_change(offset, index, versions[index])
        records.append(encode_change(change, LogOffset(offset - 1)))
        versions[index] = offset
    return records


def fold_all(records: list[bytes]) -> Fold:
    """Return the fold of all records."""
    fold = Fold()
    for offset, record in enumerate(records):
        fold.apply(LogOffset(offset), record)
    return fold


def best_seconds(call: Callable[[], object]) -> float:
    """Return the shortest of several runs, as others use the machine too."""
    times = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        call()
        times.append(time.perf_counter() - start)
    return min(times)


def held_bytes(make: Callable[[], object]) -> int:
    """Return the memory that what `make` returns holds."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def print_costs() -> None:
    """Print costs of the fold, table and snapshots by number of routes."""
    print(
        "routes  fold us/record  delta us  rebuild us  ratio"
        "  snapshot bytes  encode ms  pack ms  decode ms  memory B/route"
    )
    for routes in ROUTE_COUNTS:
        print_costs_of(routes)
    decisions = held_bytes(lambda: fold_all(make_records(1, 4096)))
    print(f"memory of 4096 remembered changes: {decisions} B")
    print(f"one record: {len(make_records(1, 2)[1])} B")


def print_costs_of(routes: int) -> None:
    """Print one line of that table."""
    records = make_records(routes, REMEMBERED_RECORDS + routes)
    fold_seconds = best_seconds(lambda: fold_all(records)) / len(records)
    fold = fold_all(records)
    table = RouteTable(fold.routes())
    route = dataclasses.replace(make_route(routes // 2), max_queue=7)
    delta = best_seconds(lambda: table.with_route(route.id, route))
    rebuild = best_seconds(lambda: RouteTable(fold.routes()))
    content = trio.run(encode_snapshot, fold)
    encode = best_seconds(lambda: trio.run(encode_snapshot, fold))
    pack = best_seconds(lambda: pack_snapshot(fold))
    decode = best_seconds(lambda: trio.run(decode_snapshot, content))
    print(
        f"{routes:6}  {fold_seconds * 1e6:14.1f}  {delta * 1e6:8.1f}"
        f"  {rebuild * 1e6:10.1f}  {rebuild / delta:5.1f}"
        f"  {len(content):14}  {encode * 1e3:9.2f}"
        f"  {pack * 1e3:7.2f}  {decode * 1e3:9.2f}"
        f"  {memory_per_route(routes):14.0f}"
    )


def memory_per_route(routes: int) -> float:
    """Return the memory of one route in the fold and the table, in bytes."""

    def build(count: int) -> tuple[Fold, RouteTable]:
        fold = fold_all(make_records(count, count))
        fold.decisions.clear()
        return fold, RouteTable(fold.routes())

    return held_bytes(lambda: build(routes)) / routes


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """One way in which a change has to reach every host.

    Attributes:
        name: Shown in the table.
        cut: Whether the log goes out right after the acceptance.
        lost: Whether the peers lose the record that is passed on to them.
        turns: Whether hosts read the log in turns, as in a fleet of 2,000.
    """

    name: str
    cut: bool = False
    lost: bool = False
    turns: bool = False


TRIALS = (
    Trial("log up"),
    Trial("log cut", cut=True),
    Trial("log cut, record lost", cut=True, lost=True),
    Trial("log up, read in turns", turns=True),
)


@dataclasses.dataclass(slots=True)
class Spread:
    """What spreading some changes took.

    Attributes:
        times: Seconds until each change was on every host.
        longest_answer: Longest time until the operator was answered.
        idle_bytes: Payload sent by one host in one second without changes.
        change_bytes: Payload sent by one host for one change.
        idle_cpu: Share of a core that one host takes without changes.
    """

    times: list[float] = dataclasses.field(default_factory=list)
    longest_answer: float = 0.0
    idle_bytes: float = 0.0
    change_bytes: float = 0.0
    idle_cpu: float = 0.0


class SpreadBench:
    """A number of hosts over one log, each with at most 16 peers."""

    def __init__(self, hosts: int, trial: Trial, nursery: trio.Nursery):
        """Make the hosts; nothing runs yet."""
        self.trial = trial
        self.longest_answer = 0.0
        self.service = MemoryLogService()
        self.service.faults.delay_seconds = LOG_SECONDS
        self.mesh = MemoryMesh(nursery)
        self.mesh.delay_seconds = LINK_SECONDS
        self.stores = [
            ConfigStore(
                default_settings(host={"id": f"host-{index}"}),
                MemoryLog(self.service, nursery),
                self.mesh.join(HostId(f"host-{index}")),
                RouteSource(),
                Metrics(),
                SystemClock(),
            )
            for index in range(hosts)
        ]
        self.mesh.size = LARGE_FLEET if trial.turns else 0
        self._cut_links()

    def _cut_links(self) -> None:
        hosts = len(self.stores)
        names = list(self.mesh.hosts)
        for at, name in enumerate(names):
            for other in range(hosts):
                steps = min((at - other) % hosts, (other - at) % hosts)
                if hosts > MAX_PEERS + 1 and steps not in PEER_STEPS:
                    self.mesh.cut.add((name, names[other]))

    async def run(self, changes: int) -> Spread:
        """Accept changes one after the other and measure."""
        spread = Spread()
        await trio.sleep(5)
        sent, cpu = self._sent(), time.process_time()
        await trio.sleep(IDLE_SECONDS)
        unit = IDLE_SECONDS * len(self.stores)
        spread.idle_cpu = (time.process_time() - cpu) / unit
        spread.idle_bytes = (self._sent() - sent) / unit
        for number in range(changes):
            sent, start = self._sent(), trio.current_time()
            spread.times.append(await self._change(number))
            seconds = trio.current_time() - start
            used = (self._sent() - sent) / len(self.stores)
            used -= seconds * spread.idle_bytes
            spread.change_bytes += max(used, 0.0) / changes
        spread.longest_answer = self.longest_answer
        return spread

    async def _change(self, number: int) -> float:
        writer = self.stores[number % len(self.stores)]
        if self.trial.cut:
            for store in self.stores:
                store.log.faults.outage = store is not writer
            # Reads that wait for a record began before the outage.
            await trio.sleep(POLL_SECONDS)
        if self.trial.lost:
            self.mesh.lost_topics.add(Topic.CONFIG_RECORDS)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._apply, writer, number)
            while writer.version() < number:
                await trio.sleep(0.0001)
            writer.log.faults.outage = self.trial.cut
            while any(store.version() < number for store in self.stores):
                await trio.sleep(0.001)
            elapsed = trio.current_time() - start
        answered = trio.current_time() - start
        self.longest_answer = max(self.longest_answer, answered)
        for store in self.stores:
            store.log.faults.outage = False
        self.mesh.lost_topics.clear()
        await trio.sleep(5)
        return elapsed

    async def _apply(self, writer: ConfigStore, number: int) -> None:
        deadline = Deadline(trio.current_time() + 5)
        change = make_change(number, number, -1)
        result = await writer.apply(change, deadline)
        assert result.unwrap().version == number

    def _sent(self) -> int:
        return sum(end.sent_bytes for end in self.mesh.hosts.values())


async def measure_spread(hosts: int, trial: Trial, changes: int) -> Spread:
    """Return what it takes to spread some changes over `hosts`."""
    async with trio.open_nursery() as nursery:
        bench = SpreadBench(hosts, trial, nursery)
        for store in bench.stores:
            await nursery.start(store.run)
        spread = await bench.run(changes)
        nursery.cancel_scope.cancel()
    return spread


def print_spread(sizes: list[int]) -> None:
    """Print the time until a change is on every host, and its cost."""
    print(
        "\nhosts  until in force: median s  max s  ratio"
        "  longest answer s"
        "  idle B/s/host  B/change/host  idle core share"
    )
    baseline = None
    for hosts, changes in SPREADS:
        if hosts not in sizes:
            continue
        for trial in TRIALS:
            clock = trio.testing.MockClock(autojump_threshold=0)
            spread = trio.run(
                measure_spread, hosts, trial, changes, clock=clock
            )
            median = statistics.median(spread.times)
            baseline = baseline or median
            print(
                f"{hosts:5}  {trial.name:22} {median:.3f}"
                f"  {max(spread.times):.3f}  {median / baseline:5.1f}"
                f"  {spread.longest_answer:16.3f}"
                f"  {spread.idle_bytes:13.0f}  {spread.change_bytes:13.0f}"
                f"  {spread.idle_cpu:15.4f}"
            )


def main(*, hosts: list[int] | None = None) -> None:
    """Print costs, and times until in force.

    Args:
        hosts: Sizes of the fleets that changes spread over; all if None.
    """
    absl.logging.set_verbosity(absl.logging.FATAL)
    print_costs()
    print_spread(hosts or [size for size, _ in SPREADS])


if __name__ == "__main__":
    defopt.run(main)
