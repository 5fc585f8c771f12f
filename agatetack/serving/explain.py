"""Keep the outcomes of the latest requests for operators to query."""

import collections
import dataclasses

import trio

from agatetack.config.route import Route
from agatetack.ids import Deadline, RequestId, RouteId, ServiceId
from agatetack.messages import AttemptRecord, CallerRequest
from agatetack.outcomes import Refusal

MAX_ANSWERED_NOTES = 2_000
"""Latest answered requests that are kept."""

MAX_REFUSED_NOTES = 2_000
"""Latest refused requests that are kept.

They are counted apart, so that many answered requests don't evict them.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestNote:
    """The outcome of one request and of its attempts.

    Attributes:
        request_id: The request.
        route: Its route, or None if it matched none.
        service: The route's service, or None.
        arrived: When it arrived.
        finished: When its answer's header was ready.
        status: The HTTP status sent to the caller.
        refusal: The refusal sent in place of a target's answer, or None.
        attempts: The attempts to run it.
    """

    request_id: RequestId
    route: RouteId | None
    service: ServiceId | None
    arrived: Deadline
    finished: Deadline
    status: int
    refusal: Refusal | None
    attempts: list[AttemptRecord]


class _LatestNotes:
    """The latest notes, by request id."""

    def __init__(self, max_notes: int):
        self.max_notes = max_notes
        self.notes: collections.OrderedDict[RequestId, RequestNote] = (
            collections.OrderedDict()
        )

    def add(self, note: RequestNote) -> None:
        self.notes[note.request_id] = note
        if len(self.notes) > self.max_notes:
            self.notes.popitem(last=False)


class Explanations:
    """The latest answered and refused requests of one host."""

    def __init__(self) -> None:
        """Start empty."""
        self.answered = _LatestNotes(MAX_ANSWERED_NOTES)
        self.refused = _LatestNotes(MAX_REFUSED_NOTES)

    def note(
        self,
        request: CallerRequest,
        route: Route | None,
        status: int,
        refusal: Refusal | None = None,
    ) -> None:
        """Record the outcome of a request."""
        note = RequestNote(
            request.request_id,
            None if route is None else route.id,
            None if route is None else route.service,
            request.arrived,
            Deadline(trio.current_time()),
            status,
            refusal,
            request.attempts,
        )
        notes = self.answered if refusal is None else self.refused
        notes.add(note)

    def find(self, request_id: RequestId) -> list[RequestNote]:
        """Return the notes on a request, ordered by arrival."""
        found = [
            latest.notes[request_id]
            for latest in (self.answered, self.refused)
            if request_id in latest.notes
        ]
        return sorted(found, key=lambda note: note.arrived)
