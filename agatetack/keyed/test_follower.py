"""Test that followers stay current through outages, cuts and truncation."""

import pytest
import trio

from agatetack.generated.keyed import ttypes as wire
from agatetack.keyed.follower import FIRST_READERS, MAX_BACKOFF_DOUBLINGS
from agatetack.keyed.readers import MIN_READERS
from agatetack.keyed.sharing import MAX_INLINE_BYTES
from agatetack.peers.exchange import Topic
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.memory_topic import NAME
from agatetack.testing.topic_fleet import (
    SETTINGS,
    TopicHost,
    expected,
    fill,
    is_reader,
    start_readers,
)
from agatetack.thrift_codec import encode


async def test_records_come_at_once_and_a_burst_costs_few_reads(
    autojump_clock,
):
    store = MemoryStore()
    fill(store, 3)
    host = TopicHost(store)
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(1)
        assert host.kept.values == expected(store)
        before = host.topic.reads
        for number in range(50):
            store.append(NAME, f"n{number}", b"x")
            await trio.sleep(0.01)
        await trio.sleep(0.5)
        assert host.kept.values == expected(store)
        # Each read counts twice here, at its start and its end.
        assert host.topic.reads - before <= 2 * 8
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("fault", ["refused", "hanging"])
@pytest.mark.parametrize("compacted", [False, True])
async def test_what_changed_in_an_outage_is_known_soon_after(
    autojump_clock, fault, compacted
):
    store = MemoryStore()
    fill(store, 5)
    host = TopicHost(store)
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(1)
        setattr(host.topic, fault, True)
        store.append(NAME, "k0", b"")
        store.append(NAME, "k1", b"changed")
        await trio.sleep(30)
        assert host.kept.told == ["in touch", "lost"]
        # Records read before the outage are kept.
        assert host.kept.values["k1"] == b"1"
        if compacted:
            store.compact(NAME)
        setattr(host.topic, fault, False)
        await trio.sleep(6)
        assert host.kept.values == expected(store)
        assert host.kept.told == ["in touch", "lost", "in touch"]
        nursery.cancel_scope.cancel()


async def test_truncation_loses_nothing(autojump_clock):
    store = MemoryStore()
    fill(store, 5)
    host = TopicHost(store)
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(0.05)
        fill(store, 20, "new")
        store.append(NAME, "k3", b"")
        store.compact(NAME)
        await trio.sleep(1)
        assert host.kept.values == expected(store)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("fault", ["refused", "hanging"])
@pytest.mark.parametrize("started_before", [True, False])
async def test_a_host_that_reads_nothing_learns_from_its_peers(
    autojump_clock, fault, started_before
):
    store = MemoryStore()
    fill(store, 5)
    async with trio.open_nursery() as nursery:
        net = MemoryMesh(nursery)
        one, other = (TopicHost(store, net.join(name)) for name in ("h1", "h2"))
        one.start(nursery)
        setattr(other.topic, fault, not started_before)
        other.start(nursery)
        await trio.sleep(5)
        assert other.kept.values == expected(store)
        setattr(other.topic, fault, True)
        store.append(NAME, "k0", b"")
        store.append(NAME, "k1", b"changed")
        await trio.sleep(1.5)
        assert other.kept.values == one.kept.values == expected(store)
        nursery.cancel_scope.cancel()


async def test_a_read_gone_silent_is_given_up_when_peers_know_more(
    autojump_clock,
):
    store, silent_store = MemoryStore(), MemoryStore()
    fill(store, 2)
    fill(silent_store, 2)
    async with trio.open_nursery() as nursery:
        net = MemoryMesh(nursery)
        one, other = (
            TopicHost(store, net.join("h1")),
            TopicHost(store, net.join("h2")),
        )
        # The waiting read no longer receives records that the store appends.
        other.topic.store = silent_store
        one.start(nursery)
        other.start(nursery)
        await trio.sleep(1)
        store.append(NAME, "k1", b"changed")
        other.topic.store = store
        await trio.sleep(1.5)
        assert other.kept.values == expected(store)
        store.append(NAME, "k1", b"again")
        one.topic.hanging = True
        await trio.sleep(1.5)
        assert other.kept.values == expected(store)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("outage", [3.0, 10.0, 30.0])
