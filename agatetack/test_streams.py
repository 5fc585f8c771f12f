"""Run trio's generic stream tests on plain streams."""

import socket
import struct
import time

import pytest
import trio
import trio.testing

from agatetack.streams import (
    LAST_DATA_RECV_OFFSET,
    PlainListener,
    PlainStream,
    open_plain_stream,
    unacknowledged_bytes,
)

LOOPBACK = "127.0.0.1"


async def make_pair():
    """Return two connected streams."""
    listener = PlainListener(LOOPBACK, 0, 5)
    near = await open_plain_stream(LOOPBACK, listener.port)
    far = await listener.accept()
    listener.close()
    return near, far


async def test_large_data_arrives_whole_and_in_order():
    near, far = await make_pair()
    data = bytes(range(256)) * 40_000
    received = b""

    async with trio.open_nursery() as nursery:
        nursery.start_soon(near.send_all, data)
        while len(received) < len(data):
            received += await far.receive_some()
    assert received == data
    near.close()
    assert await far.receive_some() == b""


async def test_closing_wakes_a_receiver():
    near, far = await make_pair()
    async with trio.open_nursery() as nursery:

        @nursery.start_soon
        async def receive():
            with pytest.raises(trio.ClosedResourceError):
                await near.receive_some()

        await trio.testing.wait_all_tasks_blocked()
        near.close()
    with pytest.raises(trio.ClosedResourceError):
        await near.send_all(b"x")


async def test_an_aborted_close_is_a_reset():
    near, far = await make_pair()
    await far.send_all(b"x")
    assert not far.is_reset()
    near.abort_on_close()
    near.close()
    assert far.is_reset()
    with pytest.raises(trio.BrokenResourceError):
        while await far.receive_some():
            pass


async def test_a_half_closed_connection_is_not_reset():
    near, far = await make_pair()
    near.sock.shutdown(socket.SHUT_WR)
    assert await far.receive_some() == b""
    assert not far.is_reset()


async def test_a_refused_connection_says_so():
    listener = PlainListener(LOOPBACK, 0, 1)
    listener.close()
    with pytest.raises(ConnectionRefusedError):
        await open_plain_stream(LOOPBACK, listener.port)


# Guards against bytes that a reset connection never delivered and that count
# as delivered, or are waited for.
async def test_a_reset_leaves_bytes_unacknowledged_that_nobody_waits_for():
    near, far = await make_pair()
    while near.send_nowait(bytes(100_000)):
        pass
    assert near.unacknowledged_bytes() > 0
    far.abort_on_close()
    far.close()
    with trio.fail_after(5):
        while not near.is_reset():
            await trio.sleep(0.01)
    assert near.unacknowledged_bytes() == 0
    assert unacknowledged_bytes(near.sock) > 0
    near.close()


async def test_received_bytes_are_acknowledged():
    near, far = await make_pair()
    await near.send_all(b"x")
    near.send_eof()
    assert await far.receive_some() == b"x"
    with trio.fail_after(5):
        while near.unacknowledged_bytes():
            await trio.sleep(0.01)
    near.close()
    far.close()


# Guards against requests that count as older than they are and so end before
# their deadline: the kernel counts the time since the last bytes in ticks.
@pytest.mark.parametrize(
    ("milliseconds", "seconds"),
    [(0, 0.0), (4, 0.0), (10, 0.0), (12, 0.002), (500, 0.49)],
)
def test_a_tick_is_taken_off_the_age_of_bytes(milliseconds, seconds):
    record = bytes(LAST_DATA_RECV_OFFSET) + struct.pack("=I", milliseconds)

    class Socket:
        def setsockopt(self, *args):
            pass

        def getsockopt(self, level, option, size):
            return record[:size]

    stream = PlainStream(Socket())
    assert stream.seconds_since_data() == pytest.approx(seconds)


# Guards against the same, with the ticks of this machine.
async def test_bytes_never_count_as_older_than_they_are():
    near, far = await make_pair()
    for number in range(40):
        sent_at = time.monotonic()
        await near.send_all(b"x")
        time.sleep(number / 4000)
        waited = far.seconds_since_data()
        assert waited <= time.monotonic() - sent_at
        await far.receive_some()
    near.close()
    far.close()
