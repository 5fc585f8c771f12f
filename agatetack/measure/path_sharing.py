"""Share which targets each host can't reach."""

import dataclasses
from collections.abc import Callable, Mapping, Sequence, Set

import trio

from agatetack.generated.measure.ttypes import LookRequest, LostPaths
from agatetack.ids import Deadline, HostId, ServiceId
from agatetack.measure.hashes import TargetHashes, target_hash
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange, Scope, Topic
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState, TargetStatus
from agatetack.thrift_codec import MalformedMessage, decode, encode

COLLECT_SECONDS = 0.02
"""Time in which changes are collected for one message."""

REPEAT_SECONDS = 1.0
"""Interval at which lost paths are sent again, as messages may be lost."""

VALID_SECONDS = 3.5
"""How long a message counts that is not repeated."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerPaths:
    """The lost paths of one other host.

    Attributes:
        lost: The hashes of the targets that it can't reach.
        valid_until: When this no longer counts.
    """

    lost: Set[int]
    valid_until: Deadline


class PathSharing:
    """The lost paths of all hosts.

    Attributes:
        peers: The lost paths of each other host that has any.
        changes: How often a host's lost paths changed.
        changed: Set when a path of this host was lost or is back.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        exchange: Exchange,
        metrics: Metrics,
        look: Callable[[TargetState], None],
    ):
        """Subscribe to the registry and to messages of the peers.

        Args:
            registry: The targets.
            exchange: The other hosts.
            metrics: Where dropped messages are counted.
            look: Has this host look at a target that another one can't hear.
        """
        self.look = look
        self.registry = registry
        self.exchange = exchange
        self.metrics = metrics
        self.hashes = TargetHashes(registry)
        self.peers: dict[HostId, PeerPaths] = {}
        self.changes = 0
        self.changed = trio.Event()
        registry.paths.watchers.append(self._on_path)
        registry.paths.doubt_watchers.append(self._ask_peers)
        exchange.subscribe(Topic.LOST_PATHS, self._on_message)
        exchange.subscribe(Topic.LOOK_REQUESTS, self._on_request)

    async def run(self) -> None:
        """Send this host's lost paths until cancelled, while there are any."""
        while True:
            repeat_at = float("inf")
            if self.registry.paths.lost:
                repeat_at = trio.current_time() + REPEAT_SECONDS
            with trio.move_on_at(repeat_at):
                await self.changed.wait()
            await trio.sleep(COLLECT_SECONDS)
            self.changed = trio.Event()
            hashes = [target_hash(p) for p in self.registry.paths.lost]
            payload = encode(LostPaths(targets=hashes))
            self.exchange.publish(Topic.LOST_PATHS, payload, Scope.NEAR)

    def is_lost_by(self, host: HostId, target: TargetState) -> bool:
        """Return whether another host says that it can't reach `target`."""
        paths = self._valid(host)
        return paths is not None and target_hash(target.process) in paths.lost

    def count_reached(self, host: HostId, service: ServiceId) -> int:
        """Return how many targets of `service` another host may reach."""
        return self.count_reached_by([host], service)[host]

    def count_reached_by(
        self, hosts: Sequence[HostId], service: ServiceId
    ) -> Mapping[HostId, int]:
        """Return how many targets of `service` each of `hosts` may reach."""
        staying = {
            target_hash(target.process)
            for target in self.registry.by_id.values()
            if target.service == service and not self._is_leaving(target)
        }
        counts = {}
        for host in hosts:
            paths = self._valid(host)
            lost = frozenset() if paths is None else paths.lost
            counts[host] = len(staying - lost)
        return counts

    def _is_leaving(self, target: TargetState) -> bool:
        """Return whether `target` leaves, by more than a refused connection."""
        record = self.registry.leaving.get(target.id)
        return target.status is TargetStatus.GONE or (
            record is not None and record.announced
        )

    def _valid(self, host: HostId) -> PeerPaths | None:
        paths = self.peers.get(host)
        if paths is None or trio.current_time() < paths.valid_until:
            return paths
        del self.peers[host]
        self.changes += 1
        return None

    def _on_path(self, target: TargetState) -> None:
        self.changes += 1
        self.changed.set()

    def _ask_peers(self, targets: Sequence[TargetState]) -> None:
        """Have peers look at targets that this host does not hear."""
        hashes = [target_hash(target.process) for target in targets]
        payload = encode(LookRequest(targets=hashes))
        self.exchange.publish(Topic.LOOK_REQUESTS, payload, Scope.NEAR)

    def _on_request(self, sender: HostId, payload: bytes) -> None:
        try:
            message = decode(LookRequest, payload)
        except MalformedMessage:
            self._drop()
            return
        for number in message.targets:
            target = self.hashes.find(number)
            if target is not None:
                self.look(target)

    def _drop(self) -> None:
        self.metrics.dropped.inc(
            {"part": "measure", "reason": "paths-malformed"}
        )

    def _on_message(self, sender: HostId, payload: bytes) -> None:
        try:
            message = decode(LostPaths, payload)
        except MalformedMessage:
            self._drop()
            return
        lost = frozenset(message.targets)
        before = self.peers.pop(sender, None)
        if lost:
            until = Deadline(trio.current_time() + VALID_SECONDS)
            self.peers[sender] = PeerPaths(lost, until)
        if lost != (before.lost if before is not None else frozenset()):
            self.changes += 1
