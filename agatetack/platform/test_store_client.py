"""Test the client of the store against a fake store."""

import contextlib
import functools

import pytest
import trio

from agatetack.ids import Deadline, LogOffset, StoreGeneration
from agatetack.keyed.generations import GenerationSource, StoreGenerations
from agatetack.keyed.topic import (
    TopicRestored,
    TopicTruncated,
    TopicUnavailable,
)
from agatetack.metrics import Metrics
from agatetack.platform.store_client import (
    READ_HEADER,
    RECORD_LENGTH,
    StoreClient,
    StoreTopic,
)
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


@contextlib.asynccontextmanager
async def answered_topic(answer):
    """Open a topic whose store serves each connection with `answer`."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            functools.partial(trio.serve_tcp, answer, 0, host="127.0.0.1")
        )
        port = listeners[0].socket.getsockname()[1]
        endpoint = f"127.0.0.1:{port}"
        client = StoreClient(
            default_settings(platform={"store": {"endpoint": endpoint}}),
            StoreGenerations(Metrics()),
        )
        yield StoreTopic(client, NAME)
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


async def test_pages_of_two_generations_are_not_one_list():
    async with open_topic() as (store, topic):
        for number in range(PAGE_KEYS + 1):
            store.append(NAME, f"k{number:04}", b"x")
        call = topic.client.call

        async def lose_records_after(*arguments):
            reply = await call(*arguments)
            topic.client.call = call
            store.restore(store.copy())
            return reply

        topic.client.call = lose_records_after
        with pytest.raises(TopicRestored):
            await topic.newest(soon())
        page = await topic.newest(soon())
        assert (len(page.records), page.generation) == (PAGE_KEYS + 1, 2)


@pytest.mark.parametrize("call", ["read", "newest", "append", "refused"])
async def test_each_answer_tells_the_generation(call):
    async with open_topic() as (store, topic):
        calls = {
            "read": lambda: topic.read(LogOffset(0), soon(0), soon()),
            "newest": lambda: topic.newest(soon()),
            "append": lambda: topic.append("a", b"1", soon()),
            "refused": lambda: topic.read(LogOffset(0), soon(0), soon()),
        }
        await topic.newest(soon())
        assert topic.client.generations.newest == 1
        store.restore(store.copy())
        if call == "refused":
            store.set_fault(StoreFault.REFUSED)
        with contextlib.suppress(TopicUnavailable):
            await calls[call]()
        assert topic.client.generations.newest == 2


async def test_a_position_that_the_store_lost_is_refused():
    async with open_topic() as (store, topic):
        copy = store.copy()
        store.append(NAME, "a", b"1")
        store.restore(copy)
        with pytest.raises(TopicTruncated):
            await topic.read(LogOffset(1), soon(5), soon())


async def test_an_append_answered_before_a_loss_is_not_taken_for_made():
    async with open_topic() as (store, topic):
        generations = topic.client.generations
        call = topic.client.http_client.call

        async def late(request):
            reply = await call(request)
            generations.note(StoreGeneration(9), GenerationSource.PEER, "h1")
            return reply

        topic.client.http_client.call = late
        with pytest.raises(TopicUnavailable) as caught:
            await topic.append("a", b"1", soon())
        assert caught.value.may_have_run


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
        # The client uses the store again as soon as it is back.
        store.set_fault(None)
        await topic.append("b", b"2", soon())
        assert "b" in values(await topic.newest(soon()))


# Guards against numbers that no message to a peer can hold.
@pytest.mark.parametrize("number", ["1e30", "9223372036854775808", "-1"])
@pytest.mark.parametrize(
    "body",
    [
        '{"items": [], "end": N, "more": false}',
        '{"items": [{"key": "a", "value": "", "offset": N}], "end": 1,'
        ' "more": false}',
    ],
)
async def test_an_offset_out_of_range_is_a_malformed_reply(body, number):
    content = body.replace("N", number).encode()

    async def answer(stream):
        await stream.receive_some()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        await stream.send_all(head % len(content) + content)

    async with answered_topic(answer) as topic:
        with pytest.raises(TopicUnavailable):
            await topic.newest(soon())


READ = READ_HEADER.pack(2, 0) + 2 * (
    RECORD_LENGTH.pack(7) + b"\x01" + b"a" + b"value"
)
NEWEST = (
    b'{"items": [{"key": "a", "value": "MQ==", "offset": 1}], "end": 2,'
    b' "more": false}'
)
APPEND = b'{"offset": 12345, "end": 12346}'
REPLIES = {
    "read": (READ, lambda topic: topic.read(LogOffset(0), soon(0), soon())),
    "newest": (NEWEST, lambda topic: topic.newest(soon())),
    "append": (APPEND, lambda topic: topic.append("a", b"1", soon())),
}
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\nx-size: %d\r\n\r\n",
}


@contextlib.asynccontextmanager
async def raw_topic(contents):
    """Open a topic whose store sends one of `contents` on each connection."""

    async def answer(stream):
        await stream.receive_some()
        await stream.send_all(contents.pop(0))
        await stream.send_eof()
        while await stream.receive_some():
            pass

    async with answered_topic(answer) as topic:
        yield topic


# Guards against a part of a reply that counts as whole, or as a topic in which
# nothing is: records must only be missing where the next read asks for them.
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("call", REPLIES)
async def test_a_cut_reply_is_no_reply(call, head):
    body, ask = REPLIES[call]
    raw = HEADS[head] % len(body) + body
    async with raw_topic([raw[:end] for end in range(len(raw))]) as topic:
        for end in range(len(raw)):
            have = end - raw.index(body)
            if call == "read" and head == "no length" and have in (16, 27):
                page = await ask(topic)
                assert page.end == len(page.records) == (have - 16) // 11
                continue
            with pytest.raises(TopicUnavailable) as caught:
                await ask(topic)
            assert caught.value.may_have_run or call != "append"


@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("call", REPLIES)
async def test_a_whole_reply_is_taken(call, head):
    body, ask = REPLIES[call]
    async with raw_topic([HEADS[head] % len(body) + body]) as topic:
        assert await ask(topic)


def record_of(content):
    return RECORD_LENGTH.pack(len(content)) + content


ODD_RECORDS = {
    "empty": b"",
    "key of other bytes": b"\x02\xff\xfeodd",
    "key beyond the end": b"\x09short",
}


# Guards against one odd entry of another writer that stops a host from
# following all others.
@pytest.mark.parametrize("odd", ODD_RECORDS)
@pytest.mark.parametrize("place", [0, 1, 2])
async def test_an_odd_record_hides_no_other(odd, place):
    records = [record_of(b"\x01a1"), record_of(b"\x01b2")]
    records.insert(place, record_of(ODD_RECORDS[odd]))
    body = READ_HEADER.pack(8, 0) + b"".join(records)
    async with raw_topic([HEADS["length"] % len(body) + body]) as topic:
        page = await topic.read(LogOffset(5), soon(0), soon())
    assert values(page) == {"a": b"1", "b": b"2"}
    assert page.end == 8
    offsets = {5, 6, 7} - {5 + place}
    assert {record.offset for record in page.records} == offsets


# Guards against replies that pass for all that the store holds though they end
# before its last record.
@pytest.mark.parametrize(("store_end", "more"), [(7, False), (9, True)])
async def test_a_reply_says_whether_the_store_has_more(store_end, more):
    records = [record_of(b"\x01a1"), record_of(b"\x01b2")]
    body = READ_HEADER.pack(store_end, 0) + b"".join(records)
    async with raw_topic([HEADS["length"] % len(body) + body]) as topic:
        page = await topic.read(LogOffset(5), soon(0), soon())
    assert page.more is more
    assert page.end == 7


@pytest.mark.parametrize(
    "odd",
    [
        *('"key": 1, "value": "MQ=="', '"key": null, "value": "MQ=="'),
        *('"key": [[]], "value": "MQ=="', '"key": "o", "value": 1e300'),
        *('"key": "o", "value": null', '"key": "o", "value": "M"'),
        '"key": "o", "value": ["MQ=="]',
    ],
)
@pytest.mark.parametrize("place", [0, 1])
async def test_an_odd_item_hides_no_other(odd, place):
    items = ['{"key": "a", "value": "MQ==", "offset": 1}']
    items.insert(place, "{" + odd + ', "offset": 2}')
    first, last = (
        b'{"items": [%s], "end": 3, "more": %s}' % (found, more)
        for found, more in (
            (",".join(items).encode(), b"true"),
            (b'{"key": "z", "value": "Mg==", "offset": 0}', b"false"),
        )
    )
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    replies = [head % len(body) + body for body in (first, last)]
    async with raw_topic(replies) as topic:
        page = await topic.newest(soon())
    assert values(page) == {"a": b"1", "z": b"2"}
    assert page.end == 3


# Guards against a reply of bytes without end that a host keeps in its memory.
@pytest.mark.parametrize(
    ("begin", "more"),
    [
        (b"", b"x" * 65536),
        (b"HTTP/1.1 200 OK\r\n", b"x-odd: " + b"y" * 65000 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\nx-odd: ", b"y" * 65536),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
            b"x" * 65536,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"8000\r\n" + b"x" * 0x8000 + b"\r\n",
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
            b"x" * 65536,
        ),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    ],
)
@pytest.mark.parametrize("call", REPLIES)
async def test_a_reply_without_end_is_given_up(call, begin, more):
    sent = 0

    async def answer(stream):
        nonlocal sent
        await stream.receive_some()
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(begin)
            while sent < 256 << 20:
                await stream.send_all(more)
                sent += len(more)

    async with answered_topic(answer) as topic:
        with pytest.raises(TopicUnavailable):
            await REPLIES[call][1](topic)
    # What the kernel of both ends holds is beside the 8 MB of a reply.
    assert sent < 32 << 20


@contextlib.asynccontextmanager
async def slow_topic(piece, pause_seconds):
    """Open a topic whose answer comes in pieces, to calls of 0.3 s."""
    body = READ_HEADER.pack(1, 0) + record_of(b"\x01a" + b"x" * 400_000)

    async def answer(stream):
        await stream.receive_some()
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(HEADS["length"] % len(body))
            for start in range(0, len(body), piece):
                await trio.sleep(pause_seconds)
                await stream.send_all(body[start : start + piece])

    async with answered_topic(answer) as topic:
        topic.client.http_client.timeout_seconds = 0.3
        yield topic


# Guards against a large reply over a thin link that is given up at the same
# place each time, so that its host never has it.
async def test_a_reply_that_is_under_way_is_not_given_up():
    async with slow_topic(piece=20_000, pause_seconds=0.05) as topic:
        lengths = []
        page = await topic.read(
            LogOffset(0), soon(0), soon(0.3), lengths.append
        )
        assert lengths == [READ_HEADER.size + RECORD_LENGTH.size + 400_002]
        assert len(values(page)["a"]) == 400_000


@pytest.mark.parametrize(
    ("piece", "pause_seconds"), [(1, 0.05), (200, 0.05), (200_000, 60.0)]
)
async def test_a_reply_that_hardly_arrives_is_given_up(piece, pause_seconds):
    async with slow_topic(piece, pause_seconds) as topic:
        with pytest.raises(TopicUnavailable):
            await topic.read(LogOffset(0), soon(0), soon(0.3))
