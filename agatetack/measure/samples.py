"""Share load reports and leaving signs with the other hosts."""

from collections.abc import Callable, Sequence

import trio

from agatetack.generated.measure.ttypes import (
    LoadSample,
    LoadSamples,
    TargetSign,
)
from agatetack.ids import Deadline, HostId, ProcessId
from agatetack.logs import PartLog
from agatetack.measure.budget import TokenBucket
from agatetack.measure.far_samples import MAX_SAMPLES, FarSampleRelay
from agatetack.measure.hashes import TargetHashes, target_hash
from agatetack.measure.update_filter import (
    UpdateFilter,
    total_load,
    unreported_load,
)
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange, Scope, Topic
from agatetack.targets.leaving import LeavingSign
from agatetack.targets.rate_limit import RateLimit
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource, TargetState
from agatetack.thrift_codec import MalformedMessage, decode, encode

FRAME_BYTES = 60
"""Size of a message on the wire without its payload."""

SAMPLE_BYTES = 16
"""Approximate size of a sample that is sent within another message."""

CHANGED_RESERVE_BYTES = 80
"""Bytes reserved for each peer, to report a slow target without waiting."""

MIN_INTERVAL_SECONDS = 0.01
"""Minimum time between two messages."""

MAX_BUDGET_POLL_SECONDS = 0.05
"""Maximum time between two checks of a budget that is spent."""

DEFAULT_SLOTS = 2
"""Slots of a target whose sample lacks the field."""

USUAL_PERCENT = 100
"""Slowness, in percent, of a target where work takes as long as usual."""

FAR_INTERVAL_SECONDS = 0.25
"""Minimum interval at which the first leader of a group in a large fleet sends
changes of the group's targets to the other groups."""

FAR_INTERVAL_PER_GROUP_SECONDS = 0.025
"""The same for each group of the fleet, so that a host receives at most 40 such
messages a second, however many groups there are."""

MAX_FIELD = 2**31 - 1
"""Highest number that the 32 bits of a sample's field can hold."""

NO_RATE = 0.0
"""Rate sent for a target that no longer announces a rate limit."""

SIGN_NUMBERS = {sign: number for number, sign in enumerate(LeavingSign, 1)}
SIGNS = {number: sign for sign, number in SIGN_NUMBERS.items()}

log = PartLog("measure")


