"""Check retries, hedges and claims against targets that fail by script."""

import dataclasses

import pytest
import trio
from returns.result import Failure, Success

from agatetack.admission.controller import (
    AdmissionController,
    AttemptResult,
    Permit,
)
from agatetack.attempts.budget import RatioBudget
from agatetack.attempts.once import OnceRunner
from agatetack.attempts.race import AttemptRunner
from agatetack.attempts.single import SingleAttempt
from agatetack.claims.store import Claim, ClaimStore
from agatetack.config.route import RequestClass, Route
from agatetack.ids import (
    CallerId,
    Deadline,
    FailureDomain,
    IdempotencyKey,
    RequestId,
    RouteId,
    ServiceId,
    TargetId,
    TeamId,
)
from agatetack.messages import Answer, AnswerCut, Body, BytesBody, CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, RefusalReason, RetryReason, refuse
from agatetack.quarantine.tracker import CrashTracker
from agatetack.settings.defaults import default_settings
from agatetack.targets.client import (
    AttemptFailed,
    AttemptFailure,
    Freshness,
    TargetClient,
)
from agatetack.targets.state import TargetState

SETTINGS = default_settings(
    attempts={"retry_burst": 5, "hedge_burst": 2, "max_attempts": 3}
)
ROUTE = Route(RouteId("r"), TeamId("t"), ServiceId("s"), RequestClass.FAST, "/")
REFUSED = refuse(RefusalReason.QUEUE_FULL, "full")


def failure(reason, outcome):
    return AttemptFailure(reason, outcome, target_suspect=True)


CONNECT = failure(RefusalReason.CONNECT_FAILED, Outcome.NOT_RUN)
SHED = failure(RefusalReason.SHED_BY_TARGET, Outcome.NOT_RUN)
LOST = failure(RefusalReason.CONNECTION_LOST, Outcome.UNKNOWN)
TIMEOUT = failure(RefusalReason.ANSWER_TIMEOUT, Outcome.UNKNOWN)
OK, SLOW, CUT, HANG = "ok", "slow", "cut", "hang"


class CutBody(Body):
    """A body that ends too early."""

    length = 9

    async def receive(self):
        await trio.lowlevel.checkpoint()
        raise AnswerCut("short")


class ScriptedClient(TargetClient):
    """Takes one step of a script for each call."""

    def __init__(self, script):
        self.script = list(script)
        self.attempts = []
        self.cancelled = 0

    async def call(self, attempt):
        self.attempts.append(attempt)
        step = self.script.pop(0) if self.script else OK
        try:
            await trio.sleep(0.01)
            if step is SLOW:
                await trio.sleep(1)
            if step is HANG:
                await trio.sleep_forever()
        except trio.Cancelled:
            self.cancelled += 1
            raise
        if isinstance(step, AttemptFailure):
            raise AttemptFailed(step)
        if step is CUT:
            return Answer(200, [], CutBody())
        text = f"answer {len(self.attempts)}".encode()
        return Answer(200, [], BytesBody(text))


class CountedPermit(Permit):
    """A permit that must be released exactly once."""

    def __init__(self, number):
        self.target = TargetState(
            TargetId(f"t{number}"),
            ServiceId("s"),
            "127.0.0.1",
            number,
            FailureDomain("d"),
        )
        self.results: list[AttemptResult] = []

    def answered_headers(self, latency):
        pass

    def release(self, result):
        self.results.append(result)


class OpenAdmission(AdmissionController):
    """Permits a number of attempts, then refuses."""

    def __init__(self, permits=100):
        self.permits = permits
        self.given: list[CountedPermit] = []
        self.wanted = []

    async def acquire(self, wanted):
        await trio.lowlevel.checkpoint()
        self.wanted.append(wanted)
        if len(self.given) >= self.permits:
            return Failure(REFUSED)
        self.given.append(CountedPermit(len(self.given)))
        return Success(self.given[-1])


class Crashes(CrashTracker):
    """Remembers what it was told; refuses after some crashes."""

    def __init__(self, most=100):
        self.most = most
        self.lost = []

    def check(self, route, request):
        if len(self.lost) < self.most:
            return None
        return refuse(RefusalReason.QUARANTINED, "held")

    def connection_lost(self, route, request, target):
        self.lost.append(target)

    def answered(self, route, request):
        pass


class Claims(ClaimStore):
    """Grants one claim for a key; releases as scripted."""

    def __init__(self, grant=True, releases=True):
        self.grant = grant
        self.releases = releases
        self.finished = []
        self.released = []

    async def claim(self, route, request, attempt):
        await trio.lowlevel.checkpoint()
        if not self.grant:
            return Failure(refuse(RefusalReason.KEY_IN_PROGRESS, "claimed"))
        return Success(Claim(route.id, request.key, attempt))

    async def finish(self, claim, status):
        self.finished.append(status)

    async def release(self, claim):
        self.released.append(claim)
        return self.releases


