"""Define the interface that grants requests permits to go to a target."""

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
    """How an attempt ended, as feedback on its target."""

    ANSWERED = "answered"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Priority(enum.Enum):
    """Which waiting requests go first."""

    NORMAL = "normal"
    LOW = "low"


class Permit(abc.ABC):
    """Permission to send one attempt to one target; released exactly once.

    Attributes:
        target: Where the attempt goes.
    """

    target: TargetState

    @abc.abstractmethod
    def answered_headers(self, latency: float) -> None:
        """Record that the headers arrived `latency` seconds after the start."""

    @abc.abstractmethod
    def release(self, result: AttemptResult) -> None:
        """Release the target's slot and record how the attempt ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """The parameters of one call of `acquire`.

    Attributes:
        route: The request's route.
        request: The request.
        deadline: Time after which a permit is of no use.
        priority: Which waiting requests go first.
        avoid: Targets that have already had this request.
        wait: Whether to queue when no target is free; false for a hedge.
    """

    route: Route
    request: CallerRequest
    deadline: Deadline
    priority: Priority = Priority.NORMAL
    avoid: Set[TargetId] = frozenset()
    wait: bool = True


class AdmissionController(abc.ABC):
    """Limits and queues the requests that go to the targets."""

    @abc.abstractmethod
    async def acquire(self, wanted: PermitRequest) -> Result[Permit, Refusal]:
        """Return a permit, or the refusal of a request that was not run."""

    @abc.abstractmethod
    def retry_at(self, route: Route) -> Deadline:
        """Return when a refused caller should retry."""

    def stops_second_attempts(
        self, route: Route, request: CallerRequest
    ) -> bool:
        """Return whether the request must not be sent a second time now."""
        return False
