"""Test requests that were passed on as one of their two hosts stops."""

import pytest
import trio
from returns.result import Result, Success

from agatetack.forwarding.messages import decode_reply, encode_request
from agatetack.forwarding.receiver import ForwardReceiver
from agatetack.forwarding.test_forwarding import make_request
from agatetack.ids import Deadline, HostId
from agatetack.lifecycle.drain import DrainReport, Lifecycle
from agatetack.messages import Answer, BytesBody
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal
from agatetack.peers.exchange import PeerUnreachable, Topic
from agatetack.settings.defaults import default_settings
from agatetack.testing.peer_net import PeerNet

ENTRY, CARRIER = HostId("entry"), HostId("carrier")
NOTICE_SECONDS, DRAIN_SECONDS = 2.0, 6.0
FLUSH_AT = 0.9 * DRAIN_SECONDS
CONTENT = bytes(200_000)


class StoppingCarrier:
    """Two hosts, of which one runs a request of the other and then stops.

    Attributes:
        net: The network between them. What it holds as the host ends is lost.
        target_seconds: How long the target takes to answer.
        result: What the entry host got.
        report: The report of the drain.
        ended_at: When the drain ended, counted from the stop.
    """

    def __init__(self, net: PeerNet, target_seconds: float):
        self.net = net
        self.target_seconds = target_seconds
        self.result: Result[Answer, Refusal] | PeerUnreachable | None = None
        self.report: DrainReport | None = None
        self.ended_at = 0.0

    async def start(self) -> None:
        await self.net.start(ENTRY)
        carrier = await self.net.start(CARRIER)
        settings = default_settings(
            lifecycle={
                "notice_seconds": NOTICE_SECONDS,
                "drain_seconds": DRAIN_SECONDS,
            }
        )
        self.lifecycle = Lifecycle(settings, Metrics(), self.net.wall)
        self.lifecycle.on_leaving(carrier.announce_leaving)
        self.lifecycle.add_flush("replies", carrier.flush_replies)
        ForwardReceiver(
            carrier,
            self._run_request,
            self.lifecycle.in_flight,
            settings.peers.max_frame_bytes,
            Metrics(),
        )
        await trio.sleep(2)

    async def _run_request(self, request) -> Result[Answer, Refusal]:
        await trio.sleep(self.target_seconds)
        return Success(Answer(200, [], BytesBody(CONTENT)))

    async def forward(self) -> None:
        deadline = Deadline(trio.current_time() + 20)
        payload = encode_request(1, make_request(deadline=deadline), b"")
        try:
            reply = await self.net.hosts[ENTRY].call(
                CARRIER, Topic.FORWARD, payload, deadline
            )
            self.result = decode_reply(reply, b"GET")
        except PeerUnreachable as error:
            self.result = error

    async def stop(self) -> None:
        started = trio.current_time()
        self.report = await self.lifecycle.drain()
        self.ended_at = trio.current_time() - started
        self.net.lossy.add((CARRIER, ENTRY))
        self.net.stop(CARRIER)

    async def play(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.forward)
            await trio.sleep(0.01)
            nursery.start_soon(self.stop)

    @property
    def content(self) -> bytes | None:
        """Return the body that the entry host got, or None."""
        if not isinstance(self.result, Success):
            return None
        return self.result.unwrap().body.content


# Guards against answers that are lost because their target answers after the
# stopping host has begun to flush what it still has to send.
@pytest.mark.parametrize(
    "target_seconds", [0.1, NOTICE_SECONDS + 1, FLUSH_AT + 0.1, FLUSH_AT + 0.5]
)
async def test_an_answer_of_a_stopping_host_reaches_the_other_one(
    nursery, autojump_clock, target_seconds
):
    play = StoppingCarrier(PeerNet(nursery), target_seconds)
    await play.start()
    await play.play()
    assert play.content == CONTENT
    assert play.report.exit_code == 0
    assert play.ended_at <= DRAIN_SECONDS
    nursery.cancel_scope.cancel()


# Guards against answers that the network between two hosts has taken, and
# loses as the host that sent them ends.
@pytest.mark.parametrize("held_seconds", [0.1, 0.4])
@pytest.mark.parametrize(
    "target_seconds", [NOTICE_SECONDS - 0.05, FLUSH_AT + 0.1]
)
async def test_an_answer_on_the_way_keeps_its_host(
    nursery, autojump_clock, target_seconds, held_seconds
):
    net = PeerNet(nursery)
    play = StoppingCarrier(net, target_seconds)
    await play.start()

    async def hold() -> None:
        await trio.sleep(target_seconds)
        net.held.add((CARRIER, ENTRY))
        await trio.sleep(held_seconds)
        net.held.clear()

    nursery.start_soon(hold)
    await play.play()
    assert play.content == CONTENT
    assert play.report.exit_code == 0
    assert target_seconds + held_seconds <= play.ended_at <= DRAIN_SECONDS
    nursery.cancel_scope.cancel()


# Guards against a host that stays up to the end of its drain for answers that
# the other host has, or for one that takes nothing any more.
@pytest.mark.parametrize(
    ("cut", "ended_at"),
    [(False, NOTICE_SECONDS), (True, NOTICE_SECONDS)],
    ids=["answered", "cut-off"],
)
async def test_a_host_whose_answers_arrived_ends_without_delay(
    nursery, autojump_clock, cut, ended_at
):
    net = PeerNet(nursery)
    play = StoppingCarrier(net, 0.1)
    await play.start()

    async def cut_off() -> None:
        await trio.sleep(0.15)
        net.cut(ENTRY, CARRIER)

    if cut:
        nursery.start_soon(cut_off)
    await play.play()
    assert play.content == CONTENT
    assert play.ended_at == pytest.approx(ended_at, abs=0.01)
    nursery.cancel_scope.cancel()
