"""Share the targets' slots out among hosts that do not hear each other yet.

When a whole fleet starts at once, as after a loss of power, every host finds
callers waiting and knows of no request but its own. For the first moments each
takes only slots that no other host takes, worked out alike by all of them from
the list of hosts and that of targets.
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

START_SECONDS = 0.3
"""Longest time that a host which starts keeps to its share. Links with the
peers stand some 100 ms after a start."""

HEARD_RATIO = 0.8
"""Share of the listed hosts that is heard when a host leaves its share."""

POLL_SECONDS = 0.005
"""How often a host that starts looks whether it hears the others."""


class StartShare(TargetShare):
    """The slots that this host may take while it hears few others.

    18 hosts that started at the same moment sent 60 requests within 10 ms, up
    to six of them to one target of three slots; 46 of 190 requests of that
    second ended at their route's timeout.

    Attributes:
        over: Whether this host may use every slot.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        exchange: Exchange,
        listed: Callable[[], Sequence[HostId]],
    ):
        """Start with all slots; `run` begins the time of shares.

        Args:
            registry: The targets.
            exchange: The other hosts.
            listed: Returns the hosts that are known to exist.
        """
        self.own = HostId(registry.settings.host.id)
        self.registry = registry
        self.exchange = exchange
        self.listed = listed
        self.over = True
        self.until = Deadline(0.0)

    def begin(self) -> None:
        """Keep to the share from now on, for a while."""
        self.over = False
        self.until = Deadline(trio.current_time() + START_SECONDS)

    async def run(self) -> None:
        """End the time of shares once the others are heard."""
        while not self.over:
            if trio.current_time() >= self.until or self._hears_others():
                self._end()
            else:
                await trio.sleep(POLL_SECONDS)

    def allows(self, target: TargetState) -> bool:
        """Return whether this host may take one more slot of `target`."""
        if self.over or not self._shares(target):
            return True
        return target.in_flight < self._slots(target)

    def _end(self) -> None:
        self.over = True
        for service in self.registry.services:
            self.registry.notify(service)

    def _hears_others(self) -> bool:
        hosts = len(self._hosts())
        return 1 + len(self.exchange.near_peers()) >= HEARD_RATIO * hosts

    def _hosts(self) -> Sequence[HostId]:
        """Return the hosts that share the same targets, in order."""
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
    """Return how many slots of each target are `own`'s.

    Slots go round among the hosts, so that each has as many as any other, or
    one less, and those of one target go to different hosts.

    Args:
        own: One of `hosts`.
        hosts: All hosts, in the same order at each.
        service: The targets' service; each starts with another host.
        targets: The targets.
    """
    first = xxhash.xxh32_intdigest(service.encode())
    place = (hosts.index(own) - first) % len(hosts)
    shares: Counter[TargetId] = Counter()
    passed = 0
    for target in sorted(targets, key=lambda each: each.id):
        for slot in range(passed, passed + target.slots):
            if slot % len(hosts) == place:
                shares[target.id] += 1
        passed += target.slots
    return shares
