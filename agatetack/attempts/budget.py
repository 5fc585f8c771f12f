"""Limit retries and hedges to a share of a route's requests."""

from agatetack.ids import RouteId


class RatioBudget:
    """A token bucket that requests fill and retries or hedges empty.

    Attributes:
        ratio: Tokens added by each request.
        burst: Maximum number of tokens.
        tokens: Tokens available now.
    """

    def __init__(self, ratio: float, burst: float):
        """Start full, so that the first requests may be retried too."""
        self.ratio = ratio
        self.burst = burst
        self.tokens = float(burst)

    def earn(self) -> None:
        """Add the tokens of one request."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take one token, and return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def give_back(self) -> None:
        """Put back a token that was not used."""
        self.tokens = min(self.burst, self.tokens + 1)


class RouteBudgets:
    """One budget for each route, so that one route can't spend another's."""

    def __init__(self, ratio: float, burst: float):
        """Give each route a budget with `ratio` and `burst`."""
        self.ratio = ratio
        self.burst = burst
        self.by_route: dict[RouteId, RatioBudget] = {}

    def of(self, route: RouteId) -> RatioBudget:
        """Return the budget of `route`."""
        budget = self.by_route.get(route)
        if budget is None:
            budget = RatioBudget(self.ratio, self.burst)
            self.by_route[route] = budget
        return budget

    def retain(self, routes: set[RouteId]) -> None:
        """Drop the budgets of all other routes."""
        for route in self.by_route.keys() - routes:
            del self.by_route[route]
