"""Parse the responses on a connection to a target."""

import enum
import re
from collections import deque

import httptools

from agatetack.headers import read_count
from agatetack.messages import Header, find_header, is_status

MIN_FINAL_STATUS = 200
"""Statuses below this are interim: the final response follows."""

BODYLESS_STATUSES = frozenset({204, 304})

MAX_SKIPPED_ANSWERS = 16
"""Most responses to other requests that are skipped: a late one stands in the
way of the next, and each request can leave one behind."""

MAX_SKIPPED_BYTES = 1_048_576
"""Most bytes of their bodies."""


STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
"""Begins the head of a response. Within a reason phrase or a field's value it
shows that an earlier head ended early: its status and first fields are not
those of the response that follows."""


class AnswerState(enum.Enum):
    """How much of a response has been parsed."""

    HEAD = "head"
    BODY = "body"
    COMPLETE = "complete"
    BROKEN = "broken"


class AnswerParser:
    """Parses one response; each request on a connection needs a new parser.

    Attributes:
        state: How much has been parsed.
        status: The HTTP status, once the header is complete.
        headers: Header fields, names in lower case.
        length: The Content-Length, or None.
        parts: Body bytes not yet consumed.
        stray: Whether bytes were received that belong to no response.
        head_bytes: Bytes received until the header was complete.
        framing_bytes: Bytes received since the last byte of the body.
        keep_alive_seconds: The keep-alive timeout that the target announced,
            or None.
        body_bytes: Bytes of the body received so far.
        skipped: Number of earlier responses to other requests.
        skipped_bytes: Bytes of their bodies.
        lacks_echo: Whether the response lacks the expected request id header.
        first: Whether the connection carried no request before this one.
    """

    def __init__(
        self,
        method: bytes,
        max_header_bytes: int,
        echo: Header | None = None,
        first: bool = True,
    ):
        """Expect the response to a request with `method`.

        Args:
            method: The request's method.
            max_header_bytes: Maximum size of the header.
            echo: The header that the response to this request carries;
                responses with another value are skipped. None accepts any.
            first: Whether the connection carried no request before. On any
                other, a response without the header may belong to an earlier
                request, so it is skipped as well.
        """
        self.method = method
        self.echo = echo
        self.first = first
        self.body_bytes = 0
        self.skipped = 0
        self.skipped_bytes = 0
        self.skipping = False
        self.lacks_echo = False
        self.keep_alive_seconds: int | None = None
        self.max_header_bytes = max_header_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.state = AnswerState.HEAD
        self.status = 0
        self.reason = b""
        self.headers: list[Header] = []
        self.length: int | None = None
        self.chunked = False
        self.keep_alive = False
        self.parts: deque[bytes] = deque()
        self.stray = False
        self.head_bytes = 0
        self.framing_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes received on the connection."""
        if self.state is AnswerState.COMPLETE:
            self.stray = True
            return
        if self.state is AnswerState.HEAD:
            self.head_bytes += len(data)
        else:
            self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._break_unless_complete()
        if self._is_too_long():
            self.state = AnswerState.BROKEN

    def _is_too_long(self) -> bool:
        """Return whether an incomplete header or trailer is too long.

        What comes before the header counts, too: responses to other requests.

        httptools buffers a field until its end, without a size limit.
        """
        if self.state is AnswerState.HEAD:
            return (
                self.head_bytes > self.max_header_bytes
                or self.skipped > MAX_SKIPPED_ANSWERS
                or self.skipped_bytes > MAX_SKIPPED_BYTES
            )
        if self.state is AnswerState.BODY:
            return self.framing_bytes > self.max_header_bytes
        return False

    def _break_unless_complete(self) -> None:
        if self.state is AnswerState.COMPLETE:
            self.stray = True
        else:
            self.state = AnswerState.BROKEN

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the body ends only when the connection closes."""
        return self.length is None and not self.chunked

    def end(self) -> None:
        """Handle the regular end of the connection."""
        if self.state is AnswerState.COMPLETE:
            return
        if self.state is AnswerState.BODY and self.ends_with_connection:
            self.state = AnswerState.COMPLETE
            self.keep_alive = False
            return
        self.state = AnswerState.BROKEN

    def abort(self) -> None:
        """Handle a reset, which is not a valid end of any response."""
        if self.state is not AnswerState.COMPLETE:
            self.state = AnswerState.BROKEN

    def on_message_begin(self) -> None:
        """Handle the start of a response; called by httptools."""
        if self.state is AnswerState.COMPLETE:
            self.stray = True
        self.reason = b""

    def on_status(self, reason: bytes) -> None:
        """Handle a part of the reason phrase; called by httptools."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header field; called by httptools."""
        if self.state is AnswerState.HEAD and not self.skipping:
            self.headers.append(Header(name.lower(), value))

    def on_headers_complete(self) -> None:
        """Handle the end of the header; called by httptools."""
        if self.state is not AnswerState.HEAD:
            return
        if self._holds_two_heads():
            self.state = AnswerState.BROKEN
            return
        status = self.parser.get_status_code()
        if not is_status(status):
            self.state = AnswerState.BROKEN
            return
        if status < MIN_FINAL_STATUS:
            self.headers = []
            return
        if self._is_for_another():
            self.skipping = True
            self.skipped += 1
            self.headers = []
            return
        self.status = status
        self.keep_alive = self.parser.should_keep_alive()
        self._read_framing()
        if self.state is AnswerState.BROKEN:
            return
        if self.method == b"HEAD" or status in BODYLESS_STATUSES:
            self.state = AnswerState.COMPLETE
        else:
            self.state = AnswerState.BODY

    def _holds_two_heads(self) -> bool:
        if b"HTTP/" in self.reason and STATUS_LINE.search(self.reason):
            return True
        for _, value in self.headers:
            if b"HTTP/" in value and STATUS_LINE.search(value):
                return True
        return False

    def _is_for_another(self) -> bool:
        if self.echo is None:
            return False
        found = find_header(self.headers, self.echo.name)
        self.lacks_echo = found is None
        if self.lacks_echo:
            return not self.first
        return found != self.echo.value

    def _read_framing(self) -> None:
        for name, value in self.headers:
            if name == b"keep-alive":
                self.keep_alive_seconds = read_keep_alive(value)
            elif name == b"content-length":
                self.length = int(value)
            elif name == b"transfer-encoding":
                self.chunked = True
                if value.strip().lower() != b"chunked":
                    # Hop-by-hop headers are not forwarded, so the caller would
                    # get an encoded body without its transfer coding.
                    self.state = AnswerState.BROKEN

    def on_body(self, data: bytes) -> None:
        """Handle body bytes; called by httptools."""
        if self.skipping:
            self.skipped_bytes += len(data)
            return
        if self.state is AnswerState.BODY:
            self.body_bytes += len(data)
            self.parts.append(data)
            self.framing_bytes = 0
        else:
            self.stray = True

    def on_message_complete(self) -> None:
        """Handle the end of a response; called by httptools."""
        if self.skipping:
            self.skipping = False
            self.head_bytes = 0
            return
        if self.state is AnswerState.BODY:
            self.state = AnswerState.COMPLETE


def read_keep_alive(value: bytes) -> int | None:
    """Return the timeout in a Keep-Alive header, or None if it has none."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return read_count(seconds.strip())
    return None
