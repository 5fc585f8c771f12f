"""Test re-appended copies, restarts, host ranks and the steady clock."""

import pytest
import trio

from agatetack.clock import FixedClock
from agatetack.deferred.host_ranking import rank_of
from agatetack.deferred.steady import SteadyClock
from agatetack.ids import HostId, TicketId
from agatetack.testing.deferred_fleet import (
    ROUTE,
    DeferredFleet,
    Work,
    make_request,
)

SETTINGS = {
    "platform": {"log": {"retention_seconds": 60, "poll_seconds": 5}},
    "deferred": {"attempt_timeout_seconds": 300, "cache_bytes": 1},
}
PATH = b"/waves/1"


@pytest.mark.parametrize("run_seconds", [0.0, 1e9])
async def test_copies_carry_the_first_origin(autojump_clock, run_seconds):
    """A host that starts later reads the same hold, or the same end."""
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(seconds=run_seconds), SETTINGS)
        nursery.start_soon(fleet.drop_old_records)
        first = await fleet.start()
        ticket = (await first.queue.submit(ROUTE, make_request(1))).unwrap()
        await trio.sleep(10)
        known = first.queue.schedule.find(ticket)
        begun = known.end or known.hold
        # After twice the retention, only copies of copies are left.
        await trio.sleep(120)
        late = await fleet.start()
        await trio.sleep(10)
        seen = late.queue.schedule.find(ticket)
        assert (seen.end is None) is (run_seconds > 0)
        found = seen.end or seen.hold
        assert found.attempt == begun.attempt
        assert found.origin == begun.origin
        stream = late.queue.schedule.partition_of(ticket).stream
        assert fleet.service.first(stream) > begun.origin
        assert fleet.work.runs == {PATH: 1}
        nursery.cancel_scope.cancel()


async def test_restarted_host_takes_its_own_tickets_up(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(seconds=1e9), SETTINGS)
        host = await fleet.start("only")
        ticket = (await host.queue.submit(ROUTE, make_request(1))).unwrap()
        while not fleet.work.runs:
            await trio.sleep(0.1)
        # A new host reaches the end of an empty stream without waiting.
        assert trio.current_time() < 1
        fleet.kill("only")
        fleet.work.seconds = 0.0
        host = await fleet.start("only")
        until = trio.current_time() + 20
        answer = (await host.queue.fetch(ticket, until)).unwrap()
        assert answer.body == fleet.work.body(PATH)
        nursery.cancel_scope.cancel()


def test_each_host_has_its_own_rank():
    hosts = [HostId(f"host-{number}") for number in range(5)]
    firsts = set()
    for number in range(50):
        ticket = TicketId(f"0-{number}")
        ranks = [
            rank_of(ticket, host, [h for h in hosts if h != host])
            for host in hosts
        ]
        assert sorted(ranks) == [0, 1, 2, 3, 4]
        firsts.add(ranks.index(0))
    assert firsts == {0, 1, 2, 3, 4}


async def test_jump_of_the_wall_clock_moves_nothing(autojump_clock):
    wall = FixedClock()
    steady = SteadyClock(wall)
    begun = steady.wall()
    wall.wall_time += 10_000
    await trio.sleep(5)
    assert steady.wall() - begun == pytest.approx(5)
