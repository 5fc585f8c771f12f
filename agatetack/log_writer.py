"""Write log lines in a thread, so that a slow reader doesn't block requests."""

import enum
import logging as std_logging
import os
import queue
import threading
import time
from collections.abc import Callable

MAX_WAITING = 2000
"""Most lines queued for the thread; further ones are counted and dropped."""

STOP_SECONDS = 1.0
"""Longest time that a stop waits for the queued lines to be written."""

MIN_STOP_SECONDS = 0.05
"""Time for which a stop waits if the process may be killed any moment."""

END_SECONDS = 0.1
"""Reserve for the end of the process after its last line."""

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2


class LineDrop(enum.Enum):
    """Why a line was not written; the counter's label."""

    REPEATED = "repeated"
    NOT_READ = "not-read"


CountDrop = Callable[[LineDrop], None]
"""Called with the reason why a line was not written; must not block."""


def ignore_drop(reason: LineDrop) -> None:
    """Ignore the drop; used until the host's metrics exist."""


class LogWriter(std_logging.Handler):
    """Log handler that formats and writes records in a thread.

    Standard error is often a pipe. If its reader stops reading, a write
    blocks, and on trio's thread this would block every task of the host.

    Attributes:
        dropped: Number of lines dropped and not yet reported in the log.
        count_drop: Called for each line that is dropped.
    """

    def __init__(
        self, formatter: std_logging.Formatter, file: int = STANDARD_ERROR
    ):
        """Start the thread.

        Args:
            formatter: Formats records as lines.
            file: The file descriptor to write to.
        """
        super().__init__()
        self.formatter = formatter
        self.file = file
        self.waiting: queue.SimpleQueue[std_logging.LogRecord | None]
        self.waiting = queue.SimpleQueue()
        self.dropped = 0
        self.count_drop: CountDrop = ignore_drop
        self.thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self.thread.start()

    def emit(self, record: std_logging.LogRecord) -> None:
        """Queue a record for the thread, or drop it if the queue is full."""
        if self.waiting.qsize() < MAX_WAITING:
            self.waiting.put(record)
        else:
            self.dropped += 1  # `handle`, which calls this, holds the lock.
            self.count_drop(LineDrop.NOT_READ)

    def stop(self, kill_at: float = float("inf")) -> None:
        """Write the queued lines and end the thread, within a time limit.

        Args:
            kill_at: When the process may be killed, on the steady clock.
        """
        self.waiting.put(None)
        left = kill_at - END_SECONDS - time.monotonic()
        self.thread.join(max(MIN_STOP_SECONDS, min(STOP_SECONDS, left)))

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
        # This does not write through sys.stderr: if a thread is blocked while
        # it holds the lock of that buffer, the interpreter aborts on exit.
        try:
            line = f"{self.formatter.format(record)}\n"
            content = line.encode("utf-8", "backslashreplace")
            while content:
                content = content[os.write(self.file, content) :]
        except Exception:
            # The log is the only place to report an error, and the thread
            # has to continue.
            with self.lock:
                self.dropped += 1
