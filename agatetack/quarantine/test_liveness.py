"""Test which reports show that a target survived a lost connection."""

import pytest
import trio

from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.quarantine.liveness import ReportLivenessCheck
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import listed_target, started_target


@pytest.mark.parametrize(
    ("report_after", "listed", "stayed_up"),
    [
        (0.5, True, True),
        (1.4, True, True),
        # The report may have been sent before the target crashed.
        (0.05, True, False),
        (-1.0, True, False),
        (None, True, False),
        (0.5, False, False),
    ],
)
async def test_a_later_report_shows_it(
    autojump_clock, report_after, listed, stayed_up
):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(1)])
    target = next(iter(registry.by_id.values()))
    await trio.sleep(10)
    lost_at = Deadline(trio.current_time())
    if report_after is not None:
        at = Deadline(lost_at + report_after)
        report = LoadReport(0, 2, 0, at, ReportSource.PROBE)
        registry.note_report(target, report)
    if not listed:
        registry.update([])
    check = ReportLivenessCheck(registry)
    until = Deadline(lost_at + 1.5)
    assert await check.stayed_up(target.id, lost_at, until) is stayed_up
    assert trio.current_time() == until


# Guards against requests being refused by all hosts for crashes of targets that
# a host only could not reach.
@pytest.mark.parametrize(
    ("targets", "lost", "stayed_up"),
    [(5, 5, True), (5, 4, False), (3, 3, False), (4, 4, True)],
)
async def test_a_host_that_reaches_no_target_sees_no_crash(
    autojump_clock, targets, lost, stayed_up
):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(n + 1) for n in range(targets)])
    known = list(registry.by_id.values())
    for target in known[:lost]:
        registry.paths.note_refused(target)
    check = ReportLivenessCheck(registry)
    until = Deadline(trio.current_time() + 1.5)
    found = await check.stayed_up(known[0].process, until, until)
    assert found is stayed_up


async def test_a_process_that_was_started_again_did_not_stay_up(
    autojump_clock,
):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([started_target(1, 1000)])
    before = next(iter(registry.by_id.values()))
    lost_at = Deadline(trio.current_time())
    registry.update([started_target(1, 2000)])
    after = next(iter(registry.by_id.values()))
    report = LoadReport(0, 2, 0, Deadline(lost_at + 1), ReportSource.PROBE)
    registry.note_report(after, report)
    check = ReportLivenessCheck(registry)
    until = Deadline(lost_at + 1.5)
    assert not await check.stayed_up(before.process, lost_at, until)
    assert await check.stayed_up(after.process, lost_at, until)
