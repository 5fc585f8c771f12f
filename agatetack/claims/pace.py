"""Keep appends to a share of what the log takes in a second."""

from collections.abc import Callable

import trio

from agatetack.ids import Deadline


class Pace:
    """A token bucket of one token, so that an idle partition never waits.

    Attributes:
        rate: Returns the appends allowed in a second, asked each time.
        free_at: When the next append may start.
    """

    def __init__(self, rate: Callable[[], float]):
        """Allow `rate()` appends in a second."""
        self.rate = rate
        self.free_at = Deadline(0.0)

    async def take(self) -> None:
        """Wait until an append may start, and count it."""
        while True:
            now = trio.current_time()
            if now >= self.free_at:
                break
            await trio.sleep_until(self.free_at)
        # A late start does not earn a later burst beyond one interval.
        interval = 1 / self.rate()
        self.free_at = Deadline(max(self.free_at + interval, now))

    def hold(self, until: Deadline) -> None:
        """Start no append before `until`."""
        self.free_at = max(self.free_at, until)
