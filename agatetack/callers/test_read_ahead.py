"""Test connections on which many requests are read ahead."""

import contextlib

import pytest
import trio
import trio.testing

from agatetack.callers.connection import CallerConnection, reap_connections
from agatetack.callers.parser import MAX_READ_AHEAD_REQUESTS
from agatetack.callers.read_ahead import ReadAheadConnection
from agatetack.callers.test_connection import Chunks, Echo, statuses
from agatetack.callers.test_server import serving
from agatetack.messages import Answer, AnswerCut, BytesBody, Handler
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings

SETTINGS = default_settings(callers={"pipeline_depth": 4}).callers
GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
PIECE_BYTES = 1000


async def read_answers(stream, last, pause=0.0):
    """Return what is received until the answer to request `last` has come."""
    data = b""
    with trio.fail_after(100):
        while b" /%d " % last not in data:
            part = await stream.receive_some(300 if pause else None)
            assert part, f"the connection ended after {data!r}"
            data += part
            await trio.sleep(pause)
    return data


# Guards against a connection that hangs for good: its reading pauses for the
# requests that wait, and nothing resumes it once they are answered.
@pytest.mark.parametrize("count", [1, 60, 64, 65, 80, 200, 1000])
@pytest.mark.parametrize("posts", [0, 7], ids=["gets", "mixed"])
@pytest.mark.parametrize("pieces", [False, True], ids=["at-once", "in-pieces"])
@pytest.mark.parametrize("pause", [0.0, 0.01], ids=["fast", "slow-reader"])
async def test_a_connection_serves_on_after_many_requests_at_once(
    autojump_clock, count, posts, pieces, pause
):
    caller, ours = trio.testing.memory_stream_pair()
    connection = ReadAheadConnection(
        ours, "127.0.0.1", SETTINGS, Echo(), Metrics()
    )
    sent = b"".join(
        (POST if posts and number % posts == posts - 1 else GET) % number
        for number in range(count)
    )
    most_waiting = 0

    async def send():
        if not pieces:
            await caller.send_all(sent)
            return
        for first in range(0, len(sent), PIECE_BYTES):
            await caller.send_all(sent[first : first + PIECE_BYTES])
            await trio.sleep(0.001)

    async def watch():
        nonlocal most_waiting
        while True:
            most_waiting = max(most_waiting, len(connection.parser.ready))
            await trio.sleep(0.001)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.serve)
        nursery.start_soon(watch)
        nursery.start_soon(send)
        data = await read_answers(caller, count - 1, pause)
        assert statuses(data) == [200] * count
        paths = [b" /%d " % number for number in range(count)]
        places = [data.index(path) for path in paths]
        assert places == sorted(places)
        for number in (count, count + 1):
            await caller.send_all(GET % number)
            assert len(statuses(await read_answers(caller, number))) == 1
        if pieces:
            # One receive may bring more requests than may wait.
            per_piece = PIECE_BYTES // len(GET)
            assert most_waiting <= MAX_READ_AHEAD_REQUESTS + per_piece
        nursery.cancel_scope.cancel()


class SlowFirst(Echo):
    """Waits for 2 s before it reads the first request's body."""

    async def handle(self, request):
        if request.path == b"/0":
            await trio.sleep(2.0)
        return await super().handle(request)


@contextlib.asynccontextmanager
async def reaped(settings, kind):
    """Open a connection of a class that ends once it has timed out."""
    caller, ours = trio.testing.memory_stream_pair()
    connection = kind(ours, "127.0.0.1", settings, SlowFirst(), Metrics())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.serve)
        nursery.start_soon(reap_connections, {connection})
        yield caller
        nursery.cancel_scope.cancel()


KINDS = [CallerConnection, ReadAheadConnection]


# Guards against the loss of requests under way, as a header that waits for room
# at the host counts as one that the caller doesn't finish.
@pytest.mark.parametrize("kind", KINDS)
async def test_headers_that_were_sent_ahead_do_not_time_out(
    autojump_clock, kind
):
    limits = {"header_timeout_seconds": 0.5, "pipeline_depth": 4}
    settings = default_settings(callers=limits).callers
    filler = b"x-filler: %b\r\n" % (b"f" * 850)
    async with reaped(settings, kind) as caller:
        heads = [(GET % number)[:-2] + filler for number in range(24)]
        await caller.send_all(b"".join(head + b"\r\n" for head in heads))
        data = await read_answers(caller, 23)
    assert statuses(data) == [200] * 24


# Guards against uploads that are cut off as the host did not read for a while.
@pytest.mark.parametrize("kind", KINDS)
async def test_a_body_does_not_time_out_while_it_is_not_read(
    autojump_clock, kind
):
    limits = {"keep_alive_seconds": 1.0, "stream_body_bytes": 1000}
    settings = default_settings(callers=limits).callers
    length = 200_000
    head = b"PUT /0 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    async with reaped(settings, kind) as caller:
        await caller.send_all(head % length + b"b" * (length // 2))
        await trio.sleep(2.5)
        await caller.send_all(b"b" * (length // 2))
        data = await read_answers(caller, 0)
    assert statuses(data) == [200]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("before", [0, 3])
async def test_a_header_that_trickles_times_out_behind_other_requests(
    autojump_clock, kind, before
):
    limits = {"header_timeout_seconds": 0.5, "pipeline_depth": 4}
    settings = default_settings(callers=limits).callers
    async with reaped(settings, kind) as caller:
        await caller.send_all(b"".join(GET % (1 + n) for n in range(before)))
        await trio.sleep(0.1)
        with pytest.raises(trio.BrokenResourceError):
            for byte in (GET % 9)[:-2] * 2:
                await caller.send_all(bytes([byte]))
                await trio.sleep(0.1)


class EndsEarly(Handler):
    """Ends the first answer once the others are ready; see the paths."""

    def __init__(self, others):
        self.others = others
        self.all_ready = trio.Event()

    async def handle(self, request):
        if request.path == b"/next":
            self.others -= 1
            if not self.others:
                self.all_ready.set()
            return Answer(200, [], BytesBody(b"foreign"))
        ends = [AnswerCut("x")] if request.path != b"/no-length" else []
        length = 9 if request.path == b"/cut-known" else None
        return Answer(200, [], Waiting(self.all_ready, ends, length))


class Waiting(Chunks):
    """A body of two bytes, whose rest comes after an event."""

    def __init__(self, event, ends, length):
        super().__init__(b"ab", *ends, length=length)
        self.event = event

    async def receive(self):
        if b"ab" not in self.parts:
            await self.event.wait()
            # All that the other answers wait for is their turn.
            await trio.testing.wait_all_tasks_blocked()
        return await super().receive()


# Guards against the start of another answer in the body of one that was cut,
# which makes it look whole, or behind one that ends with the connection.
@pytest.mark.parametrize("others", [1, 3])
@pytest.mark.parametrize(
    "first",
    [
        b"GET /cut-known HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /cut-chunked HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /no-length HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n",
    ],
    ids=["known-length", "chunked", "no-length"],
)
async def test_nothing_follows_the_answer_that_ends_a_connection(first, others):
    settings = default_settings(
        callers={
            "listen": {"ip": "127.0.0.1", "port": 0},
            "pipeline_depth": 4,
        }
    )
    data = b""
    async with serving(handler=EndsEarly(others), settings=settings) as (
        _,
        port,
    ):
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        next_one = b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n"
        await stream.send_all(first + next_one * others)
        with contextlib.suppress(trio.BrokenResourceError), trio.fail_after(9):
            while part := await stream.receive_some():
                data += part
    assert statuses(data) == [200]
    assert b"foreign" not in data
