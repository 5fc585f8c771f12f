"""Parse and store the rate limit that a target reports."""

import dataclasses
import math
from collections.abc import Sequence

from agatetack.headers import (
    DecimalProblem,
    ParsedDecimal,
    read_decimal,
)
from agatetack.ids import Deadline

MAX_REQUESTS_PER_SECOND = 1e6
"""Highest rate limit that is accepted, in requests per second."""


def read_rate(values: Sequence[bytes]) -> ParsedDecimal:
    """Return the rate limit for all hosts together, in requests per second.

    Args:
        values: The values of all header fields with that name, in order.
    """
    read = read_decimal(values, MAX_REQUESTS_PER_SECOND)
    if read.value == 0:
        return ParsedDecimal(problem=DecimalProblem.OUT_OF_RANGE)
    return read


@dataclasses.dataclass(slots=True)
class RateLimit:
    """The rate limit of a target for all hosts together, as far as known.

    Attributes:
        rate: Requests per second; None while it reports no limit.
        reported_at: When the target last reported, to this host or another.
        since: When it last reported a limit after having reported none.
    """

    rate: float | None = None
    reported_at: Deadline = Deadline(-math.inf)
    since: Deadline = Deadline(-math.inf)

    @property
    def known(self) -> bool:
        """Return whether it ever reported a limit, in force or not."""
        return self.since != -math.inf

    def note(self, rate: float | None, reported_at: Deadline) -> bool:
        """Record a rate, or None; return whether it changed.

        A report older than the last one is ignored.
        """
        if reported_at < self.reported_at:
            return False
        self.reported_at = reported_at
        if rate == self.rate:
            return False
        if self.rate is None:
            self.since = reported_at
        self.rate = rate
        return True
