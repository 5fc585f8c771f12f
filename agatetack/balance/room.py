"""Say how many requests a target should have at the same time."""

import abc
import dataclasses
import math
import statistics
from collections import deque

from agatetack.ids import Deadline, ServiceId
from agatetack.targets.state import TargetState

KNEE_SHARE = 0.8
"""Share of its slots up to which a target runs requests at full speed.

Those that slow down when they are nearly full do so above it. Of two or three
slots it is the last one.
"""

FACTORS = {1.0: 0.42, 1.2: 0.05, 1.35: 0.05, 1.7: 0.42, 2.0: 0.03, 2.6: 0.03}
"""How much longer a request may take above that, and how likely that is before
any was measured: half of the services slow down to 1.7 times the time, nearly
all others not at all."""

TIME_SPREAD = 0.33
"""Standard deviation of the logarithm of a request's time."""

LEAST_ANSWERS = 5
"""How many at full speed there must be to compare others with."""

OUTLIER_SPREADS = 2.0
"""Spreads from which on a time says nothing of slots: one that waited for a
slow machine is five times as long."""

USUAL_ANSWERS = 32
"""Latest requests at full speed that others are compared with."""

FORGET_SECONDS = 60.0
"""After this time without a request above it, what was learned counts half, so
that a service whose targets became better is tried again."""


EVEN_ODDS = 0.5
"""How likely the last slots must add nothing to be left empty."""

DECIDED_SECONDS = 1.0
"""How long a decision holds if no answer comes, as it is asked for each target
at each choice."""


class SlotRoom(abc.ABC):
    """A way to say how many requests targets should have."""

    @abc.abstractmethod
    def most(self, target: TargetState, now: Deadline) -> int:
        """Return how many requests `target` should have at most."""

    def answered(  # noqa: B027
        self, target: TargetState, seconds: float, ahead: float, now: Deadline
    ) -> None:
        """Learn from an answer.

        Args:
            target: Who answered.
            seconds: From the send to the answer's headers.
            ahead: Requests thought to be at the target at the send.
            now: When it came.
        """


class AllSlots(SlotRoom):
    """Fills every slot."""

    def most(self, target: TargetState, now: Deadline) -> int:
        """Return the target's slots."""
        return target.slots


@dataclasses.dataclass(slots=True)
class KneeEstimate:
    """What is known of how the targets of one service slow down.

    Which of some factors is true is weighed by what each makes of the answers.

    Attributes:
        usual: Logarithms of the latest times at full speed.
        logs: Logarithms of how well each of `FACTORS` explains the answers
            above the knee.
        known_at: When the last of them came.
        decisions: What `is_above` said of each limit since then.
        decided_until: Until when that holds.
    """

    usual: deque[float] = dataclasses.field(
        default_factory=lambda: deque(maxlen=USUAL_ANSWERS)
    )
    logs: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * len(FACTORS)
    )
    known_at: Deadline = Deadline(-math.inf)
    decisions: dict[float, bool] = dataclasses.field(default_factory=dict)
    decided_until: Deadline = Deadline(-math.inf)

    def is_above(self, limit: float, now: Deadline) -> bool:
        """Return whether a request above the knee takes `limit` as long."""
        if not 0.0 < self.decided_until - now <= DECIDED_SECONDS:
            self.decisions.clear()
            self.decided_until = Deadline(now + DECIDED_SECONDS)
        decided = self.decisions.get(limit)
        if decided is None:
            decided = self.likely_above(limit, now) > EVEN_ODDS
            self.decisions[limit] = decided
        return decided

    def likely_above(self, limit: float, now: Deadline) -> float:
        """Return how likely that is."""
        kept = self._kept(now)
        best = max(self.logs)
        total = above = 0.0
        for (factor, share), log in zip(
            FACTORS.items(), self.logs, strict=True
        ):
            weight = share * math.exp((log - best) * kept)
            total += weight
            above += weight * (factor > limit)
        return above / total

    def note_usual(self, seconds: float) -> None:
        """Take the time of a request that was started at full speed."""
        self.usual.append(math.log(seconds))

    def note_above(self, seconds: float, now: Deadline) -> None:
        """Take the time of a request that was started above the knee."""
        if len(self.usual) < LEAST_ANSWERS:
            return
        kept = self._kept(now)
        self.known_at = now
        self.decisions.clear()
        late = math.log(seconds) - self._usual_log()
        # What it is compared with varies as well.
        spread = TIME_SPREAD * math.sqrt(1 + 1 / len(self.usual))
        for number, factor in enumerate(FACTORS):
            off = min(abs(late - math.log(factor)) / spread, OUTLIER_SPREADS)
            self.logs[number] = self.logs[number] * kept - off * off / 2

    def _usual_log(self) -> float:
        """Return the mean at full speed, without those that met trouble."""
        middle = statistics.median(self.usual)
        most = OUTLIER_SPREADS * TIME_SPREAD
        near = [log for log in self.usual if abs(log - middle) <= most]
        return statistics.fmean(near or [middle])

    def _kept(self, now: Deadline) -> float:
        """Return how much of what was learned still counts."""
        return 0.5 ** ((now - self.known_at) / FORGET_SECONDS)


class LearnedKnee(SlotRoom):
    """Fills the slots up to which targets do most.

    A target of six slots that slows down above four does 4 requests in the time
    of one with four, and 3.5 with six. Where the last slots add nothing a
    request waits at the host instead, which can still send it elsewhere.

    Attributes:
        services: What is known of each service.
    """

    def __init__(self) -> None:
        """Start with nothing known."""
        self.services: dict[ServiceId, KneeEstimate] = {}

    def most(self, target: TargetState, now: Deadline) -> int:
        """Return the slots up to which the target does most."""
        fast = int(KNEE_SHARE * target.slots)
        estimate = self.services.get(target.service)
        if estimate is None or fast < 1:
            return target.slots
        slower = estimate.is_above(target.slots / fast, now)
        return fast if slower else target.slots

    def answered(
        self, target: TargetState, seconds: float, ahead: float, now: Deadline
    ) -> None:
        """Learn from an answer, unless its request waited at the target."""
        estimate = self.services.get(target.service)
        if estimate is None:
            estimate = self.services[target.service] = KneeEstimate()
        if ahead + 1 > target.slots or seconds <= 0:
            return
        if is_above_knee(ahead + 1, target.slots):
            estimate.note_above(seconds, now)
        else:
            estimate.note_usual(seconds)


def is_above_knee(requests: float, slots: int) -> bool:
    """Return whether a target may slow down with so many requests."""
    return requests > KNEE_SHARE * slots
