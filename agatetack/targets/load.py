"""Read what a target's answer says of its load and state."""

import abc
import dataclasses
import enum
from collections.abc import Mapping

from agatetack.headers import read_count
from agatetack.settings.model import Settings

USUAL_SLOWNESS = 1.0
"""The slowness of a target on which work takes as long as usual."""


class ReportedState(enum.Enum):
    """What a target says of its own state."""

    READY = "ready"
    COLD = "cold"
    DRAINING = "draining"


STATES = {state.value.encode(): state for state in ReportedState}


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLoad:
    """A load report as it stands in an answer.

    Attributes:
        in_flight: Requests running or waiting there, or None if not said.
        slots: Requests that run at the same time, or None if not said.
        slowness: How many times longer than usual work takes there now.
        state: What it says of its state, or None if nothing.
        warm_up_seconds: How long it still warms up, by an answer of its load
            path; other answers do not say. None if it can't be read.
    """

    in_flight: int | None
    slots: int | None = None
    slowness: float = USUAL_SLOWNESS
    state: ReportedState | None = None
    warm_up_seconds: float | None = 0.0


class LoadReader(abc.ABC):
    """A way to read load reports.

    Attributes:
        names: The headers that hold them; they are not passed on to callers.
    """

    names: frozenset[bytes] = frozenset()

    @abc.abstractmethod
    def read(self, headers: Mapping[bytes, bytes]) -> ReadLoad:
        """Return the report that `headers` hold; names are in lower case."""


class HeaderLoadReader(LoadReader):
    """Reads one figure from each of several headers."""

    def __init__(self, settings: Settings):
        """Read the headers that `settings` name."""
        names = settings.targets.headers
        self.in_flight = names.in_flight.encode()
        self.slots = names.slots.encode()
        self.state = names.state.encode()
        self.names = frozenset((self.in_flight, self.slots, self.state))

    def read(self, headers: Mapping[bytes, bytes]) -> ReadLoad:
        """Return the report that `headers` hold."""
        return ReadLoad(
            in_flight=read_count(headers.get(self.in_flight)),
            slots=read_count(headers.get(self.slots)),
            state=STATES.get(headers.get(self.state, b"")),
        )
