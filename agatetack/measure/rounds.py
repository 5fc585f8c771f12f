"""Probe each target steadily from one host, which tells the others."""

import random

import trio
import xxhash

from agatetack.ids import HostId, TargetId
from agatetack.measure.prober import Prober
from agatetack.peers.exchange import Exchange
from agatetack.settings.model import Settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState

OWNERS_SECONDS = 0.1
"""How often it is looked whether other targets are this host's to probe.

It is also how long a host that starts is blind: it owns all targets until it
has heard of its peers.
"""


class ProbeRounds:
    """The targets that this host probes, one task for each.

    Each target has one owner among the hosts that are live: the one with the
    highest hash of both names, so that a host that joins or leaves moves few
    targets, and all hosts agree without a word. Where their views differ a
    target may be probed twice, or not at all, for a heartbeat's time.

    Attributes:
        rate: Probes of each target in a second, from the whole fleet.
        owned: The targets of this host.
        probing: Targets that a task probes.
        view: The live hosts, and the number of changes of the targets, for
            which the owned ones were worked out.
    """

    def __init__(
        self,
        settings: Settings,
        registry: TargetRegistry,
        exchange: Exchange,
        prober: Prober,
    ):
        """Probe with `prober`."""
        self.own = HostId(settings.host.id)
        self.rate = settings.measure.target_probes_per_second
        self.registry = registry
        self.exchange = exchange
        self.prober = prober
        self.owned: dict[TargetId, TargetState] = {}
        self.probing: set[TargetId] = set()
        self.view: tuple[frozenset[HostId], int] | None = None
        self.random = random.Random()

    async def run(self) -> None:
        """Probe until cancelled."""
        if self.rate <= 0:
            return
        async with trio.open_nursery() as nursery:
            while True:
                self._find_owned()
                for target in self.owned.values():
                    if target.id not in self.probing:
                        self.probing.add(target.id)
                        nursery.start_soon(self._probe_on, target)
                await trio.sleep(OWNERS_SECONDS)

    def _find_owned(self) -> None:
        peers = self.exchange.live_peers()
        hosts = frozenset(
            [self.own, *(peer.id for peer in peers if not peer.leaving)]
        )
        view = (hosts, self.registry.changes)
        if view == self.view:
            return
        self.view = view
        self.owned = {
            target.id: target
            for target in self.registry.by_id.values()
            if max(hosts, key=lambda host: rank(host, target.id)) == self.own
        }

    async def _probe_on(self, target: TargetState) -> None:
        """Probe `target` while it is this host's to probe."""
        try:
            while self.owned.get(target.id) is target:
                # Some play keeps the hosts' probes from coming in step.
                pause = self.random.uniform(0.8, 1.2) / self.rate
                next_at = trio.current_time() + pause
                if self.registry.may_be_probed(target):
                    await self.prober.probe(target)
                await trio.sleep_until(next_at)
        finally:
            self.probing.discard(target.id)


def rank(host: HostId, target: TargetId) -> int:
    """Return how near `target` is to `host`; the highest rank owns it."""
    return xxhash.xxh32_intdigest(f"{host}/{target}".encode())
