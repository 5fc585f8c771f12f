"""Call peers and answer their calls."""

import trio

from agatetack.generated.peers import ttypes
from agatetack.ids import Deadline, HostId
from agatetack.logs import PartLog
from agatetack.peers.calls import (
    MAX_INCOMING_CALLS,
    PIECE_BYTES,
    call_frames,
    reply_frames,
)
from agatetack.peers.counters import PeerCounters
from agatetack.peers.exchange import CallHandler, PeerUnreachable, Topic
from agatetack.peers.link import Link
from agatetack.settings.model import PeersSettings

PIECES_PER_SECOND = 4
"""Pieces that even a small byte budget lets through in one second."""

LOG = PartLog("peers")


class CallService:
    """The calls of one host, in both directions.

    Attributes:
        servers: What answers peers' calls, by topic.
        nursery: Runs the answers; set before any call comes.
        piece_bytes: Payload bytes of one piece of a call or reply.
    """

    def __init__(self, settings: PeersSettings, counters: PeerCounters):
        """Count calls with `counters`."""
        self.counters = counters
        self.servers: dict[int, CallHandler] = {}
        self.nursery: trio.Nursery | None = None
        share = settings.bytes_per_second // PIECES_PER_SECOND
        self.piece_bytes = max(1, min(PIECE_BYTES, share))

    async def call(
        self, link: Link, topic: Topic, payload: bytes, deadline: Deadline
    ) -> bytes:
        """Call the peer of `link` and return its reply.

        Raises:
            PeerUnreachable: The call failed there, or no reply came in time.
        """
        number, pending = link.calls.open()
        outgoing = call_frames(number, topic.value, payload, self.piece_bytes)
        link.send_outgoing(outgoing)
        try:
            with trio.move_on_at(deadline):
                await pending.done.wait()
        finally:
            link.calls.forget(number)
            link.withdraw(outgoing)
        if pending.reply is None:
            in_time = pending.done.is_set()
            self.counters.called("failed" if in_time else "timeout")
            raise PeerUnreachable(f"{link.id} gave no reply")
        self.counters.called("answered")
        return pending.reply

    def take(self, link: Link, call: ttypes.Call) -> None:
        """Take a piece of a peer's call, and answer it once it is whole.

        Raises:
            LinkClosed: The peer sends more than it may.
        """
        payload = link.incoming.add(call)
        if payload is None:
            return
        if link.answering >= MAX_INCOMING_CALLS:
            self.counters.dropped("call-too-many")
            self._reply(link, call, None)
            return
        link.answering += 1
        self.nursery.start_soon(self._answer, link, call, payload)

    async def _answer(
        self, link: Link, call: ttypes.Call, payload: bytes
    ) -> None:
        server = self.servers.get(call.topic)
        reply = None
        try:
            if server is not None:
                reply = await server(link.id, payload)
        except Exception as error:  # noqa: BLE001
            # The peer is told that its call failed.
            LOG.error("A call of %s was not answered: %r.", link.id, error)
        finally:
            link.answering -= 1
        if reply is None:
            self.counters.dropped("call-unanswered")
        self._reply(link, call, reply)

    def _reply(
        self, link: Link, call: ttypes.Call, reply: bytes | None
    ) -> None:
        frames = reply_frames(call.id, call.topic, reply, self.piece_bytes)
        link.send_outgoing(frames)

    def refuse_unlinked(self, peer: HostId) -> PeerUnreachable:
        """Count a call to a host without a link and return its error."""
        self.counters.called("no-link")
        return PeerUnreachable(f"there is no link with {peer}")
