"""Parse the requests that arrive on one connection."""

from collections import deque
from collections.abc import Awaitable, Callable

import httptools
import trio

from agatetack.callers.head import RequestHead
from agatetack.callers.streamed_body import StreamedBody
from agatetack.ids import Deadline
from agatetack.messages import Body, CallerGone
from agatetack.outcomes import Refusal, RefusalReason, refuse

MAX_READ_AHEAD_REQUESTS = 64
"""Maximum of requests parsed but not started; then parsing pauses."""

MAX_READ_AHEAD_HEADER_BYTES = 8 * 1024
"""Maximum size of their headers; then parsing pauses. A header of this size may
have thousands of fields, which take milliseconds."""

SLICE_BYTES = 2048
"""Most bytes that are parsed between two checks of these maximums.

The body of a request whose length is known is parsed at once.
"""

WAITING_REQUEST_BYTES = 2048
"""Memory of a request that waits, without its header and body."""

ReadMore = Callable[[], Awaitable[None]]
"""Reads once from the caller and feeds the bytes to the parser."""


class RequestBody(Body):
    """A request's body, read from the caller on demand.

    Attributes:
        received: Bytes received so far, consumed or not.
        complete: Whether the last byte was received.
        lost: Whether no more bytes can come.
        before_first_read: Called once before more bytes are waited for, or
            None.
    """

    def __init__(self, length: int | None, read_more: ReadMore):
        """Expect `length` bytes, or chunks if None."""
        self.length = length
        self.read_more = read_more
        self.content = bytearray()
        self.received = 0
        self.complete = False
        self.lost = False
        self.before_first_read: ReadMore | None = None

    @property
    def unread_bytes(self) -> int:
        """Return how many bytes were received but not consumed."""
        return len(self.content)

    def feed(self, data: bytes) -> None:
        """Add bytes that were received."""
        # Joined at once, as an object for each small chunk takes many times
        # the memory of its bytes.
        self.content += data
        self.received += len(data)

    def receive_nowait(self) -> bytes | None:
        """Return the bytes already received, or None."""
        if not self.content:
            return None
        data = bytes(self.content)
        self.content = bytearray()
        return data

    async def receive(self) -> bytes:
        """Return the next bytes, or `b""` at the end of the message."""
        while True:
            data = self.receive_nowait()
            if data is not None:
                return data
            if self.complete:
                return b""
            await self._read_more()

    async def receive_whole(self) -> bytes:
        """Return all bytes that are left once the last one has come.

        Raises:
            CallerGone: The body was cut off.
        """
        while not self.complete:
            await self._read_more()
        return self.receive_nowait() or b""

    async def _read_more(self) -> None:
        if self.lost:
            raise CallerGone
        if self.before_first_read is not None:
            before, self.before_first_read = self.before_first_read, None
            await before()
        await self.read_more()


