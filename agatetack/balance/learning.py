"""Learn how fast targets are and when to leave them or try them again."""

import dataclasses
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

UNKNOWN_SERVICE_SECONDS = 0.005
"""Service time taken for a service none of whose targets has answered."""

TYPICAL_SECONDS = 0.02
"""How long a typical service time is used before it is worked out anew."""

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

FAILURES_TO_LEAVE = 2
"""Failed attempts in a row after which a target is left like a slow one."""

SHED_SECONDS = 0.01
"""Time without new work after a target's first shed answer."""

SHED_GROWTH = 4
"""Factor of that time at each repeat without an answer between."""

MAX_SHED_GROWTHS = 4
"""How often it grows for a target that sheds everything."""

MAX_DOUBLINGS = 4
"""How often the wait before a trial doubles."""

COLD_COST = 10
"""Typical service times by which a cold target is dearer."""

SHED_COST = 40
"""Typical service times by which a target that shed is dearer.

More than a cold one, or a host that just started, to which all targets are
cold, would go on asking those that refuse.
"""

LEAST_RAMP = 0.05
"""Share of its choices that a target gets at its very start."""


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


class LearningPolicy(Policy):
    """Learn targets' service times and when to leave and to try them.

    Attributes:
        typicals: What is typical of each service.
        changed: Targets found slow, or no longer so, to tell peers.
    """

    def __init__(self, settings: Settings, rng: random.Random):
        """Spread trials with `rng`."""
        self.settings = settings
        self.rng = rng
        self.domain = settings.host.failure_domain
        self.near_seconds = 2 * settings.balance.same_domain_seconds
        self.far_seconds = 2 * settings.balance.other_domain_seconds
        self.typicals: dict[ServiceId, Typical] = {}
        self.changed: list[TargetState] = []

    def network(self, target: TargetState) -> float:
        """Return the time there and back, in seconds."""
        if target.failure_domain == self.domain:
            return self.near_seconds
        return self.far_seconds

    def reluctance(self, target: TargetState, now: Deadline) -> float:
        """Return by how many typical service times a target is dearer now.

        A target that has just started gets its share by and by, and one that
        shed is left alone for a while, and until a trial was answered.
        """
        learned = target.learned
        times = 0.0
        if target.warm_up_rate:
            times += COLD_COST if target.is_warming_up(now) else 0.0
        elif target.status is TargetStatus.COLD:
            age = now - target.status_since
            ramp = max(LEAST_RAMP, age / self.settings.balance.cold_seconds)
            if self.rng.random() > ramp:
                times += COLD_COST
        trying = learned.shed_count and learned.sent
        if now < learned.shed_until or trying:
            times += SHED_COST
        return times

    def draw_near(
        self,
        candidates: Sequence[TargetState],
        costs: Sequence[float],
        slack: float,
    ) -> TargetState:
        """Return one of the candidates whose cost is near the least.

        Args:
            candidates: The targets.
            costs: What each costs.
            slack: How far above the least still counts as equally good.
        """
        near = min(costs) + slack
        ties = [
            target
            for target, cost in zip(candidates, costs, strict=True)
            if cost <= near
        ]
        return self.rng.choice(ties)

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
            self.postpone_trial(target, now)
        elif learned.slow:
            learned.slow = False
            learned.trial_count = 0
            self.changed.append(target)

    def shed(self, target: TargetState, now: Deadline) -> None:
        """Send nothing there for a short time, longer at each repeat."""
        learned = target.learned
        if now < learned.shed_until:
            # It was sent before the pause, so it is no repeat.
            return
        growths = min(learned.shed_count, MAX_SHED_GROWTHS)
        pause = SHED_SECONDS * SHED_GROWTH**growths
        learned.shed_until = now + pause * (0.5 + self.rng.random())
        learned.shed_count += 1

    def failed(self, target: TargetState, now: Deadline) -> None:
        """Leave a target whose attempts fail, until its trial."""
        if target.failures >= FAILURES_TO_LEAVE:
            self.postpone_trial(target, now)

    def postpone_trial(self, target: TargetState, now: Deadline) -> None:
        """Put off the next trial, longer at each repeat."""
        learned = target.learned
        pause = self.settings.balance.slow_retry_seconds
        pause *= 2 ** min(learned.trial_count, MAX_DOUBLINGS)
        learned.trial_at = now + pause * (0.5 + self.rng.random())
        learned.trial_count += 1

    def take_peer_word(
        self, target: TargetState, limit: float, now: Deadline
    ) -> None:
        """Weigh what peers told of `target`, unless an answer is newer."""
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
            self.postpone_trial(target, now)
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

    def update_typical(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> float:
        """Return the middle service time, worked out anew now and then."""
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
