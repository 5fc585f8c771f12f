"""Choose with perfect knowledge of every target: a floor no policy reaches."""

import random
from collections.abc import Mapping, Sequence

from agatetack.balance.policy import Policy
from agatetack.ids import Deadline, TargetId
from agatetack.targets.state import TargetState
from bench.policy.target import FakeTarget


class Oracle(Policy):
    """Choose the shortest remaining work, requests on the wire included."""

    def __init__(self, targets: Mapping[TargetId, FakeTarget], seed: int):
        """Look into `targets`."""
        self.targets = targets
        self.rng = random.Random(seed)

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return the target that will be free first."""
        return min(candidates, key=self._cost)

    def _cost(self, target: TargetState) -> tuple[float, float]:
        fake = self.targets[target.id]
        if fake.dropped:
            return (float("inf"), 0.0)
        ahead = max(0, fake.coming + fake.in_flight + 1 - fake.slots)
        return ((1 + ahead / fake.slots) * fake.slow * fake.noise, self._tie())

    def _tie(self) -> float:
        return self.rng.random()
