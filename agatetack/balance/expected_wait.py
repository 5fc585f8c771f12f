"""Choose the target where a request is expected to finish first.

The expected time at a target is the sum of its network time, its service time,
and the time until a slot is free. The load from other hosts is estimated from
the last report and the usual load, weighted by the age of the report.
"""

import math
import random
from collections.abc import Sequence

from agatetack.balance.learning import FAILURES_TO_AVOID, LearningPolicy
from agatetack.ids import Deadline
from agatetack.settings.model import Settings
from agatetack.targets.state import TargetState

TIE_RATIO = 0.1
"""Ratio of the typical service time. Candidates whose cost is within this of
the lowest count as equally good."""

NORMAL_RATIO = 2.0
"""Up to this multiple of the typical service time a target counts as normal.

Smaller differences that a host measures are mostly noise in a few answers;
reacting to them makes the load of the targets uneven.
"""

LOW_REPORT_HALF_LIFE_RATIO = 0.1
"""Ratio of the normal half-life at which a report below the usual load decays.

A long queue takes time to drain, but a free slot is taken by whichever host
learns of it first.
"""

MAX_CANDIDATES = 12
"""Maximum number of candidates that are compared for one choice, which bounds
the cost of the choice."""

MAX_REPORT_HALF_LIVES = 8
"""Half-lives after which a report is ignored."""

IN_FLIGHT_SERVICE_RATIO = 0.5
"""Ratio of the time a request has been in flight that counts as service
time."""


class ExpectedWait(LearningPolicy):
    """Chooses the target with the lowest expected time to an answer."""

    def __init__(self, settings: Settings, rng: random.Random):
        """Choose among nearly equal candidates with `rng`."""
        super().__init__(settings, rng)
        self.report_half_life = settings.measure.report_half_life_seconds
        self.max_report_uses = settings.measure.probe_reuses

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return one of the nearly best candidates, or one due for a trial."""
        if len(candidates) > MAX_CANDIDATES:
            candidates = self._sample(candidates)
        typical = self.update_typical(candidates, now)
        limit = typical * self.settings.balance.slow_ratio
        best = math.inf
        costs: list[float] = []
        for target in candidates:
            learned = target.learned
            if learned.peer_measured_at > learned.peer_applied_at:
                self.apply_peer_measurement(target, limit, now)
            service = learned.service_seconds or typical
            if service > limit or target.failures >= FAILURES_TO_AVOID:
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
        return self.choose_near_lowest(candidates, costs, TIE_RATIO * typical)

    def cost(self, target: TargetState, now: Deadline, typical: float) -> float:
        """Return the expected seconds from sending to the answer."""
        learned = target.learned
        service = learned.service_seconds or typical
        if service < NORMAL_RATIO * typical:
            service = typical
        if learned.sent:
            # A request that has been in flight for long shows that the target
            # is slow before an answer does.
            service = max(
                service,
                IN_FLIGHT_SERVICE_RATIO * learned.oldest_in_flight_seconds(now),
            )
        wait = expected_wait(
            target.in_flight, self.expected_others(target, now), target.slots
        )
        cost = self.round_trip_seconds(target) + service * (1 + wait)
        return cost + self.extra_cost_ratio(target, now) * typical

    def expected_others(self, target: TargetState, now: Deadline) -> float:
        """Return the estimated number of other hosts' requests there."""
        report = target.report
        usual = target.learned.others
        if report is None:
            return usual
        seen = report.in_flight - report.own_in_flight
        half_lives = (now - report.at) / self.report_half_life
        if seen < usual:
            half_lives /= LOW_REPORT_HALF_LIFE_RATIO
            if target.report_uses >= self.max_report_uses:
                # The free slot that it reported has been used.
                return usual
            if seen < 0:
                seen = 0
        estimate = usual
        if half_lives < MAX_REPORT_HALF_LIVES:
            estimate += (seen - usual) * 0.5**half_lives
        trust = target.learned.trust
        if trust < 1:
            known = self.medians.get(target.service)
            common = usual if known is None else known.others
            estimate = trust * estimate + (1 - trust) * common
        return estimate

    def expected_load(self, target: TargetState, now: Deadline) -> float:
        """Return the estimated number of requests at `target` now."""
        return target.in_flight + self.expected_others(target, now)

    def _sample(self, candidates: Sequence[TargetState]) -> list[TargetState]:
        # A contiguous run from a random start is cheaper than a random sample.
        start = self.rng.randrange(len(candidates))
        sampled = list(candidates[start : start + MAX_CANDIDATES])
        sampled += candidates[: MAX_CANDIDATES - len(sampled)]
        return sampled


def expected_wait(own: int, others: float, slots: int) -> float:
    """Return the expected wait for a slot, in service times.

    The number of other hosts' requests is assumed to be Poisson distributed
    with mean `others`, which makes a target of uncertain load costlier than one
    that is known to have a free slot.

    Args:
        own: Exact number of this host's requests there.
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
