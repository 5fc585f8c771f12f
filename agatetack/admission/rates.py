"""Enforce each route's limit of requests per second over the whole fleet."""

from collections.abc import Callable

import trio

from agatetack.config.route import Route
from agatetack.ids import Deadline, RouteId

BURST_SECONDS = 0.5
"""Size of a route's burst, in seconds of its rate."""


class RouteRates:
    """A token bucket for this host's share of the rate of each route."""

    def __init__(self, fleet_size: Callable[[], int]):
        """Divide rates by the number of hosts that `fleet_size` returns."""
        self.fleet_size = fleet_size
        self.tokens: dict[RouteId, float] = {}
        self.filled_at: dict[RouteId, float] = {}

    def take(self, route: Route) -> Deadline | None:
        """Count one request.

        Returns:
            None, or when to retry if the share is used up.
        """
        rate = route.requests_per_second / max(1, self.fleet_size())
        now = trio.current_time()
        max_tokens = max(1.0, rate * BURST_SECONDS)
        elapsed = now - self.filled_at.get(route.id, now)
        tokens = self.tokens.get(route.id, max_tokens) + elapsed * rate
        tokens = min(max_tokens, tokens)
        self.filled_at[route.id] = now
        if tokens < 1.0:
            self.tokens[route.id] = tokens
            return Deadline(now + (1.0 - tokens) / rate)
        self.tokens[route.id] = tokens - 1.0
        return None
