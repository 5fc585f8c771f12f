"""One connection with one peer: frames, heartbeats and their deadlines.

One task reads and another one writes, because heartbeats have to be sent also
while the reader waits for bytes. Both tasks end together.
"""

import abc
import dataclasses
from collections import deque

import trio

from agatetack.clock import Clock
from agatetack.generated.peers import ttypes
from agatetack.ids import Deadline, FailureDomain, HostId
from agatetack.peers.budget import ByteBudget
from agatetack.peers.calls import IncomingCalls, OutgoingMessage, PendingCalls
from agatetack.peers.counters import PeerCounters
from agatetack.peers.exchange import Peer
from agatetack.peers.frames import (
    CloseReason,
    FrameReader,
    LinkClosed,
    encode_frame,
)
from agatetack.peers.handshake import Side
from agatetack.settings.model import PeersSettings
from agatetack.streams import PlainStream

REQUEST_BYTES_PER_HEARTBEAT = 32_768
"""Bytes of a long call or reply after which a leaving host sends a heartbeat,
so that acknowledgements show how much of it the peer has."""


class LinkOwner(abc.ABC):
    """The receiver of the frames of a link.

    Attributes:
        settings: The settings of links.
        clock: The clock for the deadlines of links.
        budget: The byte budget of all links together.
        counters: Count the traffic.
        leaving: Whether this host has announced that it is leaving.
    """

    settings: PeersSettings
    clock: Clock
    budget: ByteBudget
    counters: PeerCounters
    leaving: bool

    @abc.abstractmethod
    def handle_heartbeat(self, link: "Link") -> None:
        """Handle a heartbeat of the peer."""

    @abc.abstractmethod
    def handle_frame(self, link: "Link", frame: ttypes.Frame) -> None:
        """Handle a frame that is neither a heartbeat nor a reply.

        Raises:
            LinkClosed: The frame is not allowed or exceeds a limit.
        """


