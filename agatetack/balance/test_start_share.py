"""Test what a host sends before it is connected to the others of its fleet.

Guards against overloaded targets when a fleet loses power and all its hosts
start at the same moment. Callers have waited for a second, so that each host
gets several requests at once, and the first message from another host arrives
about 100 ms later.
"""

import pytest
import trio

from agatetack.balance.start_share import (
    MAX_START_SECONDS,
    StartShare,
    own_slots,
)
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.testing.targets import SERVICE, listed_target

SLOTS = 3


def make_registry(own, targets):
    registry = TargetRegistry(default_settings(host={"id": own}), Metrics())
    registry.update([listed_target(n + 1) for n in range(targets)])
    for target in registry.targets(SERVICE):
        target.slots = SLOTS
    return registry


@pytest.mark.parametrize(
    ("hosts", "targets"), [(1, 4), (3, 4), (18, 18), (18, 8), (116, 16)]
)
async def test_all_slots_are_shared_out_evenly(autojump_clock, hosts, targets):
    names = [f"h{n:03}" for n in range(hosts)]
    registry = make_registry(names[0], targets)
    known = registry.targets(SERVICE)
    shares = [own_slots(name, names, SERVICE, known) for name in names]
    sums = [share.total() for share in shares]
    assert sum(sums) == targets * SLOTS
    assert max(sums) - min(sums) <= 1
    for target in known:
        assert sum(share[target.id] for share in shares) == SLOTS


# Guards against time that grows with the slots that a target reports.
async def test_slots_without_number_are_shared_out(autojump_clock):
    names = ["h0", "h1", "h2"]
    registry = make_registry(names[0], 2)
    known = registry.targets(SERVICE)
    for target in known:
        target.slots = 10**15
    shares = [own_slots(name, names, SERVICE, known) for name in names]
    for target in known:
        counts = [share[target.id] for share in shares]
        assert sum(counts) == 10**15
        assert max(counts) - min(counts) <= 1


def make_share(own, names, targets, connected):
    registry = make_registry(own, targets)
    exchange = NoExchange()
    exchange.live_peers = lambda: range(connected())
    return registry, StartShare(registry, exchange, lambda: names)


async def test_hosts_that_start_together_fill_no_target_beyond_its_slots(
    autojump_clock,
):
    names = [f"h{n}" for n in range(18)]
    sent = {}
    for own in names:
        registry, share = make_share(own, names, 18, lambda: 0)
        share.begin()
        for target in registry.targets(SERVICE):
            while share.allows(target):
                target.in_flight += 1
                sent[target.id] = sent.get(target.id, 0) + 1
    assert set(sent.values()) == {SLOTS}


@pytest.mark.parametrize(
    ("heard_after", "over_after"),
    [(0.1, 0.1), (0.0, 0.0), (9.0, MAX_START_SECONDS)],
)
async def test_the_time_of_shares_ends(autojump_clock, heard_after, over_after):
    start = trio.current_time()
    names = [f"h{n}" for n in range(10)]

    def connected():
        return 8 if trio.current_time() >= start + heard_after else 0

    registry, share = make_share("h0", names, 10, connected)
    notified = []
    registry.watchers.append(notified.append)
    share.begin()
    assert not all(map(share.allows, registry.targets(SERVICE)))
    await share.run()
    assert trio.current_time() - start == pytest.approx(over_after, abs=0.01)
    # The watchers of the service are notified, to serve waiting requests.
    assert notified == [SERVICE]
    assert all(map(share.allows, registry.targets(SERVICE)))
