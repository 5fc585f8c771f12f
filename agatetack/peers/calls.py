"""Split calls and replies into frames and reassemble them.

Chunks are small, so that heartbeats and published messages can be sent
between the chunks of a large reply, and the byte budget can delay each chunk.
"""

import dataclasses
from collections import deque
from collections.abc import Iterator

import trio

from agatetack.generated.peers import ttypes
from agatetack.peers.exchange import Topic
from agatetack.peers.frames import CloseReason, LinkClosed, encode_frame

MAX_CHUNK_BYTES = 4096
"""Maximum payload of one chunk of a call or reply."""

MAX_INCOMING_CALLS = 64
"""Maximum number of incoming calls from one peer at the same time.

It applies to incomplete calls and to those being answered, separately.
"""


UNBUDGETED_TOPICS = frozenset(
    {
        Topic.CLAIM_BATCH.value,
        Topic.FORWARD.value,
        Topic.FORWARD_CANCEL.value,
    }
)
"""Topics whose calls are part of callers' requests.

Admission control limits them. The byte budget, which limits the cost of control
traffic, must not delay them.
"""


@dataclasses.dataclass(slots=True)
class OutgoingMessage:
    """A call or reply in the send queue.

    Attributes:
        frames: Its encoded chunks that are not sent yet.
        budgeted: Whether it is subject to the byte budget.
        started: Whether a chunk was sent.
    """

    frames: deque[bytes]
    budgeted: bool = True
    started: bool = False


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call that waits for its reply.

    Attributes:
        done: Set when the reply is complete or the call failed.
        chunks: The chunks of the reply received so far.
        size: Bytes of `chunks`.
        reply: The complete reply; None before that or if the call failed.
    """

    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0
    reply: bytes | None = None


def call_frames(
    number: int, topic: int, payload: bytes, chunk_bytes: int
) -> OutgoingMessage:
    """Return the frames of one call, in chunks of `chunk_bytes`."""
    frames = deque(
        encode_frame(
            ttypes.Frame(call=ttypes.Call(number, topic, chunk, more or None))
        )
        for chunk, more in _split(payload, chunk_bytes)
    )
    return OutgoingMessage(frames, topic not in UNBUDGETED_TOPICS)


def reply_frames(
    number: int, topic: int, payload: bytes | None, chunk_bytes: int
) -> OutgoingMessage:
    """Return the frames of a reply; a `payload` of None reports a failure."""
    if payload is None:
        replies = [ttypes.Reply(number)]
    else:
        replies = [
            ttypes.Reply(number, chunk, more or None)
            for chunk, more in _split(payload, chunk_bytes)
        ]
    frames = deque(encode_frame(ttypes.Frame(reply=r)) for r in replies)
    return OutgoingMessage(frames, topic not in UNBUDGETED_TOPICS)


def _split(payload: bytes, chunk_bytes: int) -> Iterator[tuple[bytes, bool]]:
    for start in range(0, max(1, len(payload)), chunk_bytes):
        end = start + chunk_bytes
        yield payload[start:end], end < len(payload)


class IncomingCalls:
    """The incomplete incoming calls of one peer."""

    def __init__(self, max_bytes: int):
        """Accept up to `max_bytes` for all incomplete calls together."""
        self.max_bytes = max_bytes
        self.chunks: dict[int, list[bytes]] = {}
        self.size = 0

    def add(self, call: ttypes.Call) -> bytes | None:
        """Add a chunk; return the payload of the call once it is complete.

        Raises:
            LinkClosed: The peer exceeds a limit.
        """
        chunks = self.chunks.setdefault(call.id, [])
        chunks.append(call.payload)
        self.size += len(call.payload)
        if self.size > self.max_bytes:
            raise LinkClosed(CloseReason.OVERSIZED_FRAME)
        if len(self.chunks) > MAX_INCOMING_CALLS:
            raise LinkClosed(CloseReason.UNEXPECTED_FRAME)
        if call.more:
            return None
        del self.chunks[call.id]
        payload = b"".join(chunks)
        self.size -= len(payload)
        return payload


class PendingCalls:
    """The calls to one peer that wait for their replies."""

    def __init__(self, max_bytes: int):
        """Accept replies of up to `max_bytes`."""
        self.max_bytes = max_bytes
        self.calls: dict[int, PendingCall] = {}
        self.last_number = 0

    def open(self) -> tuple[int, PendingCall]:
        """Create a call; return its number and the call."""
        self.last_number += 1
        pending = PendingCall()
        self.calls[self.last_number] = pending
        return self.last_number, pending

    def forget(self, number: int) -> None:
        """Remove a call that is no longer awaited."""
        self.calls.pop(number, None)

    def add(self, reply: ttypes.Reply) -> None:
        """Add a chunk of a reply; ignore it if its call is no longer pending.

        Raises:
            LinkClosed: The reply is larger than accepted.
        """
        pending = self.calls.get(reply.id)
        if pending is None or pending.done.is_set():
            return
        if reply.payload is None:
            pending.done.set()
            return
        pending.chunks.append(reply.payload)
        pending.size += len(reply.payload)
        if pending.size > self.max_bytes:
            raise LinkClosed(CloseReason.OVERSIZED_FRAME)
        if not reply.more:
            pending.reply = b"".join(pending.chunks)
            pending.done.set()

    def fail_all(self) -> None:
        """Fail every call, because the link is lost."""
        for pending in self.calls.values():
            pending.done.set()
