"""Test what rate-limited targets get from hosts that may not communicate.

One target, or many at the same moment, announce how many requests per second
they accept from all hosts together, and every host has more requests than that.
In any 4 s at most one and a half times the rate plus five may arrive. Not much
less than the rate should arrive, as unused capacity is lost to the callers.
"""

import dataclasses
import math

import pytest
import trio

from agatetack.balance.cold_share import ColdShare
from agatetack.balance.rate_share import (
    DUE_AFTER_SECONDS,
    TRIAL_AFTER_SECONDS,
    RateShare,
    split_rate,
)
from agatetack.balance.target_share import CombinedShares
from agatetack.balance.test_cold_share import host
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.testing.targets import SERVICE, listed_target, started_target

SETTINGS = default_settings()
WINDOW_SECONDS = 4.0
STEP_SECONDS = 0.02
LARGE_STEP_SECONDS = 0.1
"""Polling interval of hosts with waiting requests in a large fleet, where the
test would take too long with the shorter one."""

LARGE_FLEET = 90
HOSTS = (2, 14, 96, 400)
RATES = (0.2, 1.3, 1.8, 40.0)
LONG_SECONDS = 100.0
"""Uptime of hosts that know all they sent within the last window."""

MIN_USE_RATIO = 0.8
"""Minimum ratio of the rate that hosts use if they have more requests."""


def bound(rate):
    return 1.5 * rate * WINDOW_SECONDS + 5


@dataclasses.dataclass
class Sender:
    """One host, with its own view of hosts and targets.

    Attributes:
        share: Its share of the target's rate.
        registry: Its targets.
        listed: The hosts in its host list.
    """

    share: RateShare
    registry: TargetRegistry
    listed: list

    @property
    def target(self):
        """Return the only target."""
        return self.registry.targets(SERVICE)[0]

    def learn_rate(self, rate):
        """Let the host learn the target's rate limit."""
        now = Deadline(trio.current_time())
        self.target.rate_limit.note(rate, now)


def make_sender(own, listed, exchange=None):
    registry = TargetRegistry(SETTINGS, Metrics())
    registry.update([listed_target(1)])
    settings = SETTINGS.copy_with(
        {"host": SETTINGS.host.copy_with({"id": own.id})}
    )
    sender = Sender(None, registry, list(listed))
    sender.share = RateShare(
        settings,
        registry,
        lambda: sender.listed,
        exchange or NoExchange(),
        Metrics(),
    )
    return sender


async def make_fleet(count, views=None):
    hosts = [host(n) for n in range(count)]
    listed = views(hosts) if views else [hosts] * count
    fleet = [
        make_sender(own, seen) for own, seen in zip(hosts, listed, strict=True)
    ]
    await trio.sleep(LONG_SECONDS)
    return fleet


async def send_load(fleet, seconds):
    """Let every host send whenever it may, and return the times of requests."""
    sent = []
    step = STEP_SECONDS if len(fleet) < LARGE_FLEET else LARGE_STEP_SECONDS
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        for sender in fleet:
            if sender.share.allows(sender.target):
                sender.share.record_request(sender.target)
                sent.append(trio.current_time())
        await trio.sleep(step)
    return sent


def max_in_a_window(times):
    max_count = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_SECONDS:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


@pytest.mark.parametrize("count", HOSTS)
@pytest.mark.parametrize("rate", RATES)
async def test_a_fleet_sends_what_a_target_takes(autojump_clock, count, rate):
    fleet = await make_fleet(count)
    for sender in fleet:
        sender.learn_rate(rate)
    seconds = 30.0
    sent = await send_load(fleet, seconds)
    assert max_in_a_window(sent) <= bound(rate)
    # A host with enough requests loses only the test's polling interval.
    assert len(sent) >= MIN_USE_RATIO * rate * seconds


def lists_before_and_after_a_join(hosts):
    return [hosts if n % 2 else hosts[:-1] for n in range(len(hosts))]


def three_lists(hosts):
    lists = (hosts, hosts[1:], hosts[:-1])
    return [lists[n % 3] for n in range(len(hosts))]


def half_unlisted(hosts):
    return [[] if n % 2 else hosts for n in range(len(hosts))]


@pytest.mark.parametrize(
    "views", [lists_before_and_after_a_join, three_lists, half_unlisted]
)
@pytest.mark.parametrize("count", [2, 14, 96])
@pytest.mark.parametrize("rate", RATES)
async def test_hosts_with_other_lists_keep_to_it(
    autojump_clock, count, rate, views
):
    fleet = await make_fleet(count, views)
    for sender in fleet:
        sender.learn_rate(rate)
    assert max_in_a_window(await send_load(fleet, 20.0)) <= bound(rate)


