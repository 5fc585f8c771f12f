"""Limit the retries and hedges that the whole fleet sends to one service."""

from collections import deque
from collections.abc import Callable

import trio

from agatetack.ids import ServiceId
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

USED_RATIO_SHARE = 0.8
"""Share of the configured ratio that is used. The rest is a margin, as the
windows of requests and of repeats do not end at the same time."""

USED_SLACK_SHARE = 0.5
"""Share of the configured slack that is used. A killed host loses the record
of what it spent, and gets its part of the slack a second time within one
window."""


class ServiceWindow:
    """Times of one service's requests and repeats in the current window."""

    def __init__(self) -> None:
        """Start empty."""
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def drop_before(self, before: float) -> None:
        """Drop the times before `before`, the start of the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


class FleetBudget:
    """This host's part of the fleet's budget of repeats: retries and hedges.

    In any window the fleet may send to one service as many repeats as a ratio
    of the service's requests plus a slack. Each host uses the ratio of its own
    requests and an equal part of the slack; a host that does not know the
    fleet's size yet gets none of the slack.

    Attributes:
        windows: Times of recent requests and repeats, by service.
    """

    def __init__(
        self,
        settings: Settings,
        fleet_size: Callable[[], int | None],
        metrics: Metrics,
    ):
        """Use the limits in `settings.attempts`.

        Args:
            settings: The host's settings.
            fleet_size: Returns the number of hosts, never too low, or None
                if it is not known.
            metrics: Where refused repeats are counted.
        """
        self.set_limits(settings)
        self.fleet_size = fleet_size
        self.windows: dict[ServiceId, ServiceWindow] = {}
        self.refused = metrics.counter(
            "agatetack_fleet_budget_refused_total",
            "Attempts not made as the fleet's budget was spent, by service.",
        )

    def set_limits(self, settings: Settings) -> None:
        """Use the limits in `settings.attempts` from now on."""
        limits = settings.attempts
        self.ratio = limits.fleet_ratio * USED_RATIO_SHARE
        self.slack = limits.fleet_slack * USED_SLACK_SHARE
        self.seconds = limits.fleet_window_seconds
        self.bounded = limits.fleet_ratio > 0

    def record_request(self, service: ServiceId) -> None:
        """Record a request for `service`."""
        if self.bounded:
            self._window(service).requests.append(trio.current_time())

    def spend(self, service: ServiceId) -> bool:
        """Record one more attempt and return True if the budget allows it."""
        if not self.bounded:
            return True
        window = self._window(service)
        if len(window.repeats) + 1 > self.allowed(service):
            self.refused.inc({"service": service})
            return False
        window.repeats.append(trio.current_time())
        return True

    def left(self, service: ServiceId) -> float:
        """Return how many more attempts may be made now."""
        if not self.bounded:
            return float("inf")
        return self.allowed(service) - len(self._window(service).repeats)

    def allowed(self, service: ServiceId) -> float:
        """Return how many repeats this host may make in one window."""
        size = self.fleet_size()
        slack = 0.0 if size is None else self.slack / max(1, size)
        return self.ratio * len(self._window(service).requests) + slack

    def _window(self, service: ServiceId) -> ServiceWindow:
        window = self.windows.get(service)
        if window is None:
            window = self.windows[service] = ServiceWindow()
        window.drop_before(trio.current_time() - self.seconds)
        return window
