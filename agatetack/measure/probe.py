"""Define the interface for probes of a target's load endpoint."""

import abc
import dataclasses
import enum

from returns.result import Result

from agatetack.ids import Deadline, TargetId
from agatetack.messages import Headers
from agatetack.targets.load import USUAL_SLOWNESS, ReportedState
from agatetack.targets.state import TargetState


class ProbeFailure(enum.Enum):
    """Why a probe returned no report.

    `UNANSWERED` is a new connection that ended without a byte, and `LOST` one
    that was used before, which may have ended while it was idle, or that ended
    in the middle of an answer.
    """

    REFUSED = "refused"
    TIMEOUT = "timeout"
    UNANSWERED = "unanswered"
    LOST = "lost"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """The answer of a load endpoint.

    Attributes:
        in_flight: Requests running or waiting at the target.
        slots: Requests that it runs at the same time; None if not reported.
        state: The state that it reports.
        used_bytes: Bytes sent and received for the probe.
        slowness: Factor by which its work takes longer than usual now.
        instance: The instance that answered; None if not reported.
        warm_up_seconds: Remaining warm-up time; None if it can't be read.
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
    """Probes the load endpoints of targets."""

    def can_probe(self, target: TargetState) -> bool:
        """Return whether it is known how to probe `target`."""
        return True

    def close_idle(self, target: TargetState) -> None:  # noqa: B027
        """Have the next probe of `target` open a connection."""

    @abc.abstractmethod
    async def probe(
        self, target: TargetState, deadline: Deadline, max_bytes: int
    ) -> Result[ProbeAnswer, ProbeFailure]:
        """Return the target's report, or why there is none.

        Args:
            target: The target to probe.
            deadline: When to give up.
            max_bytes: Maximum number of bytes to send and receive.
        """
