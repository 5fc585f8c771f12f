"""Admit, queue or refuse the requests of one service."""

import math
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from agatetack.admission.controller import PermitRequest, Priority
from agatetack.admission.queue import FairQueue, Order, Waiter, new_queues
from agatetack.admission.ranks import RankOrder
from agatetack.balance.known_load import (
    REPORT_VALID_SECONDS,
    has_known_room,
)
from agatetack.balance.policy import Policy
from agatetack.balance.target_share import TargetShare
from agatetack.config.route import RequestClass, Route
from agatetack.ids import Deadline, ServiceId
from agatetack.lifecycle.in_flight import ServingEnd
from agatetack.outcomes import Refusal, RefusalReason, refuse
from agatetack.settings.model import Settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState, TargetStatus

if TYPE_CHECKING:
    from agatetack.admission.overload_gate import OverloadGate

LATENCY_WEIGHT = 0.05
"""Weight of one answer in the service's moving average of the latency."""

MIN_LATENCY_RATIO = 0.5
"""Ratio of the usual latency below which no answer is expected. A request
with less time left before its deadline is refused."""

SAFE_LATENCY_RATIO = 1.5
"""Ratio of the usual latency that has to be left of the time in which the host
still serves requests. One that is sent and then cut is worse for its caller
than one that another host takes."""

INTERVAL_WEIGHT = 0.1
"""Weight of one interval in the moving average of the time between two waiters
that get a target."""

IN_TIME_LATENCY_RATIO = 0.75
"""Ratio of the usual latency that has to be left of a route's target latency
for an answer to be in time.

Requests with less left go behind those that can still be answered in time.
"""

LATE_YIELD_SECONDS = 0.02
"""How long a freed slot is reserved for requests, on any host, that can still
meet their target latency. In this time about 14 hosts get their turn to take
the slot (see `measure.occupancy`)."""

MEASURE_INTERVAL_SECONDS = 0.25
"""How often a standing queue is measured against the time left."""

MAX_SPEED_UP = 2.0
"""How many times as fast as now a queue may be served soon. A waiter whose turn
comes too late even then is refused."""

LOW_PRIORITY_QUIET_SECONDS = 1.0
"""Time without normal-priority requests after which low-priority ones may use
every slot."""


