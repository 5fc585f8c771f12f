"""Test the format of log lines and the limit on their rate."""

import json
import logging as std_logging
import os
import sys
import types

import pytest
from absl import logging

from agatetack import log_writer, logs
from agatetack.build_id import running
from agatetack.log_writer import LineDrop, LogWriter
from agatetack.logs import JsonFormatter, LineLimiter, PartLog, set_up_logs
from agatetack.settings.defaults import default_settings


class ListHandler(std_logging.Handler):
    """Keep formatted lines."""

    def __init__(self, formatter):
        """Format with `formatter`."""
        super().__init__()
        self.setFormatter(formatter)
        self.lines = []

    def emit(self, record):
        """Store one line."""
        self.lines.append(self.format(record))


@pytest.fixture(params=[std_logging.Formatter(), JsonFormatter()])
def handler(request, monkeypatch):
    monkeypatch.setattr(logs, "limiter", LineLimiter(3, lambda: 0.0))
    logger = logging.get_absl_logger()
    handler = ListHandler(request.param)
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(std_logging.INFO)
    yield handler
    logger.setLevel(level)
    logger.removeHandler(handler)


LINES = [
    (lambda log: log.info("Started."), "p: Started.", None, "Started."),
    (lambda log: log.info("At 5%."), "p: At 5%.", None, "At 5%."),
    (
        lambda log: log.warning("Lost %s: %d.", "a: b", 3),
        "p: Lost a: b: 3.",
        None,
        "Lost a: b: 3.",
    ),
    (
        lambda log: log.request("r%s1", "Sent to %s.", "t"),
        "p: [r%s1] Sent to t.",
        "r%s1",
        "Sent to t.",
    ),
    (
        lambda log: log.request("r", "50% sent."),
        "p: [r] 50% sent.",
        "r",
        "50% sent.",
    ),
    (
        lambda log: log.error("Got %d.", "x"),
        "p: Got %d. ('x',)",
        None,
        "Got %d. ('x',)",
    ),
    (
        lambda log: log.error("Got %s.", "x\ny\ud800"),
        "p: Got x\\ny\\ud800.",
        None,
        "Got x\ny\\ud800.",
    ),
]


@pytest.mark.parametrize(("write", "line", "request_id", "text"), LINES)
def test_line_has_its_part_and_request(handler, write, line, request_id, text):
    write(PartLog("p"))
    (written,) = handler.lines
    if not isinstance(handler.formatter, JsonFormatter):
        assert written == line
        return
    fields = json.loads(written)
    assert "\n" not in written
    assert (fields["part"], fields["text"]) == ("p", text)
    assert fields.get("request") == request_id
    assert fields["level"] in ("info", "warning", "error")
    assert fields["build"] == running.short_tree


def test_lines_below_the_level_are_neither_filled_nor_counted(handler):
    filled = []

    class Value:
        def __str__(self):
            filled.append(self)
            return "value"

    for _ in range(4):
        PartLog("p").debug("Got %s.", Value())
    assert (handler.lines, filled, logs.limiter.seen) == ([], [], {})


def test_lines_of_libraries_are_json_too():
    try:
        raise ValueError("x")
    except ValueError:
        info = sys.exc_info()
    record = std_logging.LogRecord(
        "hypercorn", 30, "f", 1, "a %s", ("b",), info
    )
    fields = json.loads(JsonFormatter().format(record))
    assert fields["part"] == "hypercorn"
    assert fields["text"] == "a b"
    assert "ValueError: x" in fields["exception"]


def test_lines_of_one_kind_are_limited_and_counted(handler, monkeypatch):
    now = 0.0
    monkeypatch.setattr(logs, "limiter", LineLimiter(2, lambda: now))
    log = PartLog("p")
    for number in range(5):
        log.info("Lost %d.", number)
    log.info("Other.")
    now = 1.0
    log.info("Lost %d.", 5)
    log.info("Lost %d.", 6)
    log.info("Lost %d.", 7)
    now = 3.0
    log.info("Nothing else.")
    now = 4.0
    log.info("Lost %d.", 8)
    now = 5.0
    log.info("Lost %d.", 9)
    texts = [line.partition("p: ")[2] for line in handler.lines]
    if isinstance(handler.formatter, JsonFormatter):
        texts = [json.loads(line)["text"] for line in handler.lines]
    assert texts == [
        "Lost 0.",
        "Lost 1.",
        "Other.",
        "Lost 5. (3 like it left out)",
        "Lost 6.",
        "Nothing else.",
        "Lost 8. (1 like it left out)",
        "Lost 9.",
    ]


