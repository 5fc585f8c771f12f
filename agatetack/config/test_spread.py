"""Test that every host gets the newest configuration from any source."""

import pytest
import trio
from returns.result import Success

from agatetack.clock import SystemClock
from agatetack.config.change import Accepted
from agatetack.config.counters import Problem
from agatetack.config.fold import Fold
from agatetack.config.records import (
    CONFIG_STREAM,
    encode,
    encode_change,
)
from agatetack.config.route import RouteSource
from agatetack.config.state import Source
from agatetack.config.store import ConfigStore
from agatetack.generated.config import ttypes as wire
from agatetack.ids import HostId
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Topic
from agatetack.settings.defaults import default_settings
from agatetack.testing.config_fleet import (
    IN_FORCE_SECONDS,
    Fleet,
    apply,
    make_change,
    open_fleet,
)
from agatetack.testing.memory_log import (
    AppendFault,
    MemoryLog,
    MemoryLogService,
)
from agatetack.testing.peer_fleet import StaticDirectory, listed, new_exchange

ROUTES = 12
LARGE_ROUTES = 2000
FAST_LOG = {"poll_seconds": 0.1}
PEER_BYTES_PER_SECOND = 18_000
"""The part of the default byte budget for peers that is left for replies."""

FULL = None
LINE = ["host-0", "host-1", "host-2", "host-3"]

SPREADS = [
    (set(), FULL),
    ({Topic.CONFIG_RECORDS}, FULL),
    ({Topic.CONFIG_OFFSET}, FULL),
    (set(), LINE),
    ({Topic.CONFIG_RECORDS}, LINE),
]


def cut_to_line(fleet: Fleet, line: list[str] | None) -> None:
    """Leave only the links between neighbours in `line`."""
    for name in line or ():
        for other in line:
            if abs(line.index(name) - line.index(other)) > 1:
                fleet.mesh.cut.add((HostId(name), HostId(other)))


@pytest.mark.parametrize(("lost", "line"), SPREADS)
async def test_in_force_though_the_log_goes_out(lost, line, autojump_clock):
    async with open_fleet(4) as fleet:
        for name in LINE[1:]:
            fleet.hosts[name].log.faults.outage = True
        await trio.sleep(IN_FORCE_SECONDS)
        cut_to_line(fleet, line)
        fleet.mesh.lost_topics |= lost
        result = await apply(fleet.hosts["host-0"], make_change("one"))
        assert result == Success(Accepted(0))
        fleet.service.faults.outage = True
        await trio.sleep(IN_FORCE_SECONDS)
        fleet.assert_agreed()
        assert fleet.hosts["host-3"].version() == 0


BOOTSTRAPS = [
    # Log unavailable, records kept, snapshot written, peers running; version.
    (False, True, False, True, ROUTES - 1),
    (False, True, False, False, ROUTES - 1),
    (False, False, True, True, ROUTES - 1),
    (False, False, True, False, ROUTES - 1),
    (False, False, False, True, ROUTES - 1),
    (False, False, False, False, -1),
    (True, True, True, True, ROUTES - 1),
    (True, True, True, False, -1),
]


@pytest.mark.parametrize("kept_records", [3, 100])
@pytest.mark.parametrize("max_record_bytes", [400, 100_000])
@pytest.mark.parametrize(
    ("out", "kept", "snapshot", "peers", "version"), BOOTSTRAPS
)
async def test_new_host_starts(
    out,
    kept,
    snapshot,
    peers,
    version,
    kept_records,
    max_record_bytes,
    autojump_clock,
):
    config = {
        "kept_records": kept_records,
        "snapshot_records": 1,
        "snapshot_stagger_seconds": 1 if snapshot else 3600,
    }
    log = {"max_record_bytes": max_record_bytes}
    async with open_fleet(2, config=config, platform={"log": log}) as fleet:
        await fill(fleet)
        if not kept:
            fleet.service.truncate(CONFIG_STREAM, ROUTES)
        fleet.service.faults.outage = out
        if not peers:
            fleet.stop("host-0")
            fleet.stop("host-1")
        host = await fleet.start("new")
        await trio.sleep(IN_FORCE_SECONDS)
        assert host.version() == version
        if version >= 0:
            fleet.assert_agreed()
        else:
            assert not host.ready
            assert host.state.source.table is None


