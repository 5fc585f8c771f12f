"""Run a stored request once and decide what to do with its ticket."""

import dataclasses
import enum

import trio

from agatetack.config.route import Route
from agatetack.deferred.queue import Executor, StoredAnswer
from agatetack.logs import PartLog
from agatetack.messages import (
    Answer,
    AnswerCut,
    CallerRequest,
    Header,
    find_header,
)
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.settings.model import Settings
from agatetack.targets.client import AttemptFailed

LOG = PartLog("deferred")

FINAL_REASONS = frozenset(
    {
        RefusalReason.MALFORMED_REQUEST,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.HEADERS_TOO_LARGE,
        RefusalReason.QUARANTINED,
        RefusalReason.RESULT_TOO_LARGE,
    }
)
"""Refusals that a retry would only repeat."""


class NextStep(enum.Enum):
    """What to do with a ticket after an attempt."""

    ANSWER = "answered"
    FAIL = "failed"
    TRY_AGAIN = "try-again"
    NOT_RUN = "not-run"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The outcome of one attempt.

    Attributes:
        next: What to do with the ticket.
        reason: Why there is no answer, or None.
        answer: The answer, or None.
    """

    next: NextStep
    reason: RefusalReason | None = None
    answer: StoredAnswer | None = None


async def run_once(
    executor: Executor, route: Route, request: CallerRequest, settings: Settings
) -> Verdict:
    """Run a request until its deadline at most and classify the outcome."""
    verdict = Verdict(NextStep.TRY_AGAIN, RefusalReason.ANSWER_TIMEOUT)
    with trio.move_on_at(request.deadline):
        try:
            answer = await executor.execute(route, request)
            verdict = await _classify_answer(answer, settings)
        except AttemptFailed as error:
            failure = error.failure
            verdict = _classify_failure(failure.reason, failure.outcome)
        except AnswerCut:
            verdict = Verdict(NextStep.TRY_AGAIN, RefusalReason.ANSWER_CUT)
        # An executor may raise any exception; the ticket must not be lost.
        except Exception as error:
            LOG.request(request.request_id, "An attempt raised %r.", error)
            verdict = Verdict(NextStep.TRY_AGAIN, RefusalReason.INTERNAL_ERROR)
    return verdict


async def _classify_answer(answer: Answer, settings: Settings) -> Verdict:
    names = settings.callers.headers
    reported_outcome = find_header(answer.headers, names.outcome.encode())
    if reported_outcome not in (None, Outcome.ANSWERED.value.encode()):
        await answer.aclose()
        reason = find_header(answer.headers, names.reason.encode())
        return _classify_failure(
            _parse_reason(reason), _parse_outcome(reported_outcome)
        )
    body = await _read_result(answer, settings.deferred.max_result_bytes)
    if body is None:
        return Verdict(NextStep.FAIL, RefusalReason.RESULT_TOO_LARGE)
    headers = tuple(Header(name, value) for name, value in answer.headers)
    stored = StoredAnswer(answer.status, headers, body)
    return Verdict(NextStep.ANSWER, None, stored)


def _classify_failure(reason: RefusalReason, outcome: Outcome) -> Verdict:
    if reason in FINAL_REASONS:
        return Verdict(NextStep.FAIL, reason)
    if outcome is Outcome.NOT_RUN:
        return Verdict(NextStep.NOT_RUN, reason)
    return Verdict(NextStep.TRY_AGAIN, reason)


def _parse_reason(value: bytes | None) -> RefusalReason:
    try:
        return RefusalReason((value or b"").decode("ascii", "replace"))
    except ValueError:
        return RefusalReason.INTERNAL_ERROR


def _parse_outcome(value: bytes) -> Outcome:
    is_not_run = value == Outcome.NOT_RUN.value.encode()
    return Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN


async def _read_result(answer: Answer, max_bytes: int) -> bytes | None:
    """Return the whole body, or None if it is too large."""
    parts: list[bytes] = []
    size = 0
    try:
        if (answer.body.length or 0) > max_bytes:
            return None
        while part := await answer.body.receive():
            size += len(part)
            if size > max_bytes:
                return None
            parts.append(part)
    finally:
        await answer.aclose()
    return b"".join(parts)
