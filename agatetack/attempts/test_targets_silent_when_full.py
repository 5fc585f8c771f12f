"""Test requests to targets that never answer what they can't queue."""

import contextlib
import dataclasses

import pytest
import trio
from returns.result import Failure, Success

from agatetack.admission.controller import AttemptResult, PermitRequest
from agatetack.admission.service import ServiceAdmission
from agatetack.attempts.once import OnceRunner
from agatetack.attempts.probing_admission import ProbingAdmission
from agatetack.attempts.race import AttemptRunner
from agatetack.attempts.test_support import Claims, Crew
from agatetack.balance.policies import make_policy
from agatetack.callers.problem import refusal_answer
from agatetack.config.route import RequestClass
from agatetack.messages import BytesBody, Header, read_whole
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.peers.exchange import NoExchange
from agatetack.platform.load_header import CommaSeparatedLoadReader
from agatetack.settings.model import PolicyName
from agatetack.targets.load import ParsedLoad
from agatetack.targets.presend_probe import PreSendProber
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import ReportSource
from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.store_fleet import template_settings
from agatetack.testing.targets import (
    SERVICE,
    loopback_target,
    make_request,
    make_route,
)

SLOTS, QUEUE = 2, 3
BUSY_SECONDS = 3.0
"""How long a full target stays full; longer than any request here lives."""


class SilentCrew(Crew):
    """Attempts at targets that are silent while they are full."""

    def __init__(self, targets):
        super().__init__(targets, [_listed(each) for each in targets])
        self.claims = Claims()

    async def run(self, once, seconds, admission=None):
        """Run one request, and read its answer."""
        admission = admission or self.admission
        request = make_request(seconds=seconds)
        request.method = b"POST"
        request.body = BytesBody(b"x")
        request.headers = [Header(b"request-id", b"r")]
        if once:
            runner = OnceRunner(
                self.settings, self.claims, admission, self.single, Metrics()
            )
            route = make_route(request_class=RequestClass.ONCE)
            result = await runner.run(route, request)
        else:
            runner = AttemptRunner(
                self.settings, admission, self.single, Metrics()
            )
            result = await runner.run(make_route(), request, hedged=False)
        if isinstance(result, Success):
            await read_whole(result.unwrap().body)
        return result

    def check_no_blame(self):
        """Check that nothing says that a target crashed or can't be reached."""
        assert not self.crashes.lost
        assert not self.registry.paths.lost
        assert not self.registry.paths.silences
        assert not self.registry.leaving
        assert len(self.registry.targets(SERVICE)) == len(self.targets)


def _listed(target):
    return loopback_target(target.instance, target.port, SLOTS)


@contextlib.asynccontextmanager
async def crew(count=1):
    async with trio.open_nursery() as nursery:
        targets = []
        for number in range(count):
            target = FakeTarget(
                template_settings(1), FakeTargetOptions(SLOTS, seed=number)
            )
            target.instance = f"t{number}"
            target.faults.silent_above = SLOTS + QUEUE
            await nursery.start(target.serve)
            targets.append(target)
        made = SilentCrew(targets)
        made.nursery = nursery
        yield made
        nursery.cancel_scope.cancel()


async def fill(made, target):
    """Fill the slots and the queue of a target by others' requests."""
    scopes = [trio.CancelScope() for _ in range(SLOTS + QUEUE)]

    async def occupy(scope):
        with scope:
            await target.occupy(BUSY_SECONDS)

    for scope in scopes:
        made.nursery.start_soon(occupy, scope)
    await trio.sleep(0.02)
    return scopes


@pytest.mark.parametrize("once", [True, False], ids=["once", "repeatable"])
async def test_silence_is_an_unknown_outcome_and_no_fault_of_its_paths(once):
    """Guards against a refusal that says not run, and against false blame."""
    async with crew() as made:
        (target,) = made.targets
        assert isinstance(await made.run(once, 1.0), Success)
        await fill(made, target)
        result = await made.run(once, 0.4)
        refusal = result.failure()
        assert refusal.reason is RefusalReason.ANSWER_TIMEOUT
        assert refusal.outcome is Outcome.UNKNOWN
        callers = made.settings.callers
        assert refusal_answer(refusal, "r", callers).status == 504
        assert target.unanswered == 1
        assert len(target.executed) == 1
        assert not made.claims.released
        made.check_no_blame()


@pytest.mark.parametrize("ending", ["deadline", "cancelled"])
async def test_a_connection_with_an_unanswered_request_is_not_used_again(
    ending,
):
    """Guards against a second request that is lost on a silent connection."""
    async with crew() as made:
        (target,) = made.targets
        assert isinstance(await made.run(True, 1.0), Success)
        assert target.accepted == 1
        others = await fill(made, target)
        if ending == "deadline":
            assert isinstance(await made.run(False, 0.4), Failure)
        else:
            with trio.move_on_after(0.1):
                await made.run(False, 1.0)
        for other in others:
            other.cancel()
        await trio.sleep(0.05)
        for once in (True, False):
            assert isinstance(await made.run(once, 1.0), Success)
        assert target.accepted == 2
        assert target.unanswered == 1
        made.check_no_blame()


