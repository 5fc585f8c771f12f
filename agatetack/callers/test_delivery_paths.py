"""Check the ends of connections that show less than a caller's own end."""

import math
import ssl

import pytest
import trio
import trio.testing

from agatetack.callers.delivery import Evidence
from agatetack.callers.test_connection import read_all, statuses
from agatetack.callers.test_delivery import stop
from agatetack.callers.test_server import (
    REQUEST,
    UnknownLength,
    authority,
    serving,
    tls,
    whole_answers,
    written_connections,
)
from agatetack.ids import Deadline
from agatetack.settings.defaults import default_settings
from agatetack.testing.holding_relay import HoldingRelay
from agatetack.testing.narrow_stream import open_narrow_stream

__all__ = ["authority", "tls"]

SETTINGS = default_settings(
    callers={"listen": {"ip": "127.0.0.1", "port": 0}},
)

ALL_BYTES = 1 << 20
"""A capacity with which a relay takes a whole answer at once."""

BYTES_PER_SECOND = 600_000
"""Well above the slowest link that the settings name."""


async def open_tls(authority, port):
    context = ssl.create_default_context()
    authority.configure_trust(context)
    transport = await trio.open_tcp_stream("127.0.0.1", port)
    stream = trio.SSLStream(
        transport,
        context,
        server_hostname="127.0.0.1",
        https_compatible=True,
    )
    await stream.do_handshake()
    return stream


async def open_relayed(port, nursery):
    """Connect over a relay that holds answers; return both."""
    relay = HoldingRelay("127.0.0.1", port, ALL_BYTES, BYTES_PER_SECOND)
    relay_port = await nursery.start(relay.run)
    return relay, await trio.open_tcp_stream("127.0.0.1", relay_port)


# Guards against a connection over TLS that closes in a drain without a sign to
# its caller, whose next request is then lost with a reset.
async def test_an_idle_connection_over_tls_ends_before_a_next_request(
    tls, authority
):
    async with serving(tls, settings=SETTINGS) as (server, port):
        stream = await open_tls(authority, port)
        await stream.send_all(REQUEST)
        assert statuses(await stream.receive_some(4096)) == [200]
        (connection,) = server.connections
        await trio.testing.wait_all_tasks_blocked()
        connection.delivery.carried_by = Deadline(math.inf)
        stop(server)
        received = None
        with trio.move_on_after(0.5):
            received = await stream.receive_some(4096)
        assert received == b""


# Guards against an answer over TLS whose end, that of the connection, comes
# only after the longest time that a relay may need.
async def test_the_end_of_the_last_answer_over_tls_does_not_wait(
    tls, authority
):
    async with serving(tls, UnknownLength(), SETTINGS) as (server, port):
        stream = await open_tls(authority, port)
        await stream.send_all(REQUEST.replace(b"1.1", b"1.0"))
        ended = False
        with trio.move_on_after(1):
            while await stream.receive_some(65536):
                pass
            ended = True
        assert ended


# Guards against a caller's end of its requests, which arrives after the answer
# was written and before the caller has it, being taken for the sign that it
# has it.
async def test_an_end_that_crosses_the_answer_shows_nothing(nursery):
    async with serving(None, whole_answers(), SETTINGS) as (server, port):
        relay, stream = await open_relayed(port, nursery)
        await stream.send_all(REQUEST)
        await written_connections(server)
        await stream.send_eof()
        nursery.start_soon(read_all, stream, 10)
        with trio.fail_after(10):
            while server.connections:
                await trio.sleep(0.01)
        assert len(relay.held) == 0
        nursery.cancel_scope.cancel()


# Guards against an answer of which a relay holds a part, and whose end only
# the connection's end shows, that ends in order with its host.
async def test_an_acknowledged_part_is_not_cut_in_order(nursery):
    async with serving(None, UnknownLength(), SETTINGS) as (server, port):
        relay, stream = await open_relayed(port, nursery)
        await stream.send_all(REQUEST.replace(b"1.1", b"1.0"))
        (connection,) = await written_connections(server)
        with trio.fail_after(5):
            while connection.delivery.look():
                await trio.sleep(0.01)
        assert len(relay.held) > 0
        assert connection.delivery.evidence() is Evidence.ACKNOWLEDGED
        connection.delivery_scope.cancel()
        with trio.fail_after(5):
            while server.connections:
                await trio.sleep(0.01)
        assert connection.aborted
        nursery.cancel_scope.cancel()


# Guards against a drain that fails as bytes are acknowledged only after it has
# stopped to wait for the ends of callers.
async def test_an_acknowledgement_in_the_last_moment_ends_the_drain():
    async with serving(settings=SETTINGS) as (server, port):
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(REQUEST)
        await stream.receive_some(4096)
        (connection,) = server.connections
        await trio.testing.wait_all_tasks_blocked()
        connection.delivery.carried_by = Deadline(math.inf)
        stop(server)
        with trio.fail_after(5):
            while not connection.delivering or connection.delivery.look():
                await trio.sleep(0.01)
        look = connection.delivery.look
        connection.delivery.look = lambda: 1
        async with trio.open_nursery() as waiting:
            ended = trio.Event()

            async def wait():
                await server.wait_delivered(Deadline(trio.current_time()))
                ended.set()

            waiting.start_soon(wait)
            await trio.sleep(0.05)
            assert not ended.is_set()
            connection.delivery.look = look
            with trio.move_on_after(1):
                await ended.wait()
            assert ended.is_set()
            waiting.cancel_scope.cancel()
        await stream.aclose()


# Guards against a reset, as of a caller or relay that ends with unread bytes,
# being counted as the sign that the caller has its answer.
@pytest.mark.parametrize("stops", [True, False])
async def test_a_reset_is_no_sign_that_the_caller_has_all(stops):
    async with serving(None, whole_answers(), SETTINGS) as (server, port):
        narrow = await open_narrow_stream("127.0.0.1", port)
        await narrow.sock.send(REQUEST)
        (connection,) = await written_connections(server)
        if stops:
            stop(server)
        await trio.sleep(0.1)
        assert connection.delivery.look() > 0
        narrow.close()
        with trio.fail_after(5):
            while not connection.delivery.transport.is_reset():
                # Without a step in between, in which the connection is closed.
                pass
        assert connection.delivery.evidence() is Evidence.NONE