async def test_a_host_that_knows_nothing_asks_soon_again(
    autojump_clock, outage
):
    store = MemoryStore()
    fill(store, 3)
    host = TopicHost(store)
    host.topic.refused = True
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        await trio.sleep(outage)
        host.topic.refused = False
        # The longest pause is 25 % longer than the setting.
        pause = SETTINGS.platform.store.retry_seconds
        await trio.sleep(1.3 * pause)
        assert host.kept.values == expected(store)
        nursery.cancel_scope.cancel()


async def test_few_hosts_of_a_large_fleet_read(autojump_clock):
    store = MemoryStore()
    fill(store, 5)
    async with trio.open_nursery() as nursery:
        _, hosts = await start_readers(nursery, store)
        assert sum(map(is_reader, hosts)) == MIN_READERS
        before = sum(host.topic.reads for host in hosts)
        for number in range(10):
            store.append(NAME, "k1", b"%d" % number)
            await trio.sleep(0.5)
            assert all(host.kept.values == expected(store) for host in hosts)
        # Each read counts twice here, at its start and its end.
        reads = sum(host.topic.reads for host in hosts) - before
        assert reads <= 2 * 10 * MIN_READERS
        nursery.cancel_scope.cancel()


# Guards against calls by hosts that the store refuses, while peers tell them
# all that changes, and against hosts that stay silent once nobody does.
async def test_refused_hosts_call_rarely_while_others_read(autojump_clock):
    store = MemoryStore()
    fill(store, 5)
    async with trio.open_nursery() as nursery:
        net, hosts = await start_readers(nursery, store)
        place = {host: host.follower.readers.place(NAME) for host in hosts}
        refused = [
            host for host in hosts if (place[host] or 0) >= FIRST_READERS
        ]
        assert len(refused) == MIN_READERS - FIRST_READERS
        for host in refused:
            host.topic.refused = True
            host.follower.reading.cancel()
        before = sum(host.topic.reads for host in refused)
        for number in range(6):
            store.append(NAME, "k1", b"%d" % number)
            await trio.sleep(1.5)
            assert all(host.kept.values == expected(store) for host in hosts)
        calls = sum(host.topic.reads for host in refused) - before
        assert calls <= 4 * len(refused)
        # Nobody tells them anything from now on.
        for host in hosts:
            net.isolate(host.sharing.exchange.host)
        for host in refused:
            host.topic.refused = False
        store.append(NAME, "k1", b"alone")
        # The longest pause of a refused host that is told nothing.
        pause = SETTINGS.platform.store.retry_seconds * 2**MAX_BACKOFF_DOUBLINGS
        await trio.sleep(1.3 * pause)
        assert all(host.kept.values == expected(store) for host in refused)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("fault", ["refused", "hanging", "gone", "cut"])
async def test_a_change_is_known_soon_when_all_readers_are_lost(
    autojump_clock, fault
):
    store = MemoryStore()
    fill(store, 5)
    async with trio.open_nursery() as nursery:
        net, hosts = await start_readers(nursery, store)
        readers = [host for host in hosts if is_reader(host)]
        others = [host for host in hosts if host not in readers]
        for host in readers:
            name = host.sharing.exchange.host
            if fault == "gone":
                net.leave(name)
            elif fault == "cut":
                net.isolate(name)
            else:
                setattr(host.topic, fault, True)
                # The current read is aborted, so the next one meets the fault.
                host.follower.reading.cancel()
        store.append(NAME, "k1", b"changed")
        seconds = 1.5
        if fault == "hanging":
            # The hosts notice this when an unanswered read times out.
            limits = SETTINGS.platform.store
            seconds += limits.timeout_seconds + limits.poll_seconds
        await trio.sleep(seconds)
        assert all(host.kept.values == expected(store) for host in others)
        nursery.cancel_scope.cancel()


