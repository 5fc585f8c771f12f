"""Define the interfaces of the deferred request queue."""

import abc
import dataclasses
import enum

from returns.result import Result

from agatetack.config.route import Route
from agatetack.ids import Deadline, TicketId
from agatetack.messages import Answer, CallerRequest, Header
from agatetack.outcomes import Refusal


class TicketState(enum.Enum):
    """The progress of a deferred request."""

    OPEN = "open"
    DONE = "done"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer that is stored in the log as a ticket's result."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class DeferredQueue(abc.ABC):
    """A queue of deferred requests, stored in the platform's log."""

    @abc.abstractmethod
    async def submit(
        self, route: Route, request: CallerRequest
    ) -> Result[TicketId, Refusal]:
        """Store the request and return its ticket once it is read back.

        A resubmission of the same request gets the same ticket if that is
        known. If the request may or may not be in the log, the refusal is a
        `TicketRefusal`, and its ticket can be polled.
        """

    @abc.abstractmethod
    async def fetch(
        self, ticket: TicketId, wait_until: Deadline
    ) -> Result[StoredAnswer | TicketState, Refusal]:
        """Return the result, or the ticket's state at `wait_until`."""


class Executor(abc.ABC):
    """Runs deferred requests at low priority."""

    @abc.abstractmethod
    async def execute(self, route: Route, request: CallerRequest) -> Answer:
        """Run the request on a slot that fast routes don't need."""
