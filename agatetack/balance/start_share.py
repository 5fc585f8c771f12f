"""Divide the targets' slots among hosts that are not yet connected.

When a whole fleet starts at once, as after a power failure, every host has
waiting callers and knows only of its own requests. At first each host therefore
uses only its own part of the slots, which every host computes in the same way
from the lists of hosts and targets, so that no two hosts use the same slot.
"""

from collections import Counter
from collections.abc import Callable, Sequence

import trio
import xxhash

from agatetack.balance.target_share import TargetShare
from agatetack.ids import Deadline, HostId, ServiceId, TargetId
from agatetack.peers.exchange import Exchange
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState

MAX_START_SECONDS = 0.3
"""Maximum time for which a starting host limits itself to its share. The
connections to the peers are open about 100 ms after a start."""

CONNECTED_RATIO = 0.8
"""Ratio of the listed hosts that a host must be connected to before it stops
limiting itself to its share."""

CONNECTION_POLL_SECONDS = 0.005
"""How often a starting host checks its connections to the others."""


class StartShare(TargetShare):
    """Limits a host to its share of the slots while it is starting.

    Without the limit, 18 hosts that started at the same moment sent 60 requests
    within 10 ms, up to six of them to one target of three slots; 46 of the 190
    requests of that second ran into their route's timeout.

    Attributes:
        ended: Whether this host may use every slot.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        exchange: Exchange,
        listed: Callable[[], Sequence[HostId]],
    ):
        """Allow all slots until `begin` is called.

        Args:
            registry: The targets.
            exchange: The other hosts.
            listed: Returns the hosts that are known to exist.
        """
        self.own = HostId(registry.settings.host.id)
        self.registry = registry
        self.exchange = exchange
        self.listed = listed
        self.ended = True
        self.ends_at = Deadline(0.0)

    def begin(self) -> None:
        """Start to limit this host to its share, for a limited time."""
        self.ended = False
        self.ends_at = Deadline(trio.current_time() + MAX_START_SECONDS)

    async def run(self) -> None:
        """Lift the limit once the others are connected, or at its timeout."""
        while not self.ended:
            if trio.current_time() >= self.ends_at or self._is_connected():
                self._end()
            else:
                await trio.sleep(CONNECTION_POLL_SECONDS)

    def allows(self, target: TargetState) -> bool:
        """Return whether this host may take one more slot of `target`."""
        if self.ended or not self._shares(target):
            return True
        return target.in_flight < self._slots(target)

    def restricted(
        self, targets: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        """Return all targets until the start is over."""
        return () if self.ended else targets

    def _end(self) -> None:
        self.ended = True
        for service in self.registry.services:
            self.registry.notify(service)

    def _is_connected(self) -> bool:
        hosts = len(self._hosts())
        return 1 + len(self.exchange.near_peers()) >= CONNECTED_RATIO * hosts

    def _hosts(self) -> Sequence[HostId]:
        """Return the hosts that share the same targets, sorted."""
        others = self.exchange.group_hosts() or self.listed()
        return sorted({self.own, *others})

    def _shares(self, target: TargetState) -> bool:
        return self.exchange.shares_target(target.id, target.failure_domain)

    def _slots(self, target: TargetState) -> int:
        targets = self.registry.targets(target.service)
        shared = [each for each in targets if self._shares(each)]
        shares = own_slots(self.own, self._hosts(), target.service, shared)
        return shares[target.id]


def own_slots(
    own: HostId,
    hosts: Sequence[HostId],
    service: ServiceId,
    targets: Sequence[TargetState],
) -> Counter[TargetId]:
    """Return how many slots of each target belong to the host `own`.

    Slots are assigned to the hosts round-robin, so that the numbers of slots of
    any two hosts differ by at most one, and the slots of one target go to
    different hosts.

    Args:
        own: One of `hosts`.
        hosts: All hosts, in the same order on each host.
        service: The targets' service, which determines the first host.
        targets: The targets.
    """
    first = xxhash.xxh32_intdigest(service.encode())
    place = (hosts.index(own) - first) % len(hosts)
    shares: Counter[TargetId] = Counter()
    passed = 0
    for target in sorted(targets, key=lambda each: each.id):
        # The numbers of the slots from `passed` on that leave the remainder
        # `place`; a target may report a million slots.
        first_own = (place - passed) % len(hosts)
        own_count = len(range(first_own, target.slots, len(hosts)))
        shares[target.id] = own_count
        passed += target.slots
    return shares
