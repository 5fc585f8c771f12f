"""Grant requests permits to go to targets, or queue or refuse them."""

import itertools
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio
from returns.result import Failure, Result, Success

from agatetack.admission.controller import (
    AdmissionController,
    AttemptResult,
    Permit,
    PermitRequest,
    Priority,
)
from agatetack.admission.limits import TargetLimits
from agatetack.admission.queue import Waiter
from agatetack.admission.rates import RouteRates
from agatetack.admission.service_queue import ServiceQueue
from agatetack.balance.policy import Policy
from agatetack.balance.target_share import TargetShare, UnlimitedShare
from agatetack.config.route import Route
from agatetack.ids import Deadline, ServiceId
from agatetack.late import LateModule
from agatetack.lifecycle.in_flight import ServingEnd
from agatetack.messages import CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal, RefusalReason, refuse
from agatetack.settings.model import Settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState

if TYPE_CHECKING:
    from agatetack.admission.overload import OverloadControl
    from agatetack.admission.overload_gate import OverloadGate, OverloadMetrics

# Loaded for the first request of a client account.
overload = LateModule("agatetack.admission.overload")
overload_gate = LateModule("agatetack.admission.overload_gate")
pressure = LateModule("agatetack.admission.pressure")

LATENCY_WEIGHT = 0.1
"""Weight of one answer in the moving average of a target's latency."""

LOW_PRIORITY_POLL_SECONDS = 0.05
"""How often a waiting low-priority request polls for a free slot."""

LATE_POLL_SECONDS = 0.02
"""How often a waiting request that can no longer meet its route's target
latency polls for a free slot."""


class ServicePermit(Permit):
    """Permission to send one attempt, which its target counts as in flight.

    Attributes:
        waiting: Estimated requests at the target when this was granted.
        started: When this was granted.
        undone: Failures of the target that were reset when the
            answer's headers arrived.
    """

    __slots__ = (
        "target",
        "admission",
        "number",
        "waiting",
        "started",
        "undone",
        "done",
    )

    def __init__(
        self,
        admission: "ServiceAdmission",
        target: TargetState,
        number: int,
        waiting: float,
        started: Deadline,
    ):
        """Store what the release needs."""
        self.target = target
        self.admission = admission
        self.number = number
        self.waiting = waiting
        self.started = started
        self.undone = 0
        self.done = False

    def answered_headers(self, latency: float) -> None:
        """Record that the headers arrived `latency` seconds after the start."""
        self.admission.note_answer(self, latency)

    def release(self, result: AttemptResult) -> None:
        """Release the target's slot; a second release does nothing."""
        if self.done:
            return
        self.done = True
        self.admission.note_release(self, result)


