"""Enforce the rate limit that a target has announced, across a whole fleet.

A target may announce how many requests per second it accepts from all
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

DUE_AFTER_SECONDS = 5.0
"""Time without updates of a target's limit after which the target gets the next
request of a host that may send to it, or a probe if there is no request."""

TRIAL_AFTER_SECONDS = 10.0
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
        own_requests: How many of them this host may send.
        place: This host's position in the order of hosts, from 0; None if it
            is not one of them.
        hosts: Number of hosts.
    """

    window: float
    requests: int
    own_requests: int
    place: int | None
    hosts: int

    @property
    def interval(self) -> float:
        """Return the seconds between two requests of this host.

        For a host without a quota it is the time between two of its trials,
        since one host may try the target in each window.
        """
        return (
            self.window / self.own_requests
            if self.own_requests
            else self.window * self.hosts
        )


def split_rate(rate: float, place: int | None, hosts: int) -> Quota:
    """Return the quota of the host at `place`.

    Args:
        rate: Requests per second that the target accepts from all hosts.
        place: The host's position in the order of hosts; None if it has none.
        hosts: Number of hosts.
    """
    requests = math.ceil(rate * WINDOW_SECONDS)
    own_requests = 0
    if place is not None:
        own_requests = requests // hosts + (place < requests % hosts)
    return Quota(requests / rate, requests, own_requests, place, hosts)


@dataclasses.dataclass(slots=True)
class RateLimitedTarget:
    """This host's state for a target that limits its rate.

    Attributes:
        quota: This host's quota.
        refresh_at: When to check whether the quota has changed.
        rate: The rate from which the quota was computed.
        sharing_hosts: The hosts that the rate was divided among.
        since: Since when the target limits its rate.
        sent_at: When this host last sent to the target.
        next_send_at: The earliest time at which the quota allows a request.
    """

    quota: Quota
    refresh_at: Deadline
    rate: float
    sharing_hosts: Sequence[HostId]
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
        self.own_id = HostId(settings.host.id)
        self.registry = registry
        self.registered = registered
        self.exchange = exchange
        self.targets: dict[ProcessId, RateLimitedTarget] = {}
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

    def restricted(
        self, targets: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        """Return the targets that limit their rate."""
        return [t for t in targets if t.rate_limit.rate is not None]

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
        interval = self._state(target, now).quota.interval
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
            limit.rate is not None
            and now >= limit.reported_at + DUE_AFTER_SECONDS
        )

    def record_request(self, target: TargetState) -> None:
        """Record that a request was assigned to `target`."""
        if target.rate_limit.rate is not None:
            now = Deadline(trio.current_time())
            self._state(target, now).sent_at = now

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
        state = self._state(target, now)
        if state.quota.place is None:
            return Deadline(math.inf)
        free_at = max(state.sent_at + state.quota.interval, state.next_send_at)
        if not state.quota.own_requests:
            return max(free_at, _trial_at(state.quota, target.rate_limit))
        return Deadline(free_at)

    def _state(self, target: TargetState, now: Deadline) -> RateLimitedTarget:
        limit = target.rate_limit
        state = self.targets.get(target.process)
        if state is None or state.since != limit.since:
            self._remove_ended_targets()
            state = self._new_state(target, now)
            self.targets[target.process] = state
        elif now >= state.refresh_at or state.rate != limit.rate:
            self._refresh(state, target, now)
        return state

    def _new_state(
        self, target: TargetState, now: Deadline
    ) -> RateLimitedTarget:
        sharing_hosts = self._sharing_hosts(target)
        quota = self._quota(target, sharing_hosts)
        sent_at, next_send_at = Deadline(-math.inf), now
        if quota.own_requests:
            if target.last_chosen_at is not None:
                sent_at = target.last_chosen_at
            # All hosts learn of the rate at the same moment, so their first
            # requests are staggered.
            stagger = quota.interval * quota.place / quota.hosts
            not_known_until = self.started_at + quota.interval
            next_send_at = Deadline(max(now + stagger, not_known_until))
        state = RateLimitedTarget(
            quota=quota,
            refresh_at=Deadline(now + REFRESH_SECONDS),
            rate=target.rate_limit.rate,
            sharing_hosts=sharing_hosts,
            since=target.rate_limit.since,
            sent_at=sent_at,
            next_send_at=next_send_at,
        )
        self._log_quota(target, quota)
        return state

    def _refresh(
        self, state: RateLimitedTarget, target: TargetState, now: Deadline
    ) -> None:
        state.refresh_at = Deadline(now + REFRESH_SECONDS)
        sharing_hosts = self._sharing_hosts(target)
        rate = target.rate_limit.rate
        if (rate, sharing_hosts) == (state.rate, state.sharing_hosts):
            return
        quota = self._quota(target, sharing_hosts)
        state.rate, state.sharing_hosts = rate, sharing_hosts
        if quota.own_requests and not state.quota.own_requests:
            # The host that had this quota before may have just used it.
            state.next_send_at = Deadline(now + quota.interval)
        state.quota = quota
        self._log_quota(target, quota)

    def _sharing_hosts(self, target: TargetState) -> Sequence[HostId]:
        """Return the hosts that the target's rate is divided among.

        In a fleet of groups they are the hosts of the group that keeps
        connections to the target.
        """
        group = self.exchange.group_hosts()
        if group and self._is_of_group(target):
            return list(group)
        return [host.id for host in self.registered()]

    def _quota(
        self, target: TargetState, sharing_hosts: Sequence[HostId]
    ) -> Quota:
        place = self._place(sharing_hosts, target)
        quota = split_rate(target.rate_limit.rate, place, len(sharing_hosts))
        if self.exchange.group_hosts() and not self._is_of_group(target):
            return dataclasses.replace(quota, own_requests=0)
        return quota

    def _place(
        self, hosts: Sequence[HostId], target: TargetState
    ) -> int | None:
        """Return this host's position among `hosts`, or None."""
        if self.own_id not in hosts:
            return None
        own_rank = rank(self.own_id, target.id)
        return sum(rank(host, target.id) > own_rank for host in hosts)

    def _is_of_group(self, target: TargetState) -> bool:
        return self.exchange.shares_target(target.id, target.failure_domain)

    def _log_quota(self, target: TargetState, quota: Quota) -> None:
        decisions.note(
            "rate-quota",
            target=target.id,
            service=target.service,
            rate=target.rate_limit.rate,
            requests=quota.own_requests,
            window_ms=round(quota.window * 1000),
            hosts=quota.hosts,
            place=quota.place,
        )

    def _remove_ended_targets(self) -> None:
        for process in self.targets.keys() - self.registry.by_process.keys():
            del self.targets[process]


def _trial_at(quota: Quota, limit: RateLimit) -> Deadline:
    """Return when a host without a quota may try the target.

    In each window one of these hosts may, so together they add one request per
    window to those of the hosts with a quota.
    """
    wait = TRIAL_AFTER_SECONDS + (quota.place + 1) * quota.window
    return Deadline(limit.reported_at + wait)
