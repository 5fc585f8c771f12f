"""Define how a never-repeated request gets leave to run."""

import abc
import dataclasses

from returns.result import Result

from agatetack.config.route import Route
from agatetack.ids import AttemptId, IdempotencyKey, RouteId
from agatetack.messages import CallerRequest
from agatetack.outcomes import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Leave to dispatch one request once.

    Attributes:
        route: The request's route.
        key: The caller's idempotency key.
        attempt: The attempt that holds the claim.
    """

    route: RouteId
    key: IdempotencyKey
    attempt: AttemptId


class ClaimStore(abc.ABC):
    """Who may run which never-repeated request; decided by the log's order."""

    @abc.abstractmethod
    async def claim(
        self, route: Route, request: CallerRequest, attempt: AttemptId
    ) -> Result[Claim, Refusal]:
        """Return leave to dispatch, or why the request is refused.

        The refusal's outcome is "not run" only if no attempt of the same key
        can have run or can still run.
        """

    @abc.abstractmethod
    async def finish(self, claim: Claim, status: int) -> None:
        """Record that the request ran and was answered with `status`.

        Keeps trying in the background; a failure leaves the key claimed, so
        that later attempts are answered "unknown".
        """

    @abc.abstractmethod
    async def release(self, claim: Claim) -> bool:
        """Record that the request was never dispatched.

        Returns:
            Whether the release is known to stand in the log. If it is, a
            refusal may say "not run"; the caller may use the key again.
        """
