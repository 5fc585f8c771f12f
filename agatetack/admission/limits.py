"""Adapt how many requests this host puts at one target at the same time."""

from agatetack.settings.model import Settings
from agatetack.targets.state import TargetState

SHED_FACTOR = 0.5
"""What a shed answer leaves of the limit."""

CROWDED_FACTOR = 0.9
"""What an answer that waited for too long leaves of the limit."""

CROWDED_SLOTS = 4
"""A target with this many requests for each slot is crowded."""


class TargetLimits:
    """Grow a target's limit by answers, cut it by shed answers and waits."""

    def __init__(self, settings: Settings):
        """Keep the bounds."""
        self.least = settings.admission.min_target_limit
        self.most = max(self.least, settings.admission.max_target_limit)

    def answered(self, target: TargetState) -> None:
        """Note an answer: grow, or shrink where requests pile up."""
        learned = target.learned
        report = target.report
        crowded = (
            report is not None
            and report.in_flight > CROWDED_SLOTS * target.slots
        )
        if crowded:
            self._set(target, learned.limit * CROWDED_FACTOR)
        elif target.in_flight + 1 >= target.limit:
            self._set(target, learned.limit + 1 / learned.limit)

    def shed(self, target: TargetState) -> None:
        """Note that the target refused a request for its load."""
        self._set(target, target.learned.limit * SHED_FACTOR)

    def _set(self, target: TargetState, limit: float) -> None:
        limit = min(max(limit, self.least), self.most)
        target.learned.limit = limit
        target.limit = int(limit)
