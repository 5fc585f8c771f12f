"""Start second attempts for requests whose answers are late."""

import heapq
import itertools
from collections.abc import Awaitable, Callable

import trio

from agatetack.ids import Deadline
from agatetack.logs import PartLog

MIN_SLEEP_SECONDS = 0.001
"""Minimum time between two checks of the timers; most are stopped before they
are due."""

LateAction = Callable[[], Awaitable[None]]
"""Callback for a late answer."""


log = PartLog("attempts")


class LateTimer:
    """One request's timer; it does nothing once it is stopped.

    Attributes:
        action: Callback to run when due; None once stopped or started.
    """

    __slots__ = ("action",)

    def __init__(self, action: LateAction):
        """Run `action` when the timer is due."""
        self.action: LateAction | None = action

    def stop(self) -> None:
        """Cancel the timer."""
        self.action = None


class Hedger:
    """Runs the timers of all requests in one task.

    Nearly every answer comes in time, so a timer must be cheap: it is an
    entry in a heap, not a task and a cancel scope for each request.
    """

    def __init__(self) -> None:
        """Start without timers."""
        self.heap: list[tuple[Deadline, int, LateTimer]] = []
        self.numbers = itertools.count()
        self.wake = trio.Event()
        self.asleep_until = Deadline(float("inf"))

    def after(self, when: Deadline, action: LateAction) -> LateTimer:
        """Run `action` at `when`, unless the timer is stopped before."""
        timer = LateTimer(action)
        heapq.heappush(self.heap, (when, next(self.numbers), timer))
        if when < self.asleep_until:
            self.wake.set()
        return timer

    async def run(self) -> None:
        """Run the callbacks of due timers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._start_due(nursery)
                await self._sleep()

    def _start_due(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        while self.heap:
            when, _, timer = self.heap[0]
            if timer.action is not None and when > now:
                return
            heapq.heappop(self.heap)
            if timer.action is not None:
                nursery.start_soon(_run, timer.action)
                timer.action = None

    async def _sleep(self) -> None:
        self.wake = trio.Event()
        self.asleep_until = Deadline(float("inf"))
        if self.heap:
            soonest = trio.current_time() + MIN_SLEEP_SECONDS
            self.asleep_until = Deadline(max(self.heap[0][0], soonest))
        with trio.move_on_at(self.asleep_until):
            await self.wake.wait()


async def _run(action: LateAction) -> None:
    """Run an action, whose failure must not end the timers of all requests."""
    try:
        await action()
    except Exception as error:
        log.error("The action for a late answer failed: %r.", error)
