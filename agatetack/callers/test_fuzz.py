"""Check that any bytes from a caller lead to valid answers only."""

import hypothesis
import trio
import trio.testing
from hypothesis import strategies

from agatetack.callers.connection import CallerConnection
from agatetack.callers.test_connection import SETTINGS, Echo, statuses
from agatetack.metrics import Metrics

FEW = hypothesis.settings(max_examples=150, derandomize=True, deadline=None)

PIECES = strategies.sampled_from(
    [
        b"GET /x HTTP/1.1\r\n",
        b"POST /y?z=1 HTTP/1.1\r\n",
        b"HEAD * HTTP/1.0\r\n",
        b"CONNECT a:1 HTTP/1.1\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"Host: a\r\n",
        b"Host: [::1]:8\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 99999999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Expect: 100-continue\r\n",
        b"Upgrade: h2c\r\nConnection: upgrade\r\n",
        b"Connection: close\r\n",
        b"x-deadline-ms: 1e400\r\n",
        b"x-deadline-ms: nan\r\n",
        b"idempotency-key: \xff\r\n",
        b"x-request-id: \r\n",
        b"\r\n",
        b"abc",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b"\0",
    ]
)
STREAMS = strategies.lists(PIECES | strategies.binary(max_size=20), max_size=14)


async def feed(parts):
    """Return what the caller gets for `parts`, sent one after the other."""
    caller, ours = trio.testing.memory_stream_pair()
    connection = CallerConnection(
        ours, "127.0.0.1", SETTINGS, Echo(), Metrics()
    )
    received = b""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.serve)
        for part in parts:
            try:
                await caller.send_all(part)
            except trio.BrokenResourceError:
                break
            await trio.testing.wait_all_tasks_blocked()
        await caller.send_eof()
        with trio.fail_after(5):
            while part := await caller.receive_some():
                received += part
    return received


@FEW
@hypothesis.given(STREAMS)
def test_any_bytes_end_in_answers(parts):
    clock = trio.testing.MockClock(autojump_threshold=0)
    received = trio.run(feed, parts, clock=clock)
    assert set(statuses(received)) <= {100, 200, 400, 413, 431}
    if not received:
        # Only a request that was never complete gets no answer.
        assert b"\r\n\r\n" not in b"".join(parts).lstrip(b"\r\n")
