"""Queue deferred requests and run them at low priority."""

from returns.result import Failure, Result, Success

from agatetack.admission.controller import Priority
from agatetack.attempts.race import AttemptRunner
from agatetack.callers.problem import refusal_answer
from agatetack.config.route import Route
from agatetack.deferred.queue import DeferredQueue, Executor
from agatetack.messages import Answer, BytesBody, CallerRequest, Header
from agatetack.outcomes import Refusal
from agatetack.serving.dispatcher import ClassRunner
from agatetack.settings.model import Settings

ACCEPTED_STATUS = 202


class DeferredRunner(ClassRunner):
    """Queues deferred requests and answers each with a ticket."""

    def __init__(self, settings: Settings, queue: DeferredQueue):
        """Store requests in `queue`."""
        self.settings = settings
        self.queue = queue

    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return 202 with the ticket, or the refusal if it was not queued."""
        kept = await self.queue.submit(route, request)
        if isinstance(kept, Failure):
            return kept
        ticket = kept.unwrap().encode()
        callers = self.settings.callers
        headers = [
            Header(callers.headers.ticket.encode(), ticket),
            Header(b"location", callers.ticket_path.encode() + ticket),
        ]
        return Success(Answer(ACCEPTED_STATUS, headers, BytesBody(b"")))


class LowPriorityExecutor(Executor):
    """Runs deferred requests on target slots unused by other routes."""

    def __init__(self, settings: Settings, attempts: AttemptRunner):
        """Run requests with `attempts`."""
        self.settings = settings
        self.attempts = attempts

    async def execute(self, route: Route, request: CallerRequest) -> Answer:
        """Return the target's answer, or a refusal as an answer."""
        result = await self.attempts.run(
            route, request, hedged=False, priority=Priority.LOW
        )
        if isinstance(result, Success):
            return result.unwrap()
        return refusal_answer(
            result.failure(), request.request_id, self.settings.callers
        )
