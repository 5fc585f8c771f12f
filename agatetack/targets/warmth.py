"""Track whether a target has warmed up, as it reports itself."""

import dataclasses
import math

from agatetack.ids import Deadline

NEVER_REPORTED = Deadline(-math.inf)
"""Value of `reported_at` and `cold_since` before the first such event."""

UNKNOWN = Deadline(math.inf)
"""Value of `warm_at` while it is not known when the target is warm."""


@dataclasses.dataclass(slots=True)
class Warmth:
    """When a target is warm, as far as this host knows.

    A target may become cold at any time, with or without a restart. So any
    sign of a restart makes it count as cold until it reports again.

    Attributes:
        warm_at: When it is warm; `UNKNOWN` while that is not known.
        reported_at: When it reported that itself, or when the report was
            invalidated.
        listed_warm_at: When it is warm according to its last registration.
        cold_since: When it was last found to be cold after it had been warm.
    """

    warm_at: Deadline = Deadline(0.0)
    reported_at: Deadline = NEVER_REPORTED
    listed_warm_at: Deadline = Deadline(0.0)
    cold_since: Deadline = NEVER_REPORTED

    @property
    def known(self) -> bool:
        """Return whether it is known when the target is warm."""
        return self.warm_at != UNKNOWN

    @property
    def is_reported(self) -> bool:
        """Return whether the target itself has reported when it is warm."""
        return self.known and self.reported_at != NEVER_REPORTED

    def is_cold(self, now: Deadline) -> bool:
        """Return whether the target may be cold."""
        return now < self.warm_at

    def note(self, warm_at: Deadline, reported_at: Deadline) -> None:
        """Record what the target reported at `reported_at`, unless outdated."""
        if reported_at >= self.reported_at:
            self._set(warm_at, reported_at)
            self.reported_at = reported_at

    def note_listed(self, warm_at: Deadline, now: Deadline) -> None:
        """Record a registration.

        It may be outdated, so it can make the target warm only later than
        known, and can't make an invalidated target count as warm.
        """
        if warm_at == self.listed_warm_at:
            return
        self.listed_warm_at = warm_at
        self._set(max(self.warm_at, warm_at), now)

    def invalidate(self, now: Deadline) -> None:
        """Treat the target as cold until it reports after `now`."""
        self._set(UNKNOWN, now)
        self.reported_at = now

    def _set(self, warm_at: Deadline, now: Deadline) -> None:
        if warm_at > now >= self.warm_at:
            self.cold_since = now
        self.warm_at = warm_at
