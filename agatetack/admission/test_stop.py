"""Test what becomes of requests that wait for a target as their host stops."""

import math

import pytest
import trio
import trio.testing

from agatetack.admission.service_queue import SAFE_LATENCY_RATIO
from agatetack.admission.test_support import fill, make_harness
from agatetack.ids import Deadline
from agatetack.outcomes import Outcome, RefusalReason

LEFT_SECONDS = 5.0
"""Time from the stop to the last answer."""

LATENCY = 0.4


def queue_of(harness):
    (queue,) = harness.admission.service_queues.values()
    return queue


async def wait_in_queue(nursery, harness, count):
    """Have `count` requests wait for the one slot of the one target."""
    await fill(harness, nursery, ["first"])
    for number in range(count):
        nursery.start_soon(harness.ask, f"w{number}")
        await trio.testing.wait_all_tasks_blocked()


def stop(harness):
    until = Deadline(trio.current_time() + LEFT_SECONDS)
    harness.admission.serving_end.begin(until)
    return until


# Guards against requests that still wait when their host's process ends, and
# against refusals of all that wait only at the end.
@pytest.mark.parametrize("waiting", [1, 5, 9, 20])
@pytest.mark.parametrize("served_each", [LATENCY, 2.0, math.inf])
async def test_waiting_requests_are_served_or_refused_before_the_end(
    autojump_clock, waiting, served_each
):
    harness = make_harness(max_queue=100)
    async with trio.open_nursery() as nursery:
        await wait_in_queue(nursery, harness, waiting)
        queue = queue_of(harness)
        queue.mean_latency = LATENCY
        queue.mean_interval = LATENCY
        stopped_at = trio.current_time()
        until = stop(harness)
        await trio.testing.wait_all_tasks_blocked()
        last_send = LEFT_SECONDS - SAFE_LATENCY_RATIO * LATENCY
        room = math.floor(last_send / LATENCY)
        assert len(harness.refused) == max(0, waiting - room)
        while harness.permits and trio.current_time() < until - 0.001:
            with trio.move_on_at(until - 0.001):
                await trio.sleep(served_each)
                harness.answer(LATENCY)
                await trio.testing.wait_all_tasks_blocked()
        assert not queue.size
        for refusal in harness.refused.values():
            assert refusal.reason is RefusalReason.SHUTTING_DOWN
            assert refusal.outcome is Outcome.NOT_RUN
            # Another host takes it at once.
            assert refusal.retry_at <= trio.current_time()
        names = [*harness.served, *harness.refused]
        assert len(set(names)) == len(names) == waiting + 1
        assert trio.current_time() < stopped_at + LEFT_SECONDS
        nursery.cancel_scope.cancel()


# Guards against requests that are sent so late that the end cuts them.
@pytest.mark.parametrize(
    ("after", "served"),
    [
        (0.0, True),
        (LEFT_SECONDS - SAFE_LATENCY_RATIO * LATENCY - 0.01, True),
        (LEFT_SECONDS - SAFE_LATENCY_RATIO * LATENCY + 0.01, False),
        (LEFT_SECONDS + 1.0, False),
    ],
)
async def test_nothing_is_sent_that_will_not_end(autojump_clock, after, served):
    harness = make_harness()
    await harness.ask("first")
    harness.answer()
    queue_of(harness).mean_latency = LATENCY
    stop(harness)
    await trio.sleep(after)
    await harness.ask("late", seconds=20.0)
    assert ("late" in harness.served) is served
    assert ("late" in harness.refused) is not served


# Guards against a request that is refused although it has a target.
async def test_a_request_gets_a_target_or_a_refusal_in_the_same_moment(
    autojump_clock,
):
    harness = make_harness()
    async with trio.open_nursery() as nursery:
        await wait_in_queue(nursery, harness, 2)
        queue = queue_of(harness)
        queue.mean_latency = queue.mean_interval = 4.0
        harness.answer()
        stop(harness)
        await trio.testing.wait_all_tasks_blocked()
        assert sorted([*harness.served, *harness.refused])[-2:] == ["w0", "w1"]
        assert "w0" in harness.served
        assert harness.in_flight() == len(harness.permits)
        nursery.cancel_scope.cancel()


# Guards against hosts that refuse requests without being about to stop.
async def test_a_host_that_does_not_stop_lets_requests_wait(autojump_clock):
    harness = make_harness()
    async with trio.open_nursery() as nursery:
        await wait_in_queue(nursery, harness, 3)
        await trio.sleep(LEFT_SECONDS)
        assert not harness.refused
        assert queue_of(harness).size == 3
        nursery.cancel_scope.cancel()