class ParsedRequest:
    """One request: its header and the body that is still arriving.

    Attributes:
        head: The header, or None if it can't be parsed.
        body: The body, or None if the header can't be parsed.
        refusal: Why it is refused before it is handled, or None.
        expects_continue: Whether the caller waits for `100 Continue`.
        streamed: The body that the handler reads while it arrives, or None.
        handed_bytes: Memory of what the handler was given and has returned.
    """

    def __init__(
        self,
        head: RequestHead | None,
        body: RequestBody | None,
        refusal: Refusal | None = None,
    ):
        """Store the parts of a request."""
        self.head = head
        self.body = body
        self.refusal = refusal
        self.expects_continue = False
        self.streamed: StreamedBody | None = None
        self.handed_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return how much memory the request takes."""
        held = WAITING_REQUEST_BYTES + self.handed_bytes
        if self.head is not None:
            held += len(self.head.fields) + self.body.unread_bytes
        if self.streamed is not None:
            held += self.streamed.reserved
        return held


class RequestParser:
    """Split the bytes of one connection into requests.

    Attributes:
        ready: Requests whose header is complete, oldest first.
        ready_header_bytes: Size of their headers.
        ready_body_bytes: What was received of their bodies.
        pending: Bytes that are parsed once there is room in `ready`.
        broken: Whether no more requests can be read.
        dropped: Whether that is so as what was received was discarded.
        head_since: When the current header began, moved on by the time in which
            the host did not read.
        framing_bytes: Bytes received since the last byte of a body.
        came_at: When the bytes that are being parsed came.
        completed: Whether a request ended in the last slice.
        is_last: Whether no request is read after the current one.
        announcing_body: Whether the parser is given the header that stands for
            one whose body it skipped.
    """

    def __init__(self, max_header_bytes: int, read_more: ReadMore):
        """Refuse headers larger than `max_header_bytes`.

        Args:
            max_header_bytes: Maximum size of one header.
            read_more: Called by a body to receive more bytes.
        """
        self.read_more = read_more
        self.max_header_bytes = max_header_bytes
        self.ready: deque[ParsedRequest] = deque()
        self.ready_header_bytes = 0
        self.ready_body_bytes = 0
        self.pending = b""
        self.broken = False
        self.dropped = False
        self.parser = httptools.HttpRequestParser(self)
        self.in_head = False
        self.head_since = Deadline(0.0)
        self.head_bytes = 0
        self.head_received_bytes = 0
        self.head_too_large = False
        self.completed = False
        self.target = b""
        self.fields = bytearray()
        self.content_length: int | None = None
        self.transfer_coding: bytes | None = None
        self.expects_continue = False
        self.in_trailer = False
        self.framing_bytes = 0
        self.came_at = Deadline(0.0)
        self.body: RequestBody | None = None
        self.is_last = False
        self.announcing_body = False

    @property
    def idle(self) -> bool:
        """Return whether no request is being received."""
        return not (self.in_head or self.pending) and self.body is None

    @property
    def _ignores_head(self) -> bool:
        """Return whether what the parser reports is no caller's header."""
        return self.announcing_body or self.broken

    @property
    def full(self) -> bool:
        """Return whether as many requests wait as may."""
        return (
            len(self.ready) >= MAX_READ_AHEAD_REQUESTS
            or self.ready_header_bytes >= MAX_READ_AHEAD_HEADER_BYTES
        )

    @property
    def held_bytes(self) -> int:
        """Return how much memory is taken by what was not taken from here."""
        held = len(self.pending) + len(self.fields) + self.ready_body_bytes
        held += len(self.ready) * WAITING_REQUEST_BYTES
        return held + self.ready_header_bytes

    def skip_pause(self, start: Deadline, end: Deadline) -> None:
        """Don't count a time in which nothing was read for the header."""
        if self.in_head:
            pause = end - max(start, self.head_since)
            self.head_since = Deadline(self.head_since + pause)

    def next_request(self) -> ParsedRequest:
        """Take the oldest request from `ready`, and parse what has waited."""
        request = self.ready.popleft()
        if request.head is not None:
            self.ready_header_bytes -= len(request.head.fields)
            self.ready_body_bytes -= request.body.received
        if self.pending:
            self._parse()
        return request

    def drop(self) -> None:
        """Discard what was received; no more requests can be read."""
        self.broken = self.dropped = True
        self.drop_ready()
        self.fields = bytearray()
        if self.body is not None:
            self.body.content = bytearray()

    def close(self) -> None:
        """Discard what was received, and release the connection."""
        self.end()
        self.drop()
        self.parser = self.read_more = None

    def drop_ready(self) -> None:
        """Discard the requests that wait."""
        self.ready.clear()
        self.ready_header_bytes = self.ready_body_bytes = 0
        self.pending = b""

    def feed(self, data: bytes, came_at: Deadline | None = None) -> None:
        """Parse received bytes; requests appear in `ready`.

        Args:
            data: The bytes.
            came_at: When they came; now if None.
        """
        self.came_at = came_at or Deadline(trio.current_time())
        if self.broken:
            return
        self.pending = self.pending + data if self.pending else data
        self._parse()

    def _parse(self) -> None:
        """Parse what is pending while there is room for requests."""
        data, position = memoryview(self.pending), 0
        while position < len(data) and not (self.full or self.broken):
            end = position + self._slice_bytes()
            self._parse_slice(data[position:end])
            position = end
        self.pending = b"" if self.broken else bytes(data[position:])

    def _slice_bytes(self) -> int:
        """Return how many bytes may be parsed without another check."""
        if self.body is None or self.body.length is None:
            return SLICE_BYTES
        return max(SLICE_BYTES, self.body.length - self.body.received)

    def _parse_slice(self, data: memoryview) -> None:
        self.framing_bytes += len(data)
        self.completed = False
        try:
            self._feed_parser(data)
        except httptools.HttpParserError as error:
            self._break(RefusalReason.MALFORMED_REQUEST, str(error))
        limit = 2 * self.max_header_bytes
        # The start of a slice may belong to the request before.
        if self.in_head and not (self.broken or self.completed):
            self.head_received_bytes += len(data)
            self.head_too_large |= self.head_received_bytes > limit
        if self.body is not None and not self.broken:
            # httptools buffers a trailer of any length until its end.
            self.head_too_large |= self.framing_bytes > limit
        if self.head_too_large:
            self._break_too_large()

    def _feed_parser(self, data: memoryview) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.broken:
                return
            # httptools reads no body of a request that offers an upgrade.
            # agatetack doesn't switch, so its body follows as in any other.
            self._announce_body()
            if not self.broken:
                (position,) = upgrade.args
                self.parser.feed_data(data[position:])

    def _announce_body(self) -> None:
        """Have a new parser read the body of the current request."""
        framing = b"content-length: %d" % (self.content_length or 0)
        if self.transfer_coding is not None:
            framing = b"transfer-encoding: chunked"
        # Bytes of the other protocol may follow, which are no request.
        self.is_last = True
        self.parser = httptools.HttpRequestParser(self)
        self.announcing_body = True
        self.parser.feed_data(b"POST / HTTP/1.1\r\n%b\r\n\r\n" % framing)
        self.announcing_body = False

    def end(self) -> None:
        """Handle the end of the stream."""
        if self.body is not None:
            self.body.lost = True

    def _break_too_large(self) -> None:
        self._break(
            RefusalReason.HEADERS_TOO_LARGE,
            f"A header takes at most {self.max_header_bytes} bytes.",
        )

    def _break(self, reason: RefusalReason, detail: str) -> None:
        if self.broken:
            return
        self.broken = True
        if self.body is not None:
            self.body.lost = True
            return
        refusal = refuse(reason, detail)
        self.ready.append(ParsedRequest(None, None, refusal))

    def on_message_begin(self) -> None:
        """Start a request; called by the parser."""
        if self._ignores_head:
            return
        self.in_head = True
        self.head_since = Deadline(trio.current_time())
        self.head_bytes = 0
        self.head_received_bytes = 0
        self.target = b""
        self.fields = bytearray()
        self.content_length = None
        self.transfer_coding = None
        self.expects_continue = False
        self.in_trailer = False

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target; called by the parser."""
        if self._ignores_head:
            return
        self.target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; called by the parser."""
        if self._ignores_head:
            return
        self._count_head_bytes(len(name) + len(value) + 4)
        if self.in_trailer or self.head_too_large:
            return
        name = name.lower()
        self.fields += b"%b:%b\n" % (name, value)
        if name == b"content-length":
            # The parser has validated it.
            self.content_length = int(value)
        elif name == b"transfer-encoding":
            if self.transfer_coding is None:
                self.transfer_coding = value.strip().lower()
        elif name == b"expect":
            self.expects_continue |= value.lower() == b"100-continue"

    def _count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.max_header_bytes:
            self.head_too_large = True

    def on_headers_complete(self) -> None:
        """Add the request to `ready`; called by the parser."""
        if self._ignores_head:
            return
        self.in_head = False
        if self.head_too_large:
            self._break_too_large()
            return
        if not self._has_unambiguous_framing():
            self._break(
                RefusalReason.MALFORMED_REQUEST,
                "Only the transfer coding `chunked` is taken, in HTTP/1.1.",
            )
            return
        self.in_trailer = True
        self.framing_bytes = 0
        head = RequestHead(
            method=self.parser.get_method(),
            target=self.target,
            version=self.parser.get_http_version(),
            fields=bytes(self.fields),
            keep_alive=(
                self.parser.should_keep_alive()
                and not self.parser.should_upgrade()
            ),
            arrived=self.came_at,
        )
        self.fields = bytearray()
        self.body = RequestBody(self.content_length, self.read_more)
        request = ParsedRequest(head, self.body)
        request.expects_continue = self.expects_continue
        self.ready.append(request)
        self.ready_header_bytes += len(head.fields)

    def _has_unambiguous_framing(self) -> bool:
        """Return whether all parsers agree on where the body ends.

        httptools assumes no body for an unknown transfer coding, and other
        parsers may not (RFC 9112, 6.1).
        """
        if self.transfer_coding is None:
            return True
        version = self.parser.get_http_version()
        return self.transfer_coding == b"chunked" and version == "1.1"

    def on_body(self, data: bytes) -> None:
        """Add body bytes; called by the parser."""
        if self.body is not None:
            self.body.feed(data)
            if self.ready:
                # Otherwise, its request was taken already.
                self.ready_body_bytes += len(data)
            self.framing_bytes = 0

    def on_message_complete(self) -> None:
        """End the request; called by the parser."""
        if self.parser.should_upgrade() and not self.broken:
            # The body is still to come.
            return
        self.completed = True
        if self.body is not None:
            self.body.complete = True
            self.body = None
        if self.is_last:
            self.broken = True
