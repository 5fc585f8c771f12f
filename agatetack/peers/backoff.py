"""Compute the delays between attempts to connect to a peer."""

import random

from agatetack.ids import Deadline

FIRST_SECONDS = 0.05
"""Upper bound of the delay before the second attempt."""

MAX_SECONDS = 2.0
"""Upper bound of the delay between two attempts."""


class Backoff:
    """Exponential backoff with random jitter.

    The upper bound doubles with each attempt; each delay is drawn between
    half of it and all of it.
    """

    def __init__(self, source: random.Random):
        """Draw the jitter from `source`."""
        self.source = source
        self.seconds = FIRST_SECONDS

    def reset(self) -> None:
        """Return to the shortest delay, after a link was established."""
        self.seconds = FIRST_SECONDS

    def next_at(self, now: Deadline) -> Deadline:
        """Return the time of the next attempt."""
        wait = self.seconds * self.source.uniform(0.5, 1)
        self.seconds = min(MAX_SECONDS, self.seconds * 2)
        return Deadline(now + wait)