async def test_a_late_answer_is_not_taken_for_another_requests():
    """Guards against the pool keeping a connection that may yet answer."""
    async with crew() as made:
        (target,) = made.targets
        target.faults.silent_above = None
        target.faults.answer_delay_seconds = 0.3
        assert isinstance(await made.run(False, 0.1), Failure)
        pools = made.client.pools.pools.values()
        assert [each.open_count for each in pools] == [0]
        target.faults.answer_delay_seconds = 0.0
        await trio.sleep(0.4)
        assert isinstance(await made.run(True, 1.0), Success)
        assert target.accepted == 2


async def test_others_than_the_full_one_get_a_never_repeated_request():
    """Guards against a request that is lost though another target had room."""
    async with crew(2) as made:
        full, other = made.targets
        await fill(made, full)
        prober = PreSendProber(
            made.settings,
            made.registry,
            made.client.pools,
            CommaSeparatedLoadReader(made.settings),
            NoExchange(),
            made.metrics,
            {SERVICE: "/load"},
        )
        admission = ProbingAdmission(made.admission, prober, made.metrics)
        for _ in range(8):
            result = await made.run(True, 1.0, admission)
            assert isinstance(result, Success)
        assert full.unanswered == 0
        assert len(other.executed) == 8
        made.check_no_blame()


@dataclasses.dataclass(frozen=True)
class Load:
    """What is known of a target: own, peers' and reported requests."""

    own: int = 0
    peers: int = 0
    reported: int | None = None
    counted: int = 0
    age: float = 0.0


MAX_QUEUED = template_settings(1).targets.max_queued
ROOM = SLOTS + MAX_QUEUED


# Guards against a never-repeated request at a target that is known to be full,
# also where the choice by estimates would allow it.
@pytest.mark.parametrize(
    ("load", "once", "granted"),
    [
        (Load(), True, True),
        (Load(own=ROOM - 1), True, True),
        (Load(own=ROOM), True, False),
        (Load(own=ROOM), False, True),
        (Load(peers=ROOM), True, False),
        (Load(own=2, peers=ROOM - 2), True, False),
        (Load(reported=ROOM - 1), True, True),
        (Load(reported=ROOM), True, False),
        (Load(reported=ROOM), False, True),
        # Of these, the hosts' own counts know already.
        (Load(peers=2, reported=ROOM - 1, counted=2), True, True),
        (Load(peers=2, reported=ROOM, counted=2), True, False),
        (Load(own=3, reported=ROOM - 3), True, False),
        # A report that is too old says nothing more.
        (Load(reported=ROOM, age=0.4), True, False),
        (Load(reported=ROOM, age=0.6), True, True),
    ],
)
async def test_a_full_target_gets_no_never_repeated_request(
    autojump_clock, load, once, granted
):
    settings = template_settings(1)
    # The default policy chooses among all targets below their limit.
    settings = settings.copy_with(
        {
            "balance": settings.balance.copy_with(
                {"policy": PolicyName.LEAST_IN_FLIGHT}
            ),
            "admission": settings.admission.copy_with({"max_target_limit": 99}),
        }
    )
    registry = TargetRegistry(settings, Metrics())
    target = FakeTarget(settings)
    registry.update([_listed(target)])
    (state,) = registry.by_id.values()
    state.peer_in_flight = load.counted
    if load.reported is not None:
        registry.note_load(
            state, ParsedLoad(load.reported, SLOTS), ReportSource.PROBE
        )
    state.in_flight, state.peer_in_flight = load.own, load.peers
    await trio.sleep(load.age)
    admission = ServiceAdmission(
        settings, registry, make_policy(settings, 1), Metrics()
    )
    request_class = RequestClass.ONCE if once else RequestClass.FAST
    request = make_request(seconds=0.05)
    result = await admission.acquire(
        PermitRequest(
            make_route(request_class=request_class), request, request.deadline
        )
    )
    assert isinstance(result, Success) is granted
    if granted:
        result.unwrap().release(AttemptResult.CANCELLED)
    else:
        assert result.failure().outcome is Outcome.NOT_RUN
    assert state.in_flight == load.own


async def test_a_request_goes_once_the_report_is_too_old(autojump_clock):
    """Guards against a request that waits for a report that never comes."""
    settings = template_settings(1)
    registry = TargetRegistry(settings, Metrics())
    registry.update([_listed(FakeTarget(settings))])
    (state,) = registry.by_id.values()
    registry.note_load(state, ParsedLoad(ROOM, SLOTS), ReportSource.PROBE)
    admission = ServiceAdmission(
        settings, registry, make_policy(settings, 1), Metrics()
    )
    request = make_request(seconds=5.0)
    began = trio.current_time()
    result = await admission.acquire(
        PermitRequest(
            make_route(request_class=RequestClass.ONCE),
            request,
            request.deadline,
        )
    )
    assert isinstance(result, Success)
    assert trio.current_time() - began < 1.0