class SampleExchange:
    """Sends own samples to the peers and receives theirs.

    Attributes:
        fresh: Targets measured since the last message, latest last.
        fresh_added: Set when there is something in `fresh`.
        near_filter: Tracks what was sent to nearby hosts, which also receive
            the request counts of all hosts.
        far_pending: Targets of this group with a load report since the last
            message to the other groups.
        far_pending_added: Set when there is something in `far_pending`.
        far_filter: Tracks what was sent to the other groups.
        far_relay: Relays samples of the other groups to this group.
        refusal_watchers: Called with a target that refused a connection of
            another host.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        exchange: Exchange,
        metrics: Metrics,
        bucket: TokenBucket,
        updates_only: bool = False,
    ):
        """Subscribe to the registry and to messages of the peers.

        Args:
            registry: The targets.
            exchange: The other hosts.
            metrics: Where dropped messages are counted.
            bucket: Bytes that samples may cost, to all peers together.
            updates_only: Whether samples that peers know already are not sent;
                requires that all hosts share their own request counts.
        """
        self.updates_only = updates_only
        self.near_filter = UpdateFilter(registry, unreported_load)
        self.far_filter = UpdateFilter(registry, total_load)
        self.far_relay = FarSampleRelay(exchange)
        self.far_pending: dict[ProcessId, TargetState] = {}
        self.far_pending_added = trio.Event()
        self.registry = registry
        self.exchange = exchange
        self.metrics = metrics
        self.bucket = bucket
        self.fresh: dict[ProcessId, TargetState] = {}
        self.fresh_added = trio.Event()
        self.hashes = TargetHashes(registry)
        self.refusal_watchers: list[Callable[[TargetState], None]] = []
        registry.report_watchers.append(self._on_report)
        registry.slowness_watchers.append(self.send_now)
        registry.leaving_watchers.append(self._send_sign)
        exchange.subscribe(Topic.LOAD_SAMPLES, self._on_samples)
        exchange.subscribe(Topic.TARGET_SIGNS, self._on_sign)

    async def run(self) -> None:
        """Send samples until cancelled, to other groups at longer intervals."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_far)
            nursery.start_soon(self.far_relay.run)
            await self._run_near()

    async def _run_far(self) -> None:
        """Send changes of this group's targets to the other groups."""
        while True:
            # An idle host must not wake up at all.
            await self.far_pending_added.wait()
            self.far_pending_added = trio.Event()
            await trio.sleep(self._far_interval_seconds())
            if not self.exchange.is_first_leader:
                self.far_pending.clear()
                continue
            updates = [
                target
                for target in self.far_pending.values()
                if self.far_filter.accept(target, target.report)
            ]
            self.far_pending.clear()
            for first in range(0, len(updates), MAX_SAMPLES):
                payload = self._encode(updates[first : first + MAX_SAMPLES])
                self.exchange.publish(Topic.LOAD_SAMPLES, payload, Scope.FAR)

    def _far_interval_seconds(self) -> float:
        groups = len(self.exchange.first_leaders())
        return max(
            FAR_INTERVAL_SECONDS, groups * FAR_INTERVAL_PER_GROUP_SECONDS
        )

    async def _run_near(self) -> None:
        """Send fresh samples as often as the budget allows."""
        while True:
            # An idle host must not wake up at all.
            await self.fresh_added.wait()
            delay = self.bucket.lateness.message_delay_seconds
            await trio.sleep(MIN_INTERVAL_SECONDS + delay)
            peers = len(self.exchange.near_peers())
            # Without peers the samples are dropped: by the time that a peer
            # connects they are outdated.
            if not peers or self._send_fresh(peers):
                self.fresh.clear()
                self.fresh_added = trio.Event()
            else:
                await trio.sleep_until(self._next_check_at(peers))

    def take_fresh(self) -> list[LoadSample]:
        """Return the waiting samples for a message that is sent anyway.

        The end of a request changes this host's count at the target, and its
        answer reports the target's load; sent together they cost each peer
        one message to read instead of two.
        """
        latest = list(self.fresh.values())[-MAX_SAMPLES:]
        if not latest:
            return []
        peers = len(self.exchange.near_peers())
        samples = self._samples(latest)
        if not self.bucket.take(SAMPLE_BYTES * len(samples) * peers):
            return []
        self.fresh.clear()
        return samples

    def _send_fresh(self, peers: int) -> bool:
        if not self.fresh:
            # They were sent with another message.
            return True
        latest = list(self.fresh.values())[-MAX_SAMPLES:]
        return self._send(latest, peers, CHANGED_RESERVE_BYTES * peers)

    def _next_check_at(self, peers: int) -> float:
        ready_at = self.bucket.ready_at(CHANGED_RESERVE_BYTES * peers)
        return min(ready_at, trio.current_time() + MAX_BUDGET_POLL_SECONDS)

    def send_now(self, target: TargetState) -> None:
        """Report a target to the peers at once, if the budget allows."""
        peers = len(self.exchange.near_peers())
        if peers and not self._send([target], peers, 0):
            self._drop("changed-over-budget")

    def _send(
        self, targets: Sequence[TargetState], peers: int, reserve: int
    ) -> bool:
        """Send samples if this leaves `reserve` bytes; return whether sent."""
        payload = self._encode(targets)
        cost = (len(payload) + FRAME_BYTES) * peers
        self.bucket.refill()
        if self.bucket.tokens < cost + reserve or not self.bucket.take(cost):
            return False
        self.exchange.publish(Topic.LOAD_SAMPLES, payload, Scope.NEAR)
        self.metrics.budget_spent.add({"unit": "bytes"}, cost)
        return True

    def _encode(self, targets: Sequence[TargetState]) -> bytes:
        return encode(LoadSamples(samples=self._samples(targets)))

    def _samples(self, targets: Sequence[TargetState]) -> list[LoadSample]:
        now = Deadline(trio.current_time())
        return [
            self._sample(target, target.report, now)
            for target in targets
            if target.report is not None
        ]

    def _sample(
        self, target: TargetState, report: LoadReport, now: Deadline
    ) -> LoadSample:
        sample = LoadSample(
            target=target_hash(target.process), in_flight=report.in_flight
        )
        if report.slots != DEFAULT_SLOTS:
            sample.slots = report.slots
        age_ms = _age_ms(report.at, now)
        if age_ms > 0:
            sample.age_ms = age_ms
        slowness_pct = round(report.slowness * USUAL_PERCENT)
        if slowness_pct != USUAL_PERCENT:
            sample.slowness_pct = slowness_pct
        if target.warm_up_rate and target.warmth.is_reported:
            self._add_warmth(sample, target, now)
        if target.rate_limit.known:
            self._add_rate(sample, target.rate_limit, now)
        service = target.learned.service_seconds
        # A value adopted from a peer is not sent on: as it circulated, it
        # would look like new evidence each time.
        if service is not None and not target.learned.from_peers:
            sample.service_us = min(round(service * 1e6), MAX_FIELD)
        return sample

    def _add_warmth(
        self, sample: LoadSample, target: TargetState, now: Deadline
    ) -> None:
        warmth = target.warmth
        left = max(0.0, warmth.warm_at - warmth.reported_at)
        sample.warm_up_ms = round(left * 1000)
        said_ms = _age_ms(warmth.reported_at, now)
        if said_ms > 0:
            sample.said_ms = said_ms

    def _add_rate(
        self, sample: LoadSample, limit: RateLimit, now: Deadline
    ) -> None:
        sample.rate = limit.rate or NO_RATE
        said_ms = _age_ms(limit.reported_at, now)
        if said_ms > 0:
            sample.rate_said_ms = said_ms

    def _on_report(self, target: TargetState, report: LoadReport) -> None:
        # Checks a flag instead of looking up the name, as each report of a
        # target gets here.
        if self.exchange.is_first_leader and target.all_peers_report:
            self.far_pending[target.process] = target
            self.far_pending_added.set()
        if report.source is ReportSource.PEER:
            return
        if not self.updates_only or self.near_filter.accept(target, report):
            # Move it to the end, so that the latest remain if not all fit.
            self.fresh.pop(target.process, None)
            self.fresh[target.process] = target
            self.fresh_added.set()

    def _on_samples(self, sender: HostId, payload: bytes) -> None:
        try:
            message = decode(LoadSamples, payload)
        except MalformedMessage:
            self._drop("samples-malformed")
            return
        self.apply(message.samples)
        self.far_relay.collect(sender, message.samples)

    def apply(self, samples: Sequence[LoadSample]) -> None:
        """Apply the samples of targets that a peer sent."""
        now = trio.current_time()
        for sample in samples:
            target = self.hashes.find(sample.target)
            if target is None:
                continue
            self._take_sample(target, sample, now)

    def _take_sample(
        self, target: TargetState, sample: LoadSample, now: float
    ) -> None:
        at = Deadline(now - max(0, sample.age_ms or 0) / 1000)
        report = LoadReport(
            in_flight=max(0, sample.in_flight),
            slots=max(1, sample.slots or DEFAULT_SLOTS),
            own_in_flight=target.in_flight,
            peer_in_flight=target.peer_in_flight,
            at=at,
            source=ReportSource.PEER,
            slowness=max(1, sample.slowness_pct or USUAL_PERCENT)
            / USUAL_PERCENT,
        )
        if sample.warm_up_ms is not None:
            said_at = Deadline(now - max(0, sample.said_ms or 0) / 1000)
            warm_at = Deadline(said_at + max(0, sample.warm_up_ms) / 1000)
            self.registry.note_warmth(target, warm_at, said_at)
        if sample.rate is not None:
            said_at = Deadline(now - max(0, sample.rate_said_ms or 0) / 1000)
            self.registry.rate_limits.note_peer_rate(
                target, sample.rate, said_at
            )
        self.registry.note_report(target, report)
        if sample.service_us and at > target.learned.peer_measured_at:
            target.learned.note_peer_measurement(sample.service_us / 1e6, at)

    def _send_sign(self, target: TargetState, sign: LeavingSign) -> None:
        message = TargetSign(target=target.process, sign=SIGN_NUMBERS[sign])
        payload = encode(message)
        # Signs are exempt from the budget: they are few, and if one is late
        # peers send requests to a target that is leaving.
        self.exchange.publish(Topic.TARGET_SIGNS, payload)

    def _on_sign(self, sender: HostId, payload: bytes) -> None:
        try:
            message = decode(TargetSign, payload)
        except MalformedMessage:
            self._drop("sign-malformed")
            return
        target = self.registry.by_process.get(ProcessId(message.target))
        if target is None:
            return
        sign = SIGNS.get(message.sign, LeavingSign.PEER)
        if sign is LeavingSign.CONNECT_REFUSED:
            # The path of the sender may be lost, and not the target.
            log.info("%s can't connect to %s.", sender, target.id)
            for watcher in self.refusal_watchers:
                watcher(target)
            return
        log.info("%s saw %s leaving: %s", sender, target.id, sign.value)
        self.registry.note_peer_sign(target, sign)

    def _drop(self, reason: str) -> None:
        self.metrics.dropped.inc({"part": "measure", "reason": reason})


def _age_ms(since: Deadline, now: Deadline) -> int:
    """Return the time since then, or the longest that a sample can carry."""
    return min(round((now - since) * 1000), MAX_FIELD)
