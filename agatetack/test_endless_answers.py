"""Test that bytes without end of a target end at a bound of this host.

Each case guards against a target that sends for as long as its connection
stands: it must cost neither memory nor time after the caller's deadline.
"""

import pytest
import trio

from agatetack.testing.fake_target import FakeTargetOptions
from agatetack.testing.store_fleet import LOOPBACK, route_fields, store_fleet
from agatetack.testing.target_faults import EndlessBytes

PATIENCE_SECONDS = 8.0
"""Ends a test; deadlines here are below one second."""

TIMEOUT_MS = 500

PART = b"x" * 16_000
OWN = b"request-id: r1\r\nserver-signature: s\r\n"
STATUS = b"HTTP/1.1 200 OK\r\n" + OWN
OTHER = (
    b"HTTP/1.1 200 OK\r\nrequest-id: another\r\ncontent-length: 16000\r\n\r\n"
    + PART
)
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(PART), PART)

MODES = {
    "body until the end": EndlessBytes(STATUS + b"\r\n", PART),
    "chunks": EndlessBytes(STATUS + CHUNKED, CHUNK),
    "huge length": EndlessBytes(
        STATUS + b"content-length: 100000000000000\r\n\r\n", PART
    ),
    "slow body": EndlessBytes(STATUS + b"\r\n", b"x" * 10, 0.05),
    "failure": EndlessBytes(b"HTTP/1.1 500 No\r\n" + OWN + b"\r\n", PART),
    "other answers": EndlessBytes(b"", OTHER),
    "slow other answers": EndlessBytes(b"", OTHER[:-15_990], 0.05),
    "interim answers": EndlessBytes(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header": EndlessBytes(STATUS, b"name: value\r\n"),
    "slow header": EndlessBytes(STATUS, b"n: v\r\n", 0.05),
    "trailers": EndlessBytes(STATUS + CHUNKED + b"0\r\n", b"name: value\r\n"),
    "chunk extension": EndlessBytes(STATUS + CHUNKED + b"1;", b"a=b;" * 100),
}

ROUTES = {
    "idempotent": ("GET", "/a/x"),
    "non_idempotent": ("POST", "/b/x"),
    "download": ("GET", "/c/x"),
}

FAILURES = (b"HTTP/1.1 502", b"HTTP/1.1 504")


def routes():
    return [
        route_fields(
            name=f"route-{number}",
            path_prefix=path[:3],
            route_type=kind,
            timeout="20s",
        )
        for number, (kind, (_, path)) in enumerate(ROUTES.items())
    ]


class Reader:
    """One caller that reads whatever comes."""

    def __init__(self, stream):
        self.stream = stream
        self.head = b""
        self.count = 0
        self.was_reset = False

    async def read(self):
        try:
            while data := await self.stream.receive_some(1 << 16):
                if b"\r\n\r\n" not in self.head:
                    self.head += data
                self.count += len(data)
        except trio.BrokenResourceError:
            self.was_reset = True


async def ask(fleet, method, path, timeout_ms=TIMEOUT_MS):
    stream = await trio.open_tcp_stream(LOOPBACK, fleet.ports[0].callers)
    body = "Content-Length: 0\r\n" if method == "POST" else ""
    request = (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n"
        f"Request-Timeout-Ms: {timeout_ms}\r\nConnection: close\r\n{body}\r\n"
    )
    await stream.send_all(request.encode())
    reader = Reader(stream)
    async with stream:
        with trio.fail_after(PATIENCE_SECONDS):
            await reader.read()
    return reader


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("kind", ROUTES)
async def test_an_endless_answer_ends_with_a_reset_or_a_failure(mode, kind):
    async with store_fleet(*routes(), targets=1) as fleet:
        target = fleet.targets[0]
        target.faults.endless = MODES[mode]
        reader = await ask(fleet, *ROUTES[kind])
        if reader.was_reset:
            assert reader.head.startswith(MODES[mode].first[:12])
        else:
            # The request has run, so that no answer may say "not run".
            assert reader.head.startswith(FAILURES)
            assert b"x-outcome: not-run" not in reader.head.lower()
        await fleet.until(lambda: not target.in_flight)
        await fleet.until(
            lambda: all(not each.busy for each in target.connections)
        )


# Guards against downloads that end before their last byte, as their caller
# named a deadline for the first one.
async def test_a_steady_download_of_known_length_outlasts_its_deadline():
    options = FakeTargetOptions(service_seconds=0.0)
    async with store_fleet(*routes(), targets=1, options=options) as fleet:
        fleet.targets[0].faults.bytes_per_second = 2_000_000
        size = 2_000_000
        path = f"/export?bytes={size}"
        await fleet.configure(
            2, route_fields(path_prefix="/", route_type="download")
        )
        reader = await ask(fleet, "GET", path, timeout_ms=300)
        assert not reader.was_reset
        assert reader.count > size


# Guards against a route's timeout that does not bind an answer once it began.
@pytest.mark.parametrize("kind", ["idempotent", "download"])
async def test_the_timeout_of_a_route_ends_a_body(kind):
    route = route_fields(path_prefix="/", route_type=kind, timeout="500ms")
    async with store_fleet(route, targets=1) as fleet:
        fleet.targets[0].faults.bytes_per_second = 200_000
        path = "/export?bytes=4000000"
        reader = await ask(fleet, "GET", path, timeout_ms=7000)
        assert reader.was_reset
        assert reader.count < 4_000_000
