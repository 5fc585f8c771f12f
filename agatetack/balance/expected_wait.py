"""Choose the target where a request is expected to end first.

The expected time at a target is its network time, its service time, and the
time until a slot is free. What others have there is estimated from the last
report, weighed by its age against the usual load.
"""

import dataclasses
import math
import random
from collections.abc import Sequence

from agatetack.balance.policy import Policy
from agatetack.ids import Deadline, ServiceId
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

AVOIDED_COST = 10
"""Typical service times by which a cold or shedding target is dearer."""

TYPICAL_SECONDS = 0.02
"""How long a typical service time is used before it is worked out anew."""

MOST_WEIGHED = 12
"""Candidates weighed for one choice, so that its cost does not grow."""

FORGOTTEN_HALF_LIVES = 8
"""Half-lives after which a report counts for nothing."""

DISAGREE_RATIO = 2.5
"""An answer this many times later than expected speaks against reports."""

DISTRUST_FACTOR = 0.8
"""What such an answer leaves of the trust in a target's reports."""

TRUST_WEIGHT = 0.02
"""Weight of an answer that came as expected in that trust."""

TELL_RATIO = 2.2
"""Peers are told of a target this many times over the limit.

One host's few answers may be bad luck or a short disturbance; leaving a
target on all hosts costs its whole capacity.
"""

OUT_SHARE = 0.5
"""Share of the time a request has been out that counts as service time."""

FAILURES_TO_LEAVE = 2
"""Failed attempts in a row after which a target is left like a slow one."""

SHED_SECONDS = 0.01
"""Time without new work after a target's first shed answer."""

MAX_DOUBLINGS = 4
"""How often the wait before a trial, or after a shed, doubles."""


@dataclasses.dataclass(frozen=True, slots=True)
class Typical:
    """The middle of what a service's targets show.

    Attributes:
        seconds: The time.
        others: The middle of the usual numbers of others' requests.
        valid_until: When it is worked out anew.
    """

    seconds: float
    others: float
    valid_until: float


