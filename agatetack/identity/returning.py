"""Recognise requests that callers send again after a refusal."""

from agatetack.ids import ClientAccountId, RouteId
from agatetack.messages import CallerRequest

RETURNING_RATIO = 0.8
"""A request with less than this share of the time that its account's requests
on the route usually have left was sent before, at this or another host. Callers
vary the time that they give by up to 15 %."""

USUAL_DECAY = 0.99
"""Factor by which the usual time shrinks with each request, so that it follows
callers that begin to give less time."""


class ReturningRequests:
    """Compares the time that requests have left with what is usual.

    Attributes:
        usual_seconds: The usual time left at arrival, by account and route.
    """

    def __init__(self) -> None:
        """Start without any request."""
        self.usual_seconds: dict[tuple[ClientAccountId, RouteId], float] = {}

    def is_returning(self, request: CallerRequest, route: RouteId) -> bool:
        """Note `request`, and return whether it was surely sent before."""
        if not request.deadline_given or request.account is None:
            return False
        key = request.account.id, route
        left_seconds = request.deadline - request.arrived
        usual = self.usual_seconds.get(key, 0.0) * USUAL_DECAY
        self.usual_seconds[key] = max(usual, left_seconds)
        return left_seconds < RETURNING_RATIO * usual
