"""Enforce the rate limit that a target has announced, across a whole fleet.

An overloaded target announces how many requests per second it accepts from all
hosts together. Hosts cannot rely on messages from each other, so each computes
its quota from a host list that all of them read: the requests that the target
accepts in a window of some seconds are split among the hosts in an order that
is the same on each host. A host without a quota sends nothing to the target. A
host whose list differs adds one request per window, which the bound that
targets are promised allows for.

Probes count at the target like requests, so they use the same quota.
"""

import dataclasses
import math
from collections.abc import Callable, Sequence

import trio

from agatetack.balance.target_share import TargetShare
from agatetack.decisions import DecisionLog
from agatetack.hosts.host_list import ListedHost
from agatetack.ids import Deadline, HostId, ProcessId
from agatetack.measure.rounds import rank
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange
from agatetack.settings.model import Settings
from agatetack.targets.rate_limit import RateLimit
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState

WINDOW_SECONDS = 4.5
"""Minimum length of a window. Targets count requests over about 4 s; as windows
are longer, a host that sends once per window sends at most once in that
time."""

REFRESH_SECONDS = 0.3
"""How often this host's quota is recomputed from the host list."""

QUIET_SECONDS = 5.0
"""Time without updates of a target's limit after which the target gets the next
request of a host that may send to it, or a probe if there is no request."""

SILENT_SECONDS = 10.0
"""Time without updates of a target's limit after which a host without a quota
may try the target, as there may be no other host left to report that the limit
has ended."""

Registered = Callable[[], Sequence[ListedHost]]
"""Returns the registered hosts, including this one if it is registered."""

decisions = DecisionLog("balance")


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """This host's quota of the requests that a target accepts.

    Attributes:
        window: Length of a window, in seconds.
        requests: Requests that the target accepts per window, from all hosts.
        own: How many of them this host may send.
        place: This host's position in the order of hosts, from 0; None if it
            is not one of them.
        hosts: Number of hosts.
    """

    window: float
    requests: int
    own: int
    place: int | None
    hosts: int

    @property
    def interval(self) -> float:
        """Return the seconds between two requests of this host.

        For a host without a quota it is the time between two of its trials,
        since one host may try the target in each window.
        """
        return self.window / self.own if self.own else self.window * self.hosts


def split_rate(rate: float, place: int | None, hosts: int) -> Quota:
    """Return the quota of the host at `place`.

    Args:
        rate: Requests per second that the target accepts from all hosts.
        place: The host's position in the order of hosts; None if it has none.
        hosts: Number of hosts.
    """
    requests = math.ceil(rate * WINDOW_SECONDS)
    own = 0
    if place is not None:
        own = requests // hosts + (place < requests % hosts)
    return Quota(requests / rate, requests, own, place, hosts)


@dataclasses.dataclass(slots=True)
class RatedTarget:
    """This host's state for a target that limits its rate.

    Attributes:
        quota: This host's quota.
        until: When to check whether the quota has changed.
        rate: The rate from which the quota was computed.
        sharers: The hosts that the rate was divided among.
        since: Since when the target limits its rate.
        sent_at: When this host last sent to the target.
        next_send_at: The earliest time at which the quota allows a request.
    """

    quota: Quota
    until: Deadline
    rate: float
    sharers: Sequence[HostId]
    since: Deadline
    sent_at: Deadline
    next_send_at: Deadline


