"""Limit the rate of bytes sent to peers with a token bucket.

The bucket never goes below zero: what doesn't fit is delayed or dropped.
"""

from agatetack.ids import Deadline

CONTROL_RATIO = 0.25
"""Share of one second's bytes that is reserved for control frames."""

PUBLISH_RATIO = 0.5
"""Share of one second's bytes that published messages can use at once.

Calls may use all bytes but those reserved for control frames. Calls wait for
their bytes, while published messages that don't fit are dropped. So when both
need more than the rate, calls have priority over published messages, and
heartbeats have priority over both.
"""


ANNOUNCEMENT_RATIO = 0.1
"""Share of the rate that announcements of live hosts may use.

When a whole fleet starts, each host has to forward one announcement of every
other host.
"""


class ByteBudget:
    """A token bucket that holds the bytes of at most one second.

    Attributes:
        rate: Bytes that may be sent in one second.
        tokens: Bytes that may be sent now.
        updated_at: When `tokens` was last refilled, or None.
        announcements: The additional limit of announcements, or None if
            they have no limit of their own.
    """

    def __init__(self, rate: float, announcements: "ByteBudget | None" = None):
        """Start with a full bucket."""
        self.announcements = announcements
        self.rate = rate
        self.tokens = rate
        self.updated_at: Deadline | None = None

    def take_control(self, count: int, now: Deadline) -> bool:
        """Take `count` bytes for a control frame, if available."""
        return self._take(count, 0.0, now)

    def take_chunk(self, count: int, now: Deadline) -> bool:
        """Take `count` bytes for a chunk of a call or reply, if available."""
        return self._take(count, self.rate * CONTROL_RATIO, now)

    def take_publish(self, count: int, now: Deadline) -> bool:
        """Take `count` bytes for a published message, if available."""
        return self._take(count, self.rate * (1 - PUBLISH_RATIO), now)

    def take_announcement(self, count: int, now: Deadline) -> bool:
        """Take `count` bytes for a live host's announcement, if available."""
        return self.announcements.take_control(
            count, now
        ) and self.take_publish(count, now)

    def max_publish_bytes(self) -> int:
        """Return the size of the largest message `take_publish` can grant."""
        return int(self.rate * PUBLISH_RATIO)

    def chunk_available_at(self, count: int, now: Deadline) -> Deadline:
        """Return when `take_chunk` can grant `count` bytes at the earliest."""
        self._refill(now)
        shortfall = count + self.rate * CONTROL_RATIO - self.tokens
        return Deadline(now + max(0.0, shortfall) / self.rate)

    def _take(self, count: int, reserved: float, now: Deadline) -> bool:
        self._refill(now)
        # The tolerance covers rounding errors of many refills.
        if self.tokens - reserved + 1e-6 < count:
            return False
        self.tokens -= count
        return True

    def _refill(self, now: Deadline) -> None:
        last_refill = now if self.updated_at is None else self.updated_at
        elapsed = now - last_refill
        self.tokens = min(self.rate, self.tokens + elapsed * self.rate)
        self.updated_at = now


def peers_budget(rate: float) -> ByteBudget:
    """Return the shared budget of all peers, `rate` bytes per second."""
    return ByteBudget(rate, ByteBudget(rate * ANNOUNCEMENT_RATIO))
