"""Grant claims where each attempt of a caller reaches only one host."""

from returns.result import Result, Success

from agatetack.claims.store import Claim, ClaimStore
from agatetack.config.route import Route
from agatetack.ids import AttemptId, IdempotencyKey
from agatetack.messages import CallerRequest
from agatetack.outcomes import Refusal


class HostClaims(ClaimStore):
    """Claims on a platform where callers give each attempt its own id.

    No other host receives the same attempt, and a connection delivers each
    request once, so the host that read it may dispatch it. A request runs at
    most once because it is only sent again if it certainly did not run.
    """

    async def claim(
        self, route: Route, request: CallerRequest, attempt: AttemptId
    ) -> Result[Claim, Refusal]:
        """Return permission to dispatch."""
        key = IdempotencyKey(request.request_id)
        return Success(Claim(route.id, key, attempt))

    async def finish(self, claim: Claim, status: int) -> None:
        """Do nothing, as no other attempt can ask for the claim."""

    async def release(self, claim: Claim) -> bool:
        """Return True: the claim is free."""
        return True
