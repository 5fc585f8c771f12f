"""Parse the answers that arrive on one connection to a target."""

import enum
from collections import deque

import httptools

from agatetack.headers import read_count
from agatetack.messages import Header, find_header

INTERIM_LIMIT = 200
"""Statuses below this are interim; the answer is still to come."""

BODYLESS = frozenset({204, 304})


class AnswerState(enum.Enum):
    """How much of an answer has been parsed."""

    HEAD = "head"
    BODY = "body"
    COMPLETE = "complete"
    BROKEN = "broken"


class AnswerParser:
    """Parse one answer; a connection takes a new one for each request.

    Attributes:
        state: How much has been parsed.
        status: The HTTP status, once the header is complete.
        headers: Header fields, names in lower case.
        length: The announced Content-Length, or None.
        parts: Body bytes not yet taken.
        stray: Whether bytes came that belong to no answer.
        head_bytes: Bytes received until the header was complete.
        framing_bytes: Bytes received since the last byte of the body.
        keep_alive_seconds: How long the target keeps an idle connection, as
            it said, or None.
        skipped: Answers to other requests that came before.
        unnamed: Whether the answer says nothing of whose it is.
    """

    def __init__(
        self,
        method: bytes,
        max_header_bytes: int,
        echo: Header | None = None,
    ):
        """Expect the answer to a request with `method`.

        Args:
            method: The request's method.
            max_header_bytes: Bound of the header.
            echo: The header that tells the answer from those to other
                requests, which are passed over; None takes any.
        """
        self.method = method
        self.echo = echo
        self.skipped = 0
        self.skipping = False
        self.unnamed = False
        self.keep_alive_seconds: int | None = None
        self.max_header_bytes = max_header_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.state = AnswerState.HEAD
        self.status = 0
        self.headers: list[Header] = []
        self.length: int | None = None
        self.chunked = False
        self.keep_alive = False
        self.parts: deque[bytes] = deque()
        self.stray = False
        self.head_bytes = 0
        self.framing_bytes = 0

    def feed(self, data: bytes) -> None:
        """Take bytes of the connection."""
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
        """Return whether a header or trailer under way is too long.

        The parser below keeps a field until its end, however long it gets.
        """
        if self.state is AnswerState.HEAD:
            return self.head_bytes > self.max_header_bytes
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
        """Return whether only the connection's end tells the body's end."""
        return self.length is None and not self.chunked

    def end(self) -> None:
        """Take the connection's end."""
        if self.state is AnswerState.COMPLETE:
            return
        if self.state is AnswerState.BODY and self.ends_with_connection:
            self.state = AnswerState.COMPLETE
            self.keep_alive = False
            return
        self.state = AnswerState.BROKEN

    def lose(self) -> None:
        """Take the loss of the connection, which ends no answer properly."""
        if self.state is not AnswerState.COMPLETE:
            self.state = AnswerState.BROKEN

    def on_message_begin(self) -> None:
        """Start an answer; called by the parser."""
        if self.state is AnswerState.COMPLETE:
            self.stray = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field; called by the parser."""
        if self.state is AnswerState.HEAD and not self.skipping:
            self.headers.append(Header(name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take the end of the header; called by the parser."""
        if self.state is not AnswerState.HEAD:
            return
        status = self.parser.get_status_code()
        if status < INTERIM_LIMIT:
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
        if self.method == b"HEAD" or status in BODYLESS:
            self.state = AnswerState.COMPLETE
        else:
            self.state = AnswerState.BODY

    def _is_for_another(self) -> bool:
        if self.echo is None:
            return False
        found = find_header(self.headers, self.echo.name)
        self.unnamed = found is None
        return found not in (None, self.echo.value)

    def _read_framing(self) -> None:
        for name, value in self.headers:
            if name == b"keep-alive":
                self.keep_alive_seconds = read_keep_alive(value)
            elif name == b"content-length":
                self.length = int(value)
            elif name == b"transfer-encoding":
                self.chunked = True
                if value.strip().lower() != b"chunked":
                    # The coding would be dropped with the header, and the
                    # caller could not read the body.
                    self.state = AnswerState.BROKEN

    def on_body(self, data: bytes) -> None:
        """Take body bytes; called by the parser."""
        if self.skipping:
            return
        if self.state is AnswerState.BODY:
            self.parts.append(data)
            self.framing_bytes = 0
        else:
            self.stray = True

    def on_message_complete(self) -> None:
        """Take the end of the answer; called by the parser."""
        if self.skipping:
            self.skipping = False
            self.head_bytes = 0
            return
        if self.state is AnswerState.BODY:
            self.state = AnswerState.COMPLETE


def read_keep_alive(value: bytes) -> int | None:
    """Return the seconds in a Keep-Alive header, or None if it has none."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return read_count(seconds.strip())
    return None
