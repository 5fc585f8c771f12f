"""Give tests a wall clock that goes with trio's clock."""

import contextlib
from collections.abc import Iterator

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


@contextlib.contextmanager
def seeded_scheduler(seed: int) -> Iterator[None]:
    """Have `trio.run` inside choose the same at each run with this seed.

    Trio has no public way to do it; this is the one that Hypothesis uses.
    """
    trio_run = trio._core._run
    before = trio_run._ALLOW_DETERMINISTIC_SCHEDULING
    state = trio_run._r.getstate()
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    try:
        yield
    finally:
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = before
        trio_run._r.setstate(state)