async def test_a_change_is_known_soon_when_readers_do_not_answer(
    autojump_clock,
):
    store = MemoryStore()
    fill(store, 5)
    async with trio.open_nursery() as nursery:
        net, hosts = await start_readers(nursery, store)
        net.reply_bytes_per_second = 1
        store.append(NAME, "k1", b"changed")
        await trio.sleep(1.2)
        assert all(host.kept.values == expected(store) for host in hosts)
        nursery.cancel_scope.cancel()


async def test_what_is_read_is_told_without_being_asked_for(autojump_clock):
    store = MemoryStore()
    fill(store, 5)
    async with trio.open_nursery() as nursery:
        _, hosts = await start_readers(nursery, store)
        asked = []
        for host in hosts:
            exchange = host.sharing.exchange
            serve = exchange.servers[Topic.TOPIC_RECORDS]

            async def count(sender, payload, serve=serve):
                asked.append(sender)
                return await serve(sender, payload)

            exchange.servers[Topic.TOPIC_RECORDS] = count
        for number in range(10):
            store.append(NAME, "k1", b"%d" % number)
            await trio.sleep(0.2)
        store.append(NAME, "k0", b"")
        await trio.sleep(1)
        assert all(host.kept.values == expected(store) for host in hosts)
        readers = {
            host.sharing.exchange.host for host in hosts if is_reader(host)
        }
        assert set(asked) <= readers
        nursery.cancel_scope.cancel()


async def test_what_is_too_long_to_be_told_is_asked_for(autojump_clock):
    store = MemoryStore()
    fill(store, 5)
    async with trio.open_nursery() as nursery:
        _, hosts = await start_readers(nursery, store)
        store.append(NAME, "k1", b"x" * (MAX_INLINE_BYTES + 1))
        await trio.sleep(1)
        assert all(host.kept.values == expected(store) for host in hosts)
        nursery.cancel_scope.cancel()


async def test_a_peer_that_has_read_nothing_gives_nothing(autojump_clock):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        store = MemoryStore()
        fill(store, 3)
        empty = TopicHost(MemoryStore(), mesh.join("h1"))
        empty.topic.hanging = True
        mesh.hosts["h1"].handlers.clear()
        host = TopicHost(store, mesh.join("h2"))
        empty.start(nursery)
        host.start(nursery)
        await trio.sleep(1)
        # A report that it sent before a restart may arrive late.
        ends = wire.TopicEnds([wire.TopicEnd(NAME, 1000)])
        mesh.hosts["h1"].publish(Topic.TOPIC_RECORDS, encode(ends))
        await trio.sleep(5)
        assert empty.follower.content.next_offset is None
        assert host.kept.values == expected(store)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        b"junk",
        encode(wire.Records(whole=True, records=[])),
        encode(wire.Records(1000, True)),
        encode(wire.Records(1000, True, [wire.Record("k")])),
    ],
)
async def test_a_malformed_reply_of_a_peer_ends_nothing(autojump_clock, reply):
    async def answer(sender, payload):
        return reply

    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        store = MemoryStore()
        fill(store, 3)
        other = mesh.join("h1")
        other.serve(Topic.TOPIC_RECORDS, answer)
        host = TopicHost(store, mesh.join("h2"))
        host.start(nursery)
        await trio.sleep(1)
        ends = wire.TopicEnds([wire.TopicEnd(NAME, 1000)])
        other.publish(Topic.TOPIC_RECORDS, encode(ends))
        await trio.sleep(5)
        assert host.kept.values == expected(store)
        nursery.cancel_scope.cancel()