def all_at_once(number):
    return 0.0


def one_by_one(number):
    return 0.1 * number


def every_other(number):
    return 0.0 if number % 2 else 5.0


@pytest.mark.parametrize("learns_after", [all_at_once, one_by_one, every_other])
@pytest.mark.parametrize("rate", RATES)
async def test_hosts_that_learn_of_it_late_keep_to_it(
    autojump_clock, rate, learns_after
):
    fleet = await make_fleet(14)
    informed, sent = [], []
    begin = trio.current_time()
    while trio.current_time() < begin + 20.0:
        for number, sender in enumerate(fleet):
            if sender not in informed and (
                trio.current_time() >= begin + learns_after(number)
            ):
                sender.learn_rate(rate)
                informed.append(sender)
        # Requests of hosts that do not yet know of the limit do not count.
        sent += await send_load(informed, STEP_SECONDS)
    assert max_in_a_window(sent) <= bound(rate)


@pytest.mark.parametrize("count", [2, 14, 96])
@pytest.mark.parametrize("rate", RATES)
async def test_hosts_that_start_again_keep_to_it(autojump_clock, count, rate):
    fleet = await make_fleet(count)
    for sender in fleet:
        sender.learn_rate(rate)
    sent = await send_load(fleet, 6.0)
    for _ in range(3):
        hosts = fleet[0].listed
        fleet = [make_sender(own, hosts) for own in hosts]
        for sender in fleet:
            sender.learn_rate(rate)
        sent += await send_load(fleet, 2.0)
    assert max_in_a_window(sent) <= bound(rate)


@pytest.mark.parametrize("rate", RATES)
async def test_a_host_that_takes_over_a_quota_keeps_to_it(autojump_clock, rate):
    # Each host leaves the list in turn, including the one with the first quota.
    fleet = await make_fleet(14)
    for sender in fleet:
        sender.learn_rate(rate)
    sent = []
    hosts = fleet[0].listed
    for gone in hosts:
        for sender in fleet:
            sender.listed[:] = [each for each in hosts if each is not gone]
        sent += await send_load(fleet, 1.0)
    assert max_in_a_window(sent) <= bound(rate)


@pytest.mark.parametrize(
    ("before", "after"), [(1.8, 0.2), (0.2, 1.8), (1.3, 40.0)]
)
async def test_a_rate_that_changes_binds_at_once(autojump_clock, before, after):
    fleet = await make_fleet(14)
    for sender in fleet:
        sender.learn_rate(before)
    sent = await send_load(fleet, 10.0)
    assert max_in_a_window(sent) <= bound(before)
    for sender in fleet:
        sender.learn_rate(after)
    assert max_in_a_window(await send_load(fleet, 10.0)) <= bound(after)


async def test_a_rate_that_ends_and_comes_again(autojump_clock):
    fleet = await make_fleet(14)
    for sender in fleet:
        sender.learn_rate(1.3)
    await send_load(fleet, 5.0)
    for sender in fleet:
        sender.learn_rate(None)
    assert len(await send_load(fleet, 1.0)) >= 14
    for sender in fleet:
        sender.learn_rate(1.3)
    assert max_in_a_window(await send_load(fleet, 10.0)) <= bound(1.3)


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("count", [2, 14, 96])
async def test_a_host_without_a_quota_tries_in_its_window(
    autojump_clock, rate, count
):
    # All learned of the rate at the same moment, and get no further reports.
    fleet = await make_fleet(count)
    for sender in fleet:
        sender.learn_rate(rate)
    seconds = TRIAL_AFTER_SECONDS + 40.0
    sent = await send_load(fleet, seconds)
    assert max_in_a_window(sent) <= bound(rate)
    quota = split_rate(rate, count - 1, count)
    windows = int(40.0 / quota.window)
    idle = [
        s
        for s in fleet
        if not s.share.targets[s.target.process].quota.own_requests
    ]
    tried = [s for s in idle if s.share.targets[s.target.process].sent_at > 0.1]
    assert len(tried) >= min(len(idle), windows - quota.requests) - 1


async def test_a_host_that_is_not_listed_does_not_wait_for_a_part(
    autojump_clock,
):
    fleet = await make_fleet(2, lambda hosts: [hosts, hosts[:1]])
    unlisted = fleet[1]
    unlisted.learn_rate(1.3)
    now = Deadline(trio.current_time())
    assert unlisted.share.next_send_at(unlisted.target, now) == math.inf
    assert await send_load([unlisted], 60.0) == []


