"""Run the requests of each class with the package made for it."""

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from agatetack.attempts.race import AttemptRunner
from agatetack.config.route import Route
from agatetack.late import LateModule
from agatetack.messages import Answer, CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal
from agatetack.serving.dispatcher import ClassRunner

if TYPE_CHECKING:
    from agatetack.attempts.once import OnceRunner

resume = LateModule("agatetack.download.resume")


class FastRunner(ClassRunner):
    """Runs latency-critical requests, with retries and hedging."""

    def __init__(self, attempts: AttemptRunner):
        """Run requests with `attempts`."""
        self.attempts = attempts

    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return the first answer, or the refusal if there is none."""
        return await self.attempts.run(route, request, hedged=True)


class WholeRunner(ClassRunner):
    """Runs requests whose large answers must arrive complete."""

    def __init__(self, attempts: AttemptRunner, metrics: Metrics):
        """Run requests with `attempts`."""
        self.attempts = attempts
        self.metrics = metrics

    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return an answer whose body is resumed if it is cut off."""
        result = await self.attempts.run(route, request, hedged=False)
        if isinstance(result, Failure):
            return result
        answer = result.unwrap()
        answer.body = resume.ResumingBody(
            route, request, answer, self.attempts, self.metrics
        )
        return Success(answer)


class OnceClassRunner(ClassRunner):
    """Runs at-most-once requests."""

    def __init__(self, once: "OnceRunner"):
        """Run requests with `once`."""
        self.once = once

    async def run(
        self, route: Route, request: CallerRequest
    ) -> Result[Answer, Refusal]:
        """Return the answer, or the refusal if there is none."""
        return await self.once.run(route, request)
