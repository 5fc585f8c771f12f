"""Count targets that a request crashed, and refuse it after two.

A lost connection counts at once, so that the request can't crash a third target
while the second one is checked. The count is reverted if the target is found to
be alive, or when any target responds to the request. A request that is sent
often and coincides with a crash by chance gets a response soon after, so it is
never refused for long.
"""

import collections
import dataclasses
from typing import TYPE_CHECKING

import trio

from agatetack.config.route import RequestClass, Route
from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, HostId, ProcessId, RouteId, ServiceId
from agatetack.late import LateModule
from agatetack.logs import PartLog
from agatetack.messages import CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, Refusal, RefusalReason, refuse
from agatetack.peers.exchange import Exchange, Topic
from agatetack.quarantine.liveness import LivenessCheck
from agatetack.quarantine.tracker import CrashTracker, Fingerprint, fingerprint
from agatetack.settings.model import Settings
from agatetack.thrift_codec import MalformedMessage, decode, encode

if TYPE_CHECKING:
    from agatetack.generated.quarantine.ttypes import CrashNotice

crash_messages = LateModule("agatetack.generated.quarantine.ttypes")

MAX_PENDING_CHECKS = 1000
"""Maximum number of lost connections that wait to be checked; further ones are
not checked."""

REPEAT_SECONDS = 2.0
"""Interval at which losses seen by this host are published again."""

REPEAT_FOR_SECONDS = 2 * REPEAT_SECONDS
"""For how long a loss is published again."""

REPETITION_WINDOW_SECONDS = 5 * REPEAT_SECONDS
"""Within this time a notice about a loss of the same target and request is a
repetition; later it is a new loss."""

ANSWERED_SECONDS = 10.0
"""For how long a response raises the number of crashes at which its request is
refused, by one. A request that crashes its targets gets no response, while a
harmless one may lose two targets to crashes by another request."""

MAX_ANSWERED_REQUESTS = 4096
"""Maximum number of requests whose last response is remembered."""

FINGERPRINT_BYTES = 16

log = PartLog("quarantine")
decisions = DecisionLog("quarantine")


