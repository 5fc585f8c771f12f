"""Remember why the latest requests ended as they did, for operators."""

import collections
import dataclasses

from agatetack.ids import RequestId, RouteId
from agatetack.messages import CallerRequest
from agatetack.outcomes import Refusal

KEPT = 10_000
"""Latest refused requests that are kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Why one request was refused.

    Attributes:
        request_id: The request.
        route: Its route, or None if it matched none.
        refusal: Why, and what became of it.
    """

    request_id: RequestId
    route: RouteId | None
    refusal: Refusal


class Explanations:
    """The latest refused requests of one host, by id."""

    def __init__(self) -> None:
        """Start empty."""
        self.by_id: collections.OrderedDict[RequestId, Explanation] = (
            collections.OrderedDict()
        )

    def note_refusal(
        self, request: CallerRequest, route: RouteId | None, refusal: Refusal
    ) -> None:
        """Remember why a request was refused."""
        request_id = request.request_id
        self.by_id[request_id] = Explanation(request_id, route, refusal)
        if len(self.by_id) > KEPT:
            self.by_id.popitem(last=False)

    def find(self, request_id: RequestId) -> Explanation | None:
        """Return why a request was refused, or None if not known."""
        return self.by_id.get(request_id)
