"""Count events of targets."""

from agatetack.metrics import Metrics
from agatetack.targets.leaving import LeavingSign


class TargetCounters:
    """Metrics of leaving, slow, cold and usable targets.

    Attributes:
        signs: Signs that a target is leaving.
        slow: Times that a target was found slow.
        returned: Targets that got new work again after such a sign.
        usable: Targets that may get new work now.
        warmth: Times that a target was found cold, or warm again.
    """

    def __init__(self, metrics: Metrics):
        """Register the metrics and create a series at 0 for each sign."""
        self.signs = metrics.counter(
            "agatetack_leaving_signs_total",
            "Signs that a target is leaving, by sign.",
        )
        self.slow = metrics.counter(
            "agatetack_targets_slow_total",
            "Times that a target was found slow and left alone, by service.",
        )
        self.returned = metrics.counter(
            "agatetack_targets_returned_total",
            "Targets that got new work again after a sign of leaving.",
        )
        self.usable = metrics.gauge(
            "agatetack_targets_usable", "Targets that may get work, by service."
        )
        self.warmth = metrics.counter(
            "agatetack_targets_warmth_total",
            "Times that a target was found cold, or warm again, by state.",
        )
        for sign in LeavingSign:
            self.signs.add({"sign": sign.value}, 0)
