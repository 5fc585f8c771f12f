"""Check that any bytes from a caller lead to valid answers only."""

import re

import hypothesis
import trio
import trio.testing
from hypothesis import strategies

from agatetack.callers.connection import CallerConnection
from agatetack.callers.streamed_body import KeptBodies
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
STREAMING = SETTINGS.copy_with({"stream_body_bytes": 1})


def without_ids(answers):
    """Return answers without the ids that the host made for requests."""
    return re.sub(rb'(x-request-id: |"request_id":")[^"\r]*', b"", answers)


STREAMS = strategies.lists(PIECES | strategies.binary(max_size=20), max_size=14)


async def feed(parts, settings=SETTINGS):
    """Return what the caller gets for `parts`, sent one after the other."""
    caller, ours = trio.testing.memory_stream_pair()
    kept = KeptBodies(settings, Metrics())
    connection = CallerConnection(
        ours, "127.0.0.1", settings, Echo(), Metrics(), kept
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
    # Whatever came, no memory for bodies is left in use.
    assert kept.used == 0
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


@FEW
@hypothesis.given(STREAMS)
def test_any_bytes_of_streamed_bodies_end_in_the_same_answers(parts):
    """Guards against bodies that differ by how they are read."""
    answers = []
    for settings in (SETTINGS, STREAMING):
        clock = trio.testing.MockClock(autojump_threshold=0)
        answers.append(trio.run(feed, parts, settings, clock=clock))
    assert without_ids(answers[0]) == without_ids(answers[1])
