"""Probe each target steadily from one host, which tells the others."""

import random
from collections.abc import Iterator

import trio
import xxhash

from agatetack.ids import HostId, TargetId
from agatetack.measure.prober import Prober
from agatetack.peers.exchange import Exchange
from agatetack.settings.model import Settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState, TargetStatus

OWNERS_SECONDS = 0.5
"""How often it is worked out anew which targets are this host's to probe."""

IDLE_SECONDS = 1.0
"""How often a host without targets of its own looks again."""


class ProbeRounds:
    """The targets that this host probes, one after the other.

    Each target has one owner among the hosts that are live: the one with the
    highest hash of both names, so that a host that joins or leaves moves few
    targets, and all hosts agree without a word. Where their views differ a
    target may be probed twice, or not at all, for a heartbeat's time.

    Attributes:
        rate: Probes of each target in a second, from the whole fleet.
        owned: The targets of this host.
        busy: Targets with a probe on its way.
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
        self.owned: list[TargetState] = []
        self.owned_until = 0.0
        self.busy: set[TargetId] = set()
        self.random = random.Random()

    async def run(self) -> None:
        """Probe until cancelled."""
        if self.rate <= 0:
            return
        async with trio.open_nursery() as nursery:
            while True:
                pause = self._pause()
                for target in self._due():
                    nursery.start_soon(self._probe, target)
                    await trio.sleep(pause)
                if not self.owned:
                    await trio.sleep(IDLE_SECONDS)

    def _pause(self) -> float:
        """Return the seconds between two probes of this host.

        They are spread evenly, with some play, so that the hosts' probes do
        not come in step.
        """
        self._find_owned()
        pause = 1 / (self.rate * max(1, len(self.owned)))
        return pause * self.random.uniform(0.8, 1.2)

    def _due(self) -> Iterator[TargetState]:
        for target in list(self.owned):
            if target.id not in self.busy:
                yield target

    def _find_owned(self) -> None:
        now = trio.current_time()
        if now < self.owned_until:
            return
        self.owned_until = now + OWNERS_SECONDS
        hosts = [self.own]
        hosts += [p.id for p in self.exchange.live_peers() if not p.leaving]
        self.owned = [
            target
            for target in self.registry.by_id.values()
            if target.status is not TargetStatus.LEAVING
            and max(hosts, key=lambda h: rank(h, target.id)) == self.own
        ]

    async def _probe(self, target: TargetState) -> None:
        self.busy.add(target.id)
        try:
            await self.prober.probe(target)
        finally:
            self.busy.discard(target.id)


def rank(host: HostId, target: TargetId) -> int:
    """Return how near `target` is to `host`; the highest rank owns it."""
    return xxhash.xxh32_intdigest(f"{host}/{target}".encode())
