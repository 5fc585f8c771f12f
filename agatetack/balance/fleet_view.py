"""Choose by each target's load from all hosts and by its current speed."""

import math
import random
from collections.abc import Sequence

from agatetack.balance.learning import FAILURES_TO_AVOID, LearningPolicy
from agatetack.balance.room import LearnedKnee, SlotPolicy, is_above_knee
from agatetack.ids import Deadline
from agatetack.settings.model import Settings
from agatetack.targets.load import USUAL_SLOWNESS
from agatetack.targets.state import TargetState, TargetStatus

MIN_TYPICAL_SECONDS = 0.1
"""Minimum service time, in seconds, for the computation of costs.

A host that has just started has measured no service time. With the default of a
few ms that is used elsewhere, the network time to another failure domain
outweighs all other costs, and every host sends to the one or two targets of its
own failure domain: one of six targets got all requests of three hosts in the
first second after a power cut.
"""

TIE_RATIO = 0.05
"""Ratio of the typical service time. Candidates whose cost is within this of
the lowest count as equally good."""

ABOVE_KNEE_FACTOR = 1.5
"""Factor by which a request is expected to take longer on a target whose last
slots are in use.

Some targets slow down when they are nearly full and take about 1.7 times as
long; others do not. The factor lies between the two.
"""

EXCESS_HALF_LIFE_SECONDS = 0.1
"""Half-life of the requests that a target reported beyond those that the hosts
reported as their own."""

UNSHARED_HALF_LIFE_SECONDS = 1.0
"""The same for a target whose load is known only from its own reports, as most
of the hosts that send to it are in other failure domains. Each change reaches
this host within a quarter of this time, and everything else once within it."""

SLOWNESS_MAX_AGE_SECONDS = 2.5
"""Age from which a report no longer shows how slow a target is.

The host that probes a target passes on changes at once and everything else once
per second, so until then the latest report is still valid.
"""

UNKNOWN_SLOWNESS = 1.5
"""Slowness assumed for a target without a recent report: the mean that targets
with noisy neighbours show in their better periods."""


CONNECT_COST_RATIO = 0.25
"""Additional cost of a target without an open connection, as a ratio of the
typical service time.

A host sends a few requests per second. Without this preference nearly every
request goes to a target whose connection has meanwhile been closed: 1,030
connections for 1,200 requests.
"""

MAX_WAITING = 0
"""Maximum number of requests that may wait at a target, from all hosts.

A request that waits at a host goes to the first target with a free slot, and
overtakes requests that can no longer be answered in time. A request that waits
at a target can do neither. At one and a half times the rate that the targets
can handle, 8 % of the answers came in time with two requests waiting at a
target, and 31 % with none (14 hosts, two seconds of 160 requests each).
"""

OTHER_GROUP_COST_RATIO = 0.25
"""Additional cost of a target of another group of hosts, as a ratio of the
typical service time.

The load from its own group is not reported to this host. As few requests of
this host go there, a connection usually has to be opened: 312 hosts that each
sent 1.5 requests per second to any of 241 targets opened 93 connections for 100
requests, within 22 s of low load.
"""

MAX_HEDGE_SLOWNESS = 2.0
"""Slowness up to which a target may get a second attempt."""

FAILURE_COST_RATIO = 6.0
"""Cost of a failed attempt, in typical service times: the time it took, and
another attempt, if one is allowed at all."""

FAILURE_WEIGHT = 0.3
"""Weight of one attempt in the moving average of the failure rate. It is high
because a host sends a target only one request every few seconds."""

FAILURE_HALF_LIFE_SECONDS = 3.0
"""Half-life of a target's failure rate, so that the target is tried again."""

LARGE_ANSWER_BYTES = 15_000
"""Answer size from which the preference for targets of the own failure
domain has its full strength.

Below, it grows with the size. For 5 KB it is 0.4 of a service time, which is
less than the cost of taking the last free slot of a target.
"""

