"""Test that no part of a target's answer reaches a caller as a whole one.

Each case guards against a caller that gets a 2xx with an empty or short body,
framed as whole, because the target's answer was cut in its head or body.
"""

import dataclasses
import itertools
import socket

import httptools
import pytest
import trio

from agatetack.streams import LINGER_NONE
from agatetack.testing.raw_target import RawTarget
from agatetack.testing.store_fleet import (
    LOOPBACK,
    REGISTRATIONS,
    registration,
    route_fields,
    store_fleet,
)
from agatetack.testing.target_faults import ConnectionEnd, RawAnswer

PATIENCE_SECONDS = 10.0
"""Ends a test; deadlines here are 0.5 s."""

TIMEOUT_MS = 500
PART_BYTES = 10_000

ROUTES = {
    "idempotent": ("GET", "/a/x"),
    "non_idempotent": ("POST", "/b/x"),
    "download": ("GET", "/c/x"),
}

PROMISES = (408, 421, 429, 503)
"""Statuses that promise callers that the request was not run."""

OK = b"HTTP/1.1 200 OK\r\n"
OWN = b"request-id: r1\r\nserver-signature: s\r\n"
OTHER = b"request-id: r0\r\nserver-signature: s\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
LENGTH = b"content-length: 10\r\n\r\n"
CONTENT = b"0123456789"
WHOLE = OK + OWN + LENGTH + CONTENT
FAILED = b"HTTP/1.1 500 No\r\n" + OWN + b"content-length: 2\r\n\r\nno"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"
CHUNKS = OK + OWN + CHUNKED + b"a\r\n" + CONTENT + b"\r\n"
LONG = b"x-long: " + b"y" * 200_000


BOTH = (ConnectionEnd.ORDERLY, ConnectionEnd.RESET)


def cuts(*parts: bytes, ends=BOTH) -> list[RawAnswer]:
    return [RawAnswer(parts, end) for end in ends]


