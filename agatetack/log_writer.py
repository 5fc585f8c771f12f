"""Write log lines in a thread, so that a stalled reader stalls no request."""

import enum
import logging as std_logging
import os
import queue
import threading
from collections.abc import Callable

MAX_WAITING = 2000
"""Lines that wait for the thread; more of them are counted and dropped."""

STOP_SECONDS = 1.0
"""How long a stop waits for the lines that are still to be written."""

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2


class LineDrop(enum.Enum):
    """Why a line was not written; the counter's label."""

    REPEATED = "repeated"
    NOT_READ = "not-read"


CountDrop = Callable[[LineDrop], None]
"""Takes the reason of one line that was not written; must not block."""


def count_nothing(reason: LineDrop) -> None:
    """Count no line; in place until a host has counters."""


class LogWriter(std_logging.Handler):
    """Hand records to a thread that formats and writes them.

    Standard error is often a pipe. When its reader stops, a write blocks, and
    with it every task of the host.

    Attributes:
        dropped: Lines dropped since the last one written.
        count_drop: Told of each line that is dropped.
    """

    def __init__(
        self, formatter: std_logging.Formatter, file: int = STANDARD_ERROR
    ):
        """Start the thread.

        Args:
            formatter: Makes the lines.
            file: The file descriptor to write to.
        """
        super().__init__()
        self.formatter = formatter
        self.file = file
        self.waiting: queue.SimpleQueue[std_logging.LogRecord | None]
        self.waiting = queue.SimpleQueue()
        self.dropped = 0
        self.count_drop: CountDrop = count_nothing
        self.thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self.thread.start()

    def emit(self, record: std_logging.LogRecord) -> None:
        """Hand one record to the thread, or drop it if too many wait."""
        if self.waiting.qsize() < MAX_WAITING:
            self.waiting.put(record)
        else:
            self.dropped += 1  # Its caller, `handle`, holds the lock.
            self.count_drop(LineDrop.NOT_READ)

    def stop(self) -> None:
        """Write what waits and end the thread; give up after a while."""
        self.waiting.put(None)
        self.thread.join(STOP_SECONDS)

    def _run(self) -> None:
        while (record := self.waiting.get()) is not None:
            if self.dropped:
                self._write(self._dropped_record())
            self._write(record)

    def _dropped_record(self) -> std_logging.LogRecord:
        with self.lock:
            dropped, self.dropped = self.dropped, 0
        text = f"{dropped} lines were dropped, as nobody read them."
        record = std_logging.LogRecord(
            "absl",
            std_logging.WARNING,
            __file__,
            0,
            f"logs: {text}",
            None,
            None,
        )
        record.line = {"part": "logs", "text": text}
        return record

    def _write(self, record: std_logging.LogRecord) -> None:
        # The buffer of sys.stderr is avoided: a thread that is blocked while
        # it holds the buffer's lock makes the interpreter abort at its end.
        try:
            line = f"{self.formatter.format(record)}\n"
            content = line.encode("utf-8", "backslashreplace")
            while content:
                content = content[os.write(self.file, content) :]
        except Exception:
            # There is nowhere left to report it, and the thread must go on.
            with self.lock:
                self.dropped += 1
