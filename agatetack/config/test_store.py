"""Test that changes are decided once, reach all hosts and are never undone."""

import enum
import itertools

import pytest
import trio
from returns.result import Success

from agatetack.config.change import (
    NO_VERSION,
    Accepted,
    ChangeStatus,
    Rejected,
    RejectReason,
)
from agatetack.config.fold import Verdict
from agatetack.config.records import CONFIG_STREAM, encode_change
from agatetack.config.store import ChangeResult, ConfigStore
from agatetack.ids import ChangeId, RouteId
from agatetack.peers.exchange import Topic
from agatetack.testing.config_fleet import (
    IN_FORCE_SECONDS,
    Fleet,
    apply,
    make_change,
    open_fleet,
)
from agatetack.testing.memory_log import AppendFault

SNAPSHOT_SECONDS = 3.0

APPEND_FAULTS = [
    ([], Success(Accepted(0)), 1),
    ([AppendFault.TOO_FAST] * 2, Success(Accepted(0)), 1),
    ([AppendFault.REPLY_LOST], Success(Accepted(0)), 1),
    ([AppendFault.REQUEST_LOST], Success(Accepted(0)), 1),
    ([AppendFault.LANDS_LATE], Success(Accepted(0)), 2),
    ([AppendFault.REQUEST_LOST] * 2, Success(Accepted(0)), 1),
    ([AppendFault.LANDS_LATE, AppendFault.REPLY_LOST], Success(Accepted(0)), 2),
    (
        [AppendFault.LANDS_LATE, AppendFault.UNAVAILABLE],
        Success(Accepted(0)),
        2,
    ),
    ([AppendFault.UNAVAILABLE], RejectReason.LOG_UNAVAILABLE, 0),
    ([AppendFault.TOO_FAST] * 99, RejectReason.LOG_UNAVAILABLE, 0),
]


@pytest.mark.parametrize(("faults", "expected", "landed"), APPEND_FAULTS)
async def test_one_append_fault_or_two(
    faults, expected, landed, autojump_clock
):
    async with open_fleet() as fleet:
        fleet.service.faults.next_appends = list(faults)
        host = fleet.hosts["host-0"]
        result = await apply(host, make_change("one"))
        if isinstance(expected, RejectReason):
            assert result.failure().reason is expected
        else:
            assert result == expected
        await trio.sleep(IN_FORCE_SECONDS)
        assert fleet.service.ends.get("config", 0) == landed
        assert (RouteId("a") in host.state.source.table.routes) == (landed > 0)
        fleet.assert_agreed()


RACES = [
    (make_change("two", expected=-1), RejectReason.CONFLICT, 0),
    (make_change("two", expected=7), RejectReason.CONFLICT, 0),
    (
        make_change("two", "b", path_prefix="/a/"),
        RejectReason.PATH_TAKEN,
        0,
    ),
    (make_change("two", path_prefix="a"), RejectReason.INVALID, NO_VERSION),
    (make_change("one", max_queue=9), RejectReason.INVALID, 0),
]


@pytest.mark.parametrize(("change", "reason", "winner"), RACES)
async def test_second_writer_is_told_who_won(
    change, reason, winner, autojump_clock
):
    async with open_fleet() as fleet:
        assert await apply(
            fleet.hosts["host-0"], make_change("one")
        ) == Success(Accepted(0))
        result = await apply(fleet.hosts["host-1"], change)
        assert result.failure().reason is reason
        assert result.failure().version == winner
        fleet.assert_agreed()
        state = fleet.hosts["host-2"].change_state(ChangeId("one"))
        assert state.status is ChangeStatus.ACCEPTED
        assert state.version == 0


class Fault(enum.Enum):
    """Faults that may occur in a fleet before or during a change."""

    OUTAGE = "the log is unavailable for a while"
    OUT_FOR_OTHERS = "the log is unavailable to all hosts but the writer"
    OUTAGE_AFTER = "the log becomes unavailable after the first acceptance"
    SLOW = "each call of the log takes a long time"
    FROZEN = "the log neither answers nor refuses calls for a while"
    REPLY_LOST = "an append takes effect, but its reply is lost"
    REQUEST_LOST = "an append has no effect and no reply"
    LANDS_LATE = "an append takes effect late and without a reply"
    RETENTION = "the log keeps only its newest record"
    RESTART = "a host is replaced"
    RESTART_ALL = "all hosts but the writers are replaced"
    ISOLATED = "a host receives no messages from peers"
    RECORDS_LOST = "records published to peers are lost"


FAULTS = [(fault,) for fault in Fault]
FAULT_PAIRS = [*FAULTS, *itertools.combinations(Fault, 2)]
FAULT_SECONDS = 3.0


