"""Run each class of requests with the slice made for it."""

from returns.result import Failure, Result, Success

from agatetack.admission.controller import Priority
from agatetack.attempts.once import OnceRunner
from agatetack.attempts.race import AttemptRunner
from agatetack.callers.problem import refusal_answer
from agatetack.config.route import Route
from agatetack.deferred.queue import DeferredQueue, Executor
from agatetack.download.resume import ResumingBody
from agatetack.messages import Answer, BytesBody, CallerRequest, Header
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal
from agatetack.serving.dispatcher import ClassRunner
from agatetack.settings.model import Settings

ACCEPTED_STATUS = 202


class FastRunner(ClassRunner):
    """Runs requests that must be answered fast: retries and hedges."""

    def __init__(self, attempts: AttemptRunner):
        """Run requests with `attempts`."""
        self.attempts = attempts

    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return the first answer, or why there is none."""
        return await self.attempts.run(route, request, hedged=True)


class WholeRunner(ClassRunner):
    """Runs requests whose large answers must be carried whole."""

    def __init__(self, attempts: AttemptRunner, metrics: Metrics):
        """Run requests with `attempts`."""
        self.attempts = attempts
        self.metrics = metrics

    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return an answer that is resumed where it is cut."""
        result = await self.attempts.run(route, request, hedged=False)
        if isinstance(result, Failure):
            return result
        answer = result.unwrap()
        answer.body = ResumingBody(
            route, request, answer, self.attempts, self.metrics
        )
        return Success(answer)


class OnceClassRunner(ClassRunner):
    """Runs requests that must never be repeated."""

    def __init__(self, once: OnceRunner):
        """Run requests with `once`."""
        self.once = once

    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return the answer, or why there is none."""
        return await self.once.run(route, request)


class DeferredRunner(ClassRunner):
    """Keeps requests that may wait and answers with a ticket."""

    def __init__(self, settings: Settings, queue: DeferredQueue):
        """Keep requests in `queue`."""
        self.settings = settings
        self.queue = queue

    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return 202 with the ticket, or why the request is not kept."""
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
    """Runs deferred requests on slots that other routes leave free."""

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
