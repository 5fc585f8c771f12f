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
HOSTS = 14
TRIALS = 20
POLL_SECONDS = 2.0
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
    delta = best_seconds(lambda: table.replaced(route.id, route))
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
    """

    name: str
    cut: bool = False
    lost: bool = False


TRIALS_TABLE = (
    Trial("log up"),
    Trial("log cut", cut=True),
    Trial("log cut, record lost", cut=True, lost=True),
)


async def measure_in_force(trial: Trial) -> list[float]:
    """Return for each change the seconds until it is on every host."""
    times = []
    async with trio.open_nursery() as nursery:
        service = MemoryLogService()
        mesh = MemoryMesh(nursery)
        mesh.delay_seconds = 0.0015
        service.faults.delay_seconds = 0.003
        stores = [
            make_store(f"host-{index}", service, mesh, nursery)
            for index in range(HOSTS)
        ]
        for store in stores:
            await nursery.start(store.run)
        await trio.sleep(5)
        for number in range(TRIALS):
            times.append(await change_once(trial, number, service, stores))
        nursery.cancel_scope.cancel()
    return times


def make_store(
    name: str,
    service: MemoryLogService,
    mesh: MemoryMesh,
    nursery: trio.Nursery,
) -> ConfigStore:
    """Return one host's store."""
    return ConfigStore(
        default_settings(host={"id": name}),
        MemoryLog(service, nursery),
        mesh.join(HostId(name)),
        RouteSource(),
        Metrics(),
        SystemClock(),
    )


async def change_once(
    trial: Trial,
    number: int,
    service: MemoryLogService,
    stores: list[ConfigStore],
) -> float:
    """Accept one change and return the time until it is in force."""
    mesh = stores[0].sharing.exchange.mesh
    writer = stores[number % HOSTS]
    if trial.cut:
        for store in stores:
            store.log.faults.outage = store is not writer
        # Reads that wait for a record began before the outage.
        await trio.sleep(POLL_SECONDS)
    if trial.lost:
        mesh.lost_topics.add(Topic.CONFIG_RECORDS)
    start = trio.current_time()
    change = make_change(number, number, -1)
    result = await writer.apply(change, start + 5)
    accepted = result.unwrap().version
    writer.log.faults.outage = trial.cut
    while any(store.version() < accepted for store in stores):
        await trio.sleep(0.001)
    elapsed = trio.current_time() - start
    for store in stores:
        store.log.faults.outage = False
    mesh.lost_topics.clear()
    await trio.sleep(5)
    return elapsed


def print_times() -> None:
    """Print the times until a change is in force on every host."""
    print(f"\nuntil in force on {HOSTS} hosts, seconds ({TRIALS} changes)")
    baseline = None
    for trial in TRIALS_TABLE:
        clock = trio.testing.MockClock(autojump_threshold=0)
        times = trio.run(measure_in_force, trial, clock=clock)
        median = statistics.median(times)
        baseline = baseline or median
        print(
            f"{trial.name:22} median {median:.3f}  max {max(times):.3f}"
            f"  ratio {median / baseline:.1f}"
        )


if __name__ == "__main__":
    absl.logging.set_verbosity(absl.logging.FATAL)
    print_costs()
    print_times()
