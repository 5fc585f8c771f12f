"""Test in which order waiting requests get a target."""

import dataclasses
import functools
import random

import pytest
import trio
import trio.testing

from agatetack.admission.controller import PermitRequest, Priority
from agatetack.admission.queue import FairQueue, Order, Waiter
from agatetack.admission.service import LATE_POLL_SECONDS
from agatetack.admission.service_queue import LATE_YIELD_SECONDS, ServiceQueue
from agatetack.admission.test_support import fill, make_harness
from agatetack.ids import Deadline
from agatetack.outcomes import RefusalReason
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import make_request, make_route


async def test_full_queue_refuses_and_tells_when_to_come_back(autojump_clock):
    harness = make_harness(max_queue=2)
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, "abcd")
        assert list(harness.refused) == ["d"]
        assert harness.refused["d"].reason is RefusalReason.QUEUE_FULL
        nursery.cancel_scope.cancel()


async def test_standing_queue_is_served_newest_first(autojump_clock):
    harness = make_harness(max_queue=2, standing_queue_seconds=0.1)
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, "abc")
        await trio.sleep(0.2)
        await fill(harness, nursery, "d")
        # The oldest waiter is evicted and refused at once.
        assert list(harness.refused) == ["b"]
        harness.answer()
        await trio.testing.wait_all_tasks_blocked()
        assert harness.served == ["a", "d"]
        nursery.cancel_scope.cancel()


async def test_callers_and_routes_take_turns(autojump_clock):
    harness = make_harness()
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, ["first", "a1", "a2", "a3"], caller="busy")
        await fill(harness, nursery, ["b1"], caller="other")
        await fill(harness, nursery, ["r1", "r2"], route=make_route("second"))
        for _ in range(7):
            await trio.testing.wait_all_tasks_blocked()
            harness.answer()
    assert harness.served == ["first", "a1", "r1", "b1", "r2", "a2", "a3"]


async def test_low_priority_never_goes_first(autojump_clock):
    harness = make_harness()
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, ["a"])
        await fill(harness, nursery, ["low"], priority=Priority.LOW)
        await fill(harness, nursery, ["b", "c"])
        for _ in range(3):
            assert "low" not in harness.served
            harness.answer()
            await trio.testing.wait_all_tasks_blocked()
    assert harness.served == ["a", "b", "c", "low"]


@pytest.mark.parametrize(
    ("others", "quiet", "served"),
    [
        # If normal requests arrived lately, one slot is reserved for the next.
        (0, False, True),
        (1, False, False),
        (2, False, False),
        (1, True, True),
        (2, True, False),
    ],
)
async def test_low_priority_takes_free_slots_only(
    autojump_clock, others, quiet, served
):
    harness = make_harness(limit=8)
    if not quiet:
        await harness.ask("normal")
        harness.answer()
    target = harness.targets[0]
    target.learned.others = others
    now = Deadline(trio.current_time())
    report = LoadReport(others, 2, 0, now, ReportSource.ANSWER)
    harness.registry.note_report(target, report)
    with trio.move_on_after(0.001):
        await harness.ask("low", priority=Priority.LOW)
    assert ("low" in harness.served) is served


async def test_low_priority_sees_estimates_fade(autojump_clock):
    harness = make_harness(limit=8)
    now = Deadline(trio.current_time())
    report = LoadReport(2, 2, 0, now, ReportSource.ANSWER)
    harness.registry.note_report(harness.targets[0], report)
    await harness.ask("low", priority=Priority.LOW)
    assert harness.served == ["low"]
    assert 0 < trio.current_time() - now < 1


async def test_who_can_be_in_time_goes_before_who_can_not(autojump_clock):
    harness = make_harness(standing_queue_seconds=100)
    route = make_route(target_latency_seconds=0.4)
    harness.admission._service_queue(route.service).note_latency(0.2)
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, ["first", "late"], route=route)
        # Of the target latency of 0.4 s less than 0.15 s is left, which is
        # three quarters of the usual latency of 0.2 s.
        await trio.sleep(0.3)
        await fill(harness, nursery, ["in time", "next"], route=route)
        for _ in range(4):
            harness.answer(0.2)
            await trio.testing.wait_all_tasks_blocked()
    assert harness.served == ["first", "in time", "next", "late"]


@pytest.mark.parametrize(
    ("waited", "served_after"), [(0.0, 0.0), (0.3, LATE_YIELD_SECONDS)]
)
async def test_late_requests_leave_a_slot_to_other_hosts_first(
    autojump_clock, waited, served_after
):
    harness = make_harness()
    route = make_route(target_latency_seconds=0.4)
    harness.admission._service_queue(route.service).note_latency(0.2)
    # The hosts take turns at the target's free slots.
    harness.targets[0].free_slot_at = Deadline(0.001)
    await trio.sleep(1.0)
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, ["first", "second"], route=route)
        await trio.sleep(waited)
        freed_at = trio.current_time()
        harness.answer(0.2)
        while harness.served != ["first", "second"]:
            await trio.sleep(0.001)
        took = trio.current_time() - freed_at
        assert served_after <= took <= served_after + LATE_POLL_SECONDS
        harness.answer(0.2)


