"""Define what keeps a host to its part of what a fleet may send to a target."""

import abc
import math
from collections.abc import Sequence

from agatetack.ids import Deadline
from agatetack.targets.state import TargetState


class TargetShare(abc.ABC):
    """One host's part of what all hosts together may send to a target."""

    @abc.abstractmethod
    def allows(self, target: TargetState) -> bool:
        """Return whether this host may send one more request to `target`."""

    def opens_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return when it may at the soonest; `now` if that is not known."""
        return now

    def most_until(
        self, target: TargetState, now: Deadline, until: Deadline
    ) -> float:
        """Return how many requests it may send from `now` to `until`.

        Infinite where the share does not count them.
        """
        return math.inf if self.opens_at(target, now) <= until else 0

    def any_opens_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return when any host may at the soonest, as far as is known."""
        return self.opens_at(target, now)

    def is_due(self, target: TargetState, now: Deadline) -> bool:
        """Return whether a request should go there before all others.

        Args:
            target: A target to which one is allowed.
            now: The time.
        """
        return False

    def taken(self, target: TargetState) -> None:  # noqa: B027
        """Note that a request was given to `target`."""

    def may_probe(self, target: TargetState) -> bool:
        """Return whether this host may probe `target`."""
        return True

    def probed(self, target: TargetState) -> None:  # noqa: B027
        """Note that a probe is sent to `target`."""


class NoShare(TargetShare):
    """Lets a host send as if it were alone."""

    def allows(self, target: TargetState) -> bool:
        """Return True."""
        return True


class AllShares(TargetShare):
    """Lets a host send what each of several shares lets it."""

    def __init__(self, shares: Sequence[TargetShare]):
        """Ask each of `shares`."""
        self.shares = shares

    def allows(self, target: TargetState) -> bool:
        """Return whether every share allows one more request."""
        return all(share.allows(target) for share in self.shares)

    def opens_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return when the last of them may."""
        return max(share.opens_at(target, now) for share in self.shares)

    def most_until(
        self, target: TargetState, now: Deadline, until: Deadline
    ) -> float:
        """Return what the narrowest of them lets it send."""
        return min(
            share.most_until(target, now, until) for share in self.shares
        )

    def any_opens_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return when the last of them may let any host."""
        return max(share.any_opens_at(target, now) for share in self.shares)

    def is_due(self, target: TargetState, now: Deadline) -> bool:
        """Return whether a request is due by any of them."""
        return any(share.is_due(target, now) for share in self.shares)

    def taken(self, target: TargetState) -> None:
        """Tell each share of a request."""
        for share in self.shares:
            share.taken(target)

    def may_probe(self, target: TargetState) -> bool:
        """Return whether every share lets this host probe `target`."""
        return all(share.may_probe(target) for share in self.shares)

    def probed(self, target: TargetState) -> None:
        """Tell each share of a probe."""
        for share in self.shares:
            share.probed(target)
