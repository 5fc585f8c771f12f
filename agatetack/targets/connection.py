"""Open and use a connection to a target."""

import select

import trio

from agatetack.ids import Deadline, RequestId
from agatetack.streams import PlainStream, met_reset, open_plain_stream
from agatetack.targets.parser import AnswerParser
from agatetack.targets.state import TargetState

RECEIVE_BYTES = 64 * 1024


class ConnectFailed(Exception):
    """The connection could not be opened; no byte was sent."""


class ConnectRefused(ConnectFailed):
    """Nothing listens at the target's address."""


class ConnectTimedOut(ConnectFailed):
    """The target did not respond to the attempt to connect."""


class TargetConnection:
    """A connection that carries one request at a time.

    Attributes:
        target: The target at the other end.
        opened_at: When it was opened.
        last_byte_at: When the last byte was received; at first `opened_at`.
        requests: Requests sent on it so far.
        rejected: Ids of the requests that the target rejected on it. They are
            not sent on it again: a late copy of the rejection would be taken
            for the response to the second send, which may run.
        idle_seconds: The keep-alive timeout that the target announced, or None.
        closed: Whether this host has closed it.
        was_reset: Whether sending has met a reset.
    """

    def __init__(self, target: TargetState, stream: PlainStream):
        """Wrap a newly opened `stream`."""
        self.target = target
        self.stream = stream
        self.opened_at = Deadline(trio.current_time())
        self.last_byte_at = self.opened_at
        self.requests = 0
        self.rejected: set[RequestId] = set()
        self.idle_seconds: int | None = None
        self.closed = False
        self.was_reset = False

    def is_quiet(self) -> bool:
        """Return whether there is nothing to read, neither bytes nor the end.

        Bytes received while no request is in progress belong to no response,
        so the connection must not be reused.
        """
        poller = select.poll()
        poller.register(self.stream.sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    async def send(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            trio.BrokenResourceError: The connection was lost.
        """
        try:
            await self.stream.send_all(data)
        except trio.BrokenResourceError as error:
            self.was_reset = self.was_reset or met_reset(error)
            raise

    async def receive_into(self, parser: AnswerParser) -> None:
        """Receive once and pass the bytes, or the end, to `parser`."""
        try:
            data = await self.stream.receive_some(RECEIVE_BYTES)
        except trio.BrokenResourceError:
            # A reset is not a valid end of a response without a length.
            parser.abort()
            return
        if data:
            self.last_byte_at = Deadline(trio.current_time())
            parser.feed(data)
        elif self.was_reset:
            parser.abort()
        else:
            parser.end()

    def receive_nowait_into(self, parser: AnswerParser) -> None:
        """Pass bytes already received to `parser` without waiting."""
        try:
            data = self.stream.receive_nowait()
        except trio.BrokenResourceError:
            return
        if data:
            self.last_byte_at = Deadline(trio.current_time())
            parser.feed(data)

    def close(self) -> None:
        """Close at once, which cancels a request in progress."""
        if not self.closed:
            self.closed = True
            self.stream.close()


async def open_connection(
    target: TargetState, deadline: Deadline
) -> TargetConnection:
    """Open a connection to `target` before `deadline`.

    Raises:
        ConnectFailed: It was refused or failed.
        ConnectTimedOut: The deadline passed.
    """
    try:
        with trio.move_on_at(deadline):
            stream = await open_plain_stream(target.ip, target.port)
            return TargetConnection(target, stream)
    except ConnectionRefusedError as error:
        raise ConnectRefused(str(error)) from error
    except OSError as error:
        raise ConnectFailed(str(error)) from error
    raise ConnectTimedOut("the connection did not open in time")
