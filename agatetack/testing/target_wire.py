"""Read requests and write answer heads for the fake target."""

import dataclasses
import http
from collections import deque

import httptools

MAX_KEPT_BODY_BYTES = 1 << 20
"""Bytes of a request's body that are kept; the rest is only counted."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclasses.dataclass(slots=True)
class TargetRequest:
    """One request as a target reads it.

    Attributes:
        method: The HTTP method.
        url: Path and query.
        headers: Header fields, names in lower case; the last one counts.
        body: The start of the body.
        body_length: Length of the whole body, in bytes.
        keep_alive: Whether the connection may be used again.
    """

    method: bytes = b""
    url: bytes = b""
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    body_length: int = 0
    keep_alive: bool = True

    @property
    def path(self) -> bytes:
        """Return the path without its query."""
        return self.url.partition(b"?")[0]

    def query(self, name: bytes) -> bytes | None:
        """Return the first value of query parameter `name`, or None."""
        for pair in self.url.partition(b"?")[2].split(b"&"):
            key, _, value = pair.partition(b"=")
            if key == name:
                return value
        return None

    def contains(self, mark: bytes) -> bool:
        """Return whether `mark` stands in the path, a header or the body."""
        if mark in self.url or mark in self.body:
            return True
        return any(mark in value for value in self.headers.values())


class RequestReader:
    """Turn bytes of one connection into requests.

    Attributes:
        complete: Requests that are read whole, oldest first.
        wants_continue: Whether a caller waits for `100 Continue`.
    """

    def __init__(self) -> None:
        """Start with no request."""
        self.parser = httptools.HttpRequestParser(self)
        self.complete: deque[TargetRequest] = deque()
        self.current = TargetRequest()
        self.wants_continue = False

    def feed(self, data: bytes) -> None:
        """Take bytes from the connection.

        Raises:
            httptools.HttpParserError: They are no HTTP/1.1 request.
        """
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Start a request."""
        self.current = TargetRequest()

    def on_url(self, url: bytes) -> None:
        """Take a piece of the path and query."""
        self.current.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header field."""
        self.current.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Note the method, and whether the body waits for leave."""
        self.current.method = self.parser.get_method()
        expected = self.current.headers.get(b"expect", b"")
        self.wants_continue = expected.lower() == b"100-continue"

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self.wants_continue = False
        self.current.body_length += len(body)
        if len(self.current.body) < MAX_KEPT_BODY_BYTES:
            self.current.body += body

    def on_message_complete(self) -> None:
        """Hand the request over."""
        self.wants_continue = False
        self.current.keep_alive = self.parser.should_keep_alive()
        self.complete.append(self.current)


def status_line(status: int) -> bytes:
    """Return the first line of an answer."""
    phrase = http.HTTPStatus(status).phrase.encode()
    return b"HTTP/1.1 %d %s\r\n" % (status, phrase)