class ServiceAdmission(AdmissionController):
    """One queue for each service, in front of its targets.

    Attributes:
        service_queues: The queue of each service.
    """

    def __init__(
        self,
        settings: Settings,
        registry: TargetRegistry,
        policy: Policy,
        metrics: Metrics,
        fleet_size: Callable[[], int] = lambda: 1,
        share: TargetShare | None = None,
        make_control: "Callable[[], OverloadControl] | None" = None,
        serving_end: ServingEnd | None = None,
    ):
        """Watch the registry, to serve waiting requests when it changes.

        Args:
            settings: The host's settings.
            registry: The targets.
            policy: How a target is chosen.
            metrics: Where queued requests are counted; refusals are counted by
                the caller of `acquire`.
            fleet_size: Returns the number of hosts, for routes with a rate.
            share: Limits what this host may send to each target; unlimited if
                None.
            make_control: Returns what decides which requests of client
                accounts are refused while a service is overloaded; shares of
                the slots if None.
            serving_end: Until when the host serves requests; without an end if
                None.
        """
        self.serving_end = serving_end or ServingEnd()
        self.serving_end.watchers.append(self._stop_queues)
        self.make_control = make_control
        self.share = share or UnlimitedShare()
        self.settings = settings
        self.registry = registry
        self.policy = policy
        self.metrics = metrics
        self.limits = TargetLimits(settings)
        self.rates = RouteRates(fleet_size)
        self.service_queues: dict[ServiceId, ServiceQueue] = {}
        self.permit_numbers = itertools.count()
        self.queued = metrics.gauge(
            "agatetack_queued", "Requests waiting for a target, by service."
        )
        self.queue_waits = metrics.counter(
            "agatetack_queue_waits_total",
            "Requests that waited for a target, by service and result.",
        )
        self.overload_metrics: OverloadMetrics | None = None
        registry.watchers.append(self._targets_changed)

    async def acquire(self, wanted: PermitRequest) -> Result[Permit, Refusal]:
        """Return a permit, or the refusal of a request that was not run."""
        now = Deadline(trio.current_time())
        route = wanted.route
        first_attempt = wanted.wait and not wanted.avoid
        if route.requests_per_second and first_attempt:
            retry_at = self.rates.take(route)
            if retry_at is not None:
                return Failure(
                    refuse(
                        RefusalReason.RATE_LIMITED,
                        "The route's rate is used up.",
                        retry_at,
                    )
                )
        queue = self._service_queue(route.service)
        refusal = queue.check(wanted, now)
        if refusal is not None:
            return Failure(refusal)
        target = queue.choose_now(wanted, now)
        if target is not None:
            return Success(self._permit(target, now))
        if not wanted.wait:
            return Failure(queue.refuse_full(now, "No target is free."))
        return await self._wait(queue, wanted, now)

    def retry_at(self, route: Route) -> Deadline:
        """Return when a refused caller should retry."""
        now = Deadline(trio.current_time())
        return self._service_queue(route.service).route_retry_at(route, now)

    def stops_second_attempts(
        self, route: Route, request: CallerRequest
    ) -> bool:
        """Return whether the request's service is overloaded."""
        now = Deadline(trio.current_time())
        return self._service_queue(route.service).stops_second_attempt(
            request.account is not None, now
        )

    async def _wait(
        self, queue: ServiceQueue, wanted: PermitRequest, now: Deadline
    ) -> Result[Permit, Refusal]:
        refusal = queue.check_queue(wanted, now)
        if refusal is not None:
            return Failure(refusal)
        waiter = Waiter(wanted, now)
        queue.add(waiter, now)
        # A slot may have become free while other requests were waiting.
        self._serve(queue, now)
        self._update_queue_gauge(queue)
        try:
            await self._wait_until_served(queue, waiter, now)
        except trio.Cancelled:
            if waiter.target is not None:
                self._release_slot(waiter.target)
            raise
        finally:
            queue.remove(waiter)
            self._update_queue_gauge(queue)
        now = Deadline(trio.current_time())
        if waiter.target is not None:
            self._count_wait(queue, "served")
            return Success(
                self._permit(waiter.target, now, already_counted=True)
            )
        self._count_wait(queue, "refused")
        queue.note_wait(wanted, waiter.since, now, served=False)
        if waiter.refusal is not None:
            return Failure(waiter.refusal)
        return Failure(queue.refuse_unserved(now))

    async def _wait_until_served(
        self, queue: ServiceQueue, waiter: Waiter, now: Deadline
    ) -> None:
        with waiter.waiting:
            waiter.waiting.deadline = queue.give_up_at(waiter.wanted, now)
            poll = LOW_PRIORITY_POLL_SECONDS
            if waiter.wanted.priority is not Priority.LOW:
                await self._wait_until(
                    queue, waiter, queue.poll_from(waiter.wanted, now)
                )
                poll = LATE_POLL_SECONDS
            with waiter.polling:
                await self._poll(queue, waiter, poll)

    async def _poll(
        self, queue: ServiceQueue, waiter: Waiter, seconds: float
    ) -> None:
        """Look for a target every `seconds`, for all waiters of a priority.

        Load estimates decay with time, and other hosts' turns to take a slot
        pass, neither of which triggers an event.
        """
        async with queue.queues[waiter.wanted.priority].poll_turn:
            while not waiter.event.is_set():
                with trio.move_on_after(seconds):
                    await waiter.event.wait()
                now = Deadline(trio.current_time())
                self._serve(queue, now)
                queue.refuse_unservable(now)

    async def _wait_until(
        self, queue: ServiceQueue, waiter: Waiter, until: Deadline
    ) -> None:
        """Wait until `until`, or a target; look again after each yield."""
        while True:
            with trio.move_on_at(min(until, waiter.look_at)) as waiter.timer:
                await waiter.event.wait()
            now = Deadline(trio.current_time())
            if waiter.event.is_set() or now >= until:
                return
            waiter.look_at = Deadline(math.inf)
            self._serve(queue, now)

    def note_answer(self, permit: ServicePermit, latency: float) -> None:
        """Update the estimates of the target from an answer's headers."""
        now = Deadline(trio.current_time())
        target = permit.target
        target.last_answer_at = now
        permit.undone = target.failures
        target.failures = 0
        target.recent.append(latency)
        if target.latency is None:
            target.latency = latency
        else:
            target.latency += LATENCY_WEIGHT * (latency - target.latency)
        # The wait for a slot ends with the headers. A long body must not make
        # the target look stuck.
        target.learned.sent.pop(permit.number, None)
        self.policy.answered(target, latency, permit.waiting, now)
        self.limits.answered(target)
        self._service_queue(target.service).note_latency(latency)

    def note_release(
        self, permit: ServicePermit, result: AttemptResult
    ) -> None:
        """Release a slot and serve the requests that wait for it."""
        now = Deadline(trio.current_time())
        target = permit.target
        target.in_flight -= 1
        if target.free_slot_at:
            # Hosts take turns at this target's slots. This host freed the slot
            # itself, so it need not wait for its turn.
            target.free_slot_at = now
        target.learned.sent.pop(permit.number, None)
        if result is AttemptResult.SHED:
            self.limits.shed(target)
            self.policy.shed(target, now)
        elif result is AttemptResult.FAILED:
            # A truncated answer is a failure, so the failures that its
            # headers reset count again.
            target.failures += 1 + permit.undone
            self.policy.failed(target, now)
        # This host's own waiting requests go first, as other hosts learn of the
        # free slot only after a message has reached them.
        self._serve(self._service_queue(target.service), now)
        self.registry.note_in_flight(target)

    def _service_queue(self, service: ServiceId) -> ServiceQueue:
        queue = self.service_queues.get(service)
        if queue is None:
            queue = ServiceQueue(
                service,
                self.settings,
                self.registry,
                self.policy,
                self.share,
                self._make_overload_gate,
                self.serving_end,
            )
            self.service_queues[service] = queue
        return queue

    def _make_overload_gate(self, service: ServiceId) -> "OverloadGate":
        if self.overload_metrics is None:
            self.overload_metrics = overload_gate.OverloadMetrics(self.metrics)
        make_control = self.make_control or overload.SlotShares
        return overload_gate.OverloadGate(
            service,
            pressure.PressureMeter(self.policy.has_free_slot),
            make_control(),
            self.overload_metrics,
        )

    def _permit(
        self, target: TargetState, now: Deadline, already_counted: bool = False
    ) -> ServicePermit:
        waiting = self.policy.expected_load(target, now)
        if already_counted:
            waiting -= 1
        else:
            target.in_flight += 1
        number = next(self.permit_numbers)
        target.learned.sent[number] = now
        target.last_chosen_at = now
        target.report_uses += 1
        self.policy.sent(target, now)
        self.registry.note_in_flight(target)
        for watcher in self.registry.choice_watchers:
            watcher(target.service)
        return ServicePermit(self, target, number, waiting, now)

    def _release_slot(self, target: TargetState) -> None:
        target.in_flight -= 1
        now = Deadline(trio.current_time())
        self._serve(self._service_queue(target.service), now)
        self.registry.note_in_flight(target)

    def _targets_changed(self, service: ServiceId) -> None:
        queue = self.service_queues.get(service)
        if queue is None or not queue.size:
            return
        now = Deadline(trio.current_time())
        if self.registry.targets(service):
            self._serve(queue, now)
        else:
            queue.refuse_all(now)

    def _stop_queues(self) -> None:
        """Refuse the waiting requests that can't be served any more."""
        now = Deadline(trio.current_time())
        for queue in self.service_queues.values():
            if queue.size:
                queue.stop(now)

    def _serve(self, queue: ServiceQueue, now: Deadline) -> None:
        if queue.size:
            queue.serve(now)

    def _update_queue_gauge(self, queue: ServiceQueue) -> None:
        self.queued.set({"service": queue.service}, queue.size)

    def _count_wait(self, queue: ServiceQueue, result: str) -> None:
        self.queue_waits.inc({"service": queue.service, "result": result})
