"""Define how a fleet divides what it may send to a target among its hosts."""

import abc
import math
from collections.abc import Sequence

from agatetack.ids import Deadline
from agatetack.targets.state import TargetState


class TargetShare(abc.ABC):
    """This host's share of what all hosts together may send to a target."""

    @abc.abstractmethod
    def allows(self, target: TargetState) -> bool:
        """Return whether this host may send one more request to `target`."""

    def restricted(
        self, targets: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        """Return those of `targets` that the share may restrict now.

        To any other target this host may send at once and without a limit, and
        none of the methods that ask about it changes the share's state. They
        need not be called for it; most of the time no target is restricted.
        """
        return targets

    def next_send_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return the earliest time it may send; `now` if not known."""
        return now

    def max_requests_until(
        self, target: TargetState, now: Deadline, until: Deadline
    ) -> float:
        """Return how many requests it may send from `now` to `until`.

        Infinite if the share does not limit their number.
        """
        return math.inf if self.next_send_at(target, now) <= until else 0

    def fleet_next_send_at(
        self, target: TargetState, now: Deadline
    ) -> Deadline:
        """Return the earliest known time at which any host may send."""
        return self.next_send_at(target, now)

    def is_due(self, target: TargetState, now: Deadline) -> bool:
        """Return whether the next request should go to `target`.

        Args:
            target: A target to which a request is allowed.
            now: The current time.
        """
        return False

    def record_request(self, target: TargetState) -> None:  # noqa: B027
        """Record that a request was assigned to `target`."""

    def may_probe(self, target: TargetState) -> bool:
        """Return whether this host may probe `target`."""
        return True

    def record_probe(self, target: TargetState) -> None:  # noqa: B027
        """Record that a probe is sent to `target`."""


class UnlimitedShare(TargetShare):
    """Does not limit what the host sends."""

    def allows(self, target: TargetState) -> bool:
        """Return True."""
        return True

    def restricted(
        self, targets: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        """Return no target."""
        return ()


class CombinedShares(TargetShare):
    """Combines several shares; a request must be allowed by each of them."""

    def __init__(self, shares: Sequence[TargetShare]):
        """Combine `shares`."""
        self.shares = shares

    def allows(self, target: TargetState) -> bool:
        """Return whether every share allows one more request."""
        return all(share.allows(target) for share in self.shares)

    def restricted(
        self, targets: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        """Return the targets that any of the shares may restrict."""
        found = {
            target.id: target
            for share in self.shares
            for target in share.restricted(targets, now)
        }
        return list(found.values())

    def next_send_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return the earliest time at which all shares allow a request."""
        return max(share.next_send_at(target, now) for share in self.shares)

    def max_requests_until(
        self, target: TargetState, now: Deadline, until: Deadline
    ) -> float:
        """Return the number of requests that the strictest share allows."""
        return min(
            share.max_requests_until(target, now, until)
            for share in self.shares
        )

    def fleet_next_send_at(
        self, target: TargetState, now: Deadline
    ) -> Deadline:
        """Return the earliest time at which all shares allow any host."""
        return max(
            share.fleet_next_send_at(target, now) for share in self.shares
        )

    def is_due(self, target: TargetState, now: Deadline) -> bool:
        """Return whether any of the shares has a request due."""
        return any(share.is_due(target, now) for share in self.shares)

    def record_request(self, target: TargetState) -> None:
        """Record a request with each share."""
        for share in self.shares:
            share.record_request(target)

    def may_probe(self, target: TargetState) -> bool:
        """Return whether every share allows this host to probe `target`."""
        return all(share.may_probe(target) for share in self.shares)

    def record_probe(self, target: TargetState) -> None:
        """Record a probe with each share."""
        for share in self.shares:
            share.record_probe(target)