async def fill(fleet: Fleet) -> None:
    """Accept one change for each of some routes."""
    for number in range(ROUTES):
        host = fleet.hosts[f"host-{number % 2}"]
        change = make_change(f"c{number}", f"route-{number}")
        assert await apply(host, change) == Success(Accepted(number))
    await trio.sleep(IN_FORCE_SECONDS)


async def advance_log_time(
    fleet: Fleet, seconds: float, kept_seconds: float
) -> None:
    """Advance the time of a log that keeps records for `kept_seconds`."""
    service = fleet.service
    for _ in range(round(seconds)):
        service.clock.wall_time += 1
        oldest = service.clock.wall_time - kept_seconds
        for stream, records in list(service.streams.items()):
            young = [r.offset for r in records if r.appended_at >= oldest]
            first = min(young, default=service.ends[stream])
            service.truncate(stream, first)
        await trio.sleep(1)


SNAPSHOT_FAULTS = [
    [],
    [AppendFault.REPLY_LOST] * 9,
    [AppendFault.TOO_FAST, AppendFault.REQUEST_LOST] * 9,
    [AppendFault.LANDS_LATE] * 9,
    [AppendFault.UNAVAILABLE] * 3,
]


@pytest.mark.parametrize("faults", SNAPSHOT_FAULTS)
async def test_snapshots_outlive_the_retention(faults, autojump_clock):
    log = {"retention_seconds": 20, "max_record_bytes": 400}
    async with open_fleet(3, platform={"log": log}) as fleet:
        await fill(fleet)
        await advance_log_time(fleet, 30, 20)
        fleet.service.faults.next_appends = list(faults)
        before = snapshots_written(fleet)
        await advance_log_time(fleet, 100, 20)
        written = snapshots_written(fleet) - before
        # One is due every 8 to 12 s; there would be more if each host wrote it.
        assert 7 <= written <= 16
        for name in list(fleet.hosts):
            fleet.stop(name)
        await fleet.start("new")
        await trio.sleep(IN_FORCE_SECONDS)
        fleet.assert_agreed()
        assert fleet.hosts["new"].version() == ROUTES - 1


def snapshots_written(fleet: Fleet) -> int:
    """Return how many complete snapshots the hosts have written."""
    stores = fleet.hosts.values()
    written = [store.counters.snapshots_written.get({}) for store in stores]
    return sum(count or 0 for count in written)


async def test_reader_overtaken_by_retention_recovers(autojump_clock):
    config = {"snapshot_stagger_seconds": 1, "snapshot_records": 1}
    async with open_fleet(3, config=config) as fleet:
        late = fleet.hosts["host-2"]
        fleet.mesh.isolate("host-2")
        late.log.faults.outage = True
        # Waits for the end of a read that began before the outage.
        await trio.sleep(IN_FORCE_SECONDS)
        await fill(fleet)
        fleet.service.truncate(CONFIG_STREAM, ROUTES - 1)
        assert late.version() == -1
        late.log.faults.outage = False
        await trio.sleep(IN_FORCE_SECONDS)
        fleet.assert_agreed()
        assert problems(late, Problem.LOG_TRUNCATED) == 1


def problems(store: ConfigStore, problem: Problem) -> int:
    """Return how often a problem was counted."""
    return store.counters.problems.get({"problem": problem.value})


def record(
    change_id: str = "evil", base: int = 0, route_id: str = "evil"
) -> bytes:
    change = make_change(change_id, route_id)
    return encode_change(change, base)


