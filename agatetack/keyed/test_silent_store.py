"""Test that hosts stay current though answers of the store are lost."""

import itertools

import pytest
import trio

from agatetack.keyed.readers import MAX_ANSWER_AGE_SECONDS
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.memory_topic import NAME
from agatetack.testing.topic_fleet import (
    HOSTS,
    TopicHost,
    expected,
    is_reader,
    start_readers,
)

UP_TO_DATE_SECONDS = 3.0
"""After the end of a disruption of the store hosts must be up to date within
this time."""

APPLY_SECONDS = 2.0
"""A change must be in force within this time if the store answers."""


async def is_known(hosts, store, seconds):
    """Return whether all hosts know what the store holds within `seconds`."""
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        if all(host.kept.values == expected(store) for host in hosts):
            return True
        await trio.sleep(0.01)
    return False


def silence(hosts, on=True):
    """Lose the answers to all calls, those that wait included, or no more."""
    for host in hosts:
        host.topic.hanging = on


# Guards against hosts that wait for answers that are lost, and rely on readers
# that do the same, long after the store is sound again.
@pytest.mark.parametrize(
    ("seconds", "change_at"),
    [
        *itertools.product((1.0, 4.5, 8.0), (0.3, 0.5)),
        (1.0, 0.9),
        (4.5, 4.4),
        (8.0, 7.9),
        (8.0, 3.9),
        # After the end.
        (1.0, 1.1),
        (4.5, 4.6),
        (8.0, 8.1),
    ],
)
@pytest.mark.parametrize("count", [1, 3, 17])
@pytest.mark.parametrize("share", [1.0, 0.4])
async def test_a_change_is_known_soon_after_a_silence_of_the_store(
    autojump_clock, seconds, change_at, count, share
):
    store = MemoryStore()
    store.append(NAME, "k", b"0")
    async with trio.open_nursery() as nursery:
        _, hosts = await start_readers(nursery, store, count)
        await trio.sleep(5)
        begin = trio.current_time()
        silence(hosts[: max(1, round(share * count))])
        await trio.sleep(min(change_at, seconds))
        if change_at < seconds:
            store.append(NAME, "k", b"1")
            await trio.sleep_until(begin + seconds)
        silence(hosts, on=False)
        if change_at > seconds:
            await trio.sleep_until(begin + change_at)
            store.append(NAME, "k", b"1")
        due = begin + seconds + UP_TO_DATE_SECONDS
        assert await is_known(hosts, store, due - trio.current_time())
        nursery.cancel_scope.cancel()


# Guards against hosts that believe readers whose answers are all lost: the
# store serves the others, so the bound of a change holds for them.
@pytest.mark.parametrize("count", [7, 17, 60])
@pytest.mark.parametrize("change_at", [0.01, 0.5, 1.5, 4.0])
async def test_a_change_is_known_in_time_though_all_readers_are_cut_off(
    autojump_clock, count, change_at
):
    store = MemoryStore()
    store.append(NAME, "k", b"0")
    async with trio.open_nursery() as nursery:
        _, hosts = await start_readers(nursery, store, count)
        await trio.sleep(5)
        readers = [host for host in hosts if is_reader(host)]
        others = [host for host in hosts if host not in readers]
        assert 0 < len(readers) < HOSTS
        silence(readers)
        await trio.sleep(change_at)
        store.append(NAME, "k", b"1")
        assert await is_known(others, store, APPLY_SECONDS)
        nursery.cancel_scope.cancel()


# Guards against a second change that nobody reads as the first one's answers
# were lost, and against a reader that starts during the silence.
@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("count", [1, 3, 17])
async def test_all_changes_around_a_silence_are_known(
    autojump_clock, count, restarts
):
    store = MemoryStore()
    store.append(NAME, "k", b"0")
    async with trio.open_nursery() as nursery:
        net, hosts = await start_readers(nursery, store, count)
        await trio.sleep(5)
        silence(hosts)
        await trio.sleep(0.2)
        store.append(NAME, "k", b"1")
        await trio.sleep(1)
        if restarts and count > 1:
            host = TopicHost(store, net.join("late"))
            silence([host])
            host.start(nursery)
            hosts.append(host)
        await trio.sleep(1)
        silence(hosts, on=False)
        store.append(NAME, "l", b"2")
        assert await is_known(hosts, store, UP_TO_DATE_SECONDS)
        for number in range(3):
            await trio.sleep(0.6)
            store.append(NAME, "k", b"%d" % number)
            assert await is_known(hosts, store, APPLY_SECONDS)
        nursery.cancel_scope.cancel()


# Guards against answers that are lost one by one, while connections live.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("count", [1, 3, 17])
async def test_single_lost_answers_delay_changes_for_a_short_time(
    autojump_clock, count, seed
):
    store = MemoryStore()
    store.append(NAME, "k", b"0")
    async with trio.open_nursery() as nursery:
        _, hosts = await start_readers(nursery, store, count, seed)
        for number in range(10):
            lost = hosts[number % len(hosts) :: 2] or hosts
            silence(lost)
            await trio.sleep(0.05 + 0.1 * (seed + number) % 0.7)
            store.append(NAME, "k", b"%d" % number)
            await trio.sleep(0.05)
            silence(lost, on=False)
            assert await is_known(hosts, store, UP_TO_DATE_SECONDS)
        nursery.cancel_scope.cancel()


# Guards against a reader that reports as current what it has not been able to
# read for longer than an answer proves anything.
@pytest.mark.parametrize("count", [2, 17])
async def test_no_host_says_that_it_is_current_without_an_answer(
    autojump_clock, count
):
    store = MemoryStore()
    store.append(NAME, "k", b"0")
    async with trio.open_nursery() as nursery:
        _, hosts = await start_readers(nursery, store, count)
        await trio.sleep(5)
        assert all(host.follower.is_current for host in hosts)
        silence(hosts)
        await trio.sleep(MAX_ANSWER_AGE_SECONDS + 0.01)
        assert not any(host.follower.is_current for host in hosts)
        assert not any(host.follower.may_report for host in hosts)
        nursery.cancel_scope.cancel()


# Guards against a price of the above that grows with the fleet.
@pytest.mark.parametrize("count", [3, 17, 100])
async def test_a_calm_fleet_reads_about_once_a_second(autojump_clock, count):
    store = MemoryStore()
    store.append(NAME, "k", b"0")
    async with trio.open_nursery() as nursery:
        _, hosts = await start_readers(nursery, store, count)
        await trio.sleep(10)
        before = sum(host.topic.reads for host in hosts)
        await trio.sleep(60)
        # A read counts at its start and at its end.
        reads = (sum(host.topic.reads for host in hosts) - before) / 2
        assert reads / 60 < 2
        nursery.cancel_scope.cancel()
