"""Define how a request gets leave to go to a target."""

import abc
import dataclasses
import enum
from collections.abc import Set

from returns.result import Result

from agatetack.config.route import Route
from agatetack.ids import Deadline, TargetId
from agatetack.messages import CallerRequest
from agatetack.outcomes import Refusal
from agatetack.targets.state import TargetState


class AttemptResult(enum.Enum):
    """What an attempt says of its target."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Priority(enum.Enum):
    """Which waiting requests go first."""

    NORMAL = "normal"
    LOW = "low"


class Permit(abc.ABC):
    """Leave to send one attempt to one target; released exactly once.

    Attributes:
        target: Where the attempt goes.
    """

    target: TargetState

    @abc.abstractmethod
    def answered_headers(self, latency: float) -> None:
        """Note that answer headers came `latency` seconds after the start."""

    @abc.abstractmethod
    def release(self, result: AttemptResult) -> None:
        """Give the target's place back and note what the attempt showed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """What a permit is asked for.

    Attributes:
        route: The request's route.
        request: The request.
        deadline: When a permit is of no more use.
        priority: Which waiting requests go first.
        avoid: Targets that have already had this request.
        wait: Whether to queue when no target is free; a hedge does not.
    """

    route: Route
    request: CallerRequest
    deadline: Deadline
    priority: Priority = Priority.NORMAL
    avoid: Set[TargetId] = frozenset()
    wait: bool = True


class AdmissionController(abc.ABC):
    """Limits and queues in front of the targets."""

    @abc.abstractmethod
    async def acquire(self, wanted: PermitRequest) -> Result[Permit, Refusal]:
        """Return a permit, or why the request is refused as not run."""

    @abc.abstractmethod
    def retry_at(self, route: Route) -> Deadline:
        """Return when a caller that was refused should ask again."""
