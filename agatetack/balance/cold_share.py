"""Keep a whole fleet within what a target takes while it warms up.

A target that has just started takes a few requests a second and crashes at a
rate well above that. Hosts can't count on hearing each other, and all of them
hear of a restart at the same moment. So while a target is cold only one host
sends to it, its owner by a hash over the registered hosts. Hosts whose lists
differ may each take themselves for the owner; the rate leaves room for three.
"""

from collections.abc import Callable, Sequence

import trio

from agatetack.balance.target_share import TargetShare
from agatetack.hosts.host_list import ListedHost
from agatetack.ids import Deadline, HostId, ProcessId
from agatetack.measure.rounds import owner
from agatetack.settings.model import Settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState

MOST_OWNERS = 3
"""Hosts that may take themselves for a target's owner in the same second: by
the list before a host joined or left, by that after it, and one that was
started again and has forgotten what it sent."""

OWNED_SECONDS = 0.3
"""How often a target's owner is worked out anew, some 30 hashes for each; a
list that changed binds as soon as most other news do."""

QUIET_SECONDS = 1.0
"""How long even the owner sends nothing to a target that was found cold. What
all hosts sent before any of them knew falls into the same second: with a probe
each 0.17 s and 0.02 s to tell, up to 13 of 60 requests a second."""

Registered = Callable[[], Sequence[ListedHost]]
"""Returns the hosts that are registered, this one included if it is."""


class OwnedTarget:
    """A cold target as this host sees it.

    Attributes:
        own: Whether this host is its owner.
        until: When that is worked out anew.
        free_at: When this host may send there next.
    """

    __slots__ = ("own", "until", "free_at")

    def __init__(self) -> None:
        """Start without an owner."""
        self.own = False
        self.until = Deadline(0.0)
        self.free_at = Deadline(0.0)


class ColdShare(TargetShare):
    """This host's part of what cold targets may get from the fleet.

    Targets of services without a rate for cold ones are not bounded. With 96
    hosts that each held back by their own view, a target that came back got 17
    requests within a second where 16.4 were allowed.

    Attributes:
        targets: The cold targets that were asked for, by start of a process.
    """

    def __init__(
        self,
        settings: Settings,
        registry: TargetRegistry,
        registered: Registered,
    ):
        """Find owners among the hosts that `registered` returns."""
        self.own = HostId(settings.host.id)
        self.limits = settings.balance
        self.registry = registry
        self.registered = registered
        self.targets: dict[ProcessId, OwnedTarget] = {}

    def allows(self, target: TargetState) -> bool:
        """Return whether this host may send one more request to `target`."""
        now = Deadline(trio.current_time())
        if not target.is_warming_up(now):
            return True
        if self._rate(target) <= 0 or not self._find(target, now).own:
            return False
        return now >= self._free_at(target, now)

    def opens_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return when it may at the soonest; `now` if that is not known."""
        if not target.is_warming_up(now) or not target.warmth.known:
            return now
        if self._rate(target) > 0 and self._find(target, now).own:
            return max(now, self._free_at(target, now))
        return target.warmth.warm_at

    def taken(self, target: TargetState) -> None:
        """Note that a request was given to `target`."""
        now = Deadline(trio.current_time())
        rate = self._rate(target)
        if rate > 0 and target.is_warming_up(now):
            self._find(target, now).free_at = Deadline(now + 1 / rate)

    def _free_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return when the owner may send there next."""
        quiet_until = Deadline(target.warmth.cold_since + QUIET_SECONDS)
        return max(self._find(target, now).free_at, quiet_until)

    def _rate(self, target: TargetState) -> float:
        """Return the requests a second that one owner may send.

        In any second it then sends at most one more than this.
        """
        limits = self.limits
        most = target.warm_up_rate * limits.cold_rate_ratio
        most += limits.cold_rate_slack
        return min(target.warm_up_rate, most / MOST_OWNERS - 1)

    def _find(self, target: TargetState, now: Deadline) -> OwnedTarget:
        owned = self.targets.get(target.process)
        if owned is None:
            self._forget_gone()
            owned = self.targets[target.process] = OwnedTarget()
        if now >= owned.until:
            owned.own = self._owns(target)
            owned.until = Deadline(now + OWNED_SECONDS)
        return owned

    def _owns(self, target: TargetState) -> bool:
        """Return whether this host owns `target`; no host that isn't listed.

        Hosts of the target's failure domain go first, as bytes between
        failure domains are paid for.
        """
        listed = self.registered()
        near = [h for h in listed if h.failure_domain == target.failure_domain]
        names = [host.id for host in near or listed]
        return self.own in names and owner(names, target.id) == self.own

    def _forget_gone(self) -> None:
        for process in self.targets.keys() - self.registry.by_process.keys():
            del self.targets[process]
