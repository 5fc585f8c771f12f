"""Test limits, queues and refusals of requests."""

import dataclasses

import pytest
import trio
import trio.testing

from agatetack.admission.controller import AttemptResult, Priority
from agatetack.admission.test_support import ANSWERED, fill, make_harness
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.targets.registry import LeavingSign
from agatetack.testing.targets import SERVICE, listed_target, make_route


async def test_place_is_taken_and_given_back_once(autojump_clock):
    harness = make_harness()
    await harness.ask("a")
    permit = harness.permits[0]
    assert harness.in_flight() == 1
    permit.release(ANSWERED)
    permit.release(ANSWERED)
    assert harness.in_flight() == 0


@pytest.mark.parametrize(
    ("name", "prepare", "ask", "reason"),
    [
        (
            "deadline passed",
            lambda harness: None,
            {"seconds": 0.0},
            RefusalReason.CANNOT_MEET_DEADLINE,
        ),
        (
            "answers are slower than the time left",
            lambda harness: harness.admission._service_queue(
                SERVICE
            ).note_latency(1.0),
            {"seconds": 0.3},
            RefusalReason.CANNOT_MEET_DEADLINE,
        ),
        (
            "every target is leaving",
            lambda harness: harness.registry.note_leaving(
                harness.targets[0], LeavingSign.ANSWER_HEADER
            ),
            {},
            RefusalReason.NO_TARGET,
        ),
        (
            "no such service",
            lambda harness: None,
            {"route": make_route(service="other")},
            RefusalReason.NO_TARGET,
        ),
        (
            "a hedge does not wait",
            lambda harness: setattr(harness.targets[0], "in_flight", 1),
            {"wait": False},
            RefusalReason.QUEUE_FULL,
        ),
        (
            "a hedge avoids its own target",
            lambda harness: None,
            {"wait": False, "avoid": frozenset({"10.0.0.1:80"})},
            RefusalReason.QUEUE_FULL,
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
async def test_refused_at_once(autojump_clock, name, prepare, ask, reason):
    harness = make_harness()
    prepare(harness)
    started = trio.current_time()
    before = harness.in_flight()
    await harness.ask("x", **ask)
    refusal = harness.refused["x"]
    assert refusal.reason is reason
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_at > trio.current_time()
    assert trio.current_time() == started
    assert harness.in_flight() == before


async def test_waits_for_a_place_in_order(autojump_clock):
    harness = make_harness()
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, "abc")
        assert harness.served == ["a"]
        for _ in range(3):
            await trio.testing.wait_all_tasks_blocked()
            harness.answer()
    assert harness.served == ["a", "b", "c"]
    assert harness.in_flight() == 0


async def test_newcomer_does_not_overtake(autojump_clock):
    harness = make_harness()
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, "ab")
        harness.targets[0].limit = 2
        await fill(harness, nursery, "c")
        assert harness.served == ["a", "b"]
        nursery.cancel_scope.cancel()


async def test_new_target_serves_the_queue(autojump_clock):
    harness = make_harness()
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, "ab")
        harness.registry.update([listed_target(1), listed_target(2)])
    assert harness.served == ["a", "b"]


async def test_gives_up_while_an_answer_is_still_possible(autojump_clock):
    harness = make_harness()
    harness.admission._service_queue(SERVICE).note_latency(0.4)
    await harness.ask("a")
    started = trio.current_time()
    await harness.ask("b", seconds=1.0)
    assert trio.current_time() - started == pytest.approx(0.8)
    assert (
        harness.refused["b"].reason is RefusalReason.DEADLINE_EXCEEDED_IN_QUEUE
    )
    assert not harness.admission.service_queues[SERVICE].size


@pytest.mark.parametrize("priority", list(Priority))
async def test_cancelled_waiter_leaves_nothing_behind(autojump_clock, priority):
    harness = make_harness()
    await harness.ask("a")
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, "b", priority=priority)
        # The slot becomes free at the same moment as the waiter is cancelled.
        harness.answer()
        nursery.cancel_scope.cancel()
    held = len(harness.permits)
    assert harness.in_flight() == held
    assert not harness.admission.service_queues[SERVICE].size


@pytest.mark.parametrize(("fleet", "passed"), [(1, 10), (5, 2)])
async def test_rate_is_shared_over_the_fleet(autojump_clock, fleet, passed):
    harness = make_harness(limit=100, fleet=fleet)
    route = make_route(requests_per_second=20.0)
    for number in range(20):
        await harness.ask(f"r{number}", route=route)
    assert len(harness.served) == passed
    refusal = harness.refused["r19"]
    assert refusal.reason is RefusalReason.RATE_LIMITED
    await trio.sleep_until(refusal.retry_at)
    await harness.ask("again", route=route)
    assert harness.served[-1] == "again"


