"""Define how a target's load endpoint is asked."""

import abc
import dataclasses
import enum

from returns.result import Result

from agatetack.ids import Deadline, TargetId
from agatetack.messages import Headers
from agatetack.targets.load import USUAL_SLOWNESS, ReportedState
from agatetack.targets.state import TargetState


class ProbeFailure(enum.Enum):
    """Why a probe brought no report."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    LOST = "lost"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """What a load endpoint said.

    Attributes:
        in_flight: Requests running or waiting there.
        slots: Requests that run at the same time, or None if not said.
        state: What it says of its state.
        used_bytes: Bytes sent and received for it.
        slowness: How many times longer than usual work takes there now.
        instance: Which instance answered, if it says so.
        warm_up_seconds: How long it still warms up; None if it can't be read.
        headers: The headers of its answer, names in lower case.
    """

    in_flight: int
    slots: int | None
    state: ReportedState
    used_bytes: int
    slowness: float = USUAL_SLOWNESS
    instance: TargetId | None = None
    warm_up_seconds: float | None = 0.0
    headers: Headers = ()


class ProbeClient(abc.ABC):
    """A way to ask a target's load endpoint."""

    def can_ask(self, target: TargetState) -> bool:
        """Return whether it is known how `target` is asked."""
        return True

    @abc.abstractmethod
    async def probe(
        self, target: TargetState, deadline: Deadline, max_bytes: int
    ) -> Result[ProbeAnswer, ProbeFailure]:
        """Return what the target says, or why it said nothing.

        Args:
            target: Whom to ask.
            deadline: When to give up.
            max_bytes: Most bytes to send and receive.
        """