async def test_a_new_start_of_a_target_has_no_rate(autojump_clock):
    fleet = await make_fleet(1)
    sender = fleet[0]
    sender.registry.update([started_target(1, 1000)])
    sender.learn_rate(0.2)
    assert len(await send_load(fleet, 2.0)) <= 1
    sender.registry.update([started_target(1, 2000)])
    assert sender.share.allows(sender.target)
    # It is a new process, with its own rate and quota.
    sender.learn_rate(0.2)
    await send_load(fleet, 1.0)
    assert list(sender.share.targets) == [sender.target.process]


async def test_only_a_target_that_is_silent_is_probed(autojump_clock):
    fleet = await make_fleet(1)
    sender = fleet[0]
    assert sender.share.may_probe(sender.target)
    sender.learn_rate(0.2)
    assert not sender.share.may_probe(sender.target)
    sender.share.record_request(sender.target)
    await trio.sleep(DUE_AFTER_SECONDS + 0.1)
    # A request is allowed and due; it goes before a probe.
    now = Deadline(trio.current_time())
    assert sender.share.allows(sender.target)
    assert sender.share.is_due(sender.target, now)
    assert not sender.share.may_probe(sender.target)
    await trio.sleep(5.0)
    assert sender.share.may_probe(sender.target)
    sender.share.record_probe(sender.target)
    # The probe used the quota of a request.
    assert not sender.share.allows(sender.target)
    assert not sender.share.may_probe(sender.target)


async def test_the_narrowest_share_binds(autojump_clock):
    fleet = await make_fleet(1)
    sender = fleet[0]
    settings = default_settings(host={"id": "h000"})
    cold = ColdShare(settings, sender.registry, lambda: sender.listed)
    both = CombinedShares([cold, sender.share])
    sender.registry.set_warm_up_rates({SERVICE: 5.0})
    now = Deadline(trio.current_time())
    sender.target.warmth.note(Deadline(now + 3.0), now)
    sender.learn_rate(40.0)
    assert sender.share.allows(sender.target)
    assert not both.allows(sender.target)
    await trio.sleep(4.0)
    sender.learn_rate(0.2)
    both.record_request(sender.target)
    assert cold.allows(sender.target)
    assert not both.allows(sender.target)


class Grouped(NoExchange):
    """A fleet in groups, one of which the target belongs to."""

    def __init__(self, group, shares):
        self.group = group
        self.shares = shares

    def group_hosts(self):
        return self.group

    def shares_target(self, target, domain):
        return self.shares


async def test_the_group_of_a_target_has_its_rate(autojump_clock):
    hosts = [host(n) for n in range(96)]
    group = [each.id for each in hosts[:12]]
    fleet = [
        make_sender(own, hosts, Grouped(group, own.id in group))
        for own in hosts
    ]
    await trio.sleep(LONG_SECONDS)
    for sender in fleet:
        sender.learn_rate(1.3)
    sent = await send_load(fleet[:12], 20.0)
    assert len(sent) >= MIN_USE_RATIO * 1.3 * 20.0
    for sender in fleet:
        sender.learn_rate(1.3)
    assert await send_load(fleet[12:], TRIAL_AFTER_SECONDS) == []


@pytest.mark.parametrize(
    ("rate", "hosts", "own"),
    [
        (1.3, 14, [1] * 6 + [0] * 8),
        (0.2, 2, [1, 0]),
        (1.3, 4, [2, 2, 1, 1]),
        (40.0, 14, [13] * 12 + [12] * 2),
    ],
)
def test_a_window_is_split_in_order(rate, hosts, own):
    quotas = [split_rate(rate, place, hosts) for place in range(hosts)]
    assert [quota.own_requests for quota in quotas] == own
    assert split_rate(rate, None, hosts).own_requests == 0


@pytest.mark.parametrize(
    ("rate", "seconds", "max_count"),
    [(0.2, 2.0, 1), (0.2, 5.0, 2), (1.3, 5.0, 7), (1.3, 0.0, 1)],
)
async def test_a_host_knows_what_it_may_send_in_time(
    autojump_clock, rate, seconds, max_count
):
    # A single host has the whole rate and may send immediately.
    sender = (await make_fleet(1))[0]
    sender.learn_rate(rate)
    now = Deadline(trio.current_time())
    until = Deadline(now + seconds + 0.001)
    assert (
        sender.share.max_requests_until(sender.target, now, until) == max_count
    )
    sender.share.record_request(sender.target)
    assert (
        sender.share.max_requests_until(sender.target, now, until)
        == max_count - 1
    )
