"""Check the result with which an attempt releases its permit."""

import pytest
import trio

from agatetack.admission.controller import AttemptResult
from agatetack.attempts.single import AttemptPlan
from agatetack.attempts.test_support import (
    CUT,
    HUNG_BODY,
    ROUTE,
    CountedPermit,
    Parts,
    ScriptedClient,
    make_request,
)

ANSWER_SECONDS = 0.01
"""Latency of the scripted client."""


@pytest.mark.parametrize(
    ("status", "usual", "result"),
    [
        (200, None, AttemptResult.ANSWERED),
        (200, 1.0, AttemptResult.ANSWERED),
        (404, 1.0, AttemptResult.ANSWERED),
        (500, 1.0, AttemptResult.FAILED),
        (502, 1.0, AttemptResult.FAILED),
        (503, 1.0, AttemptResult.FAILED),
        (504, 1.0, AttemptResult.FAILED),
        (500, ANSWER_SECONDS, AttemptResult.ANSWERED),
        (500, None, AttemptResult.FAILED),
        (501, 1.0, AttemptResult.ANSWERED),
        (505, 1.0, AttemptResult.ANSWERED),
    ],
)
async def test_a_target_that_fails_fast_does_not_look_quick(
    status, usual, result, autojump_clock
):
    parts = Parts(ScriptedClient([status]))
    permit = CountedPermit(0)
    permit.target.latency = usual
    request = make_request()
    plan = AttemptPlan(ROUTE, request, request.deadline)
    answer = (await parts.single().run(plan, permit)).unwrap()
    assert answer.status == status
    assert answer.body.content == b"answer 1"
    assert permit.results == [result]
    assert len(permit.latencies) == (result is AttemptResult.ANSWERED)


@pytest.mark.parametrize(
    ("body", "left_after", "result"),
    [
        (CUT, None, AttemptResult.FAILED),
        (HUNG_BODY, None, AttemptResult.FAILED),
        (HUNG_BODY, 1.0, AttemptResult.CANCELLED),
    ],
)
async def test_a_caller_that_leaves_does_not_speak_against_the_target(
    body, left_after, result, autojump_clock
):
    parts = Parts(ScriptedClient([body]))
    permit = CountedPermit(0)
    request = make_request()
    plan = AttemptPlan(ROUTE, request, request.deadline)
    with trio.move_on_after(left_after or 100):
        await parts.single().run(plan, permit)
    assert permit.results == [result]