class RateShare(TargetShare):
    """This host's share of the rate limits that targets announced.

    Attributes:
        targets: The targets that were looked up, by process.
        started_at: When this host started; it does not know what it sent
            before.
    """

    def __init__(
        self,
        settings: Settings,
        registry: TargetRegistry,
        registered: Registered,
        exchange: Exchange,
        metrics: Metrics,
    ):
        """Divide rates among the hosts that `registered` returns.

        Args:
            settings: The host's settings.
            registry: The targets.
            registered: Returns the hosts that are registered.
            exchange: The other hosts.
            metrics: Where targets that were passed over are counted.
        """
        self.own = HostId(settings.host.id)
        self.registry = registry
        self.registered = registered
        self.exchange = exchange
        self.targets: dict[ProcessId, RatedTarget] = {}
        self.started_at = Deadline(trio.current_time())
        self.held = metrics.counter(
            "agatetack_rate_limited_held_total",
            "Choices that passed over a target for its rate, by service.",
        )

    def allows(self, target: TargetState) -> bool:
        """Return whether this host may send one more request to `target`."""
        if target.rate_limit.rate is None:
            return True
        now = Deadline(trio.current_time())
        if now >= self._free_at(target, now):
            return True
        self.held.inc({"service": target.service})
        return False

    def next_send_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return the earliest time it may send."""
        if target.rate_limit.rate is None:
            return now
        return max(now, self._free_at(target, now))

    def max_requests_until(
        self, target: TargetState, now: Deadline, until: Deadline
    ) -> float:
        """Return how many requests it may send from `now` to `until`."""
        if target.rate_limit.rate is None:
            return math.inf
        next_send_at = self.next_send_at(target, now)
        if next_send_at > until:
            return 0
        interval = self._find(target, now).quota.interval
        return 1 + (until - next_send_at) // interval

    def fleet_next_send_at(
        self, target: TargetState, now: Deadline
    ) -> Deadline:
        """Return when any host may send, on average."""
        rate = target.rate_limit.rate
        return now if rate is None else Deadline(now + 1 / rate)

    def is_due(self, target: TargetState, now: Deadline) -> bool:
        """Return whether a request is needed to see if the limit has ended.

        A target without recent reports seems worse than others and would not be
        chosen again otherwise.
        """
        limit = target.rate_limit
        return (
            limit.rate is not None and now >= limit.reported_at + QUIET_SECONDS
        )

    def record_request(self, target: TargetState) -> None:
        """Record that a request was assigned to `target`."""
        if target.rate_limit.rate is not None:
            now = Deadline(trio.current_time())
            self._find(target, now).sent_at = now

    def record_probe(self, target: TargetState) -> None:
        """Record that a probe is sent, which the target counts as a request."""
        self.record_request(target)

    def may_probe(self, target: TargetState) -> bool:
        """Return whether this host may probe `target`.

        Answers to requests are more informative, so a probe must not use the
        quota of a request: it is sent only if the host could have sent a
        request for a whole interval and did not.
        """
        if target.rate_limit.rate is None:
            return True
        now = Deadline(trio.current_time())
        if not self.is_due(target, now):
            return False
        unused_since = self._free_at(target, now)
        interval = self.targets[target.process].quota.interval
        return now >= unused_since + interval

    def _free_at(self, target: TargetState, now: Deadline) -> Deadline:
        rated = self._find(target, now)
        if rated.quota.place is None:
            return Deadline(math.inf)
        free_at = max(rated.sent_at + rated.quota.interval, rated.next_send_at)
        if not rated.quota.own:
            return max(free_at, _trial_at(rated.quota, target.rate_limit))
        return Deadline(free_at)

    def _find(self, target: TargetState, now: Deadline) -> RatedTarget:
        limit = target.rate_limit
        rated = self.targets.get(target.process)
        if rated is None or rated.since != limit.since:
            self._forget_gone()
            rated = self._begin(target, now)
            self.targets[target.process] = rated
        elif now >= rated.until or rated.rate != limit.rate:
            self._renew(rated, target, now)
        return rated

    def _begin(self, target: TargetState, now: Deadline) -> RatedTarget:
        sharers = self._sharers(target)
        quota = self._quota(target, sharers)
        sent_at, next_send_at = Deadline(-math.inf), now
        if quota.own:
            if target.last_chosen_at is not None:
                sent_at = target.last_chosen_at
            # All hosts learn of the rate at the same moment, so their first
            # requests are staggered.
            stagger = quota.interval * quota.place / quota.hosts
            not_known_until = self.started_at + quota.interval
            next_send_at = Deadline(max(now + stagger, not_known_until))
        rated = RatedTarget(
            quota=quota,
            until=Deadline(now + REFRESH_SECONDS),
            rate=target.rate_limit.rate,
            sharers=sharers,
            since=target.rate_limit.since,
            sent_at=sent_at,
            next_send_at=next_send_at,
        )
        self._tell(target, quota)
        return rated

    def _renew(
        self, rated: RatedTarget, target: TargetState, now: Deadline
    ) -> None:
        rated.until = Deadline(now + REFRESH_SECONDS)
        sharers = self._sharers(target)
        rate = target.rate_limit.rate
        if (rate, sharers) == (rated.rate, rated.sharers):
            return
        quota = self._quota(target, sharers)
        rated.rate, rated.sharers = rate, sharers
        if quota.own and not rated.quota.own:
            # The host that had this quota before may have just used it.
            rated.next_send_at = Deadline(now + quota.interval)
        rated.quota = quota
        self._tell(target, quota)

    def _sharers(self, target: TargetState) -> Sequence[HostId]:
        """Return the hosts that the target's rate is divided among.

        In a fleet of groups they are the hosts of the group that keeps
        connections to the target.
        """
        group = self.exchange.group_hosts()
        if group and self._is_of_group(target):
            return list(group)
        return [host.id for host in self.registered()]

    def _quota(self, target: TargetState, sharers: Sequence[HostId]) -> Quota:
        place = self._place(sharers, target)
        quota = split_rate(target.rate_limit.rate, place, len(sharers))
        if self.exchange.group_hosts() and not self._is_of_group(target):
            return dataclasses.replace(quota, own=0)
        return quota

    def _place(
        self, hosts: Sequence[HostId], target: TargetState
    ) -> int | None:
        """Return this host's position among `hosts`, or None."""
        if self.own not in hosts:
            return None
        own = rank(self.own, target.id)
        return sum(rank(host, target.id) > own for host in hosts)

    def _is_of_group(self, target: TargetState) -> bool:
        return self.exchange.shares_target(target.id, target.failure_domain)

    def _tell(self, target: TargetState, quota: Quota) -> None:
        decisions.note(
            "rate-quota",
            target=target.id,
            service=target.service,
            rate=target.rate_limit.rate,
            requests=quota.own,
            window_ms=round(quota.window * 1000),
            hosts=quota.hosts,
            place=quota.place,
        )

    def _forget_gone(self) -> None:
        for process in self.targets.keys() - self.registry.by_process.keys():
            del self.targets[process]


def _trial_at(quota: Quota, limit: RateLimit) -> Deadline:
    """Return when a host without a quota may try the target.

    In each window one of these hosts may, so together they add one request per
    window to those of the hosts with a quota.
    """
    wait = SILENT_SECONDS + (quota.place + 1) * quota.window
    return Deadline(limit.reported_at + wait)