CUTS = {
    "nothing": cuts(),
    "status line": cuts(b"HTTP/1.1 200 O"),
    "status line without its end": cuts(OK[:-1]),
    "field name": cuts(OK + b"request-"),
    "field value": cuts(OK + b"request-id: r"),
    "last field": cuts(OK + OWN + b"content-length: 1"),
    "between fields": cuts(OK + OWN),
    "last line": cuts(OK + OWN + LENGTH[:-1]),
    "in two parts": cuts(OK + OWN[:5], OWN[5:] + b"content-len"),
    "no body": cuts(OK + OWN + LENGTH),
    "part of the body": cuts(OK + OWN + LENGTH, CONTENT[:9]),
    "HTTP/1.0 in its head": cuts(b"HTTP/1.0 200 OK\r\n" + OWN),
    "HTTP/1.0 reset": cuts(
        b"HTTP/1.0 200 OK\r\n" + OWN + b"\r\n012", ends=[ConnectionEnd.RESET]
    ),
    "no length, in its head": cuts(OK + OWN + b"connection: close\r\n"),
    "no length, reset": cuts(OK + OWN + b"\r\n012", ends=[ConnectionEnd.RESET]),
    "no length, reset at once": cuts(
        OK + OWN + b"\r\n", ends=[ConnectionEnd.RESET]
    ),
    "100 alone": cuts(CONTINUE),
    "in a 100": cuts(CONTINUE[:15]),
    "in a field of a 103": cuts(HINTS[:30]),
    "before the last line of a 103": cuts(HINTS[:-2]),
    "between two": cuts(CONTINUE + HINTS),
    "after a 103, in the head": cuts(HINTS + OK + OWN),
    "after a 100, in the body": cuts(CONTINUE + OK + OWN + LENGTH + b"0"),
    "a 100 and a final head run together": cuts(CONTINUE[:15] + WHOLE),
    "a 103 and a final head run together": cuts(HINTS[:30] + WHOLE),
    "another answer in its head": cuts(OK + OTHER),
    "another answer in its body": cuts(OK + OTHER + LENGTH + b"0"),
    "the head after another answer": cuts(WHOLE.replace(OWN, OTHER) + OK + OWN),
    "the body after another answer": cuts(
        WHOLE.replace(OWN, OTHER) + OK + OWN + LENGTH + b"0"
    ),
    "a status line and a failure run together": cuts(OK[:14] + FAILED),
    "a field and a failure run together": cuts(OK + b"x-a: b" + FAILED),
    "a field and an answer run together": cuts(OK + b"x-a: b" + WHOLE),
    "another body and an answer run together": cuts(
        OK + OTHER + LENGTH + b"0" + WHOLE
    ),
    "head over the limit": cuts(
        OK + OWN + LONG, ends=[*BOTH, ConnectionEnd.NONE]
    ),
    "head and body over the limit": cuts(
        OK + OWN + LONG + b"\r\n" + LENGTH + CONTENT
    ),
    "line without an end": cuts(OK + OWN + b"x", ends=[ConnectionEnd.NONE]),
    "folded length": cuts(
        OK + OWN + b"content-length: 1\r\n 0\r\n\r\n" + CONTENT
    ),
    "folded field": cuts(OK + OWN + b"x-a: b\r\n c\r\n" + LENGTH + CONTENT),
    "half a line": cuts(OK + OWN + b"content-len\r\n\r\n" + CONTENT),
    "line feeds alone": cuts(
        (OK + OWN + LENGTH).replace(b"\r", b"") + CONTENT[:5]
    ),
    "chunked, no chunk": cuts(OK + OWN + CHUNKED),
    "chunk size": cuts(OK + OWN + CHUNKED + b"a"),
    "chunk extension": cuts(OK + OWN + CHUNKED + b"a;b=c"),
    "chunk": cuts(OK + OWN + CHUNKED + b"a\r\n" + CONTENT[:5]),
    "after a chunk": cuts(CHUNKS),
    "size of the last chunk": cuts(CHUNKS + b"0"),
    "line of the last chunk": cuts(CHUNKS + b"0\r\n"),
    "end of the last chunk": cuts(CHUNKS + b"0\r\n\r"),
    "trailer name": cuts(CHUNKS + b"0\r\nx-a"),
    "after a trailer": cuts(CHUNKS + b"0\r\nx-a: b\r\n"),
    "chunk size too small": cuts(OK + OWN + CHUNKED + b"5\r\n" + CONTENT),
    "chunked twice": cuts(CHUNKS.replace(CHUNKED, CHUNKED[:-2] + CHUNKED)),
    "chunked with a length": cuts(
        CHUNKS.replace(CHUNKED, CHUNKED[:-2] + LENGTH) + b"0\r\n\r\n"
    ),
    "two lengths": cuts(
        OK + OWN + b"content-length: 5\r\n" + LENGTH + CONTENT[:5]
    ),
    "one length twice": cuts(OK + OWN + b"content-length: 10\r\n" + LENGTH),
    "a list of lengths": cuts(
        OK + OWN + b"content-length: 10, 10\r\n\r\n" + CONTENT[:5]
    ),
}


@dataclasses.dataclass(slots=True)
class Got:
    """What a caller got; the methods are called by httptools.

    Attributes:
        status: The status of the final answer, or 0.
        body: Its body.
        head: Its head, in lower case.
        whole: Whether it is whole by its framing.
        reset: Whether the connection was reset.
    """

    status: int = 0
    body: bytes = b""
    head: bytes = b""
    begun: bool = False
    whole: bool = False
    reset: bool = False

    def on_headers_complete(self):
        self.begun = True

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.whole = True

    def is_success(self):
        """Return whether the caller takes it for a whole success."""
        return self.whole and 200 <= self.status < 300


def read(data: bytes, was_reset: bool, method: str) -> Got:
    """Return what a caller makes of the bytes that it got."""
    got = Got(reset=was_reset, head=data.partition(b"\r\n\r\n")[0].lower())
    parser = httptools.HttpResponseParser(got)
    parser.feed_data(data)
    if not got.begun:
        return got
    got.status = parser.get_status_code()
    framed = b"content-length" in got.head or b"transfer-enc" in got.head
    if method == "HEAD" or not framed:
        got.whole = method == "HEAD" or not was_reset
    return got


