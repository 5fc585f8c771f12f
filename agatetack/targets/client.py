"""Define how an attempt calls a target."""

import abc
import dataclasses
import enum

from agatetack.ids import AttemptId, Deadline
from agatetack.messages import Answer, CallerRequest
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.targets.state import TargetState


class Freshness(enum.Enum):
    """Which connections an attempt may use."""

    ANY = "any"
    PROVEN = "proven"
    NEW = "new"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why one attempt brought no answer.

    Attributes:
        reason: What went wrong, as the caller would be told.
        outcome: Whether the target can have run the request.
        target_suspect: Whether it speaks against the target itself.
    """

    reason: RefusalReason
    outcome: Outcome
    target_suspect: bool

    @property
    def sent(self) -> bool:
        """Return whether the target may have seen anything of it."""
        return self.reason is not RefusalReason.TARGET_UNWILLING


class AttemptFailed(Exception):
    """One attempt brought no answer.

    Attributes:
        failure: Why.
    """

    def __init__(self, failure: AttemptFailure):
        """Keep why the attempt failed."""
        super().__init__(failure.reason.value)
        self.failure = failure


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try at one target.

    Attributes:
        id: Unique over all hosts and restarts.
        request: What to send.
        target: Where to send it.
        deadline: When to give it up.
        freshness: Which connections may be used.
    """

    id: AttemptId
    request: CallerRequest
    target: TargetState
    deadline: Deadline
    freshness: Freshness = Freshness.ANY


class TargetClient(abc.ABC):
    """A way to call targets."""

    @abc.abstractmethod
    async def call(self, attempt: Attempt) -> Answer:
        """Send the request and return the answer once its headers are read.

        The answer's body is streamed from the target; closing the answer
        before its end, or cancelling this call, cancels the request there by
        closing the connection. Load reports and drain marks in the answer's
        headers are noted in the target's state.

        Raises:
            AttemptFailed: No answer came. Its outcome is "not run" only if no
                byte of the request can have reached the target, or the target
                said that it shed the request.
        """
