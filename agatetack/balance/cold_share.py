"""Limit the rate of requests that a fleet sends to a target while it warms up.

A target that has just started can handle a few requests per second and crashes
at a rate well above that. Hosts cannot rely on messages from each other, and
all of them learn of a restart at the same moment. Therefore only one host, the
target's owner, sends to a cold target. The owner is chosen by a hash over the
registered hosts. Hosts whose lists differ may each consider themselves the
owner; the rate allows for three owners.
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

MAX_OWNERS = 3
"""Number of hosts that may consider themselves a target's owner in the same
second: the owner by the host list before a host joined or left, the owner by
the list after it, and a restarted host that has lost track of what it sent."""

OWNER_REFRESH_SECONDS = 0.3
"""How often a target's owner is recomputed, which takes about 30 hashes for
each target. A changed host list takes effect as fast as most other updates."""

QUIET_SECONDS = 1.0
"""How long even the owner sends nothing to a target that was found cold.

Requests that were sent before the hosts learned of it count towards the same
second. With a probe every 0.17 s and 0.02 s to inform the other hosts, these
are up to 13 at 60 requests per second.
"""

Registered = Callable[[], Sequence[ListedHost]]
"""Returns the registered hosts, including this one if it is registered."""


class Ownership:
    """What this host knows of the ownership of a cold target.

    Attributes:
        own: Whether this host is its owner.
        until: When the owner is recomputed.
        free_at: When this host may next send to the target.
    """

    __slots__ = ("own", "until", "free_at")

    def __init__(self) -> None:
        """Start without an owner."""
        self.own = False
        self.until = Deadline(0.0)
        self.free_at = Deadline(0.0)


class ColdShare(TargetShare):
    """This host's share of the rate at which cold targets take requests.

    Targets of services without a warm-up rate are not limited. If each host
    only limits itself by its own view, the fleet exceeds the bound: with 96
    hosts a restarted target got 17 requests within a second where 16.4 were
    allowed.

    Attributes:
        targets: The cold targets that were looked up, by process.
    """

    def __init__(
        self,
        settings: Settings,
        registry: TargetRegistry,
        registered: Registered,
    ):
        """Find owners among the hosts that `registered` returns."""
        self.own_id = HostId(settings.host.id)
        self.limits = settings.balance
        self.registry = registry
        self.registered = registered
        self.targets: dict[ProcessId, Ownership] = {}

    def allows(self, target: TargetState) -> bool:
        """Return whether this host may send one more request to `target`."""
        now = Deadline(trio.current_time())
        if not target.is_warming_up(now):
            return True
        if self._rate(target) <= 0 or not self._ownership(target, now).own:
            return False
        return now >= self._free_at(target, now)

    def restricted(
        self, targets: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        """Return the targets that are warming up."""
        return [
            target
            for target in targets
            if target.warm_up_rate > 0 and target.warmth.is_cold(now)
        ]

    def next_send_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return the earliest time it may send; `now` if not known."""
        if not target.is_warming_up(now) or not target.warmth.known:
            return now
        if self._rate(target) > 0 and self._ownership(target, now).own:
            return max(now, self._free_at(target, now))
        return target.warmth.warm_at

    def record_request(self, target: TargetState) -> None:
        """Record that a request was assigned to `target`."""
        now = Deadline(trio.current_time())
        rate = self._rate(target)
        if rate > 0 and target.is_warming_up(now):
            self._ownership(target, now).free_at = Deadline(now + 1 / rate)

    def _free_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return when the owner may next send to `target`."""
        quiet_until = Deadline(target.warmth.cold_since + QUIET_SECONDS)
        return max(self._ownership(target, now).free_at, quiet_until)

    def _rate(self, target: TargetState) -> float:
        """Return the requests per second that one owner may send.

        At this rate it sends at most one request more in any one second.
        """
        limits = self.limits
        max_rate = target.warm_up_rate * limits.cold_rate_ratio
        max_rate += limits.cold_rate_slack
        return min(target.warm_up_rate, max_rate / MAX_OWNERS - 1)

    def _ownership(self, target: TargetState, now: Deadline) -> Ownership:
        ownership = self.targets.get(target.process)
        if ownership is None:
            self._remove_ended_targets()
            ownership = self.targets[target.process] = Ownership()
        if now >= ownership.until:
            ownership.own = self._owns(target)
            ownership.until = Deadline(now + OWNER_REFRESH_SECONDS)
        return ownership

    def _owns(self, target: TargetState) -> bool:
        """Return whether this host owns `target`; False if it is not listed.

        Hosts of the target's failure domain are preferred, as traffic between
        failure domains costs money.
        """
        listed = self.registered()
        near = [h for h in listed if h.failure_domain == target.failure_domain]
        names = [host.id for host in near or listed]
        return self.own_id in names and owner(names, target.id) == self.own_id

    def _remove_ended_targets(self) -> None:
        for process in self.targets.keys() - self.registry.by_process.keys():
            del self.targets[process]
