"""Stream the body of a target's answer."""

import trio

from agatetack.messages import AnswerCut, Body
from agatetack.targets.connection import TargetConnection
from agatetack.targets.parser import AnswerParser, AnswerState
from agatetack.targets.pool import TargetPool

DROP_SECONDS = 0.02
"""Longest wait for the rest of a body that nobody needs; a short one comes
with its header."""


class TargetBody(Body):
    """An answer's body, read from its connection as it is asked for.

    The connection goes back to its pool at the verified end, and is closed
    in every other case, so that no byte of this answer can be taken for
    another's.
    """

    def __init__(
        self,
        connection: TargetConnection,
        pool: TargetPool,
        parser: AnswerParser,
        reusable: bool,
        byte_timeout_seconds: float,
    ):
        """Read the rest of `parser`'s answer from `connection`.

        Args:
            connection: Where the bytes come from.
            pool: Where the connection goes back to.
            parser: The parser that has read the header.
            reusable: Whether the request was sent whole.
            byte_timeout_seconds: Longest time without a byte.
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
        """Return bytes received already, or None."""
        parts = self.parser.parts
        if not parts:
            return None
        self.taken = True
        data = parts.popleft() if len(parts) == 1 else b"".join(parts)
        parts.clear()
        return data

    def take_whole(self) -> bytes | None:
        """Return the whole body if it came with the header."""
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
                raise AnswerCut("the answer ended before its end")
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
        """Read the rest of a short body, so that the connection is kept."""
        with trio.move_on_after(DROP_SECONDS):
            while self.parser.state is AnswerState.BODY and not self.settled:
                self.parser.parts.clear()
                await self.connection.receive_into(self.parser)
                self._settle_if_complete()
        await self.aclose()

    async def aclose(self) -> None:
        """Close the connection unless the body was read to its end."""
        self._settle(reuse=False)
