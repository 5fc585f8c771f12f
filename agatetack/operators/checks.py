"""Check the fields of requests and unwrap the backend's results."""

from typing import TypeVar

import trio
from returns.pipeline import is_successful
from returns.result import Result

from agatetack.ids import Deadline
from agatetack.operators.refusals import InvalidRequest
from agatetack.operators.views import Finding

MAX_TIMEOUT_MS = 60_000
MAX_TEXT_LENGTH = 200
"""Longest id, key or message that a call may bring, in characters."""

T = TypeVar("T")


def unwrap(result: Result[T, Exception]) -> T:
    """Return the value of `result`, or raise the error it holds."""
    if is_successful(result):
        return result.unwrap()
    raise result.failure()


def deadline_after(timeout_ms: int) -> Deadline:
    """Return when a call that may take `timeout_ms` is to give up.

    Raises:
        InvalidRequest: The timeout is out of bounds.
    """
    if not 1 <= timeout_ms <= MAX_TIMEOUT_MS:
        raise invalid(
            Finding("request.timeout_ms", f"must be from 1 to {MAX_TIMEOUT_MS}")
        )
    return Deadline(trio.current_time() + timeout_ms / 1000)


def check_text(place: str, text: str) -> None:
    """Raise InvalidRequest unless `text` can be an id or key."""
    finding = text_finding(place, text)
    if finding is not None:
        raise invalid(finding)


def text_finding(place: str, text: str) -> Finding | None:
    """Return what speaks against `text` as an id or key, if anything."""
    if not text:
        return Finding(place, "must not be empty")
    if len(text) > MAX_TEXT_LENGTH:
        return Finding(place, f"must have at most {MAX_TEXT_LENGTH} characters")
    if not text.isprintable():
        return Finding(place, "must hold printable characters only")
    return None


def invalid(*findings: Finding) -> InvalidRequest:
    """Return an error that names all findings."""
    listed = "; ".join(f"{f.place} {f.message}" for f in findings)
    return InvalidRequest(listed, findings)
