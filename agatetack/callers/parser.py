"""Parse the requests that arrive on one connection."""

from collections import deque
from collections.abc import Awaitable, Callable

import httptools
import trio

from agatetack.callers.head import RequestHead, content_length
from agatetack.callers.streamed_body import StreamedBody
from agatetack.ids import Deadline
from agatetack.messages import Body, CallerGone, Header
from agatetack.outcomes import Refusal, RefusalReason, refuse

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


class RequestParser:
    """Split the bytes of one connection into requests.

    Attributes:
        ready: Requests whose header is complete, oldest first.
        broken: Whether no more requests can be read.
        head_since: When the current header began.
        framing_bytes: Bytes received since the last byte of a body.
        came_at: When the bytes that are being parsed came.
        completed: Whether a request ended in the bytes parsed last.
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
        self.broken = False
        self.parser = httptools.HttpRequestParser(self)
        self.in_head = False
        self.head_since = Deadline(0.0)
        self.head_bytes = 0
        self.head_received_bytes = 0
        self.head_too_large = False
        self.completed = False
        self.target = b""
        self.headers: list[Header] = []
        self.in_trailer = False
        self.framing_bytes = 0
        self.came_at = Deadline(0.0)
        self.body: RequestBody | None = None

    @property
    def idle(self) -> bool:
        """Return whether no request is being received."""
        return not self.in_head and self.body is None

    def feed(self, data: bytes, came_at: Deadline | None = None) -> None:
        """Parse received bytes; requests appear in `ready`.

        Args:
            data: The bytes.
            came_at: When they came; now if None.
        """
        self.came_at = came_at or Deadline(trio.current_time())
        if self.broken:
            return
        self.framing_bytes += len(data)
        self.completed = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported, and the next bytes may belong to
            # the other protocol, so the connection ends with this request.
            self.broken = True
        except httptools.HttpParserError as error:
            self._break(RefusalReason.MALFORMED_REQUEST, str(error))
        # Its start may belong to the request before.
        if self.in_head and not (self.broken or self.completed):
            self.head_received_bytes += len(data)
            limit = 2 * self.max_header_bytes
            self.head_too_large |= self.head_received_bytes > limit
        if self.body is not None and not self.broken:
            # httptools buffers a trailer of any length until its end.
            limit = 2 * self.max_header_bytes
            self.head_too_large |= self.framing_bytes > limit
        if self.head_too_large:
            self._break_too_large()

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
        self.in_head = True
        self.head_since = Deadline(trio.current_time())
        self.head_bytes = 0
        self.head_received_bytes = 0
        self.target = b""
        self.headers = []
        self.in_trailer = False

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target; called by the parser."""
        self.target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; called by the parser."""
        self._count_head_bytes(len(name) + len(value) + 4)
        if not self.in_trailer:
            self.headers.append(Header(name.lower(), value))

    def _count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.max_header_bytes:
            self.head_too_large = True

    def on_headers_complete(self) -> None:
        """Add the request to `ready`; called by the parser."""
        if self.broken:
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
            headers=self.headers,
            keep_alive=self.parser.should_keep_alive(),
            arrived=self.came_at,
        )
        self.body = RequestBody(content_length(self.headers), self.read_more)
        request = ParsedRequest(head, self.body)
        for name, value in self.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                request.expects_continue = True
        self.ready.append(request)

    def _has_unambiguous_framing(self) -> bool:
        """Return whether all parsers agree on where the body ends.

        httptools assumes no body for an unknown transfer coding, and other
        parsers may not (RFC 9112, 6.1).
        """
        for name, value in self.headers:
            if name == b"transfer-encoding":
                version = self.parser.get_http_version()
                return value.strip().lower() == b"chunked" and version == "1.1"
        return True

    def on_body(self, data: bytes) -> None:
        """Add body bytes; called by the parser."""
        if self.body is not None:
            self.body.feed(data)
            self.framing_bytes = 0

    def on_message_complete(self) -> None:
        """End the request; called by the parser."""
        self.completed = True
        if self.body is not None:
            self.body.complete = True
            self.body = None
