"""Probe each target steadily from one host, which tells the others."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence

import trio
import xxhash

from agatetack.ids import Deadline, FailureDomain, HostId, TargetId
from agatetack.measure.prober import Prober
from agatetack.peers.exchange import Exchange, Peer
from agatetack.settings.model import Settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState

OWNERS_SECONDS = 0.1
"""How often it is looked whether other targets are this host's to probe."""

PEERS_SECONDS = 0.3
"""Longest time that a host which starts waits for links with its peers.

Until it has them all targets are its own to probe. The wait saved a fifth of
the connections to targets (10,483 to 8,403 on five simulated days, in each of
which 14 hosts lost power or were killed).
"""

PEERS_POLL_SECONDS = 0.01
"""How often it is looked whether they are there."""

MOST_UNEVEN = 2.0
"""Times the mean number of targets that a host may get to probe because they
are in its failure domain; a single host beside many targets would have no
processor time left for requests."""


LARGEST_FLEET = 1000
"""Hosts that a host takes a fleet to have of which it knows nothing yet."""


class ProbeRounds:
    """The targets that this host probes, one task for each.

    Each target has one owner among the hosts that are live: the one with the
    highest hash of both names, so that a host that joins or leaves moves few
    targets, and all hosts agree without a word. Where their views differ a
    target may have several owners. A host that knows of a part of the fleet
    only spends as small a part of the rate, so that all together stay within
    it: without that, 14 hosts whose links were gone sent 14 times as much.

    Hosts in the target's own failure domain go first, as bytes between
    failure domains are paid for: at 15 probes of some 250 bytes a second each
    target cost 2.5 KB/s of them.

    Attributes:
        rate: Probes of each target in a second, from the whole fleet.
        share: Part of the rate that this host spends on each of its targets,
            as other hosts that it knows nothing of may think them theirs.
        owned: The targets of this host.
        probing: Targets that a task probes.
        view: The live hosts and where they are, and the number of changes of
            the targets, for which the owned ones were worked out.
    """

    def __init__(
        self,
        settings: Settings,
        registry: TargetRegistry,
        exchange: Exchange,
        prober: Prober,
        fleet_size: Callable[[], int | None],
        rng: random.Random,
    ):
        """Probe with `prober`.

        Args:
            settings: The host's settings.
            registry: The targets.
            exchange: The other hosts.
            prober: Makes the probes.
            fleet_size: Returns the number of hosts, never too low, or None
                if it is not known.
            rng: Draws the play between probes.
        """
        self.own = HostId(settings.host.id)
        self.domain = FailureDomain(settings.host.failure_domain)
        self.max_peers = settings.peers.max_peers
        self.rate = settings.measure.target_probes_per_second
        self.registry = registry
        self.exchange = exchange
        self.prober = prober
        self.fleet_size = fleet_size
        self.share = 1.0
        self.owned: dict[TargetId, TargetState] = {}
        self.probing: set[TargetId] = set()
        self.view: tuple[dict[HostId, FailureDomain], int] | None = None
        self.random = rng

    async def run(self) -> None:
        """Probe until cancelled."""
        if self.rate <= 0:
            return
        await self._until_linked()
        async with trio.open_nursery() as nursery:
            while True:
                self._find_owned()
                for target in self.owned.values():
                    if target.id not in self.probing:
                        self.probing.add(target.id)
                        nursery.start_soon(self._probe_on, target)
                await trio.sleep(OWNERS_SECONDS)

    async def _until_linked(self) -> None:
        with trio.move_on_after(PEERS_SECONDS):
            while len(self.exchange.near_peers()) < self._wanted_peers():
                await trio.sleep(PEERS_POLL_SECONDS)

    def _wanted_peers(self) -> int:
        hosts = len(self.exchange.group_hosts()) or self.exchange.fleet_size()
        return min(hosts - 1, self.max_peers)

    def _find_owned(self) -> None:
        hosts = {self.own: self.domain}
        for peer in self._probing_hosts():
            if not peer.leaving:
                hosts[peer.id] = peer.failure_domain
        self.share = min(1.0, len(hosts) / self._most_hosts())
        view = (hosts, self.registry.changes)
        if view == self.view:
            return
        self.view = view
        targets = [
            target
            for target in self.registry.by_id.values()
            if self.exchange.shares_target(target.id, target.failure_domain)
        ]
        able = able_hosts(hosts, targets)
        self.owned = {
            target.id: target
            for target in targets
            if owner(able[target.failure_domain], target.id) == self.own
        }

    def _probing_hosts(self) -> Sequence[Peer]:
        """Return the other hosts that probe the same targets."""
        if self.exchange.bounded:
            return self.exchange.near_peers()
        return self.exchange.known_hosts()

    def _most_hosts(self) -> int:
        """Return how many hosts may probe the same targets, never too low."""
        size = self.fleet_size()
        if size is None:
            return LARGEST_FLEET
        return len(self.exchange.group_hosts()) or size

    async def _probe_on(self, target: TargetState) -> None:
        """Probe `target` while it is this host's to probe."""
        # Some play keeps the hosts' probes from coming in step.
        play = self.random.uniform(0.0, 1.0)
        probed_at = trio.current_time()
        try:
            while await self._until_due(target, probed_at, play):
                probed_at = trio.current_time()
                play = self.random.uniform(0.8, 1.2)
                if self.registry.may_be_probed(target):
                    await self.prober.probe(target)
        finally:
            self.probing.discard(target.id)

    async def _until_due(
        self, target: TargetState, probed_at: float, play: float
    ) -> bool:
        """Wait for the next probe; return whether it is this host's still."""
        while self.owned.get(target.id) is target:
            known_at = max(probed_at, _known_at(target))
            due_at = known_at + play / self.rate / self.share
            now = trio.current_time()
            if now >= due_at:
                return True
            # The share may grow meanwhile, from next to nothing at a start.
            await trio.sleep_until(min(due_at, now + OWNERS_SECONDS))
        return False


def _known_at(target: TargetState) -> float:
    """Return when the target said last what a probe would tell.

    A target that gets requests is looked at and answers, and whoever hears it
    tells its owner. Whether it is warm only a probe or a look shows.
    """
    report = target.report
    now = Deadline(trio.current_time())
    if report is None or target.warmth.is_cold(now):
        return float("-inf")
    return report.at


def able_hosts(
    hosts: Mapping[HostId, FailureDomain], targets: Sequence[TargetState]
) -> Mapping[FailureDomain, Sequence[HostId]]:
    """Return which hosts may probe the targets of each failure domain.

    Args:
        hosts: All live hosts and where they are.
        targets: All targets.
    """
    near: dict[FailureDomain, list[HostId]] = defaultdict(list)
    for host, domain in hosts.items():
        near[domain].append(host)
    most = MOST_UNEVEN * len(targets) / len(hosts)
    counts = Counter(target.failure_domain for target in targets)
    return {
        domain: near[domain]
        if count <= most * len(near[domain])
        else list(hosts)
        for domain, count in counts.items()
    }


def owner(hosts: Sequence[HostId], target: TargetId) -> HostId:
    """Return which of `hosts` probes `target`."""
    return max(hosts, key=lambda host: rank(host, target))


def rank(host: HostId, target: TargetId) -> int:
    """Return how near `target` is to `host`; the highest rank owns it."""
    return xxhash.xxh32_intdigest(f"{host}/{target}".encode())
