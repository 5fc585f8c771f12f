"""Test that a target which says in its answers that it leaves is let go."""

import pytest
import trio

from agatetack.testing.limited_fleet import limited_fleet

PER_SECOND = 34.0

DRAIN_SECONDS = 2.0
"""How long requests may still reach a target that has said so."""


# Guards against: a target said in all its answers that it leaves, and hosts
# sent to it for as long as the list had it as live.
@pytest.mark.parametrize(
    ("hosts", "linked"), [(1, False), (2, True), (14, True), (14, False)]
)
async def test_a_target_that_says_it_leaves_gets_no_more(
    autojump_clock, monkeypatch, hosts, linked
):
    async with limited_fleet(monkeypatch, hosts, 4, linked) as fleet:
        await fleet.press(2.0, PER_SECOND)
        target = fleet.targets[0]
        target.faults.leaving = True
        await fleet.press(8.0, PER_SECOND, seed=2)
        assert target.said_to_leave
        assert fleet.sent_to_leaving(target, DRAIN_SECONDS) == []


# Guards against: a target that had said that it leaves was off the list for a
# while, as after an outage of the store, and was taken for a new one.
async def test_it_gets_none_when_it_is_listed_again(
    autojump_clock, monkeypatch
):
    async with limited_fleet(monkeypatch, 2, 4) as fleet:
        await fleet.press(2.0, PER_SECOND)
        target = fleet.targets[0]
        target.faults.leaving = True
        await fleet.press(3.0, PER_SECOND, seed=2)
        # It says nothing more, so that only what is remembered counts.
        target.faults.leaving = False
        fleet.list_targets(fleet.targets[1:])
        await trio.sleep(5.0)
        fleet.list_targets(fleet.targets)
        await fleet.press(5.0, PER_SECOND, seed=3)
        assert fleet.sent_to_leaving(target, DRAIN_SECONDS) == []
