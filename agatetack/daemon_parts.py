"""Do what every kind of daemon does: take signals, count lost log lines."""

import trio

from agatetack.lifecycle.drain import STOP_SIGNALS
from agatetack.logs import count_drops
from agatetack.metrics import Metrics


async def forward_signals(stops: trio.MemorySendChannel[int]) -> None:
    """Take the system's signals for wishes to stop; runs for ever."""
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for signal in signals:
            await stops.send(signal)


def count_dropped_lines(metrics: Metrics) -> None:
    """Count each log line that is not written."""
    count_drops(
        lambda reason: metrics.dropped.inc(
            {"part": "logs", "reason": reason.value}
        )
    )
