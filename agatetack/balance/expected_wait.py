"""Choose the target where a request is expected to end first.

The expected time at a target is its network time, its service time, and the
time until a slot is free. What others have there is estimated from the last
report, weighed by its age against the usual load.
"""

import math
import random
from collections.abc import Sequence

from agatetack.balance.policy import Policy
from agatetack.ids import Deadline
from agatetack.settings.model import Settings
from agatetack.targets.state import TargetState, TargetStatus

SERVICE_WEIGHT = 0.2
"""Weight of one answer in the moving service time."""

OTHERS_WEIGHT = 0.1
"""Weight of one report in the usual load of others."""

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

UNKNOWN_SERVICE_SECONDS = 0.005
"""Service time taken for a service none of whose targets has answered."""

FAILURES_TO_LEAVE = 2
"""Failed attempts in a row after which a target is left like a slow one."""

SHED_SECONDS = 0.01
"""Time without new work after a target's first shed answer."""

MAX_DOUBLINGS = 6
"""How often the wait before a trial, or after a shed, doubles."""


class ExpectedWait(Policy):
    """Choose by expected time to answer."""

    def __init__(self, settings: Settings, rng: random.Random):
        """Draw among near equals from `rng`."""
        self.settings = settings
        self.rng = rng
        self.half_life = settings.measure.report_half_life_seconds
        self.domain = settings.host.failure_domain
        self.typical = UNKNOWN_SERVICE_SECONDS

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return a candidate among the near best, or one due for a trial."""
        self.typical = self._typical_service(candidates)
        limit = self.typical * self.settings.balance.slow_ratio
        best = math.inf
        costs: list[float] = []
        for target in candidates:
            if self._left(target, limit):
                if now >= target.learned.trial_at and not target.in_flight:
                    return target
                cost = math.inf
            else:
                cost = self.cost(target, now)
            costs.append(cost)
            best = min(best, cost)
        if best == math.inf:
            return min(candidates, key=lambda t: self.cost(t, now))
        near = best + NEAR_RATIO * self.typical
        ties = [
            target
            for target, cost in zip(candidates, costs, strict=True)
            if cost <= near
        ]
        return self.rng.choice(ties)

    def cost(self, target: TargetState, now: Deadline) -> float:
        """Return the expected seconds from sending to the answer."""
        learned = target.learned
        service = learned.service_seconds or self.typical
        if service < NORMAL_RATIO * self.typical:
            service = self.typical
        if learned.sent:
            # A request that is out for long shows a slow target before any
            # answer does.
            oldest = next(iter(learned.sent.values()))
            service = max(service, (now - oldest) / 2)
        wait = expected_wait(
            target.in_flight, self.expected_others(target, now), target.slots
        )
        cost = self.network(target) + service * (1 + wait)
        if target.status is TargetStatus.COLD:
            age = now - target.status_since
            ramp = max(0.05, age / self.settings.balance.cold_seconds)
            if self.rng.random() > ramp:
                cost += 10 * self.typical
        if now < learned.shed_until:
            cost += 10 * self.typical
        return cost

    def network(self, target: TargetState) -> float:
        """Return the time there and back, in seconds."""
        balance = self.settings.balance
        if target.failure_domain == self.domain:
            return 2 * balance.same_domain_seconds
        return 2 * balance.other_domain_seconds

    def expected_others(self, target: TargetState, now: Deadline) -> float:
        """Return how many requests others are thought to have there."""
        report = target.report
        usual = target.learned.others
        if report is None:
            return usual
        seen = max(0, report.in_flight - report.own_in_flight)
        half_life = self.half_life
        if seen < usual:
            half_life *= LOW_REPORT_SHARE
        weight = 0.5 ** ((now - report.at) / half_life)
        return usual + (seen - usual) * weight * target.learned.trust

    def expected_load(self, target: TargetState, now: Deadline) -> float:
        """Return how many requests are thought to be at `target` now."""
        return target.in_flight + self.expected_others(target, now)

    def answered(
        self, target: TargetState, latency: float, waiting: float, now: Deadline
    ) -> None:
        """Learn the service time and the usual load of others."""
        learned = target.learned
        ahead = max(0.0, waiting + 1 - target.slots) / target.slots
        service = max(0.0, latency - self.network(target)) / (1 + ahead)
        limit = self.typical * self.settings.balance.slow_ratio
        if learned.service_seconds is None:
            learned.service_seconds = service
        elif service < limit < learned.service_seconds:
            # A trial found it recovered; what it was like before is over.
            learned.service_seconds = service
        else:
            step = SERVICE_WEIGHT * (service - learned.service_seconds)
            learned.service_seconds += step
        learned.shed_count = 0
        report = target.report
        if report is not None:
            seen = max(0, report.in_flight - report.own_in_flight)
            learned.others += OTHERS_WEIGHT * (seen - learned.others)
        if learned.service_seconds > limit:
            self._postpone_trial(target, now)
        else:
            learned.trial_count = 0

    def shed(self, target: TargetState, now: Deadline) -> None:
        """Send nothing there for a short time, longer at each repeat."""
        learned = target.learned
        pause = SHED_SECONDS * 2 ** min(learned.shed_count, MAX_DOUBLINGS)
        learned.shed_until = now + pause * (0.5 + self.rng.random())
        learned.shed_count += 1

    def failed(self, target: TargetState, now: Deadline) -> None:
        """Leave a target whose attempts fail, until its trial."""
        if target.failures >= FAILURES_TO_LEAVE:
            self._postpone_trial(target, now)

    def _postpone_trial(self, target: TargetState, now: Deadline) -> None:
        learned = target.learned
        pause = self.settings.balance.slow_retry_seconds
        pause *= 2 ** min(learned.trial_count, MAX_DOUBLINGS)
        learned.trial_at = now + pause * (0.5 + self.rng.random())
        learned.trial_count += 1

    def _left(self, target: TargetState, limit: float) -> bool:
        if target.failures >= FAILURES_TO_LEAVE:
            return True
        service = target.learned.service_seconds
        return service is not None and service > limit

    def _typical_service(self, candidates: Sequence[TargetState]) -> float:
        known = [
            target.learned.service_seconds
            for target in candidates
            if target.learned.service_seconds is not None
        ]
        if not known:
            return UNKNOWN_SERVICE_SECONDS
        known.sort()
        return known[len(known) // 2]


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
    waiting = own + others + 1 - slots
    probability = math.exp(-others)
    for x in range(free):
        waiting += (free - x) * probability
        probability *= others / (x + 1)
    return max(0.0, waiting) / slots
