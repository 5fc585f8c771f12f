"""Estimate the latency above which a route's answers count as late."""

from collections import deque

MAX_SAMPLES = 512
"""Number of latest latencies that the quantile is computed from."""

RECOMPUTE_INTERVAL_SAMPLES = 64
"""Samples between two computations; sorting for each one is too expensive."""

MIN_SAMPLES = 64
"""Samples needed before a quantile is meaningful."""


class LatencyQuantile:
    """A quantile of the latest latencies.

    Attributes:
        quantile: Which quantile, from 0 to 1.
        value: The quantile in seconds, or None with too few samples.
    """

    def __init__(self, quantile: float):
        """Start without samples."""
        self.quantile = quantile
        self.samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.value: float | None = None
        self.new_samples = 0

    def add(self, seconds: float) -> None:
        """Add one latency, in seconds."""
        self.samples.append(seconds)
        self.new_samples += 1
        if (
            self.new_samples < RECOMPUTE_INTERVAL_SAMPLES
            or len(self.samples) < MIN_SAMPLES
        ):
            return
        self.new_samples = 0
        ordered = sorted(self.samples)
        index = min(len(ordered) - 1, int(self.quantile * len(ordered)))
        self.value = ordered[index]
