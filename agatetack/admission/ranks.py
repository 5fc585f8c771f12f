"""Order the waiting requests of client accounts by rank, without starvation.

The load that this answers: 107 hosts that see 4 requests a second each, of 76
accounts with different ranks, while one rank or account asks for several times
its usual rate.
"""

import dataclasses
import zlib
from collections.abc import Callable, Sequence

from agatetack.admission.controller import PermitRequest
from agatetack.admission.queue import Order, Waiter
from agatetack.ids import ClientAccountId, Deadline

PROTECTED_EVERY = 4
"""One in this many grants goes to the account that is served the least.

A quarter of the grants is enough to serve every account a quarter as often as
all accounts together."""

PROTECTED_RATIO = 0.5
"""An account gets these grants while it is served less than this ratio as often
as all. It is twice the quarter that has to be kept, as counts of a host that
sees few requests are uneven."""

AGING_RATIO = 0.5
"""Share of its target latency after which a waiting request may go before its
rank, in the grants that go to the least served account otherwise.

In an overload all requests wait that long. If each of them moved up at once,
all ranks were served alike on one host, and with 107 hosts the answers in time
fell from 0.79 to 0.73, as most slots went to requests that were nearly late.
"""

RANK_YIELD_SECONDS = 0.006
"""How long a request leaves a freed slot to other hosts for each rank below the
highest. About 4 hosts get their turn in this time (see `measure.occupancy`)."""

MAX_RANK_YIELD_SECONDS = 0.018
"""The longest yield, so that no slot stays empty for long while only requests
of low rank wait."""

RANK_MEMORY_SECONDS = 10.0
"""How long a rank counts as present after its last request. No request yields
to a rank that does not occur."""

HALF_LIFE_SECONDS = 10.0
"""Half-life of the counts of requests by account. A host sees an account with
a fiftieth of the requests about once in this time."""

MAX_ACCOUNTS = 500
"""Accounts with counts at one host; the counts are dropped above it."""


def rank_of(wanted: PermitRequest) -> int:
    """Return the rank of a request; 0 is the highest."""
    account = wanted.request.account
    if account is None or account.priority is None:
        return wanted.route.priority
    return account.priority


def fraction_of(wanted: PermitRequest, purpose: bytes) -> float:
    """Return a fixed number from 0 to 1 for a request, even over requests."""
    name = wanted.request.request_id.encode()
    return zlib.crc32(name, zlib.crc32(purpose)) / 2**32


@dataclasses.dataclass(slots=True)
class AccountCount:
    """Decaying counts of one account's requests.

    Attributes:
        asked: Requests that arrived.
        served: Requests that got a target.
        at: When the counts were last decayed.
        last_grant: Number of the grant that the account got last.
    """

    asked: float = 0.0
    served: float = 0.0
    at: Deadline = Deadline(0.0)
    last_grant: int = 0

    @property
    def ratio(self) -> float:
        """Return the share of the requests that got a target."""
        return self.served / self.asked if self.asked else 1.0

    def decay(self, now: Deadline) -> None:
        """Reduce the counts to what they are worth at `now`."""
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_SECONDS)
        self.asked *= factor
        self.served *= factor
        self.at = now


