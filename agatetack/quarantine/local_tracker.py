"""Count targets that a request crashed, and refuse it after two.

A lost connection counts at once, so that the request can't crash a third target
while the second one is checked. The count is reverted if the target is found to
be alive, or when any target responds to the request. A request that is sent
often and coincides with a crash by chance gets a response soon after, so it is
never refused for long.
"""

import collections
import dataclasses

import trio

from agatetack.config.route import RequestClass, Route
from agatetack.decisions import DecisionLog
from agatetack.generated.quarantine.ttypes import CrashEvent, CrashNotice
from agatetack.ids import Deadline, HostId, ProcessId, RouteId, ServiceId
from agatetack.logs import PartLog
from agatetack.messages import CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, Refusal, RefusalReason, refuse
from agatetack.peers.exchange import Exchange, Topic
from agatetack.quarantine.liveness import LivenessCheck
from agatetack.quarantine.tracker import CrashTracker, Fingerprint, fingerprint
from agatetack.settings.model import Settings
from agatetack.thrift_codec import MalformedMessage, decode, encode

CONFIRM_BACKLOG = 1000
"""Maximum number of lost connections that wait to be checked; further ones are
not checked."""

REPEAT_SECONDS = 2.0
"""Interval at which losses seen by this host are published again."""

REPEAT_FOR_SECONDS = 2 * REPEAT_SECONDS
"""For how long a loss is published again."""

RETOLD_SECONDS = 5 * REPEAT_SECONDS
"""Within this time a notice about a loss of the same target and request is a
repetition; later it is a new loss."""

ANSWERED_SECONDS = 10.0
"""For how long a response raises the number of crashes at which its request is
refused, by one. A request that crashes its targets gets no response, while a
harmless one may lose two targets to crashes by another request."""