class Link:
    """One connection with an authenticated peer.

    Attributes:
        hello: The peer's hello.
        id: The peer's id.
        side: The side of this host.
        leaving: Whether the peer has announced that it is leaving.
        missing: Hosts that the peer chose but has no link with.
        silent_at: When the link is closed as silent unless bytes arrive.
        reason: Why the link was closed, or None.
        calls: Calls to the peer that wait for their replies.
        incoming: Incomplete calls of the peer.
        control: Encoded control frames to send, with the highest priority.
        published: Encoded published messages to send.
        unbudgeted: Calls and replies that are exempt from the byte budget.
        budgeted: Calls and replies that are subject to the byte budget.
        answering: Number of calls of the peer that are being answered.
        answering_requests: How many of them are part of callers' requests.
        sending: Whether the writing task is sending.
        unsent: The rest of a frame that the socket accepted in part.
        request_sequence: Number of the first heartbeat after the last
            unbudgeted frame sent; 0 if none was sent.
        request_bytes: Bytes of unbudgeted frames since the last heartbeat sent.
        has_unconfirmed: Whether calls or replies arrived after the last
            heartbeat received.
        ended: Set once the link is closed and its owner has removed it.
        sequence: Number of the last heartbeat sent.
        received_sequence: Highest number of a heartbeat received.
        acknowledged_sequence: Highest number of a heartbeat sent that the peer
            has acknowledged.
        unacknowledged: Heartbeats sent, as numbers with the deadlines of
            their acknowledgements.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        reader: FrameReader,
        hello: ttypes.Hello,
        side: Side,
        owner: LinkOwner,
    ):
        """Use `stream` after the handshake."""
        self.stream = stream
        self.reader = reader
        self.hello = hello
        self.id = HostId(hello.host)
        self.side = side
        self.owner = owner
        self.settings = owner.settings
        self.budget = owner.budget
        self.counters = owner.counters
        self.clock = owner.clock
        self.leaving = bool(hello.leaving)
        self._peer = Peer(
            self.id, self.incarnation, self.failure_domain, self.leaving
        )
        self.missing: frozenset[HostId] = frozenset()
        self.reason: CloseReason | None = None
        self.calls = PendingCalls(self.settings.max_frame_bytes)
        self.incoming = IncomingCalls(self.settings.max_frame_bytes)
        self.control: deque[bytes] = deque()
        self.published: deque[bytes] = deque()
        self.published_bytes = 0
        self.sending = False
        self.unsent = b""
        self.request_sequence = 0
        self.request_bytes = 0
        self.has_unconfirmed = False
        self.unbudgeted: deque[OutgoingMessage] = deque()
        self.budgeted: deque[OutgoingMessage] = deque()
        self.answering = 0
        self.answering_requests = 0
        self.ended = trio.Event()
        self.wake = trio.Event()
        self.scope = trio.CancelScope()
        self.silent_at = self._silence_deadline()
        self.heartbeat_at = self.clock.now()
        self.sequence = 0
        self.received_sequence = 0
        self.acknowledged_sequence = 0
        self.unacknowledged: deque[tuple[int, Deadline]] = deque()
        reader.max_bytes = self.settings.max_frame_bytes
        reader.on_bytes = self._on_bytes

    @property
    def incarnation(self) -> int:
        """Return when the peer's process started, in ns since 1970."""
        return self.hello.incarnation

    @property
    def fills_in_origin(self) -> bool:
        """Return whether the peer accepts messages without their origin."""
        return bool(self.hello.fills_in_origin)

    @property
    def failure_domain(self) -> FailureDomain:
        """Return the peer's failure domain."""
        return FailureDomain(self.hello.failure_domain)

    @property
    def peer(self) -> Peer:
        """Return the peer as the rest of the host sees it."""
        if self._peer.leaving != self.leaving:
            self._peer = dataclasses.replace(self._peer, leaving=self.leaving)
        return self._peer

    @property
    def live(self) -> bool:
        """Return whether bytes were received over this link recently."""
        return self.is_live(self.clock.now())

    def is_live(self, now: Deadline) -> bool:
        """Return whether bytes were received over this link recently."""
        return self.reason is None and now < self.silent_at

    async def run(self) -> CloseReason:
        """Serve the link until it is closed; return the reason."""
        self._update_deadline()
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read()
            if self.scope.cancelled_caught and self.reason is None:
                self.reason = self._overdue_reason()
        finally:
            self.reason = self.reason or CloseReason.ENDED
            self.calls.fail_all()
            await trio.aclose_forcefully(self.stream)
        return self.reason

    def close(self, reason: CloseReason) -> None:
        """Close the link; if called again, the first reason is kept."""
        self.reason = self.reason or reason
        self.scope.cancel()

    def send_control(self, frame: ttypes.Frame) -> None:
        """Queue a small frame before all others; drop it if over budget."""
        self.control.append(encode_frame(frame))
        self.wake.set()

    def send_heartbeat(self) -> None:
        """Send a heartbeat now instead of at the next interval."""
        self.heartbeat_at = self.clock.now()
        self.wake.set()

    def publish(self, content: bytes) -> bool:
        """Send or queue an encoded frame whose bytes the budget has granted.

        Returns:
            False if the queue is full because the peer reads too slowly.
        """
        free_bytes = self.settings.max_frame_bytes - self.published_bytes
        if len(content) > free_bytes:
            return False
        if self._send_at_once(content):
            return True
        self.published.append(content)
        self.published_bytes += len(content)
        self.wake.set()
        return True

    def _send_at_once(self, content: bytes) -> bool:
        """Send `content` without the writing task if nothing is queued.

        The link is idle for nearly every message, and waking the task costs
        more than sending the message.
        """
        queued = self.sending or self.unsent or self.control or self.published
        if queued or not isinstance(self.stream, PlainStream):
            return False
        sent = self.stream.send_nowait(content)
        self.counters.sent(sent)
        if 0 < sent < len(content):
            self.unsent = content[sent:]
            self.wake.set()
        return sent > 0

    def queue_message(self, message: OutgoingMessage) -> None:
        """Queue a call or reply, which is sent as the budget allows."""
        queue = self.budgeted if message.budgeted else self.unbudgeted
        queue.append(message)
        self.wake.set()

    @property
    def has_undelivered(self) -> bool:
        """Return whether the peer may lack a part of a request.

        The peer has a frame once it acknowledges a heartbeat sent after it. An
        acknowledgement by the next machine would not suffice, as that may be a
        relay that loses what it holds when this host ends. Budgeted messages
        don't count, as no request of a caller waits for them.
        """
        if self.reason is not None:
            return False
        if any(message.frames for message in self.unbudgeted):
            return True
        return self.acknowledged_sequence < self.request_sequence

    def ask_for_acknowledgement(self) -> None:
        """Send the heartbeat by which the peer acknowledges requests.

        Nothing is sent if it has been sent, or if frames still wait.
        """
        waits = any(message.frames for message in self.unbudgeted)
        if not waits and self.sequence < self.request_sequence:
            self.send_heartbeat()

    def cancel_message(self, message: OutgoingMessage) -> None:
        """Remove a call that is no longer awaited, unless partly sent."""
        for queue in (self.unbudgeted, self.budgeted):
            if not message.started and message in queue:
                queue.remove(message)

    async def _read(self) -> None:
        try:
            while True:
                frame = await self.reader.receive()
                if frame.heartbeat is not None:
                    self._handle_heartbeat(frame.heartbeat)
                elif frame.reply is not None:
                    self.has_unconfirmed = True
                    self.calls.add(frame.reply)
                else:
                    self.has_unconfirmed |= frame.call is not None
                    self.owner.handle_frame(self, frame)
        except LinkClosed as closed:
            self.close(closed.reason)

    async def _write(self) -> None:
        try:
            while True:
                content = self._next_content()
                if content is None:
                    await self._wait_for_content()
                    continue
                self.sending = True
                await self.stream.send_all(content)
                self.sending = False
                self.counters.sent(len(content))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.close(CloseReason.CONNECTION_LOST)

    def _next_content(self) -> bytes | None:
        if self.unsent:
            content, self.unsent = self.unsent, b""
            return content
        now = self.clock.now()
        if now >= self.heartbeat_at or self._must_confirm():
            self._queue_heartbeat(now)
        while self.control:
            content = self.control.popleft()
            if self.budget.take_control(len(content), now):
                return content
            self.counters.dropped("control-over-budget")
        if self.published:
            content = self.published.popleft()
            self.published_bytes -= len(content)
            return content
        return self._next_chunk(self.unbudgeted) or self._next_chunk(
            self.budgeted
        )

    def _next_chunk(self, queue: deque[OutgoingMessage]) -> bytes | None:
        while queue and not queue[0].frames:
            queue.popleft()
        if not queue:
            return None
        first = queue[0]
        size = len(first.frames[0])
        if not first.budgeted:
            self.counters.sent_unbudgeted(size)
            self.request_sequence = self.sequence + 1
            self.request_bytes += size
        elif not self.budget.take_chunk(size, self.clock.now()):
            return None
        first.started = True
        return first.frames.popleft()

    def _must_confirm(self) -> bool:
        """Return whether a leaving host needs an acknowledgement now."""
        if not (self.owner.leaving and self.request_bytes):
            return False
        is_last = not any(message.frames for message in self.unbudgeted)
        return is_last or self.request_bytes >= REQUEST_BYTES_PER_HEARTBEAT

    async def _wait_for_content(self) -> None:
        self.wake = trio.Event()
        until = self.heartbeat_at
        if self.budgeted:
            size = len(self.budgeted[0].frames[0])
            until = min(
                until, self.budget.chunk_available_at(size, self.clock.now())
            )
        with trio.move_on_at(until):
            await self.wake.wait()

    def _queue_heartbeat(self, now: Deadline) -> None:
        self.sequence += 1
        self.request_bytes = 0
        heartbeat = ttypes.Heartbeat(
            sequence=self.sequence,
            acknowledged=self.received_sequence,
            leaving=self.owner.leaving or None,
        )
        self.control.appendleft(encode_frame(ttypes.Frame(heartbeat=heartbeat)))
        self.unacknowledged.append((self.sequence, self._silence_deadline()))
        self.heartbeat_at = Deadline(now + self.settings.heartbeat_seconds)
        self._update_deadline()

    def _handle_heartbeat(self, heartbeat: ttypes.Heartbeat) -> None:
        self.received_sequence = max(self.received_sequence, heartbeat.sequence)
        self.acknowledged_sequence = max(
            self.acknowledged_sequence, heartbeat.acknowledged
        )
        unacknowledged = self.unacknowledged
        while unacknowledged and (
            unacknowledged[0][0] <= heartbeat.acknowledged
        ):
            unacknowledged.popleft()
        if heartbeat.leaving and not self.leaving:
            self.leaving = True
        if heartbeat.leaving and self.has_unconfirmed:
            # The peer ends once it knows that its last replies arrived.
            self.send_heartbeat()
        self.has_unconfirmed = False
        self.owner.handle_heartbeat(self)

    def _on_bytes(self, count: int) -> None:
        self.counters.received(count)
        self.silent_at = self._silence_deadline()

    def _silence_deadline(self) -> Deadline:
        return Deadline(self.clock.now() + self.settings.timeout_seconds)

    def _update_deadline(self) -> None:
        # Called for each heartbeat sent, not for each frame received: that is
        # often enough and costs less.
        deadline = self.silent_at
        if self.unacknowledged:
            deadline = min(deadline, self.unacknowledged[0][1])
        self.scope.deadline = deadline

    def _overdue_reason(self) -> CloseReason:
        if self.clock.now() >= self.silent_at:
            return CloseReason.SILENT
        return CloseReason.UNACKNOWLEDGED
