"""Serve one caller's connection from accept to close."""

import contextlib
import enum
from collections.abc import Collection

import trio
from returns.result import Failure

from agatetack.callers.delivery import Delivery
from agatetack.callers.head import read_metadata
from agatetack.callers.memory import (
    CONNECTION_BYTES,
    CallerMemory,
    MemoryHolder,
    Stage,
    request_bytes,
)
from agatetack.callers.parser import (
    ParsedRequest,
    RequestBody,
    RequestParser,
)
from agatetack.callers.problem import refusal_answer
from agatetack.callers.streamed_body import (
    BodyTooLarge,
    BoundedBody,
    KeptBodies,
    StreamedBody,
    body_too_large_refusal,
)
from agatetack.callers.writer import CONTINUE, AnswerWriter
from agatetack.decisions import DecisionLog
from agatetack.headers import strip_hop_by_hop
from agatetack.ids import Deadline, RequestId
from agatetack.messages import (
    Answer,
    AnswerCut,
    Body,
    BytesBody,
    CallerGone,
    CallerRequest,
    Handler,
)
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal, RefusalReason, refuse
from agatetack.settings.model import CallersSettings
from agatetack.streams import PlainStream

RECEIVE_BYTES = 64 * 1024

REAP_INTERVAL_SECONDS = 0.25
"""Interval between checks for stalled or lost callers."""

TLS_END_SECONDS = 0.2
"""Time for a caller to answer the end of TLS; many close the connection."""

LINGER_SECONDS = 1.0
"""Time to read the last answer for a caller that is still sending."""

CONTINUE_SECONDS = 1.0
"""Maximum time to send `100 Continue`; a caller that takes no byte for longer
has gone."""

STALL_SECONDS = 1.0
"""A caller that has taken no byte of an answer for longer doesn't read it."""

UNPARSED_ID = RequestId("-")
"""The id of a request whose header could not be read."""


log = DecisionLog("callers")


class ConnectionEnd(enum.Enum):
    """What ended a caller's connection."""

    CALLER = "caller"
    IDLE = "idle"
    ANSWERED = "answered"
    RESET = "reset"
    CANCELLED = "cancelled"


