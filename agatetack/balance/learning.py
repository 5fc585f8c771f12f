"""Estimate how fast targets are, and when to avoid or retry them."""

import dataclasses
import random
from collections.abc import Sequence

from agatetack.balance.policy import Policy
from agatetack.ids import Deadline, ServiceId
from agatetack.settings.model import Settings
from agatetack.targets.state import TargetState, TargetStatus

SERVICE_WEIGHT = 0.2
"""Weight of one answer in the moving average of the service time."""

OTHERS_WEIGHT = 0.1
"""Weight of one report in the moving average of other hosts' load."""

UNKNOWN_SERVICE_SECONDS = 0.005
"""Service time assumed for a service of which no target has answered yet."""

TYPICAL_REFRESH_SECONDS = 0.02
"""How long a typical service time is used before it is recomputed."""

DISAGREE_RATIO = 2.5
"""A service time above this multiple of the typical one contradicts the
target's reports."""

DISTRUST_FACTOR = 0.8
"""Factor by which such an answer reduces the trust in a target's reports."""

TRUST_WEIGHT = 0.02
"""Weight in that trust of an answer that agrees with the reports."""

REPORT_SLOW_RATIO = 2.2
"""A target is reported to the peers as slow from this multiple of the limit for
slow targets on.

A few slow answers at one host may be chance or a short disturbance, and if
all hosts avoid a target, its whole capacity is lost.
"""

FAILURES_TO_AVOID = 2
"""Consecutive failed attempts after which a target is avoided like a slow
one."""

SHED_PAUSE_SECONDS = 0.01
"""Time without new requests after a target's first shed answer."""

SHED_PAUSE_FACTOR = 4
"""Factor by which that time grows at each further shed answer, until a
request is answered."""

MAX_SHED_PAUSE_STEPS = 4
"""How often it grows at most."""

MAX_TRIAL_DOUBLINGS = 4
"""How often the wait before a trial doubles at most."""

COLD_COST_RATIO = 10
"""Additional cost of a cold target, in typical service times."""

SHED_COST_RATIO = 40
"""Additional cost of a target that shed a request, in typical service times.

It is higher than that of a cold target. Otherwise a host that has just started,
to which all targets are cold, would keep sending to those that shed.
"""

