"""Test the store's client against the stand-in of the store."""

import contextlib

import pytest
import trio

from agatetack.ids import Deadline, LogOffset
from agatetack.keyed.generations import StoreGenerations
from agatetack.keyed.topic import TopicTruncated, TopicUnavailable
from agatetack.metrics import Metrics
from agatetack.platform.store_client import StoreClient, StoreTopic
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_store import MemoryStore, StoreFault
from agatetack.testing.store_server import PAGE_KEYS, store_server

NAME = "keyed.test"


def soon(seconds=5.0):
    return Deadline(trio.current_time() + seconds)


@contextlib.asynccontextmanager
async def open_topic():
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(store_server(store).run)
        endpoint = f"127.0.0.1:{port}"
        client = StoreClient(
            default_settings(platform={"store": {"endpoint": endpoint}}),
            StoreGenerations(Metrics()),
        )
        yield store, StoreTopic(client, NAME)
        await client.aclose()
        nursery.cancel_scope.cancel()


def values(page):
    return {record.key: record.value for record in page.records}


async def test_what_is_appended_is_read():
    async with open_topic() as (store, topic):
        assert await topic.append("a", b"1", soon()) == 0
        assert await topic.append("b", b"\x00\xff", soon()) == 1
        page = await topic.read(LogOffset(0), soon(0), soon())
        assert values(page) == {"a": b"1", "b": b"\x00\xff"}
        assert page.end == 2
        page = await topic.read(LogOffset(1), soon(0), soon())
        assert [record.offset for record in page.records] == [1]
        store.append(NAME, "a", b"")
        page = await topic.read(LogOffset(2), soon(0), soon())
        assert values(page) == {"a": None}


async def test_a_read_waits_for_a_record_until_its_time():
    async with open_topic() as (store, topic):
        page = await topic.read(LogOffset(0), soon(0.05), soon())
        assert (page.records, page.end) == ([], 0)
        async with trio.open_nursery() as nursery:

            async def append_later():
                await trio.sleep(0.05)
                store.append(NAME, "a", b"1")

            nursery.start_soon(append_later)
            page = await topic.read(LogOffset(0), soon(10), soon(12))
        assert values(page) == {"a": b"1"}


@pytest.mark.parametrize("count", [0, 1, PAGE_KEYS, 2 * PAGE_KEYS + 1])
async def test_the_newest_of_all_keys_come_over_pages(count):
    async with open_topic() as (store, topic):
        for number in range(count):
            store.append(NAME, f"k{number:04}", b"old")
            store.append(NAME, f"k{number:04}", b"%d" % number)
        page = await topic.newest(soon())
        assert len(page.records) == count
        assert page.end == 2 * count
        wanted = {f"k{n:04}": b"%d" % n for n in range(count)}
        assert values(page) == wanted


async def test_records_that_are_gone_are_told():
    async with open_topic() as (store, topic):
        store.append(NAME, "a", b"1")
        store.compact(NAME)
        with pytest.raises(TopicTruncated):
            await topic.read(LogOffset(0), soon(0), soon())
        assert values(await topic.newest(soon())) == {"a": b"1"}


@pytest.mark.parametrize(
    ("fault", "may_have_run"),
    [
        (StoreFault.REFUSED, False),
        (StoreFault.SILENT, True),
        (StoreFault.ANSWER_LOST, True),
    ],
)
@pytest.mark.parametrize("call", ["read", "newest", "append"])
async def test_a_call_without_an_answer_fails(fault, may_have_run, call):
    async with open_topic() as (store, topic):
        store.set_fault(fault)
        calls = {
            "read": lambda: topic.read(LogOffset(0), soon(0), soon(0.2)),
            "newest": lambda: topic.newest(soon(0.2)),
            "append": lambda: topic.append("a", b"1", soon(0.2)),
        }
        with pytest.raises(TopicUnavailable) as caught:
            await calls[call]()
        assert caught.value.may_have_run is may_have_run
        # The store is used again at once when it is back.
        store.set_fault(None)
        await topic.append("b", b"2", soon())
        assert "b" in values(await topic.newest(soon()))
