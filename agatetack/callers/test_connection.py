"""Check how one connection handles valid and invalid requests."""

import contextlib
import re

import pytest
import trio
import trio.testing

from agatetack.callers.connection import CallerConnection, reap_connections
from agatetack.messages import (
    Answer,
    AnswerCut,
    Body,
    BytesBody,
    CallerRequest,
    Handler,
    Header,
)
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings

SETTINGS = default_settings(
    callers={
        "max_header_bytes": 1000,
        "max_body_bytes": 5000,
        "replay_body_bytes": 100,
    }
).callers
HEAD = b"GET /x HTTP/1.1\r\nHost: a\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: a\r\n"


class Chunks(Body):
    """A body of parts; an exception among them is raised."""

    def __init__(self, *parts, length=None):
        self.parts = list(parts)
        self.length = length

    async def receive(self):
        await trio.lowlevel.checkpoint()
        part = self.parts.pop(0) if self.parts else b""
        if isinstance(part, Exception):
            raise part
        return part


class Echo(Handler):
    """Answers with method, path and body, except on a few paths."""

    def __init__(self):
        self.requests: list[CallerRequest] = []
        self.cancelled = 0

    async def handle(self, request):
        self.requests.append(request)
        if request.path == b"/sleep":
            try:
                await trio.sleep_forever()
            except trio.Cancelled:
                self.cancelled += 1
                raise
        if request.path == b"/early":
            return Answer(403, [], BytesBody(b"no"))
        if request.path == b"/chunks":
            return Answer(200, [], Chunks(b"ab", b"cde"))
        if request.path == b"/cut":
            return Answer(200, [], Chunks(b"ab", AnswerCut("x"), length=9))
        content = b""
        while data := await request.body.receive():
            content += data
        text = b"%b %b %b" % (request.method, request.path, content)
        return Answer(200, [Header(b"x-a", b"1")], BytesBody(text))


@contextlib.asynccontextmanager
async def connected(settings=SETTINGS):
    caller, ours = trio.testing.memory_stream_pair()
    echo = Echo()
    connection = CallerConnection(ours, "127.0.0.1", settings, echo, Metrics())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.serve)
        nursery.start_soon(reap_connections, {connection})
        yield caller, echo, connection
        nursery.cancel_scope.cancel()


async def read_all(stream, seconds=1.0):
    """Return what is received until the end, for `seconds` at most."""
    data = b""
    with trio.move_on_after(seconds):
        while part := await stream.receive_some():
            data += part
    return data


def statuses(data):
    return [int(found) for found in re.findall(rb"HTTP/1\.1 (\d+) ", data)]


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        pytest.param(HEAD + b"\r\n", [200], id="plain"),
        pytest.param((HEAD + b"\r\n") * 3, [200] * 3, id="pipelined"),
        pytest.param(
            POST + b"Content-Length: 2\r\n\r\nhi" + HEAD + b"\r\n",
            [200, 200],
            id="body-then-next",
        ),
        pytest.param(
            POST + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
            [200],
            id="chunked",
        ),
        pytest.param(
            POST + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\n" + HEAD + b"\r\n",
            [400],
            id="both-lengths",
        ),
        pytest.param(
            POST + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
            [400],
            id="two-lengths",
        ),
        pytest.param(
            POST + b"Content-Length: -1\r\n\r\n", [400], id="negative-length"
        ),
        pytest.param(
            POST + b"Content-Length: +2\r\n\r\nhi", [400], id="signed-length"
        ),
        pytest.param(
            POST + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            [400],
            id="unknown-coding",
        ),
        pytest.param(
            POST + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
            [400],
            id="space-before-colon",
        ),
        pytest.param(
            b"GET /x HTTP/1.1\r\nHost: a\r\n x\r\n\r\n", [400], id="folded"
        ),
        pytest.param(b"GET /x HTTP/1.1\r\n\r\n", [400], id="no-host"),
        pytest.param(HEAD + b"Host: b\r\n\r\n", [400], id="two-hosts"),
        pytest.param(
            b"GET /a/../b HTTP/1.1\r\nHost: a\r\n\r\n", [400], id="dots"
        ),
        pytest.param(
            b"GET /a/%2E%2e/b HTTP/1.1\r\nHost: a\r\n\r\n",
            [400],
            id="encoded-dots",
        ),
        pytest.param(b"\x16\x03\x01\x02\x00", [400], id="not-http"),
        pytest.param(b"GET /x HTTP/9.9\r\n\r\n", [400], id="bad-version"),
        pytest.param(
            HEAD + b"x-deadline-ms: soon\r\n\r\n", [400], id="bad-deadline"
        ),
        pytest.param(
            HEAD + b"idempotency-key: a b\r\n\r\n", [400], id="bad-key"
        ),
        pytest.param(
            HEAD + b"x: " + b"y" * 2000 + b"\r\n\r\n", [431], id="large-header"
        ),
        pytest.param(HEAD + b"x: " + b"y" * 3000, [431], id="endless-header"),
        pytest.param(
            POST + b"Content-Length: 6000\r\n\r\n", [413], id="large-body"
        ),
        pytest.param(
            POST
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + (b"3e8\r\n" + b"x" * 1000 + b"\r\n") * 6
            + b"0\r\n\r\n",
            [413],
            id="large-chunked-body",
        ),
        pytest.param(
            b"GET http://b/x HTTP/1.1\r\nHost: a\r\n\r\n",
            [200],
            id="absolute-form",
        ),
        pytest.param(
            b"GET /x HTTP/1.0\r\n\r\n", [200], id="http-1.0-without-host"
        ),
    ],
)
async def test_answers_in_order_and_refuses_bad_bytes(
    raw, expected, autojump_clock
):
    async with connected() as (caller, _, _):
        await caller.send_all(raw)
        assert statuses(await read_all(caller)) == expected


