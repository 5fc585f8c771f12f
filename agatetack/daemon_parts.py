"""Parts of both daemons: handle signals, and count dropped log lines."""

import trio

from agatetack.lifecycle.drain import STOP_SIGNALS
from agatetack.logs import count_drops
from agatetack.metrics import Metrics


async def forward_signals(stops: trio.MemorySendChannel[int]) -> None:
    """Send each stop signal to `stops` as a stop request; never returns."""
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for signal in signals:
            await stops.send(signal)


def count_dropped_lines(metrics: Metrics) -> None:
    """Count each dropped log line in `metrics`."""
    count_drops(
        lambda reason: metrics.dropped.inc(
            {"part": "logs", "reason": reason.value}
        )
    )
