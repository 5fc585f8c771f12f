"""Test how an attempt's outcome decides the next step for a ticket."""

import pytest
import trio

from agatetack.deferred.queue import Executor
from agatetack.deferred.verdict import NextStep, Verdict, run_once
from agatetack.messages import Answer, AnswerCut, Body, BytesBody, Header
from agatetack.outcomes import Outcome, RefusalReason, refuse
from agatetack.settings.defaults import default_settings
from agatetack.targets.client import AttemptFailed, AttemptFailure
from agatetack.testing.deferred_fleet import (
    ROUTE,
    make_request,
    refusal_answer,
)

SETTINGS = default_settings(deferred={"max_result_bytes": 10})


class CutBody(Body):
    """A body that breaks off after its first bytes."""

    def __init__(self):
        self.parts = [b"half"]

    async def receive(self):
        if self.parts:
            return self.parts.pop()
        raise AnswerCut("scripted")


class OneExecutor(Executor):
    """Returns an answer, raises an exception, or hangs on None."""

    def __init__(self, result):
        self.result = result

    async def execute(self, route, request):
        if isinstance(self.result, Exception):
            raise self.result
        if self.result is None:
            await trio.sleep_forever()
        return self.result


def answer(content, status=200, headers=()):
    return Answer(status, list(headers), BytesBody(content))


def failed(reason, outcome):
    return AttemptFailed(AttemptFailure(reason, outcome, False))


@pytest.mark.parametrize(
    ("result", "next_step", "reason"),
    [
        (answer(b"0123456789"), NextStep.ANSWER, None),
        (answer(b"", status=503), NextStep.ANSWER, None),
        (
            answer(b"", headers=[Header(b"x-outcome", b"answered")]),
            NextStep.ANSWER,
            None,
        ),
        (answer(b"01234567890"), NextStep.FAIL, RefusalReason.RESULT_TOO_LARGE),
        (
            Answer(200, [], CutBody()),
            NextStep.TRY_AGAIN,
            RefusalReason.ANSWER_CUT,
        ),
        (
            refusal_answer(refuse(RefusalReason.NO_TARGET, "")),
            NextStep.NOT_RUN,
            RefusalReason.NO_TARGET,
        ),
        (
            refusal_answer(refuse(RefusalReason.CONNECTION_LOST, "")),
            NextStep.TRY_AGAIN,
            RefusalReason.CONNECTION_LOST,
        ),
        (
            refusal_answer(refuse(RefusalReason.HEADERS_TOO_LARGE, "")),
            NextStep.FAIL,
            RefusalReason.HEADERS_TOO_LARGE,
        ),
        (
            answer(b"", headers=[Header(b"x-outcome", b"\xff")]),
            NextStep.TRY_AGAIN,
            RefusalReason.INTERNAL_ERROR,
        ),
        (
            failed(RefusalReason.CONNECT_FAILED, Outcome.NOT_RUN),
            NextStep.NOT_RUN,
            RefusalReason.CONNECT_FAILED,
        ),
        (
            failed(RefusalReason.ANSWER_TIMEOUT, Outcome.UNKNOWN),
            NextStep.TRY_AGAIN,
            RefusalReason.ANSWER_TIMEOUT,
        ),
        (
            ValueError("scripted"),
            NextStep.TRY_AGAIN,
            RefusalReason.INTERNAL_ERROR,
        ),
        (None, NextStep.TRY_AGAIN, RefusalReason.ANSWER_TIMEOUT),
    ],
)
async def test_verdict(autojump_clock, result, next_step, reason):
    request = make_request(1, seconds=5)
    verdict = await run_once(OneExecutor(result), ROUTE, request, SETTINGS)
    assert (verdict.next, verdict.reason) == (next_step, reason)
    assert (verdict.answer is not None) == (next_step is NextStep.ANSWER)
    assert isinstance(verdict, Verdict)
