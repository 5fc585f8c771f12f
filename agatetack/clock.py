"""Provide monotonic time for deadlines and wall time for records.

Deadlines use trio's clock, so that a jump of the wall clock doesn't move them
and tests can control them with `trio.testing.MockClock`.
"""

import abc
import dataclasses
import math
import time

import trio

from agatetack.ids import Deadline, WallTime
from agatetack.logs import PartLog
from agatetack.metrics import Metrics

LATENESS_INTERVAL_SECONDS = 0.05
"""Time for which the task that measures the lateness sleeps."""

LATENESS_MEAN_SECONDS = 1.0
"""Time over which the lateness is averaged."""

MAX_LATENESS_SECONDS = 2.0
"""Longest lateness of one sample, so that one long stop of the process does
not count for longer than the average lasts."""

ENTER_LATE_SECONDS = 0.1
"""Mean lateness above which a host counts as late."""

LEAVE_LATE_SECONDS = 0.05
"""Mean lateness at which a late host no longer counts as late."""

USUAL_LATENESS_SECONDS = 0.02
"""Mean lateness up to which a host does all that it does when idle."""

MIN_INFORMING_RATIO = 0.1
"""Least share of the usual rate at which a late host informs itself and
others, so that what it knows doesn't become arbitrarily old."""

MAX_MESSAGE_DELAY_SECONDS = 0.25
"""Longest time for which a late host collects changes for one message."""

SAME_TURN_SECONDS = 0.01
"""Time within which tasks that wake belong to one turn of the event loop."""

BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Clock that counts suspensions of the system; only Linux has one."""

log = PartLog("clock")


@dataclasses.dataclass(frozen=True, slots=True)
class Instant:
    """A time on the monotonic clock and on the one that counts suspensions.

    The monotonic clock stands still while the system is suspended, so it alone
    can't tell how old something is.

    Attributes:
        monotonic: The time on trio's clock.
        boot: The time since the system was booted, suspensions included.
    """

    monotonic: Deadline
    boot: float

    def seconds_until(self, later: "Instant") -> float:
        """Return the time from this instant to `later`, by the faster clock."""
        return max(later.monotonic - self.monotonic, later.boot - self.boot)

    def moved(self, seconds: float) -> "Instant":
        """Return the instant `seconds` later, or earlier if negative."""
        return Instant(Deadline(self.monotonic + seconds), self.boot + seconds)


class Clock(abc.ABC):
    """The clocks a host has."""

    def now(self) -> Deadline:
        """Return the monotonic time, in seconds."""
        return Deadline(trio.current_time())

    def boot(self) -> float:
        """Return the time since boot, in seconds, suspensions included."""
        return trio.current_time()

    def instant(self) -> Instant:
        """Return the current time on both clocks."""
        return Instant(self.now(), self.boot())

    @abc.abstractmethod
    def wall(self) -> WallTime:
        """Return the wall time, in seconds since 1970."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def wall(self) -> WallTime:
        """Return the wall time, in seconds since 1970."""
        return WallTime(time.time())

    def boot(self) -> float:
        """Return the time since boot, in seconds, suspensions included."""
        return time.clock_gettime(BOOT_CLOCK)


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


class Lateness:
    """How late this host's event loop runs what is due.

    A host that gets less processor time than it needs runs each step of its
    work late. Components read here by how much.

    Attributes:
        seconds: Mean time by which tasks woke late recently.
        late: Whether the host counts as late.
        woken_at: When the measuring task last woke; None before.
        slept_at: When it had begun to sleep before that.
        unsignalled_at: When the loop was last seen to run before the first
            signal reached the process; None if none did.
    """

    def __init__(self) -> None:
        """Start on time."""
        self.seconds = 0.0
        self.late = False
        self.woken_at: Deadline | None = None
        self.slept_at: Deadline | None = None
        self.unsignalled_at: Deadline | None = None

    def note_signal(self) -> None:
        """Record that a signal reached the process just now.

        To be called by the signal's handler. The process then ran for the first
        time since the signal came, so the signal came after the last wake.
        """
        if self.unsignalled_at is None:
            self.unsignalled_at = self.woken_at

    def begin(self, started_at: Deadline) -> None:
        """Count the loop as not seen to run since `started_at`."""
        self.woken_at = self.slept_at = started_at

    def earliest_arrival(self, now: Deadline) -> Deadline:
        """Return when a signal that is noticed at `now` may have come.

        A process that is stopped or gets no processor time notices it late;
        it came after the loop last ran without it. On a late host the
        measuring task may wake between the signal's handler and the task that
        notices the signal, so what the handler recorded goes first.
        """
        if self.unsignalled_at is not None:
            return self.unsignalled_at
        if self.woken_at is None:
            return now
        if now - self.woken_at > SAME_TURN_SECONDS:
            return self.woken_at
        return self.slept_at

    @property
    def informing_ratio(self) -> float:
        """Return at which share of its usual rate a host measures.

        Probes and messages only improve choices of targets. On a late host
        they take the time that requests need.
        """
        if self.seconds <= USUAL_LATENESS_SECONDS:
            return 1.0
        return max(MIN_INFORMING_RATIO, USUAL_LATENESS_SECONDS / self.seconds)

    @property
    def message_delay_seconds(self) -> float:
        """Return how long changes are collected for one message to peers."""
        delay = max(0.0, self.seconds - USUAL_LATENESS_SECONDS)
        return min(MAX_MESSAGE_DELAY_SECONDS, delay)

    def note_wake(self, due: Deadline, woken: Deadline) -> bool:
        """Record that a task that was due woke; return if `late` changed."""
        self.woken_at = woken
        self.slept_at = Deadline(due - LATENESS_INTERVAL_SECONDS)
        sample = min(MAX_LATENESS_SECONDS, max(0.0, woken - due))
        # The time between two samples grows with the lateness itself.
        elapsed = LATENESS_INTERVAL_SECONDS + sample
        weight = 1.0 - math.exp(-elapsed / LATENESS_MEAN_SECONDS)
        self.seconds += weight * (sample - self.seconds)
        before = self.late
        limit = LEAVE_LATE_SECONDS if before else ENTER_LATE_SECONDS
        self.late = self.seconds > limit
        return self.late is not before


class LatenessMeter:
    """Measures a host's lateness with a task that sleeps."""

    def __init__(self, lateness: Lateness, metrics: Metrics):
        """Update `lateness` and show it in `metrics`."""
        self.lateness = lateness
        self.gauge = metrics.gauge(
            "agatetack_loop_lateness_seconds",
            "Mean time by which this host's tasks woke late recently.",
        )
        self.gauge.set({}, 0.0)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = Deadline(trio.current_time() + LATENESS_INTERVAL_SECONDS)
            await trio.sleep_until(due)
            changed = self.lateness.note_wake(
                due, Deadline(trio.current_time())
            )
            seconds = self.lateness.seconds
            self.gauge.set({}, round(seconds, 4))
            if changed and self.lateness.late:
                log.warning("the loop runs %.2f s late.", seconds)
            elif changed:
                log.info("the loop is on time again.")