class ServiceQueue:
    """The waiting requests of one service.

    Attributes:
        queues: Waiting requests, by priority.
        mean_latency: Moving average of the time to an answer, in seconds, or
            None before the first answer.
        mean_interval: Moving average of the time between two waiters that get
            a target, in seconds, or None before the first.
        last_served_at: When the last waiter got a target, or when the queue
            last became non-empty, if that is later.
        standing_since: Since when the queue has not been empty, or None.
        last_normal_at: When the last normal-priority request arrived.
        measured_at: When the queue was measured against the time left.
        ranks: The order of the requests of client accounts.
    """

    def __init__(
        self,
        service: ServiceId,
        settings: Settings,
        registry: TargetRegistry,
        policy: Policy,
        share: TargetShare,
        make_overload_gate: "Callable[[ServiceId], OverloadGate]",
        serving_end: ServingEnd | None = None,
    ):
        """Start with empty queues.

        Args:
            service: The service.
            settings: The host's settings.
            registry: The targets.
            policy: How a target is chosen.
            share: Limits what this host may send to each target.
            make_overload_gate: Returns what refuses requests of accounts while
                the service is overloaded. It is called for the first such
                request.
            serving_end: Until when the host serves requests; without an end if
                None.
        """
        self.serving_end = serving_end or ServingEnd()
        self.service = service
        self.settings = settings
        self.registry = registry
        self.policy = policy
        self.share = share
        self.make_overload_gate = make_overload_gate
        self.overload: OverloadGate | None = None
        self.queues = new_queues()
        self.mean_latency: float | None = None
        self.mean_interval: float | None = None
        self.last_served_at = Deadline(0.0)
        self.standing_since: Deadline | None = None
        self.last_normal_at = Deadline(float("-inf"))
        self.measured_at = Deadline(float("-inf"))
        self.ranks = RankOrder()

    @property
    def size(self) -> int:
        """Return how many requests are waiting."""
        return sum(queue.size for queue in self.queues.values())

    def check(self, wanted: PermitRequest, now: Deadline) -> Refusal | None:
        """Return a refusal if the request cannot be answered at all."""
        if wanted.priority is Priority.NORMAL:
            self.last_normal_at = now
        if wanted.wait and not wanted.avoid:
            self.ranks.note_arrival(wanted, now)
            if wanted.request.account is not None:
                if self.overload is None:
                    self.overload = self.make_overload_gate(self.service)
                self.overload.note_arrival(wanted, now)
        if now >= wanted.deadline:
            return self._refuse_late(now, "The deadline has passed.")
        refusal = self.check_stop(now)
        if refusal is not None:
            return refusal
        if not self._usable_targets(wanted.route):
            return self._refuse_without_target(now)
        if now + self.min_expected_latency > wanted.deadline:
            return self._refuse_late(
                now, "Answers take longer than the time left."
            )
        return None

    def check_queue(
        self, wanted: PermitRequest, now: Deadline
    ) -> Refusal | None:
        """Return a refusal if the request may not wait; may evict a waiter."""
        if self.overload is not None:
            refusal = self.overload.check(
                wanted,
                self._usable_targets(wanted.route),
                self._waits(now),
                now,
                self.settings.admission.retry_after_seconds,
            )
            if refusal is not None:
                return refusal
        queue = self.queues[wanted.priority]
        route = wanted.route
        newest_first = self._order(now) is Order.NEWEST_FIRST
        ahead = 0 if newest_first else self._waiting_ahead(wanted)
        max_in_time = self._max_sends_in_time(wanted, now)
        if max_in_time <= self._waiting_ahead(wanted):
            oldest = queue.oldest_of_longest(route.id)
            if not newest_first or oldest is None or not max_in_time:
                return self._refuse_for_share(wanted, now)
            # Newest first, the oldest waiter is served last, which is too late.
            self._evict(oldest, self._refuse_for_share(wanted, now))
        wait = ahead * (self.mean_interval or 0.0)
        if now + wait + self.min_expected_latency > wanted.deadline:
            return self._refuse_late(
                now, "The queue is longer than the time left."
            )
        if now + wait > self._last_send_at():
            return self._refuse_as_stopping(now)
        queue_limit = route.max_queue or self.settings.admission.max_queue
        if queue.route_sizes.get(route.id, 0) < queue_limit:
            return None
        oldest = queue.oldest_of_longest(route.id)
        if newest_first and oldest is not None:
            refusal = self.refuse_full(now, "Newer requests go first now.")
            self._evict(oldest, refusal)
            return None
        return self.refuse_full(now, "The route's queue is full.")

    def _usable_targets(self, route: Route) -> Sequence[TargetState]:
        """Return the targets that may get new requests of `route`."""
        return self.registry.targets_in(self.service, route.regions)

    def _next_send_at(self, wanted: PermitRequest, now: Deadline) -> Deadline:
        """Return the earliest time this host may send to one of the targets."""
        targets = self._usable_targets(wanted.route)
        restricted = self.share.restricted(targets, now)
        times = [self.share.next_send_at(target, now) for target in restricted]
        if len(restricted) < len(targets):
            times.append(now)
        return min(times)

    def _max_sends_in_time(self, wanted: PermitRequest, now: Deadline) -> float:
        """Return how many requests this host's share allows in time."""
        until = Deadline(wanted.deadline - self.min_expected_latency)
        targets = self._usable_targets(wanted.route)
        restricted = self.share.restricted(targets, now)
        sends = sum(
            self.share.max_requests_until(target, now, until)
            for target in restricted
        )
        if len(restricted) < len(targets) and now <= until:
            return math.inf
        return sends

    def _fleet_next_send_at(self, route: Route, now: Deadline) -> Deadline:
        """Return the earliest time any host may send to one of the targets."""
        targets = self._usable_targets(route)
        restricted = self.share.restricted(targets, now)
        times = [
            self.share.fleet_next_send_at(target, now) for target in restricted
        ]
        if len(restricted) < len(targets):
            times.append(now)
        return min(times)

    def choose_now(
        self, wanted: PermitRequest, now: Deadline
    ) -> TargetState | None:
        """Return a target unless other waiting requests go first."""
        for priority, queue in self.queues.items():
            if queue.size and priority is not Priority.LOW:
                return None
        if wanted.priority is Priority.LOW and self.queues[Priority.LOW].size:
            return None
        target = self._choose(wanted, now)
        if target is not None:
            self.ranks.note_served(wanted, now)
            self.note_wait(wanted, now, now, served=True)
        return target

    def add(self, waiter: Waiter, now: Deadline) -> None:
        """Add `waiter` to the queue of its priority."""
        if not self.size:
            self.standing_since = now
            self.last_served_at = now
        self.queues[waiter.wanted.priority].add(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove `waiter` if it is still queued."""
        self.queues[waiter.wanted.priority].remove(waiter)
        if not self.size:
            self.standing_since = None

    def serve(self, now: Deadline) -> None:
        """Assign free targets to waiting requests, normal priority first."""
        for priority in (Priority.NORMAL, Priority.LOW):
            queue = self.queues[priority]
            while self._serve_one(queue, now):
                pass
            if queue.size:
                return

    def refuse_all(self, now: Deadline) -> None:
        """Refuse all waiting requests, as no target of the service takes work.

        A refused caller can retry at once, whereas a request that waits for
        targets that may not come back fails only at its deadline.
        """
        for queue in self.queues.values():
            for waiter in queue.waiters():
                waiter.refusal = self._refuse_without_target(now)
                queue.remove(waiter)
                waiter.end()

    def _refuse_for_share(
        self, wanted: PermitRequest, now: Deadline
    ) -> Refusal:
        return refuse(
            RefusalReason.NO_TARGET,
            "No target of the service takes one more request in time.",
            self._fleet_next_send_at(wanted.route, now),
        )

    def _refuse_without_target(self, now: Deadline) -> Refusal:
        return refuse(
            RefusalReason.NO_TARGET,
            "No target of the service takes work now.",
            self.retry_at(now),
        )

    def give_up_at(self, wanted: PermitRequest, now: Deadline) -> Deadline:
        """Return when a target would be free too late to answer in time."""
        latest = wanted.deadline - self.min_expected_latency
        return Deadline(max(now, min(latest, self._last_send_at())))

    def check_stop(self, now: Deadline) -> Refusal | None:
        """Return a refusal if the host stops before an answer would come."""
        if now < self._last_send_at():
            return None
        return self._refuse_as_stopping(now)

    def stop(self, now: Deadline) -> None:
        """Refuse what can't be served before the host stops.

        The rest is refused once it gets too late for it.
        """
        interval = self.mean_interval or 0.0
        at = max(now, self.last_served_at)
        for waiter in self._in_turn(now):
            at += interval
            if at > self._last_send_at():
                self._evict(waiter, self._refuse_as_stopping(now))
                continue
            waiter.waiting.deadline = min(
                waiter.waiting.deadline, self._last_send_at()
            )

    def refuse_unservable(self, now: Deadline) -> None:
        """Refuse the waiters whose turn comes after their deadline.

        While a queue stands, the newest go first, so that the oldest would only
        wait for their deadline. Requests of client accounts are refused by the
        overload control.
        """
        if (
            now < self.measured_at + MEASURE_INTERVAL_SECONDS
            or not self.mean_interval
            or self._order(now) is not Order.NEWEST_FIRST
            or any(queue.of_accounts for queue in self.queues.values())
        ):
            return
        self.measured_at = now
        at = now
        for waiter in self._in_turn(now):
            at += self.mean_interval / MAX_SPEED_UP
            if at + self.min_expected_latency > waiter.wanted.deadline:
                refusal = self._refuse_late(
                    now, "The queue is longer than the time left."
                )
                self._evict(waiter, refusal)

    def _in_turn(self, now: Deadline) -> Sequence[Waiter]:
        """Return all waiters, roughly in the order in which they are served."""
        newest_first = self._order(now) is Order.NEWEST_FIRST
        return [
            waiter
            for priority in (Priority.NORMAL, Priority.LOW)
            for waiter in sorted(
                self.queues[priority].waiters(),
                key=lambda each: each.since,
                reverse=newest_first,
            )
        ]

    def _last_send_at(self) -> Deadline:
        """Return until when requests may be sent before the host stops."""
        usual = self.mean_latency or 0.0
        return Deadline(self.serving_end.until - SAFE_LATENCY_RATIO * usual)

    def refuse_unserved(self, now: Deadline) -> Refusal:
        """Return the refusal of a request that got no target in time."""
        if self.serving_end.until < math.inf:
            return self._refuse_as_stopping(now)
        return refuse(
            RefusalReason.DEADLINE_EXCEEDED_IN_QUEUE,
            "No target was free in time.",
            self.retry_at(now),
        )

    def _refuse_as_stopping(self, now: Deadline) -> Refusal:
        """Refuse a request that another host takes at once."""
        return refuse(
            RefusalReason.SHUTTING_DOWN,
            "This host is leaving and can't serve the request in time.",
            now,
        )

    def retry_at(self, now: Deadline) -> Deadline:
        """Return when a refused caller should retry."""
        wait = self.queues[Priority.NORMAL].size * (self.mean_interval or 0.0)
        min_wait = self.settings.admission.retry_after_seconds
        return Deadline(now + max(min_wait, wait))

    def route_retry_at(self, route: Route, now: Deadline) -> Deadline:
        """Return when a caller should retry that the targets refused.

        The delay that one target asked for does not apply to the others.
        """
        retry_at = self.retry_at(now)
        if not self._usable_targets(route):
            return retry_at
        return max(retry_at, self._fleet_next_send_at(route, now))

    def poll_from(self, wanted: PermitRequest, now: Deadline) -> Deadline:
        """Return when a waiting request has to start polling for a target.

        No event announces that this host's share of a target allows another
        request, or that load estimates decay once the answer is late.
        """
        late_at = self.late_at(wanted)
        targets = self._usable_targets(wanted.route)
        if not targets:
            return late_at
        if wanted.route.request_class is RequestClass.ONCE and (
            self.settings.targets.max_queued is not None
        ):
            # No event announces that a report is too old to count.
            late_at = min(late_at, Deadline(now + REPORT_VALID_SECONDS))
        next_send_at = self._next_send_at(wanted, now)
        return min(late_at, next_send_at) if next_send_at > now else late_at

    def late_at(self, wanted: PermitRequest) -> Deadline:
        """Return from when on the route's target latency cannot be met."""
        target = wanted.route.target_latency_seconds
        if not target:
            return wanted.deadline
        usual = IN_TIME_LATENCY_RATIO * (self.mean_latency or 0.0)
        return Deadline(wanted.request.arrived + target - usual)

    def refuse_full(self, now: Deadline, detail: str) -> Refusal:
        """Return the refusal of a request for which there is no capacity."""
        return refuse(RefusalReason.QUEUE_FULL, detail, self.retry_at(now))

    def _waits(self, now: Deadline) -> list[tuple[float, float]]:
        """Return how long requests have waited, and how long they may."""
        queue = self.queues[Priority.NORMAL]
        if not queue.of_accounts:
            return []
        return [
            (now - each.since, self._longest_wait(each.wanted))
            for each in queue.waiters()
        ]

    def _longest_wait(self, wanted: PermitRequest) -> float:
        return self.late_at(wanted) - wanted.request.arrived

    def note_wait(
        self,
        wanted: PermitRequest,
        since: Deadline,
        now: Deadline,
        served: bool,
    ) -> None:
        """Count how long a request waited, and whether it got a target."""
        if self.overload is None:
            return
        longest = self._longest_wait(wanted)
        self.overload.note_wait(wanted, now - since, longest, now, served)

    def stops_second_attempt(self, has_account: bool, now: Deadline) -> bool:
        """Return whether an overload forbids a second attempt; count it."""
        if self.overload is None:
            return False
        return self.overload.stops_second_attempt(has_account, now)

    def note_latency(self, latency: float) -> None:
        """Update the moving average of the time to an answer."""
        if self.mean_latency is None:
            self.mean_latency = latency
        else:
            self.mean_latency += LATENCY_WEIGHT * (latency - self.mean_latency)

    @property
    def min_expected_latency(self) -> float:
        """Return the shortest time in which an answer is expected."""
        return MIN_LATENCY_RATIO * (self.mean_latency or 0.0)

    def _refuse_late(self, now: Deadline, detail: str) -> Refusal:
        return refuse(
            RefusalReason.CANNOT_MEET_DEADLINE, detail, self.retry_at(now)
        )

    def _order(self, now: Deadline) -> Order:
        since = self.standing_since
        standing = self.settings.admission.standing_queue_seconds
        if since is not None and now - since >= standing:
            return Order.NEWEST_FIRST
        return Order.OLDEST_FIRST

    def _waiting_ahead(self, wanted: PermitRequest) -> int:
        queue = self.queues[Priority.NORMAL]
        ranked = wanted.priority is Priority.NORMAL
        if ranked and wanted.request.account is not None and queue.of_accounts:
            return self.ranks.count_ahead(queue.waiters(), wanted)
        ahead = self.queues[Priority.NORMAL].size
        if wanted.priority is Priority.LOW:
            ahead += self.queues[Priority.LOW].size
        return ahead

    def _evict(self, waiter: Waiter, refusal: Refusal) -> None:
        waiter.refusal = refusal
        self.queues[waiter.wanted.priority].remove(waiter)
        waiter.end()

    def _serve_one(self, queue: FairQueue, now: Deadline) -> bool:
        for waiter in self._next_waiters(queue, now):
            target = self._choose(waiter.wanted, now)
            if target is not None:
                self._grant(queue, waiter, target, now)
                return True
            self._wake_after_yield(waiter, now)
        return False

    def _next_waiters(
        self, queue: FairQueue, now: Deadline
    ) -> Sequence[Waiter]:
        """Return the waiters that may get the next target, best first."""

        def in_time(waiter: Waiter) -> bool:
            return now < self.late_at(waiter.wanted)

        order = self._order(now)
        if queue.of_accounts:
            return self.ranks.candidates(queue.waiters(), order, in_time, now)
        waiter = queue.peek(order, in_time)
        return [] if waiter is None else [waiter]

    def _wake_after_yield(self, waiter: Waiter, now: Deadline) -> None:
        """Have a waiter look again once the slots that it leaves are free."""
        wait = self.ranks.yield_seconds(waiter.wanted, now)
        if not wait:
            return
        free_at = [
            Deadline(target.free_slot_at + wait)
            for target in self._usable_targets(waiter.wanted.route)
            if target.free_slot_at <= now < target.free_slot_at + wait
        ]
        if free_at:
            waiter.wake_at(min(free_at))

    def _grant(
        self,
        queue: FairQueue,
        waiter: Waiter,
        target: TargetState,
        now: Deadline,
    ) -> None:
        queue.pop(waiter)
        self.ranks.note_served(waiter.wanted, now)
        self.note_wait(waiter.wanted, waiter.since, now, served=True)
        # Counted here and not by the woken task, as other tasks may choose a
        # target before that one runs.
        target.in_flight += 1
        waiter.target = target
        waiter.end()
        self._note_served(now)

    def _note_served(self, now: Deadline) -> None:
        interval = now - self.last_served_at
        self.last_served_at = now
        if self.mean_interval is None:
            self.mean_interval = interval
        else:
            self.mean_interval += INTERVAL_WEIGHT * (
                interval - self.mean_interval
            )

    def _choose(
        self, wanted: PermitRequest, now: Deadline
    ) -> TargetState | None:
        free = self._free_targets(
            self._usable_targets(wanted.route), wanted, now
        )
        if not free:
            return None
        target = self.policy.choose(free, now)
        for changed in self.policy.take_changed():
            self.registry.note_slowness(changed)
        if target is None:
            return None
        if target.status is TargetStatus.COLD:
            self.registry.mark_ready_if_warm(target, now)
        self.share.record_request(target)
        return target

    def _free_targets(
        self,
        usable: Sequence[TargetState],
        wanted: PermitRequest,
        now: Deadline,
    ) -> Sequence[TargetState]:
        free = [target for target in usable if target.in_flight < target.limit]
        restricted = {t.id for t in self.share.restricted(free, now)}
        if restricted:
            free = [
                target
                for target in free
                if target.id not in restricted or self.share.allows(target)
            ]
        if wanted.route.request_class is RequestClass.ONCE:
            free = [t for t in free if has_known_room(self.settings, t, now)]
        if wanted.avoid:
            others = [t for t in free if t.id not in wanted.avoid]
            # If there is no other target, a retry may go to the same one again,
            # but a hedge would only queue there behind its own first attempt.
            if others or not wanted.wait:
                free = others
        free = _without_unsuitable_trials(free, wanted)
        wait = self.ranks.yield_seconds(wanted, now)
        if wait:
            free = [
                target
                for target in free
                if not target.free_slot_at or target.free_slot_at + wait <= now
            ]
        if now >= self.late_at(wanted):
            latest = now - LATE_YIELD_SECONDS - wait
            free = [
                target
                for target in free
                if target.free_slot_at <= latest
                and self.policy.has_free_slot(target, now)
            ]
        if not wanted.wait:
            free = self.policy.hedge_candidates(free, now)
        elif restricted:
            due = [
                target
                for target in free
                if target.id in restricted and self.share.is_due(target, now)
            ]
            free = due or free
        if wanted.priority is Priority.LOW:
            return self._with_idle_slots(free, now)
        return free

    def _with_idle_slots(
        self, free: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        reserve = (
            1 if now - self.last_normal_at < LOW_PRIORITY_QUIET_SECONDS else 0
        )
        return [
            target
            for target in free
            if self.policy.expected_load(target, now) + 1 + reserve
            <= target.slots + 0.5
        ]


def _without_unsuitable_trials(
    free: Sequence[TargetState], wanted: PermitRequest
) -> Sequence[TargetState]:
    """Return the targets without those on trial that should not get `wanted`.

    A target on trial gets one request at a time. A retry, or a request that has
    one attempt only, goes to a target that is not on trial if there is one.
    """
    # Tests the field instead of `on_trial`, as it is done for each target.
    proven = [target for target in free if not target.pushbacks]
    if len(proven) == len(free) or not wanted.wait:
        # A hedge is not needed, as the first attempt is still in flight.
        return proven
    if wanted.avoid or wanted.route.max_attempts == 1:
        return proven or free
    return [
        target for target in free if not target.on_trial or not target.in_flight
    ]
