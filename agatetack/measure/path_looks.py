"""Look at targets that this host or another one could not reach."""

import random
from collections.abc import Awaitable, Callable, Sequence

import trio

from agatetack.ids import Deadline, ProcessId
from agatetack.peers.exchange import Exchange
from agatetack.targets.paths import LostPath
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState

TICK_SECONDS = 0.05
"""Interval at which due looks are started."""

MAX_LOOKS_PER_TICK = 3
"""Maximum number of lost paths that are looked at in one tick."""

LOOK_INTERVAL_SECONDS = 1.0
"""Time between two looks at a lost path, which is longer in large fleets."""

SUSPECT_INTERVAL_SECONDS = 0.25
"""Minimum time between two looks at a target that other hosts can't reach,
which is longer in large fleets."""

MAX_FLEET_LOOKS_PER_SECOND = 15
"""Maximum number of looks per second at one target that all hosts have lost,
or are told of."""


class PathLooks:
    """Probes targets to find out whether this host reaches them.

    A path that is lost is looked at until it is back. A target that refused
    another host, or that it does not hear, is looked at soon: it may be gone,
    or only the path of the other host lost.

    Attributes:
        suspects: Targets that another host can't reach, to be looked at.
        looked_at: When each target was looked at last.
        looking: Targets that are being looked at.
        added: Set when there may be something to look at.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        exchange: Exchange,
        probe: Callable[[TargetState], Awaitable[None]],
        rng: random.Random,
    ):
        """Look at targets of `registry` with `probe`.

        Args:
            registry: The targets.
            exchange: The other hosts.
            probe: Probes one target and records the result.
            rng: Draws the jitter of the interval between looks.
        """
        self.registry = registry
        self.exchange = exchange
        self.probe = probe
        self.random = rng
        self.suspects: dict[ProcessId, TargetState] = {}
        self.looked_at: dict[ProcessId, Deadline] = {}
        self.looking: set[ProcessId] = set()
        self.added = trio.Event()
        registry.paths.watchers.append(self._on_path)

    def suspect(self, target: TargetState) -> None:
        """Look at a target that another host can't reach, unless just done.

        In a large fleet only the hosts that send most of its requests look.
        """
        last_at = self.looked_at.get(target.process, float("-inf"))
        if (
            trio.current_time() - last_at < self._suspect_seconds()
            or self.registry.paths.is_lost(target)
            or not self.exchange.shares_target(target.id, target.failure_domain)
        ):
            return
        self.suspects[target.process] = target
        self.added.set()

    async def run(self) -> None:
        """Look at what is due until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self.suspects and not self.registry.paths.lost:
                    self._forget_old_looks()
                    self.added = trio.Event()
                    await self.added.wait()
                for target in self._due():
                    self.looking.add(target.process)
                    nursery.start_soon(self._look, target)
                await trio.sleep(TICK_SECONDS)

    def _forget_old_looks(self) -> None:
        oldest = trio.current_time() - self._suspect_seconds()
        self.looked_at = {
            process: at for process, at in self.looked_at.items() if at > oldest
        }

    def _on_path(self, target: TargetState) -> None:
        self.added.set()

    def _due(self) -> Sequence[TargetState]:
        """Return the targets to look at now."""
        now = Deadline(trio.current_time())
        due = list(self.suspects.values())
        self.suspects.clear()
        # One that is being looked at stays due, as its time may be moved up.
        paths = [
            path
            for path in self.registry.paths.lost.values()
            if path.target.process not in self.looking
        ]
        paths.sort(key=_look_at)
        for path in paths[:MAX_LOOKS_PER_TICK]:
            if path.look_at > now:
                break
            path.look_at = Deadline(now + self._interval_seconds())
            due.append(path.target)
        evacuated = self.registry.evacuated
        due = [
            target
            for target in due
            if target.process not in self.looking
            and target.failure_domain not in evacuated
        ]
        for target in due:
            self.looked_at[target.process] = now
        return due

    def _interval_seconds(self) -> float:
        jitter = self.random.uniform(0.8, 1.2)
        return jitter * max(LOOK_INTERVAL_SECONDS, self._fleet_seconds())

    def _suspect_seconds(self) -> float:
        return max(SUSPECT_INTERVAL_SECONDS, self._fleet_seconds())

    def _fleet_seconds(self) -> float:
        """Return the least time between two looks at one target."""
        return self.exchange.fleet_size() / MAX_FLEET_LOOKS_PER_SECOND

    async def _look(self, target: TargetState) -> None:
        try:
            await self.probe(target)
        finally:
            self.looking.discard(target.process)


def _look_at(path: LostPath) -> Deadline:
    return path.look_at
