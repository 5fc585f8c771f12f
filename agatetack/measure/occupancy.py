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

from agatetack.clock import Lateness
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

CLEANUP_INTERVAL_SECONDS = 0.5
"""Interval at which the counts of hosts that left are dropped."""

REPEAT_INTERVAL_SECONDS = 1.0
"""Interval at which all counts are sent again, as messages may be lost."""

TURN_ONE_WAY_RATIO = 1
"""Length of a host's turn, as a multiple of the one-way time between failure
domains; in this time the others learn that a slot was taken."""


class Occupancy:
    """All hosts' counts of requests in flight at each target.

    Attributes:
        reported: The counts that each other host reported, by target hash.
        sent: The count that this host sent last, by target.
        changed_since_full: Whether a count was sent since all were sent.
        turn_seconds: Time between two hosts' turns to take a slot.
        turns: When it is this host's turn, by target with a freed slot.
        turn_added: Set when something was added to `turns`.
        ranked_peers: The hosts that take turns with this one.
        earlier_hosts: How many of them come before this host, by target; kept
            until they change, as each freed slot needs it.
        collected: Targets with changes that a late host has not sent yet.
        collected_added: Set when there is something in `collected`.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        exchange: Exchange,
        metrics: Metrics,
        sharing: SampleExchange | None = None,
        lateness: Lateness | None = None,
    ):
        """Subscribe to the registry and to messages of the peers.

        Args:
            registry: The targets.
            exchange: The other hosts.
            metrics: Where dropped messages are counted.
            sharing: Samples to be sent along with the counts, or None.
            lateness: How late the host's loop is; never late if None.
        """
        self.lateness = lateness or Lateness()
        self.collected: dict[ProcessId, TargetState] = {}
        self.collected_added = trio.Event()
        self.sharing = sharing
        self.own = HostId(registry.settings.host.id)
        self.registry = registry
        self.exchange = exchange
        self.metrics = metrics
        self.reported: dict[int, Counter[HostId]] = defaultdict(Counter)
        self.hashes = TargetHashes(registry)
        self.sent: dict[ProcessId, int] = {}
        self.changed_since_full = False
        one_way = registry.settings.balance.other_domain_seconds
        self.turn_seconds = TURN_ONE_WAY_RATIO * one_way
        self.turns: dict[TargetId, Deadline] = {}
        self.turn_added = trio.Event()
        self.ranked_peers: list[HostId] = []
        self.earlier_hosts: dict[TargetId, int] = {}
        registry.in_flight_watchers.append(self._on_change)
        exchange.subscribe(Topic.IN_FLIGHT, self._on_counts)

    async def run(self) -> None:
        """Repeat counts and offer freed slots in turn, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_repeats)
            nursery.start_soon(self._run_collected)
            await self._run_offers()

    async def _run_repeats(self) -> None:
        """Drop hosts that left and repeat counts, until cancelled."""
        repeat_at = trio.current_time()
        while True:
            await trio.sleep(CLEANUP_INTERVAL_SECONDS)
            self._drop_departed()
            self._mark_fully_reported()
            if trio.current_time() >= repeat_at:
                repeat_at = trio.current_time() + REPEAT_INTERVAL_SECONDS
                self._send_all()

    def _send_all(self) -> None:
        """Send all counts again; targets left out have a count of 0.

        Otherwise a peer that missed the end of a request would overestimate
        the target's load until this host sends a request there again.
        """
        self.collected.clear()
        busy = [t for t in self.registry.by_id.values() if self._count(t)]
        self.sent = {target.process: self._count(target) for target in busy}
        if busy or self.changed_since_full:
            self.changed_since_full = False
            self._send(busy, whole=True)

    def _on_change(self, target: TargetState) -> None:
        if self.lateness.message_delay_seconds:
            self.collected[target.process] = target
            self.collected_added.set()
        else:
            self._send_changes([target])

    async def _run_collected(self) -> None:
        """Send the collected changes of a late host, until cancelled."""
        while True:
            await self.collected_added.wait()
            await trio.sleep(self.lateness.message_delay_seconds)
            self.collected_added = trio.Event()
            targets = list(self.collected.values())
            self.collected.clear()
            self._send_changes(targets)

    def _send_changes(self, targets: list[TargetState]) -> None:
        # A slot that passes from one request to the next changes no count.
        changed = [
            target
            for target in targets
            if self.sent.get(target.process, 0) != self._count(target)
        ]
        if not changed:
            return
        for target in changed:
            self.sent[target.process] = self._count(target)
        self.changed_since_full = True
        self._send(changed)

    def _count(self, target: TargetState) -> int:
        """Return the requests of this host that take room at `target`.

        Those behind a lost path may never have arrived, or their target has
        long answered them; its own report counts those that it still runs.
        """
        if self.registry.paths.is_lost(target):
            return 0
        return target.in_flight

    def _send(self, targets: list[TargetState], whole: bool = False) -> None:
        counts = [
            InFlightCount(target_hash(target.process), self._count(target))
            for target in targets
        ]
        samples = [] if self.sharing is None else self.sharing.take_fresh()
        message = InFlightCounts(counts, whole or None, samples or None)
        payload = encode(message)
        self.exchange.publish(Topic.IN_FLIGHT, payload, Scope.NEAR)

    def _on_counts(self, sender: HostId, payload: bytes) -> None:
        try:
            message = decode(InFlightCounts, payload)
        except MalformedMessage:
            self.metrics.dropped.inc(
                {"part": "measure", "reason": "counts-malformed"}
            )
            return
        if message.whole:
            self._drop_unlisted(
                sender, {count.target for count in message.counts}
            )
        for count in message.counts:
            hosts = self.reported[count.target]
            if count.count > 0:
                hosts[sender] = count.count
            else:
                hosts.pop(sender, None)
            self._update_total(count.target)
        if message.samples and self.sharing is not None:
            self.sharing.apply(message.samples)

    def _drop_unlisted(self, sender: HostId, listed: set[int]) -> None:
        """Drop the counts of `sender` at targets that it did not list."""
        for number, hosts in list(self.reported.items()):
            if sender in hosts and number not in listed:
                del hosts[sender]
                self._update_total(number)

    def _update_total(self, number: int) -> None:
        target = self.hashes.find(number)
        if target is None:
            return
        before = target.peer_in_flight
        target.peer_in_flight = self.reported[number].total()
        if target.peer_in_flight < before:
            self._offer_slot(target, target.in_flight + before)

    def _offer_slot(self, target: TargetState, before: int) -> None:
        """Offer a freed slot to waiting requests, in turn if it was full.

        Args:
            target: The target with fewer requests than before.
            before: Number of requests there before.
        """
        if before < target.slots:
            self.registry.notify(target.service)
            return
        earlier = self._count_earlier(target.id)
        target.free_slot_at = Deadline(
            trio.current_time() + earlier * self.turn_seconds
        )
        self.turns[target.id] = target.free_slot_at
        self.turn_added.set()

    def _count_earlier(self, target: TargetId) -> int:
        """Return how many hosts take their turn at `target` before this one."""
        peers = [peer.id for peer in self.exchange.near_peers()]
        if peers != self.ranked_peers:
            self.ranked_peers = peers
            self.earlier_hosts.clear()
        earlier = self.earlier_hosts.get(target)
        if earlier is None:
            own = rank(self.own, target)
            earlier = sum(rank(peer, target) > own for peer in peers)
            self.earlier_hosts[target] = earlier
        return earlier

    async def _run_offers(self) -> None:
        """Notify waiting requests of freed slots in this host's turns."""
        while True:
            self.turn_added = trio.Event()
            soonest = min(self.turns.values(), default=Deadline(float("inf")))
            with trio.move_on_at(soonest):
                await self.turn_added.wait()
            self._offer_due()

    def _offer_due(self) -> None:
        now = trio.current_time()
        due = [each for each, at in self.turns.items() if at <= now]
        for target_id in due:
            del self.turns[target_id]
        services = {
            self.registry.by_id[each].service
            for each in due
            if each in self.registry.by_id
        }
        for service in services:
            self.registry.notify(service)

    def _mark_fully_reported(self) -> None:
        """Set for each target whether all hosts send their counts of it."""
        for target in self.registry.by_id.values():
            target.all_peers_report = self.exchange.shares_target(
                target.id, target.failure_domain
            )

    def _drop_departed(self) -> None:
        """Drop the counts of removed targets and of hosts that left."""
        for number in self.reported.keys() - self.hashes.known():
            del self.reported[number]
        live = {peer.id for peer in self.exchange.near_peers()}
        for number, hosts in list(self.reported.items()):
            departed = hosts.keys() - live
            for host in departed:
                del hosts[host]
            if departed:
                self._update_total(number)
