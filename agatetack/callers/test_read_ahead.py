"""Test connections on which many requests are read ahead."""

import pytest
import trio
import trio.testing

from agatetack.callers.read_ahead import (
    MAX_READ_AHEAD_REQUESTS,
    ReadAheadConnection,
)
from agatetack.callers.test_connection import Echo, statuses
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
            data += await stream.receive_some(300 if pause else None)
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
