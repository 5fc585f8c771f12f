"""Read from a connection while its requests are being served.

This allows pipelining and early detection of lost callers. A connection that
is read only between requests notices neither that its caller has gone nor
that more requests have arrived until the answer is written.
"""

import trio

from agatetack.callers.connection import CallerConnection
from agatetack.callers.parser import ParsedRequest
from agatetack.ids import Deadline
from agatetack.messages import CallerGone
from agatetack.outcomes import RefusalReason
from agatetack.streams import RECEIVE_BUFFER_BYTES

SAFE_METHODS = frozenset({b"GET", b"HEAD"})
"""Methods whose requests may start before earlier ones are answered
(RFC 9112, 9.3.2)."""

MAX_READ_AHEAD_BYTES = 64 * 1024
"""Maximum of body bytes read but not consumed; then reading pauses.

Bodies that wait for a free slot hold this much each, outside the host's bound
of kept bodies. At 256 KB, 100 waiting uploads could hold 25 MB. TCP flow
control slows down the caller while reading is paused.
"""


class ReadAheadConnection(CallerConnection):
    """A connection that one task reads while others answer its requests.

    Attributes:
        unanswered: Requests started and not yet fully answered.
        input_arrived: Set and replaced when bytes or the stream's end arrive.
        bytes_wanted: Set when a body needs more bytes, or there is room for
            more requests.
        answered_one: Set and replaced when a request was answered.
        lost: Whether the connection is lost.
    """

    def __init__(self, *args, **kwargs):
        """Take the arguments of `CallerConnection`."""
        super().__init__(*args, **kwargs)
        self.unanswered = 0
        self.input_arrived = trio.Event()
        self.bytes_wanted = trio.Event()
        self.answered_one = trio.Event()
        self.lost = False

    async def _serve_requests(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_ahead)
            await self._answer_all()
            nursery.cancel_scope.cancel()

    async def _read_ahead(self) -> None:
        try:
            await self._read_until_end()
        except trio.Cancelled:
            # An attempt that is shielded may still wait for the body.
            self._note_lost()
            raise
        if self._is_gone() and self.busy:
            self.metrics.refused(None, RefusalReason.CALLER_GONE)
            self.abort()

    def abort(self) -> None:
        """Reset the connection at once and cancel what runs for it."""
        self._note_lost()
        super().abort()

    def _note_lost(self) -> None:
        """Wake up what waits for input, as there will be none."""
        self.lost = True
        self.input_arrived.set()

    async def _read_until_end(self) -> None:
        while not (self.ended or self.lost or self.parser.broken):
            if self._is_full():
                self.bytes_wanted = trio.Event()
                await self.bytes_wanted.wait()
            try:
                await super()._read_more()
                self._read_available()
            except (CallerGone, trio.BrokenResourceError):
                self.lost = True
            self._drop_if_gone()
            self.input_arrived.set()
            self.input_arrived = trio.Event()

    def _read_available(self) -> None:
        """Read all bytes that have arrived, and the stream's end if it has.

        A host that was busy or paused finds requests whose callers left long
        ago; the end of the stream right after such a request shows it.

        Raises:
            trio.BrokenResourceError: The connection is lost.
        """
        transport = self.transport
        if transport is None or transport is not self.stream:
            return
        while not (self.ended or self._is_full()):
            data = transport.receive_nowait()
            if data is None:
                return
            self._feed(data)

    def _is_gone(self) -> bool:
        """Return whether the caller no longer waits for answers."""
        return self.lost or (self.ended and self.settings.end_means_gone)

    def _drop_if_gone(self) -> None:
        """Drop the waiting requests of a caller that has gone."""
        if self._is_gone() and self.parser.ready:
            self.parser.drop_ready()
            self.metrics.refused(None, RefusalReason.CALLER_GONE)

    def _is_full(self) -> bool:
        if self.parser.full or self.parser.pending:
            return True
        body = self.parser.body
        return body is not None and body.unread_bytes >= MAX_READ_AHEAD_BYTES

    def _held_bytes(self) -> int:
        held = super()._held_bytes()
        if self._is_full():
            # The kernel may hold as much while nothing is read.
            held += 2 * RECEIVE_BUFFER_BYTES
        return held

    async def _next_request(self) -> ParsedRequest | None:
        parsed = await super()._next_request()
        if not self._is_full():
            # Reading may have paused as too many requests were waiting.
            self.bytes_wanted.set()
        return parsed

    async def _read_more(self) -> None:
        """Wait until the reading task has received something.

        Raises:
            CallerGone: The connection is lost.
        """
        self.bytes_wanted.set()
        await self._read_for_next_request()

    async def _read_for_next_request(self) -> None:
        """Wait until the reading task has received something.

        While reading is paused, the body of an earlier request has to be read
        first; to ask for bytes here would read all of it into memory.

        Raises:
            CallerGone: The connection is lost.
        """
        if not (self.lost or self.ended):
            await self.input_arrived.wait()
        if self.lost:
            raise CallerGone

    async def _answer_all(self) -> None:
        before = trio.Event()
        before.set()
        async with trio.open_nursery() as nursery:
            while (parsed := await self._next_request()) is not None:
                self.busy = True
                self.unanswered += 1
                await self._wait_until_startable(parsed, before)
                done = trio.Event()
                nursery.start_soon(
                    self._answer_in_turn,
                    parsed,
                    before,
                    done,
                    nursery.cancel_scope,
                )
                before = done

    async def _wait_until_startable(
        self, parsed: ParsedRequest, before: trio.Event
    ) -> None:
        """Wait until `parsed` may run beside the earlier requests."""
        if not _is_pipelinable(parsed):
            await before.wait()
        while self.unanswered > self.settings.pipeline_depth:
            await self.answered_one.wait()

    async def _answer_in_turn(
        self,
        parsed: ParsedRequest,
        before: trio.Event,
        done: trio.Event,
        requests_scope: trio.CancelScope,
    ) -> None:
        """Answer a request after the earlier ones of the connection.

        Requests after an answer that ends the connection are cancelled.
        """
        keep = await self._answer_one(parsed, before)
        self.unanswered -= 1
        if not self.unanswered:
            self.busy = False
            self.idle_since = Deadline(trio.current_time())
            if self.closing and self._is_between_requests():
                # The drain may have begun after the header was written.
                keep = False
        if not keep:
            # Without a turn, a later answer can't follow in the body of one
            # that was cut, nor after the last one.
            requests_scope.cancel()
            return
        done.set()
        self.answered_one.set()
        self.answered_one = trio.Event()

    def _may_close_after_answer(self) -> bool:
        """Return whether no request follows the one being answered."""
        return self.unanswered <= 1 and not self.parser.ready


def _is_pipelinable(parsed: ParsedRequest) -> bool:
    """Return whether a request has a safe method and is complete."""
    head = parsed.head
    return (
        head is not None
        and head.method in SAFE_METHODS
        and parsed.body.complete
    )