@pytest.mark.parametrize(
    ("results", "failures"),
    [
        # A truncated answer restores the failures that its headers had reset.
        ([AttemptResult.FAILED, AttemptResult.FAILED], 2),
        ([AttemptResult.FAILED, ANSWERED, AttemptResult.FAILED], 1),
        ([AttemptResult.FAILED, AttemptResult.FAILED, ANSWERED], 0),
        ([AttemptResult.FAILED, AttemptResult.CANCELLED], 0),
    ],
)
async def test_cut_answers_count_as_failures(autojump_clock, results, failures):
    harness = make_harness()
    for result in results:
        await harness.ask("a")
        permit = harness.permits.pop()
        permit.answered_headers(0.01)
        assert harness.targets[0].failures == 0
        permit.release(result)
    assert harness.targets[0].failures == failures


async def test_limit_shrinks_by_sheds_and_grows_by_answers(autojump_clock):
    harness = make_harness(limit=8)
    target = harness.targets[0]
    for _ in range(5):
        await harness.ask("a")
        harness.permits.pop().release(AttemptResult.SHED)
        await trio.sleep(2)
    assert target.limit == 1
    for _ in range(200):
        await harness.ask("b")
        harness.answer()
    assert target.limit > 1


async def test_retry_may_return_to_the_only_target(autojump_clock):
    harness = make_harness()
    await harness.ask("a", avoid=frozenset({"10.0.0.1:80"}))
    assert harness.served == ["a"]


async def test_leaving_target_gets_nothing_under_load(autojump_clock):
    harness = make_harness(targets=2, limit=8)
    first, second = harness.targets
    for number in range(50):
        if number == 20:
            harness.registry.note_leaving(first, LeavingSign.ANSWER_HEADER)
            before = first.in_flight
        await harness.ask(f"r{number}")
        harness.answer()
    assert first.in_flight <= before
    assert second.last_chosen_at is not None
    assert [p.target for p in harness.permits] == []


async def test_who_waits_is_refused_at_once_when_no_target_is_left(
    autojump_clock,
):
    harness = make_harness(targets=2, limit=1)
    domain = harness.targets[0].failure_domain
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, "abcde")
        assert harness.served == ["a", "b"]
        harness.registry.set_evacuated(frozenset([domain]))
        await trio.testing.wait_all_tasks_blocked()
        assert sorted(harness.refused) == ["c", "d", "e"]
        for refusal in harness.refused.values():
            assert refusal.reason is RefusalReason.NO_TARGET
            assert refusal.retry_at > trio.current_time()
        # Requests in flight finish, and no new ones are sent.
        harness.answer()
        harness.answer()
        assert harness.in_flight() == 0
        harness.registry.set_evacuated(frozenset())
        await fill(harness, nursery, "f")
        assert harness.served == ["a", "b", "f"]


REGIONS = {"d1": "north", "d2": "south"}


@pytest.mark.parametrize(
    ("regions", "usable"),
    [
        ((), {"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}),
        (("north",), {"10.0.0.1:80"}),
        (("north", "south"), {"10.0.0.1:80", "10.0.0.2:80"}),
        # A failure domain missing in the settings is in the host's own region.
        (("region-a",), {"10.0.0.3:80"}),
        (("elsewhere",), set()),
    ],
)
async def test_requests_stay_in_the_regions_of_their_route(
    autojump_clock, regions, usable
):
    harness = make_harness(targets=0, limit=1)
    host = harness.registry.settings.host.copy_with({"regions": REGIONS})
    harness.registry.settings = harness.registry.settings.copy_with(
        {"host": host}
    )
    domains = ("d1", "d2", "d3")
    harness.registry.update(
        [listed_target(n, domain=d) for n, d in enumerate(domains, 1)]
    )
    route = dataclasses.replace(make_route(), regions=regions)
    for name in "abcd":
        # A request that does not wait, such as a hedge, is refused at once if
        # no slot is free.
        await harness.ask(name, route=route, wait=False)
    assert {permit.target.id for permit in harness.permits} == usable
    assert len(harness.refused) == 4 - len(usable)
    if not usable:
        assert harness.refused["a"].reason is RefusalReason.NO_TARGET
