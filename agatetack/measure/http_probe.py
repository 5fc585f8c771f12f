"""Probe a target's load endpoint over HTTP."""

import dataclasses
from collections.abc import Mapping

import httptools
import orjson
import trio
from returns.result import Failure, Result, Success

from agatetack.headers import MAX_COUNT_DIGITS
from agatetack.ids import Deadline, ProcessId, ServiceId, TargetId
from agatetack.measure.probe import ProbeAnswer, ProbeClient, ProbeFailure
from agatetack.messages import Header, is_status
from agatetack.settings.model import Settings
from agatetack.streams import PlainStream, open_plain_stream
from agatetack.targets.load import (
    STATES,
    HeaderLoadReader,
    LoadReader,
    ParsedLoad,
    ReportedState,
)
from agatetack.targets.parser import MIN_FINAL_STATUS
from agatetack.targets.pushbacks import Pushbacks
from agatetack.targets.state import ReportSource, TargetState

MAX_COUNT = 10**MAX_COUNT_DIGITS - 1
"""Highest count in a JSON body; peers get it as an integer of 32 bits."""

MAX_IDLE_CONNECTIONS = 64
"""Maximum number of idle connections kept for later probes."""


class Malformed(Exception):
    """A load endpoint's answer contains no usable report."""


@dataclasses.dataclass(slots=True)
class ReportParser:
    """Collects a load report; the methods are called by httptools.

    Attributes:
        status: The answer's status, once all header fields have arrived.
        headers: The answer's header fields, names in lower case.
        fields: The same in their order, with repeated fields.
        body: The answer's body.
        begun: Whether any byte has arrived.
        head_complete: Whether all header fields have arrived.
        complete: Whether the answer has ended.
        malformed: Whether its status is none.
        stray: Whether bytes have arrived after it.
        parser: Parses the answer.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    fields: list[Header] = dataclasses.field(default_factory=list)
    body: bytes = b""
    begun: bool = False
    head_complete: bool = False
    complete: bool = False
    malformed: bool = False
    stray: bool = False
    parser: httptools.HttpResponseParser = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Create the parser."""
        self.parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        """Note an answer that nobody asked for."""
        self.stray = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field."""
        if self.complete:
            return
        self.fields.append(Header(name.lower(), value))
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Record the end of the header, unless it is an interim one."""
        if self.complete:
            return
        status = self.parser.get_status_code()
        if not is_status(status):
            self.malformed = True
        elif status < MIN_FINAL_STATUS:
            self.headers.clear()
            self.fields.clear()
        else:
            self.status = status
            self.head_complete = True

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        if not self.complete:
            self.body += data

    def on_message_complete(self) -> None:
        """Record the answer's end."""
        self.complete = self.head_complete


