"""Define what the administration API needs from the rest of a host.

Calls that only look at this host's memory are synchronous; those that may
wait for the log or for peers are asynchronous and take a deadline. Expected
failures come back as the typed errors of `agatetack.operators.refusals`.
Access and the request's fields were checked before any of these calls.
"""

import abc
import dataclasses
from collections.abc import Sequence

from returns.result import Result

from agatetack.config.route import Route
from agatetack.ids import (
    ChangeId,
    Deadline,
    IdempotencyKey,
    LogOffset,
    RequestId,
    RouteId,
    TargetId,
)
from agatetack.operators.refusals import (
    ChangeInDoubt,
    ChangeRejected,
    NotFound,
    Unavailable,
)
from agatetack.operators.request_views import (
    ClaimView,
    Explanation,
    QuarantinedRequest,
)
from agatetack.operators.views import (
    Change,
    ChangeKind,
    DeferredStatus,
    Finding,
    HostStatus,
    HostView,
    MeasureBudget,
    RouteList,
    TargetView,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedChange:
    """A change of one route that an operator asks for.

    Attributes:
        id: Chosen by the operator; the same id again is a repeat.
        kind: What it does.
        route: What is to be in force, or the route to delete.
        expected_version: The version it replaces, or None to create.
        author: Name of the operator's token.
    """

    id: ChangeId
    kind: ChangeKind
    route: Route
    expected_version: LogOffset | None
    author: str


class OperatorsBackend(abc.ABC):
    """The host as its administration API sees it."""

    @abc.abstractmethod
    def status(self) -> HostStatus:
        """Return this host's own state."""

    @abc.abstractmethod
    def hosts(self) -> Sequence[HostView]:
        """Return all gateways that this host knows, itself included."""

    @abc.abstractmethod
    def routes(self) -> Result[RouteList, Unavailable]:
        """Return the routes in force here, in any order.

        Fails with NO_CONFIGURATION before any configuration was read.
        """

    @abc.abstractmethod
    def check(self, change: RequestedChange) -> Sequence[Finding]:
        """Return everything that is wrong with the route of `change`.

        Places are fields, such as `route.path_prefix`.
        """

    @abc.abstractmethod
    async def apply(
        self, change: RequestedChange, deadline: Deadline
    ) -> Result[LogOffset, ChangeRejected | ChangeInDoubt | Unavailable]:
        """Return the new version once the change was read back."""

    @abc.abstractmethod
    async def change(
        self, change: ChangeId, deadline: Deadline
    ) -> Result[Change, Unavailable]:
        """Return what became of a change; UNKNOWN is an answer too."""

    @abc.abstractmethod
    def targets(self) -> Sequence[TargetView]:
        """Return all targets that this host knows."""

    @abc.abstractmethod
    def measure_budget(self) -> MeasureBudget:
        """Return the spending on measuring."""

    @abc.abstractmethod
    def deferred(self) -> DeferredStatus:
        """Return the state of the deferred queue."""

    @abc.abstractmethod
    async def claims(
        self, key: IdempotencyKey, route: RouteId | None, deadline: Deadline
    ) -> Result[Sequence[ClaimView], Unavailable]:
        """Return what is known of a key, on one route or on all."""

    @abc.abstractmethod
    def quarantine(self) -> Sequence[QuarantinedRequest]:
        """Return the requests suspected to crash targets."""

    @abc.abstractmethod
    async def release(
        self, fingerprint: str
    ) -> Result[None, NotFound | Unavailable]:
        """Let a quarantined request run again, here and on the peers."""

    @abc.abstractmethod
    async def drain_target(
        self, target: TargetId, drained: bool, deadline: Deadline
    ) -> Result[None, NotFound | Unavailable]:
        """Drain a target on every host, or let it have work again."""

    @abc.abstractmethod
    def drain_host(self, author: str, message: str) -> None:
        """Begin this host's graceful stop and return at once."""

    @abc.abstractmethod
    async def explain(
        self, request: RequestId, deadline: Deadline
    ) -> Result[Explanation, NotFound | Unavailable]:
        """Return what this host and its peers did with a request."""