# Guards against waiting requests that take the processor from each other: each
# one that was late looked at all others, fifty times a second.
@pytest.mark.parametrize("priority", Priority)
@pytest.mark.parametrize("waiting", [2, 20, 200])
async def test_the_cost_of_waiting_does_not_grow_with_the_number_that_wait(
    autojump_clock, monkeypatch, waiting, priority
):
    looks = 0
    late_at = ServiceQueue.late_at

    def count(queue, wanted):
        nonlocal looks
        looks += 1
        return late_at(queue, wanted)

    monkeypatch.setattr(ServiceQueue, "late_at", count)
    harness = make_harness(max_queue=waiting)
    route = dataclasses.replace(make_route(), target_latency_seconds=0.001)
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, ["first"])
        names = [str(number) for number in range(waiting)]
        fields = {"route": route, "priority": priority}
        await fill(harness, nursery, names, **fields)
        await trio.sleep(0.1)
        looks = 0
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert looks <= 4 / LATE_POLL_SECONDS


# Guards against a role that ends with its holder: the others poll on.
async def test_a_waiter_that_polls_for_all_hands_this_over(autojump_clock):
    harness = make_harness(targets=2)
    [busy, free] = harness.targets
    route = dataclasses.replace(make_route(), target_latency_seconds=0.001)
    async with trio.open_nursery() as nursery:
        await fill(harness, nursery, ["first", "second"])
        await fill(harness, nursery, ["short"], route=route, seconds=0.5)
        await fill(harness, nursery, ["long", "longer"], route=route)
        await trio.sleep(1)
        assert set(harness.refused) == {"short"}
        # Not announced by an event.
        for target in (busy, free):
            target.in_flight = 0
        await trio.sleep(2 * LATE_POLL_SECONDS)
        assert set(harness.served[2:]) == {"long", "longer"}
        nursery.cancel_scope.cancel()


# Guards against requests that wait for their deadline in a queue of which it is
# known that their turn doesn't come before it.
@pytest.mark.parametrize(
    ("waiting", "work_seconds", "unservable"),
    [(100, 0.1, 40), (30, 0.1, 0), (100, 0.02, 0), (15, 0.1, 0)],
)
async def test_a_request_whose_turn_comes_too_late_is_refused_before(
    autojump_clock, waiting, work_seconds, unservable
):
    harness = make_harness()
    route = dataclasses.replace(make_route(), target_latency_seconds=0.01)
    early = 0

    async def work():
        while True:
            await trio.sleep(work_seconds)
            if harness.permits:
                harness.answer(work_seconds)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(work)
        names = [str(number) for number in range(waiting)]
        await fill(harness, nursery, names, route=route, seconds=2.0)
        await trio.sleep(0.8)
        early = len(harness.refused)
        await trio.sleep(2)
        nursery.cancel_scope.cancel()
    served = len(harness.served)
    assert early >= unservable
    assert unservable or not early
    # As many as there is time for, though the rest was refused before.
    assert served >= min(waiting, 1.9 / work_seconds - 1)


def make_waiter(name, caller, since):
    request = make_request(caller, 10.0, name)
    wanted = PermitRequest(make_route(), request, request.deadline)
    return Waiter(wanted, Deadline(since))


def came_from(since, waiter):
    return waiter.since >= since


# Guards against an order that depends on when waiters are found late.
@pytest.mark.parametrize("order", Order)
@pytest.mark.parametrize("seed", range(20))
async def test_late_waiters_go_last_and_in_order(order, seed):
    source = random.Random(seed)
    queue = FairQueue()
    left = []
    for number in range(60):
        waiter = make_waiter(str(number), source.choice("abc"), number)
        queue.add(waiter)
        left.append(waiter)
        late_before = source.randint(0, number + 1)
        if source.random() < 0.5:
            continue
        found = queue.peek(order, functools.partial(came_from, late_before))
        in_time = [w for w in queue.in_time if came_from(late_before, w)]
        assert (found in in_time) == bool(in_time)
        same = [w for w in left if w.turn_key == found.turn_key]
        if in_time:
            same = [w for w in same if w in queue.in_time]
        ends = (same[0], same[-1])
        assert found is ends[order is Order.NEWEST_FIRST]
        oldest = queue.oldest_of_longest(found.wanted.route.id)
        assert oldest.since == min(
            w.since for w in left if w.turn_key == oldest.turn_key
        )
        queue.pop(found)
        left.remove(found)
        assert queue.size == len(left) == len(queue.waiters())
