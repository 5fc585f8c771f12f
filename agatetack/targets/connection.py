"""Hold one connection to one target."""

import select

import trio

from agatetack.ids import Deadline
from agatetack.streams import PlainStream, open_plain_stream
from agatetack.targets.parser import AnswerParser
from agatetack.targets.state import TargetState

RECEIVE_BYTES = 64 * 1024


class ConnectFailed(Exception):
    """No connection could be opened; no byte was sent."""


class ConnectRefused(ConnectFailed):
    """Nothing listens at the target's address any more."""


class TargetConnection:
    """One connection; used for one request at a time.

    Attributes:
        target: What it is connected to.
        opened_at: When it was opened.
        last_byte_at: When the target last sent a byte, or the opening.
        requests: Requests sent on it so far.
        idle_seconds: How long the target keeps it idle, as it said, or None.
        closed: Whether it was closed.
    """

    def __init__(self, target: TargetState, stream: PlainStream):
        """Hold `stream`, which was just opened."""
        self.target = target
        self.stream = stream
        self.opened_at = Deadline(trio.current_time())
        self.last_byte_at = self.opened_at
        self.requests = 0
        self.idle_seconds: int | None = None
        self.closed = False

    def is_quiet(self) -> bool:
        """Return whether an idle connection has neither bytes nor its end.

        Bytes that came while no request was open belong to no answer, so
        the connection must not be used again.
        """
        poller = select.poll()
        poller.register(self.stream.sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    async def send(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            trio.BrokenResourceError: The connection is lost.
        """
        await self.stream.send_all(data)

    async def receive_into(self, parser: AnswerParser) -> None:
        """Receive once and give the bytes, or the end, to `parser`."""
        try:
            data = await self.stream.receive_some(RECEIVE_BYTES)
        except trio.BrokenResourceError:
            # A reset is no proper end of an answer without a length.
            parser.lose()
            return
        if data:
            self.last_byte_at = Deadline(trio.current_time())
            parser.feed(data)
        else:
            parser.end()

    def receive_nowait_into(self, parser: AnswerParser) -> None:
        """Give what is here to `parser`, without waiting for more."""
        try:
            data = self.stream.receive_nowait()
        except trio.BrokenResourceError:
            return
        if data:
            self.last_byte_at = Deadline(trio.current_time())
            parser.feed(data)

    def close(self) -> None:
        """Close at once; a request that is open there is cancelled by it."""
        if not self.closed:
            self.closed = True
            self.stream.close()


async def open_connection(
    target: TargetState, deadline: Deadline
) -> TargetConnection:
    """Open a connection to `target` before `deadline`.

    Raises:
        ConnectFailed: It was refused, or did not open in time.
    """
    try:
        with trio.move_on_at(deadline):
            stream = await open_plain_stream(target.ip, target.port)
            return TargetConnection(target, stream)
    except ConnectionRefusedError as error:
        raise ConnectRefused(str(error)) from error
    except OSError as error:
        raise ConnectFailed(str(error)) from error
    raise ConnectFailed("the connection did not open in time")
