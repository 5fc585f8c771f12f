"""Stream the body of a target's response."""

import trio

from agatetack.messages import AnswerCut, Body
from agatetack.targets.connection import TargetConnection
from agatetack.targets.parser import AnswerParser, AnswerState
from agatetack.targets.pool import TargetPool

MAX_DROP_SECONDS = 0.02
"""Maximum wait for the rest of a body that is not needed; a short body arrives
together with its header."""


class TargetBody(Body):
    """A response body that is read from its connection on demand.

    The connection returns to its pool at the verified end of the body and is
    closed in every other case, so that no byte of this response can be taken
    for part of the next one.
    """

    def __init__(
        self,
        connection: TargetConnection,
        pool: TargetPool,
        parser: AnswerParser,
        reusable: bool,
        byte_timeout_seconds: float,
    ):
        """Read the rest of the response in `parser` from `connection`.

        Args:
            connection: The connection that the response arrives on.
            pool: The pool of the connection.
            parser: The parser that has read the header.
            reusable: Whether the request was sent completely.
            byte_timeout_seconds: Maximum time without a byte.
        """
        self.length = parser.length
        self.connection = connection
        self.pool = pool
        self.parser = parser
        self.reusable = reusable
        self.byte_timeout_seconds = byte_timeout_seconds
        self.settled = False
        self.taken = False
        self._settle_if_complete()

    def receive_nowait(self) -> bytes | None:
        """Return bytes that were already received, or None."""
        parts = self.parser.parts
        if not parts:
            return None
        self.taken = True
        data = parts.popleft() if len(parts) == 1 else b"".join(parts)
        parts.clear()
        return data

    def take_whole(self) -> bytes | None:
        """Return the complete body if it was received with the header."""
        if self.taken or self.parser.state is not AnswerState.COMPLETE:
            return None
        return self.receive_nowait() or b""

    async def receive(self) -> bytes:
        """Return the next bytes, or `b""` at the verified end.

        Raises:
            AnswerCut: The connection ended or went silent before the end.
        """
        while True:
            data = self.receive_nowait()
            if data is not None:
                return data
            if self.parser.state is AnswerState.COMPLETE:
                self._settle_if_complete()
                return b""
            if self.parser.state is AnswerState.BROKEN or self.settled:
                self._settle(reuse=False)
                raise AnswerCut("the response body is incomplete")
            await self._receive_more()

    async def _receive_more(self) -> None:
        with trio.move_on_after(self.byte_timeout_seconds) as scope:
            await self.connection.receive_into(self.parser)
        if scope.cancelled_caught:
            self.settled = True
            self.pool.suspect(self.connection, self.connection.last_byte_at)
            raise AnswerCut("the target sent no byte for too long")
        self._settle_if_complete()

    def _settle_if_complete(self) -> None:
        if self.parser.state is AnswerState.COMPLETE:
            self._settle(reuse=self.reusable and self.parser.keep_alive)

    def _settle(self, reuse: bool) -> None:
        if self.settled:
            return
        self.settled = True
        self.connection.idle_seconds = self.parser.keep_alive_seconds
        if reuse and not self.parser.stray:
            self.pool.put_back(self.connection)
        else:
            self.pool.discard(self.connection)

    async def drop(self) -> None:
        """Discard a short body, so that the connection can be reused."""
        with trio.move_on_after(MAX_DROP_SECONDS):
            while self.parser.state is AnswerState.BODY and not self.settled:
                self.parser.parts.clear()
                await self.connection.receive_into(self.parser)
                self._settle_if_complete()
        await self.aclose()

    async def aclose(self) -> None:
        """Close the connection unless the body was read to the end."""
        self._settle(reuse=False)