async def ask(fleet, method, path, version="1.1", body=b""):
    stream = await trio.open_tcp_stream(LOOPBACK, fleet.ports[0].callers)
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    request = (
        f"{method} {path} HTTP/{version}\r\nHost: a.example\r\n"
        f"Request-Id: r1\r\nRequest-Timeout-Ms: {TIMEOUT_MS}\r\n"
        f"Connection: close\r\n{length}\r\n"
    )
    data, was_reset = b"", False
    async with stream:
        with trio.fail_after(PATIENCE_SECONDS):
            try:
                await stream.send_all(request.encode())
                for start in range(0, len(body), PART_BYTES):
                    await stream.send_all(body[start : start + PART_BYTES])
                    await trio.sleep(0.01)
                while part := await stream.receive_some():
                    data += part
            except trio.BrokenResourceError:
                was_reset = True
    return read(data, was_reset, method)


def routes():
    return [
        route_fields(
            name=f"route-{number}", path_prefix=path[:3], route_type=kind
        )
        for number, (kind, (_, path)) in enumerate(ROUTES.items())
    ]


@pytest.mark.parametrize("name", CUTS)
async def test_a_part_of_an_answer_never_looks_whole(name):
    async with store_fleet(*routes(), targets=1) as fleet:
        target = fleet.targets[0]
        for cut, kind in itertools.product(CUTS[name], ROUTES):
            target.faults.raw_answer = cut
            target.executed.clear()
            got = await ask(fleet, *ROUTES[kind])
            case = (kind, cut.end, got)
            assert target.executed, case
            assert not got.is_success(), case
            assert got.status not in PROMISES, case
            assert b"not-executed" not in got.head, case
            assert kind != "non_idempotent" or len(target.executed) == 1, case


VERSIONS = {
    "no length": OK + OWN + b"\r\n" + CONTENT[:5],
    "length": OK + OWN + LENGTH + CONTENT[:5],
    "chunks": CHUNKS,
}


# Guards against callers of HTTP/1.0, for whom the end of their connection ends
# an answer without a length.
@pytest.mark.parametrize("name", VERSIONS)
@pytest.mark.parametrize("kind", ROUTES)
async def test_a_caller_of_http_1_0_gets_no_part_as_whole(name, kind):
    async with store_fleet(*routes(), targets=1) as fleet:
        target = fleet.targets[0]
        target.faults.raw_answer = RawAnswer(
            (VERSIONS[name],), ConnectionEnd.RESET
        )
        got = await ask(fleet, *ROUTES[kind], version="1.0")
        assert target.executed
        assert not got.is_success(), got
        assert got.status not in PROMISES, got


CUT_HEADS = [
    name
    for name, cut in CUTS.items()
    if b"\r\n\r\n" not in b"".join(cut[0].parts) or "together" in name
]


# Guards against answers to HEAD whose head is cut.
@pytest.mark.parametrize("name", CUT_HEADS)
async def test_a_cut_head_is_no_answer_to_head(name):
    async with store_fleet(*routes(), targets=1) as fleet:
        target = fleet.targets[0]
        for cut in CUTS[name]:
            target.faults.raw_answer = cut
            target.executed.clear()
            got = await ask(fleet, "HEAD", "/a/x")
            assert target.executed, (cut.end, got)
            assert not got.is_success(), (cut.end, got)
            assert got.status not in PROMISES, (cut.end, got)


class EarlyAnswer:
    """Serves connections: answers before an upload is read, then resets.

    Attributes:
        uploads: Uploads that it answered.
    """

    uploads = 0

    async def __call__(self, stream, number):
        while data := await stream.receive_some():
            if data.startswith(b"GET /load "):
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\ninstance-id: raw-1\r\n"
                    b"server-load: 0,0,4,100\r\ncontent-length: 0\r\n\r\n"
                )
                continue
            self.uploads += 1
            await stream.send_all(OK + OWN + b"\r\n" + CONTENT[:5])
            await trio.sleep(0.02)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            return


# Guards against the part of an answer without a length that counts as whole,
# as only the upload behind it meets the reset.
async def test_a_reset_during_an_upload_cuts_its_answer():
    async with store_fleet(*routes(), targets=1) as fleet:
        early = EarlyAnswer()
        target = RawTarget(early)
        await fleet.nursery.start(target.serve)
        fleet.store.append(REGISTRATIONS, "raw-1", registration(target))
        fleet.store.append(REGISTRATIONS, fleet.targets[0].instance, b"")
        registry = fleet.gateways[0].registry
        await fleet.until(lambda: list(registry.by_id) == ["raw-1"])
        got = await ask(fleet, "POST", "/b/x", body=b"x" * 200_000)
        assert early.uploads == 1, got
        assert not got.is_success(), got
        assert got.status not in PROMISES, got


