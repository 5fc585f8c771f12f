"""Count targets that a request crashed, and refuse it after two.

A lost connection counts at once, so that no third target is spent while the
second is looked at. It is taken back when the target turns out to be alive, or
when any target answers the request: a request that is popular is answered
within moments of an unlucky crash, so it is never held for long.
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
"""Lost connections waiting to be looked into; more are dropped."""

REPEAT_SECONDS = 2.0
"""How often the losses seen here are told to peers again."""

REPEAT_FOR_SECONDS = 2 * REPEAT_SECONDS
"""A loss is told again for this long."""

RETOLD_SECONDS = 5 * REPEAT_SECONDS
"""A peer that tells of the same target's loss again within this time means the
one that is known; one told later is another."""

ANSWERED_SECONDS = 10.0
"""How long an answer speaks for a request: one that crashes its targets gets
none, and one that is lost beside it may be lost beside it twice."""

MAX_ANSWERED = 4096
"""Requests of which the last answer is remembered."""

FINGERPRINT_BYTES = 16

log = PartLog("quarantine")
decisions = DecisionLog("quarantine")


@dataclasses.dataclass(slots=True)
class Suspicion:
    """What is held against one request.

    Attributes:
        route: Its route.
        service: The route's service.
        crashed: When each target was lost to it.
        seen_here: Those of these targets that this host itself lost.
        forget_at: When it is forgotten, unless more happens.
        held_until: When it may run again, or None if it may now.
        refusals: How often it was refused here.
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
        at: When it was lost, or when this host was told of it.
        here: Whether this host lost it, not a peer.
    """

    fingerprint: Fingerprint
    route: RouteId
    service: ServiceId
    target: ProcessId
    at: Deadline
    here: bool


class LocalCrashTracker(CrashTracker):
    """Counts crashes seen here and told by peers.

    Attributes:
        suspicions: What is held against requests, oldest first.
        answers: Until when the last answer speaks for a request, oldest first.
    """

    def __init__(
        self,
        settings: Settings,
        exchange: Exchange,
        liveness: LivenessCheck,
        metrics: Metrics,
    ):
        """Hear of crashes through `exchange` too."""
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
            # An earlier attempt with the same key may have run.
            return dataclasses.replace(refusal, outcome=Outcome.UNKNOWN)
        return refusal

    def _is_held(self, suspicion: Suspicion) -> bool:
        held_until = suspicion.held_until
        return held_until is not None and trio.current_time() < held_until

    def connection_lost(
        self, route: Route, request: CallerRequest, target: ProcessId
    ) -> None:
        """Note that `target` dropped the connection while it ran this."""
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
        """Note that a target answered this request, so it is harmless."""
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
        """Return at how many crashes the request is held back."""
        spoken_for = self.answers.get(print_, now) > now
        return self.limits.crashes + (1 if spoken_for else 0)

    def release(self, print_: Fingerprint) -> bool:
        """Let a request run again, and return whether it was suspected."""
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
                log.warning("Request %s is held back.", print_.hex())
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
        # The gauge costs a look at every suspicion, and this is asked at each
        # answer while there are any.
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
            # Hosts that renewed the hold at each telling would never end it.
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
        log.warning("A notice of %s is malformed.", sender)

    async def run(self) -> None:
        """Look into lost connections and tell peers again; for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat)
            async for loss in self.losses_out:
                nursery.start_soon(self._look_into, loss)

    async def _repeat(self) -> None:
        """Tell peers again what is held, as a message may have been lost.

        Only the host that saw a loss tells it again: if each host did that was
        told of it, the telling would never end.
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
        """Take a suspicion back if the target did not go down."""
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
