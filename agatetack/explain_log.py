"""Assemble the decision trace of one request from several hosts' JSON logs."""

import dataclasses
import pathlib
import sys
from collections.abc import Iterable, Mapping, Sequence

import orjson

from agatetack.errors import UserError

EVENT_ORDER = {"send": 0, "attempt-end": 1, "end": 2}
"""Order of a request's lines that have the same time; others come first."""

STANDARD_INPUT = "-"

HIDDEN_FIELDS = frozenset({"time", "level", "part", "event", "text", "request"})
"""Fields that are not repeated in the list of a line's fields."""


@dataclasses.dataclass(frozen=True, slots=True)
class TraceLine:
    """One line of a decision trace.

    Attributes:
        time: Time of the decision, as the host wrote it.
        source: Text that a log collector put before the line, such as a
            host's name.
        event: Name of the decision, or the text of a line without one.
        fields: The inputs of the decision, and its outcome.
    """

    time: str
    source: str
    event: str
    fields: Mapping[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """The decision trace of one request.

    Attributes:
        lines: Its decisions, in order of time.
        unread: Number of lines that contain its id but no JSON object.
    """

    lines: Sequence[TraceLine]
    unparsed_count: int


def read_trace(file: str, request: str) -> RequestTrace:
    """Return the decision trace of `request` from the lines of `file`.

    Raises:
        UserError: The file can't be read.
    """
    found: list[TraceLine] = []
    unparsed_count = 0
    for text in _lines_of(file):
        if request not in text:
            continue
        line = read_line(text, request)
        if line is not None:
            found.append(line)
        elif "{" not in text:
            unparsed_count += 1
    found.sort(key=lambda line: (line.time, EVENT_ORDER.get(line.event, -1)))
    return RequestTrace(found, unparsed_count)


def read_line(text: str, request: str) -> TraceLine | None:
    """Parse a line about `request`; return None if it is not about it.

    Args:
        text: One line; the text before its JSON object becomes its source.
        request: The request's id.
    """
    source, brace, rest = text.partition("{")
    try:
        fields = orjson.loads(brace + rest)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or fields.get("request") != request:
        return None
    event = fields.get("event") or fields.get("text") or ""
    shown = {k: v for k, v in fields.items() if k not in HIDDEN_FIELDS}
    return TraceLine(
        str(fields.get("time", "")), source.strip(), str(event), shown
    )


def render_trace(trace: RequestTrace) -> str:
    """Return a decision trace as text, with a line for each decision."""
    rows = []
    for line in trace.lines:
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items())
        parts = [line.time, line.source, line.event, fields]
        rows.append("  ".join(part for part in parts if part))
    if trace.unparsed_count:
        rows.append(
            f"{trace.unparsed_count} lines that name it could not be read"
        )
    return "\n".join(rows)


def _lines_of(file: str) -> Iterable[str]:
    if file == STANDARD_INPUT:
        yield from sys.stdin
        return
    try:
        with pathlib.Path(file).open(encoding="utf-8", errors="replace") as f:
            yield from f
    except OSError as error:
        raise UserError(f"{file}: {error.strerror}") from error
