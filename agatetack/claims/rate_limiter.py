"""Limit the rate of this host's appends to one claim stream."""

from collections.abc import Callable

import trio

from agatetack.ids import Deadline


class AppendRateLimiter:
    """A token bucket of one token: an idle partition appends without delay.

    Attributes:
        rate: Returns the allowed appends per second; called for each append.
        free_at: When the next append may start.
    """

    def __init__(self, rate: Callable[[], float]):
        """Allow `rate()` appends in a second."""
        self.rate = rate
        self.free_at = Deadline(0.0)

    async def acquire(self) -> None:
        """Wait until an append may start, and count it."""
        while True:
            now = trio.current_time()
            if now >= self.free_at:
                break
            await trio.sleep_until(self.free_at)
        # However late this append starts, only one more may follow at once.
        interval = 1 / self.rate()
        self.free_at = Deadline(max(self.free_at + interval, now))

    def pause_until(self, until: Deadline) -> None:
        """Start no append before `until`."""
        self.free_at = max(self.free_at, until)
