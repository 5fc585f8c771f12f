"""Test which pushbacks of targets are accepted and how long they last."""

import pytest
import trio

from agatetack.headers import DecimalProblem
from agatetack.ids import FailureDomain, TargetId
from agatetack.messages import Header
from agatetack.metrics import Metrics
from agatetack.targets.pushbacks import MAX_PUSHBACK_SECONDS, Pushbacks
from agatetack.targets.rate_limits import SendKind
from agatetack.targets.state import ReportSource, TargetState
from agatetack.testing.targets import SERVICE


def make_target():
    return TargetState(
        id=TargetId("t"),
        service=SERVICE,
        ip="10.0.0.1",
        port=80,
        failure_domain=FailureDomain("zone-a"),
    )


def note(pushbacks, target, status, values):
    headers = [Header(b"retry-after", value) for value in values]
    pushbacks.note_answer(target, status, headers, ReportSource.ANSWER)


@pytest.mark.parametrize(
    ("status", "values", "seconds"),
    [
        (503, (b"3",), 3.0),
        (503, (b" 0.25 ",), 0.25),
        (429, (b"3",), 3.0),
        (503, (b"999999",), MAX_PUSHBACK_SECONDS),
        (503, (b"0",), None),
        (503, (), None),
        # These statuses do not mean that the target is overloaded.
        (500, (b"3",), None),
        (200, (b"3",), None),
        (421, (b"3",), None),
    ],
)
async def test_a_target_that_turns_away_says_for_how_long(
    autojump_clock, status, values, seconds
):
    target = make_target()
    now = trio.current_time()
    note(Pushbacks(Metrics()), target, status, values)
    if seconds is None:
        assert target.pushback_until <= now
    else:
        assert target.pushback_until == pytest.approx(now + seconds)


@pytest.mark.parametrize(
    ("values", "problem"),
    [
        ((b"",), DecimalProblem.NOT_A_NUMBER),
        ((b"-1",), DecimalProblem.NOT_A_NUMBER),
        ((b"soon",), DecimalProblem.NOT_A_NUMBER),
        ((b"Wed, 21 Oct 2026 07:28:00 GMT",), DecimalProblem.NOT_A_NUMBER),
        ((b"1e9",), DecimalProblem.NOT_A_NUMBER),
        ((b"1000001",), DecimalProblem.OUT_OF_RANGE),
        ((b"3", b"3"), DecimalProblem.REPEATED),
        ((b"9" * 65_536,), DecimalProblem.TOO_LONG),
    ],
)
async def test_anything_else_is_counted_and_not_believed(
    autojump_clock, values, problem
):
    target = make_target()
    pushbacks = Pushbacks(Metrics())
    note(pushbacks, target, 503, values)
    assert target.pushback_until < trio.current_time()
    assert pushbacks.refused.get({"problem": problem.value}) == 1


async def test_a_shorter_pushback_does_not_end_a_longer_one(autojump_clock):
    target = make_target()
    pushbacks = Pushbacks(Metrics())
    note(pushbacks, target, 503, (b"3",))
    until = target.pushback_until
    note(pushbacks, target, 503, (b"0.5",))
    assert target.pushback_until == until


@pytest.mark.parametrize(("after", "counted"), [(2.9, 1), (3.1, 0)])
async def test_what_is_sent_in_that_time_is_counted(
    autojump_clock, after, counted
):
    target = make_target()
    pushbacks = Pushbacks(Metrics())
    note(pushbacks, target, 503, (b"3",))
    await trio.sleep(after)
    pushbacks.note_sent(target, SendKind.LOOK)
    assert pushbacks.sends.get({"kind": "look"}) == counted


# Guards against: every host retried a target that rejected everything as soon
# as each pushback ended, as such a target reports no load.
@pytest.mark.parametrize(
    ("taken_before", "waits"),
    [
        (None, [1.0, 2.0, 4.0, 8.0, 12.0, 12.0]),
        (2, [1.0, 2.0, 1.0, 2.0, 4.0, 8.0]),
    ],
)
async def test_a_target_that_asks_again_and_again_is_left_alone_for_longer(
    autojump_clock, taken_before, waits
):
    target = make_target()
    pushbacks = Pushbacks(Metrics())
    seen = []
    for number in range(len(waits)):
        if number == taken_before:
            pushbacks.note_accepted(target)
        now = trio.current_time()
        note(pushbacks, target, 503, (b"1",))
        seen.append(target.pushback_until - now)
        await trio.sleep_until(target.pushback_until)
    assert seen == pytest.approx(waits)


async def test_what_was_under_way_does_not_lengthen_the_time(autojump_clock):
    target = make_target()
    pushbacks = Pushbacks(Metrics())
    for _ in range(5):
        note(pushbacks, target, 503, (b"1",))
    assert target.pushback_until == trio.current_time() + 1.0
