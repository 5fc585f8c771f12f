"""Adapt the limit of concurrent requests from this host to each target."""

from agatetack.settings.model import Settings
from agatetack.targets.state import TargetState

SHED_FACTOR = 0.5
"""Factor by which the limit is cut when a target sheds a request."""

CROWDED_FACTOR = 0.9
"""Factor by which the limit is cut at an answer of a crowded target."""

CROWDED_REQUESTS_PER_SLOT = 4
"""A target with more requests than this for each slot counts as crowded."""


class TargetLimits:
    """Raises limits at answers; cuts them if targets shed or are crowded."""

    def __init__(self, settings: Settings):
        """Take the bounds of the limits from `settings`."""
        self.min_limit = settings.admission.min_target_limit
        self.max_limit = max(
            self.min_limit, settings.admission.max_target_limit
        )

    def answered(self, target: TargetState) -> None:
        """Record an answer: raise the limit, or cut it if it is crowded."""
        learned = target.learned
        report = target.report
        crowded = (
            report is not None
            and report.in_flight > CROWDED_REQUESTS_PER_SLOT * target.slots
        )
        if crowded:
            self._set(target, learned.limit * CROWDED_FACTOR)
        elif target.in_flight + 1 >= target.limit:
            self._set(target, learned.limit + 1 / learned.limit)

    def shed(self, target: TargetState) -> None:
        """Cut the limit as the target refused a request because of its load."""
        self._set(target, target.learned.limit * SHED_FACTOR)

    def _set(self, target: TargetState, limit: float) -> None:
        limit = min(max(limit, self.min_limit), self.max_limit)
        target.learned.limit = limit
        target.limit = int(limit)
