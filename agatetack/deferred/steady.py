"""Tell a wall time that no jump of the wall clock moves."""

from agatetack.clock import Clock
from agatetack.ids import WallTime


class SteadyClock(Clock):
    """The wall time at the first use, carried on by the monotonic clock.

    Records hold wall times, since monotonic ones mean nothing to other
    hosts. A jump of this host's wall clock must not expire them.
    """

    def __init__(self, clock: Clock):
        """Read the wall time of `clock` once, at the first use."""
        self.clock = clock
        self.offset: float | None = None

    def wall(self) -> WallTime:
        """Return the wall time, in seconds since 1970."""
        if self.offset is None:
            self.offset = self.clock.wall() - self.now()
        return WallTime(self.now() + self.offset)