@dataclasses.dataclass(slots=True)
class Suspicion:
    """The crashes that one request is suspected of.

    Attributes:
        route: Its route.
        service: The route's service.
        lost_at_by_target: When each target was lost while it ran the request.
        lost_locally: The targets whose loss this host itself saw.
        forget_at: When the suspicion expires, unless there are more losses.
        held_until: Until when the request is refused, or None if it is not.
        refusals: How often this host refused it.
    """

    route: RouteId
    service: ServiceId
    lost_at_by_target: dict[ProcessId, Deadline]
    forget_at: Deadline
    held_until: Deadline | None = None
    refusals: int = 0
    lost_locally: set[ProcessId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLoss:
    """A connection that was lost while its target ran a request.

    Attributes:
        fingerprint: The request.
        route: Its route.
        service: The route's service.
        target: The target.
        at: When it was lost, or when this host received the notice of it.
        is_local: Whether this host lost it, rather than a peer.
    """

    fingerprint: Fingerprint
    route: RouteId
    service: ServiceId
    target: ProcessId
    at: Deadline
    is_local: bool


class LocalCrashTracker(CrashTracker):
    """Counts crashes seen by this host or reported by peers.

    Attributes:
        suspicions: The suspected requests, oldest first.
        answered_until: Until when the last response to a request raises the
            number of crashes at which it is refused; oldest first.
    """

    def __init__(
        self,
        settings: Settings,
        exchange: Exchange,
        liveness: LivenessCheck,
        metrics: Metrics,
    ):
        """Subscribe to the crash notices of peers in `exchange`."""
        self.limits = settings.quarantine
        self.exchange = exchange
        self.liveness = liveness
        self.metrics = metrics
        self.suspicions: collections.OrderedDict[Fingerprint, Suspicion] = (
            collections.OrderedDict()
        )
        self.answered_until: collections.OrderedDict[Fingerprint, Deadline] = (
            collections.OrderedDict()
        )
        self.loss_sender, self.loss_receiver = trio.open_memory_channel[
            ConnectionLoss
        ](MAX_PENDING_CHECKS)
        self.held = metrics.gauge(
            "agatetack_quarantined", "Requests refused for crashing targets."
        )
        self.crashes = metrics.counter(
            "agatetack_suspected_crashes_total",
            "Connections lost while a target ran a request, by result.",
        )
        exchange.subscribe(Topic.CRASH_FINGERPRINTS, self._take_notice)

    def check(self, route: Route, request: CallerRequest) -> Refusal | None:
        """Return why the request is refused, or None if it may run."""
        if not self.suspicions:
            return None
        suspicion = self.suspicions.get(fingerprint(route, request))
        if suspicion is None or not self._is_held(suspicion):
            return None
        suspicion.refusals += 1
        refusal = refuse(
            RefusalReason.QUARANTINED,
            "This request was lost with every target that ran it.",
            suspicion.held_until,
        )
        if route.request_class is RequestClass.ONCE:
            # An earlier attempt with the same idempotency key may have run.
            return dataclasses.replace(refusal, outcome=Outcome.UNKNOWN)
        return refusal

    def _is_held(self, suspicion: Suspicion) -> bool:
        held_until = suspicion.held_until
        return held_until is not None and trio.current_time() < held_until

    def connection_lost(
        self, route: Route, request: CallerRequest, target: ProcessId
    ) -> None:
        """Note that `target` lost the connection while it ran `request`."""
        request_fingerprint = fingerprint(route, request)
        now = Deadline(trio.current_time())
        self.crashes.inc({"result": "suspected"})
        loss = ConnectionLoss(
            request_fingerprint,
            route.id,
            route.service,
            target,
            now,
            is_local=True,
        )
        if not self.limits.confirm_first:
            self._count(loss)
            self._publish_loss(loss)
        try:
            self.loss_sender.send_nowait(loss)
        except trio.WouldBlock:
            self.metrics.dropped.inc(
                {"part": "quarantine", "reason": "backlog-full"}
            )

    def answered(self, route: Route, request: CallerRequest) -> None:
        """Note that a target responded to `request`, so it is harmless."""
        request_fingerprint = fingerprint(route, request)
        self._note_answer(request_fingerprint)
        if self._forget(request_fingerprint):
            self._publish(
                request_fingerprint, crash_messages.CrashEvent.ANSWERED
            )

    def _note_answer(self, request_fingerprint: Fingerprint) -> None:
        now = trio.current_time()
        self.answered_until[request_fingerprint] = Deadline(
            now + ANSWERED_SECONDS
        )
        self.answered_until.move_to_end(request_fingerprint)
        if len(self.answered_until) > MAX_ANSWERED_REQUESTS:
            self.answered_until.popitem(last=False)

    def _crash_limit(
        self, request_fingerprint: Fingerprint, now: Deadline
    ) -> int:
        """Return the number of crashes at which the request is refused."""
        spoken_for = self.answered_until.get(request_fingerprint, now) > now
        return self.limits.crashes + (1 if spoken_for else 0)

    def release(self, request_fingerprint: Fingerprint) -> bool:
        """Stop refusing a request; return whether it was suspected."""
        known = self._forget(request_fingerprint)
        self._publish(request_fingerprint, crash_messages.CrashEvent.RELEASED)
        return known

    def _count(self, loss: ConnectionLoss) -> None:
        now = loss.at
        self._expire(now)
        request_fingerprint = loss.fingerprint
        suspicion = self.suspicions.pop(request_fingerprint, None)
        if suspicion is None:
            suspicion = Suspicion(loss.route, loss.service, {}, now)
        self.suspicions[request_fingerprint] = suspicion
        suspicion.lost_at_by_target[loss.target] = now
        if loss.is_local:
            suspicion.lost_locally.add(loss.target)
        if len(suspicion.lost_at_by_target) >= self._crash_limit(
            request_fingerprint, now
        ):
            if suspicion.held_until is None:
                log.warning(
                    "Request %s is quarantined.", request_fingerprint.hex()
                )
            suspicion.held_until = Deadline(now + self.limits.hold_seconds)
        suspicion.forget_at = max(
            suspicion.held_until or Deadline(0.0),
            Deadline(now + self.limits.decay_seconds),
        )
        while len(self.suspicions) > self.limits.max_fingerprints:
            self.suspicions.popitem(last=False)
            self.metrics.dropped.inc(
                {"part": "quarantine", "reason": "too-many-fingerprints"}
            )
        self._update_gauge()

    def _expire(self, now: Deadline) -> None:
        expired = [
            request_fingerprint
            for request_fingerprint, suspicion in self.suspicions.items()
            if suspicion.forget_at <= now
        ]
        for request_fingerprint in expired:
            del self.suspicions[request_fingerprint]

    def _forget(self, request_fingerprint: Fingerprint) -> bool:
        # Updating the gauge visits every suspicion, and this method is called
        # for each response while there are any.
        known = self.suspicions.pop(request_fingerprint, None) is not None
        if known:
            self._update_gauge()
        return known

    def _update_gauge(self) -> None:
        held = sum(1 for s in self.suspicions.values() if self._is_held(s))
        self.held.set({}, held)

    def _publish(self, request_fingerprint: Fingerprint, event: int) -> None:
        self._send(crash_messages.CrashNotice(request_fingerprint, event))

    def _publish_loss(self, loss: ConnectionLoss) -> None:
        self._send(
            crash_messages.CrashNotice(
                loss.fingerprint,
                crash_messages.CrashEvent.LOST,
                loss.target,
                loss.route,
                loss.service,
            )
        )

    def _send(self, notice: "CrashNotice") -> None:
        payload = encode(notice)
        self.exchange.publish(Topic.CRASH_FINGERPRINTS, payload)

    def _take_notice(self, sender: HostId, payload: bytes) -> None:
        try:
            notice = decode(crash_messages.CrashNotice, payload)
        except MalformedMessage:
            self._drop_notice(sender)
            return
        if len(notice.fingerprint) != FINGERPRINT_BYTES:
            self._drop_notice(sender)
            return
        request_fingerprint = Fingerprint(notice.fingerprint)
        if notice.event == crash_messages.CrashEvent.LOST and notice.target:
            self._count_peer_loss(request_fingerprint, notice)
        elif notice.event in (
            crash_messages.CrashEvent.ANSWERED,
            crash_messages.CrashEvent.RELEASED,
        ):
            self._forget(request_fingerprint)

    def _count_peer_loss(
        self, request_fingerprint: Fingerprint, notice: "CrashNotice"
    ) -> None:
        now = Deadline(trio.current_time())
        target = ProcessId(notice.target)
        suspicion = self.suspicions.get(request_fingerprint)
        lost_at = (
            None
            if suspicion is None
            else suspicion.lost_at_by_target.get(target)
        )
        if lost_at is not None and now - lost_at < REPETITION_WINDOW_SECONDS:
            # If hosts renewed the hold at each repetition, it would never end.
            return
        self._count(
            ConnectionLoss(
                request_fingerprint,
                RouteId(notice.route or ""),
                ServiceId(notice.service_name or ""),
                target,
                now,
                is_local=False,
            )
        )

    def _drop_notice(self, sender: HostId) -> None:
        self.metrics.dropped.inc(
            {"part": "quarantine", "reason": "malformed-notice"}
        )
        log.warning("A crash notice from %s is malformed.", sender)

    async def run(self) -> None:
        """Check lost connections and repeat notices; runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat_notices)
            async for loss in self.loss_receiver:
                nursery.start_soon(self._check_loss, loss)

    async def _repeat_notices(self) -> None:
        """Repeat notices about refused requests, as messages may be lost.

        Only the host that saw a loss repeats it. If the hosts that received
        the notice repeated it too, the repetitions would never end.
        """
        while True:
            await trio.sleep(REPEAT_SECONDS)
            self._expire(Deadline(trio.current_time()))
            for request_fingerprint, suspicion in list(self.suspicions.items()):
                if self._is_held(suspicion):
                    self._republish_losses(request_fingerprint, suspicion)

    def _republish_losses(
        self, request_fingerprint: Fingerprint, suspicion: Suspicion
    ) -> None:
        oldest = trio.current_time() - REPEAT_FOR_SECONDS
        for target in suspicion.lost_locally:
            at = suspicion.lost_at_by_target[target]
            if at >= oldest:
                self._publish_loss(
                    ConnectionLoss(
                        request_fingerprint,
                        suspicion.route,
                        suspicion.service,
                        target,
                        at,
                        is_local=True,
                    )
                )

    async def _check_loss(self, loss: ConnectionLoss) -> None:
        """Revert a suspicion if the target did not crash."""
        until = Deadline(loss.at + self.limits.confirm_seconds)
        if not await self.liveness.stayed_up(loss.target, loss.at, until):
            self.crashes.inc({"result": "confirmed"})
            if self.limits.confirm_first:
                decisions.note(
                    "target-crashed",
                    target=loss.target,
                    fingerprint=loss.fingerprint.hex(),
                    route=loss.route,
                )
                self._count(dataclasses.replace(loss, at=until))
                self._publish_loss(loss)
            return
        self.crashes.inc({"result": "target-alive"})
        suspicion = self.suspicions.get(loss.fingerprint)
        if suspicion is None or suspicion.held_until is not None:
            return
        suspicion.lost_at_by_target.pop(loss.target, None)
        suspicion.lost_locally.discard(loss.target)
        if not suspicion.lost_at_by_target:
            self._forget(loss.fingerprint)
