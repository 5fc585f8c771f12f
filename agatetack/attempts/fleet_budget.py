"""Bound what the whole fleet sends to one service beyond first attempts."""

from collections import deque
from collections.abc import Callable

import trio

from agatetack.ids import ServiceId
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

RATIO_SHARE = 0.8
"""Share of the allowed ratio that is spent, as windows of requests and of
repeats do not end together."""

SLACK_SHARE = 0.5
"""Share of the allowed slack that is handed out. A host that was killed has
forgotten what it spent, and gets its part of the slack a second time within
one window."""


class ServiceWindow:
    """When requests and repeats of one service were sent lately."""

    def __init__(self) -> None:
        """Start with none."""
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def forget(self, before: float) -> None:
        """Forget what lies before the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


class FleetBudget:
    """This host's part of what the fleet may send again.

    The fleet may send to one service, in any window, a ratio of the service's
    requests and a slack. Each host spends the ratio of its own requests, and
    its equal part of the slack; a host that does not know the fleet's size
    yet has none of the slack.

    Attributes:
        windows: What was sent lately, by service.
    """

    def __init__(
        self,
        settings: Settings,
        fleet_size: Callable[[], int | None],
        metrics: Metrics,
    ):
        """Bound by `settings.attempts`.

        Args:
            settings: The host's settings.
            fleet_size: Returns the number of hosts, never too low, or None
                if it is not known.
            metrics: Where what is not allowed is counted.
        """
        self.set_limits(settings)
        self.fleet_size = fleet_size
        self.windows: dict[ServiceId, ServiceWindow] = {}
        self.refused = metrics.counter(
            "agatetack_fleet_budget_refused_total",
            "Attempts not made as the fleet's budget was spent, by service.",
        )

    def set_limits(self, settings: Settings) -> None:
        """Bound by `settings.attempts` from now on."""
        limits = settings.attempts
        self.ratio = limits.fleet_ratio * RATIO_SHARE
        self.slack = limits.fleet_slack * SLACK_SHARE
        self.seconds = limits.fleet_window_seconds
        self.bounded = limits.fleet_ratio > 0

    def request(self, service: ServiceId) -> None:
        """Note a request for `service`."""
        if self.bounded:
            self._window(service).requests.append(trio.current_time())

    def spend(self, service: ServiceId) -> bool:
        """Take leave for one more attempt, and return whether there is any."""
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
        window.forget(trio.current_time() - self.seconds)
        return window
