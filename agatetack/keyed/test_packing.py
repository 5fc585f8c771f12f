"""Test that large values are packed and that nothing else is unpacked."""

import random

import pytest
import trio
import zstandard

from agatetack.generated.keyed import ttypes as wire
from agatetack.keyed import packing
from agatetack.keyed.messages import (
    MalformedRecords,
    hashes_of_large,
    page_of,
    records_since,
)
from agatetack.peers.exchange import Topic
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.memory_topic import NAME
from agatetack.testing.topic_fleet import TopicHost, start_readers
from agatetack.thrift_codec import decode

FIRST = random.Random(1).randbytes(100_000)
SECOND = FIRST[:50_000] + b"changed" + FIRST[50_000:]


@pytest.mark.parametrize("value", [b"", b"x", SECOND, b"y" * 300_000])
@pytest.mark.parametrize("base", [None, b"", FIRST, SECOND])
def test_what_is_packed_is_unpacked(value, base):
    assert packing.unpack(packing.pack(value, base), base) == value


def test_a_change_to_a_held_value_is_small():
    assert len(packing.pack(SECOND, FIRST)) < 100


@pytest.mark.parametrize(
    ("content", "base"),
    [
        (b"", None),
        (b"odd", None),
        (packing.pack(SECOND, None)[:-1], None),
        (packing.pack(SECOND, FIRST), None),
        (packing.pack(SECOND, FIRST), b"another one" * 10_000),
        (zstandard.ZstdCompressor().compress(b"0" * (9 << 20)), None),
    ],
)
def test_what_cannot_be_unpacked_is_refused(content, base):
    with pytest.raises(packing.MalformedPacking):
        value = packing.unpack(content, base)
        # A frame has no checksum, so that another base can go unnoticed there;
        # hosts compare the base's hash before.
        if value != SECOND:
            raise packing.MalformedPacking("of another base")


async def host_that_knows(*values):
    """Return a host that has read these values of one key in turn."""
    store = MemoryStore()
    host = TopicHost(store)
    async with trio.open_nursery() as nursery:
        host.start(nursery)
        for value in values:
            store.append(NAME, "k", value)
            await trio.sleep(2)
        nursery.cancel_scope.cancel()
    return host


@pytest.mark.parametrize(
    ("bases", "packed", "largest"),
    [
        (None, False, 200_000),
        ({}, True, 110_000),
        ({"k": packing.hash_value(FIRST)}, True, 200),
        ({"k": b"unknown!"}, True, 110_000),
        ({"other": packing.hash_value(FIRST)}, True, 110_000),
    ],
)
async def test_a_receiver_gets_what_it_can_unpack(
    autojump_clock, bases, packed, largest
):
    host = await host_that_knows(FIRST, SECOND)
    reader = await host_that_knows(FIRST)
    message = records_since(host.follower, None, bases=bases)
    assert bool(message.packed) is packed
    assert sum(len(each.content) for each in message.packed or ()) < largest
    page = page_of(message, known=reader.follower.content.known)
    assert [record.value for record in page.records] == [SECOND]


async def test_a_change_to_a_value_that_is_not_held_is_refused(
    autojump_clock,
):
    host = await host_that_knows(FIRST, SECOND)
    bases = hashes_of_large(host.follower.content, former=True)
    message = records_since(host.follower, None, bases=bases)
    other = await host_that_knows(b"z" * 50_000)
    for known in ({}, other.follower.content.known):
        with pytest.raises(MalformedRecords):
            page_of(message, known=known)


async def test_hosts_keep_few_former_values(autojump_clock):
    values = [b"%d" % n + FIRST for n in range(6)]
    host = await host_that_knows(*values)
    assert host.follower.content.former == {"k": values[2:5]}


# Guards against hosts of an older version that take a report whose records they
# can't unpack for all that there is up to its position.
async def test_hosts_that_cannot_unpack_learn_of_a_change(autojump_clock):
    store = MemoryStore()
    heard = []
    async with trio.open_nursery() as nursery:
        store.append(NAME, "k", FIRST)
        net, hosts = await start_readers(nursery, store, count=3)
        older = net.join("older")
        older.subscribe(
            Topic.TOPIC_RECORDS,
            lambda sender, payload: heard.extend(
                decode(wire.TopicEnds, payload).ends
            ),
        )
        store.append(NAME, "k", SECOND)
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    assert all(host.kept.values["k"] == SECOND for host in hosts)
    assert max(each.end for each in heard) == store.topics[NAME].end
    assert all(each.news is None or each.news.packed is None for each in heard)
    assert any(each.packed_news is not None for each in heard)
