"""Choose by what all hosts have at each target and how fast it is now."""

import math
import random
from collections.abc import Sequence

from agatetack.balance.learning import FAILURES_TO_LEAVE, LearningPolicy
from agatetack.balance.room import LearnedKnee, SlotRoom, is_above_knee
from agatetack.ids import Deadline
from agatetack.settings.model import Settings
from agatetack.targets.load import USUAL_SLOWNESS
from agatetack.targets.state import TargetState

LEAST_TYPICAL = 0.1
"""Least service time, in seconds, that costs are reckoned by.

A host that has just started knows none. With the few ms that are taken for
unknown elsewhere, the time to another failure domain outweighs all else, and
every host sends to the one or two targets of its own: of six targets one had
all requests of three hosts in the first second after a power cut.
"""

NEAR_RATIO = 0.05
"""Candidates within this share of the best cost count as equally good."""

FULL_FACTOR = 1.5
"""How much longer work takes on a target whose last slots are taken.

Targets that slow down when they are nearly full take about 1.7 times as long;
others do not, so that the figure lies between.
"""

UNSEEN_HALF_LIFE_SECONDS = 0.1
"""After this time, what a target reported beyond what the hosts tell of
themselves counts half."""

UNTOLD_HALF_LIFE_SECONDS = 1.0
"""The same for a target of which only reports tell, as most of the hosts that
send there are in other failure domains; each change is told within a quarter
of this time, and the rest once in it."""

SLOWNESS_SECONDS = 2.5
"""After this time a report says nothing of how slow a target is now.

Whoever probes a target tells each change at once and the rest once a second,
so that a report without a successor holds on.
"""

UNKNOWN_SLOWNESS = 1.5
"""Slowness taken for a target without a report that is fresh enough: what
targets with noisy neighbours show on the mean of their better moments."""


CONNECT_SHARE = 0.25
"""Share of a typical service time by which a target without an open
connection is dearer.

A host sends a few requests a second, so that without a preference each goes
to a target of which the connection was closed in between: 1,030 connections
for 1,200 requests.
"""

MOST_WAITING = 0
"""Requests that may wait at a target, from all hosts together.

A request that waits at a host goes to whichever target has room first, and
before older ones if it can still be answered in time. One that waits at a
target can do neither: with two there, 8 % of the answers came in time while
one and a half times as many came as targets can do, and 31 % with none
(simulated deployment of 14 hosts, two seconds of 160 requests each).
"""

UNSHARED_SHARE = 0.25
"""Share of a typical service time by which a target of another group of hosts
is dearer. What its own group has there is not told, and few requests of this
host go there, so that mostly a connection has to be opened: 312 hosts that sent
1.5 requests a second each to any of 241 targets opened 93 connections for 100
requests (22 s of a calm day)."""

SPARE_SLOWNESS = 2.0
"""Slowness up to which a target is worth a second attempt."""

FAILED_COST = 6.0
"""Typical service times that an attempt which fails costs: what it took, and
another one, if that is allowed at all."""

FAILING_WEIGHT = 0.3
"""Weight of one attempt in the share that fails; a host sends a target one in
some seconds, so that one says much."""

FAILING_HALF_LIFE_SECONDS = 3.0
"""After this time a target that failed is thought half as bad, so that it is
tried again."""

LARGE_BYTES = 15_000
"""Size of answers from which on they are kept in the failure domain as far as
possible; the preference for it grows with the size up to there. For 5 KB it is
0.4 of a service time, less than the last free slot of a target costs."""

CARRY_SHARE = 1.2
"""Typical service times by which a target of another failure domain is dearer
for large answers, as bytes between failure domains are paid for: 90 KB cost as
much there as half a request earns. It is less than the wait at a full target,
so that no request waits for one of its own failure domain while others are
free: at 2.5, answers in time fell from 88 % to 69 % on a day of high load.
"""