class ExpectedWait(Policy):
    """Choose by expected time to answer."""

    def __init__(self, settings: Settings, rng: random.Random):
        """Draw among near equals from `rng`."""
        self.settings = settings
        self.rng = rng
        self.half_life = settings.measure.report_half_life_seconds
        self.reuses = settings.measure.probe_reuses
        self.domain = settings.host.failure_domain
        self.near_seconds = 2 * settings.balance.same_domain_seconds
        self.far_seconds = 2 * settings.balance.other_domain_seconds
        self.typicals: dict[ServiceId, Typical] = {}
        self.changed: list[TargetState] = []

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return a candidate among the near best, or one due for a trial."""
        if len(candidates) > MOST_WEIGHED:
            candidates = self._draw(candidates)
        typical = self._update_typical(candidates, now)
        limit = typical * self.settings.balance.slow_ratio
        best = math.inf
        costs: list[float] = []
        for target in candidates:
            learned = target.learned
            if learned.peer_at > learned.peer_seen:
                self._take_peer_word(target, limit, now)
            service = learned.service_seconds or typical
            if service > limit or target.failures >= FAILURES_TO_LEAVE:
                if now >= learned.trial_at and not target.in_flight:
                    self._postpone_trial(target, now)
                    return target
                cost = math.inf
            else:
                cost = self.cost(target, now, typical)
            costs.append(cost)
            if cost < best:
                best = cost
        if best == math.inf:
            return min(candidates, key=lambda t: self.cost(t, now, typical))
        near = best + NEAR_RATIO * typical
        ties = [
            target
            for target, cost in zip(candidates, costs, strict=True)
            if cost <= near
        ]
        return self.rng.choice(ties)

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
        if target.status is TargetStatus.COLD:
            age = now - target.status_since
            ramp = max(0.05, age / self.settings.balance.cold_seconds)
            if self.rng.random() > ramp:
                cost += AVOIDED_COST * typical
        if now < learned.shed_until:
            cost += AVOIDED_COST * typical
        return cost

    def network(self, target: TargetState) -> float:
        """Return the time there and back, in seconds."""
        if target.failure_domain == self.domain:
            return self.near_seconds
        return self.far_seconds

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

    def answered(
        self, target: TargetState, latency: float, waiting: float, now: Deadline
    ) -> None:
        """Learn the service time and the usual load of others."""
        learned = target.learned
        ahead = max(0.0, waiting + 1 - target.slots) / target.slots
        service = max(0.0, latency - self.network(target)) / (1 + ahead)
        self._weigh_report(target, service)
        limit = self._limit(target.service)
        if learned.service_seconds is None:
            learned.service_seconds = service
        elif service < limit < learned.service_seconds:
            # A trial found it recovered; what it was like before is over.
            learned.service_seconds = service
        else:
            step = SERVICE_WEIGHT * (service - learned.service_seconds)
            learned.service_seconds += step
        learned.shed_count = 0
        learned.adopted = False
        report = target.report
        if report is not None:
            seen = max(0, report.in_flight - report.own_in_flight)
            learned.others += OTHERS_WEIGHT * (seen - learned.others)
        if learned.service_seconds > limit:
            learned.slow = True
            if learned.service_seconds > TELL_RATIO * limit:
                self.changed.append(target)
            self._postpone_trial(target, now)
        elif learned.slow:
            learned.slow = False
            learned.trial_count = 0
            self.changed.append(target)

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

    def _draw(self, candidates: Sequence[TargetState]) -> list[TargetState]:
        # A stretch from a random start on costs less than a random sample.
        start = self.rng.randrange(len(candidates))
        drawn = list(candidates[start : start + MOST_WEIGHED])
        drawn += candidates[: MOST_WEIGHED - len(drawn)]
        return drawn

    def _take_peer_word(
        self, target: TargetState, limit: float, now: Deadline
    ) -> None:
        learned = target.learned
        learned.peer_seen = learned.peer_at
        answered = target.last_answer_at
        if answered is not None and answered >= learned.peer_at:
            return
        told = learned.peer_service_seconds
        if told > limit:
            # One host's trial serves all, so it postpones this host's.
            learned.service_seconds = max(learned.service_seconds or 0, told)
            learned.slow = True
            learned.adopted = True
            self._postpone_trial(target, now)
        elif learned.adopted:
            # Nothing of its own is known of it now, so it counts as typical.
            learned.service_seconds = None
            learned.slow = False
            learned.adopted = False
            learned.trial_count = 0
        elif learned.slow:
            learned.trial_at = now

    def typical(self, service: ServiceId) -> float:
        """Return the middle service time of a service's targets."""
        known = self.typicals.get(service)
        return UNKNOWN_SERVICE_SECONDS if known is None else known.seconds

    def take_changed(self) -> Sequence[TargetState]:
        """Return targets found slow, or no longer so, since the last call."""
        if not self.changed:
            return ()
        changed = self.changed
        self.changed = []
        return changed

    def _limit(self, service: ServiceId) -> float:
        return self.typical(service) * self.settings.balance.slow_ratio

    def _weigh_report(self, target: TargetState, service: float) -> None:
        # An answer far later than the reports let expect speaks against
        # them: the target hides a queue.
        learned = target.learned
        if service > DISAGREE_RATIO * self.typical(target.service):
            learned.trust *= DISTRUST_FACTOR
        else:
            learned.trust += TRUST_WEIGHT * (1 - learned.trust)

    def _update_typical(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> float:
        service = candidates[0].service
        known = self.typicals.get(service)
        if known is not None and now < known.valid_until:
            return known.seconds
        times = [
            target.learned.service_seconds
            for target in candidates
            if target.learned.service_seconds is not None
        ]
        if not times:
            return UNKNOWN_SERVICE_SECONDS
        times.sort()
        seconds = times[len(times) // 2]
        others = sorted(target.learned.others for target in candidates)
        self.typicals[service] = Typical(
            seconds, others[len(others) // 2], now + TYPICAL_SECONDS
        )
        return seconds


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