@pytest.mark.parametrize(
    "raw",
    [
        POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n",
        POST + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhiX\r\n0\r\n\r\n",
        POST + b"Content-Length: 9\r\n\r\nhi",
    ],
    ids=["bad-chunk-size", "long-chunk", "short-body"],
)
async def test_a_cut_body_reaches_no_target_as_whole(raw, autojump_clock):
    async with connected() as (caller, echo, _):
        await caller.send_all(raw)
        await caller.send_eof()
        data = await read_all(caller)
    assert 200 not in statuses(data)
    for request in echo.requests:
        assert not isinstance(request.body, BytesBody)


@pytest.mark.parametrize(
    ("begin", "more"),
    [
        (b"0\r\nX: ", b"a" * 100),
        (b"0\r\n", b"X: " + b"b" * 95 + b"\r\n"),
        (b"2;x=", b"a" * 100),
    ],
    ids=["trailer", "trailers", "extension"],
)
async def test_what_stands_between_and_after_chunks_is_bounded(
    begin, more, autojump_clock
):
    async with connected() as (caller, _, connection):
        await caller.send_all(POST + b"Transfer-Encoding: chunked\r\n\r\n")
        await caller.send_all(begin)
        for _ in range(8):
            await caller.send_all(more)
            await trio.testing.wait_all_tasks_blocked()
        assert not connection.parser.broken
        with pytest.raises(trio.BrokenResourceError):
            for _ in range(20):
                await caller.send_all(more)
                await trio.testing.wait_all_tasks_blocked()
        assert connection.parser.broken


async def test_any_cut_of_the_bytes_gives_the_same_answers(autojump_clock):
    raw = POST + b"Content-Length: 2\r\n\r\nhi" + HEAD + b"\r\n"
    for cut in range(1, len(raw)):
        async with connected() as (caller, echo, _):
            await caller.send_all(raw[:cut])
            await trio.testing.wait_all_tasks_blocked()
            await caller.send_all(raw[cut:])
            data = await read_all(caller)
        assert statuses(data) == [200, 200]
        assert b"POST /x hi" in data


@pytest.mark.parametrize(
    ("raw", "kept"),
    [
        (HEAD + b"\r\n", True),
        (HEAD + b"Connection: close\r\n\r\n", False),
        (b"GET /x HTTP/1.0\r\nHost: a\r\n\r\n", False),
        (
            b"POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n",
            False,
        ),
        (HEAD + b"Upgrade: h2c\r\nConnection: upgrade\r\n\r\n", False),
    ],
    ids=["keep", "close", "http-1.0", "early-answer", "upgrade"],
)
async def test_keeps_the_connection_only_where_it_is_safe(
    raw, kept, autojump_clock
):
    async with connected() as (caller, _, connection):
        await caller.send_all(raw)
        data = await read_all(caller)
        assert len(statuses(data)) == 1
        assert (b"Connection: close" in data) is not kept
        if kept:
            await caller.send_all(raw)
            assert statuses(await read_all(caller)) == [200]


OFFERS = {
    "none": b"",
    "h2c": b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n",
    "lower": b"connection: upgrade\r\nupgrade: websocket\r\n",
    "twice": b"Upgrade: a\r\nUpgrade: b\r\nConnection: upgrade\r\n",
    "unnamed": b"Upgrade: h2c\r\n",
    "closing": b"Connection: close, upgrade\r\nUpgrade: h2c\r\n",
}


# Guards against requests that run without their body, as the parser takes them
# for complete at the end of a header that offers another protocol.
@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("method", [b"POST", b"GET", b"PUT"])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("piece", [1, 50, 10_000])
async def test_a_request_that_offers_an_upgrade_keeps_its_body(
    autojump_clock, offer, method, chunked, piece
):
    content = bytes(range(97, 107)) * 30
    framing, body = b"Content-Length: 300\r\n", content
    if chunked:
        framing = b"Transfer-Encoding: chunked\r\n"
        body = b"c8\r\n%b\r\n64\r\n%b\r\n0\r\n\r\n"
        body %= content[:200], content[200:]
    raw = b"%b /x HTTP/1.1\r\nHost: a\r\n" % method
    raw += OFFERS[offer] + framing + b"\r\n" + body
    async with connected() as (caller, echo, _):
        for start in range(0, len(raw), piece):
            await caller.send_all(raw[start : start + piece])
            await trio.testing.wait_all_tasks_blocked()
        data = await read_all(caller)
    assert statuses(data) == [200]
    assert [request.method for request in echo.requests] == [method]
    assert content in data


