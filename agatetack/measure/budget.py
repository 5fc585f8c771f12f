"""Limit the cost of measuring targets to the budget that operators set.

A bucket never goes below 0, starts empty and gets no tokens at first, so a
host that restarts again and again spends nothing.
"""

from collections.abc import Callable

import trio

from agatetack.clock import Lateness

BURST_SECONDS = 0.1
"""Longest pause whose unused tokens are saved, so that pauses do not add up."""

START_DELAY_SECONDS = 4.0
"""Time after a start in which a bucket gets no tokens.

Until the other hosts know of a new host, their shares are too large; this is
longer than a heartbeat timeout and two reads of the host list.
"""


class TokenBucket:
    """One host's share of a rate limit for the whole fleet.

    The burst is saved from the rate and not granted on top of it: over any
    window of w seconds a bucket spends at most `rate * (w + BURST_SECONDS)`,
    or one unit of work more where a unit is larger than the burst.

    Attributes:
        fleet_rate: Units per second of the whole fleet.
        tokens: Units that may be spent now; never below 0.
        spent: Units spent since the start.
    """

    def __init__(
        self,
        fleet_rate: float,
        fleet_size: Callable[[], float],
        min_burst: float = 1.0,
        start_seconds: float = START_DELAY_SECONDS,
        lateness: Lateness | None = None,
    ):
        """Start empty.

        Args:
            fleet_rate: Units per second of the whole fleet.
            fleet_size: Returns the number of hosts, never too low.
            min_burst: Minimum capacity of the bucket in units, so that
                the largest single spend is possible at all.
            start_seconds: Time after a start in which it gets no tokens.
            lateness: How late the host's loop is, which lowers the rate; never
                if None.
        """
        self.fleet_rate = fleet_rate
        self.fleet_size = fleet_size
        self.min_burst = min_burst
        self.lateness = lateness or Lateness()
        self.tokens = 0.0
        self.spent = 0.0
        self.filled_at = trio.current_time() + start_seconds

    @property
    def rate(self) -> float:
        """Return this host's share, in units per second."""
        share = self.fleet_rate / max(1, self.fleet_size())
        return share * self.lateness.informing_ratio

    def refill(self) -> None:
        """Add the tokens for the time since the last refill."""
        now = trio.current_time()
        if now <= self.filled_at:
            return
        elapsed = now - self.filled_at
        self.filled_at = now
        rate = self.rate
        capacity = max(self.min_burst, rate * BURST_SECONDS)
        self.tokens = min(capacity, self.tokens + elapsed * rate)

    def take(self, amount: float = 1.0) -> bool:
        """Spend `amount`, or nothing and return False if there is less."""
        self.refill()
        if self.tokens < amount:
            return False
        self.tokens -= amount
        self.spent += amount
        return True

    def give_back(self, amount: float) -> None:
        """Put back tokens that were taken and not needed."""
        self.tokens += amount
        self.spent -= amount

    def ready_at(self, amount: float = 1.0) -> float:
        """Return when `amount` can be spent if nothing else is spent."""
        self.refill()
        rate = self.rate
        if rate <= 0:
            return float("inf")
        filling_from = max(trio.current_time(), self.filled_at)
        return filling_from + max(0.0, amount - self.tokens) / rate
