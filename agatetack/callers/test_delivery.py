"""Check when a connection that ends counts as delivered, over real sockets."""

import math
import socket

import pytest
import trio
import trio.testing

from agatetack.callers.delivery import Evidence
from agatetack.callers.test_server import REQUEST, SETTINGS, serving
from agatetack.ids import Deadline
from agatetack.settings.defaults import default_settings

NEVER = Deadline(math.inf)
LONG_AGO = Deadline(-math.inf)

END_MEANS_GONE = default_settings(
    callers={
        "listen": {"ip": "127.0.0.1", "port": 0},
        "end_means_gone": True,
    }
)


async def ask(server, port, carried_by, ends=False):
    """Get an answer on a new connection; return both of its ends."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    # Without a step in between, in which the server could answer.
    stream.socket._sock.send(REQUEST)
    if ends:
        stream.socket._sock.shutdown(socket.SHUT_WR)
    assert b" 200 " in await stream.receive_some(4096)
    (connection,) = server.connections
    await trio.testing.wait_all_tasks_blocked()
    if carried_by is not None:
        connection.delivery.carried_by = carried_by
    return stream, connection


def stop(server):
    server.stop_accepting()
    server.close_idle()


async def wait_for_end_of_stream(stream):
    with trio.fail_after(5):
        while await stream.receive_some(4096):
            pass


async def wait_until_over(server):
    with trio.fail_after(5):
        await server.ended.wait()


# Guards against a connection that closes as the next machine has all bytes,
# while its caller has not shown that it has them.
@pytest.mark.parametrize("crossing", [b"", REQUEST])
async def test_a_connection_is_kept_until_its_caller_ends_it(crossing):
    async with serving(settings=END_MEANS_GONE) as (server, port):
        stream, connection = await ask(server, port, NEVER)
        stop(server)
        await wait_for_end_of_stream(stream)
        # Bytes that cross the end of the stream stay unread.
        await stream.send_all(crossing)
        for _ in range(5):
            await trio.sleep(0.02)
            assert connection in server.connections
        assert connection.delivery.evidence() is Evidence.ACKNOWLEDGED
        await stream.aclose()
        await wait_until_over(server)


# Guards against a host that waits for callers that keep their connections,
# though a slow link has carried all that was sent to them.
async def test_a_caller_that_never_ends_is_assumed_to_have_its_answer():
    async with serving() as (server, port):
        stream, connection = await ask(server, port, LONG_AGO)
        assert connection.delivery.evidence() is Evidence.ASSUMED
        stop(server)
        await wait_until_over(server)
        await stream.aclose()


# Guards against the end of a caller's requests being taken for the sign that it
# has the last answer, where callers may end their side before.
@pytest.mark.parametrize("ends_first", [False, True])
async def test_the_end_of_requests_shows_nothing_before_an_answer_is_carried(
    ends_first,
):
    settings = default_settings(
        callers={
            "listen": {"ip": "127.0.0.1", "port": 0},
            "slowest_link_bytes_per_second": 1,
        }
    )
    async with serving(settings=settings) as (server, port):
        stream, connection = await ask(server, port, None, ends_first)
        if not ends_first:
            await stream.send_eof()
        await trio.sleep(0.1)
        assert connection in server.connections
        assert connection.delivery.evidence() is Evidence.ACKNOWLEDGED
        connection.delivery.carried_by = LONG_AGO
        assert connection.delivery.evidence() is Evidence.CALLER_END
        await stream.aclose()


# Guards against a drain that fails as a caller has not ended its side, and
# against one that succeeds as bytes are not acknowledged.
@pytest.mark.parametrize(("left_bytes", "returns"), [(0, True), (1, False)])
async def test_a_drain_ends_without_the_ends_of_callers(left_bytes, returns):
    async with serving() as (server, port):
        stream, connection = await ask(server, port, NEVER)
        stop(server)
        await wait_for_end_of_stream(stream)
        with trio.fail_after(5):
            while not connection.delivering or connection.delivery.look():
                await trio.sleep(0.01)
        connection.delivery.look = lambda: left_bytes
        with trio.move_on_after(0.2) as scope:
            await server.wait_delivered(Deadline(trio.current_time()))
        assert scope.cancelled_caught is not returns
        await stream.aclose()


# Guards against a wait that grows with all the bytes of a long connection, of
# which relays can hold only the last.
async def test_only_what_relays_may_hold_counts():
    async with serving() as (server, port):
        stream, connection = await ask(server, port, LONG_AGO)
        delivery = connection.delivery
        rate = int(SETTINGS.callers.slowest_link_bytes_per_second)
        now = trio.current_time()
        delivery.note_sent(rate)
        delivery.note_sent(rate)
        assert delivery.carried_by == pytest.approx(now + 2, abs=0.5)
        delivery.note_sent(1 << 30)
        assert delivery.carried_by < now + 10
        await stream.aclose()


# Guards against callers that are turned away, as others keep connections that
# their host has ended.
async def test_connections_that_only_wait_for_their_callers_give_way():
    settings = default_settings(
        callers={
            "listen": {"ip": "127.0.0.1", "port": 0},
            "slowest_link_bytes_per_second": 1,
            "max_connections": 2,
        }
    )
    request = REQUEST[:-2] + b"Connection: close\r\n\r\n"
    async with serving(settings=settings) as (server, port):
        kept = []
        for _ in range(6):
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            kept.append(stream)
            await stream.send_all(request)
            answer = b""
            with trio.fail_after(5):
                while data := await stream.receive_some(4096):
                    answer += data
            assert b" 200 " in answer
            # The acknowledgement of the stream's end may still be on the way.
            await trio.sleep(0.05)
        assert len(server.connections) <= 2
        for stream in kept:
            await stream.aclose()
