"""Check retries, hedges and fail-over of idempotent requests."""

import dataclasses

import pytest
import trio
from returns.result import Success

from agatetack.attempts.test_support import (
    BUG,
    CONNECT,
    CUT,
    HANG,
    LATE_SHED,
    LOST,
    OK,
    RETRY_AT,
    ROUTE,
    SHED,
    SLOW,
    TIMEOUT,
    UNWILLING,
    Crashes,
    OpenAdmission,
    Parts,
    ScriptedClient,
    make_request,
)
from agatetack.config.route import RouteSource, RouteTable
from agatetack.ids import RouteId
from agatetack.messages import Body
from agatetack.outcomes import Outcome, RefusalReason, RetryReason
from agatetack.targets.client import Freshness


@pytest.mark.parametrize(
    ("script", "calls", "reason", "outcome"),
    [
        ([OK], 1, None, None),
        ([CONNECT, OK], 2, None, None),
        ([UNWILLING, OK], 2, None, None),
        ([SHED, OK], 2, None, None),
        ([LOST, OK], 2, None, None),
        ([TIMEOUT, OK], 2, None, None),
        ([CUT, OK], 2, None, None),
        (
            [CONNECT] * 5,
            3,
            RefusalReason.CONNECT_FAILED,
            Outcome.NOT_RUN,
        ),
        (
            [LOST, CONNECT, CONNECT],
            3,
            RefusalReason.CONNECT_FAILED,
            Outcome.UNKNOWN,
        ),
        (
            [SHED, LOST, SHED],
            3,
            RefusalReason.SHED_BY_TARGET,
            Outcome.UNKNOWN,
        ),
        ([CUT] * 3, 3, RefusalReason.ANSWER_CUT, Outcome.UNKNOWN),
    ],
)
async def test_retries_and_says_truly_whether_it_ran(
    script, calls, reason, outcome, autojump_clock
):
    parts = Parts(ScriptedClient(script))
    result = await parts.runner().run(ROUTE, make_request(), hedged=True)
    assert len(parts.client.attempts) == calls
    if reason is None:
        assert result.unwrap().status == 200
    else:
        assert result.failure().reason is reason
        assert result.failure().outcome is outcome
    parts.check_permits()


async def test_a_retry_avoids_the_targets_that_had_it(autojump_clock):
    parts = Parts(ScriptedClient([LOST, LOST]))
    await parts.runner().run(ROUTE, make_request(), hedged=True)
    assert [w.avoid for w in parts.admission.wanted][-1] == {"t0", "t1", "t2"}


async def test_no_retry_spends_a_third_target_on_a_crashing_request(
    autojump_clock,
):
    parts = Parts(ScriptedClient([LOST] * 9), crashes=Crashes(limit=2))
    result = await parts.runner().run(ROUTE, make_request(), hedged=True)
    assert len(parts.client.attempts) == 2
    assert result.failure().outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("first", "sent_again"), [(LOST, False), (SHED, False), (CONNECT, True)]
)
async def test_a_half_sent_stream_is_not_sent_again(
    first, sent_again, autojump_clock
):
    class Stream(Body):
        async def receive(self):
            return b""

    parts = Parts(ScriptedClient([first, OK]))
    request = make_request(body=Stream())
    result = await parts.runner().run(ROUTE, request, hedged=True)
    assert isinstance(result, Success) is sent_again
    if not sent_again:
        assert result.failure().reason is first.reason
        assert result.failure().outcome is first.outcome


@pytest.mark.parametrize("learned", [True, False])
async def test_a_stream_is_never_read_by_two_attempts(learned, autojump_clock):
    class Stream(Body):
        async def receive(self):
            return b""

    parts = Parts(ScriptedClient([HANG, OK]))
    runner = parts.runner()
    for _ in range(200 if learned else 0):
        runner._add_latency(ROUTE.id, 0.02)
    request = make_request(body=Stream())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.hedger.run)
        with trio.move_on_at(request.deadline):
            await runner.run(ROUTE, request, hedged=True)
        nursery.cancel_scope.cancel()
    assert len(parts.client.attempts) == 1
    parts.check_permits()


async def test_retries_stay_within_their_budget(autojump_clock):
    parts = Parts(ScriptedClient([SHED] * 10_000))
    runner = parts.runner()
    for _ in range(1000):
        await runner.run(ROUTE, make_request(), hedged=True)
    assert len(parts.client.attempts) <= 1000 * 1.05 + 5


async def test_what_was_not_sent_spends_no_budget_and_no_attempt(
    autojump_clock,
):
    parts = Parts(ScriptedClient([*[UNWILLING] * 20, SHED, SHED, OK]))
    runner = parts.runner()
    left = runner.retries.of(ROUTE.id).tokens
    result = await runner.run(ROUTE, make_request(), hedged=True)
    assert result.unwrap().status == 200
    assert runner.retries.of(ROUTE.id).tokens >= left - 2


async def test_a_caller_is_told_when_the_service_takes_requests(
    autojump_clock,
):
    parts = Parts(ScriptedClient([SHED] * 3))
    result = await parts.runner().run(ROUTE, make_request(), hedged=True)
    assert result.failure().retry_at == RETRY_AT