OTHER_DOMAIN_COST_RATIO = 1.2
"""Additional cost of a target of another failure domain for large answers, in
typical service times.

Traffic between failure domains costs money: 90 KB cost half as much as one
request earns. The value is less than the wait at a full target, so that no
request waits for a target of its own failure domain while others are free: at
2.5, the answers in time fell from 88 % to 69 % under high load.
"""


class FleetView(LearningPolicy):
    """Chooses the target where the request is expected to finish first.

    Attributes:
        slot_policy: Limits the concurrent requests at each target.
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        slot_policy: SlotPolicy | None = None,
    ):
        """Fill targets by `slot_policy`; for the most throughput if None."""
        super().__init__(settings, rng)
        self.slot_policy = slot_policy or LearnedKnee()

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return one of the nearly best candidates, or one due for a trial.

        None if all of the nearly best are full: a request that waits at this
        host goes to the first target with a free slot, and is answered sooner
        than by a slow target.
        """
        typical = max(self.update_typical(candidates, now), MIN_TYPICAL_SECONDS)
        limit = typical * self.settings.balance.slow_ratio
        room = self._find_room(candidates, now)
        if True not in room and not _needs_draw(candidates):
            # No cost can change the result, so only the state is updated. This
            # is the usual case while requests wait.
            self._apply_peer_measurements(candidates, limit, now)
            return None
        costs = [
            self._adjusted_cost(t, now, typical, limit) for t in candidates
        ]
        if min(costs) == math.inf:
            costs = [self.cost(t, now, typical) for t in candidates]
        near = min(costs) + TIE_RATIO * typical
        ties = [
            target
            for target, cost, has_room in zip(
                candidates, costs, room, strict=True
            )
            if cost <= near and has_room
        ]
        return self.rng.choice(ties) if ties else None

    def _find_room(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> list[bool]:
        """Return for each candidate whether it has a free slot."""
        # All candidates are of one service, so the limit depends on the slots.
        max_loads: dict[int, int] = {}
        room = []
        for target in candidates:
            if now < target.free_slot_at:
                room.append(False)
                continue
            max_load = max_loads.get(target.slots)
            if max_load is None:
                max_load = self._max_load(target, now)
                max_loads[target.slots] = max_load
            # The estimate is never below the requests that are known.
            room.append(
                target.in_flight + target.peer_in_flight < max_load
                and self.expected_load(target, now) < max_load
            )
        return room

    def has_free_slot(self, target: TargetState, now: Deadline) -> bool:
        """Return whether a request would not wait at `target`."""
        if now < target.free_slot_at:
            return False
        return self.expected_load(target, now) < self._max_load(target, now)

    def _max_load(self, target: TargetState, now: Deadline) -> int:
        return self.slot_policy.max_requests(target, now) + MAX_WAITING

    def hedge_candidates(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        """Return the candidates with a free slot that are not slow now.

        A second attempt at any other target worsens an overload and is hardly
        answered sooner than the first.
        """
        return [
            target
            for target in candidates
            if self.expected_load(target, now) + 1 <= target.slots
            and not target.is_warming_up(now)
            and self.slowness(target, now) <= MAX_HEDGE_SLOWNESS
        ]

    def _adjusted_cost(
        self,
        target: TargetState,
        now: Deadline,
        typical: float,
        limit: float,
    ) -> float:
        """Return the cost; `inf` to avoid the target, `-inf` for a trial."""
        learned = target.learned
        if learned.peer_measured_at > learned.peer_applied_at:
            self.apply_peer_measurement(target, limit, now)
        slow = learned.service_seconds is not None and (
            learned.service_seconds > limit
        )
        if not slow and target.failures < FAILURES_TO_AVOID:
            return self.cost(target, now, typical)
        if now < learned.trial_at or target.in_flight:
            return math.inf
        if not self.has_free_slot(target, now):
            return math.inf
        # One request shows whether it has recovered.
        self.postpone_trial(target, now)
        return -math.inf

    def _apply_peer_measurements(
        self, candidates: Sequence[TargetState], limit: float, now: Deadline
    ) -> None:
        for target in candidates:
            learned = target.learned
            if learned.peer_measured_at > learned.peer_applied_at:
                self.apply_peer_measurement(target, limit, now)

    def cost(self, target: TargetState, now: Deadline, typical: float) -> float:
        """Return the expected seconds from sending to the answer."""
        load = self.expected_load(target, now)
        slots = target.slots
        service = typical * self.slowness(target, now)
        if is_above_knee(load + 1, slots):
            service *= ABOVE_KNEE_FACTOR
        cost = self.round_trip_seconds(target)
        if load + 1 > slots:
            cost += service * (1 + (load + 1 - slots) / slots)
        else:
            cost += service
        if not target.idle_connections:
            cost += CONNECT_COST_RATIO * typical
        if not target.all_peers_report:
            cost += OTHER_GROUP_COST_RATIO * typical
        if target.failure_domain != self.domain:
            size_ratio = min(1.0, target.answer_bytes / LARGE_ANSWER_BYTES)
            cost += OTHER_DOMAIN_COST_RATIO * size_ratio * typical
        learned = target.learned
        if (
            target.warm_up_rate
            or target.status is TargetStatus.COLD
            or learned.shed_count
            or now < learned.shed_until
        ):
            cost += self.extra_cost_ratio(target, now) * typical
        if learned.failure_rate:
            rate = self.failure_rate(target, now)
            cost += FAILURE_COST_RATIO * rate * typical
        return cost

    def failure_rate(self, target: TargetState, now: Deadline) -> float:
        """Return the target's failure rate, which decays with time."""
        learned = target.learned
        half_lives = (now - learned.failure_rate_at) / FAILURE_HALF_LIFE_SECONDS
        return learned.failure_rate * 0.5 ** min(half_lives, 60.0)

    def answered(
        self, target: TargetState, latency: float, ahead: float, now: Deadline
    ) -> None:
        """Update the estimates from an answer."""
        super().answered(target, latency, ahead, now)
        self.slot_policy.answered(target, latency, ahead, now)
        self._update_failure_rate(target, 0.0, now)

    def shed(self, target: TargetState, now: Deadline) -> None:
        """Record that `target` refused a request because of its load."""
        super().shed(target, now)
        self._update_failure_rate(target, 1.0, now)

    def failed(self, target: TargetState, now: Deadline) -> None:
        """Record that an attempt at `target` failed."""
        super().failed(target, now)
        self._update_failure_rate(target, 1.0, now)

    def _update_failure_rate(
        self, target: TargetState, failed: float, now: Deadline
    ) -> None:
        learned = target.learned
        share = self.failure_rate(target, now)
        learned.failure_rate = share + FAILURE_WEIGHT * (failed - share)
        learned.failure_rate_at = now

    def slowness(self, target: TargetState, now: Deadline) -> float:
        """Return by which factor requests take longer there than usual."""
        report = target.report
        if report is None or now - report.at > SLOWNESS_MAX_AGE_SECONDS:
            return UNKNOWN_SLOWNESS
        slowness = report.slowness
        return slowness if slowness > USUAL_SLOWNESS else USUAL_SLOWNESS

    def expected_load(self, target: TargetState, now: Deadline) -> float:
        """Return the estimated number of requests at `target` now."""
        known = target.in_flight + target.peer_in_flight
        report = target.report
        if report is None:
            return float(known)
        excess = report.in_flight - report.own_in_flight - report.peer_in_flight
        if excess <= 0:
            return float(known)
        half_life = EXCESS_HALF_LIFE_SECONDS
        if not target.all_peers_report:
            half_life = UNSHARED_HALF_LIFE_SECONDS
        half_lives = (now - report.at) / half_life
        return known + excess * 0.5 ** min(half_lives, 60.0)


def _needs_draw(candidates: Sequence[TargetState]) -> bool:
    """Return whether the cost of any candidate depends on a random number."""
    cold = TargetStatus.COLD
    return bool(
        [1 for t in candidates if t.status is cold and not t.warm_up_rate]
    )
