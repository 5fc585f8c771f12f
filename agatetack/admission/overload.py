"""Decide which requests of an overloaded service are refused.

The load that this answers: a rank or an account that asks for several times its
usual rate, or the loss of half of the targets, so that a service cannot run
what is asked for. Without refusals nearly all requests wait and end late.
"""

import abc
import dataclasses
import math
from collections.abc import Mapping

from agatetack.admission.controller import PermitRequest
from agatetack.admission.pressure import Pressure
from agatetack.admission.ranks import fraction_of, rank_of
from agatetack.ids import ClientAccountId, Deadline

RECENT_HALF_LIFE_SECONDS = 2.0
"""Half-life of the counts of recent requests; a burst lasts 3 to 6 s."""

USUAL_HALF_LIFE_SECONDS = 30.0
"""Half-life of the counts that an account's recent requests are compared
with."""

PRIOR_REQUESTS = 2.0
"""Requests added to both counts of an account, so that one request of a small
account doesn't look like a burst at a host that sees it once a minute."""

MIN_SHARE_RATIO = 0.25
"""Ratio of the share of all requests that is admitted of each account."""

FALL_PER_SECOND = 0.8
"""How fast the level falls while requests wait up to twice their limit. The
first second of a burst of 6 s is spent on it."""

RISE_PER_SECOND = 0.15
"""How fast the level rises while requests wait for less than their limit."""

RELEASE_PER_SECOND = 1.0
"""How fast the level rises while there are free slots."""

RISE_WAIT_RATIO = 0.7
"""The level rises only while the waits are below this ratio of their limit."""

RANK_WEIGHT = 4.0
"""How many times the share of the next lower rank a rank gets."""

SHARE_HEADROOM = 1.0
"""Ratio of the admitted to the served requests with shares of slots. Requests
that find a free slot are admitted in any case, so that it needs no room to
notice that there are more. At 1.15, a fifth fewer requests that wait in vain
were refused at once."""

MAX_ACCOUNTS = 500
"""Accounts with counts at one host; the counts are dropped above it."""

BISECTIONS = 20
"""Steps in which the water level is computed; the error is 1e-6."""

Key = tuple[int, ClientAccountId]


@dataclasses.dataclass(slots=True)
class Decaying:
    """A count that halves in each half-life.

    Attributes:
        half_life: In seconds.
        value: The count at `at`.
        at: When it was last changed.
    """

    half_life: float
    value: float = 0.0
    at: Deadline = Deadline(0.0)

    def get(self, now: Deadline) -> float:
        """Return what the count is worth at `now`."""
        return self.value * 0.5 ** ((now - self.at) / self.half_life)

    def add(self, amount: float, now: Deadline) -> None:
        """Add `amount` at `now`."""
        self.value = self.get(now) + amount
        self.at = now


