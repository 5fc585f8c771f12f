"""Test that a target gets no requests after its responses announce leaving."""

import pytest
import trio

from agatetack.testing.limited_fleet import limited_fleet

PER_SECOND = 34.0

DRAIN_SECONDS = 2.0
"""How long requests may still reach a target after its announcement."""


# Guards against: a target announced in all its responses that it was leaving,
# and hosts sent requests to it while the host list showed it as live.
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


# Guards against: a target that had announced that it was leaving was unlisted
# for a while, as after an outage of the store, and then treated as new.
async def test_it_gets_none_when_it_is_listed_again(
    autojump_clock, monkeypatch
):
    async with limited_fleet(monkeypatch, 2, 4) as fleet:
        await fleet.press(2.0, PER_SECOND)
        target = fleet.targets[0]
        target.faults.leaving = True
        await fleet.press(3.0, PER_SECOND, seed=2)
        # It repeats no announcement, so the hosts must remember the first.
        target.faults.leaving = False
        fleet.list_targets(fleet.targets[1:])
        await trio.sleep(5.0)
        fleet.list_targets(fleet.targets)
        await fleet.press(5.0, PER_SECOND, seed=3)
        assert fleet.sent_to_leaving(target, DRAIN_SECONDS) == []
