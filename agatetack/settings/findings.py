"""Describe what is wrong in a file, and where."""

import dataclasses
import enum
from collections.abc import Iterable

KeyPath = tuple[str | int, ...]
"""The keys and list indexes that lead from the top of a file to a value."""

NO_PLACE = 0
"""The line and column of a finding about a file that could not be read."""


class Severity(enum.Enum):
    """Whether a file with a finding can be used."""

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where something stands in a file; both counted from 1."""

    line: int
    column: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong in a file.

    Attributes:
        file: The file's path, as the user gave it.
        line: The line, from 1, or `NO_PLACE`.
        column: The column, from 1, or `NO_PLACE`.
        key: The path of the key, such as `callers.listen.port`, or "".
        message: What is wrong, without a full stop.
        hint: What was probably meant, or "".
        severity: Whether the file can still be used.
    """

    file: str
    line: int
    column: int
    key: str
    message: str
    hint: str = ""
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        """Return the finding as one line."""
        return render_finding(self)


def render_finding(finding: Finding) -> str:
    """Return `file:line:column: key: message (did you mean "x"?)`."""
    place = finding.file
    if finding.line != NO_PLACE:
        place = f"{place}:{finding.line}:{finding.column}"
    parts = [place, finding.key, finding.message]
    if finding.severity is Severity.WARNING:
        parts.insert(1, "warning")
    line = ": ".join(part for part in parts if part)
    if finding.hint:
        line = f'{line} (did you mean "{finding.hint}"?)'
    return one_line(line)


def render_findings(findings: Iterable[Finding]) -> str:
    """Return the findings as lines."""
    return "\n".join(render_finding(finding) for finding in findings)


def key_text(path: KeyPath) -> str:
    """Return a path as users write it, such as `operators.tokens[0].name`."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        elif text:
            text += f".{step}"
        else:
            text = step
    return text


def one_line(text: str) -> str:
    """Return `text` with its control characters escaped."""
    if text.isprintable():
        return text
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in text
    )
