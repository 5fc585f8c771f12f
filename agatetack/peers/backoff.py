"""Compute the delays between attempts to connect to a peer."""

import random

from agatetack.ids import Deadline

MAX_FIRST_DELAY_SECONDS = 0.05
"""Upper bound of the delay before the second attempt."""

MAX_DELAY_SECONDS = 2.0
"""Upper bound of the delay between two attempts."""


class Backoff:
    """Exponential backoff with random jitter.

    The upper bound doubles with each attempt; each delay is drawn between
    half of it and all of it.
    """

    def __init__(self, source: random.Random):
        """Draw the jitter from `source`."""
        self.source = source
        self.max_delay_seconds = MAX_FIRST_DELAY_SECONDS

    def reset(self) -> None:
        """Return to the shortest delay, after a link was established."""
        self.max_delay_seconds = MAX_FIRST_DELAY_SECONDS

    def next_attempt_at(self, now: Deadline) -> Deadline:
        """Return the time of the next attempt."""
        delay_seconds = self.max_delay_seconds * self.source.uniform(0.5, 1)
        self.max_delay_seconds = min(
            MAX_DELAY_SECONDS, self.max_delay_seconds * 2
        )
        return Deadline(now + delay_seconds)