def test_kinds_that_are_counted_are_bounded():
    limiter = LineLimiter(1, lambda: 0.0)
    for number in range(3 * logs.MAX_KINDS):
        limiter.take(f"{number}")
    assert len(limiter.seen) <= logs.MAX_KINDS + 1


def test_records_name_the_file_that_wrote_them(handler, monkeypatch):
    records = []
    monkeypatch.setattr(handler, "emit", records.append)
    PartLog("p").info("Started.")
    assert records[0].filename == "test_logs.py"


@pytest.mark.parametrize("json_lines", [True, False])
def test_set_up_writes_to_standard_error(json_lines, capfd, monkeypatch):
    monkeypatch.setattr(logs, "limiter", LineLimiter(1))
    root = std_logging.getLogger()
    before, level = list(root.handlers), root.level
    settings = default_settings(
        logs={"json_lines": json_lines, "max_lines_per_second": 7}
    )
    drops = []
    try:
        writer = set_up_logs(settings.logs)
        logs.count_drops(drops.append)
        PartLog("p").info("Started.")
        assert logs.limiter.max_lines == 7
        logs.limiter.max_lines = 1
        PartLog("p").info("Started.")
        monkeypatch.setattr(log_writer, "MAX_WAITING", 0)
        writer.handle(make_record("x"))
        writer.stop()
        assert drops == [LineDrop.REPEATED, LineDrop.NOT_READ]
    finally:
        root.handlers[:] = before
        root.setLevel(level)
    end = '"text":"Started."}\n' if json_lines else "p: Started.\n"
    assert capfd.readouterr().err.endswith(end)


@pytest.fixture
def pipe():
    """Yield a pipe whose reader and writer are closed after the test."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_record(text):
    return std_logging.LogRecord("n", 20, "f", 1, text, None, None)


# Guards against a host that is killed as nobody reads its log, although it has
# drained in time.
@pytest.mark.parametrize(
    ("left", "waited"), [(0.4, 0.3), (5.0, 1.0), (0.0, 0.05), (-9.0, 0.05)]
)
def test_a_stop_waits_for_no_reader_until_the_kill(left, waited, monkeypatch):
    waits = []
    writer = LogWriter(std_logging.Formatter())
    thread = writer.thread
    monkeypatch.setattr(
        writer, "thread", types.SimpleNamespace(join=waits.append)
    )
    clock = types.SimpleNamespace(monotonic=lambda: 100.0)
    monkeypatch.setattr(log_writer, "time", clock)
    writer.stop(100.0 + left)
    thread.join()
    assert waits == [pytest.approx(waited)]


def test_a_stalled_reader_stalls_no_writer(pipe, monkeypatch):
    monkeypatch.setattr(log_writer, "MAX_WAITING", 2)
    reader, end = pipe
    writer = LogWriter(std_logging.Formatter(), end)
    # These lines exceed the capacity of the pipe and the queue.
    for _ in range(100):
        writer.handle(make_record("x" * 10_000))
    assert writer.dropped > 0
    read = b""
    while b" lines were dropped" not in read:
        read = read[-100:] + os.read(reader, 65_536)
    writer.stop()
    assert not writer.thread.is_alive()


def test_lines_keep_their_order_and_are_written_at_a_stop(pipe, monkeypatch):
    reader, end = pipe
    write = os.write
    monkeypatch.setattr(os, "write", lambda file, data: write(file, data[:2]))
    writer = LogWriter(std_logging.Formatter(), end)
    for number in range(100):
        writer.handle(make_record(f"{number}"))
    writer.stop()
    written = os.read(reader, 65_536).split()
    assert written == [b"%d" % number for number in range(100)]


def test_a_record_that_cannot_be_formatted_ends_no_thread(pipe):
    reader, end = pipe
    writer = LogWriter(std_logging.Formatter(), end)
    bad = std_logging.LogRecord("n", 20, "f", 1, "%d", ("x",), None)
    writer.handle(bad)
    writer.handle(make_record("good"))
    writer.stop()
    written = os.read(reader, 65_536).splitlines()
    assert written == [
        b"logs: 1 lines were dropped, as nobody read them.",
        b"good",
    ]
