"""Run trio's generic stream tests on plain streams."""

import socket

import pytest
import trio
import trio.testing

from agatetack.streams import PlainListener, open_plain_stream

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
