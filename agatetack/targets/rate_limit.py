"""Read and hold how many requests a second a target says that it takes."""

import dataclasses
import enum
import math
import re
from collections.abc import Sequence

from agatetack.ids import Deadline

MAX_TEXT_BYTES = 32
"""Longest text that is read as a rate."""

MAX_RATE = 1e6
"""Highest rate that is believed, in requests a second."""

DECIMAL = re.compile(rb"[0-9]+(\.[0-9]+)?")


class RateProblem(enum.Enum):
    """Why a rate that a target named is not believed."""

    REPEATED = "repeated"
    TOO_LONG = "too-long"
    NOT_A_NUMBER = "not-a-number"
    OUT_OF_RANGE = "out-of-range"


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRate:
    """What one answer says of the requests that its target takes.

    Attributes:
        rate: Requests a second from all hosts together; None if the answer
            names none.
        problem: Why what it names is not believed, or None.
    """

    rate: float | None = None
    problem: RateProblem | None = None


def read_rate(values: Sequence[bytes]) -> ReadRate:
    """Return what the values of an answer's rate header say.

    Args:
        values: One value for each field of that name, in their order.
    """
    if not values:
        return ReadRate()
    if len(values) > 1:
        return ReadRate(problem=RateProblem.REPEATED)
    text = values[0].strip()
    if len(text) > MAX_TEXT_BYTES:
        return ReadRate(problem=RateProblem.TOO_LONG)
    if DECIMAL.fullmatch(text) is None:
        return ReadRate(problem=RateProblem.NOT_A_NUMBER)
    rate = float(text)
    if not 0 < rate <= MAX_RATE:
        return ReadRate(problem=RateProblem.OUT_OF_RANGE)
    return ReadRate(rate)


@dataclasses.dataclass(slots=True)
class RateLimit:
    """What is known of the rate that a target takes from all hosts together.

    Attributes:
        rate: Requests a second; None while it names none.
        said_at: When it said so itself, to this host or another.
        since: When it first named a rate, after having named none.
    """

    rate: float | None = None
    said_at: Deadline = Deadline(-math.inf)
    since: Deadline = Deadline(-math.inf)

    @property
    def known(self) -> bool:
        """Return whether it ever named a rate, in force or not."""
        return self.since != -math.inf

    def note(self, rate: float | None, said_at: Deadline) -> bool:
        """Take its word of `said_at`; return whether that changed the rate.

        An older word than the one that is known changes nothing.
        """
        if said_at < self.said_at:
            return False
        self.said_at = said_at
        if rate == self.rate:
            return False
        if self.rate is None:
            self.since = said_at
        self.rate = rate
        return True
