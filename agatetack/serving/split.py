"""Spread a route's requests over the services that share them."""

import dataclasses
import random
from collections.abc import Sequence

from agatetack.config.route import Route, SplitPart
from agatetack.ids import RouteId


class _Turns:
    """Whose turn it is among the parts of one split.

    Each part gains its share at each turn and pays a whole turn when it is
    chosen, so that any stretch of turns holds the weights to within one
    request; random choice would be off by a tenth for a hundred requests.
    """

    def __init__(self, route: Route, source: random.Random):
        """Start at a random point, as hosts would else choose alike."""
        total = sum(part.weight for part in route.split)
        self.route = route
        self.routes = [_with_service(route, part) for part in route.split]
        self.shares = [part.weight / total for part in route.split]
        self.credits = [share * source.random() for share in self.shares]

    def next(self) -> Route:
        """Return the route with the service whose turn it is."""
        for index, share in enumerate(self.shares):
            self.credits[index] += share
        chosen = max(range(len(self.credits)), key=self.credits.__getitem__)
        self.credits[chosen] -= 1
        return self.routes[chosen]


class Splitter:
    """The turns of all routes that are split.

    Attributes:
        turns: By route; a route whose split changed starts anew.
    """

    def __init__(self, seed: int | None = None):
        """Start without routes."""
        self.random = random.Random(seed)
        self.turns: dict[RouteId, _Turns] = {}

    def choose(self, route: Route) -> Route:
        """Return `route` with the one service that runs the next request.

        The choice does not look at whether the service has room: what does
        not fit there is refused, as moving it would change the weights.
        """
        if not route.split:
            return route
        turns = self.turns.get(route.id)
        if turns is None or turns.route is not route:
            turns = self.turns[route.id] = _Turns(route, self.random)
        return turns.next()

    def keep_only(self, routes: Sequence[RouteId]) -> None:
        """Forget routes that are no more."""
        for gone in self.turns.keys() - set(routes):
            del self.turns[gone]


def _with_service(route: Route, part: SplitPart) -> Route:
    return dataclasses.replace(route, service=part.service)