class CallerConnection(MemoryHolder):
    """One caller's connection, served by one task.

    Bytes are read only on demand, so TCP flow control slows down a caller
    that sends faster than its requests are handled.

    Attributes:
        busy: Whether a request has started and is not yet answered.
        closing: Whether the connection ends after the current request.
        answered: Whether the last request's answer was written completely.
        end: What ended the connection, or None.
        delivery: What shows that the caller has its answers.
        delivering: Whether the connection ends once that is shown.
        delivered: Whether that was waited for to its end.
        transport: The TCP stream below, also under TLS; None in tests.
        aborted: Whether the connection ends with a reset.
        last_request: The id of the last request whose header was read.
        reading: Whether it waits for bytes of the caller.
        reading_since: When it last began to.
        read_until: When it last ended to.
        started: Requests taken from the parser and not answered yet.
        progress_at: When the connection was opened, or the last request
            on it was complete.
        served: Whether an answer was written.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        peer_ip: str,
        settings: CallersSettings,
        handler: Handler,
        metrics: Metrics,
        kept_bodies: KeptBodies | None = None,
        memory: CallerMemory | None = None,
    ):
        """Serve `stream` with `handler`.

        Args:
            stream: The caller's connection.
            peer_ip: The caller's IP address.
            settings: The settings for callers.
            handler: Handles the requests.
            metrics: Where refusals are counted.
            kept_bodies: The host's memory for bodies that are streamed; as
                much as the settings allow for this connection alone if None.
            memory: The host's memory for callers; no bound if None.
        """
        self.memory = memory
        self.kept_bodies = kept_bodies or KeptBodies(settings, metrics)
        self.stream = stream
        self.peer_ip = peer_ip
        self.settings = settings
        self.handler = handler
        self.metrics = metrics
        self.parser = RequestParser(settings.max_header_bytes, self._read_more)
        transport = getattr(stream, "transport_stream", stream)
        self.transport = (
            transport if isinstance(transport, PlainStream) else None
        )
        self.delivery = Delivery(self.transport, settings)
        self.writer = AnswerWriter(stream, self.delivery)
        self.busy = False
        self.closing = False
        self.ended = False
        self.answered = False
        self.end: ConnectionEnd | None = None
        self.delivering = False
        self.delivered = False
        self.aborted = False
        self.last_request = UNPARSED_ID
        self.idle_since = Deadline(trio.current_time())
        self.reading = False
        self.reading_since = self.read_until = self.idle_since
        self.started: list[ParsedRequest] = []
        self.progress_at = self.idle_since
        self.served = False
        self.body_read_scope = trio.CancelScope()
        self.buffering_scope: trio.CancelScope | None = None
        self.scope = trio.CancelScope()
        self.delivery_scope = trio.CancelScope()

    async def serve(self) -> None:
        """Answer requests until the connection ends, then close it.

        It is closed once the caller has all answers.

        If the caller is lost, everything that runs for it is cancelled.
        """
        if self.memory is not None:
            self.memory.add(self)
        try:
            with self.scope:
                await self._serve_requests()
                self._note_end(
                    ConnectionEnd.CALLER
                    if self.ended
                    else ConnectionEnd.ANSWERED
                )
                await self._linger()
            with self.delivery_scope:
                await self._deliver()
        finally:
            self.cut()
            self._note_end(ConnectionEnd.CANCELLED)
            self._log_end()
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await self.stream.aclose()
            if self.transport is not None:
                # A stream whose TLS has ended no longer closes it.
                self.transport.close()
            # The parser refers to the connection, so that only the collector
            # would release what it holds.
            self.parser.close()
            if self.memory is not None:
                self.memory.remove(self)

    async def _serve_requests(self) -> None:
        await self._answer_all()

    def _may_look_whole(self) -> bool:
        """Return whether a close in order could let a cut answer look whole."""
        if self.writer.unfinished and self.end is None:
            return True
        # What the caller doesn't have yet may be lost with this host's network,
        # whose end a relay may pass on as if it had come from here.
        return self.writer.ends_with_connection and not self.delivered

    async def _deliver(self) -> None:
        """End the stream and wait until the caller has all of it.

        Nothing is read meanwhile: a request that crosses the end of the
        stream must stay unread.
        """
        if self.aborted:
            return
        self.delivering = True
        self._end_stream()
        if isinstance(self.stream, trio.SSLStream):
            await self.delivery.wait_acknowledged()
            await self._end_tls(self.stream)
        await self.delivery.wait()
        self.delivered = True

    def _end_stream(self) -> None:
        """Tell the caller's machine that no further bytes will come."""
        if self.transport is self.stream:
            # Under TLS its own end has to be sent before that of the stream.
            self.transport.send_eof()

    async def _end_tls(self, stream: trio.SSLStream) -> None:
        """Send the end of TLS, then that of the stream."""
        with (
            trio.move_on_after(TLS_END_SECONDS),
            contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ),
        ):
            await stream.unwrap()
        if self.transport is not None:
            self.transport.send_eof()

    def _reset_on_close(self, end: ConnectionEnd) -> None:
        """Let the connection, which ended by `end`, close with a reset."""
        self._note_end(end)
        self.aborted = True
        if self.transport is not None:
            self.transport.abort_on_close()

    def cut(self) -> None:
        """Let the connection close with a reset if its answer isn't whole.

        The kernel then resets it also if the process is killed first.
        """
        if self._may_look_whole():
            self._reset_on_close(ConnectionEnd.CANCELLED)

    def _note_end(self, end: ConnectionEnd) -> None:
        """Record what ended the connection; the first cause is kept."""
        self.end = self.end or end

    def _log_end(self) -> None:
        """Count and log the connection's end if it ends with the host."""
        if not self.closing:
            return
        evidence = self.delivery.evidence()
        if self.delivery.sent_at is not None and not self.aborted:
            self.metrics.last_answers.inc({"evidence": evidence.value})
        log.note(
            "connection-end",
            cause=self.end.value,
            evidence=evidence.value,
            written_ms_ago=self._written_ms_ago(),
            carried_in_ms=self._carried_in_ms(),
            request=self.last_request,
            unanswered=self.busy,
            status=self.writer.status,
            body_bytes=self.writer.body_length,
            written_bytes=self.writer.written_bytes,
            unacknowledged_bytes=self.delivery.look(),
        )

    def _written_ms_ago(self) -> int | None:
        """Return when the last byte was written; None if none was."""
        if self.delivery.sent_at is None:
            return None
        return round((trio.current_time() - self.delivery.sent_at) * 1000)

    def _carried_in_ms(self) -> int:
        """Return when the slowest link has carried all; 0 if it has."""
        left = self.delivery.carried_by - trio.current_time()
        return max(0, round(left * 1000))

    def close_gracefully(self) -> None:
        """Close the connection now if idle, else after the current request.

        A request that has arrived but is still unread counts as current.
        """
        self.closing = True
        if not self.busy and self._is_between_requests():
            self._note_end(ConnectionEnd.IDLE)
            # At once, so that nothing comes between the look and the end.
            self._end_stream()
            self.scope.cancel()

    def _is_between_requests(self) -> bool:
        if self.parser.ready or not self.parser.idle:
            return False
        transport = self.transport
        return transport is None or not transport.has_unread()

    @property
    def only_waits(self) -> bool:
        """Return whether only the caller's end of the connection is missing."""
        return self.delivering and not self.delivery.look()

    def stop_waiting(self) -> None:
        """Close the connection without the caller's end."""
        self.delivered = True
        self.delivery_scope.cancel()

    def limit(self, settings: CallersSettings) -> None:
        """Apply `settings` from now on."""
        self.settings = self.delivery.settings = settings
        self.parser.max_header_bytes = settings.max_header_bytes

    def has_timed_out(self, now: Deadline) -> bool:
        """Return whether a timeout of this connection has expired."""
        limits = self.settings
        if self.only_waits:
            return False
        if self.delivering:
            unchanged = now - self.delivery.changed_at
            return unchanged > limits.write_timeout_seconds
        sending_since = self.writer.sending_since
        if sending_since is not None:
            # Notes whether the caller takes what was sent.
            self.delivery.look()
            return now - sending_since > limits.write_timeout_seconds
        if self.parser.in_head or self.parser.body is not None:
            return self.reading and self._has_stalled(now)
        if self.busy or self.parser.ready:
            return False
        if now - self.idle_since <= limits.keep_alive_seconds:
            return False
        if self.delivery.look():
            allowed_seconds = limits.write_timeout_seconds
        else:
            allowed_seconds = limits.keep_alive_seconds
        return now - self.delivery.changed_at > allowed_seconds

    def _has_stalled(self, now: Deadline) -> bool:
        """Return whether the rest of a request has not come in time.

        Only the time in which this host reads counts.
        """
        limits = self.settings
        if self.parser.in_head:
            since = self.parser.head_since
            return now - since > limits.header_timeout_seconds
        return now - self.reading_since > limits.keep_alive_seconds

    def is_lost(self) -> bool:
        """Return whether the caller has gone while it waits.

        Nothing may be read from the connection while a request is served, so
        this has to be polled for. A caller that has only closed its sending
        side still gets its answer unless `end_means_gone`.
        """
        if not self.busy:
            return False
        transport = self.transport
        if transport is None:
            return False
        if self.settings.end_means_gone and transport.has_ended():
            return True
        return transport.is_reset()

    def abort(self) -> None:
        """Reset the connection at once and cancel what runs for it.

        A target's attempt that is shielded from the cancellation ends as well
        if it waits for the request's body.
        """
        self._reset_on_close(ConnectionEnd.RESET)
        self.parser.end()
        self.body_read_scope.cancel()
        self.scope.cancel()
        self.delivery_scope.cancel()

    def _charge(self) -> None:
        """Count the memory that the connection takes now."""
        if self.memory is not None:
            self.memory.charge(self, self._held_bytes())

    def _held_bytes(self) -> int:
        held = CONNECTION_BYTES + self.parser.held_bytes
        for parsed in self.started:
            held += parsed.held_bytes
        return held

    def memory_stage(self) -> Stage:
        """Return what the connection waits for."""
        if not self.busy or any(
            parsed.body is not None and not parsed.body.complete
            for parsed in self.started
        ):
            return Stage.CALLER
        stalled_at = trio.current_time() - STALL_SECONDS
        sending_since = self.writer.sending_since
        if sending_since is None or sending_since > stalled_at:
            return Stage.HOST
        stalled = self.delivery.changed_at <= stalled_at
        return Stage.CALLER if stalled else Stage.HOST

    def unchanged_since(self) -> Deadline:
        """Return when it last came further with a request."""
        if self.writer.sending_since is not None:
            return max(self.writer.sending_since, self.delivery.changed_at)
        return self.progress_at

    def release_memory(self) -> None:
        """Discard what was received, and refuse the request or close.

        A request whose body is read before it is handled is refused. Anything
        else may have run, or its header is not complete.
        """
        self.parser.drop()
        if self.buffering_scope is not None:
            self.buffering_scope.cancel()
            return
        self.evict()

    def evict(self) -> None:
        """Reset the connection for the sake of others."""
        if self.memory is not None:
            self.memory.remove(self)
        self.abort()

    async def _read_more(self) -> None:
        """Read once and parse the bytes received.

        Raises:
            CallerGone: The connection is lost.
        """
        self.reading_since = Deadline(trio.current_time())
        self.parser.skip_pause(self.read_until, self.reading_since)
        self.reading = True
        try:
            data = await self._receive()
        except trio.BrokenResourceError as error:
            raise CallerGone from error
        finally:
            self.reading = False
            self.read_until = Deadline(trio.current_time())
        self._feed(data)

    async def _receive(self) -> bytes:
        if self.parser.body is None:
            return await self.stream.receive_some(RECEIVE_BYTES)
        with trio.CancelScope() as self.body_read_scope:
            return await self.stream.receive_some(RECEIVE_BYTES)
        raise CallerGone

    def _feed(self, data: bytes) -> None:
        """Parse received bytes; no bytes mean the end of the stream."""
        if not data:
            self.ended = True
            self.parser.end()
            return
        now = Deadline(trio.current_time())
        transport = self.transport
        waited = 0.0 if transport is None else transport.seconds_since_data()
        self.parser.feed(data, Deadline(now - waited))
        self._charge()

    async def _next_request(self) -> ParsedRequest | None:
        while not self.parser.ready:
            if self.ended or self.parser.broken:
                return None
            if self.closing and self._is_between_requests():
                return None
            try:
                await self._read_for_next_request()
            except CallerGone:
                return None
        if self.parser.pending:
            await self._wait_for_turn()
        if not self.parser.ready:
            # It was discarded meanwhile.
            return await self._next_request()
        parsed = self.parser.next_request()
        self.started.append(parsed)
        return parsed

    async def _wait_for_turn(self) -> None:
        """Let one connection a time parse on what was sent ahead.

        Each gives way to all others once. Otherwise, many that are full would
        keep the event loop from connections with a single request.
        """
        if self.memory is not None:
            async with self.memory.parsing:
                await trio.lowlevel.checkpoint()

    async def _read_for_next_request(self) -> None:
        """Read once while no request's body is waited for.

        Raises:
            CallerGone: The connection is lost.
        """
        await self._read_more()

    async def _answer_all(self) -> None:
        keep = True
        while keep:
            parsed = await self._next_request()
            if parsed is None:
                return
            self.busy = True
            keep = await self._answer_one(parsed)
            self.busy = False
            self.idle_since = Deadline(trio.current_time())

    async def _linger(self) -> None:
        """Read and discard what the caller sends after its last answer.

        Closing a socket with unread bytes sends a reset, which can overtake
        the answer.
        """
        transport = self.transport
        if transport is None or not self.answered or self.ended:
            return
        if not self.parser.broken and self._is_between_requests():
            return
        transport.send_eof()
        with trio.move_on_after(LINGER_SECONDS):
            with contextlib.suppress(trio.BrokenResourceError):
                while await transport.receive_some(RECEIVE_BYTES):
                    pass

    async def _answer_one(
        self, parsed: ParsedRequest, turn: trio.Event | None = None
    ) -> bool:
        """Answer one request and return whether to keep the connection.

        Args:
            parsed: The request.
            turn: Set once its answer may be written; None if it may be now.
        """
        try:
            answer = await self._make_answer(parsed)
            parsed.handed_bytes += answer.body.held_bytes
            self._charge()
            if turn is not None:
                await _wait_turn(turn, answer)
            self.answered = False
            return await self._write(parsed, answer)
        except AnswerCut:
            # The reset signals to the caller that the answer is incomplete.
            self._reset_on_close(ConnectionEnd.RESET)
            return False
        except (CallerGone, trio.BrokenResourceError):
            self.metrics.refused(None, RefusalReason.CALLER_GONE)
            self._reset_on_close(ConnectionEnd.CALLER)
            return False
        finally:
            if parsed.streamed is not None:
                parsed.streamed.forget()
            self.started.remove(parsed)
            self.progress_at = Deadline(trio.current_time())
            self._charge()

    async def _make_answer(self, parsed: ParsedRequest) -> Answer:
        """Return the handler's answer, or the refusal of a request."""
        if parsed.head is None:
            return self._refuse(parsed.refusal)
        try:
            request = await self._build(parsed)
            if isinstance(request, Refusal):
                return self._refuse(request)
            return await self.handler.handle(request)
        except BodyTooLarge as error:
            return self._refuse(error.refusal())

    def _refuse(self, refusal: Refusal) -> Answer:
        self.metrics.refused(None, refusal.reason)
        return refusal_answer(refusal, UNPARSED_ID, self.settings)

    async def _build(self, parsed: ParsedRequest) -> CallerRequest | Refusal:
        head = parsed.head
        taken = request_bytes(len(head.fields), head.field_count)
        if not self._admits(taken):
            return _memory_short_refusal()
        parsed.handed_bytes = taken
        headers = head.headers()
        metadata = read_metadata(head, headers, self.settings, self.peer_ip)
        if isinstance(metadata, Failure):
            return metadata.failure()
        found = metadata.unwrap()
        self.last_request = found.request_id
        length = parsed.body.length
        if length is not None and length > self.settings.max_body_bytes:
            return body_too_large_refusal(self.settings.max_body_bytes)
        if parsed.expects_continue and not parsed.body.received:
            parsed.body.before_first_read = self._send_continue
        body = await self._buffer_body(parsed, found.deadline)
        if isinstance(body, Refusal):
            return body
        if isinstance(body, BytesBody):
            parsed.handed_bytes += body.length
        self.progress_at = Deadline(trio.current_time())
        self._charge()
        deadline = found.deadline
        if deadline is None:
            deadline = Deadline(
                head.arrived + self.settings.default_deadline_seconds
            )
        return CallerRequest(
            request_id=found.request_id,
            caller=found.caller,
            method=head.method,
            path=found.path,
            host=found.host,
            headers=strip_hop_by_hop(headers),
            body=body,
            deadline=deadline,
            key=found.key,
            arrived=head.arrived,
            deadline_given=found.deadline is not None,
        )

    def _admits(self, taken_bytes: int) -> bool:
        """Return whether the host has memory to handle another request."""
        memory = self.memory
        return memory is None or memory.admit(self, taken_bytes)

    async def _send_continue(self) -> None:
        """Tell a caller that waits for it to send the body.

        Raises:
            CallerGone: The connection is lost.
        """
        try:
            # Half of an interim answer would spoil the final one.
            with trio.move_on_after(CONTINUE_SECONDS) as scope:
                scope.shield = True
                await self.writer.send(CONTINUE)
        except trio.BrokenResourceError as error:
            raise CallerGone from error
        if scope.cancelled_caught:
            raise CallerGone

    async def _buffer_body(
        self, parsed: ParsedRequest, deadline: Deadline | None
    ) -> Body | Refusal:
        """Return the body in memory if it is small, else as a stream.

        Args:
            parsed: The request.
            deadline: When the caller gives up; None for the longest deadline.

        Returns:
            A refusal if the body did not arrive by the deadline, or the host
            has no memory for it.
        """
        body = parsed.body
        if self._is_streamed(body):
            parsed.streamed = StreamedBody(
                body,
                self.settings.max_body_bytes,
                self.settings.replay_body_bytes,
                self.kept_bodies,
            )
            return parsed.streamed
        if body.complete and body.received <= self.settings.max_body_bytes:
            return BytesBody(body.receive_nowait() or b"")
        bound = self.settings.replay_body_bytes
        if body.length is not None and body.length <= bound:
            if deadline is None:
                longest = self.settings.max_deadline_seconds
                deadline = Deadline(parsed.head.arrived + longest)
            with trio.move_on_at(deadline) as self.buffering_scope:
                try:
                    return BytesBody(await body.receive_whole())
                finally:
                    self.buffering_scope = None
            if self.parser.dropped:
                return _memory_short_refusal()
            return refuse(
                RefusalReason.CANNOT_MEET_DEADLINE,
                "The body did not come before the deadline.",
                retry_at=Deadline(trio.current_time()),
            )
        return BoundedBody(body, self.settings.max_body_bytes)

    def _is_streamed(self, body: RequestBody) -> bool:
        """Return whether a body is handed to the handler unread.

        This depends on its announced length only, and not on how much of it
        has come, so that a request that is repeated has the same fingerprint.
        A body without an announced length is read before only if all of it
        came with the header.
        """
        bound = self.settings.stream_body_bytes
        if bound is None:
            return False
        if body.length is None:
            return not (body.complete and body.received <= bound)
        return body.length > bound

    async def _write(self, parsed: ParsedRequest, answer: Answer) -> bool:
        head = parsed.head
        method = b"GET" if head is None else head.method
        version = "1.1" if head is None else head.version
        try:
            keep = await self.writer.write(
                answer, method, version, self._closes_connection(parsed)
            )
            self.answered = self.served = True
            return keep
        except AnswerCut:
            self.metrics.refused(answer.route, RefusalReason.ANSWER_CUT)
            raise
        finally:
            with trio.CancelScope(shield=True):
                await answer.aclose()

    def _closes_connection(self, parsed: ParsedRequest) -> bool:
        """Return whether the connection ends with the answer to `parsed`."""
        if parsed.head is None:
            return True
        # The unread rest of a body would be parsed as the next request.
        return (
            (self.closing and self._may_close_after_answer())
            or not parsed.head.keep_alive
            or self.parser.broken
            or not parsed.body.complete
        )

    def _may_close_after_answer(self) -> bool:
        """Return whether a drain may end the connection with this answer."""
        return True


def _memory_short_refusal() -> Refusal:
    return refuse(
        RefusalReason.MEMORY_SHORT,
        "This host has no memory left for the request.",
        # Another host may have some at once.
        retry_at=Deadline(trio.current_time()),
    )


async def _wait_turn(turn: trio.Event, answer: Answer) -> None:
    """Wait for `turn`; close the answer if the wait is cancelled."""
    try:
        await turn.wait()
    except BaseException:
        with trio.CancelScope(shield=True):
            await answer.aclose()
        raise


async def reap_connections(connections: Collection[CallerConnection]) -> None:
    """Reset connections of stalled or lost callers; runs forever.

    One periodic check of all connections costs less than a timeout around each
    receive and send, and none of these timeouts needs to be exact.
    """
    while True:
        await trio.sleep(REAP_INTERVAL_SECONDS)
        now = Deadline(trio.current_time())
        for connection in list(connections):
            if connection.has_timed_out(now) or connection.is_lost():
                connection.abort()
