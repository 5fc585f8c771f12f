"""Read a target's load and state from the headers of its responses."""

import abc
import dataclasses
import enum
from collections.abc import Mapping

from agatetack.headers import read_count
from agatetack.settings.model import Settings

USUAL_SLOWNESS = 1.0
"""The slowness of a target where work takes as long as usual."""


class ReportedState(enum.Enum):
    """The state that a target reports for itself."""

    READY = "ready"
    COLD = "cold"
    DRAINING = "draining"


STATES = {state.value.encode(): state for state in ReportedState}


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedLoad:
    """A load report as read from a response.

    Attributes:
        in_flight: Requests running or queued there, or None if missing.
        slots: Requests that it can run concurrently, or None if missing.
        slowness: How many times longer than usual work takes there now.
        state: The state that it reports, or None if missing.
        warm_up_seconds: Remaining warm-up time; only responses of the load
            path report it. None if it can't be read.
    """

    in_flight: int | None
    slots: int | None = None
    slowness: float = USUAL_SLOWNESS
    state: ReportedState | None = None
    warm_up_seconds: float | None = 0.0


class LoadReader(abc.ABC):
    """Reads load reports from response headers.

    Attributes:
        names: The headers that carry them, which are not sent to callers.
    """

    names: frozenset[bytes] = frozenset()

    @abc.abstractmethod
    def read(self, headers: Mapping[bytes, bytes]) -> ParsedLoad:
        """Return the report in `headers`, whose names are in lower case."""


class HeaderLoadReader(LoadReader):
    """Reads each value of the report from a header of its own."""

    def __init__(self, settings: Settings):
        """Read the header names from `settings`."""
        names = settings.targets.headers
        self.in_flight = names.in_flight.encode()
        self.slots = names.slots.encode()
        self.state = names.state.encode()
        self.names = frozenset((self.in_flight, self.slots, self.state))

    def read(self, headers: Mapping[bytes, bytes]) -> ParsedLoad:
        """Return the report in `headers`."""
        return ParsedLoad(
            in_flight=read_count(headers.get(self.in_flight)),
            slots=read_count(headers.get(self.slots)),
            state=STATES.get(headers.get(self.state, b"")),
        )