# Guards against a tunnel that is answered as a request without a body.
async def test_a_tunnel_is_refused_and_its_body_not_read(autojump_clock):
    raw = b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
    async with connected() as (caller, echo, _):
        await caller.send_all(raw + HEAD + b"\r\n")
        data = await read_all(caller)
    assert statuses(data) == [400]
    assert echo.requests == []


@pytest.mark.parametrize("after", [HEAD + b"\r\n", b"\x00\x81other", POST])
async def test_nothing_is_read_after_a_request_that_offers_an_upgrade(
    autojump_clock, after
):
    raw = POST + OFFERS["h2c"] + b"Content-Length: 2\r\n\r\nhi"
    async with connected() as (caller, echo, connection):
        await caller.send_all(raw + after)
        data = await read_all(caller)
    assert statuses(data) == [200]
    assert b"Connection: close" in data
    assert connection.parser.broken
    assert [request.method for request in echo.requests] == [b"POST"]


async def test_continues_only_when_the_caller_waits(autojump_clock):
    raw = POST + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    async with connected() as (caller, _, _):
        await caller.send_all(raw)
        assert b"100 Continue" in await read_all(caller)
        await caller.send_all(b"hi")
        assert b"POST /x hi" in await read_all(caller)


async def test_a_half_closed_caller_gets_its_answer(autojump_clock):
    async with connected() as (caller, _, _):
        await caller.send_all(HEAD + b"\r\n")
        await caller.send_eof()
        assert statuses(await read_all(caller)) == [200]


async def test_a_lost_caller_cancels_its_request(autojump_clock):
    async with connected() as (caller, echo, connection):
        await caller.send_all(b"GET /sleep HTTP/1.1\r\nHost: a\r\n\r\n")
        await trio.testing.wait_all_tasks_blocked()
        connection.abort()
        await trio.testing.wait_all_tasks_blocked()
        assert echo.cancelled == 1


async def test_streams_an_answer_of_unknown_length(autojump_clock):
    async with connected() as (caller, _, _):
        await caller.send_all(b"GET /chunks HTTP/1.1\r\nHost: a\r\n\r\n")
        data = await read_all(caller)
    assert data.endswith(b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n")


async def test_a_cut_answer_never_ends_cleanly(autojump_clock):
    async with connected() as (caller, _, _):
        await caller.send_all(b"GET /cut HTTP/1.1\r\nHost: a\r\n\r\n")
        data = await read_all(caller)
    assert b"Content-Length: 9" in data
    assert data.endswith(b"ab")


@pytest.mark.parametrize(
    ("header", "seconds"),
    [(b"x-deadline-ms: 500\r\n", 0.5), (b"", SETTINGS.max_deadline_seconds)],
)
async def test_a_body_that_drips_is_awaited_until_its_deadline(
    header, seconds, autojump_clock
):
    async with connected() as (caller, echo, connection):
        started = trio.current_time()
        await caller.send_all(POST + header + b"Content-Length: 100\r\n\r\n")
        data = None
        for _ in range(99):
            await caller.send_all(b"x")
            with trio.move_on_after(min(seconds / 40, 50)):
                data = await read_all(caller, seconds)
            if data is not None:
                break
        assert b"cannot-meet-deadline" in data
        assert b"x-outcome: not-run" in data
        assert b"retry-after: 0" in data
        assert not echo.requests
        assert trio.current_time() - started <= seconds * 1.1


async def test_hop_by_hop_fields_do_not_pass(autojump_clock):
    raw = HEAD + (
        b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
        b"Keep-Alive: 5\r\nX-End: 2\r\n\r\n"
    )
    async with connected() as (caller, echo, _):
        await caller.send_all(raw)
        await read_all(caller)
    names = {header.name for header in echo.requests[0].headers}
    assert names == {b"host", b"x-end"}


@pytest.mark.parametrize("sent", [b"", b"GET /x HT"], ids=["idle", "in-head"])
async def test_a_quiet_connection_is_closed(sent, autojump_clock):
    async with connected() as (caller, _, _):
        await caller.send_all(sent or HEAD + b"\r\n")
        data = await read_all(caller, seconds=1000)
        assert statuses(data) == ([200] if not sent else [])


@pytest.mark.parametrize("busy", [False, True])
async def test_closes_politely(busy, autojump_clock):
    async with connected() as (caller, _, connection):
        await caller.send_all(HEAD + b"\r\n" if not busy else HEAD)
        if not busy:
            assert statuses(await read_all(caller)) == [200]
        else:
            await trio.testing.wait_all_tasks_blocked()
        connection.close_gracefully()
        await caller.send_all(b"\r\n" if busy else b"")
        data = await read_all(caller)
        assert statuses(data) == ([200] if busy else [])
        assert (b"Connection: close" in data) is busy
