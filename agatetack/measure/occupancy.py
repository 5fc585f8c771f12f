"""Share how many requests each host has in flight at each target.

Where each of many hosts sends a few requests a second, a host's own requests
say little about a target's load. Each change is sent at once, in a message of
some 30 bytes to each peer, so that the known load of every target is only as
old as a message takes.

When one host frees a slot at a full target, every host with a waiting request
would use it at once, and all but one of these requests would wait at the
target. So the hosts take turns in an order that differs by target.
"""

from collections import Counter, defaultdict

import trio

from agatetack.generated.measure.ttypes import InFlightCount, InFlightCounts
from agatetack.ids import Deadline, HostId, ProcessId, TargetId
from agatetack.measure.hashes import TargetHashes, target_hash
from agatetack.measure.rounds import rank
from agatetack.measure.samples import SampleExchange
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange, Scope, Topic
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState
from agatetack.thrift_codec import MalformedMessage, decode, encode

FORGET_SECONDS = 0.5
"""Interval at which the counts of hosts that left are dropped."""

REPEAT_INTERVAL_SECONDS = 1.0
"""Interval at which all counts are sent again, as messages may be lost."""

TURN_TRIPS = 1
"""Length of a host's turn, as a multiple of the one-way time between failure
domains; in this time the others learn that a slot was taken."""


class Occupancy:
    """All hosts' counts of requests in flight at each target.

    Attributes:
        told: The counts that each other host reported, by target hash.
        said: The count that this host sent last, by target.
        told_since: Whether this host sent a change since it sent all counts.
        turn_seconds: Time between two hosts' turns to take a slot.
        offers: When it is this host's turn, by target with a freed slot.
        offered: Set when something was added to `offers`.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        exchange: Exchange,
        metrics: Metrics,
        sharing: SampleExchange | None = None,
    ):
        """Subscribe to the registry and to messages of the peers.

        Args:
            registry: The targets.
            exchange: The other hosts.
            metrics: Where dropped messages are counted.
            sharing: Samples to be sent along with the counts, or None.
        """
        self.sharing = sharing
        self.own = HostId(registry.settings.host.id)
        self.registry = registry
        self.exchange = exchange
        self.metrics = metrics
        self.told: dict[int, Counter[HostId]] = defaultdict(Counter)
        self.hashes = TargetHashes(registry)
        self.said: dict[ProcessId, int] = {}
        self.told_since = False
        one_way = registry.settings.balance.other_domain_seconds
        self.turn_seconds = TURN_TRIPS * one_way
        self.offers: dict[TargetId, Deadline] = {}
        self.offered = trio.Event()
        registry.in_flight_watchers.append(self._changed)
        exchange.subscribe(Topic.IN_FLIGHT, self._take)

    async def run(self) -> None:
        """Repeat counts and offer freed slots in turn, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat_on)
            await self._offer_on()

    async def _repeat_on(self) -> None:
        """Drop hosts that left and repeat counts, until cancelled."""
        repeat_at = trio.current_time()
        while True:
            await trio.sleep(FORGET_SECONDS)
            self._forget_gone()
            self._mark_told()
            if trio.current_time() >= repeat_at:
                repeat_at = trio.current_time() + REPEAT_INTERVAL_SECONDS
                self._repeat()

    def _repeat(self) -> None:
        """Send all counts again; targets left out have a count of 0.

        Otherwise a peer that missed the end of a request would overestimate
        the target's load until this host sends a request there again.
        """
        busy = [t for t in self.registry.by_id.values() if t.in_flight]
        self.said = {target.process: target.in_flight for target in busy}
        if busy or self.told_since:
            self.told_since = False
            self._send(busy, whole=True)

    def _changed(self, target: TargetState) -> None:
        if self.said.get(target.process, 0) == target.in_flight:
            # A slot that passes from one request to the next changes no count.
            return
        self.said[target.process] = target.in_flight
        self.told_since = True
        self._send([target])

    def _send(self, targets: list[TargetState], whole: bool = False) -> None:
        counts = [
            InFlightCount(target_hash(target.process), target.in_flight)
            for target in targets
        ]
        samples = [] if self.sharing is None else self.sharing.take_fresh()
        message = InFlightCounts(counts, whole or None, samples or None)
        payload = encode(message)
        self.exchange.publish(Topic.IN_FLIGHT, payload, Scope.NEAR)

    def _take(self, sender: HostId, payload: bytes) -> None:
        try:
            message = decode(InFlightCounts, payload)
        except MalformedMessage:
            self.metrics.dropped.inc(
                {"part": "measure", "reason": "counts-malformed"}
            )
            return
        if message.whole:
            self._clear(sender, {count.target for count in message.counts})
        for count in message.counts:
            hosts = self.told[count.target]
            if count.count > 0:
                hosts[sender] = count.count
            else:
                hosts.pop(sender, None)
            self._sum_up(count.target)
        if message.samples and self.sharing is not None:
            self.sharing.take(message.samples)

    def _clear(self, sender: HostId, listed: set[int]) -> None:
        """Drop the counts of `sender` at targets that it did not list."""
        for number, hosts in list(self.told.items()):
            if sender in hosts and number not in listed:
                del hosts[sender]
                self._sum_up(number)

    def _sum_up(self, number: int) -> None:
        target = self.hashes.find(number)
        if target is None:
            return
        before = target.told_in_flight
        target.told_in_flight = self.told[number].total()
        if target.told_in_flight < before:
            self._note_room(target, target.in_flight + before)

    def _note_room(self, target: TargetState, before: int) -> None:
        """Offer a freed slot to waiting requests, in turn if it was full.

        Args:
            target: The target with fewer requests than before.
            before: Number of requests there before.
        """
        if before < target.slots:
            self.registry.notify(target.service)
            return
        own = rank(self.own, target.id)
        earlier = sum(
            rank(peer.id, target.id) > own
            for peer in self.exchange.near_peers()
        )
        target.room_at = Deadline(
            trio.current_time() + earlier * self.turn_seconds
        )
        self.offers[target.id] = target.room_at
        self.offered.set()

    async def _offer_on(self) -> None:
        """Notify waiting requests of freed slots in this host's turns."""
        while True:
            self.offered = trio.Event()
            soonest = min(self.offers.values(), default=Deadline(float("inf")))
            with trio.move_on_at(soonest):
                await self.offered.wait()
            self._offer_due()

    def _offer_due(self) -> None:
        now = trio.current_time()
        due = [each for each, at in self.offers.items() if at <= now]
        for target_id in due:
            del self.offers[target_id]
        services = {
            self.registry.by_id[each].service
            for each in due
            if each in self.registry.by_id
        }
        for service in services:
            self.registry.notify(service)

    def _mark_told(self) -> None:
        """Set for each target whether all hosts send their counts of it."""
        for target in self.registry.by_id.values():
            target.told_by_all = self.exchange.shares_target(
                target.id, target.failure_domain
            )

    def _forget_gone(self) -> None:
        """Drop the counts of removed targets and of hosts that left."""
        for number in self.told.keys() - self.hashes.known():
            del self.told[number]
        live = {peer.id for peer in self.exchange.near_peers()}
        for number, hosts in list(self.told.items()):
            gone = hosts.keys() - live
            for host in gone:
                del hosts[host]
            if gone:
                self._sum_up(number)
