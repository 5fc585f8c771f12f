"""Measure how overloaded a service is, from what every host knows of it.

The load that this answers: 107 to 229 hosts that each see two to four requests
a second, too few to tell an overload from chance. All hosts of a group know
the same of the targets' slots; a host's own waits only say how far to go.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable, Sequence

from agatetack.ids import Deadline
from agatetack.targets.state import TargetState

FULL_RATIO = 0.9
"""Ratio of a service's slots in use from which it counts as full."""

FULL_WEIGHT = 0.4
"""Weight of one look at the slots in the moving average. Some slots are empty
while hosts take turns at them."""

LOOK_SECONDS = 0.1
"""Shortest time between two looks at all targets of a service."""

STALE_SECONDS = 3.0
"""Age of the latest load report from which a host no longer refuses requests
for an overload. Under load, every answer carries a report."""

WAIT_LIMIT_RATIO = 0.5
"""Ratio of the time that a request may wait and still meet its target latency;
requests of an overloaded service wait longer than that. At 0.3, a fleet of 17
hosts refused 14 of 1,954 requests at 0.95 of what its targets can run, at 0.5
it refused 2."""

WAIT_WEIGHT = 0.25
"""Weight of one request in the moving average of the waits."""

PRIOR_WAITS = 1
"""Requests without a wait that are counted with those that wait, as the wait of
one request alone says little."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pressure:
    """How overloaded a service is.

    Attributes:
        wait_ratio: Mean wait, as a ratio of its limit.
        full: Whether its targets have hardly any slot left.
        known: Whether the state of the targets is known.
    """

    wait_ratio: float = 0.0
    full: bool = False
    known: bool = True

    @property
    def overloaded(self) -> bool:
        """Return whether requests wait too long for want of slots."""
        return self.known and self.full and self.wait_ratio > 1


class PressureMeter:
    """Measures the pressure on one service.

    Attributes:
        full_ratio: Moving average of the ratio of its slots in use.
        wait_ratio: Moving average of the waits, as a ratio of their limit.
        looked_at: When the targets were looked at last.
        pressure: The pressure then.
    """

    def __init__(self, has_free_slot: Callable[[TargetState, Deadline], bool]):
        """Start without pressure.

        Args:
            has_free_slot: Returns whether a request would run at once there.
        """
        self.has_free_slot = has_free_slot
        self.full_ratio = 0.0
        self.wait_ratio = 0.0
        self.looked_at = Deadline(-math.inf)
        self.pressure = Pressure()

    def note_wait(self, wait: float, longest: float) -> None:
        """Add the wait of one request.

        Args:
            wait: How long it waited for a target.
            longest: The longest wait with which it is still in time.
        """
        ratio = _ratio_to_limit(wait, longest)
        self.wait_ratio += WAIT_WEIGHT * (ratio - self.wait_ratio)

    def measure(
        self,
        targets: Iterable[TargetState],
        waits: Sequence[tuple[float, float]],
        now: Deadline,
    ) -> Pressure:
        """Return the pressure, from a look at the targets if one is due.

        Args:
            targets: The targets of the service.
            waits: How long the waiting requests have waited, and how long each
                may. Only the newest may be served for a while, so that their
                waits alone would not show an overload.
            now: The time.
        """
        if 0 <= now - self.looked_at < LOOK_SECONDS:
            return self.pressure
        before, self.looked_at = self.looked_at, now
        count = full = 0
        latest = -math.inf
        for target in targets:
            count += 1
            # A cold target will soon run several times as much. With refusals
            # while all are cold, 0.58 were in time, without them 0.62.
            if not target.warmth.is_cold(now):
                full += not self.has_free_slot(target, now)
            if target.report is not None:
                latest = max(latest, target.report.at)
        known = now - latest <= STALE_SECONDS
        ratio = full / count if count else 0.0
        if now - before > STALE_SECONDS:
            self.full_ratio = ratio
        self.full_ratio += FULL_WEIGHT * (ratio - self.full_ratio)
        is_full = self.full_ratio >= FULL_RATIO
        wait_ratio = self.wait_ratio
        if waits:
            ratios = [_ratio_to_limit(*each) for each in waits]
            mean = sum(ratios) / (len(ratios) + PRIOR_WAITS)
            wait_ratio = max(wait_ratio, mean)
        self.pressure = Pressure(wait_ratio, is_full, known)
        return self.pressure


def _ratio_to_limit(wait: float, longest: float) -> float:
    limit = WAIT_LIMIT_RATIO * longest
    return min(wait / limit, 1 / WAIT_LIMIT_RATIO) if limit > 0 else 1.0