async def run_hedged(parts, requests=1):
    """Run requests whose answers count as late after 20 ms."""
    runner = parts.runner()
    for _ in range(200):
        runner._add_latency(ROUTE.id, 0.02)
    runner.quantiles[ROUTE.id].add = lambda seconds: None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.hedger.run)
        for _ in range(requests):
            result = await runner.run(ROUTE, make_request(), hedged=True)
        nursery.cancel_scope.cancel()
    return result


async def test_a_late_answer_is_hedged_and_the_loser_cancelled(autojump_clock):
    parts = Parts(ScriptedClient([HANG, OK]))
    result = await run_hedged(parts)
    assert result.unwrap().body.content == b"answer 2"
    assert parts.client.cancelled == 1
    notes = parts.client.attempts[0].request.attempts
    assert [note.cancelled for note in notes] == [True, False]
    assert parts.retries(RetryReason.HEDGE) == 1
    parts.check_permits()


@pytest.mark.parametrize(
    ("script", "answered"),
    [
        ([SLOW, LOST], True),
        ([SLOW, HANG], True),
        ([LOST, SLOW, OK], True),
        ([SLOW, SHED, OK], True),
    ],
)
async def test_a_failed_hedge_leaves_the_first_attempt_alone(
    script, answered, autojump_clock
):
    parts = Parts(ScriptedClient(script))
    result = await run_hedged(parts)
    assert isinstance(result, Success) is answered
    parts.check_permits()


@pytest.mark.parametrize("second", [BUG, LOST])
async def test_a_second_attempt_that_may_have_run_is_told(
    second, autojump_clock
):
    parts = Parts(ScriptedClient([LATE_SHED, second, SHED, SHED]))
    result = await run_hedged(parts)
    assert result.failure().outcome is Outcome.UNKNOWN
    parts.check_permits()


async def test_hedges_stay_within_their_budget(autojump_clock):
    parts = Parts(ScriptedClient([SLOW] * 10_000))
    await run_hedged(parts, requests=200)
    assert len(parts.client.attempts) <= 200 * 1.02 + 2


async def test_no_hedge_waits_for_a_target(autojump_clock):
    parts = Parts(ScriptedClient([SLOW]), admission=OpenAdmission(permits=1))
    result = await run_hedged(parts)
    assert isinstance(result, Success)
    # A hedge and, later, the attempt for a stalled answer; neither waits.
    assert [w.wait for w in parts.admission.wanted] == [True, False, False]


async def test_no_hedge_spends_a_third_target_on_a_crashing_request(
    autojump_clock,
):
    crashes = Crashes(limit=0)
    parts = Parts(ScriptedClient([SLOW]), crashes=crashes)
    await run_hedged(parts)
    assert len(parts.client.attempts) == 1


@pytest.mark.parametrize(
    ("learned", "hedged"), [(True, True), (True, False), (False, True)]
)
async def test_a_stalled_answer_fails_over_without_a_hedge(
    learned, hedged, autojump_clock
):
    parts = Parts(ScriptedClient([HANG, OK]))
    runner = parts.runner()
    while runner.hedges.of(ROUTE.id).spend():
        pass
    for _ in range(200 if learned else 0):
        runner._add_latency(ROUTE.id, 0.02)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.hedger.run)
        result = await runner.run(ROUTE, make_request(), hedged=hedged)
        nursery.cancel_scope.cancel()
    assert result.unwrap().body.content == b"answer 2"
    assert parts.client.attempts[1].freshness is Freshness.NEW
    assert parts.retries(RetryReason.STALLED) == 1
    parts.check_permits()


async def test_routes_that_are_no_more_are_forgotten(autojump_clock):
    parts = Parts(ScriptedClient([]))
    runner = parts.runner()
    removed = dataclasses.replace(ROUTE, id=RouteId("gone"))
    for route in (ROUTE, removed):
        await runner.run(route, make_request(), hedged=True)
    source = RouteSource()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.forget_routes, source)
        await trio.sleep(200)
        assert runner.quantiles.keys() == {"r", "gone"}
        source.table = RouteTable([ROUTE])
        await trio.sleep(200)
        nursery.cancel_scope.cancel()
    assert runner.quantiles.keys() == {"r"}
    assert runner.retries.by_route.keys() == {"r"}
    assert runner.hedges.by_route.keys() == {"r"}


async def test_a_gone_caller_leaves_nothing_behind(autojump_clock):
    parts = Parts(ScriptedClient([HANG, HANG]))
    with trio.move_on_after(1):
        await run_hedged(parts)
    assert parts.client.cancelled == 2
    parts.check_permits()


@pytest.mark.parametrize(
    ("script", "calls"),
    [
        ([LOST, OK], 1),
        ([SHED, OK], 1),
        ([SLOW, OK], 1),
        # An attempt that was not sent takes no slot and is no second one.
        ([UNWILLING, OK], 2),
    ],
)
async def test_no_second_attempt_while_the_service_is_overloaded(
    script, calls, autojump_clock
):
    """Guards against retries and hedges that prolong an overload."""
    parts = Parts(ScriptedClient(script))
    parts.admission.stops_second_attempts = lambda route, request: True
    await run_hedged(parts)
    assert len(parts.client.attempts) == calls
