"""Test limits, queues and refusals with faults in tables."""

import dataclasses

import pytest
import trio
import trio.testing
from returns.result import Success

from agatetack.admission.controller import (
    AttemptResult,
    PermitRequest,
    Priority,
)
from agatetack.admission.service import ServiceAdmission
from agatetack.balance.policies import make_policy
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import LeavingSign, TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import (
    SERVICE,
    listed_target,
    make_request,
    make_route,
)

ANSWERED = AttemptResult.ANSWERED


@dataclasses.dataclass
class Bed:
    """An admission with its registry, and what came of the requests."""

    registry: TargetRegistry
    admission: ServiceAdmission
    served: list[str] = dataclasses.field(default_factory=list)
    refused: dict[str, object] = dataclasses.field(default_factory=dict)
    permits: list = dataclasses.field(default_factory=list)

    @property
    def targets(self):
        """Return the usable targets."""
        return self.registry.targets(SERVICE)

    def in_flight(self):
        """Return the requests at all targets."""
        return sum(t.in_flight for t in self.registry.by_id.values())

    async def ask(self, name, caller="caller", seconds=10.0, **fields):
        """Ask for a permit and note what came of it."""
        request = make_request(caller, seconds, name)
        wanted = PermitRequest(
            fields.pop("route", make_route()),
            request,
            request.deadline,
            **fields,
        )
        result = await self.admission.acquire(wanted)
        if isinstance(result, Success):
            self.served.append(name)
            self.permits.append(result.unwrap())
        else:
            self.refused[name] = result.failure()

    def answer(self, latency=0.01):
        """Answer the oldest request that is out."""
        permit = self.permits.pop(0)
        permit.answered_headers(latency)
        permit.release(ANSWERED)


def make_bed(targets=1, limit=1, fleet=1, **admission):
    settings = default_settings(
        admission={"max_target_limit": limit, **admission}
    )
    registry = TargetRegistry(settings, Metrics())
    registry.update([listed_target(n + 1) for n in range(targets)])
    made = ServiceAdmission(
        settings,
        registry,
        make_policy(settings, 1),
        Metrics(),
        lambda: fleet,
    )
    return Bed(registry, made)


async def fill(bed, nursery, names, **fields):
    """Let requests come one after the other."""
    for name in names:
        nursery.start_soon(lambda name=name: bed.ask(name, **fields))
        await trio.testing.wait_all_tasks_blocked()


async def test_place_is_taken_and_given_back_once(autojump_clock):
    bed = make_bed()
    await bed.ask("a")
    permit = bed.permits[0]
    assert bed.in_flight() == 1
    permit.release(ANSWERED)
    permit.release(ANSWERED)
    assert bed.in_flight() == 0


