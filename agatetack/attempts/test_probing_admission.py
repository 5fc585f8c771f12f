"""Test that requests avoid targets that became bad since their last report.

Targets that share machines with others become slow within milliseconds, for
half a second at a time and a quarter of the time in all, while reports are some
70 ms old. Targets also crash or become unreachable between two reports.
"""

import pytest
import trio
from returns.result import Failure, Success

from agatetack.admission.controller import (
    AdmissionController,
    AttemptResult,
    Permit,
    PermitRequest,
)
from agatetack.attempts.probing_admission import (
    FRESH_REPORT_SECONDS,
    MAX_PROBES,
    ProbingAdmission,
)
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.outcomes import RefusalReason, refuse
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import (
    SERVICE,
    listed_target,
    make_request,
    make_route,
)

SLOTS = 3


def report(in_flight=0, slowness=1.0):
    now = Deadline(trio.current_time())
    return LoadReport(
        in_flight, SLOTS, 0, now, ReportSource.ANSWER, slowness=slowness
    )


class RecordingPermit(Permit):
    """A permit that records the result it was released with."""

    def __init__(self, target):
        self.target = target
        self.result = None

    def answered_headers(self, latency):
        raise NotImplementedError

    def release(self, result):
        self.result = result


RETRY_AT = Deadline(7.0)


class InOrderAdmission(AdmissionController):
    """Grants permits for the first target that is not to be avoided."""

    def __init__(self, targets):
        self.targets = targets
        self.granted = []
        self.repeats = False

    def retry_at(self, route):
        return RETRY_AT

    async def acquire(self, wanted):
        for target in self.targets:
            if target.id not in wanted.avoid:
                self.granted.append(RecordingPermit(target))
                return Success(self.granted[-1])
        if self.repeats:
            self.granted.append(RecordingPermit(self.targets[0]))
            return Success(self.granted[-1])
        return Failure(refuse(RefusalReason.NO_TARGET, "none is left"))


class ScriptedProbe:
    """Returns a scripted report for each target, in the targets' order."""

    def __init__(self, targets, reports):
        self.reports = dict(
            zip((target.id for target in targets), reports, strict=True)
        )
        self.calls = 0
        self.limit = 100

    def take(self, target):
        return self.calls < self.limit

    async def probe(self, target, deadline):
        self.calls += 1
        fields = self.reports[target.id]
        if fields is None:
            await trio.sleep_until(deadline)
            return None
        await trio.sleep(0.003)
        return report(*fields)


def make(reports):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(n + 1) for n in range(len(reports))])
    targets = registry.targets(SERVICE)
    inner = InOrderAdmission(targets)
    probe = ScriptedProbe(targets, reports)
    return targets, inner, ProbingAdmission(inner, probe, Metrics()), probe


def make_wanted(**fields):
    request = make_request()
    return PermitRequest(make_route(), request, request.deadline, **fields)


GOOD, SLOW, FULL, SILENT = (0, 1.0), (0, 7.0), (SLOTS, 1.0), None
CANCELLED, FAILED = AttemptResult.CANCELLED, AttemptResult.FAILED


@pytest.mark.parametrize(
    ("says", "results"),
    [
        ([GOOD, GOOD], [None]),
        ([SLOW, GOOD], [CANCELLED, None]),
        ([FULL, GOOD], [CANCELLED, None]),
        ([SILENT, GOOD], [FAILED, None]),
        ([SLOW, SILENT, FULL, GOOD], [CANCELLED, FAILED, CANCELLED, None]),
        # After the maximum number of probes any target is accepted.
        ([SLOW] * 5, [CANCELLED] * MAX_PROBES + [None]),
    ],
)
async def test_the_first_able_target_is_taken(autojump_clock, says, results):
    _, inner, probing, _ = make(says)
    permit = (await probing.acquire(make_wanted())).unwrap()
    assert [each.result for each in inner.granted] == results
    assert permit is inner.granted[-1]


async def test_looks_take_a_small_part_of_the_time_left(autojump_clock):
    _, _, probing, _ = make([SILENT] * 5)
    began = trio.current_time()
    request = make_request(seconds=0.5)
    wanted = PermitRequest(make_route(), request, request.deadline)
    await probing.acquire(wanted)
    assert trio.current_time() - began <= 0.5 * 0.1 * MAX_PROBES


async def test_a_fresh_report_needs_no_look(autojump_clock):
    targets, _, probing, probe = make([GOOD])
    targets[0].report = report()
    await probing.acquire(make_wanted())
    assert probe.calls == 0
    await trio.sleep(FRESH_REPORT_SECONDS)
    await probing.acquire(make_wanted())
    assert probe.calls == 1


async def test_without_another_target_the_request_is_refused_as_not_run(
    autojump_clock,
):
    _, inner, probing, _ = make([SILENT])
    result = await probing.acquire(make_wanted())
    assert isinstance(result, Failure)
    assert inner.granted[0].result is FAILED


async def test_a_caller_that_leaves_gives_its_place_back(autojump_clock):
    _, inner, probing, _ = make([SILENT])
    with trio.move_on_after(0.01):
        await probing.acquire(make_wanted())
    assert inner.granted[0].result is CANCELLED


async def test_the_only_target_gets_the_request_after_some_looks(
    autojump_clock,
):
    _, inner, probing, probe = make([SILENT])
    inner.repeats = True
    permit = (await probing.acquire(make_wanted())).unwrap()
    assert permit is inner.granted[-1]
    assert permit.result is None
    assert probe.calls == MAX_PROBES


async def test_without_a_look_left_the_choice_stands(autojump_clock):
    _, inner, probing, probe = make([SLOW, GOOD])
    probe.limit = 0
    permit = (await probing.acquire(make_wanted())).unwrap()
    assert permit is inner.granted[0]
    assert probe.calls == 0


@pytest.mark.parametrize(
    ("rate", "known_cold", "results"),
    [
        # It became cold without a report; the permit assumes a warm target.
        (5.6, False, [CANCELLED, None]),
        # This host may send to it while it is cold.
        (5.6, True, [None]),
        # Requests to it are not limited while it is cold.
        (0.0, False, [None]),
    ],
)
async def test_a_target_found_cold_is_passed_over(
    autojump_clock, rate, known_cold, results
):
    targets, inner, probing, probe = make([GOOD, GOOD])
    warm_at = Deadline(trio.current_time() + 3.0)
    inner_ask = probe.probe

    async def probe_cold(target, deadline):
        said = await inner_ask(target, deadline)
        if target is targets[0]:
            target.warmth.note(warm_at, Deadline(trio.current_time()))
        return said

    probe.probe = probe_cold
    for target in targets:
        target.warm_up_rate = rate
    if known_cold:
        targets[0].warmth.note(warm_at, Deadline(trio.current_time()))
    permit = (await probing.acquire(make_wanted())).unwrap()
    assert [each.result for each in inner.granted] == results
    assert permit is inner.granted[-1]
