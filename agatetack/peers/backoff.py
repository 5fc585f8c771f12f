"""Space out the attempts to connect with a peer."""

import random

from agatetack.ids import Deadline

FIRST_SECONDS = 0.05
"""Longest wait before the second attempt."""

MAX_SECONDS = 2.0
"""Longest wait between two attempts."""


class Backoff:
    """Waits that double with each attempt, drawn at random below that."""

    def __init__(self, source: random.Random):
        """Draw from `source`."""
        self.source = source
        self.seconds = FIRST_SECONDS

    def reset(self) -> None:
        """Start again with the shortest wait, as a link has stood."""
        self.seconds = FIRST_SECONDS

    def next_at(self, now: Deadline) -> Deadline:
        """Return when to try again."""
        wait = self.seconds * self.source.uniform(0.5, 1)
        self.seconds = min(MAX_SECONDS, self.seconds * 2)
        return Deadline(now + wait)
