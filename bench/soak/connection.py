"""Speak HTTP/1.1 as a caller, on connections that stay open."""

import dataclasses
import math
import re
import socket
from collections import deque

import httptools
import trio

from agatetack.ids import Deadline
from agatetack.streams import unacknowledged_bytes
from bench.soak.relays import LinkEnded, Relay

TIMEOUT = re.compile(rb"timeout=([0-9.]+)")
"""What a `Keep-Alive` header says."""


class ConnectionCut(Exception):
    """The connection ended before the whole answer."""


class AnswerMalformed(ConnectionCut):
    """What came is no answer."""


@dataclasses.dataclass(slots=True)
class CallerAnswer:
    """One answer as a caller reads it.

    Attributes:
        status: The HTTP status.
        headers: Header fields, names in lower case; the last one counts.
        body: The whole body.
        keep_alive: Whether the connection may be used again.
    """

    status: int = 0
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class AnswerReader:
    """Turn the bytes of one connection into answers."""

    def __init__(self) -> None:
        """Start with no answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.complete: deque[CallerAnswer] = deque()
        self.current = CallerAnswer()

    def on_message_begin(self) -> None:
        """Start an answer."""
        self.current = CallerAnswer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header field."""
        self.current.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.current.body += body

    def on_message_complete(self) -> None:
        """Finish the answer."""
        self.current.status = self.parser.get_status_code()
        self.current.keep_alive = self.parser.should_keep_alive()
        self.complete.append(self.current)


class Connection:
    """One connection of a caller.

    Attributes:
        stream: The TCP stream, or the relay in its place.
        usable: Whether further requests may be sent on it.
        lapses: When the host may close it while it is idle.
    """

    def __init__(self, stream: trio.SocketStream | Relay):
        """Use `stream`."""
        self.stream = stream
        self.reader = AnswerReader()
        self.usable = True
        self.lapses = Deadline(math.inf)

    @property
    def open(self) -> bool:
        """Return whether an idle connection still stands."""
        if trio.current_time() >= self.lapses:
            return False
        if isinstance(self.stream, Relay):
            return self.stream.open
        try:
            self.stream.socket._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Either its end, or bytes that belong to no request.
        return False

    @property
    def delivered(self) -> bool:
        """Return whether the host's kernel took all that was sent.

        It takes nothing more once the process has closed the connection.
        """
        if isinstance(self.stream, Relay):
            return self.stream.delivered
        return unacknowledged_bytes(self.stream.socket._sock) == 0

    @property
    def held(self) -> bool:
        """Return whether an answer has come that was not received yet."""
        return bool(self.reader.complete)

    async def send(self, data: bytes) -> None:
        """Send bytes of requests.

        Raises:
            ConnectionCut: The host has closed the connection.
        """
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.usable = False
            raise ConnectionCut("on sending") from error

    async def receive(self) -> CallerAnswer:
        """Return the next answer.

        Raises:
            ConnectionCut: The connection ended.
            AnswerMalformed: What came is no answer.
        """
        while not self.reader.complete:
            try:
                data = await self.stream.receive_some()
                if not data:
                    raise ConnectionCut("closed")
                self.reader.parser.feed_data(data)
            except httptools.HttpParserError as error:
                self.usable = False
                raise AnswerMalformed(type(error).__name__) from error
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                self.usable = False
                raise ConnectionCut(type(error).__name__) from error
            except LinkEnded as error:
                self.usable = False
                body = len(self.reader.current.body)
                raise ConnectionCut(
                    f"closed after {body} bytes of a body, {error}"
                ) from error
            except ConnectionCut:
                self.usable = False
                raise
        answer = self.reader.complete.popleft()
        self.usable = self.usable and answer.keep_alive
        found = TIMEOUT.search(answer.headers.get(b"keep-alive", b""))
        if found is not None:
            seconds = float(found[1])
            self.lapses = Deadline(trio.current_time() + seconds)
        return answer

    async def close(self) -> None:
        """Close the connection."""
        self.usable = False
        if isinstance(self.stream, Relay):
            self.stream.end_caller()
        else:
            await trio.aclose_forcefully(self.stream)
