"""Define the interface for sending an attempt to a target."""

import abc
import dataclasses
import enum

from agatetack.ids import AttemptId, Deadline
from agatetack.messages import Answer, CallerRequest
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.targets.state import TargetState


class Freshness(enum.Enum):
    """Which connections an attempt may use.

    `ANY` and `PROVEN` allow pooled connections that received a byte within
    `idle_proof_seconds` or `proven_connection_seconds`; `NEW` allows none.
    """

    ANY = "any"
    PROVEN = "proven"
    NEW = "new"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt got no response.

    Attributes:
        reason: The refusal reason that the caller would get.
        outcome: Whether the target may have run the request.
        target_suspect: Whether the target itself may be at fault.
    """

    reason: RefusalReason
    outcome: Outcome
    target_suspect: bool

    @property
    def sent(self) -> bool:
        """Return whether any part of the request may have reached it."""
        return self.reason is not RefusalReason.TARGET_UNWILLING


class AttemptFailed(Exception):
    """An attempt got no response.

    Attributes:
        failure: The cause.
    """

    def __init__(self, failure: AttemptFailure):
        """Wrap the cause of the failure."""
        super().__init__(failure.reason.value)
        self.failure = failure


@dataclasses.dataclass(frozen=True, slots=True)
class BodyDeadlines:
    """When the last byte of an answer's body must have come.

    A body without an announced length may be one without an end.

    Attributes:
        announced: For a body of announced length.
        unannounced: For any other.
    """

    announced: Deadline
    unannounced: Deadline

    def of_length(self, length: int | None) -> Deadline:
        """Return the deadline of a body with this announced length."""
        return self.unannounced if length is None else self.announced


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to send a request to one target.

    Attributes:
        id: Unique across all hosts and restarts.
        request: What to send.
        target: Where to send it.
        deadline: When to abandon the attempt if no answer has begun.
        freshness: Which connections may be used.
        body_deadlines: When an answer that has begun must be complete; at
            `deadline` if None.
    """

    id: AttemptId
    request: CallerRequest
    target: TargetState
    deadline: Deadline
    freshness: Freshness = Freshness.ANY
    body_deadlines: BodyDeadlines | None = None

    def body_deadline(self, length: int | None) -> Deadline:
        """Return when a body with this announced length must be complete."""
        if self.body_deadlines is None:
            return self.deadline
        return self.body_deadlines.of_length(length)


class TargetClient(abc.ABC):
    """Sends requests to targets."""

    @abc.abstractmethod
    async def call(self, attempt: Attempt) -> Answer:
        """Send the request and return the response once its headers are read.

        The response body is streamed from the target. Closing the response
        before its end, or cancelling this call, closes the connection and so
        cancels the request at the target. Load and draining state in the
        response headers are recorded in the target's state.

        Raises:
            AttemptFailed: There was no response. The outcome is "not run" only
                if no byte of the request can have reached the target, or the
                target responded that it shed the request.
        """
