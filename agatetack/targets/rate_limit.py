"""Read and hold how many requests a second a target says that it takes."""

import dataclasses
import math
from collections.abc import Sequence

from agatetack.headers import (
    DecimalProblem,
    ReadDecimal,
    read_decimal,
)
from agatetack.ids import Deadline

MAX_RATE = 1e6
"""Highest rate that is believed, in requests a second."""


def read_rate(values: Sequence[bytes]) -> ReadDecimal:
    """Return the rate, in requests a second from all hosts together.

    Args:
        values: One value for each field of that name, in their order.
    """
    read = read_decimal(values, MAX_RATE)
    if read.value == 0:
        return ReadDecimal(problem=DecimalProblem.OUT_OF_RANGE)
    return read


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
