"""Estimate how many concurrent requests a target should have."""

import abc
import dataclasses
import math
from collections import deque
from collections.abc import Collection

from agatetack.ids import Deadline, ServiceId
from agatetack.targets.state import TargetState

KNEE_RATIO = 0.8
"""Ratio of its slots, called the knee, up to which a target runs requests at
full speed.

Targets that slow down when they are nearly full do so above it. With two or
three slots, only the last slot is above it.
"""

SLOWDOWN_PRIORS = {
    1.0: 0.42,
    1.2: 0.05,
    1.35: 0.05,
    1.7: 0.42,
    2.0: 0.03,
    2.6: 0.03,
}
"""Factors by which a request may take longer above the knee, with their prior
probabilities. In half of the services requests take 1.7 times as long, in
nearly all others no longer at all."""

LOG_TIME_DEVIATION = 0.33
"""Standard deviation of the logarithm of a request's time."""

MIN_FULL_SPEED_ANSWERS = 5
"""Minimum number of answers at full speed before others are compared with
them."""

OUTLIER_DEVIATIONS = 2.0
"""Number of standard deviations from which a time is treated as an outlier. A
request on a slow machine takes five times as long, which says nothing about the
slots."""

MAX_FULL_SPEED_ANSWERS = 32
"""Number of latest answers at full speed that others are compared with."""

HALF_LIFE_SECONDS = 60.0
"""Half-life of the estimate while no request runs above the knee, so that the
last slots are tried again if the targets of a service became better."""


DECISION_PROBABILITY = 0.5
"""The last slots are left empty if the probability that they add no throughput
is above this."""

DECISION_SECONDS = 1.0
"""How long a decision is cached if no answer arrives, as it is needed for
each target at each choice."""


class SlotPolicy(abc.ABC):
    """Determines how many concurrent requests targets should have."""

    @abc.abstractmethod
    def max_requests(self, target: TargetState, now: Deadline) -> int:
        """Return how many requests `target` should have at most."""

    def answered(  # noqa: B027
        self, target: TargetState, seconds: float, ahead: float, now: Deadline
    ) -> None:
        """Update the estimate from an answer.

        Args:
            target: The target that answered.
            seconds: Time from sending the request to the answer's headers.
            ahead: Estimated requests at the target when it was sent.
            now: When the answer arrived.
        """


class AllSlots(SlotPolicy):
    """Fills every slot."""

    def max_requests(self, target: TargetState, now: Deadline) -> int:
        """Return the target's slots."""
        return target.slots


