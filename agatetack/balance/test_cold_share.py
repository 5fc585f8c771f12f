"""Test what cold targets get from hosts that cannot communicate.

Guards against too many requests at targets that restart: one target, or all of
a failure domain, comes back cold, and all hosts learn of it at the same moment
while requests are waiting. The platform defines the limits: a cold target takes
5.6 requests per second, and in any second no more than 1.5 times as many plus 8
may reach it from all hosts together.
"""

import random

import pytest
import trio

from agatetack.balance.cold_share import QUIET_SECONDS, ColdShare
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.testing.targets import SERVICE, listed_target

RATE = 5.6
RATIO = 1.5
SLACK = 8.0
BOUND = RATE * RATIO + SLACK
DOMAINS = ("domain-a", "domain-b", "domain-c")
WARM_UP_SECONDS = 3.0
STEP_SECONDS = 0.01


def host(number):
    return ListedHost(
        id=f"h{number:03}",
        role=HostRole.GATEWAY,
        state=HostState.LIVE,
        ip="10.1.0.1",
        port=1,
        failure_domain=DOMAINS[number % len(DOMAINS)],
        service="",
    )


def make_registry(targets=3):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update(
        [
            listed_target(n + 1, domain=DOMAINS[n % len(DOMAINS)])
            for n in range(targets)
        ]
    )
    registry.set_warm_up_rates({SERVICE: RATE})
    return registry


def make_share(registry, own, listed):
    settings = default_settings(
        host={"id": own},
        balance={"cold_rate_ratio": RATIO, "cold_rate_slack": SLACK},
    )
    return ColdShare(settings, registry, lambda: listed)


async def send_load(shares, registry, seconds, attempts, sent):
    """Let every host try to send to every target, many times per second.

    Args:
        shares: The hosts' shares.
        registry: The targets.
        seconds: Duration.
        attempts: Tries of each host at each target per second.
        sent: Collects the times of requests, by target.
    """
    rng = random.Random(1)
    end = trio.current_time() + seconds
    chance = attempts * STEP_SECONDS
    while trio.current_time() < end:
        for share in shares:
            for target in registry.targets(SERVICE):
                if rng.random() < chance and share.allows(target):
                    share.record_request(target)
                    times = sent.setdefault(target.id, [])
                    times.append(trio.current_time())
        await trio.sleep(STEP_SECONDS)


def max_in_a_second(times):
    return max((sum(t <= u < t + 1.0 for u in times) for t in times), default=0)


def make_cold(registry):
    now = Deadline(trio.current_time())
    for target in registry.targets(SERVICE):
        target.warmth.note(Deadline(now + WARM_UP_SECONDS), now)


HOSTS = (3, 17, 96, 400)


def same_lists(hosts):
    return [(each, hosts) for each in hosts]


def lists_before_and_after_a_join(hosts):
    return [(h, hosts if n % 2 else hosts[:-1]) for n, h in enumerate(hosts)]


def three_lists(hosts):
    lists = (hosts, hosts[1:], hosts[:-1])
    return [(h, lists[n % 3]) for n, h in enumerate(hosts)]


def hosts_just_started(hosts):
    return [(h, [] if n % 2 else hosts) for n, h in enumerate(hosts)]


@pytest.mark.parametrize("count", HOSTS)
@pytest.mark.parametrize(
    "views",
    [
        same_lists,
        lists_before_and_after_a_join,
        three_lists,
        hosts_just_started,
    ],
)
async def test_a_cold_target_gets_no_more_than_it_may(
    autojump_clock, count, views
):
    registry = make_registry()
    hosts = [host(n) for n in range(count)]
    shares = [
        make_share(registry, each.id, listed) for each, listed in views(hosts)
    ]
    sent = {}
    make_cold(registry)
    await send_load(shares, registry, WARM_UP_SECONDS, 20, sent)
    assert all(max_in_a_second(times) <= BOUND for times in sent.values())
    # The owners do send within their limit.
    if views is same_lists:
        assert len(sent) == len(registry.targets(SERVICE))


@pytest.mark.parametrize("count", [17, 96])
async def test_owners_that_start_again_stay_within_the_bound(
    autojump_clock, count
):
    registry = make_registry()
    hosts = [host(n) for n in range(count)]
    sent = {}
    make_cold(registry)
    for _ in range(3):
        shares = [make_share(registry, h.id, hosts) for h in hosts]
        await send_load(shares, registry, 0.6, 20, sent)
    assert all(max_in_a_second(times) <= BOUND for times in sent.values())


@pytest.mark.parametrize("count", [17, 96])
async def test_a_target_that_turns_cold_without_a_word(autojump_clock, count):
    # The target gets 60 requests per second at even intervals. A probe, one
    # every 0.17 s, finds it cold, and the other hosts know 0.02 s later.
    registry = make_registry(1)
    target = registry.targets(SERVICE)[0]
    hosts = [host(n) for n in range(count)]
    shares = [make_share(registry, h.id, hosts) for h in hosts]
    rng = random.Random(1)
    sent = []
    begin = trio.current_time()
    known_at = begin + 0.19
    while trio.current_time() < begin + WARM_UP_SECONDS:
        if trio.current_time() >= known_at and not target.warmth.is_reported:
            make_cold(registry)
        share = rng.choice(shares)
        if share.allows(target):
            share.record_request(target)
            sent.append(trio.current_time())
        await trio.sleep(1 / 60)
    assert len(sent) >= 11
    assert max_in_a_second(sent) <= BOUND


async def test_nobody_sends_while_it_is_not_known_how_cold(autojump_clock):
    registry = make_registry()
    hosts = [host(n) for n in range(17)]
    # Hosts that have all just started see an empty host list.
    shares = [make_share(registry, h.id, []) for h in hosts]
    domains = frozenset(DOMAINS)
    registry.set_evacuated(domains)
    registry.set_evacuated(frozenset())
    sent = {}
    await send_load(shares, registry, 1.0, 20, sent)
    assert sent == {}
    now = Deadline(trio.current_time())
    for target in registry.targets(SERVICE):
        registry.note_warmth(target, now, now)
    await send_load(shares, registry, 0.1, 20, sent)
    assert len(sent) == len(registry.targets(SERVICE))


@pytest.mark.parametrize(
    ("own", "warm_in", "since", "opens_in"),
    [
        # A host that isn't the owner waits until the target is warm.
        (False, 3.0, 0.0, 3.0),
        (False, 0.0, 0.0, 0.0),
        (True, 3.0, 0.0, QUIET_SECONDS),
        (True, 3.0, 2.0, 0.0),
        # A request is not refused because it is unknown when a target is warm.
        (False, float("inf"), 0.0, 0.0),
    ],
)
async def test_it_is_said_when_a_target_opens(
    autojump_clock, own, warm_in, since, opens_in
):
    registry = make_registry(1)
    target = registry.targets(SERVICE)[0]
    share = make_share(registry, "h000", [host(0)] if own else [host(3)])
    begin = trio.current_time()
    target.warmth.note(Deadline(begin + since + warm_in), Deadline(begin))
    await trio.sleep(since)
    now = Deadline(trio.current_time())
    assert share.next_send_at(target, now) == pytest.approx(now + opens_in)


async def test_targets_without_a_rate_are_not_bounded(autojump_clock):
    registry = make_registry(1)
    registry.set_warm_up_rates({})
    share = make_share(registry, "h000", [])
    make_cold(registry)
    sent = {}
    await send_load([share], registry, 1.0, 50, sent)
    assert sum(map(len, sent.values())) > 20
