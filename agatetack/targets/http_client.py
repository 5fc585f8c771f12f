"""Call targets over HTTP/1.1."""

import trio

from agatetack.headers import strip_hop_by_hop
from agatetack.ids import Deadline
from agatetack.logs import PartLog
from agatetack.messages import (
    Answer,
    BytesBody,
    CallerRequest,
)
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.settings.model import Settings
from agatetack.targets.answer_check import AnswerCheck, encode_name
from agatetack.targets.body import BodyPlan, TargetBody, is_deliverable
from agatetack.targets.client import (
    Attempt,
    AttemptFailed,
    AttemptFailure,
    TargetClient,
)
from agatetack.targets.connection import (
    ConnectFailed,
    ConnectRefused,
    ConnectTimedOut,
    TargetConnection,
)
from agatetack.targets.load import (
    HeaderLoadReader,
    LoadReader,
    ReportedState,
)
from agatetack.targets.parser import AnswerParser, AnswerState
from agatetack.targets.pool import TargetPool, TargetPools
from agatetack.targets.pushbacks import REJECTION_STATUSES
from agatetack.targets.rate_limits import SendKind
from agatetack.targets.registry import LeavingSign, TargetRegistry
from agatetack.targets.state import ReportSource, TargetState

FINAL_EARLY_STATUS = 300
"""A response with this status or higher stops an unfinished upload."""

log = PartLog("targets")


