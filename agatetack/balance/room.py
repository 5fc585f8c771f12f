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

Those that slow down when they are nearly full do so above it: of six slots the
first four took 260 ms each and the fifth 450 ms. Of two or three it is the
last one.
"""

USUAL_FACTOR = 1.35
"""How much longer a request takes above that, before any was measured: half of
the services slow down to 1.7 times the time, the others not at all."""

USUAL_WEIGHT = 4.0
"""Answers that this counts as. A request's time varies by a third, so that some
ten are needed to tell 1.7 from 1."""

LEAST_ANSWERS = 5
"""How many of them there must be to compare others with."""

LEAST_RATIO = 0.5
MOST_RATIO = 3.0
"""Bounds of one answer's part in the factor: one that waited for a slow machine
is five times late and says nothing of its slots."""

USUAL_ANSWERS = 16
"""Latest requests at full speed of which the middle time counts. A mean would
follow those that met a slow machine."""

FORGET_SECONDS = 60.0
"""After this time without a request above it, what was learned counts half, so
that a service whose targets became better is tried again."""


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

    Attributes:
        usual: Latest times of requests at full speed, in seconds.
        ratios: Sum of what answers above the knee took, in that time.
        weight: How many answers that is.
        known_at: When the last of them came.
    """

    usual: deque[float] = dataclasses.field(
        default_factory=lambda: deque(maxlen=USUAL_ANSWERS)
    )
    ratios: float = 0.0
    weight: float = 0.0
    known_at: Deadline = Deadline(-math.inf)

    def factor(self, now: Deadline) -> float:
        """Return how much longer a request takes above the knee."""
        weight = self._weight(now)
        ratios = self.ratios * weight / self.weight if weight else 0.0
        known = USUAL_FACTOR * USUAL_WEIGHT + ratios
        return known / (USUAL_WEIGHT + weight)

    def note_above(self, seconds: float, now: Deadline) -> None:
        """Take the time of a request that was started above the knee."""
        if len(self.usual) < LEAST_ANSWERS:
            return
        ratio = seconds / statistics.median(self.usual)
        ratio = min(MOST_RATIO, max(LEAST_RATIO, ratio))
        weight = self._weight(now)
        if self.weight:
            self.ratios *= weight / self.weight
        self.ratios += ratio
        self.weight = weight + 1
        self.known_at = now

    def _weight(self, now: Deadline) -> float:
        if not self.weight:
            return 0.0
        return self.weight * 0.5 ** ((now - self.known_at) / FORGET_SECONDS)


class LearnedKnee(SlotRoom):
    """Fills the slots up to which targets do most.

    A target of six slots that slows down above four does 4 requests in the time
    of one with four, and 3.5 with six. Where the last slots add nothing a
    request waits at the host instead, which can still send it elsewhere:
    answers in time rose from 80 to 82 % in a day of high load, and in its worst
    seconds from 55 to 60 % (played with 96 hosts, one day each).

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
        if fast * estimate.factor(now) > target.slots:
            return fast
        return target.slots

    def answered(
        self, target: TargetState, seconds: float, ahead: float, now: Deadline
    ) -> None:
        """Learn from an answer, unless its request waited at the target."""
        estimate = self.services.get(target.service)
        if estimate is None:
            estimate = self.services[target.service] = KneeEstimate()
        if ahead + 1 > target.slots:
            return
        if is_above_knee(ahead + 1, target.slots):
            estimate.note_above(seconds, now)
        else:
            estimate.usual.append(seconds)


def is_above_knee(requests: float, slots: int) -> bool:
    """Return whether a target may slow down with so many requests."""
    return requests > KNEE_SHARE * slots