PEER_MESSAGES = [
    (Topic.CONFIG_RECORDS, b"\xff\xfe", Problem.BAD_PEER_MESSAGE),
    (Topic.CONFIG_OFFSET, b"", Problem.BAD_PEER_MESSAGE),
    (Topic.CONFIG_OFFSET, wire.OffsetNotice(0, 7), Problem.CHAIN_MISMATCH),
    (Topic.CONFIG_OFFSET, wire.OffsetNotice(99, 7), None),
    (
        Topic.CONFIG_RECORDS,
        wire.RecordBatch(1, [record()], 7),
        Problem.CHAIN_MISMATCH,
    ),
    (Topic.CONFIG_RECORDS, wire.RecordBatch(0, [record()], 7), None),
    (Topic.CONFIG_RECORDS, wire.RecordBatch(2, [record()], 7), None),
    (Topic.CONFIG_RECORDS, wire.RecordBatch(-9, [], 7), None),
]


@pytest.mark.parametrize(("topic", "message", "problem"), PEER_MESSAGES)
async def test_bad_peer_messages_change_nothing(
    topic, message, problem, autojump_clock
):
    async with open_fleet(2) as fleet:
        host = fleet.hosts["host-0"]
        await apply(host, make_change("one"))
        payload = message if isinstance(message, bytes) else encode(message)
        fleet.mesh.hosts["host-1"].publish(topic, payload)
        await trio.sleep(IN_FORCE_SECONDS)
        fleet.assert_agreed()
        assert host.version() == 0
        if problem is not None:
            assert problems(host, problem) >= 1


async def test_new_host_waits_for_all_peers(autojump_clock):
    async with open_fleet(2) as fleet:
        fleet.mesh.isolate("host-1")
        fleet.hosts["host-1"].log.faults.outage = True
        await trio.sleep(IN_FORCE_SECONDS)
        await apply(fleet.hosts["host-0"], make_change("one"))
        fleet.service.faults.outage = True
        fleet.mesh.cut.add(("host-0", "new"))
        host = await fleet.start("new")
        while not host.sharing.reported_versions:
            await trio.sleep(0.01)
        assert host.sharing.reported_versions == {"host-1": -1}
        await trio.sleep(0.1)
        fleet.mesh.cut.discard(("host-0", "new"))
        while not host.ready:
            await trio.sleep(0.01)
        assert host.version() == 0


async def test_new_host_waits_for_the_end_of_the_log(autojump_clock):
    async with open_fleet(0) as fleet:
        for _ in range(2500):
            fleet.service.store(CONFIG_STREAM, b"")
        host = await fleet.start("new")
        while not host.ready:
            await host.state.changed.wait()
        assert host.version() == 2499


async def test_hosts_without_the_newest_make_none_ready(autojump_clock):
    async with open_fleet(0) as fleet:
        fleet.service.faults.outage = True
        first = await fleet.start("host-0")
        second = await fleet.start("host-1")
        older = Fold()
        older.apply(0, record(base=-1))
        first.state.load(older, Source.LOG)
        await trio.sleep(IN_FORCE_SECONDS)
        assert (first.ready, second.ready) == (False, False)
        assert second.version() == -1


async def test_hosts_of_a_large_fleet_read_in_turns(autojump_clock):
    log = {"poll_seconds": 1}
    async with open_fleet(4, platform={"log": log}) as fleet:
        few, many = 0, 0
        for size in (0, 2000):
            fleet.mesh.size = size
            await trio.sleep(IN_FORCE_SECONDS)
            host = fleet.hosts["host-0"]
            before = host.log.reads
            await trio.sleep(60)
            few, many = many, host.log.reads - before
        assert few >= 55
        assert many <= 24
        fleet.mesh.isolate("host-0")
        for number in range(6):
            began = trio.current_time()
            change = make_change(f"c{number}", expected=number - 1)
            assert await apply(host, change) == Success(Accepted(number))
            assert trio.current_time() - began < 0.1
            await trio.sleep(0.7)
        fleet.mesh.cut.clear()
        await trio.sleep(IN_FORCE_SECONDS)
        fleet.assert_agreed()