class HttpTargetClient(TargetClient):
    """Calls targets over pooled HTTP/1.1 connections."""

    def __init__(
        self,
        settings: Settings,
        registry: TargetRegistry,
        load_reader: LoadReader | None = None,
    ):
        """Record the load and state that targets report in `registry`.

        Args:
            settings: The host's settings.
            registry: The targets.
            load_reader: Reads load reports; None reads the headers that the
                settings name.
        """
        self.settings = settings
        self.registry = registry
        self.load_reader = load_reader or HeaderLoadReader(settings)
        self.pools = TargetPools(settings)
        names = settings.targets.headers
        self.deadline_name = names.deadline_ms.encode()
        self.attempt_name = encode_name(names.attempt)
        self.instance_name = encode_name(names.instance)
        self.own_header_names = frozenset(
            (self.deadline_name, self.attempt_name, self.instance_name)
        )
        self.check = AnswerCheck(settings)

    async def call(self, attempt: Attempt) -> Answer:
        """Send the request and return the response once its header is read."""
        pool = self.pools.pool(attempt.target.process)
        connection = await self._connect(attempt, pool)
        parser = AnswerParser(
            attempt.request.method,
            self.settings.targets.max_header_bytes,
            self.check.echo(attempt.request),
            first=not connection.requests,
        )
        sent_at = Deadline(trio.current_time())
        if not attempt.target.is_willing(sent_at):
            # It became unwilling after it was chosen for this attempt.
            pool.put_back(connection)
            raise AttemptFailed(
                AttemptFailure(
                    RefusalReason.TARGET_UNWILLING,
                    Outcome.NOT_RUN,
                    target_suspect=False,
                )
            )
        self.registry.note_sent(attempt.target, SendKind.REQUEST)
        upload = Upload(attempt.request, connection)
        try:
            with trio.move_on_at(attempt.deadline) as scope:
                await self._exchange(attempt, connection, parser, upload)
        except trio.Cancelled:
            self._note_late_pushback(attempt, connection, parser)
            self._note_silence(connection, pool, sent_at, upload)
            raise
        except BaseException:
            pool.discard(connection)
            raise
        if scope.cancelled_caught and parser.state is AnswerState.HEAD:
            self._note_silence(connection, pool, sent_at, upload)
            log.request(
                attempt.request.request_id,
                "No answer from %s in time.",
                attempt.target.id,
            )
            raise _failed(
                RefusalReason.ANSWER_TIMEOUT, suspect=not upload.reading
            )
        if parser.skipped:
            log.request(
                attempt.request.request_id,
                "Skipped %d responses of %s to other requests.",
                parser.skipped,
                attempt.target.id,
            )
        if parser.state is AnswerState.BROKEN:
            pool.discard(connection)
            raise _failed(_broken_reason(parser), suspect=True)
        if not self.check.is_valid(parser) or not is_deliverable(
            parser.length, attempt.body_deadline(parser.length)
        ):
            pool.discard(connection)
            raise _failed(RefusalReason.ANSWER_MALFORMED, suspect=True)
        self._note_target_limits(attempt.target, parser, sent_at)
        return await self._finish(
            attempt, connection, pool, parser, upload.complete
        )

    def _note_late_pushback(
        self,
        attempt: Attempt,
        connection: TargetConnection,
        parser: AnswerParser,
    ) -> None:
        """Record a pushback in the response to a cancelled attempt."""
        if parser.state is AnswerState.HEAD:
            connection.receive_nowait_into(parser)
        if self.check.is_not_run(parser):
            self._note_pushback(attempt.target, parser)

    def _note_pushback(self, target: TargetState, parser: AnswerParser) -> None:
        self.registry.pushbacks.note_answer(
            target, parser.status, parser.headers, ReportSource.ANSWER
        )

    async def _connect(
        self, attempt: Attempt, pool: TargetPool
    ) -> TargetConnection:
        connection = pool.take(attempt.freshness, attempt.request.request_id)
        if connection is not None:
            return connection
        try:
            return await pool.open(attempt.target, attempt.deadline)
        except ConnectFailed as error:
            if isinstance(error, ConnectRefused):
                self.registry.note_leaving(
                    attempt.target, LeavingSign.CONNECT_REFUSED
                )
            elif isinstance(error, ConnectTimedOut):
                self.registry.paths.note_silence(attempt.target)
            log.request(
                attempt.request.request_id,
                "No connection to %s: %s.",
                attempt.target.id,
                error,
            )
            failure = AttemptFailure(
                RefusalReason.CONNECT_FAILED,
                Outcome.NOT_RUN,
                target_suspect=True,
            )
            raise AttemptFailed(failure) from error

    async def _exchange(
        self,
        attempt: Attempt,
        connection: TargetConnection,
        parser: AnswerParser,
        upload: "Upload",
    ) -> None:
        """Send the request and read the response's header."""
        connection.requests += 1
        request = attempt.request
        head = self._request_head(attempt)
        if isinstance(request.body, BytesBody):
            await self._send(connection, head + request.body.content)
            upload.complete = True
            await self._receive_head(connection, parser)
            return
        await self._send(connection, head)
        await self._exchange_stream(connection, parser, upload)

    async def _send(self, connection: TargetConnection, data: bytes) -> None:
        try:
            await connection.send(data)
        except trio.BrokenResourceError:
            # The target may have responded before it closed the connection,
            # so the response is read even if sending failed.
            return

    async def _receive_head(
        self, connection: TargetConnection, parser: AnswerParser
    ) -> None:
        while parser.state is AnswerState.HEAD:
            await connection.receive_into(parser)

    async def _exchange_stream(
        self,
        connection: TargetConnection,
        parser: AnswerParser,
        upload: "Upload",
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(upload.run, nursery.cancel_scope)
            await self._receive_head(connection, parser)
            if parser.status >= FINAL_EARLY_STATUS or not parser.status:
                nursery.cancel_scope.cancel()
        if upload.error is not None:
            raise upload.error

    def _request_head(self, attempt: Attempt) -> bytes:
        request = attempt.request
        left_ms = max(0.0, attempt.deadline - trio.current_time()) * 1000
        parts = [b"%b %b HTTP/1.1\r\n" % (request.method, request.path)]
        for name, value in request.headers:
            if name not in self.own_header_names:
                parts.append(b"%b: %b\r\n" % (name, value))
        parts.append(b"%b: %d\r\n" % (self.deadline_name, left_ms))
        for name, value in (
            (self.attempt_name, attempt.id),
            (self.instance_name, attempt.target.id),
        ):
            if name is not None:
                parts.append(b"%b: %b\r\n" % (name, value.encode()))
        length = request.body.length
        if length is None:
            parts.append(b"transfer-encoding: chunked\r\n")
        elif length or request.method not in (b"GET", b"HEAD"):
            parts.append(b"content-length: %d\r\n" % length)
        parts.append(b"\r\n")
        return b"".join(parts)

    def _note_silence(
        self,
        connection: TargetConnection,
        pool: TargetPool,
        sent_at: Deadline,
        upload: "Upload",
    ) -> None:
        """Close the connection of an abandoned attempt.

        A target that waits for the rest of a body has no reason to answer.
        A reused connection without a byte since the request was sent may have
        gone silent, and so may other connections to the target. On a new
        connection, silence only shows that the target is slow.
        """
        silent = connection.last_byte_at < sent_at
        if silent and connection.requests > 1 and not upload.reading:
            pool.suspect(connection, sent_at)
        else:
            pool.discard(connection)

    async def _finish(
        self,
        attempt: Attempt,
        connection: TargetConnection,
        pool: TargetPool,
        parser: AnswerParser,
        sent_whole: bool,
    ) -> Answer:
        if self.check.is_other_instance(parser):
            self.registry.note_leaving(
                attempt.target, LeavingSign.OTHER_INSTANCE
            )
        else:
            self._note_load(attempt.target, parser)
        not_run = self.check.is_not_run(parser)
        if not_run:
            connection.rejected.add(attempt.request.request_id)
        body = TargetBody(
            connection,
            pool,
            parser,
            BodyPlan(
                request=attempt.request.request_id,
                until=attempt.body_deadline(parser.length),
                steady_from=attempt.deadline,
                byte_timeout_seconds=(
                    self.settings.targets.byte_timeout_seconds
                ),
                reusable=sent_whole,
            ),
        )
        if not_run:
            # The rest of a short body is read so that the connection can be
            # reused, as a new one costs more than a few bytes.
            await body.drop()
            raise AttemptFailed(
                AttemptFailure(
                    RefusalReason.SHED_BY_TARGET,
                    Outcome.NOT_RUN,
                    target_suspect=False,
                )
            )
        headers = [
            header
            for header in strip_hop_by_hop(parser.headers)
            if header.name not in self.load_reader.names
        ]
        return Answer(parser.status, headers, body)

    def _note_target_limits(
        self, target: TargetState, parser: AnswerParser, sent_at: Deadline
    ) -> None:
        """Record the rate limit and pushback in a response."""
        limits = self.registry.rate_limits
        if self.check.is_other_instance(parser):
            return
        self._note_pushback(target, parser)
        if parser.status not in REJECTION_STATUSES:
            self.registry.pushbacks.note_accepted(target)
        if self.check.is_not_run(parser):
            # An overloaded target may reject a request before it adds the
            # rate header, so a missing rate does not end the limit.
            limits.note_load_answer(target, parser.headers, ReportSource.ANSWER)
        else:
            limits.note_answer(target, parser.headers, sent_at)

    def _note_load(self, target: TargetState, parser: AnswerParser) -> None:
        found = {name: value for name, value in parser.headers}
        load = self.load_reader.read(found)
        if load.state is ReportedState.DRAINING:
            self.registry.note_leaving(target, LeavingSign.ANSWER_HEADER)
        if load.in_flight is None:
            return
        self.registry.note_load(target, load, ReportSource.ANSWER)


class Upload:
    """Streams a request body to a target while the response is awaited.

    Attributes:
        complete: Whether the last byte was sent.
        reading: Whether it waits for the caller to send more.
        error: The error in reading the body, or None.
    """

    def __init__(self, request: CallerRequest, connection: TargetConnection):
        """Send the body of `request` on `connection`."""
        self.request = request
        self.connection = connection
        self.complete = False
        self.reading = False
        self.error: Exception | None = None

    async def run(self, exchange: trio.CancelScope) -> None:
        """Send the body; cancel `exchange` if it can't be read."""
        try:
            await self._send_all()
        except trio.BrokenResourceError:
            # The target may have responded before it closed the connection.
            return
        except Exception as error:
            self.error = error
            exchange.cancel()

    async def _send_all(self) -> None:
        body = self.request.body.reader()
        chunked = body.length is None
        while True:
            self.reading = True
            data = await body.receive()
            self.reading = False
            if not data:
                break
            if chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            await self.connection.send(data)
        if chunked:
            await self.connection.send(b"0\r\n\r\n")
        self.complete = True


def _failed(reason: RefusalReason, suspect: bool) -> AttemptFailed:
    return AttemptFailed(
        AttemptFailure(reason, Outcome.UNKNOWN, target_suspect=suspect)
    )


def _broken_reason(parser: AnswerParser) -> RefusalReason:
    if parser.head_bytes:
        return RefusalReason.ANSWER_MALFORMED
    return RefusalReason.CONNECTION_LOST