MIN_RAMP_PROBABILITY = 0.05
"""Probability that a target which has just started is not treated as cold in
one choice. It grows while the target warms up."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceMedians:
    """Medians over the targets of a service.

    Attributes:
        seconds: Median of the service times.
        others: Median of the usual numbers of other hosts' requests.
        valid_until: When the medians are recomputed.
    """

    seconds: float
    others: float
    valid_until: float


class LearningPolicy(Policy):
    """Estimates targets' service times, and when to avoid and retry them.

    Attributes:
        medians: The medians of each service.
        changed: Targets that became slow or recovered, to report to peers.
    """

    def __init__(self, settings: Settings, rng: random.Random):
        """Add jitter to the times of trials with `rng`."""
        self.settings = settings
        self.rng = rng
        self.domain = settings.host.failure_domain
        self.same_domain_round_trip = 2 * settings.balance.same_domain_seconds
        self.other_domain_round_trip = 2 * settings.balance.other_domain_seconds
        self.medians: dict[ServiceId, ServiceMedians] = {}
        self.changed: list[TargetState] = []

    def round_trip_seconds(self, target: TargetState) -> float:
        """Return the network round-trip time to `target`, in seconds."""
        if target.failure_domain == self.domain:
            return self.same_domain_round_trip
        return self.other_domain_round_trip

    def extra_cost_ratio(self, target: TargetState, now: Deadline) -> float:
        """Return a target's additional cost now, in typical service times.

        The load of a target that has just started is ramped up. A target that
        shed a request gets none for a while, and then only one at a time until
        one is answered.
        """
        learned = target.learned
        times = 0.0
        if target.warm_up_rate:
            times += COLD_COST_RATIO if target.is_warming_up(now) else 0.0
        elif target.status is TargetStatus.COLD:
            age = now - target.status_since
            ramp = max(
                MIN_RAMP_PROBABILITY, age / self.settings.balance.cold_seconds
            )
            if self.rng.random() > ramp:
                times += COLD_COST_RATIO
        on_trial = learned.shed_count and learned.sent
        if now < learned.shed_until or on_trial:
            times += SHED_COST_RATIO
        return times

    def choose_near_lowest(
        self,
        candidates: Sequence[TargetState],
        costs: Sequence[float],
        slack: float,
    ) -> TargetState:
        """Return one of the candidates whose cost is near the lowest.

        Args:
            candidates: The targets.
            costs: The cost of each candidate.
            slack: How far above the lowest a cost still counts as equal.
        """
        near = min(costs) + slack
        ties = [
            target
            for target, cost in zip(candidates, costs, strict=True)
            if cost <= near
        ]
        return self.rng.choice(ties)

    def answered(
        self, target: TargetState, latency: float, ahead: float, now: Deadline
    ) -> None:
        """Update the service time and the usual load of other hosts."""
        learned = target.learned
        wait_ratio = max(0.0, ahead + 1 - target.slots) / target.slots
        service = max(0.0, latency - self.round_trip_seconds(target)) / (
            1 + wait_ratio
        )
        self._update_trust(target, service)
        limit = self._slow_limit(target.service)
        if learned.service_seconds is None:
            learned.service_seconds = service
        elif service < limit < learned.service_seconds:
            # A trial found that the target has recovered, so the old estimate
            # is discarded.
            learned.service_seconds = service
        else:
            step = SERVICE_WEIGHT * (service - learned.service_seconds)
            learned.service_seconds += step
        learned.shed_count = 0
        learned.from_peers = False
        report = target.report
        if report is not None:
            seen = max(0, report.in_flight - report.own_in_flight)
            learned.others += OTHERS_WEIGHT * (seen - learned.others)
        if learned.service_seconds > limit:
            learned.slow = True
            if learned.service_seconds > REPORT_SLOW_RATIO * limit:
                self.changed.append(target)
            self.postpone_trial(target, now)
        elif learned.slow:
            learned.slow = False
            learned.trial_count = 0
            self.changed.append(target)

    def shed(self, target: TargetState, now: Deadline) -> None:
        """Pause the target for a short time, longer at each repeat."""
        learned = target.learned
        if now < learned.shed_until:
            # The request was sent before the pause, so this does not count as
            # a repeat.
            return
        steps = min(learned.shed_count, MAX_SHED_PAUSE_STEPS)
        pause = SHED_PAUSE_SECONDS * SHED_PAUSE_FACTOR**steps
        learned.shed_until = now + pause * (0.5 + self.rng.random())
        learned.shed_count += 1

    def failed(self, target: TargetState, now: Deadline) -> None:
        """Avoid a target whose attempts fail until its next trial."""
        if target.failures >= FAILURES_TO_AVOID:
            self.postpone_trial(target, now)

    def postpone_trial(self, target: TargetState, now: Deadline) -> None:
        """Postpone the next trial, by longer at each repeat."""
        learned = target.learned
        pause = self.settings.balance.slow_retry_seconds
        pause *= 2 ** min(learned.trial_count, MAX_TRIAL_DOUBLINGS)
        learned.trial_at = now + pause * (0.5 + self.rng.random())
        learned.trial_count += 1

    def apply_peer_measurement(
        self, target: TargetState, limit: float, now: Deadline
    ) -> None:
        """Apply the peers' service time of `target` unless an answer is newer.

        A target that they found slow is avoided; if it has recovered, it is
        tried again.
        """
        learned = target.learned
        learned.peer_applied_at = learned.peer_measured_at
        answered = target.last_answer_at
        if answered is not None and answered >= learned.peer_measured_at:
            return
        peer_seconds = learned.peer_service_seconds
        if peer_seconds > limit:
            # A trial by one host serves all hosts, so it postpones the one of
            # this host.
            learned.service_seconds = max(
                learned.service_seconds or 0, peer_seconds
            )
            learned.slow = True
            learned.from_peers = True
            self.postpone_trial(target, now)
        elif learned.from_peers:
            # This host has no measurement of its own for the target, so it is
            # treated as typical.
            learned.service_seconds = None
            learned.slow = False
            learned.from_peers = False
            learned.trial_count = 0
        elif learned.slow:
            learned.trial_at = now

    def typical(self, service: ServiceId) -> float:
        """Return the median service time of a service's targets."""
        known = self.medians.get(service)
        return UNKNOWN_SERVICE_SECONDS if known is None else known.seconds

    def take_changed(self) -> Sequence[TargetState]:
        """Return targets that became slow or recovered since the last call."""
        if not self.changed:
            return ()
        changed = self.changed
        self.changed = []
        return changed

    def _slow_limit(self, service: ServiceId) -> float:
        return self.typical(service) * self.settings.balance.slow_ratio

    def _update_trust(self, target: TargetState, service: float) -> None:
        # An answer that took much longer than expected from the reports
        # contradicts them: the target has a queue that it does not report.
        learned = target.learned
        if service > DISAGREE_RATIO * self.typical(target.service):
            learned.trust *= DISTRUST_FACTOR
        else:
            learned.trust += TRUST_WEIGHT * (1 - learned.trust)

    def update_typical(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> float:
        """Return the median service time, recomputed from time to time."""
        service = candidates[0].service
        known = self.medians.get(service)
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
        self.medians[service] = ServiceMedians(
            seconds, others[len(others) // 2], now + TYPICAL_REFRESH_SECONDS
        )
        return seconds