class HttpProbe(ProbeClient):
    """Sends GET to the load path; reads the headers or a JSON body."""

    def __init__(
        self,
        settings: Settings,
        load_reader: LoadReader | None = None,
        load_paths: Mapping[ServiceId, str] | None = None,
        pushbacks: Pushbacks | None = None,
    ):
        """Take the path and the names of the headers from the settings.

        Args:
            settings: The host's settings.
            load_reader: Reads load reports; if None, from the headers that
                the settings name.
            load_paths: Load paths of services that have their own, by service.
                If None, the path of the settings is used for all.
            pushbacks: Records pushback in answers, also in those without a
                report; if None, it is ignored.
        """
        self.pushbacks = pushbacks
        self.settings = settings
        self.load_reader = load_reader or HeaderLoadReader(settings)
        self.load_paths = load_paths
        self.instance_name = settings.targets.headers.answering_instance
        self.idle: dict[ProcessId, PlainStream] = {}

    def can_probe(self, target: TargetState) -> bool:
        """Return whether the target's load path is known.

        A host may know the targets before the document with the paths, and a
        target would count a GET of any other path as a request.
        """
        return self.load_paths is None or target.service in self.load_paths

    def close_idle(self, target: TargetState) -> None:
        """Have the next probe of `target` open a connection."""
        stream = self.idle.pop(target.process, None)
        if stream is not None:
            stream.close()

    async def probe(
        self, target: TargetState, deadline: Deadline, max_bytes: int
    ) -> Result[ProbeAnswer, ProbeFailure]:
        """Return the target's report, or why there is none."""
        stream = self.idle.pop(target.process, None)
        is_new = stream is None
        report = ReportParser()
        try:
            with trio.fail_at(deadline):
                if stream is None:
                    stream = await open_plain_stream(target.ip, target.port)
                answer = await self._ask(stream, target, max_bytes, report)
        except trio.TooSlowError:
            return Failure(ProbeFailure.TIMEOUT)
        except ConnectionRefusedError:
            return Failure(ProbeFailure.REFUSED)
        except (OSError, trio.BrokenResourceError, EOFError) as error:
            if _is_refused(error):
                return Failure(ProbeFailure.REFUSED)
            # One that could not be opened may be this host's own shortage.
            opened = is_new and stream is not None
            unanswered = opened and not report.begun
            return Failure(
                ProbeFailure.UNANSWERED if unanswered else ProbeFailure.LOST
            )
        except (
            Malformed,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ):
            return Failure(ProbeFailure.MALFORMED)
        else:
            if not report.stray:
                self._keep_idle(target.process, stream)
                stream = None
            return Success(answer)
        finally:
            if stream is not None:
                stream.close()

    async def _ask(
        self,
        stream: PlainStream,
        target: TargetState,
        max_bytes: int,
        report: ReportParser,
    ) -> ProbeAnswer:
        own_path = self.settings.targets.load_path
        path = (self.load_paths or {}).get(target.service, own_path)
        request = (
            f"GET {path} HTTP/1.1\r\nhost: {target.ip}:{target.port}\r\n\r\n"
        ).encode()
        await stream.send_all(request)
        used = len(request)
        noted = False
        while not report.complete:
            if used >= max_bytes:
                raise Malformed
            data = await stream.receive_some(max_bytes - used)
            if not data:
                raise EOFError
            report.begun = True
            used += len(data)
            report.parser.feed_data(data)
            if report.malformed:
                raise Malformed
            if report.head_complete and not noted:
                noted = True
                self._note_pushback(target, report)
        if report.status >= 500 and not report.headers:
            raise Malformed
        answer = read_report(report, self.load_reader, used)
        if self.instance_name in report.headers:
            instance = TargetId(report.headers[self.instance_name])
            answer = dataclasses.replace(answer, instance=instance)
        return answer

    def _note_pushback(self, target: TargetState, report: ReportParser) -> None:
        instance = report.headers.get(self.instance_name, target.id)
        if self.pushbacks is not None and instance == target.id:
            self.pushbacks.note_answer(
                target, report.status, report.fields, ReportSource.PROBE
            )

    def _keep_idle(self, process: ProcessId, stream: PlainStream) -> None:
        if process in self.idle or len(self.idle) >= MAX_IDLE_CONNECTIONS:
            stream.close()
        else:
            self.idle[process] = stream


def read_report(
    report: ReportParser, reader: LoadReader, used_bytes: int
) -> ProbeAnswer:
    """Return the report from the headers, or else from a JSON body.

    Raises:
        Malformed: Neither contains one.
    """
    load = reader.read(
        {name.encode(): text.encode() for name, text in report.headers.items()}
    )
    if load.in_flight is None:
        load = _read_body(report.body, load.slots)
    return ProbeAnswer(
        in_flight=load.in_flight,
        slots=None if load.slots is None else max(1, load.slots),
        state=load.state or ReportedState.READY,
        used_bytes=used_bytes,
        slowness=load.slowness,
        warm_up_seconds=load.warm_up_seconds,
        headers=report.fields,
    )


def _read_body(body: bytes, slots: int | None) -> ParsedLoad:
    """Return the report in a JSON body; `slots` is a header's value."""
    try:
        fields = orjson.loads(body) if body[:1] == b"{" else {}
        own_slots = fields.get("slots")
        return ParsedLoad(
            in_flight=max(0, _count(fields.get("in_flight"))),
            slots=slots if own_slots is None else _count(own_slots),
            state=STATES.get(str(fields.get("state")).encode()),
        )
    except (TypeError, ValueError):
        raise Malformed from None


def _count(value: object) -> int:
    """Return a count as an integer; raises ValueError if it is too high."""
    count = int(value)
    if count > MAX_COUNT:
        raise ValueError(f"{count} is too high")
    return count


def _is_refused(error: BaseException) -> bool:
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, ConnectionRefusedError):
            return True
        if isinstance(cause, BaseExceptionGroup):
            return any(_is_refused(e) for e in cause.exceptions)
        cause = cause.__cause__
    return False
