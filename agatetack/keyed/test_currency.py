"""Test that a host knows when what it has read is too old to be served by."""

import random

import pytest
import trio

from agatetack.clock import Lateness
from agatetack.keyed.follower import TopicCurrency
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.memory_topic import NAME
from agatetack.testing.topic_fleet import TopicHost, fill


async def two_hosts(nursery):
    """Return a store, and two hosts that know what is in it."""
    store = MemoryStore()
    fill(store, 3)
    net = MemoryMesh(nursery)
    hosts = [TopicHost(store, net.join(f"h{n}")) for n in range(2)]
    for host in hosts:
        host.start(nursery)
    await trio.sleep(4)
    return store, net, hosts


async def test_a_host_that_hears_of_the_store_is_current(autojump_clock):
    async with trio.open_nursery() as nursery:
        _, _, hosts = await two_hosts(nursery)
        currencies = [TopicCurrency(h.follower, Lateness()) for h in hosts]
        for _ in range(400):
            await trio.sleep(0.02)
            assert not any(each.is_old for each in currencies)
            assert not any(each.may_lack_routes for each in currencies)
        nursery.cancel_scope.cancel()


async def test_a_host_that_has_read_nothing_is_not_old(autojump_clock):
    host = TopicHost(MemoryStore())
    assert not TopicCurrency(host.follower, Lateness()).is_old


# Guards against requests that a host which stood still serves by what it knew
# before, ahead of the reports and answers that have arrived meanwhile.
async def test_a_host_that_stood_still_is_old(autojump_clock):
    async with trio.open_nursery() as nursery:
        _, _, hosts = await two_hosts(nursery)
        follower = hosts[0].follower
        follower.readers.complete[NAME] -= 3.0
        assert TopicCurrency(follower, Lateness()).is_old
        await trio.sleep(1.0)
        assert not TopicCurrency(follower, Lateness()).is_old
        nursery.cancel_scope.cancel()


# Guards against hosts that refuse callers in an outage of the store.
@pytest.mark.parametrize("fault", ["refused", "hanging"])
@pytest.mark.parametrize("late", [False, True])
async def test_a_host_serves_on_when_the_store_fails(
    autojump_clock, fault, late
):
    async with trio.open_nursery() as nursery:
        _, _, hosts = await two_hosts(nursery)
        for host in hosts:
            setattr(host.topic, fault, True)
        lateness = Lateness()
        lateness.late = late
        currency = TopicCurrency(hosts[0].follower, lateness)
        await trio.sleep(4)
        assert currency.is_old is late
        nursery.cancel_scope.cancel()


async def test_a_host_that_lacks_a_reported_record_may_lack_routes(
    autojump_clock,
):
    async with trio.open_nursery() as nursery:
        store, net, (first, second) = await two_hosts(nursery)
        second.topic.hanging = True
        net.reply_bytes_per_second = 1
        store.append(NAME, "l", random.Random(1).randbytes(20_000))
        currency = TopicCurrency(second.follower, Lateness())
        await trio.sleep(0.2)
        assert first.kept.values["l"]
        assert currency.may_lack_routes
        second.topic.hanging = False
        await trio.sleep(3)
        assert second.kept.values["l"]
        assert not currency.may_lack_routes
        nursery.cancel_scope.cancel()
