"""Define the interface that permits at-most-once requests to run."""

import abc
import dataclasses

from returns.result import Result

from agatetack.config.route import Route
from agatetack.ids import AttemptId, IdempotencyKey, RouteId
from agatetack.messages import CallerRequest
from agatetack.outcomes import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Permission to dispatch one request once.

    Attributes:
        route: The request's route.
        key: The caller's idempotency key.
        attempt: The attempt that holds the claim.
    """

    route: RouteId
    key: IdempotencyKey
    attempt: AttemptId


class ClaimStore(abc.ABC):
    """Decides which attempt of an at-most-once request may run."""

    @abc.abstractmethod
    async def claim(
        self, route: Route, request: CallerRequest, attempt: AttemptId
    ) -> Result[Claim, Refusal]:
        """Return permission to dispatch, or why the request is refused.

        The refusal's outcome is "not run" only if no attempt with the same
        key can have run or can still run.
        """

    @abc.abstractmethod
    async def finish(self, claim: Claim, status: int) -> None:
        """Record that the request ran and was answered with `status`.

        Retries in the background. If all tries fail, the key stays claimed
        and later attempts are answered "unknown".
        """

    @abc.abstractmethod
    async def release(self, claim: Claim) -> bool:
        """Record that the request was never dispatched.

        Returns:
            Whether the release is known to be in the log. If so, a refusal
            may say "not run", and the caller may use the key again.
        """
