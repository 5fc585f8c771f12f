"""Define whether a host may get requests, and why not."""

import abc
import dataclasses
import enum
from collections.abc import Sequence

from agatetack.ids import RouteId

MAX_NAMED_ROUTES = 5
"""Maximum number of routes listed in one message."""


class NotReadyReason(enum.Enum):
    """Why a host may get no requests; also a counter's label."""

    NO_CONFIGURATION = "no-configuration"
    TARGETS_NOT_MEASURED = "targets-not-measured"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True)
class NotReady:
    """Why a host may get no requests now.

    Attributes:
        reason: The reason as a code.
        detail: The reason as a sentence for operators.
    """

    reason: NotReadyReason
    detail: str


class ReadinessView(abc.ABC):
    """The conditions of readiness; each method is cheap and up to date."""

    @abc.abstractmethod
    def configured(self) -> bool:
        """Return whether this host has a configuration in force."""

    @abc.abstractmethod
    def unmeasured_routes(self) -> Sequence[RouteId]:
        """Return the routes of which no target has been measured yet."""


def not_measured(routes: Sequence[RouteId]) -> NotReady:
    """Return the reason that no target of `routes` is measured yet."""
    named = ", ".join(routes[:MAX_NAMED_ROUTES])
    more = len(routes) - MAX_NAMED_ROUTES
    rest = f" and {more} more" if more > 0 else ""
    return NotReady(
        NotReadyReason.TARGETS_NOT_MEASURED,
        f"No target has been measured yet for {named}{rest}.",
    )