class RankOrder:
    """Decides which waiting request of one service goes first on this host.

    Attributes:
        counts: What each account asked for and got.
        total: What all accounts asked for and got.
        grants: Requests that got a target.
        ranks_seen: When a request of each rank arrived last.
    """

    def __init__(self) -> None:
        """Start without counts."""
        self.counts: dict[ClientAccountId, AccountCount] = {}
        self.total = AccountCount()
        self.grants = 0
        self.ranks_seen: dict[int, Deadline] = {}

    def note_arrival(self, wanted: PermitRequest, now: Deadline) -> None:
        """Count a request's first attempt."""
        if wanted.request.account is None:
            return
        self.ranks_seen[rank_of(wanted)] = now
        for count in (self.total, self._count(wanted, now)):
            count.decay(now)
            count.asked += 1

    def note_served(self, wanted: PermitRequest, now: Deadline) -> None:
        """Count a request that got a target, with its first attempt."""
        if wanted.request.account is None or wanted.avoid or not wanted.wait:
            return
        self.grants += 1
        for count in (self.total, self._count(wanted, now)):
            count.decay(now)
            count.served += 1
            count.last_grant = self.grants

    def candidates(
        self,
        waiters: Sequence[Waiter],
        order: Order,
        in_time: Callable[[Waiter], bool],
        now: Deadline,
    ) -> list[Waiter]:
        """Return the waiter whose turn it is, and one that need not yield.

        The second gets a slot that the first leaves to other hosts.

        Args:
            waiters: The waiting requests.
            order: Which of an account's requests goes first.
            in_time: Returns whether a request can still be answered in time.
            now: The time.
        """
        if not waiters:
            return []
        sign = -1 if order is Order.NEWEST_FIRST else 1

        def key(waiter: Waiter) -> tuple:
            return (
                rank_of(waiter.wanted),
                not in_time(waiter),
                self._last_grant(waiter),
                sign * waiter.since,
            )

        first = min(waiters, key=key)
        if len(waiters) > 1 and (self.grants + 1) % PROTECTED_EVERY == 0:
            first = self._protected(waiters, in_time, now) or first
        free = [
            waiter
            for waiter in waiters
            if waiter is not first
            and in_time(waiter)
            and not self.yield_seconds(waiter.wanted, now)
        ]
        if not free:
            return [first]
        return [first, min(free, key=key)]

    def _protected(
        self,
        waiters: Sequence[Waiter],
        in_time: Callable[[Waiter], bool],
        now: Deadline,
    ) -> Waiter | None:
        """Return the waiter that goes before its rank in a protected grant.

        It is one of the account that is served least, or else the one that has
        waited longest, if that is long; one that can be in time, if any can.
        """
        waiters = [each for each in waiters if in_time(each)] or waiters
        least = min(waiters, key=lambda w: (self._ratio(w), w.since))
        if self._ratio(least) < PROTECTED_RATIO * self.total.ratio:
            return least
        oldest = min(waiters, key=lambda w: w.wanted.request.arrived)
        return oldest if self.is_aged(oldest.wanted, now) else None

    def is_aged(self, wanted: PermitRequest, now: Deadline) -> bool:
        """Return whether a request has waited for long."""
        request = wanted.request
        target = wanted.route.target_latency_seconds
        limit = AGING_RATIO * (target or wanted.deadline - request.arrived)
        return now - request.arrived >= limit

    def yield_seconds(self, wanted: PermitRequest, now: Deadline) -> float:
        """Return how long a request leaves a freed slot to other hosts."""
        if wanted.request.account is None:
            return 0.0
        if fraction_of(wanted, b"yield") < 1 / PROTECTED_EVERY:
            return 0.0
        highest = min(
            (
                rank
                for rank, at in self.ranks_seen.items()
                if now - at <= RANK_MEMORY_SECONDS
            ),
            default=0,
        )
        below = rank_of(wanted) - highest
        return min(MAX_RANK_YIELD_SECONDS, max(0, below) * RANK_YIELD_SECONDS)

    def count_ahead(
        self, waiters: Sequence[Waiter], wanted: PermitRequest
    ) -> int:
        """Return how many waiting requests go before a new one."""
        rank = rank_of(wanted)
        return sum(rank_of(waiter.wanted) <= rank for waiter in waiters)

    def _count(self, wanted: PermitRequest, now: Deadline) -> AccountCount:
        account = wanted.request.account.id
        count = self.counts.get(account)
        if count is None:
            if len(self.counts) >= MAX_ACCOUNTS:
                self.counts.clear()
            count = self.counts[account] = AccountCount(at=now)
        return count

    def _find(self, waiter: Waiter) -> AccountCount | None:
        account = waiter.wanted.request.account
        return None if account is None else self.counts.get(account.id)

    def _last_grant(self, waiter: Waiter) -> int:
        count = self._find(waiter)
        return 0 if count is None else count.last_grant

    def _ratio(self, waiter: Waiter) -> float:
        count = self._find(waiter)
        return 1.0 if count is None else count.ratio