LARGE = bytes(range(250)) * 6_000
"""More than a host holds until it is whole."""

TAGGED = OK + OWN + b'etag: "a"\r\ncontent-length: %d\r\n\r\n' % len(LARGE)


def partial(first: int) -> bytes:
    """Return the head of the rest of `LARGE` from a position on."""
    return (
        b"HTTP/1.1 206 Partial\r\n%b"
        b'etag: "a"\r\ncontent-range: bytes %d-%d/%d\r\n'
        b"content-length: %d\r\n\r\n"
        % (OWN, first, len(LARGE) - 1, len(LARGE), len(LARGE) - first)
    )


HALF = len(LARGE) // 2
RESUMED = {
    "status line": (b"HTTP/1.1 206 P",),
    "range": (partial(HALF)[:110],),
    "last line": (partial(HALF)[:-2],),
    "no body": (partial(HALF),),
    "part of the body": (partial(HALF), LARGE[HALF:-1]),
    "no length": (
        partial(HALF).replace(b"content-length", b"x"),
        LARGE[HALF:-1],
    ),
    "chunked": (
        partial(HALF).replace(b"content-length", b"x")[:-2] + CHUNKED,
        b"%x\r\n%b\r\n" % (HALF - 1, LARGE[HALF:-1]),
    ),
    "whole again, in its head": (TAGGED[:-2],),
    "whole again, in its first half": (TAGGED, LARGE[:100]),
    "whole again, in its second half": (TAGGED, LARGE[:-1]),
    "a field and a whole head run together": (b"HTTP/1.1 206 P" + TAGGED,),
}


# Guards against a download that ends before its last byte as its rest is cut.
@pytest.mark.parametrize("end", BOTH)
@pytest.mark.parametrize("name", RESUMED)
async def test_a_cut_rest_of_a_download_does_not_complete_it(name, end):
    async with store_fleet(*routes(), targets=1) as fleet:
        target = fleet.targets[0]
        target.faults.raw_answer = RawAnswer(
            (TAGGED, LARGE[:HALF]), end, to_ranges=RESUMED[name]
        )
        got = await ask(fleet, *ROUTES["download"])
        assert len(target.executed) > 1
        assert not got.is_success(), (got.status, len(got.body))
        assert LARGE.startswith(got.body)


async def test_the_rest_of_a_download_completes_it():
    async with store_fleet(*routes(), targets=1) as fleet:
        fleet.targets[0].faults.raw_answer = RawAnswer(
            (TAGGED, LARGE[:HALF]), to_ranges=(partial(HALF), LARGE[HALF:])
        )
        got = await ask(fleet, *ROUTES["download"])
        assert got.is_success()
        assert got.body == LARGE


WHOLES = {
    "length": (WHOLE,),
    "two parts": (WHOLE[:30], WHOLE[30:]),
    "interim": (CONTINUE + HINTS, WHOLE),
    "chunks": (CHUNKS + b"0\r\n\r\n",),
    "trailer": (CHUNKS + b"0\r\nx-a: b\r\n\r\n",),
    "no length": (OK + OWN + b"\r\n" + CONTENT,),
    "HTTP/1.0": (b"HTTP/1.0 200 OK\r\n" + OWN + b"\r\n" + CONTENT,),
    "after another answer": (WHOLE.replace(OWN, OTHER), WHOLE),
}


# Guards against checks that take whole answers for cut ones.
@pytest.mark.parametrize("name", WHOLES)
@pytest.mark.parametrize("kind", ROUTES)
async def test_a_whole_answer_is_whole(name, kind):
    async with store_fleet(*routes(), targets=1) as fleet:
        fleet.targets[0].faults.raw_answer = RawAnswer(WHOLES[name])
        got = await ask(fleet, *ROUTES[kind])
        assert got.is_success()
        assert got.body == CONTENT
