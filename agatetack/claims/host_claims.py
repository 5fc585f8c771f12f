"""Grant claims where each attempt of a caller reaches one host only."""

from returns.result import Result, Success

from agatetack.claims.store import Claim, ClaimStore
from agatetack.config.route import Route
from agatetack.ids import AttemptId, IdempotencyKey
from agatetack.messages import CallerRequest
from agatetack.outcomes import Refusal


class HostClaims(ClaimStore):
    """Claims of a platform whose callers name each of their attempts.

    No other host ever has the same attempt, and a connection brings each
    request once, so the host that read it may dispatch it: at most once holds
    by the rule that nothing is sent again unless it certainly was not run.
    """

    async def claim(
        self, route: Route, request: CallerRequest, attempt: AttemptId
    ) -> Result[Claim, Refusal]:
        """Return leave to dispatch."""
        key = IdempotencyKey(request.request_id)
        return Success(Claim(route.id, key, attempt))

    async def finish(self, claim: Claim, status: int) -> None:
        """Do nothing, as nobody can ask for the claim again."""

    async def release(self, claim: Claim) -> bool:
        """Return that the claim is free."""
        return True
