"""Fakes of the target client, admission, crash tracker and claim store."""

import dataclasses

import trio
from returns.result import Failure, Success

from agatetack.admission.controller import (
    AdmissionController,
    AttemptResult,
    Permit,
)
from agatetack.admission.service import ServiceAdmission
from agatetack.attempts.once import OnceRunner
from agatetack.attempts.race import AttemptRunner
from agatetack.attempts.single import SingleAttempt
from agatetack.balance.policies import make_policy
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
from agatetack.outcomes import Outcome, RefusalReason, refuse
from agatetack.platform.load_header import CommaSeparatedLoadReader
from agatetack.quarantine.tracker import CrashTracker
from agatetack.settings.defaults import default_settings
from agatetack.targets.client import (
    AttemptFailed,
    AttemptFailure,
    TargetClient,
)
from agatetack.targets.http_client import HttpTargetClient
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetState
from agatetack.testing.store_fleet import template_settings

SETTINGS = default_settings(
    attempts={"retry_burst": 5, "hedge_burst": 2, "max_attempts": 3}
)
ROUTE = Route(RouteId("r"), TeamId("t"), ServiceId("s"), RequestClass.FAST, "/")
REFUSED = refuse(RefusalReason.QUEUE_FULL, "full")


def failure(reason, outcome):
    return AttemptFailure(reason, outcome, target_suspect=True)


CONNECT = failure(RefusalReason.CONNECT_FAILED, Outcome.NOT_RUN)
UNWILLING = failure(RefusalReason.TARGET_UNWILLING, Outcome.NOT_RUN)
SHED = failure(RefusalReason.SHED_BY_TARGET, Outcome.NOT_RUN)
LOST = failure(RefusalReason.CONNECTION_LOST, Outcome.UNKNOWN)
TIMEOUT = failure(RefusalReason.ANSWER_TIMEOUT, Outcome.UNKNOWN)
OK, SLOW, CUT, HANG = "ok", "slow", "cut", "hang"
BUG, LATE_SHED, HUNG_BODY = "bug", "late-shed", "hung-body"


class CutBody(Body):
    """A truncated body."""

    length = 9

    async def receive(self):
        await trio.lowlevel.checkpoint()
        raise AnswerCut("short")


class HungBody(Body):
    """A body whose content never arrives."""

    length = 9

    async def receive(self):
        await trio.sleep_forever()


class ScriptedClient(TargetClient):
    """Performs one step of a script for each call."""

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
        if step is BUG:
            raise ValueError("a bug")
        if step is LATE_SHED:
            await trio.sleep(1)
            raise AttemptFailed(SHED)
        if step is HUNG_BODY:
            return Answer(200, [], HungBody())
        if step is CUT:
            return Answer(200, [], CutBody())
        text = f"answer {len(self.attempts)}".encode()
        status = step if isinstance(step, int) else 200
        return Answer(status, [], BytesBody(text))


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
        self.latencies: list[float] = []

    def answered_headers(self, latency):
        self.latencies.append(latency)

    def release(self, result):
        self.results.append(result)


RETRY_AT = Deadline(7.0)


class OpenAdmission(AdmissionController):
    """Grants a number of permits, then refuses."""

    def __init__(self, permits=100):
        self.permits = permits
        self.given: list[CountedPermit] = []
        self.wanted = []

    def retry_at(self, route):
        return RETRY_AT

    async def acquire(self, wanted):
        await trio.lowlevel.checkpoint()
        self.wanted.append(wanted)
        if len(self.given) >= self.permits:
            return Failure(REFUSED)
        self.given.append(CountedPermit(len(self.given)))
        return Success(self.given[-1])


class Crashes(CrashTracker):
    """Records lost connections and refuses after a number of them."""

    def __init__(self, limit=100):
        self.limit = limit
        self.lost = []

    def check(self, route, request):
        if len(self.lost) < self.limit:
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
    """All fakes of one test case."""

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


class Crew:
    """A host's attempts at some targets over connections, without its rest.

    Attributes:
        targets: Stand-ins of the targets.
    """

    def __init__(self, targets, listed):
        """Send to `targets`, whose entries are `listed`."""
        self.settings = template_settings(1)
        self.metrics = Metrics()
        self.targets = targets
        self.registry = TargetRegistry(self.settings, self.metrics)
        self.registry.update(listed)
        reader = CommaSeparatedLoadReader(self.settings)
        self.client = HttpTargetClient(self.settings, self.registry, reader)
        self.admission = ServiceAdmission(
            self.settings,
            self.registry,
            make_policy(self.settings, 1),
            self.metrics,
        )
        self.crashes = Crashes()
        self.single = SingleAttempt(
            self.settings, self.client, self.crashes, self.metrics
        )
