"""Give tests a wall clock that goes with trio's clock."""

import trio

from agatetack.clock import Clock
from agatetack.ids import WallTime

WALL_START = 1_700_000_000.0
"""Wall time at trio's time 0, in seconds since 1970."""


class VirtualClock(Clock):
    """A wall clock that a `trio.testing.MockClock` moves too."""

    def wall(self) -> WallTime:
        """Return the wall time, in seconds since 1970."""
        return WallTime(WALL_START + trio.current_time())
