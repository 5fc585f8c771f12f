"""Stream the body of a target's response."""

import dataclasses

import trio

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, RequestId
from agatetack.messages import AnswerCut, AnswerOverdue, Body
from agatetack.targets.connection import TargetConnection
from agatetack.targets.parser import AnswerParser, AnswerState
from agatetack.targets.pool import TargetPool

MAX_DROP_SECONDS = 0.02
"""Maximum wait for the rest of a body that is not needed; a short body arrives
together with its header."""


MAX_DROP_BYTES = 65_536
"""Most bytes that are read of such a body; a new connection costs less than
more of them."""

MAX_BYTES_PER_SECOND = 1.25e9
"""What a link of 10 Gbit/s carries; no body comes faster."""

MIN_STEADY_BYTES_PER_SECOND = 1024
"""Least rate of a body that outlasts its request's deadline; a link of
8 kbit/s carries as much."""

log = DecisionLog("targets")


@dataclasses.dataclass(frozen=True, slots=True)
class BodyPlan:
    """How a response body is read.

    Attributes:
        request: The id of the request that it answers.
        until: When its last byte must have come.
        steady_from: After this time it must come steadily; earlier, it may
            pause as long as `byte_timeout_seconds`.
        byte_timeout_seconds: Maximum time without a byte.
        reusable: Whether the request was sent completely.
    """

    request: RequestId
    until: Deadline
    steady_from: Deadline
    byte_timeout_seconds: float
    reusable: bool


def is_deliverable(length: int | None, until: Deadline) -> bool:
    """Return whether a body of announced length can come by a deadline."""
    seconds = until - trio.current_time()
    # Some bytes arrive with the header, also at the deadline.
    most = MAX_BYTES_PER_SECOND * max(1.0, seconds)
    return length is None or length <= most


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
        plan: BodyPlan,
    ):
        """Read the rest of the response in `parser` from `connection`.

        Args:
            connection: The connection that the response arrives on.
            pool: The pool of the connection.
            parser: The parser that has read the header.
            plan: Until when it is read.
        """
        self.length = parser.length
        self.connection = connection
        self.pool = pool
        self.parser = parser
        self.plan = plan
        self.cut: AnswerCut | None = None
        self.steady_bytes = 0
        self.steady_wait_seconds = 0.0
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
            AnswerCut: The connection ended or went silent before the end, or
                the body came too slowly.
            AnswerOverdue: The body was not complete in time.
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
                raise self.cut or AnswerCut("the response body is incomplete")
            await self._receive_more()

    async def _receive_more(self) -> None:
        now = trio.current_time()
        until = min(self.plan.until, now + self.plan.byte_timeout_seconds)
        if now < self.plan.until:
            with trio.move_on_at(until) as scope:
                await self.connection.receive_into(self.parser)
            if scope.cancelled_caught and until < self.plan.until:
                self.settled = True
                self.pool.suspect(self.connection, self.connection.last_byte_at)
                self._note_cut(
                    AnswerCut("the target sent no byte for too long")
                )
                raise self.cut
        else:
            # The caller may have taken longer than the target.
            self.connection.receive_nowait_into(self.parser)
        self._settle_if_complete()
        if self.settled:
            return
        if trio.current_time() >= self.plan.until:
            self._cut(AnswerOverdue("the response body is overdue"))
        elif now >= self.plan.steady_from and self._is_slow(now):
            self._cut(AnswerCut("the response body comes too slowly"))

    def _is_slow(self, waited_since: float) -> bool:
        """Return whether the target delivers too little while it is waited for.

        A caller that reads slowly does not count: nothing is waited for then.
        """
        self.steady_wait_seconds += trio.current_time() - waited_since
        self.steady_bytes += sum(map(len, self.parser.parts))
        if self.steady_wait_seconds < self.plan.byte_timeout_seconds:
            return False
        rate = self.steady_bytes / self.steady_wait_seconds
        self.steady_wait_seconds, self.steady_bytes = 0.0, 0
        return rate < MIN_STEADY_BYTES_PER_SECOND

    def _cut(self, cut: AnswerCut) -> None:
        """Close the connection, which cancels the request at the target."""
        self._settle(reuse=False)
        self._note_cut(cut)
        raise cut

    def _note_cut(self, cut: AnswerCut) -> None:
        self.cut = cut
        log.note(
            "answer-cut",
            request=self.plan.request,
            target=self.connection.target.id,
            why=str(cut),
            body_bytes=self.length,
            received_bytes=self.parser.body_bytes,
        )

    def _settle_if_complete(self) -> None:
        if self.parser.state is AnswerState.COMPLETE:
            self._settle(reuse=self.plan.reusable and self.parser.keep_alive)

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
            while (
                self.parser.state is AnswerState.BODY
                and not self.settled
                and self.parser.body_bytes < MAX_DROP_BYTES
            ):
                self.parser.parts.clear()
                await self.connection.receive_into(self.parser)
                self._settle_if_complete()
        await self.aclose()

    async def aclose(self) -> None:
        """Close the connection unless the body was read to the end."""
        self._settle(reuse=False)
