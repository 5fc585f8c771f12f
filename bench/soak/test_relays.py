"""Test what relays between callers and hosts keep, lose and pass on."""

import pytest
import trio

from bench.soak.links import Link, Path
from bench.soak.relays import LinkEnded

PATIENCE_SECONDS = 20
CAPACITY = 20_000
BODY = bytes(range(250)) * 400
ANSWER = BODY[:10_000]
BYTES_PER_SECOND = 200_000


class Stand:
    """A relay with the host's side of its connection."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.link = Link(BYTES_PER_SECOND, nursery)

    async def open(self, loses=False, prompt=False):
        path = Path(CAPACITY, 0.01, loses, prompt)
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        async with listener:
            port = listener.socket.getsockname()[1]
            self.relay = await self.link.open("127.0.0.1", port, path)
            self.host = await listener.accept()

    async def receive_all(self):
        received = b""
        while data := await self.relay.receive_some():
            received += data
        return received


@pytest.fixture
async def stand():
    """Return a relay's stand, which ends with the test."""
    with trio.fail_after(PATIENCE_SECONDS):
        async with trio.open_nursery() as nursery:
            yield Stand(nursery)
            nursery.cancel_scope.cancel()


# Guards against relays that change what they carry, or hold more than they may.
async def test_a_relay_carries_all_bytes_in_order_and_then_the_end(stand):
    await stand.open()
    stand.nursery.start_soon(stand.host.send_all, BODY)
    while stand.relay.room > 0:
        await trio.sleep(0.01)
    assert sum(len(data) for _, data in stand.relay.held) == CAPACITY
    received = b""
    while len(received) < len(BODY):
        received += await stand.relay.receive_some()
    await stand.host.send_eof()
    assert received + await stand.receive_all() == BODY


# Guards against a host's end after which each relay delivers what it holds.
@pytest.mark.parametrize("loses", [False, True])
async def test_a_relay_loses_what_it_holds_with_its_hosts_network(stand, loses):
    await stand.open(loses)
    await stand.host.send_all(ANSWER)
    await stand.host.send_eof()
    while stand.relay.host_end is None:
        await trio.sleep(0.01)
    stand.link.end()
    if loses:
        with pytest.raises(LinkEnded, match=f"lost {len(ANSWER)} bytes"):
            await stand.receive_all()
    else:
        assert await stand.receive_all() == ANSWER


# Guards against relays that end a connection in place of their caller.
@pytest.mark.parametrize("prompt", [False, True])
async def test_a_host_sees_an_end_only_after_the_caller_has_ended(
    stand, prompt
):
    await stand.open(prompt=prompt)
    await stand.relay.send_all(b"request")
    assert await stand.host.receive_some() == b"request"
    await stand.host.send_all(ANSWER)
    await stand.host.send_eof()
    with trio.move_on_after(0.2) as waiting:
        await stand.host.receive_some()
    assert waiting.cancelled_caught
    assert await stand.receive_all() == ANSWER
    if not prompt:
        with trio.move_on_after(0.2) as waiting:
            await stand.host.receive_some()
        assert waiting.cancelled_caught
        stand.relay.end_caller()
    assert await stand.host.receive_some() == b""


# Guards against resets that a relay turns into ends in order.
async def test_a_relay_passes_resets_on(stand):
    await stand.open()
    await stand.host.send_all(ANSWER)
    while not stand.relay.held:
        await trio.sleep(0.01)
    stand.relay.end_caller()
    with pytest.raises(trio.BrokenResourceError):
        await stand.host.receive_some()


# Guards against the blame for a request that crosses the end of its connection.
@pytest.mark.parametrize("crosses", [False, True])
async def test_a_request_that_crosses_the_hosts_end_counts_as_not_delivered(
    stand, crosses
):
    await stand.open()
    if crosses:
        await stand.host.send_eof()
    stand.relay._send_up(b"request")
    assert await stand.host.receive_some() == b"request"
    await trio.sleep(0.01)
    assert stand.relay.delivered is not crosses
