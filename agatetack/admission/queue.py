"""Queue requests that wait for a target, fairly between routes and callers."""

import dataclasses
import enum
import math
from collections import OrderedDict, deque
from collections.abc import Callable

import trio

from agatetack.admission.controller import PermitRequest, Priority
from agatetack.ids import CallerId, Deadline, RouteId
from agatetack.outcomes import Refusal
from agatetack.targets.state import TargetState


class Order(enum.Enum):
    """Which of one caller's waiting requests goes first."""

    OLDEST_FIRST = "oldest-first"
    NEWEST_FIRST = "newest-first"


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """One waiting request.

    Attributes:
        wanted: The permit it waits for.
        since: When it began to wait.
        event: Set once it has a target or a refusal.
        target: The target it got, which already counts it as in flight.
        refusal: Why it was removed from the queue without a target.
        look_at: When a slot that it leaves to other hosts may be free for it.
        timer: Scope of its sleep, which ends at `look_at`.
        waiting: Scope of its whole wait, which ends when it is given up.
    """

    wanted: PermitRequest
    since: Deadline
    event: trio.Event = dataclasses.field(default_factory=trio.Event)
    target: TargetState | None = None
    refusal: Refusal | None = None
    look_at: Deadline = Deadline(math.inf)
    timer: trio.CancelScope | None = None
    waiting: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )

    @property
    def turn_key(self) -> CallerId:
        """Return whose turns it takes: its account's, or else its caller's."""
        request = self.wanted.request
        if request.account is None:
            return request.caller
        return CallerId(f"account {request.account.id}")

    def wake_at(self, at: Deadline) -> None:
        """Have its task look for a target at `at`, or earlier."""
        self.look_at = min(self.look_at, at)
        if self.timer is not None:
            self.timer.deadline = min(self.timer.deadline, at)


CallerQueues = OrderedDict[CallerId, deque[Waiter]]


class FairQueue:
    """Waiting requests of one priority.

    Routes are served round-robin, and so are the callers of a route, so that
    one busy caller cannot delay the others.

    Attributes:
        size: Requests waiting.
        route_sizes: Requests waiting, by route.
        of_accounts: Requests waiting that belong to client accounts.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.routes: OrderedDict[RouteId, CallerQueues] = OrderedDict()
        self.size = 0
        self.route_sizes: dict[RouteId, int] = {}
        self.of_accounts = 0

    def add(self, waiter: Waiter) -> None:
        """Append `waiter` to the queue of its caller."""
        route = waiter.wanted.route.id
        callers = self.routes.setdefault(route, OrderedDict())
        callers.setdefault(waiter.turn_key, deque()).append(waiter)
        self.size += 1
        self.of_accounts += waiter.wanted.request.account is not None
        self.route_sizes[route] = self.route_sizes.get(route, 0) + 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter if it is still queued."""
        callers = self.routes.get(waiter.wanted.route.id)
        queue = callers.get(waiter.turn_key) if callers else None
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self._update_counts(waiter)

    def waiters(self) -> list[Waiter]:
        """Return all waiters."""
        return [
            waiter
            for callers in self.routes.values()
            for queue in callers.values()
            for waiter in queue
        ]

    def peek(
        self, order: Order, in_time: Callable[[Waiter], bool] = lambda _: True
    ) -> Waiter | None:
        """Return the waiter whose turn it is, or None.

        Args:
            order: Which of a caller's waiters goes first.
            in_time: Returns whether a waiter can still be answered in time;
                those that cannot go last.
        """
        first = None
        for callers in self.routes.values():
            for queue in callers.values():
                waiters = queue
                if order is Order.NEWEST_FIRST:
                    waiters = reversed(queue)
                for waiter in waiters:
                    if in_time(waiter):
                        return waiter
                    first = first or waiter
        return first

    def pop(self, waiter: Waiter) -> None:
        """Remove the waiter that `peek` returned and end its caller's turn."""
        route = waiter.wanted.route.id
        caller = waiter.turn_key
        self.remove(waiter)
        if route in self.routes:
            self.routes.move_to_end(route)
            if caller in self.routes[route]:
                self.routes[route].move_to_end(caller)

    def oldest_of_longest(self, route: RouteId) -> Waiter | None:
        """Return the oldest waiter of the route's caller with the most."""
        callers = self.routes.get(route)
        if not callers:
            return None
        return max(callers.values(), key=len)[0]

    def _update_counts(self, waiter: Waiter) -> None:
        route = waiter.wanted.route.id
        caller = waiter.turn_key
        self.size -= 1
        self.of_accounts -= waiter.wanted.request.account is not None
        self.route_sizes[route] -= 1
        callers = self.routes[route]
        if not callers[caller]:
            del callers[caller]
        if not callers:
            del self.routes[route]
            del self.route_sizes[route]


def new_queues() -> dict[Priority, FairQueue]:
    """Return an empty queue for each priority."""
    return {priority: FairQueue() for priority in Priority}