@dataclasses.dataclass(slots=True)
class KneeEstimate:
    """Estimates how much the targets of one service slow down above the knee.

    It is a Bayesian estimate: the probability of each of `SLOWDOWN_PRIORS`
    follows from how well the factor explains the answers.

    Attributes:
        full_speed_logs: Logarithms of the latest times at full speed.
        log_likelihoods: Log-likelihood of the answers above the knee under
            each of `SLOWDOWN_PRIORS`.
        last_above_at: When the last of these answers arrived.
        decisions: Cached results of `slows_down_above`, by limit.
        decided_until: When the cached results expire.
    """

    full_speed_logs: deque[float] = dataclasses.field(
        default_factory=lambda: deque(maxlen=MAX_FULL_SPEED_ANSWERS)
    )
    log_likelihoods: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * len(SLOWDOWN_PRIORS)
    )
    last_above_at: Deadline = Deadline(-math.inf)
    decisions: dict[float, bool] = dataclasses.field(default_factory=dict)
    decided_until: Deadline = Deadline(-math.inf)

    def slows_down_above(self, limit: float, now: Deadline) -> bool:
        """Return whether requests probably slow down by more than `limit`."""
        if not 0.0 < self.decided_until - now <= DECISION_SECONDS:
            self.decisions.clear()
            self.decided_until = Deadline(now + DECISION_SECONDS)
        decided = self.decisions.get(limit)
        if decided is None:
            decided = self.probability_above(limit, now) > DECISION_PROBABILITY
            self.decisions[limit] = decided
        return decided

    def probability_above(self, limit: float, now: Deadline) -> float:
        """Return the probability that the factor is greater than `limit`."""
        decay = self._decay(now)
        best = max(self.log_likelihoods)
        total = above = 0.0
        for (factor, share), log in zip(
            SLOWDOWN_PRIORS.items(), self.log_likelihoods, strict=True
        ):
            weight = share * math.exp((log - best) * decay)
            total += weight
            above += weight * (factor > limit)
        return above / total

    def note_full_speed(self, seconds: float) -> None:
        """Add the time of a request that was started below the knee."""
        self.full_speed_logs.append(math.log(seconds))

    def note_above(self, seconds: float, now: Deadline) -> None:
        """Add the time of a request that was started above the knee."""
        if len(self.full_speed_logs) < MIN_FULL_SPEED_ANSWERS:
            return
        decay = self._decay(now)
        self.last_above_at = now
        self.decisions.clear()
        log_slowdown = math.log(seconds) - self._full_speed_mean()
        # The mean that the time is compared with has a standard error as well.
        spread = LOG_TIME_DEVIATION * math.sqrt(
            1 + 1 / len(self.full_speed_logs)
        )
        for number, factor in enumerate(SLOWDOWN_PRIORS):
            deviations = min(
                abs(log_slowdown - math.log(factor)) / spread,
                OUTLIER_DEVIATIONS,
            )
            self.log_likelihoods[number] = (
                self.log_likelihoods[number] * decay
                - deviations * deviations / 2
            )

    def _full_speed_mean(self) -> float:
        """Return the mean logarithm at full speed, without outliers."""
        middle = _median(self.full_speed_logs)
        max_deviation = OUTLIER_DEVIATIONS * LOG_TIME_DEVIATION
        near = [
            log
            for log in self.full_speed_logs
            if abs(log - middle) <= max_deviation
        ]
        return math.fsum(near) / len(near) if near else middle

    def _decay(self, now: Deadline) -> float:
        """Return the decay factor of the log-likelihoods."""
        return 0.5 ** ((now - self.last_above_at) / HALF_LIFE_SECONDS)


class LearnedKnee(SlotPolicy):
    """Fills the number of slots at which targets have the most throughput.

    A target of six slots that slows down above four completes 4 requests in the
    normal time of one with four slots in use, and 3.5 with six. Where the last
    slots add no throughput, a request waits at the host instead, which can
    still send it to another target.

    Attributes:
        estimates: The estimate of each service.
    """

    def __init__(self) -> None:
        """Start without estimates."""
        self.estimates: dict[ServiceId, KneeEstimate] = {}

    def max_requests(self, target: TargetState, now: Deadline) -> int:
        """Return the number of slots with the most throughput."""
        fast = int(KNEE_RATIO * target.slots)
        estimate = self.estimates.get(target.service)
        if estimate is None or fast < 1:
            return target.slots
        slower = estimate.slows_down_above(target.slots / fast, now)
        return fast if slower else target.slots

    def answered(
        self, target: TargetState, seconds: float, ahead: float, now: Deadline
    ) -> None:
        """Update the estimate, unless the request waited at the target."""
        estimate = self.estimates.get(target.service)
        if estimate is None:
            estimate = self.estimates[target.service] = KneeEstimate()
        if ahead + 1 > target.slots or seconds <= 0:
            return
        if is_above_knee(ahead + 1, target.slots):
            estimate.note_above(seconds, now)
        else:
            estimate.note_full_speed(seconds)


def _median(values: Collection[float]) -> float:
    """Return the median.

    The standard library's module of statistics would cost each start three
    modules and 0.15 MB for this.
    """
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def is_above_knee(requests: float, slots: int) -> bool:
    """Return whether a target may slow down at this number of requests."""
    return requests > KNEE_RATIO * slots
