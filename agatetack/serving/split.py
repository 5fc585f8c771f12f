"""Split a route's requests among services by weight."""

import dataclasses
import random
from collections.abc import Sequence

from agatetack.config.route import Route, SplitPart
from agatetack.ids import RouteId


class _WeightedRoundRobin:
    """Smooth weighted round-robin over the parts of one split.

    At each request every part gains its share as credit, and the part that
    is chosen pays a credit of 1. Any run of consecutive requests therefore
    matches the weights to within one request; random choice would be off by
    a tenth for 100 requests.
    """

    def __init__(self, route: Route, rng: random.Random):
        """Start with random credits, so that hosts don't choose in step."""
        total = sum(part.weight for part in route.split)
        self.route = route
        self.routes = [_with_service(route, part) for part in route.split]
        self.shares = [part.weight / total for part in route.split]
        self.credits = [share * rng.random() for share in self.shares]

    def next(self) -> Route:
        """Return the route with the next service."""
        for index, share in enumerate(self.shares):
            self.credits[index] += share
        chosen = max(range(len(self.credits)), key=self.credits.__getitem__)
        self.credits[chosen] -= 1
        return self.routes[chosen]


class Splitter:
    """Chooses a service for each request on routes with a split.

    Attributes:
        round_robins: Round-robin state by route; a changed route starts anew.
    """

    def __init__(self, seed: int | None = None):
        """Start without routes."""
        self.random = random.Random(seed)
        self.round_robins: dict[RouteId, _WeightedRoundRobin] = {}

    def choose(self, route: Route) -> Route:
        """Return `route` with the one service that runs the next request.

        The service's free capacity is not considered: requests beyond it are
        refused, as moving them to another service would change the weights.
        """
        if not route.split:
            return route
        round_robin = self.round_robins.get(route.id)
        if round_robin is None or round_robin.route is not route:
            round_robin = self.round_robins[route.id] = _WeightedRoundRobin(
                route, self.random
            )
        return round_robin.next()

    def keep_only(self, routes: Sequence[RouteId]) -> None:
        """Drop the state of routes that no longer exist."""
        for removed in self.round_robins.keys() - set(routes):
            del self.round_robins[removed]


def _with_service(route: Route, part: SplitPart) -> Route:
    return dataclasses.replace(route, service=part.service)