async def inject(fault: Fault, fleet: Fleet) -> None:
    """Start a fault, before the change."""
    service, hosts = fleet.service, fleet.hosts
    if fault is Fault.OUTAGE:
        service.faults.outage = True
    elif fault is Fault.OUT_FOR_OTHERS:
        for name in ("host-1", "host-2", "host-3"):
            hosts[name].log.faults.outage = True
    elif fault is Fault.SLOW:
        service.faults.delay_seconds = 0.7
    elif fault is Fault.FROZEN:
        service.faults.frozen = True
    elif fault is Fault.RETENTION:
        service.truncate("config", service.ends["config"] - 1)
    elif fault is Fault.RESTART:
        fleet.stop("host-3")
        await fleet.start("host-3")
    elif fault is Fault.RESTART_ALL:
        for name in ("host-2", "host-3"):
            fleet.stop(name)
            await fleet.start(name)
    elif fault is Fault.ISOLATED:
        fleet.mesh.isolate("host-2")
    elif fault is Fault.RECORDS_LOST:
        fleet.mesh.lost_topics.add(Topic.CONFIG_RECORDS)
    elif fault is not Fault.OUTAGE_AFTER:
        service.faults.next_appends.append(AppendFault[fault.name])


def end_faults(fleet: Fleet) -> None:
    """End every fault."""
    fleet.service.faults.outage = False
    fleet.service.faults.frozen = False
    fleet.service.faults.delay_seconds = 0.0
    for store in fleet.hosts.values():
        store.log.faults.outage = False
    fleet.mesh.cut.clear()
    fleet.mesh.lost_topics.clear()


async def watch_versions(fleet: Fleet) -> None:
    """Check that no host's route ever goes back to an older version."""
    newest: dict[ConfigStore, int] = {}
    while True:
        for store in fleet.hosts.values():
            table = store.state.source.table
            if table is not None and table.routes:
                version = table.routes["a"].version
                assert version >= newest.get(store, 0)
                newest[store] = version
        await trio.sleep(0.05)


async def race(fleet: Fleet, faults) -> dict[str, ChangeResult]:
    """Let two hosts change one route at the same time."""
    results: dict[str, ChangeResult] = {}

    async def write(name: str, number: int) -> None:
        change = make_change(f"race-{number}", expected=1, max_queue=number)
        results[change.change_id] = await apply(fleet.hosts[name], change)
        if Fault.OUTAGE_AFTER in faults:
            fleet.service.faults.outage = True

    async with trio.open_nursery() as nursery:
        nursery.start_soon(write, "host-0", 1)
        nursery.start_soon(write, "host-1", 2)
    return results


def assert_results_match(
    results: dict[str, ChangeResult], fleet: Fleet
) -> None:
    """Check that the results returned to the writers match the decisions."""
    fold = fleet.hosts["host-0"].fold
    accepted = [
        change_id
        for change_id in results
        if change_id in fold.decisions
        and fold.decisions[change_id].verdict is Verdict.ACCEPTED
    ]
    assert len(accepted) <= 1
    for change_id, result in results.items():
        outcome = result.value_or(None) or result.failure()
        if isinstance(outcome, Accepted):
            assert accepted == [change_id]
            assert fold.decisions[change_id].offset == outcome.version
        elif isinstance(outcome, Rejected):
            assert change_id not in accepted


@pytest.mark.parametrize("faults", FAULT_PAIRS)
async def test_racing_writers_under_two_faults(faults, autojump_clock):
    async with open_fleet(4, config={"snapshot_stagger_seconds": 0.5}) as fleet:
        writer = fleet.hosts["host-0"]
        await apply(writer, make_change("first"))
        await apply(writer, make_change("second", expected=0))
        await trio.sleep(SNAPSHOT_SECONDS)
        fleet.nursery.start_soon(watch_versions, fleet)
        for fault in faults:
            await inject(fault, fleet)
        results = await race(fleet, faults)
        await trio.sleep(FAULT_SECONDS)
        assert_results_match(results, fleet)
        end_faults(fleet)
        await trio.sleep(IN_FORCE_SECONDS)
        assert_results_match(results, fleet)
        fleet.assert_agreed()


async def test_host_that_is_behind_takes_a_change(autojump_clock):
    async with open_fleet() as fleet:
        host = fleet.hosts["host-0"]
        payload = encode_change(make_change("one"), NO_VERSION)
        fleet.service.store(CONFIG_STREAM, payload)
        assert host.version() == NO_VERSION
        result = await apply(host, make_change("two", expected=0))
        assert result == Success(Accepted(1))
