"""Serve one connection of the fake target."""

import dataclasses
import math
import socket
import struct
from collections.abc import Iterator
from typing import TYPE_CHECKING

import httptools
import orjson
import trio

from agatetack.ids import Deadline
from agatetack.testing.export_content import (
    ByteRange,
    export_chunks,
    parse_range,
)
from agatetack.testing.target_faults import (
    ConnectionEnd,
    EndlessBytes,
    RawAnswer,
    Silence,
)
from agatetack.testing.target_wire import (
    CONTINUE,
    RequestReader,
    TargetRequest,
    status_line,
)

if TYPE_CHECKING:
    from agatetack.testing.fake_target import FakeTarget

RECEIVE_BYTES = 65_536
POLL_SECONDS = 0.005
"""How often a frozen target looks whether it may go on."""

EXPORT_PATH = b"/export"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER on with no time: closing sends a reset."""

RAW_PAUSE_SECONDS = 0.01
"""Pause after each part of a raw answer, so that parts arrive one by one."""

LAST_CHUNK = b"0\r\n\r\n"

DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadBody:
    """What the load endpoint answers, as JSON.

    Attributes:
        in_flight: Requests running or waiting.
        slots: Requests that can run at the same time.
        state: ready, cold or draining.
    """

    in_flight: int
    slots: int
    state: str


class _Close(Exception):
    """The connection is closed from this side."""


class TargetConnection:
    """One connection; its answers are sent in the order of its requests.

    Attributes:
        silence: What it loses, or None while it works.
        scope: Cancels it.
        answering: Held while an answer is sent, in which nothing else may come.
    """

    def __init__(self, target: "FakeTarget", stream: trio.abc.Stream):
        """Serve `stream` for `target`."""
        self.target = target
        self.stream = stream
        self.silence: Silence | None = None
        self.scope = trio.CancelScope()
        self.answering = trio.Lock()
        self.reader = RequestReader()
        self.arrived = trio.Event()
        self.busy = False
        headers = target.settings.targets.headers
        callers = target.settings.callers.headers
        self.report_head = (
            f"{headers.in_flight}: %d\r\n{headers.slots}: %d\r\n"
            f"{headers.state}: %s\r\n"
        ).encode()
        not_run = target.settings.targets.not_run_value or "1"
        self.not_run_mark = f"{headers.outcome}: {not_run}\r\n".encode()
        self.names = headers
        self.current = TargetRequest()
        self.deadline_name = headers.deadline_ms.encode()
        self.request_id_name = callers.request_id.encode()
        if headers.load is not None:
            self.report_head = f"{headers.load}: %d,0,%d,%d\r\n".encode()
        self.load_path = target.settings.targets.load_path.encode()

    async def run(self) -> None:
        """Serve until either side closes."""
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    self.nursery = nursery
                    nursery.start_soon(self._answer_all, nursery.cancel_scope)
                    await self._read_all()
                    self._count_cancelled()
                    nursery.cancel_scope.cancel()
        finally:
            self._count_cancelled()
            await trio.aclose_forcefully(self.stream)

    def _count_cancelled(self) -> None:
        """Count a request whose connection ends before its answer, once."""
        if self.busy:
            self.busy = False
            self.target.cancelled += 1

    def reset(self) -> None:
        """Close it with a reset, whatever it does."""
        self.stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.scope.cancel()

    async def _read_all(self) -> None:
        try:
            while data := await self.stream.receive_some(RECEIVE_BYTES):
                await self._thaw()
                if self.silence is Silence.REQUEST_LOST:
                    continue
                self.reader.feed(data)
                if self.reader.wants_continue:
                    self.reader.wants_continue = False
                    await self.stream.send_all(CONTINUE)
                if self.reader.complete:
                    self.arrived.set()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            httptools.HttpParserError,
        ):
            pass
        # A silent connection hides from the target that its caller is gone.
        while self.busy and self.silence is not None:
            await trio.sleep(POLL_SECONDS)

    async def _answer_all(self, scope: trio.CancelScope) -> None:
        try:
            while True:
                while not self.reader.complete:
                    self.arrived = trio.Event()
                    await self.arrived.wait()
                request = self.reader.complete.popleft()
                self.busy = True
                await self._answer(request)
                self.busy = False
                if not request.keep_alive:
                    break
        except _Close:
            self.busy = False
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _answer(self, request: TargetRequest) -> None:
        target = self.target
        faults = target.faults
        self.current = request
        target.note_arrival(self.stream, request.path == self.load_path)
        endless = faults.endless
        asks_load = request.path == self.load_path
        if endless is not None and endless.at_load_path is asks_load:
            await self._send_endlessly(endless)
        raw = faults.raw_answer
        if raw is not None and raw.at_load_path is asks_load:
            if not asks_load:
                target.record(request)
            await self._send_raw(raw, b"range" in request.headers)
            return
        if self._is_for_another(request):
            target.misdirected += 1
            await self._send(421, b"another instance\n")
        elif request.path == self.load_path:
            target.probes += 1
            if faults.load_path_turned_away:
                await self._shed()
                return
            await self._send(200, self._load_body())
        elif self._cannot_queue():
            self.silence = Silence.REQUEST_LOST
            target.unanswered += 1
        elif self._is_shed(request):
            await self._shed()
        elif faults.fail_status is not None:
            target.record(request).finished = trio.current_time()
            await self._send(faults.fail_status, b"scripted failure\n")
        else:
            await self._work(request)
        if faults.stray_bytes:
            await self._put(faults.stray_bytes)
        if faults.extra_answer:
            await self._put(self._extra_answer())

    async def _send_endlessly(self, endless: EndlessBytes) -> None:
        """Send until the connection closes."""
        head = self._head(200, b"") if endless.answers else b""
        await self._put(head + endless.first)
        while True:
            await self._put(endless.part)
            await trio.sleep(endless.pause_seconds)

    async def _send_raw(self, raw: RawAnswer, asks_range: bool) -> None:
        parts = raw.parts
        if asks_range and raw.to_ranges is not None:
            parts = raw.to_ranges
        for part in parts:
            await self._put(part)
            await trio.sleep(RAW_PAUSE_SECONDS)
        if raw.end is ConnectionEnd.NONE:
            return
        if raw.end is ConnectionEnd.RESET:
            self.stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        raise _Close

    def _is_for_another(self, request: TargetRequest) -> bool:
        """Return whether the request names another instance than this one."""
        name = self.names.instance
        if name is None:
            return False
        wanted = request.headers.get(name.encode())
        return wanted not in (None, self.target.instance.encode())

    def _extra_answer(self) -> bytes:
        """Return an answer that nobody asked for, whole and well formed."""
        body = b"an answer to another request\n"
        self.current = TargetRequest(
            headers={self.request_id_name: b"another-request"}
        )
        length = b"content-length: %d\r\n\r\n" % len(body)
        return self._head(200, b"") + length + body

    def _too_many(self) -> bool:
        bound = self.target.faults.shed_above
        return bound is not None and self.target.in_flight >= bound

    def _cannot_queue(self) -> bool:
        bound = self.target.faults.silent_above
        return bound is not None and self.target.in_flight >= bound

    def _is_shed(self, request: TargetRequest) -> bool:
        faults = self.target.faults
        if faults.refusing or faults.turning_away or self._too_many():
            return True
        request_id = request.headers.get(self.request_id_name, b"")
        return self.target.rejects(request_id)

    async def _shed(self) -> None:
        self.target.shed += 1
        mark = self.not_run_mark if self.target.faults.shed_marked else b""
        for value in self.target.faults.retry_after:
            mark += b"retry-after: %b\r\n" % value
        self.target.note_turned_away(self.stream)
        await self._send(503, b"shed\n", mark)
        if self.target.faults.copy_after_seconds is not None:
            body = b"shed\n"
            head = self._head(503, mark) + b"content-length: %d\r\n\r\n"
            self.nursery.start_soon(self._send_copy, head % len(body) + body)
        if self.target.faults.refusing:
            raise _Close

    async def _send_copy(self, data: bytes) -> None:
        await trio.sleep(self.target.faults.copy_after_seconds or 0.0)
        try:
            async with self.answering:
                await self._put(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The host has closed the connection.
            return

    async def _work(self, request: TargetRequest) -> None:
        target = self.target
        target.count(1)
        try:
            with trio.move_on_at(self._deadline(request)) as queueing:
                await target.slots.acquire()
            if not queueing.cancelled_caught:
                try:
                    await self._run(request)
                finally:
                    target.slots.release()
        finally:
            target.count(-1)
        if queueing.cancelled_caught:
            target.expired += 1
            await self._send(503, b"too late\n", self.not_run_mark)
        elif request.path != EXPORT_PATH:
            await self._send_echo(request)

    async def _run(self, request: TargetRequest) -> None:
        target = self.target
        executed = target.record(request)
        mark = target.faults.crash_mark
        if mark is not None and request.contains(mark):
            target.crash()
        seconds = target.draw_service_seconds(request)
        if seconds:
            await trio.sleep(seconds)
        else:
            await trio.lowlevel.checkpoint()
        # An export holds its slot until its last byte is taken.
        if request.path == EXPORT_PATH:
            await self._send_export(request)
        executed.finished = Deadline(trio.current_time())

    async def _send_echo(self, request: TargetRequest) -> None:
        faults = self.target.faults
        if faults.answer_delay_seconds:
            await trio.sleep(faults.answer_delay_seconds)
        if faults.answer_lost:
            raise _Close
        request_id = request.headers.get(self.request_id_name, b"-")
        line = b"%s %s %s\n" % (request.method, request.url, request_id)
        if faults.rate_limits:
            self.target.note_rate_named(self.stream)
        await self._send(200, line + request.body)

    async def _send_export(self, request: TargetRequest) -> None:
        faults = self.target.faults
        size = int(request.query(b"bytes") or b"0")
        etag = faults.etag
        span = ByteRange(0, size)
        status = 200
        extra = b"etag: %s\r\naccept-ranges: bytes\r\n" % etag
        wanted = request.headers.get(b"range")
        condition = request.headers.get(b"if-range", etag)
        if wanted is not None and faults.ranges and condition == etag:
            part = parse_range(wanted, size)
            if part is None or part.length <= 0:
                await self._send(
                    416, b"", b"content-range: bytes */%d\r\n" % size
                )
                return
            shift = faults.wrong_range_bytes
            span = ByteRange(part.start + shift, part.stop)
            status = 206
            extra += b"content-range: bytes %d-%d/%d\r\n" % (
                span.start,
                span.stop - 1,
                size,
            )
        chunks = export_chunks(span, etag)
        await self._send_chunks(status, span.length, chunks, extra)

    async def _send(self, status: int, body: bytes, extra: bytes = b"") -> None:
        faults = self.target.faults
        if faults.chunked or faults.cut_after_bytes is not None:
            await self._send_chunks(status, len(body), iter((body,)), extra)
            return
        length = b"content-length: %d\r\n\r\n" % len(body)
        async with self.answering:
            await self._put(self._head(status, extra) + length + body)

    async def _send_chunks(
        self, status: int, length: int, chunks: Iterator[bytes], extra: bytes
    ) -> None:
        async with self.answering:
            await self._put_chunks(status, length, chunks, extra)

    async def _put_chunks(
        self, status: int, length: int, chunks: Iterator[bytes], extra: bytes
    ) -> None:
        faults = self.target.faults
        chunked = faults.chunked
        framing = b"transfer-encoding: chunked\r\n\r\n"
        if not chunked:
            framing = b"content-length: %d\r\n\r\n" % length
        await self._put(self._head(status, extra) + framing)
        sent = 0
        for chunk in chunks:
            cut = faults.cut_after_bytes
            if cut is not None:
                chunk = chunk[: max(0, cut - sent)]
            if chunk:
                await self._put(_frame(chunk) if chunked else chunk)
            sent += len(chunk)
            if cut is not None and sent >= cut:
                self._cut()
            if faults.bytes_per_second:
                await trio.sleep(len(chunk) / faults.bytes_per_second)
        if chunked:
            await self._put(LAST_CHUNK)

    def _cut(self) -> None:
        stream = self.stream
        if not self.target.faults.clean_cut and isinstance(
            stream, trio.SocketStream
        ):
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        raise _Close

    async def _put(self, data: bytes) -> None:
        await self._thaw()
        if self.silence is None:
            await self.stream.send_all(data)

    async def _thaw(self) -> None:
        while self.target.faults.frozen:
            await trio.sleep(POLL_SECONDS)

    def _head(self, status: int, extra: bytes) -> bytes:
        target = self.target
        in_flight, slots = target.reported_in_flight(), target.options.slots
        if self.names.load is not None:
            percent = round(100 * target.faults.slow_factor)
            report = self.report_head % (in_flight, slots, percent)
        else:
            state = target.state().encode()
            report = self.report_head % (in_flight, slots, state)
        return status_line(status) + report + self._own_marks() + extra

    def _own_marks(self) -> bytes:
        """Return the headers that tell whose answer it is, and to what."""
        names, marks = self.names, b""
        request_id = self.current.headers.get(self.request_id_name)
        if names.request_id is not None and request_id is not None:
            marks += b"%b: %b\r\n" % (names.request_id.encode(), request_id)
        if names.signature is not None:
            marks += f"{names.signature}: {self.target.instance}\r\n".encode()
        asked_load = self.current.path == self.load_path
        faults = self.target.faults
        if not asked_load or faults.rate_limit_on_load_path:
            for value in faults.rate_limits:
                marks += b"%b: %b\r\n" % (names.rate_limit.encode(), value)
        if faults.leaving:
            marks += f"{names.leaving}: 1\r\n".encode()
            self.target.note_said_to_leave(self.stream)
        if names.answering_instance is not None and asked_load:
            name = names.answering_instance
            marks += f"{name}: {self.target.instance}\r\n".encode()
        return marks

    def _load_body(self) -> bytes:
        report = LoadBody(
            in_flight=self.target.reported_in_flight(),
            slots=self.target.options.slots,
            state=self.target.state(),
        )
        return orjson.dumps(report)

    def _deadline(self, request: TargetRequest) -> float:
        left_ms = request.headers.get(self.deadline_name, b"")
        if not left_ms.isdigit():
            return math.inf
        return trio.current_time() + int(left_ms) / 1000


def _frame(chunk: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(chunk), chunk)
