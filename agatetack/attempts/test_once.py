"""Check that an at-most-once request is run at most once."""

import pytest
import trio

from agatetack.attempts.test_support import (
    CONNECT,
    CUT,
    LOST,
    OK,
    ROUTE,
    SHED,
    SLOW,
    TIMEOUT,
    UNWILLING,
    Claims,
    OpenAdmission,
    Parts,
    ScriptedClient,
    make_request,
)
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.targets.client import Freshness


@pytest.mark.parametrize(
    ("script", "calls", "reason", "outcome", "finished", "released"),
    [
        ([OK], 1, None, None, [200], 0),
        ([CONNECT, OK], 2, None, None, [200], 0),
        ([UNWILLING, OK], 2, None, None, [200], 0),
        ([SHED, OK], 2, None, None, [200], 0),
        (
            [LOST, OK],
            1,
            RefusalReason.CONNECTION_LOST,
            Outcome.UNKNOWN,
            [],
            0,
        ),
        (
            [TIMEOUT, OK],
            1,
            RefusalReason.ANSWER_TIMEOUT,
            Outcome.UNKNOWN,
            [],
            0,
        ),
        ([CUT, OK], 1, RefusalReason.ANSWER_CUT, Outcome.UNKNOWN, [], 0),
        (
            [CONNECT] * 3,
            3,
            RefusalReason.CONNECT_FAILED,
            Outcome.NOT_RUN,
            [],
            1,
        ),
        (
            [SHED, LOST, OK],
            2,
            RefusalReason.CONNECTION_LOST,
            Outcome.UNKNOWN,
            [],
            0,
        ),
    ],
)
async def test_once_runs_again_only_after_a_sure_not_run(
    script, calls, reason, outcome, finished, released, autojump_clock
):
    parts = Parts(ScriptedClient(script))
    result = await parts.once().run(ROUTE, make_request())
    assert len(parts.client.attempts) == calls
    assert parts.claims.finished == finished
    assert len(parts.claims.released) == released
    for attempt in parts.client.attempts:
        assert attempt.freshness is Freshness.PROVEN
    if reason is not None:
        assert result.failure().reason is reason
        assert result.failure().outcome is outcome
    parts.check_permits()


@pytest.mark.parametrize(
    ("claims", "outcome"),
    [
        (Claims(releases=True), Outcome.NOT_RUN),
        (Claims(releases=False), Outcome.UNKNOWN),
    ],
)
async def test_once_refused_by_admission_is_not_run_only_once_released(
    claims, outcome, autojump_clock
):
    parts = Parts(
        ScriptedClient([]), claims=claims, admission=OpenAdmission(permits=0)
    )
    result = await parts.once().run(ROUTE, make_request())
    assert result.failure().outcome is outcome
    assert not parts.client.attempts


async def test_once_without_a_claim_never_dispatches(autojump_clock):
    parts = Parts(ScriptedClient([OK]), claims=Claims(grant=False))
    result = await parts.once().run(ROUTE, make_request())
    assert result.failure().reason is RefusalReason.KEY_IN_PROGRESS
    assert not parts.client.attempts


async def test_once_goes_on_when_its_caller_leaves(autojump_clock):
    parts = Parts(ScriptedClient([SLOW]))
    with trio.move_on_after(0.1):
        await parts.once().run(ROUTE, make_request())
    assert parts.claims.finished == [200]
    assert parts.client.cancelled == 0