MAX_ANSWERED = 4096
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
        crashed: When each target was lost while it ran the request.
        seen_here: The targets whose loss this host itself saw.
        forget_at: When the suspicion expires, unless there are more losses.
        held_until: Until when the request is refused, or None if it is not.
        refusals: How often this host refused it.
    """

    route: RouteId
    service: ServiceId
    crashed: dict[ProcessId, Deadline]
    forget_at: Deadline
    held_until: Deadline | None = None
    refusals: int = 0
    seen_here: set[ProcessId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSighting:
    """A connection that was lost while its target ran a request.

    Attributes:
        fingerprint: The request.
        route: Its route.
        service: The route's service.
        target: The target.
        at: When it was lost, or when this host received the notice of it.
        here: Whether this host lost it, rather than a peer.
    """

    fingerprint: Fingerprint
    route: RouteId
    service: ServiceId
    target: ProcessId
    at: Deadline
    here: bool


class LocalCrashTracker(CrashTracker):
    """Counts crashes seen by this host or reported by peers.

    Attributes:
        suspicions: The suspected requests, oldest first.
        answers: Until when the last response to a request raises the number of
            crashes at which it is refused; oldest first.
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
        self.answers: collections.OrderedDict[Fingerprint, Deadline] = (
            collections.OrderedDict()
        )
        self.losses_in, self.losses_out = trio.open_memory_channel[
            CrashSighting
        ](CONFIRM_BACKLOG)
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
        print_ = fingerprint(route, request)
        now = Deadline(trio.current_time())
        self.crashes.inc({"result": "suspected"})
        event = CrashSighting(
            print_, route.id, route.service, target, now, here=True
        )
        if not self.limits.confirm_first:
            self._count(event)
            self._publish_loss(event)
        try:
            self.losses_in.send_nowait(event)
        except trio.WouldBlock:
            self.metrics.dropped.inc(
                {"part": "quarantine", "reason": "backlog-full"}
            )

    def answered(self, route: Route, request: CallerRequest) -> None:
        """Note that a target responded to `request`, so it is harmless."""
        print_ = fingerprint(route, request)
        self._note_answer(print_)
        if self._forget(print_):
            self._publish(print_, CrashEvent.ANSWERED)

    def _note_answer(self, print_: Fingerprint) -> None:
        now = trio.current_time()
        self.answers[print_] = Deadline(now + ANSWERED_SECONDS)
        self.answers.move_to_end(print_)
        if len(self.answers) > MAX_ANSWERED:
            self.answers.popitem(last=False)

    def _most_crashes(self, print_: Fingerprint, now: Deadline) -> int:
        """Return the number of crashes at which the request is refused."""
        spoken_for = self.answers.get(print_, now) > now
        return self.limits.crashes + (1 if spoken_for else 0)

    def release(self, print_: Fingerprint) -> bool:
        """Stop refusing a request; return whether it was suspected."""
        known = self._forget(print_)
        self._publish(print_, CrashEvent.RELEASED)
        return known

    def _count(self, event: CrashSighting) -> None:
        now = event.at
        self._expire(now)
        print_ = event.fingerprint
        suspicion = self.suspicions.pop(print_, None)
        if suspicion is None:
            suspicion = Suspicion(event.route, event.service, {}, now)
        self.suspicions[print_] = suspicion
        suspicion.crashed[event.target] = now
        if event.here:
            suspicion.seen_here.add(event.target)
        if len(suspicion.crashed) >= self._most_crashes(print_, now):
            if suspicion.held_until is None:
                log.warning("Request %s is quarantined.", print_.hex())
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
            print_
            for print_, suspicion in self.suspicions.items()
            if suspicion.forget_at <= now
        ]
        for print_ in expired:
            del self.suspicions[print_]

    def _forget(self, print_: Fingerprint) -> bool:
        # Updating the gauge visits every suspicion, and this method is called
        # for each response while there are any.
        known = self.suspicions.pop(print_, None) is not None
        if known:
            self._update_gauge()
        return known

    def _update_gauge(self) -> None:
        held = sum(1 for s in self.suspicions.values() if self._is_held(s))
        self.held.set({}, held)

    def _publish(self, print_: Fingerprint, event: int) -> None:
        self._send(CrashNotice(print_, event))

    def _publish_loss(self, event: CrashSighting) -> None:
        self._send(
            CrashNotice(
                event.fingerprint,
                CrashEvent.LOST,
                event.target,
                event.route,
                event.service,
            )
        )

    def _send(self, notice: CrashNotice) -> None:
        payload = encode(notice)
        self.exchange.publish(Topic.CRASH_FINGERPRINTS, payload)

    def _take_notice(self, sender: HostId, payload: bytes) -> None:
        try:
            notice = decode(CrashNotice, payload)
        except MalformedMessage:
            self._drop_notice(sender)
            return
        if len(notice.fingerprint) != FINGERPRINT_BYTES:
            self._drop_notice(sender)
            return
        print_ = Fingerprint(notice.fingerprint)
        if notice.event == CrashEvent.LOST and notice.target:
            self._count_told(print_, notice)
        elif notice.event in (CrashEvent.ANSWERED, CrashEvent.RELEASED):
            self._forget(print_)

    def _count_told(self, print_: Fingerprint, notice: CrashNotice) -> None:
        now = Deadline(trio.current_time())
        target = ProcessId(notice.target)
        suspicion = self.suspicions.get(print_)
        lost_at = None if suspicion is None else suspicion.crashed.get(target)
        if lost_at is not None and now - lost_at < RETOLD_SECONDS:
            # If hosts renewed the hold at each repetition, it would never end.
            return
        self._count(
            CrashSighting(
                print_,
                RouteId(notice.route or ""),
                ServiceId(notice.service_name or ""),
                target,
                now,
                here=False,
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
            nursery.start_soon(self._repeat)
            async for loss in self.losses_out:
                nursery.start_soon(self._look_into, loss)

    async def _repeat(self) -> None:
        """Repeat notices about refused requests, as messages may be lost.

        Only the host that saw a loss repeats it. If the hosts that received
        the notice repeated it too, the repetitions would never end.
        """
        while True:
            await trio.sleep(REPEAT_SECONDS)
            self._expire(Deadline(trio.current_time()))
            for print_, suspicion in list(self.suspicions.items()):
                if self._is_held(suspicion):
                    self._tell_again(print_, suspicion)

    def _tell_again(self, print_: Fingerprint, suspicion: Suspicion) -> None:
        oldest = trio.current_time() - REPEAT_FOR_SECONDS
        for target in suspicion.seen_here:
            at = suspicion.crashed[target]
            if at >= oldest:
                self._publish_loss(
                    CrashSighting(
                        print_,
                        suspicion.route,
                        suspicion.service,
                        target,
                        at,
                        here=True,
                    )
                )

    async def _look_into(self, loss: CrashSighting) -> None:
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
        suspicion.crashed.pop(loss.target, None)
        suspicion.seen_here.discard(loss.target)
        if not suspicion.crashed:
            self._forget(loss.fingerprint)
