"""Provide a wall time that ignores steps of the system clock."""

from agatetack.clock import Clock
from agatetack.ids import WallTime


class SteadyClock(Clock):
    """Reads the wall clock once and advances it by the monotonic clock.

    Records store wall times, since other hosts can't interpret monotonic
    ones. A step of this host's wall clock must not make tickets expire.
    """

    def __init__(self, clock: Clock):
        """Use `clock`; its wall time is read once, when first needed."""
        self.clock = clock
        self.offset: float | None = None

    def wall(self) -> WallTime:
        """Return the wall time, in seconds since 1970."""
        if self.offset is None:
            self.offset = self.clock.wall() - self.now()
        return WallTime(self.now() + self.offset)
