"""Hold whether a target has warmed up after its start, by its own word."""

import dataclasses
import math

from agatetack.ids import Deadline

NEVER_SAID = Deadline(-math.inf)
"""When a target said something that never has."""

UNKNOWN = Deadline(math.inf)
"""When a target is warm of which nobody knows that."""


@dataclasses.dataclass(slots=True)
class Warmth:
    """What is known of how warm a target is.

    A target may turn cold at any moment, by a restart or without one. So
    whatever suggests a restart makes it cold until it has said something since.

    Attributes:
        warm_at: When it is warm; `UNKNOWN` while nobody knows.
        said_at: When it said so itself, or when that became doubtful.
        listed_warm_at: The same as `warm_at` by its last registration.
        cold_since: When it was found cold last, having been warm.
    """

    warm_at: Deadline = Deadline(0.0)
    said_at: Deadline = NEVER_SAID
    listed_warm_at: Deadline = Deadline(0.0)
    cold_since: Deadline = NEVER_SAID

    @property
    def known(self) -> bool:
        """Return whether anybody knows when the target is warm."""
        return self.warm_at != UNKNOWN

    @property
    def said(self) -> bool:
        """Return whether that is the target's own word."""
        return self.known and self.said_at != NEVER_SAID

    def is_cold(self, now: Deadline) -> bool:
        """Return whether the target may be cold."""
        return now < self.warm_at

    def note(self, warm_at: Deadline, said_at: Deadline) -> None:
        """Take the target's word of `said_at`, unless a later one is known."""
        if said_at >= self.said_at:
            self._set(warm_at, said_at)
            self.said_at = said_at

    def note_listed(self, warm_at: Deadline, now: Deadline) -> None:
        """Take a registration, which is late and so can't end a doubt."""
        if warm_at == self.listed_warm_at:
            return
        self.listed_warm_at = warm_at
        self._set(max(self.warm_at, warm_at), now)

    def doubt(self, now: Deadline) -> None:
        """Take the target for cold until it says something after `now`."""
        self._set(UNKNOWN, now)
        self.said_at = now

    def _set(self, warm_at: Deadline, now: Deadline) -> None:
        if warm_at > now >= self.warm_at:
            self.cold_since = now
        self.warm_at = warm_at
