"""Test what failed calls report, using a server with injected faults."""

import contextlib
import errno
import functools
import importlib.abc
import socket
import sys

import pytest
import trio

from agatetack.http_call import (
    CallFailed,
    PlatformClient,
    PlatformRequest,
)
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import Endpoint
from agatetack.streams import LINGER_NONE
from agatetack.testing.fake_target import FakeTarget

TRY_SECONDS = 0.1
PATIENCE_SECONDS = 5
HUGE_BODY = b"x" * (32 << 20)
"""More than the kernel buffers while the other end doesn't read."""


@pytest.fixture
async def server(nursery):
    fake = FakeTarget(default_settings())
    await nursery.start(fake.serve)
    return fake


def make_client(server: FakeTarget) -> PlatformClient:
    endpoint = Endpoint(ip="127.0.0.1", port=server.port)
    return PlatformClient(endpoint, PATIENCE_SECONDS)


async def call(
    client: PlatformClient,
    path: str = "/a",
    seconds: float = PATIENCE_SECONDS,
    body: bytes = b"",
) -> bytes:
    deadline = trio.current_time() + seconds
    reply = await client.call(PlatformRequest("POST", path, deadline, body))
    return reply.body


FAILURES = (
    ("refused", {}, "/a", b"", False),
    ("frozen", {"frozen": True}, "/a", b"", True),
    ("blocked write", {"frozen": True}, "/a", HUGE_BODY, True),
    ("lost answer", {"answer_lost": True}, "/a", b"", True),
    ("cut", {"cut_after_bytes": 3}, "/a", b"", True),
    ("reset", {"cut_after_bytes": 3, "clean_cut": False}, "/a", b"", True),
    ("too long", {}, "/export?bytes=2000000", b"", True),
)


@pytest.mark.parametrize(
    ("name", "faults", "path", "body", "sent"),
    FAILURES,
    ids=[failure[0] for failure in FAILURES],
)
async def test_failure_tells_whether_sent(
    server, name, faults, path, body, sent
):
    client = make_client(server)
    for fault, value in faults.items():
        setattr(server.faults, fault, value)
    if name == "refused":
        server.refuse()
        await trio.testing.wait_all_tasks_blocked()
    seconds = TRY_SECONDS if server.faults.frozen else PATIENCE_SECONDS
    with pytest.raises(CallFailed) as caught:
        await call(client, path, seconds, body)
    assert caught.value.sent is sent
    # Requests are never retried.
    assert len(server.executed) <= 1


async def test_one_silent_connection_makes_its_siblings_suspect(server):
    client = make_client(server)
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(call, client, "/a?service_ms=20")
    assert server.accepted == 3
    await call(client)
    assert server.accepted == 3
    server.silence()
    with pytest.raises(CallFailed):
        await call(client, seconds=TRY_SECONDS)
    await call(client)
    assert server.accepted == 4


async def test_a_suspect_pool_lets_open_calls_end(server):
    client = make_client(server)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(call, client, "/a?service_ms=300")
        await call(client)
        server.faults.slow_factor = 1000
        with pytest.raises(CallFailed):
            await call(client, "/b?service_ms=1", seconds=TRY_SECONDS)
        server.faults.slow_factor = 1
        await call(client)
        assert len(server.connections) >= 2
    await trio.testing.wait_all_tasks_blocked()
    assert len(server.connections) == 1


# Guards against a host that ends where it can't load the client of the store.
@pytest.mark.parametrize(
    "error",
    [OSError(errno.EMFILE, "Too many open files"), ModuleNotFoundError("no")],
)
async def test_a_library_that_cannot_be_loaded_fails_the_call(
    server, monkeypatch, error
):
    class Unloadable(importlib.abc.MetaPathFinder):
        def find_spec(self, name, path, target=None):
            if name == "httpcore":
                raise error

    client = make_client(server)
    with monkeypatch.context() as patch:
        patch.delitem(sys.modules, "httpcore", raising=False)
        patch.setattr(sys, "meta_path", [Unloadable(), *sys.meta_path])
        with pytest.raises(CallFailed) as failed:
            await call(client)
        assert not failed.value.sent
    await call(client)
    await client.aclose()


OK = b"HTTP/1.1 200 OK\r\n"
REPLY = OK + b"content-length: 10\r\n\r\n0123456789"
CHUNKS = (
    OK + b"transfer-encoding: chunked\r\n\r\n5\r\n01234\r\n0\r\nx: y\r\n\r\n"
)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_LENGTH = OK + b"\r\n01234"


@contextlib.asynccontextmanager
async def raw_server(content, reset, read_all=True):
    """Run a server that sends bytes for each request and then closes."""

    async def serve(stream):
        data = await stream.receive_some()
        while read_all and b"\r\n\r\n" not in data:
            data += await stream.receive_some()
        await stream.send_all(content)
        await trio.sleep(0.01)
        if reset:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)

    async with trio.open_nursery() as nursery:
        serve_all = functools.partial(
            trio.serve_tcp, serve, 0, host="127.0.0.1"
        )
        listeners = await nursery.start(serve_all)
        port = listeners[0].socket.getsockname()[1]
        client = PlatformClient(
            Endpoint(ip="127.0.0.1", port=port), PATIENCE_SECONDS
        )
        yield client
        await client.aclose()
        nursery.cancel_scope.cancel()


# Guards against a part of a reply that counts as the reply.
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    "content",
    [REPLY, CHUNKS, INTERIM + REPLY],
    ids=["length", "chunks", "interim"],
)
async def test_a_cut_reply_is_none(content, reset):
    for end in range(0, len(content), 3):
        async with raw_server(content[:end], reset) as client:
            with pytest.raises(CallFailed) as caught:
                await call(client)
            assert caught.value.sent


# Guards against a part of a reply without a length that counts as the reply, as
# the reset behind it was met by the next read or by sending the request.
@pytest.mark.parametrize("body", [b"", HUGE_BODY], ids=["read", "send"])
async def test_a_reset_ends_no_reply_without_length(body):
    async with raw_server(NO_LENGTH, True, read_all=False) as client:
        with pytest.raises(CallFailed) as caught:
            await call(client, body=body)
        assert caught.value.sent


async def test_a_reply_without_length_ends_with_its_connection():
    async with raw_server(NO_LENGTH, False) as client:
        assert await call(client) == b"01234"
