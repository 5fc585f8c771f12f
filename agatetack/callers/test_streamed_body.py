"""Test bodies that are kept while they are passed on."""

import hypothesis
import pytest
import trio
import trio.testing
from hypothesis import strategies as st

from agatetack.callers.parser import RequestBody
from agatetack.callers.read_ahead import (
    MAX_READ_AHEAD_BYTES,
    ReadAheadConnection,
)
from agatetack.callers.server import CallerServer
from agatetack.callers.streamed_body import (
    BodyNotKept,
    BodyTooLarge,
    KeptBodies,
    StreamedBody,
)
from agatetack.messages import (
    Answer,
    BytesBody,
    CallerGone,
    Handler,
    read_whole,
)
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings

HOST_BYTES = 50
SETTINGS = default_settings(callers={"kept_bodies_bytes": HOST_BYTES})


class Body:
    """A streamed body whose parts arrive one for each read."""

    def __init__(self, *parts, length=None, max_bytes=100, max_kept=40):
        self.parts = list(parts)
        self.kept = KeptBodies(SETTINGS.callers, Metrics())
        self.reads = 0
        self.source = RequestBody(length, self.read_more)
        self.body = StreamedBody(self.source, max_bytes, max_kept, self.kept)

    async def read_more(self):
        await trio.lowlevel.checkpoint()
        self.reads += 1
        if self.parts:
            self.source.feed(self.parts.pop(0))
            self.source.complete = not self.parts
        else:
            self.source.lost = True


async def test_each_reader_starts_at_the_first_byte():
    """Guards against a second attempt that gets only the rest of a body."""
    made = Body(b"ab", b"cd", b"ef")
    first, second = made.body.reader(), made.body.reader()
    assert await first.receive() == b"ab"
    assert await second.receive() == b"ab"
    assert not made.body.in_memory
    assert (await read_whole(second)).content == b"cdef"
    assert made.body.in_memory
    assert (await read_whole(first)).content == b"cdef"
    made.body.forget()
    assert made.kept.used == 0


@pytest.mark.parametrize(
    ("sizes", "others", "kept"),
    [
        ([20, 20], 0, True),
        ([20, 21], 0, False),
        ([20, 20], HOST_BYTES - 40, True),
        ([20, 20], HOST_BYTES - 39, False),
    ],
    ids=["fits", "over-its-bound", "host-fits", "over-the-hosts-bound"],
)
async def test_a_body_over_a_bound_goes_on_but_is_not_kept(sizes, others, kept):
    """Guards against memory without a bound, and against a spoilt body."""
    content = [bytes([n]) * size for n, size in enumerate(sizes)]
    made = Body(*content)
    assert made.kept.take(others)
    reader = made.body.reader()
    assert (await read_whole(reader)).content == b"".join(content)
    assert made.body.replayable is kept
    assert made.kept.used == others + (sum(sizes) if kept else 0)
    if not kept:
        with pytest.raises(BodyNotKept):
            await made.body.reader().receive()
    made.body.forget()
    assert made.kept.used == others


@pytest.mark.parametrize(
    ("length", "others", "held"),
    [(4, 0, b"abcd"), (4, HOST_BYTES, None), (41, 0, None), (None, 0, None)],
    ids=["fits", "no-room", "too-long", "unknown"],
)
async def test_a_body_is_held_whole_or_not_touched(length, others, held):
    """Guards against a request that loses its start as it is passed on."""
    made = Body(b"ab", b"cd", length=length)
    assert made.kept.take(others)
    assert await made.body.hold() == held
    assert made.reads == (2 if held else 0)
    assert made.body.replayable


@pytest.mark.parametrize(
    ("made", "limit", "error"),
    [
        (lambda: Body(b"a" * 60, b"b" * 60), None, BodyTooLarge),
        (lambda: Body(b"a" * 6, b"b" * 6), 10, BodyTooLarge),
        (lambda: Body(), None, CallerGone),
    ],
    ids=["over-its-limit", "over-the-routes-limit", "cut"],
)
async def test_a_body_that_fails_says_why(made, limit, error):
    """Guards against a body that ends as if it were whole."""
    body = made().body
    if limit is not None:
        body.limit(limit)
    with pytest.raises(error):
        await read_whole(body)
    assert not body.in_memory


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    st.lists(st.binary(min_size=1, max_size=30), min_size=1, max_size=8),
    st.lists(st.integers(0, 3), max_size=30),
)
def test_readers_get_the_body_or_an_error(parts, steps):
    """Guards against bytes out of order, and against memory never released."""

    async def main():
        made = Body(*parts, max_bytes=1000)
        readers = [made.body.reader() for _ in range(3)]
        got = [b""] * 3
        for step in steps:
            if step == 3:
                await made.body.hold()
                continue
            try:
                got[step] += await readers[step].receive()
            except BodyNotKept:
                assert not made.body.replayable
            assert b"".join(parts).startswith(got[step])
            assert made.kept.used <= 40
        made.body.forget()
        assert made.kept.used == 0

    trio.run(main)


class Waits(Handler):
    """Reads a request's body once it is allowed to."""

    def __init__(self):
        self.allowed = trio.Event()
        self.started = trio.Event()
        self.cancelled = trio.Event()

    async def handle(self, request):
        self.started.set()
        try:
            await self.allowed.wait()
        except trio.Cancelled:
            self.cancelled.set()
            raise
        content = (await read_whole(request.body)).content
        return Answer(200, [], BytesBody(b"%d" % len(content)))


async def test_a_body_that_waits_for_its_turn_takes_little_memory(
    autojump_clock,
):
    """Guards against a host that is filled by uploads that wait for slots."""
    size = 1_000_000
    settings = default_settings(
        callers={"stream_body_bytes": 1000, "end_means_gone": True}
    ).callers
    kept = KeptBodies(settings, Metrics())
    handler = Waits()
    caller, ours = trio.testing.memory_stream_pair()
    connection = ReadAheadConnection(
        ours, "127.0.0.1", settings, handler, Metrics(), kept
    )
    head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.serve)
        nursery.start_soon(caller.send_all, head + bytes(size))
        await trio.sleep(1)
        assert connection.parser.body.unread_bytes > 0
        assert connection.parser.body.unread_bytes < 2 * MAX_READ_AHEAD_BYTES
        assert kept.used == 0
        handler.allowed.set()
        answer = b""
        while not answer.endswith(b"%d" % size):
            answer += await caller.receive_some()
        assert kept.used == 0
        nursery.cancel_scope.cancel()


async def test_a_caller_that_leaves_while_its_body_waits_is_noticed():
    """Guards against an upload that gets a slot though nobody waits for it."""
    # More than is read ahead; the kernel takes the rest.
    size = 180_000
    settings = default_settings(
        callers={
            "listen": {"ip": "127.0.0.1", "port": 0},
            "stream_body_bytes": 1000,
            "end_means_gone": True,
        }
    )
    handler = Waits()
    server = CallerServer(settings, handler, Metrics())
    async with trio.open_nursery() as nursery:
        port = await nursery.start(server.run)
        caller = await trio.open_tcp_stream("127.0.0.1", port)
        head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
        with trio.fail_after(5):
            await caller.send_all(head % size + bytes(size))
            await handler.started.wait()
            await caller.send_eof()
            await handler.cancelled.wait()
        nursery.cancel_scope.cancel()
