"""Test what is told of a request when peers are silent or damaged."""

import pytest
import trio
from returns.result import Failure

from agatetack.clock import SystemClock
from agatetack.ids import FailureDomain, HostId, RequestId
from agatetack.operators import refusals
from agatetack.operators.explainer import Explainer
from agatetack.peers.exchange import NoExchange, Peer, PeerUnreachable
from agatetack.serving.explain import Explanations


class OnePeer(NoExchange):
    """One peer that always sends the same reply."""

    def __init__(self, reply):
        """Reply with these bytes; with None the peer is unreachable."""
        self.reply = reply

    def live_peers(self):
        return [Peer(HostId("b"), 1, FailureDomain("d"), False)]

    async def call(self, peer, topic, payload, deadline):
        await trio.lowlevel.checkpoint()
        if self.reply is None:
            raise PeerUnreachable("b")
        return self.reply


@pytest.mark.parametrize(
    "reply", [None, b"", b"\xff\xff", b"\x19", b"\x08\x02"]
)
async def test_a_silent_peer_may_still_know_the_request(reply):
    explainer = Explainer(
        HostId("a"), Explanations(), OnePeer(reply), SystemClock()
    )
    result = await explainer.explain(RequestId("q"), trio.current_time() + 1)
    assert isinstance(result, Failure)
    error = result.failure()
    assert error.reason is refusals.UnavailableReason.PEER_UNREACHABLE
    assert error.message.startswith("b did not answer")
    assert error.retry_after_ms is not None