class FleetView(LearningPolicy):
    """Choose the target where the request is expected to end first.

    Attributes:
        room: How many requests targets should have.
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        room: SlotRoom | None = None,
    ):
        """Fill targets as `room` says; up to where they do most if None."""
        super().__init__(settings, rng)
        self.room = room or LearnedKnee()

    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return a candidate among the near best, or one due for a trial.

        None if all of the near best are full: a request that waits here goes
        to whichever has room first, which is sooner than to one that is slow.
        """
        typical = max(self.update_typical(candidates, now), LEAST_TYPICAL)
        limit = typical * self.settings.balance.slow_ratio
        costs = [self._weigh(t, now, typical, limit) for t in candidates]
        if min(costs) == math.inf:
            costs = [self.cost(t, now, typical) for t in candidates]
        near = min(costs) + NEAR_RATIO * typical
        ties = [
            target
            for target, cost in zip(candidates, costs, strict=True)
            if cost <= near and self.has_room(target, now)
        ]
        return self.rng.choice(ties) if ties else None

    def has_room(self, target: TargetState, now: Deadline) -> bool:
        """Return whether a request would not wait at `target`."""
        if now < target.free_slot_at:
            return False
        most = self.room.most(target, now) + MOST_WAITING
        return self.expected_load(target, now) < most

    def spare(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        """Return the candidates with a free slot that are not slow now.

        A second attempt anywhere else makes an overload worse and is hardly
        sooner than the first.
        """
        return [
            target
            for target in candidates
            if self.expected_load(target, now) + 1 <= target.slots
            and not target.is_warming_up(now)
            and self.slowness(target, now) <= SPARE_SLOWNESS
        ]

    def _weigh(
        self,
        target: TargetState,
        now: Deadline,
        typical: float,
        limit: float,
    ) -> float:
        """Return a target's cost; infinite if it is left for now."""
        learned = target.learned
        if learned.peer_at > learned.peer_seen:
            self.take_peer_word(target, limit, now)
        slow = learned.service_seconds is not None and (
            learned.service_seconds > limit
        )
        if not slow and target.failures < FAILURES_TO_LEAVE:
            return self.cost(target, now, typical)
        if now < learned.trial_at or target.in_flight:
            return math.inf
        if not self.has_room(target, now):
            return math.inf
        # One request shows whether it has recovered.
        self.postpone_trial(target, now)
        return -math.inf

    def cost(self, target: TargetState, now: Deadline, typical: float) -> float:
        """Return the expected seconds from sending to the answer."""
        load = self.expected_load(target, now)
        service = typical * self.slowness(target, now)
        if is_above_knee(load + 1, target.slots):
            service *= FULL_FACTOR
        wait = max(0.0, load + 1 - target.slots) / target.slots
        cost = self.network(target) + service * (1 + wait)
        if not target.idle_connections:
            cost += CONNECT_SHARE * typical
        if not target.all_peers_report:
            cost += UNSHARED_SHARE * typical
        if target.failure_domain != self.domain:
            carried = min(1.0, target.answer_bytes / LARGE_BYTES)
            cost += CARRY_SHARE * carried * typical
        cost += self.reluctance(target, now) * typical
        return cost + FAILED_COST * self.failing(target, now) * typical

    def failing(self, target: TargetState, now: Deadline) -> float:
        """Return the share of attempts that fail there, forgotten in time."""
        learned = target.learned
        half_lives = (now - learned.failing_at) / FAILING_HALF_LIFE_SECONDS
        return learned.failing * 0.5 ** min(half_lives, 60.0)

    def answered(
        self, target: TargetState, latency: float, waiting: float, now: Deadline
    ) -> None:
        """Learn from an answer."""
        super().answered(target, latency, waiting, now)
        self.room.answered(target, latency, waiting, now)
        self._note_end(target, 0.0, now)

    def shed(self, target: TargetState, now: Deadline) -> None:
        """Learn that `target` refused a request for its load."""
        super().shed(target, now)
        self._note_end(target, 1.0, now)

    def failed(self, target: TargetState, now: Deadline) -> None:
        """Learn that an attempt at `target` failed."""
        super().failed(target, now)
        self._note_end(target, 1.0, now)

    def _note_end(
        self, target: TargetState, failed: float, now: Deadline
    ) -> None:
        learned = target.learned
        share = self.failing(target, now)
        learned.failing = share + FAILING_WEIGHT * (failed - share)
        learned.failing_at = now

    def slowness(self, target: TargetState, now: Deadline) -> float:
        """Return how many times longer than usual work takes there now."""
        report = target.report
        if report is None or now - report.at > SLOWNESS_SECONDS:
            return UNKNOWN_SLOWNESS
        return max(USUAL_SLOWNESS, report.slowness)

    def expected_load(self, target: TargetState, now: Deadline) -> float:
        """Return how many requests are thought to be at `target` now."""
        known = target.in_flight + target.peer_in_flight
        report = target.report
        if report is None:
            return float(known)
        unseen = report.in_flight - report.own_in_flight
        unseen -= report.peer_in_flight
        if unseen <= 0:
            return float(known)
        half_life = UNSEEN_HALF_LIFE_SECONDS
        if not target.all_peers_report:
            half_life = UNTOLD_HALF_LIFE_SECONDS
        half_lives = (now - report.at) / half_life
        return known + unseen * 0.5 ** min(half_lives, 60.0)
