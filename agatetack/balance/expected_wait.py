"""Choose the target where a request is expected to end first.

The expected time at a target is its network time, its service time, and the
time until a slot is free. What others have there is estimated from the last
report, weighed by its age against the usual load.
"""

import math
import random
from collections.abc import Sequence

from agatetack.balance.learning import FAILURES_TO_LEAVE, LearningPolicy
from agatetack.ids import Deadline
from agatetack.settings.model import Settings
from agatetack.targets.state import TargetState

NEAR_RATIO = 0.1
"""Candidates within this share of the best cost count as equally good."""

NORMAL_RATIO = 2.0
"""Up to this multiple of the typical service time a target counts as normal.

Below it the differences that a host learns are mostly the luck of a few
answers; following them makes the load of the targets uneven.
"""

LOW_REPORT_SHARE = 0.1
"""Share of the half-life that a report below the usual load keeps.

A long queue takes time to go away, but a free slot is taken by whichever
host learns of it first.
"""

MOST_WEIGHED = 12
"""Candidates weighed for one choice, so that its cost does not grow."""

FORGOTTEN_HALF_LIVES = 8
"""Half-lives after which a report counts for nothing."""

OUT_SHARE = 0.5
"""Share of the time a request has been out that counts as service time."""


class ExpectedWait(LearningPolicy):
    """Choose by expected time to answer."""

    def __init__(self, settings: Settings, rng: random.Random):
        """Draw among near equals from `rng`."""
        super().__init__(settings, rng)
        self.half_life = settings.measure.report_half_life_seconds
        self.reuses = settings.measure.probe_reuses

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return a candidate among the near best, or one due for a trial."""
        if len(candidates) > MOST_WEIGHED:
            candidates = self._draw(candidates)
        typical = self.update_typical(candidates, now)
        limit = typical * self.settings.balance.slow_ratio
        best = math.inf
        costs: list[float] = []
        for target in candidates:
            learned = target.learned
            if learned.peer_at > learned.peer_seen:
                self.take_peer_word(target, limit, now)
            service = learned.service_seconds or typical
            if service > limit or target.failures >= FAILURES_TO_LEAVE:
                if now >= learned.trial_at and not target.in_flight:
                    self.postpone_trial(target, now)
                    return target
                cost = math.inf
            else:
                cost = self.cost(target, now, typical)
            costs.append(cost)
            if cost < best:
                best = cost
        if best == math.inf:
            return min(candidates, key=lambda t: self.cost(t, now, typical))
        return self.draw_near(candidates, costs, NEAR_RATIO * typical)

    def cost(self, target: TargetState, now: Deadline, typical: float) -> float:
        """Return the expected seconds from sending to the answer."""
        learned = target.learned
        service = learned.service_seconds or typical
        if service < NORMAL_RATIO * typical:
            service = typical
        if learned.sent:
            # A request that is out for long shows a slow target before any
            # answer does.
            service = max(service, OUT_SHARE * learned.out_seconds(now))
        wait = expected_wait(
            target.in_flight, self.expected_others(target, now), target.slots
        )
        cost = self.network(target) + service * (1 + wait)
        return cost + self.reluctance(target, now) * typical

    def expected_others(self, target: TargetState, now: Deadline) -> float:
        """Return how many requests others are thought to have there."""
        report = target.report
        usual = target.learned.others
        if report is None:
            return usual
        seen = report.in_flight - report.own_in_flight
        half_lives = (now - report.at) / self.half_life
        if seen < usual:
            half_lives /= LOW_REPORT_SHARE
            if target.report_uses >= self.reuses:
                # The free slot it told of has been used.
                return usual
            if seen < 0:
                seen = 0
        estimate = usual
        if half_lives < FORGOTTEN_HALF_LIVES:
            estimate += (seen - usual) * 0.5**half_lives
        trust = target.learned.trust
        if trust < 1:
            known = self.typicals.get(target.service)
            common = usual if known is None else known.others
            estimate = trust * estimate + (1 - trust) * common
        return estimate

    def expected_load(self, target: TargetState, now: Deadline) -> float:
        """Return how many requests are thought to be at `target` now."""
        return target.in_flight + self.expected_others(target, now)

    def _draw(self, candidates: Sequence[TargetState]) -> list[TargetState]:
        # A stretch from a random start on costs less than a random sample.
        start = self.rng.randrange(len(candidates))
        drawn = list(candidates[start : start + MOST_WEIGHED])
        drawn += candidates[: MOST_WEIGHED - len(drawn)]
        return drawn


def expected_wait(own: int, others: float, slots: int) -> float:
    """Return the expected wait for a slot, in service times.

    The others' number is taken as Poisson distributed around `others`, which
    makes an uncertain target dearer than one that is known to have a slot.

    Args:
        own: Requests of this host there; exact.
        others: Expected number of other hosts' requests there.
        slots: Requests that run at the same time.
    """
    # E[max(0, own + X + 1 - slots)] = own + others + 1 - slots
    #   + sum over x < free of (free - x) P(X = x), free = slots - own - 1.
    free = slots - own - 1
    waiting = others - free
    if free <= 0:
        return waiting / slots
    probability = math.exp(-others)
    for x in range(free):
        waiting += (free - x) * probability
        probability *= others / (x + 1)
    return max(0.0, waiting) / slots
