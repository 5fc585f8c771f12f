"""Keep the bytes sent to peers within a rate, without ever going into debt."""

from agatetack.ids import Deadline

CONTROL_SHARE = 0.25
"""Share of one second's bytes that only control frames may use."""

PUBLISH_SHARE = 0.5
"""Share of one second's bytes that published messages can use at once.

Calls have what lies between. As they wait for their bytes, and publishing
does not, calls go before published messages while both want more than the
rate; heartbeats go before either.
"""


ANNOUNCEMENT_SHARE = 0.1
"""Share of the rate that hosts' announcements may use.

When a whole fleet starts, each host has one of every other to pass on.
"""


class ByteBudget:
    """A token bucket that holds the bytes of at most one second.

    Attributes:
        rate: Bytes that may be sent in one second.
        tokens: Bytes that may be sent now.
        updated_at: When `tokens` was last brought up to date, or None.
        announcements: What announcements may use of it, or None if that is
            not bounded by itself.
    """

    def __init__(self, rate: float, announcements: "ByteBudget | None" = None):
        """Start with a full bucket."""
        self.announcements = announcements
        self.rate = rate
        self.tokens = rate
        self.updated_at: Deadline | None = None

    def take_control(self, count: int, now: Deadline) -> bool:
        """Take `count` bytes for a control frame, if they are there."""
        return self._take(count, 0.0, now)

    def take_piece(self, count: int, now: Deadline) -> bool:
        """Take `count` bytes for a piece of a call or reply."""
        return self._take(count, self.rate * CONTROL_SHARE, now)

    def take_publish(self, count: int, now: Deadline) -> bool:
        """Take `count` bytes for a published message."""
        return self._take(count, self.rate * (1 - PUBLISH_SHARE), now)

    def take_announcement(self, count: int, now: Deadline) -> bool:
        """Take `count` bytes for an announcement of a live host."""
        return self.announcements.take_control(
            count, now
        ) and self.take_publish(count, now)

    def max_publish(self) -> int:
        """Return the largest message that `take_publish` can ever grant."""
        return int(self.rate * PUBLISH_SHARE)

    def piece_at(self, count: int, now: Deadline) -> Deadline:
        """Return when `take_piece` of `count` bytes can first succeed."""
        self._refill(now)
        short = count + self.rate * CONTROL_SHARE - self.tokens
        return Deadline(now + max(0.0, short) / self.rate)

    def _take(self, count: int, keep: float, now: Deadline) -> bool:
        self._refill(now)
        # A hair is allowed for, as the sum of many refills is not exact.
        if self.tokens - keep + 1e-6 < count:
            return False
        self.tokens -= count
        return True

    def _refill(self, now: Deadline) -> None:
        since = now if self.updated_at is None else self.updated_at
        passed = now - since
        self.tokens = min(self.rate, self.tokens + passed * self.rate)
        self.updated_at = now


def peers_budget(rate: float) -> ByteBudget:
    """Return the budget of `rate` bytes a second for all peers together."""
    return ByteBudget(rate, ByteBudget(rate * ANNOUNCEMENT_SHARE))
