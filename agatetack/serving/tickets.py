"""Answer polls for deferred requests."""

import urllib.parse

import trio
from returns.result import Failure

from agatetack.callers.problem import refusal_answer
from agatetack.deferred.queue import DeferredQueue, StoredAnswer, TicketState
from agatetack.ids import Deadline, TicketId
from agatetack.messages import Answer, BytesBody, CallerRequest, Handler, Header
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal, RefusalReason, refuse
from agatetack.settings.model import Settings

OPEN_STATUS = 202


class TicketHandler(Handler):
    """Answers `GET TICKET_PATH/ID?wait-ms=N` on any host."""

    def __init__(
        self, settings: Settings, queue: DeferredQueue, metrics: Metrics
    ):
        """Look tickets up in `queue`."""
        self.settings = settings
        self.queue = queue
        self.metrics = metrics

    async def handle(self, request: CallerRequest) -> Answer:
        """Return the stored answer, 202 if it is pending, or a refusal."""
        prefix = self.settings.callers.ticket_path.encode()
        path, _, query = request.path.removeprefix(prefix).partition(b"?")
        ticket = TicketId(path.decode("latin-1"))
        wait_until = self._wait_until(request, query.decode("latin-1"))
        found = await self.queue.fetch(ticket, wait_until)
        if isinstance(found, Failure):
            return self._refuse(request, found.failure())
        result = found.unwrap()
        if isinstance(result, StoredAnswer):
            body = BytesBody(result.body)
            return Answer(result.status, list(result.headers), body)
        if result is TicketState.EXPIRED:
            return self._refuse(
                request,
                refuse(
                    RefusalReason.TICKET_EXPIRED,
                    "The request's deadline passed before it was run.",
                ),
            )
        return self._still_open(ticket)

    def _wait_until(self, request: CallerRequest, query: str) -> Deadline:
        wanted = urllib.parse.parse_qs(query).get("wait-ms", ["0"])[0]
        # float() accepts any number of digits; too large a number is infinity.
        wait_ms = float(wanted) if wanted.isdecimal() else 0.0
        longest = self.settings.deferred.max_wait_seconds
        until = trio.current_time() + min(wait_ms / 1000, longest)
        return Deadline(min(until, request.deadline))

    def _still_open(self, ticket: TicketId) -> Answer:
        seconds = self.settings.admission.retry_after_seconds
        headers = [
            Header(
                self.settings.callers.headers.ticket.encode(), ticket.encode()
            ),
            Header(b"retry-after", b"%d" % max(1, round(seconds))),
        ]
        return Answer(OPEN_STATUS, headers, BytesBody(b""))

    def _refuse(self, request: CallerRequest, refusal: Refusal) -> Answer:
        self.metrics.refused(None, refusal.reason)
        callers = self.settings.callers
        return refusal_answer(refusal, request.request_id, callers)