class Demand:
    """What accounts ask for at this host, recently and usually.

    Attributes:
        recent: Recent requests, by rank and account.
        usual: Requests over a longer time, by rank and account.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.recent: dict[Key, Decaying] = {}
        self.usual: dict[Key, Decaying] = {}

    def note(self, key: Key, now: Deadline) -> None:
        """Count a request."""
        if len(self.recent) >= MAX_ACCOUNTS and key not in self.recent:
            self.recent.clear()
            self.usual.clear()
        if key not in self.recent:
            self.recent[key] = Decaying(RECENT_HALF_LIFE_SECONDS, at=now)
            self.usual[key] = Decaying(USUAL_HALF_LIFE_SECONDS, at=now)
        self.recent[key].add(1, now)
        self.usual[key].add(1, now)

    def counts(self, now: Deadline) -> dict[Key, float]:
        """Return the recent requests, by rank and account."""
        return {key: count.get(now) for key, count in self.recent.items()}

    def excess(self, now: Deadline) -> dict[Key, float]:
        """Return how many times its usual rate each account asks for."""
        ratio = RECENT_HALF_LIFE_SECONDS / USUAL_HALF_LIFE_SECONDS
        return {
            key: (count.get(now) + PRIOR_REQUESTS)
            / (self.usual[key].get(now) * ratio + PRIOR_REQUESTS)
            for key, count in self.recent.items()
        }


def fill_shares(
    demand: Mapping[Key, float], weights: Mapping[Key, float], budget: float
) -> dict[Key, float]:
    """Return the share of each demand to admit, in proportion to `weights`.

    Args:
        demand: Requests asked for.
        weights: Relative shares.
        budget: Requests to admit in all.
    """
    if sum(demand.values()) <= budget:
        return dict.fromkeys(demand, 1.0)
    low, high = 0.0, 1 / min(weights.values())
    for _ in range(BISECTIONS):
        level = (low + high) / 2
        admitted = sum(
            count * min(1.0, level * weights[key])
            for key, count in demand.items()
        )
        low, high = (level, high) if admitted < budget else (low, level)
    return {key: min(1.0, low * weights[key]) for key in demand}


class OverloadControl(abc.ABC):
    """Decides which requests of one overloaded service are refused.

    Attributes:
        demand: What accounts ask for.
        served: Requests that got a target recently.
        refused: Requests refused recently.
        overloaded: Whether the service was overloaded at the last update.
        shares: Share of requests to admit, by rank and account.
        updated_at: When the last update was.
        began_at: When the first request arrived, or None.
    """

    def __init__(self) -> None:
        """Start with everything admitted."""
        self.demand = Demand()
        self.served = Decaying(RECENT_HALF_LIFE_SECONDS)
        self.refused = Decaying(RECENT_HALF_LIFE_SECONDS)
        self.overloaded = False
        self.shares: dict[Key, float] = {}
        self.updated_at = Deadline(-math.inf)
        self.began_at: Deadline | None = None

    def note_arrival(self, wanted: PermitRequest, now: Deadline) -> None:
        """Count a request's first attempt."""
        if self.began_at is None:
            self.began_at = now
        if wanted.request.account is not None:
            self.demand.note(_key(wanted), now)

    def note_served(self, now: Deadline) -> None:
        """Count a request that got a target."""
        self.served.add(1, now)

    def update(self, pressure: Pressure, now: Deadline) -> None:
        """Adapt the shares to the pressure, at most once for each time."""
        if now == self.updated_at:
            return
        elapsed = min(1.0, now - self.updated_at)
        self.updated_at = now
        budget = self._budget(pressure, elapsed, now)
        demand = self.demand.counts(now)
        total = sum(demand.values())
        self.overloaded = budget < total
        if not self.overloaded:
            self.shares = {}
            return
        least = MIN_SHARE_RATIO * budget / total
        shares = self._divide(demand, budget, now)
        self.shares = {key: max(least, each) for key, each in shares.items()}

    def admits(self, wanted: PermitRequest) -> bool:
        """Return whether a request that would wait may do so."""
        if wanted.request.account is None:
            return True
        share = self.shares.get(_key(wanted), 1.0)
        return fraction_of(wanted, b"overload") < share

    def retry_at(
        self, wanted: PermitRequest, now: Deadline, least: float
    ) -> Deadline:
        """Return when a refused request should come again.

        The refused requests are spread over the time in which the service runs
        as many.

        Args:
            wanted: The request; a fixed number for it decides when.
            now: The time.
            least: The least seconds to wait.
        """
        excess = self.refused.get(now) / max(1.0, self.served.get(now))
        span = max(least, excess * RECENT_HALF_LIFE_SECONDS / math.log(2))
        return Deadline(now + least + fraction_of(wanted, b"retry") * span)

    @abc.abstractmethod
    def _budget(
        self, pressure: Pressure, elapsed: float, now: Deadline
    ) -> float:
        """Return how many of the recent requests to admit; inf for all."""

    @abc.abstractmethod
    def _divide(
        self, demand: Mapping[Key, float], budget: float, now: Deadline
    ) -> dict[Key, float]:
        """Return the share to admit of each rank and account."""


class AdmissionLevel(OverloadControl):
    """Lowers a level by rank and account while requests wait for long.

    Higher ranks are admitted as a whole before lower ones; within a rank the
    accounts are cut by how far they exceed their usual rate.

    Attributes:
        level: Share of the requests that is admitted.
    """

    def __init__(self) -> None:
        """Start with everything admitted."""
        super().__init__()
        self.level = 1.0

    def _budget(
        self, pressure: Pressure, elapsed: float, now: Deadline
    ) -> float:
        if not pressure.known:
            self.level = 1.0
        elif not pressure.full:
            self.level = min(1.0, self.level + RELEASE_PER_SECOND * elapsed)
        elif pressure.overloaded:
            fall = FALL_PER_SECOND * min(2.0, pressure.wait_ratio)
            self.level = max(0.05, self.level - fall * elapsed)
        elif pressure.wait_ratio < RISE_WAIT_RATIO:
            self.level = min(1.0, self.level + RISE_PER_SECOND * elapsed)
        if self.level >= 1:
            return math.inf
        return self.level * sum(self.demand.counts(now).values())

    def _divide(
        self, demand: Mapping[Key, float], budget: float, now: Deadline
    ) -> dict[Key, float]:
        excess = self.demand.excess(now)
        shares: dict[Key, float] = {}
        left = budget
        for rank in sorted({rank for rank, _ in demand}):
            own = {key: n for key, n in demand.items() if key[0] == rank}
            weights = {key: 1 / excess[key] for key in own}
            shares |= fill_shares(own, weights, left)
            left = max(0.0, left - sum(own.values()))
        return shares


class SlotShares(OverloadControl):
    """Gives each rank and account a share of what the service runs."""

    def _budget(
        self, pressure: Pressure, elapsed: float, now: Deadline
    ) -> float:
        if not pressure.overloaded or self.began_at is None:
            return math.inf
        if now - self.began_at < RECENT_HALF_LIFE_SECONDS:
            # A host that has just started knows too little of what is served.
            return math.inf
        return SHARE_HEADROOM * self.served.get(now)

    def _divide(
        self, demand: Mapping[Key, float], budget: float, now: Deadline
    ) -> dict[Key, float]:
        excess = self.demand.excess(now)
        highest = min(rank for rank, _ in demand)
        weights = {
            key: RANK_WEIGHT ** (highest - key[0]) / excess[key]
            for key in demand
        }
        return fill_shares(demand, weights, budget)


def _key(wanted: PermitRequest) -> Key:
    return rank_of(wanted), wanted.request.account.id
