"""Provide monotonic time for deadlines and wall time for records.

Deadlines use trio's clock, so that a jump of the wall clock doesn't move them
and tests can control them with `trio.testing.MockClock`.
"""

import abc
import time

import trio

from agatetack.ids import Deadline, WallTime


class Clock(abc.ABC):
    """The two clocks a host has."""

    def now(self) -> Deadline:
        """Return the monotonic time, in seconds."""
        return Deadline(trio.current_time())

    @abc.abstractmethod
    def wall(self) -> WallTime:
        """Return the wall time, in seconds since 1970."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def wall(self) -> WallTime:
        """Return the wall time, in seconds since 1970."""
        return WallTime(time.time())


class FixedClock(Clock):
    """A wall clock for tests that only changes when it is set."""

    def __init__(self, wall: float = 1_700_000_000.0):
        """Start at `wall`, in seconds since 1970."""
        self.wall_time = wall

    def wall(self) -> WallTime:
        """Return the time last set."""
        return WallTime(self.wall_time)


def wall_to_deadline(clock: Clock, wall: WallTime) -> Deadline:
    """Return the monotonic time at which the wall clock should read `wall`."""
    return Deadline(clock.now() + (wall - clock.wall()))


def deadline_to_wall(clock: Clock, deadline: Deadline) -> WallTime:
    """Return what the wall clock should read at `deadline`."""
    return WallTime(clock.wall() + (deadline - clock.now()))
