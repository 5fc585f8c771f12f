"""Implement common policies as baselines, and create a policy by name."""

import random
from collections.abc import Sequence

from agatetack.balance.fleet_view import FleetView
from agatetack.balance.policy import Policy
from agatetack.ids import Deadline
from agatetack.late import LateModule
from agatetack.settings.model import PolicyName, Settings
from agatetack.targets.state import TargetState

expected_wait = LateModule("agatetack.balance.expected_wait")


class Random(Policy):
    """Chooses a random target."""

    def __init__(self, rng: random.Random):
        """Draw from `rng`."""
        self.rng = rng

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return a random candidate."""
        return self.rng.choice(candidates)


class RoundRobin(Policy):
    """Chooses the target that this host chose longest ago."""

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return the candidate chosen longest ago."""
        return min(candidates, key=_last_chosen_at)


class LeastInFlight(Policy):
    """Chooses the target with the fewest requests of this host in flight."""

    def __init__(self, rng: random.Random):
        """Break ties with `rng`."""
        self.rng = rng

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return one of the candidates with the fewest own requests."""
        min_in_flight = min(target.in_flight for target in candidates)
        ties = [t for t in candidates if t.in_flight == min_in_flight]
        return self.rng.choice(ties)


class PowerOfTwo(Policy):
    """Chooses the less loaded of two random targets by their last reports."""

    def __init__(self, rng: random.Random):
        """Draw from `rng`."""
        self.rng = rng

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return the one of two candidates that reported less load."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = self.rng.sample(candidates, 2)
        if _reported_load(second) < _reported_load(first):
            return second
        return first


def make_policy(settings: Settings, seed: int) -> Policy:
    """Return the policy that `settings.balance.policy` names.

    Args:
        settings: The host's settings.
        seed: Seed of the policy's random choices. It differs from host to
            host, so that hosts with the same state do not all choose the same
            target.
    """
    rng = random.Random(seed)
    name = settings.balance.policy
    if name is PolicyName.RANDOM:
        return Random(rng)
    if name is PolicyName.ROUND_ROBIN:
        return RoundRobin()
    if name is PolicyName.LEAST_IN_FLIGHT:
        return LeastInFlight(rng)
    if name is PolicyName.POWER_OF_TWO:
        return PowerOfTwo(rng)
    if name is PolicyName.FLEET_VIEW:
        return FleetView(settings, rng)
    return expected_wait.ExpectedWait(settings, rng)


def _last_chosen_at(target: TargetState) -> float:
    return -1.0 if target.last_chosen_at is None else target.last_chosen_at


def _reported_load(target: TargetState) -> int:
    return 0 if target.report is None else target.report.in_flight