@dataclasses.dataclass
class Parts:
    """All fakes of one case."""

    client: ScriptedClient
    admission: OpenAdmission = dataclasses.field(default_factory=OpenAdmission)
    crashes: Crashes = dataclasses.field(default_factory=Crashes)
    claims: Claims = dataclasses.field(default_factory=Claims)
    metrics: Metrics = dataclasses.field(default_factory=Metrics)

    def single(self):
        return SingleAttempt(SETTINGS, self.client, self.crashes, self.metrics)

    def runner(self):
        return AttemptRunner(
            SETTINGS, self.admission, self.single(), self.metrics
        )

    def once(self):
        return OnceRunner(
            SETTINGS, self.claims, self.admission, self.single(), self.metrics
        )

    def check_permits(self):
        for permit in self.admission.given:
            assert len(permit.results) == 1

    def retries(self, reason):
        labels = {"route": ROUTE.id, "reason": reason.value}
        return self.metrics.retries.get(labels)


def make_request(body=None, seconds=5.0):
    now = trio.current_time()
    return CallerRequest(
        request_id=RequestId("r"),
        caller=CallerId("c"),
        method=b"GET",
        path=b"/x",
        host=b"a",
        headers=[],
        body=body or BytesBody(b"body"),
        deadline=Deadline(now + seconds),
        key=IdempotencyKey("k"),
        arrived=Deadline(now),
    )


@pytest.mark.parametrize(
    ("script", "calls", "reason", "outcome"),
    [
        ([OK], 1, None, None),
        ([CONNECT, OK], 2, None, None),
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
    parts = Parts(ScriptedClient([LOST] * 9), crashes=Crashes(most=2))
    result = await parts.runner().run(ROUTE, make_request(), hedged=True)
    assert len(parts.client.attempts) == 2
    assert result.failure().outcome is Outcome.UNKNOWN


async def test_a_half_sent_stream_is_not_sent_again(autojump_clock):
    class Stream(Body):
        async def receive(self):
            return b""

    parts = Parts(ScriptedClient([LOST, OK]))
    request = make_request(body=Stream())
    result = await parts.runner().run(ROUTE, request, hedged=True)
    assert result.failure().reason is RefusalReason.CONNECTION_LOST


async def test_retries_stay_within_their_budget(autojump_clock):
    parts = Parts(ScriptedClient([SHED] * 10_000))
    runner = parts.runner()
    for _ in range(1000):
        await runner.run(ROUTE, make_request(), hedged=True)
    assert len(parts.client.attempts) <= 1000 * 1.05 + 5


async def run_hedged(parts, requests=1):
    """Run requests whose answers count as late after 20 ms."""
    runner = parts.runner()
    for _ in range(200):
        runner._learn(ROUTE.id, 0.02)
    runner.late_after[ROUTE.id].add = lambda seconds: None
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


async def test_hedges_stay_within_their_budget(autojump_clock):
    parts = Parts(ScriptedClient([SLOW] * 10_000))
    await run_hedged(parts, requests=200)
    assert len(parts.client.attempts) <= 200 * 1.02 + 2


async def test_no_hedge_waits_for_a_target(autojump_clock):
    parts = Parts(ScriptedClient([SLOW]), admission=OpenAdmission(permits=1))
    result = await run_hedged(parts)
    assert isinstance(result, Success)
    # A hedge and, later on, a stalled answer's attempt ask; neither waits.
    assert [w.wait for w in parts.admission.wanted] == [True, False, False]


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
        runner._learn(ROUTE.id, 0.02)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.hedger.run)
        result = await runner.run(ROUTE, make_request(), hedged=hedged)
        nursery.cancel_scope.cancel()
    assert result.unwrap().body.content == b"answer 2"
    assert parts.client.attempts[1].freshness is Freshness.NEW
    assert parts.retries(RetryReason.STALLED) == 1
    parts.check_permits()


async def test_a_gone_caller_leaves_nothing_behind(autojump_clock):
    parts = Parts(ScriptedClient([HANG, HANG]))
    with trio.move_on_after(1):
        await run_hedged(parts)
    assert parts.client.cancelled == 2
    parts.check_permits()


@pytest.mark.parametrize(
    ("script", "calls", "reason", "outcome", "finished", "released"),
    [
        ([OK], 1, None, None, [200], 0),
        ([CONNECT, OK], 2, None, None, [200], 0),
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


def test_a_budget_is_full_at_first_and_bounded():
    budget = RatioBudget(0.1, 2)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(1000):
        budget.earn()
    assert [budget.spend() for _ in range(3)] == [True, True, False]
