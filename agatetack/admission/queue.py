"""Queue requests that wait for a target, fairly between routes and callers."""

import dataclasses
import enum
import math
from collections import OrderedDict
from collections.abc import Callable, Iterator

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
        polling: Scope of its turn to poll for all waiters of its queue, and of
            its wait for that turn.
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
    polling: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )

    @property
    def turn_key(self) -> CallerId:
        """Return whose turns it takes: its account's, or else its caller's."""
        request = self.wanted.request
        if request.account is None:
            return request.caller
        return CallerId(f"account {request.account.id}")

    def end(self) -> None:
        """Wake up its task, as it has a target or a refusal."""
        self.event.set()
        self.polling.cancel()

    def wake_at(self, at: Deadline) -> None:
        """Have its task look for a target at `at`, or earlier."""
        self.look_at = min(self.look_at, at)
        if self.timer is not None:
            self.timer.deadline = min(self.timer.deadline, at)


WaiterQueue = OrderedDict[Waiter, None]
"""Waiters of one caller, oldest first. Unlike a deque, it removes any of them
at the same cost, however many there are."""

CallerQueues = OrderedDict[CallerId, WaiterQueue]


class Turns:
    """Waiters whose routes, and whose callers within a route, take turns.

    Attributes:
        routes: The waiters of each caller, by route, in the order of turns.
    """

    def __init__(self) -> None:
        """Start without waiters."""
        self.routes: OrderedDict[RouteId, CallerQueues] = OrderedDict()

    def add(self, waiter: Waiter) -> None:
        """Append `waiter` to the queue of its caller."""
        route = waiter.wanted.route.id
        callers = self.routes.setdefault(route, OrderedDict())
        callers.setdefault(waiter.turn_key, OrderedDict())[waiter] = None

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter, and return whether it was there."""
        route, caller = waiter.wanted.route.id, waiter.turn_key
        queue = self.queue(route, caller)
        if waiter not in queue:
            return False
        del queue[waiter]
        if not queue:
            del self.routes[route][caller]
        if not self.routes[route]:
            del self.routes[route]
        return True

    def queue(self, route: RouteId, caller: CallerId) -> WaiterQueue:
        """Return the waiters of one caller on one route."""
        return self.routes.get(route, {}).get(caller) or OrderedDict()

    def end_turn(self, route: RouteId, caller: CallerId) -> None:
        """Have all others go before a route, and a caller of it."""
        if route in self.routes:
            self.routes.move_to_end(route)
            if caller in self.routes[route]:
                self.routes[route].move_to_end(caller)

    def first(self, order: Order) -> Waiter | None:
        """Return the waiter whose turn it is, or None."""
        for callers in self.routes.values():
            for queue in callers.values():
                return first_of(queue, order)
        return None

    def __iter__(self) -> Iterator[Waiter]:
        """Return all waiters."""
        for callers in self.routes.values():
            for queue in callers.values():
                yield from queue


def first_of(queue: WaiterQueue, order: Order) -> Waiter:
    """Return the waiter of one caller that goes first."""
    if order is Order.NEWEST_FIRST:
        return next(reversed(queue))
    return next(iter(queue))


class FairQueue:
    """Waiting requests of one priority.

    Routes are served round-robin, and so are the callers of a route, so that
    one busy caller cannot delay the others.

    A waiter that is found late is kept apart for good, so that no look for one
    that can still be in time meets it again: a look costs the same however many
    are late.

    Attributes:
        in_time: Waiters that were not found late.
        late: Waiters that can't be answered in time.
        size: Requests waiting.
        route_sizes: Requests waiting, by route.
        of_accounts: Requests waiting that belong to client accounts.
        poll_turn: Held by the one waiter that polls for all that have to.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.poll_turn = trio.Lock()
        self.in_time = Turns()
        self.late = Turns()
        self.size = 0
        self.route_sizes: dict[RouteId, int] = {}
        self.of_accounts = 0

    def add(self, waiter: Waiter) -> None:
        """Append `waiter` to the queue of its caller."""
        route = waiter.wanted.route.id
        self.in_time.add(waiter)
        self.size += 1
        self.of_accounts += waiter.wanted.request.account is not None
        self.route_sizes[route] = self.route_sizes.get(route, 0) + 1

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter if it is still queued."""
        if self.in_time.remove(waiter) or self.late.remove(waiter):
            self._update_counts(waiter)

    def waiters(self) -> list[Waiter]:
        """Return all waiters."""
        return [*self.in_time, *self.late]

    def peek(
        self, order: Order, in_time: Callable[[Waiter], bool] = lambda _: True
    ) -> Waiter | None:
        """Return the waiter whose turn it is, or None.

        Args:
            order: Which of a caller's waiters goes first.
            in_time: Returns whether a waiter can still be answered in time;
                those that cannot go last.
        """
        while (first := self.in_time.first(order)) is not None:
            self._set_late_apart(first, in_time)
            if self.in_time.first(order) is first:
                return first
        return self.late.first(order)

    def _set_late_apart(
        self, first: Waiter, in_time: Callable[[Waiter], bool]
    ) -> None:
        """Set apart the waiters of one caller that can't be in time.

        The oldest are late first, but for one that came back after a failed
        attempt: it is as old as its request, and is looked at by itself.
        """
        route, caller = first.wanted.route.id, first.turn_key
        queue = self.in_time.queue(route, caller)
        while queue:
            oldest = first_of(queue, Order.OLDEST_FIRST)
            if in_time(oldest):
                break
            self._set_apart(oldest)
        if first in queue and not in_time(first):
            self._set_apart(first)

    def _set_apart(self, waiter: Waiter) -> None:
        self.in_time.remove(waiter)
        self.late.add(waiter)

    def pop(self, waiter: Waiter) -> None:
        """Remove the waiter that `peek` returned and end its caller's turn."""
        self.remove(waiter)
        for turns in (self.in_time, self.late):
            turns.end_turn(waiter.wanted.route.id, waiter.turn_key)

    def oldest_of_longest(self, route: RouteId) -> Waiter | None:
        """Return the oldest waiter of the route's caller with the most."""
        waiting: dict[CallerId, int] = {}
        for turns in (self.in_time, self.late):
            for caller, queue in turns.routes.get(route, {}).items():
                waiting[caller] = waiting.get(caller, 0) + len(queue)
        if not waiting:
            return None
        caller = max(waiting, key=waiting.__getitem__)
        oldest = [
            first_of(queue, Order.OLDEST_FIRST)
            for turns in (self.in_time, self.late)
            if (queue := turns.queue(route, caller))
        ]
        return min(oldest, key=lambda waiter: waiter.since)

    def _update_counts(self, waiter: Waiter) -> None:
        route = waiter.wanted.route.id
        self.size -= 1
        self.of_accounts -= waiter.wanted.request.account is not None
        self.route_sizes[route] -= 1
        if not self.route_sizes[route]:
            del self.route_sizes[route]


def new_queues() -> dict[Priority, FairQueue]:
    """Return an empty queue for each priority."""
    return {priority: FairQueue() for priority in Priority}
