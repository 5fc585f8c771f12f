"""Test that a host knows how late its event loop is."""

import pytest
import trio

from agatetack.clock import (
    LATENESS_INTERVAL_SECONDS,
    MAX_LATENESS_SECONDS,
    Lateness,
    LatenessMeter,
)
from agatetack.metrics import Metrics

STALLS = 100


async def measure(clock, nursery, stall_seconds):
    """Return a lateness measured beside stalls of the loop, and its metrics."""
    lateness, metrics = Lateness(), Metrics()
    nursery.start_soon(LatenessMeter(lateness, metrics).run)
    for _ in range(STALLS):
        # Each sleep of the meter ends within a stall.
        await trio.sleep(LATENESS_INTERVAL_SECONDS * 0.9)
        clock.jump(stall_seconds)
    return lateness, metrics


@pytest.mark.parametrize(
    ("stall_seconds", "least", "most", "late"),
    [
        (0.0, 0.0, 0.0, False),
        (0.02, 0.005, 0.02, False),
        (0.5, 0.2, 0.5, True),
        (1.5, 0.7, 1.5, True),
        (30.0, 1.0, MAX_LATENESS_SECONDS, True),
    ],
)
async def test_lateness_is_the_mean_time_by_which_a_task_wakes_late(
    autojump_clock, stall_seconds, least, most, late
):
    async with trio.open_nursery() as nursery:
        lateness, metrics = await measure(
            autojump_clock, nursery, stall_seconds
        )
        nursery.cancel_scope.cancel()
    assert least <= lateness.seconds <= most
    assert lateness.late is late
    shown = metrics.render()[0].decode()
    assert "agatetack_loop_lateness_seconds " in shown


async def test_a_host_that_is_on_time_again_leaves_the_state(
    autojump_clock,
):
    async with trio.open_nursery() as nursery:
        lateness, _ = await measure(autojump_clock, nursery, 0.5)
        assert lateness.late
        await trio.sleep(5.0)
        assert not lateness.late
        assert lateness.seconds < 0.01
        nursery.cancel_scope.cancel()


def test_a_single_short_stall_does_not_make_a_host_late():
    lateness = Lateness()
    assert not lateness.note_wake(0.0, 0.2)
    assert not lateness.late


def test_each_change_of_the_state_is_told_once():
    lateness = Lateness()
    wakes = [0.5] * 50 + [0.0] * 100
    changes = [lateness.note_wake(0.0, late) for late in wakes]
    assert changes.count(True) == 2
