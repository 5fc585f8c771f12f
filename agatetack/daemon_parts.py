"""Parts of both daemons: handle signals, and count dropped log lines."""

import contextlib
import signal
import time
from collections.abc import Iterator
from types import FrameType

import trio

from agatetack.build_id import running
from agatetack.clock import Lateness
from agatetack.ids import Deadline
from agatetack.lifecycle.drain import Lifecycle
from agatetack.logs import PartLog, count_drops
from agatetack.metrics import Metrics
from agatetack.process import (
    STOP_SIGNALS,
    held_stop,
    hold_signals,
    kill_time,
    release_signals,
)
from agatetack.settings.bounds import KILL_MARGIN_SECONDS

log = PartLog("daemon")


@contextlib.contextmanager
def delivered_signals(lateness: Lateness) -> Iterator[None]:
    """Deliver signals within the context, in which all of them are handled.

    Args:
        lateness: Learns since when a stop may have waited, and when one
            reaches the process.
    """
    held_stop.look()
    lateness.begin(Deadline(trio.current_time() - held_stop.age_seconds()))
    with _noted_stops(lateness):
        release_signals()
        try:
            yield
        finally:
            hold_signals()


@contextlib.contextmanager
def _noted_stops(lateness: Lateness) -> Iterator[None]:
    """Note each stop signal before its handler passes it on."""
    handlers = {number: signal.getsignal(number) for number in STOP_SIGNALS}

    def note(number: int, frame: FrameType | None) -> None:
        lateness.note_signal()
        handlers[number](number, frame)

    for number in handlers:
        signal.signal(number, note)
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)


async def forward_signals(
    stops: trio.MemorySendChannel[int],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Send each stop signal to `stops` as a stop request; never returns."""
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        task_status.started()
        async for number in signals:
            log.info("Got %s.", signal.Signals(number).name)
            await stops.send(number)


async def note_reload_signals(
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Log each SIGHUP, which would end the process otherwise."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        task_status.started()
        async for _ in signals:
            log.warning("Got SIGHUP; settings are read at a start only.")


def note_kill_time(lifecycle: Lifecycle) -> None:
    """Note when a host whose drain has ended may be killed."""
    if lifecycle.asked_at is None:
        return
    allowed_seconds = lifecycle.settings.drain_seconds + KILL_MARGIN_SECONDS
    left = lifecycle.asked_at + allowed_seconds - trio.current_time()
    kill_time.at = time.monotonic() + left


def show_build(metrics: Metrics, settings_digest: str) -> None:
    """Show which code runs, and on which settings file it was started."""
    metrics.gauge(
        "agatetack_build_info",
        "1, with the version, the sources and the settings file at the start.",
    ).set(
        {
            "version": running.version,
            "sources": running.tree,
            "settings": settings_digest,
        },
        1,
    )


def count_dropped_lines(metrics: Metrics) -> None:
    """Count each dropped log line in `metrics`."""
    count_drops(
        lambda reason: metrics.dropped.inc(
            {"part": "logs", "reason": reason.value}
        )
    )
