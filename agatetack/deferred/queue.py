"""Define how a request that may wait is kept and fetched."""

import abc
import dataclasses
import enum

from returns.result import Result

from agatetack.config.route import Route
from agatetack.ids import Deadline, TicketId
from agatetack.messages import Answer, CallerRequest, Header
from agatetack.outcomes import Refusal


class TicketState(enum.Enum):
    """How far a deferred request has come."""

    OPEN = "open"
    DONE = "done"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A result kept in the log."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class DeferredQueue(abc.ABC):
    """Requests that may wait; kept in the platform's log."""

    @abc.abstractmethod
    async def submit(
        self, route: Route, request: CallerRequest
    ) -> Result[TicketId, Refusal]:
        """Keep the request; returned only once it was read back.

        A resubmission of the same request gets the same ticket where that is
        known. In doubt the refusal is a `TicketRefusal`: the request may be
        in the log, and its ticket may be polled.
        """

    @abc.abstractmethod
    async def fetch(
        self, ticket: TicketId, wait_until: Deadline
    ) -> Result[StoredAnswer | TicketState, Refusal]:
        """Return the result, or how far it is at `wait_until`."""


class Executor(abc.ABC):
    """Whatever runs a deferred request at low priority."""

    @abc.abstractmethod
    async def execute(self, route: Route, request: CallerRequest) -> Answer:
        """Run the request on a slot that fast routes leave free."""
