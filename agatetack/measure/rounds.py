"""Probe each target periodically from one host, which informs the others."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence

import trio
import xxhash

from agatetack.clock import Lateness
from agatetack.ids import Deadline, FailureDomain, HostId, ProcessId, TargetId
from agatetack.measure.path_sharing import PathSharing
from agatetack.measure.prober import Prober
from agatetack.peers.exchange import Exchange, Peer
from agatetack.settings.model import Settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState

OWNERS_INTERVAL_SECONDS = 0.1
"""Interval at which a host determines which targets it has to probe."""

MAX_PEERS_WAIT_SECONDS = 0.3
"""Maximum time that a starting host waits for connections with its peers.

Without them it probes all targets itself. The wait saved a fifth of the
connections to targets (10,483 to 8,403 on five simulated days, in each of which
14 hosts lost power or were killed).
"""

PEERS_POLL_INTERVAL_SECONDS = 0.01
"""Interval between checks for these connections."""

MAX_TARGETS_RATIO = 2.0
"""Maximum number of targets that a host probes because they are in its failure
domain, as a multiple of the mean over all hosts. Otherwise a single host among
many targets would have no processor time left for requests."""


MAX_FLEET_SIZE = 1000
"""Upper bound of the number of hosts, assumed while it is unknown."""


class ProbeRounds:
    """Probes the targets that this host owns, with one task for each.

    Each target has one owner among the live hosts, chosen by rendezvous
    hashing: the host with the highest hash of both names. So a host that
    joins or leaves moves few targets, and all hosts agree without messages.
    Where their views differ a target may have several owners. A host that
    knows only a part of the fleet uses only the same part of the rate, so
    that all hosts together stay within it; without that, 14 hosts that had
    lost their connections sent 14 times as many probes.

    Hosts in the target's own failure domain are preferred, as traffic between
    failure domains costs money: at 15 probes of some 250 bytes a second each
    target caused 2.5 KB/s of it.

    Attributes:
        rate: Probes of each target in a second, from the whole fleet.
        share: Part of the rate that this host uses for each of its targets;
            hosts that it does not know may own them, too.
        owned: Targets that this host owns.
        probing: Processes of targets that are probed by a task.
        view: The live hosts with their failure domains, and the change counts
            of the registry and of lost paths, from which `owned` was computed.
    """

    def __init__(
        self,
        settings: Settings,
        registry: TargetRegistry,
        exchange: Exchange,
        prober: Prober,
        fleet_size: Callable[[], int | None],
        rng: random.Random,
        lateness: Lateness | None = None,
        paths: PathSharing | None = None,
    ):
        """Probe with `prober`.

        Args:
            settings: The host's settings.
            registry: The targets.
            exchange: The other hosts.
            prober: Makes the probes.
            fleet_size: Returns the number of hosts, never too low, or None
                if it is not known.
            rng: Draws the jitter of the interval between probes.
            lateness: How late the host's loop is; never late if None.
            paths: Which targets each host can't reach; if None, all reach all.
        """
        self.lateness = lateness or Lateness()
        self.paths = paths
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
        self.probing: set[ProcessId] = set()
        self.view: tuple[dict[HostId, FailureDomain], int, int] | None = None
        self.random = rng

    async def run(self) -> None:
        """Probe until cancelled."""
        if self.rate <= 0:
            return
        await self._wait_for_peers()
        async with trio.open_nursery() as nursery:
            while True:
                self._update_owned()
                for target in self.owned.values():
                    if target.process not in self.probing:
                        self.probing.add(target.process)
                        nursery.start_soon(self._probe_owned, target)
                await trio.sleep(OWNERS_INTERVAL_SECONDS)

    async def _wait_for_peers(self) -> None:
        with trio.move_on_after(MAX_PEERS_WAIT_SECONDS):
            while len(self.exchange.near_peers()) < self._wanted_peers():
                await trio.sleep(PEERS_POLL_INTERVAL_SECONDS)

    def _wanted_peers(self) -> int:
        hosts = len(self.exchange.group_hosts()) or self.exchange.fleet_size()
        return min(hosts - 1, self.max_peers)

    def _update_owned(self) -> None:
        hosts = {self.own: self.domain}
        for peer in self._probing_hosts():
            if not peer.leaving:
                hosts[peer.id] = peer.failure_domain
        self.share = min(1.0, len(hosts) / self._max_hosts())
        path_changes = 0 if self.paths is None else self.paths.changes
        view = (hosts, self.registry.changes, path_changes)
        if view == self.view:
            return
        self.view = view
        targets = [
            target
            for target in self.registry.by_id.values()
            if self.exchange.shares_target(target.id, target.failure_domain)
        ]
        eligible = eligible_hosts(hosts, targets)
        self.owned = {
            target.id: target
            for target in targets
            if self._owner(eligible[target.failure_domain], target) == self.own
        }

    def _owner(self, hosts: Sequence[HostId], target: TargetState) -> HostId:
        """Return which of `hosts` probes `target`: one that reaches it."""
        if self.paths is None:
            return owner(hosts, target.id)
        reaching = [host for host in hosts if self._reaches(host, target)]
        return owner(reaching or hosts, target.id)

    def _reaches(self, host: HostId, target: TargetState) -> bool:
        if host == self.own:
            return not self.registry.paths.is_lost(target)
        return not self.paths.is_lost_by(host, target)

    def _probing_hosts(self) -> Sequence[Peer]:
        """Return the other hosts that probe the same targets."""
        if self.exchange.is_grouped:
            return self.exchange.near_peers()
        return self.exchange.known_hosts()

    def _max_hosts(self) -> int:
        """Return how many hosts may probe the same targets, never too low."""
        size = self.fleet_size()
        if size is None:
            return MAX_FLEET_SIZE
        return len(self.exchange.group_hosts()) or size

    async def _probe_owned(self, target: TargetState) -> None:
        """Probe `target` while this host owns it."""
        # Jitter keeps the probes of different hosts from synchronizing.
        jitter = self.random.uniform(0.0, 1.0)
        probed_at = trio.current_time()
        try:
            while await self._wait_until_due(target, probed_at, jitter):
                probed_at = trio.current_time()
                jitter = self.random.uniform(0.8, 1.2)
                if self.registry.may_be_probed(target):
                    await self.prober.probe(target)
        finally:
            self.probing.discard(target.process)

    def _rate(self) -> float:
        """Return how often this host probes each target that it owns."""
        return self.rate * self.share * self.lateness.informing_ratio

    async def _wait_until_due(
        self, target: TargetState, probed_at: float, jitter: float
    ) -> bool:
        """Wait until the next probe is due; return whether it is to be made.

        It is not if this host no longer owns the target.
        """
        while self.owned.get(target.id) is target:
            last_at = max(probed_at, _reported_at(target))
            due_at = last_at + jitter / self._rate()
            now = trio.current_time()
            if now >= due_at:
                return True
            # The share may grow meanwhile; just after a start it is near 0.
            await trio.sleep_until(min(due_at, now + OWNERS_INTERVAL_SECONDS))
        return False


def _reported_at(target: TargetState) -> float:
    """Return when the target last reported what a probe would show.

    A target that gets requests reports its load in answers and to pre-send
    probes, and the hosts that receive a report send it to the target's owner.
    Whether a target is warm is only known from probes of either kind.
    """
    report = target.report
    now = Deadline(trio.current_time())
    if report is None or target.warmth.is_cold(now):
        return float("-inf")
    return report.at


def eligible_hosts(
    hosts: Mapping[HostId, FailureDomain], targets: Sequence[TargetState]
) -> Mapping[FailureDomain, Sequence[HostId]]:
    """Return which hosts may probe the targets of each failure domain.

    Args:
        hosts: All live hosts and their failure domains.
        targets: All targets.
    """
    near: dict[FailureDomain, list[HostId]] = defaultdict(list)
    for host, domain in hosts.items():
        near[domain].append(host)
    max_targets = MAX_TARGETS_RATIO * len(targets) / len(hosts)
    counts = Counter(target.failure_domain for target in targets)
    return {
        domain: near[domain]
        if count <= max_targets * len(near[domain])
        else list(hosts)
        for domain, count in counts.items()
    }


def owner(hosts: Sequence[HostId], target: TargetId) -> HostId:
    """Return which of `hosts` probes `target`."""
    return max(hosts, key=lambda host: rank(host, target))


def rank(host: HostId, target: TargetId) -> int:
    """Return the hash of both; the host with the highest owns `target`."""
    return xxhash.xxh32_intdigest(f"{host}/{target}".encode())
