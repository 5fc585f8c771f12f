"""Write log lines: short sentences with a fixed prefix for each component."""

import atexit
import logging as std_logging
import time
from collections.abc import Callable

import orjson
from absl import flags, logging

from agatetack.build_id import running
from agatetack.ids import RequestId
from agatetack.log_writer import (
    STANDARD_ERROR,
    STANDARD_OUTPUT,
    CountDrop,
    LineDrop,
    LogWriter,
    ignore_drop,
)
from agatetack.settings.findings import one_line
from agatetack.settings.model import LogOutput, LogsSettings

OUTPUT_FILES = {
    LogOutput.STANDARD_OUTPUT: STANDARD_OUTPUT,
    LogOutput.STANDARD_ERROR: STANDARD_ERROR,
}
"""The file descriptor of each output."""

WINDOW_SECONDS = 1.0
"""Length of the window over which lines of one kind are limited."""

MAX_KINDS = 1000
"""Most kinds of lines that are counted; beyond this, all counts are reset."""


class LineLimiter:
    """Limits how often lines of one kind are written.

    An outage can cause one line for each request. Writing all of them would
    block the process while it should recover.

    Attributes:
        max_lines: Most lines of one kind in a window.
        count_drop: Called for each line that is left out.
    """

    def __init__(
        self, max_lines: int, clock: Callable[[], float] = time.monotonic
    ):
        """Allow `max_lines` of a kind in `WINDOW_SECONDS` of `clock`."""
        self.max_lines = max_lines
        self.clock = clock
        self.count_drop: CountDrop = ignore_drop
        self.window_ends = 0.0
        self.seen: dict[str, int] = {}

    def take(self, kind: str) -> int | None:
        """Count a line of `kind`, and return whether it may be written.

        Returns:
            None if the line has to be left out; otherwise the number of lines
            that were left out since the last one that was written.
        """
        now = self.clock()
        if now >= self.window_ends:
            self._start_window(now)
        if len(self.seen) > MAX_KINDS:
            self.seen.clear()
        seen = self.seen.get(kind, 0)
        if seen >= self.max_lines:
            self.seen[kind] = seen + 1
            self.count_drop(LineDrop.REPEATED)
            return None
        self.seen[kind] = max(seen, 0) + 1
        return max(-seen, 0)

    def _start_window(self, now: float) -> None:
        # A negative count is the number of lines left out in earlier windows
        # that no written line has reported yet.
        left_out = {
            kind: min(seen, self.max_lines - seen)
            for kind, seen in self.seen.items()
        }
        self.seen = {kind: seen for kind, seen in left_out.items() if seen < 0}
        self.window_ends = now + WINDOW_SECONDS


limiter = LineLimiter(max_lines=20)
"""Shared by all components; `set_up_logs` sets its limit."""


class PartLog:
    """The log of one component; every line starts with its prefix."""

    def __init__(self, prefix: str):
        """Create a log whose lines have the form `prefix: sentence`."""
        self.prefix = prefix

    def debug(self, text: str, *args: object) -> None:
        """Write a line for debugging."""
        self._write(std_logging.DEBUG, None, text, args)

    def info(self, text: str, *args: object) -> None:
        """Write a line that operators may want to see."""
        self._write(std_logging.INFO, None, text, args)

    def warning(self, text: str, *args: object) -> None:
        """Write a line about something that operators should check."""
        self._write(std_logging.WARNING, None, text, args)

    def error(self, text: str, *args: object) -> None:
        """Write a line about a fault in this host."""
        self._write(std_logging.ERROR, None, text, args)

    def request(self, request: RequestId, text: str, *args: object) -> None:
        """Write a line about one request, which starts with its id."""
        self._write(std_logging.INFO, request, text, args)

    def _write(
        self,
        level: int,
        request: RequestId | None,
        text: str,
        args: tuple[object, ...],
    ) -> None:
        logger = logging.get_absl_logger()
        if not logger.isEnabledFor(level):
            return
        left_out = limiter.take(text)
        if left_out is None:
            return
        sentence = _fill(text, args)
        if left_out:
            sentence = f"{sentence} ({left_out} like it left out)"
        fields = {"part": self.prefix, "request": request, "text": sentence}
        about = "" if request is None else f"[{request}] "
        line = one_line(f"{self.prefix}: {about}{sentence}")
        logger.log(level, "%s", line, extra={"line": fields})


def _fill(text: str, args: tuple[object, ...]) -> str:
    """Format a sentence; wrong arguments are appended instead of raising."""
    if not args:
        return text
    try:
        return text % args
    except (TypeError, ValueError):
        return f"{text} {args!r}"


# absl skips these frames, so that a record has its caller's file and line.
for _method in ("debug", "info", "warning", "error", "request", "_write"):
    logging.ABSLLogger.register_frame_to_skip(__file__, _method)


class JsonFormatter(std_logging.Formatter):
    """Write each line as one JSON object."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the JSON object of `record`, with time, level and build."""
        fields = getattr(record, "line", None)
        if fields is None:
            # A library wrote the record, so it has no fields of ours.
            fields = {"part": record.name, "text": record.getMessage()}
        line = {
            "time": _format_time(record),
            "level": record.levelname.lower(),
            "build": running.short_tree,
        }
        for name, value in fields.items():
            if value is not None:
                line[name] = _clean(value)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=str).decode()


def _clean(value: object) -> object:
    """Escape lone surrogates in a string, as JSON can't encode them."""
    if not isinstance(value, str):
        return value
    return value.encode("utf-8", "backslashreplace").decode("utf-8")


def _format_time(record: std_logging.LogRecord) -> str:
    """Return the time of the logged event, or else of the record."""
    wall = getattr(record, "wall", None)
    created = record.created if wall is None else wall
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(created))
    return f"{seconds}.{int(created % 1 * 1000):03d}Z"


def count_drops(count: CountDrop) -> None:
    """Call `count` for each line that is dropped from now on."""
    limiter.count_drop = count
    for handler in std_logging.getLogger().handlers:
        if isinstance(handler, LogWriter):
            handler.count_drop = count


def set_up_logs(settings: LogsSettings) -> LogWriter:
    """Set up the process's log output as `settings` say.

    Returns:
        The writer; lines still queued are written when the process exits.
    """
    # Without this, absl warns at each start that its flags are not parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(settings.level.value)
    limiter.max_lines = settings.max_lines_per_second
    formatter = logging.PythonFormatter()
    if settings.json_lines:
        formatter = JsonFormatter()
    writer = LogWriter(formatter, OUTPUT_FILES[settings.output])
    root = std_logging.getLogger()
    root.removeHandler(logging.get_absl_handler())
    root.addHandler(writer)
    atexit.register(writer.stop)
    return writer