@pytest.mark.parametrize(
    ("name", "prepare", "ask", "reason"),
    [
        (
            "deadline passed",
            lambda bed: None,
            {"seconds": 0.0},
            RefusalReason.CANNOT_MEET_DEADLINE,
        ),
        (
            "answers are slower than the time left",
            lambda bed: bed.admission._lane(SERVICE).note_latency(1.0),
            {"seconds": 0.3},
            RefusalReason.CANNOT_MEET_DEADLINE,
        ),
        (
            "every target is leaving",
            lambda bed: bed.registry.note_leaving(
                bed.targets[0], LeavingSign.ANSWER_HEADER
            ),
            {},
            RefusalReason.NO_TARGET,
        ),
        (
            "no such service",
            lambda bed: None,
            {"route": make_route(service="other")},
            RefusalReason.NO_TARGET,
        ),
        (
            "a hedge does not wait",
            lambda bed: setattr(bed.targets[0], "in_flight", 1),
            {"wait": False},
            RefusalReason.QUEUE_FULL,
        ),
        (
            "a hedge avoids its own target",
            lambda bed: None,
            {"wait": False, "avoid": frozenset({"10.0.0.1:80"})},
            RefusalReason.QUEUE_FULL,
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
async def test_refused_at_once(autojump_clock, name, prepare, ask, reason):
    bed = make_bed()
    prepare(bed)
    started = trio.current_time()
    before = bed.in_flight()
    await bed.ask("x", **ask)
    refusal = bed.refused["x"]
    assert refusal.reason is reason
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_at > trio.current_time()
    assert trio.current_time() == started
    assert bed.in_flight() == before


async def test_waits_for_a_place_in_order(autojump_clock):
    bed = make_bed()
    async with trio.open_nursery() as nursery:
        await fill(bed, nursery, "abc")
        assert bed.served == ["a"]
        for _ in range(3):
            await trio.testing.wait_all_tasks_blocked()
            bed.answer()
    assert bed.served == ["a", "b", "c"]
    assert bed.in_flight() == 0


async def test_newcomer_does_not_overtake(autojump_clock):
    bed = make_bed()
    async with trio.open_nursery() as nursery:
        await fill(bed, nursery, "ab")
        bed.targets[0].limit = 2
        await fill(bed, nursery, "c")
        assert bed.served == ["a", "b"]
        nursery.cancel_scope.cancel()


async def test_new_target_serves_the_queue(autojump_clock):
    bed = make_bed()
    async with trio.open_nursery() as nursery:
        await fill(bed, nursery, "ab")
        bed.registry.update([listed_target(1), listed_target(2)])
    assert bed.served == ["a", "b"]


async def test_gives_up_while_an_answer_is_still_possible(autojump_clock):
    bed = make_bed()
    bed.admission._lane(SERVICE).note_latency(0.4)
    await bed.ask("a")
    started = trio.current_time()
    await bed.ask("b", seconds=1.0)
    assert trio.current_time() - started == pytest.approx(0.8)
    assert bed.refused["b"].reason is RefusalReason.DEADLINE_EXCEEDED_IN_QUEUE
    assert not bed.admission.lanes[SERVICE].size


@pytest.mark.parametrize("priority", list(Priority))
async def test_cancelled_waiter_leaves_nothing_behind(autojump_clock, priority):
    bed = make_bed()
    await bed.ask("a")
    async with trio.open_nursery() as nursery:
        await fill(bed, nursery, "b", priority=priority)
        # The place comes in the same moment as the cancel.
        bed.answer()
        nursery.cancel_scope.cancel()
    held = len(bed.permits)
    assert bed.in_flight() == held
    assert not bed.admission.lanes[SERVICE].size


async def test_full_queue_refuses_and_tells_when_to_come_back(autojump_clock):
    bed = make_bed(max_queue=2)
    async with trio.open_nursery() as nursery:
        await fill(bed, nursery, "abcd")
        assert list(bed.refused) == ["d"]
        assert bed.refused["d"].reason is RefusalReason.QUEUE_FULL
        nursery.cancel_scope.cancel()


async def test_standing_queue_is_served_newest_first(autojump_clock):
    bed = make_bed(max_queue=2, standing_queue_seconds=0.1)
    async with trio.open_nursery() as nursery:
        await fill(bed, nursery, "abc")
        await trio.sleep(0.2)
        await fill(bed, nursery, "d")
        # The oldest makes room and learns it at once.
        assert list(bed.refused) == ["b"]
        bed.answer()
        await trio.testing.wait_all_tasks_blocked()
        assert bed.served == ["a", "d"]
        nursery.cancel_scope.cancel()


async def test_callers_and_routes_take_turns(autojump_clock):
    bed = make_bed()
    async with trio.open_nursery() as nursery:
        await fill(bed, nursery, ["first", "a1", "a2", "a3"], caller="busy")
        await fill(bed, nursery, ["b1"], caller="other")
        await fill(bed, nursery, ["r1", "r2"], route=make_route("second"))
        for _ in range(7):
            await trio.testing.wait_all_tasks_blocked()
            bed.answer()
    assert bed.served == ["first", "a1", "r1", "b1", "r2", "a2", "a3"]


async def test_low_priority_never_goes_first(autojump_clock):
    bed = make_bed()
    async with trio.open_nursery() as nursery:
        await fill(bed, nursery, ["a"])
        await fill(bed, nursery, ["low"], priority=Priority.LOW)
        await fill(bed, nursery, ["b", "c"])
        for _ in range(3):
            assert "low" not in bed.served
            bed.answer()
            await trio.testing.wait_all_tasks_blocked()
    assert bed.served == ["a", "b", "c", "low"]


@pytest.mark.parametrize(
    ("others", "quiet", "served"),
    [
        # With normal requests about, one slot is left for the next of them.
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
    bed = make_bed(limit=8)
    if not quiet:
        await bed.ask("normal")
        bed.answer()
    target = bed.targets[0]
    target.learned.others = others
    now = Deadline(trio.current_time())
    report = LoadReport(others, 2, 0, now, ReportSource.ANSWER)
    bed.registry.note_report(target, report)
    with trio.move_on_after(0.001):
        await bed.ask("low", priority=Priority.LOW)
    assert ("low" in bed.served) is served


async def test_low_priority_sees_estimates_fade(autojump_clock):
    bed = make_bed(limit=8)
    now = Deadline(trio.current_time())
    report = LoadReport(2, 2, 0, now, ReportSource.ANSWER)
    bed.registry.note_report(bed.targets[0], report)
    await bed.ask("low", priority=Priority.LOW)
    assert bed.served == ["low"]
    assert 0 < trio.current_time() - now < 1


@pytest.mark.parametrize(("fleet", "passed"), [(1, 10), (5, 2)])
async def test_rate_is_shared_over_the_fleet(autojump_clock, fleet, passed):
    bed = make_bed(limit=100, fleet=fleet)
    route = make_route(requests_per_second=20.0)
    for number in range(20):
        await bed.ask(f"r{number}", route=route)
    assert len(bed.served) == passed
    refusal = bed.refused["r19"]
    assert refusal.reason is RefusalReason.RATE_LIMITED
    await trio.sleep_until(refusal.retry_at)
    await bed.ask("again", route=route)
    assert bed.served[-1] == "again"


@pytest.mark.parametrize(
    ("results", "failures"),
    [
        # An answer that is cut takes back what its headers had undone.
        ([AttemptResult.FAILED, AttemptResult.FAILED], 2),
        ([AttemptResult.FAILED, ANSWERED, AttemptResult.FAILED], 1),
        ([AttemptResult.FAILED, AttemptResult.FAILED, ANSWERED], 0),
        ([AttemptResult.FAILED, AttemptResult.CANCELLED], 0),
    ],
)
async def test_cut_answers_count_as_failures(autojump_clock, results, failures):
    bed = make_bed()
    for result in results:
        await bed.ask("a")
        permit = bed.permits.pop()
        permit.answered_headers(0.01)
        assert bed.targets[0].failures == 0
        permit.release(result)
    assert bed.targets[0].failures == failures


async def test_limit_shrinks_by_sheds_and_grows_by_answers(autojump_clock):
    bed = make_bed(limit=8)
    target = bed.targets[0]
    for _ in range(5):
        await bed.ask("a")
        bed.permits.pop().release(AttemptResult.SHED)
        await trio.sleep(2)
    assert target.limit == 1
    for _ in range(200):
        await bed.ask("b")
        bed.answer()
    assert target.limit > 1


async def test_retry_may_return_to_the_only_target(autojump_clock):
    bed = make_bed()
    await bed.ask("a", avoid=frozenset({"10.0.0.1:80"}))
    assert bed.served == ["a"]


async def test_leaving_target_gets_nothing_under_load(autojump_clock):
    bed = make_bed(targets=2, limit=8)
    first, second = bed.targets
    for number in range(50):
        if number == 20:
            bed.registry.note_leaving(first, LeavingSign.ANSWER_HEADER)
            before = first.in_flight
        await bed.ask(f"r{number}")
        bed.answer()
    assert first.in_flight <= before
    assert second.last_chosen_at is not None
    assert [p.target for p in bed.permits] == []
