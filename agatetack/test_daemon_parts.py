"""Test how a daemon handles signals."""

import signal
import time

import pytest
import trio

from agatetack.clock import FixedClock, Lateness, LatenessMeter
from agatetack.daemon_parts import (
    delivered_signals,
    forward_signals,
    note_kill_time,
)
from agatetack.lifecycle.drain import Lifecycle
from agatetack.metrics import Metrics
from agatetack.platform.bounds import apply_bounds
from agatetack.process import kill_time, release_signals
from agatetack.store_daemon import CLOSE_SECONDS
from agatetack.testing.store_fleet import template_settings

LATE_TURN_SECONDS = 0.04
"""Time that a turn of the loop takes on a host short of processor time."""


@pytest.fixture
async def stops(nursery):
    """Yield a channel of the stop signals that the process gets."""
    send, receive = trio.open_memory_channel(4)
    await nursery.start(forward_signals, send)
    yield receive
    release_signals()


# Guards against a host that is killed in the middle of its drain, as its loop
# runs other tasks for a while between a late signal and the start of the drain.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("stall", [0.0, 1.3, 20.0])
@pytest.mark.parametrize("turns", [0, 1, 4])
async def test_a_late_stop_counts_from_before_it_came(
    nursery, autojump_clock, stops, number, stall, turns
):
    lateness = Lateness()
    nursery.start_soon(LatenessMeter(lateness, Metrics()).run)
    with delivered_signals(lateness):
        await trio.sleep(1.01)
        asked = trio.current_time()
        autojump_clock.jump(stall)
        signal.raise_signal(number)
        for _ in range(turns):
            await trio.lowlevel.checkpoint()
            autojump_clock.jump(LATE_TURN_SECONDS)
            signal.raise_signal(signal.SIGTERM)
        assert await stops.receive() == number
        now = trio.current_time()
        assert asked - 0.1 <= lateness.earliest_arrival(now) <= asked
    nursery.cancel_scope.cancel()


# Guards against stops that are handled twice, or by nothing, once the drain has
# ended.
async def test_signals_wait_after_they_are_no_longer_delivered(nursery, stops):
    before = signal.getsignal(signal.SIGTERM)
    with delivered_signals(Lateness()):
        pass
    assert signal.getsignal(signal.SIGTERM) is before
    signal.raise_signal(signal.SIGTERM)
    assert signal.SIGTERM in signal.sigpending()
    with trio.move_on_after(0):
        await trio.testing.wait_all_tasks_blocked()
    with pytest.raises(trio.WouldBlock):
        stops.receive_nowait()
    release_signals()
    assert await stops.receive() == signal.SIGTERM


# Guards against a host that waits for the reader of its log until it is killed.
async def test_a_host_knows_when_it_may_be_killed(autojump_clock, monkeypatch):
    monkeypatch.setattr(kill_time, "at", kill_time.at)
    settings = apply_bounds(template_settings(1))
    lifecycle = Lifecycle(settings, Metrics(), FixedClock())
    await lifecycle.drain()
    assert lifecycle.asked_at is not None
    before = time.monotonic()
    note_kill_time(lifecycle)
    (grace,) = [
        float(text.removeprefix("grace=").removesuffix("s"))
        for text in settings.platform.store.bounds
        if text.startswith("grace=")
    ]
    left = lifecycle.asked_at + grace - trio.current_time()
    assert before + left <= kill_time.at <= time.monotonic() + left
    # The connections to the store close, and log lines are written, before.
    assert grace - lifecycle.settings.drain_seconds > CLOSE_SECONDS
