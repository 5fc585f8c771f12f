"""Call peers and answer their calls."""

import trio

from agatetack.generated.peers import ttypes
from agatetack.ids import Deadline, HostId
from agatetack.logs import PartLog
from agatetack.peers.calls import (
    MAX_CHUNK_BYTES,
    MAX_INCOMING_CALLS,
    UNBUDGETED_TOPICS,
    call_frames,
    reply_frames,
)
from agatetack.peers.counters import PeerCounters
from agatetack.peers.exchange import CallHandler, PeerUnreachable, Topic
from agatetack.peers.link import Link
from agatetack.settings.model import PeersSettings

MIN_CHUNKS_PER_SECOND = 4
"""Minimum number of chunks that the byte budget allows in one second.

A small byte budget makes chunks smaller for that.
"""

LOG = PartLog("peers")


class CallService:
    """Outgoing and incoming calls of one host.

    Attributes:
        handlers: The handlers of peers' calls, by topic.
        nursery: Runs the handlers; set before the first call arrives.
        chunk_bytes: Payload bytes of one chunk of a call or reply.
    """

    def __init__(self, settings: PeersSettings, counters: PeerCounters):
        """Derive the chunk size from `settings`."""
        self.counters = counters
        self.handlers: dict[int, CallHandler] = {}
        self.nursery: trio.Nursery | None = None
        share = settings.bytes_per_second // MIN_CHUNKS_PER_SECOND
        self.chunk_bytes = max(1, min(MAX_CHUNK_BYTES, share))

    async def call(
        self, link: Link, topic: Topic, payload: bytes, deadline: Deadline
    ) -> bytes:
        """Call the peer of `link` and return its reply.

        Raises:
            PeerUnreachable: The call failed at the peer, or no reply arrived
                before `deadline`.
        """
        number, pending = link.calls.open()
        message = call_frames(number, topic.value, payload, self.chunk_bytes)
        link.queue_message(message)
        try:
            with trio.move_on_at(deadline):
                await pending.done.wait()
        finally:
            link.calls.forget(number)
            link.cancel_message(message)
        if pending.reply is None:
            in_time = pending.done.is_set()
            self.counters.called("failed" if in_time else "timeout")
            raise PeerUnreachable(f"{link.id} gave no reply")
        self.counters.called("answered")
        return pending.reply

    def handle_call(self, link: Link, call: ttypes.Call) -> None:
        """Receive a chunk of a peer's call; handle the call once complete.

        Raises:
            LinkClosed: The peer exceeds the limits of calls.
        """
        payload = link.incoming.add(call)
        if payload is None:
            return
        if link.answering >= MAX_INCOMING_CALLS:
            self.counters.dropped("call-too-many")
            self._reply(link, call, None)
            return
        link.answering += 1
        link.answering_requests += call.topic in UNBUDGETED_TOPICS
        self.nursery.start_soon(self._answer, link, call, payload)

    async def _answer(
        self, link: Link, call: ttypes.Call, payload: bytes
    ) -> None:
        handler = self.handlers.get(call.topic)
        reply = None
        try:
            if handler is not None:
                reply = await handler(link.id, payload)
        except Exception as error:  # noqa: BLE001
            # The reply below reports the failure to the peer.
            LOG.error(
                "The handler of a call from %s failed: %r.", link.id, error
            )
        finally:
            link.answering -= 1
            link.answering_requests -= call.topic in UNBUDGETED_TOPICS
        if reply is None:
            self.counters.dropped("call-unanswered")
        self._reply(link, call, reply)

    def _reply(
        self, link: Link, call: ttypes.Call, reply: bytes | None
    ) -> None:
        frames = reply_frames(call.id, call.topic, reply, self.chunk_bytes)
        link.queue_message(frames)

    def no_link_error(self, peer: HostId) -> PeerUnreachable:
        """Count a call to a host without a link and return the error."""
        self.counters.called("no-link")
        return PeerUnreachable(f"there is no link with {peer}")