@pytest.mark.parametrize("newcomers", [1, 5])
async def test_new_hosts_share_the_byte_budget_of_one_peer(
    newcomers, autojump_clock
):
    async with open_fleet(1, config={"kept_records": 3}) as fleet:
        for number in range(LARGE_ROUTES):
            payload = record(f"c{number}", number - 1, f"route-{number}")
            fleet.service.store(CONFIG_STREAM, payload)
        await trio.sleep(IN_FORCE_SECONDS)
        fleet.service.faults.outage = True
        fleet.mesh.reply_bytes_per_second = PEER_BYTES_PER_SECOND
        for number in range(newcomers):
            await fleet.start(f"new-{number}")
        await trio.sleep(newcomers * 4 + IN_FORCE_SECONDS)
        fleet.assert_agreed()
        assert fleet.hosts["new-0"].version() == LARGE_ROUTES - 1


async def test_over_real_links(nursery):
    directory = StaticDirectory()
    service = MemoryLogService()
    exchanges, stores = [], []

    async def start(name: str) -> ConfigStore:
        exchange = new_exchange(name, directory)
        await nursery.start(exchange.run)
        exchanges.append(exchange)
        directory.replace([listed(each) for each in exchanges])
        settings = default_settings(
            config={"gossip_seconds": 0.1}, platform={"log": FAST_LOG}
        )
        store = ConfigStore(
            settings,
            MemoryLog(service),
            exchange,
            RouteSource(),
            Metrics(),
            SystemClock(),
        )
        stores.append(store)
        await nursery.start(store.run)
        return store

    with trio.fail_after(20):
        for name in ("g0", "g1", "g2"):
            await start(name)
        while not all(len(each.live_peers()) == 2 for each in exchanges):
            await trio.sleep(0.01)
        for store in stores[1:]:
            store.log.faults.outage = True
        await trio.sleep(2 * FAST_LOG["poll_seconds"])
        await apply(stores[0], make_change("one"))
        service.faults.outage = True
        await start("g3")
        while not all(s.ready and s.version() == 0 for s in stores):
            await trio.sleep(0.01)


# Guards against the loss of the configuration when each host stops before it
# has written a snapshot.
@pytest.mark.parametrize("live_seconds", [0.5, 2, 7])
async def test_configuration_outlives_all_hosts(live_seconds, autojump_clock):
    log = {"retention_seconds": 40}
    async with open_fleet(3, platform={"log": log}) as fleet:
        await fill(fleet)
        fleet.nursery.start_soon(advance_log_time, fleet, 110, 40)
        number = 0
        end = trio.current_time() + 100
        while trio.current_time() < end:
            await trio.sleep(live_seconds)
            for name in list(fleet.hosts):
                fleet.stop(name)
            number += 1
            await fleet.start(f"short-{number}")
        await trio.sleep(IN_FORCE_SECONDS)
        fleet.assert_agreed()
        store = fleet.hosts[f"short-{number}"]
        assert store.version() == ROUTES - 1


# Guards against the loss of the configuration when all hosts stop and new ones
# start only shortly before the log drops the last records.
@pytest.mark.parametrize("left_seconds", [1.5, 3, 6, 12])
async def test_configuration_outlives_the_loss_of_all_hosts(
    left_seconds, autojump_clock
):
    log = {"retention_seconds": 40}
    async with open_fleet(3, platform={"log": log}) as fleet:
        await fill(fleet)
        # Lets the hosts write the last records that contain the whole state.
        await advance_log_time(fleet, 30, 40)
        for name in list(fleet.hosts):
            fleet.stop(name)
        newest = max(
            record.appended_at
            for records in fleet.service.streams.values()
            for record in records
        )
        age = fleet.service.clock.wall_time - newest
        await advance_log_time(fleet, 40 - left_seconds - age, 40)
        for number in range(3):
            await fleet.start(f"next-{number}")
        await advance_log_time(fleet, 4, 40)
        for name in list(fleet.hosts):
            fleet.stop(name)
        await advance_log_time(fleet, left_seconds, 40)
        await fleet.start("last")
        await trio.sleep(IN_FORCE_SECONDS)
        fleet.assert_agreed()
        assert fleet.hosts["last"].version() == ROUTES - 1
