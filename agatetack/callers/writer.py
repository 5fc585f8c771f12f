"""Write answers to one caller's connection."""

import http

import trio

from agatetack.callers.delivery import Delivery
from agatetack.ids import Deadline
from agatetack.messages import Answer, Header

BODYLESS_STATUSES = frozenset({204, 304})
"""Statuses whose answers have no body (RFC 9112, 6.3)."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in http.HTTPStatus
}


def status_line(status: int) -> bytes:
    """Return the first line of an answer."""
    return STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status


def answer_head(
    status: int, headers: list[Header], framing: bytes, close: bool
) -> bytes:
    """Return the bytes of an answer's header.

    Args:
        status: The HTTP status.
        headers: Header fields without lengths and hop-by-hop ones.
        framing: A complete Content-Length or Transfer-Encoding line, or
            nothing.
        close: Whether the connection ends with this answer.
    """
    parts = [status_line(status)]
    for name, value in headers:
        parts.append(b"%b: %b\r\n" % (name, value))
    parts.append(framing)
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


class AnswerWriter:
    """Writes answers one after the other to one stream.

    Attributes:
        sending_since: When the current send began, or None.
            `reap_connections` resets the connection when that is too long
            ago; a timeout around each send would cost more than the send.
        unfinished: Whether an answer was begun and is not written whole.
        written_bytes: Bytes of the last answer that were written, with its
            header.
        status: The last answer's status; 0 before the first one.
        body_length: The last answer's announced length; None without one.
        ends_with_connection: Whether nothing but the connection's end shows
            the end of the last answer.
        delivery: Takes note of what was sent.
    """

    def __init__(self, stream: trio.abc.Stream, delivery: Delivery):
        """Write to `stream`, which `delivery` follows."""
        self.stream = stream
        self.delivery = delivery
        self.unfinished = False
        self.written_bytes = 0
        self.status = 0
        self.body_length: int | None = None
        self.ends_with_connection = False
        self.sending_since: Deadline | None = None

    async def send(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            trio.BrokenResourceError: The caller is gone.
        """
        self.sending_since = Deadline(trio.current_time())
        await self.stream.send_all(data)
        self.sending_since = None
        self.delivery.note_sent(len(data))
        self.written_bytes += len(data)

    async def write(
        self, answer: Answer, method: bytes, version: str, close: bool
    ) -> bool:
        """Write an answer, and return whether the connection may be kept.

        Args:
            answer: What to write; its body is read to the end.
            method: The request's method; HEAD gets no body.
            version: The request's HTTP version.
            close: Whether the connection ends with this answer.

        Raises:
            AnswerCut: The body was cut off; the connection must be aborted.
            trio.BrokenResourceError: The caller is gone.
        """
        self.written_bytes = 0
        self.unfinished = True
        self.ends_with_connection = False
        self.status, self.body_length = answer.status, answer.body.length
        if method == b"HEAD" or answer.status in BODYLESS_STATUSES:
            await self._write_without_body(answer, method, close)
            self.unfinished = False
            return not close
        length = answer.body.length
        chunked = length is None and version == "1.1"
        self.ends_with_connection = length is None and not chunked
        close = close or self.ends_with_connection
        if chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        elif length is not None:
            framing = b"Content-Length: %d\r\n" % length
        else:
            framing = b""
        head = answer_head(answer.status, answer.headers, framing, close)
        if chunked:
            await self._write_chunks(head, answer)
        else:
            await self._write_plain(head, answer)
        self.unfinished = False
        return not close

    async def _write_without_body(
        self, answer: Answer, method: bytes, close: bool
    ) -> None:
        framing = b""
        if method == b"HEAD" and answer.body.length is not None:
            framing = b"Content-Length: %d\r\n" % answer.body.length
        await self.send(
            answer_head(answer.status, answer.headers, framing, close)
        )

    async def _write_plain(self, head: bytes, answer: Answer) -> None:
        data = answer.body.receive_nowait()
        await self.send(head if data is None else head + data)
        while True:
            data = await answer.body.receive()
            if not data:
                return
            await self.send(data)

    async def _write_chunks(self, head: bytes, answer: Answer) -> None:
        data = answer.body.receive_nowait()
        await self.send(head if data is None else head + _chunk(data))
        while True:
            data = await answer.body.receive()
            if not data:
                break
            await self.send(_chunk(data))
        await self.send(b"0\r\n\r\n")


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
