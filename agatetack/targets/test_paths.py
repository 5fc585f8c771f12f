"""Test when a path to a target counts as lost, and as back."""

import pytest
import trio

from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import LeavingSign, TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource, TargetStatus
from agatetack.testing.targets import SERVICE, listed_target


def make_registry(count):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(n + 1) for n in range(count)])
    return registry, registry.targets(SERVICE)


def report_from_peer(registry, target):
    now = Deadline(trio.current_time())
    report = LoadReport(0, 2, 0, now, ReportSource.PEER)
    registry.note_report(target, report)


# Guards against a silent cut being found by one time-out after the other, and
# against slow targets, or a busy host, being taken for one.
@pytest.mark.parametrize(
    ("silent", "heard", "doubted"),
    [
        ([0, 1, 2], None, [0, 1, 2]),
        ([0, 1], None, []),
        ([0, 0], None, [0]),
        ([0, 1, 2], 3, []),
        ([0, 1, 1], 3, [1]),
        ([0, 0], 0, []),
    ],
)
@pytest.mark.parametrize("reported", [True, False])
async def test_silence_is_a_lost_path_only_if_another_host_hears_the_target(
    autojump_clock, silent, heard, doubted, reported
):
    registry, targets = make_registry(4)
    asked = []
    registry.paths.doubt_watchers.append(asked.extend)
    await trio.sleep(1)
    for number in silent:
        await trio.sleep(0.01)
        registry.paths.note_silence(targets[number])
        if heard is not None:
            await trio.sleep(0.01)
            registry.paths.note_heard(targets[heard])
    assert [targets.index(target) for target in asked] == doubted
    assert not registry.paths.lost
    await trio.sleep(0.2)
    for target in targets if reported else ():
        report_from_peer(registry, target)
    found = [n for n, t in enumerate(targets) if registry.paths.is_lost(t)]
    assert found == (doubted if reported else [])
    assert len(registry.targets(SERVICE)) == 4 - len(found)


@pytest.mark.parametrize(("after", "lost"), [(0.01, True), (0.0, False)])
async def test_a_report_has_to_be_younger_than_the_silence(
    autojump_clock, after, lost
):
    registry, (target, *_) = make_registry(4)
    await trio.sleep(1)
    registry.paths.note_silence(target)
    registry.paths.note_silence(target)
    await trio.sleep(after)
    report_from_peer(registry, target)
    assert registry.paths.is_lost(target) is lost


# Guards against a lost path being held, ever longer, like a target that leaves.
@pytest.mark.parametrize(
    ("sign", "status"),
    [
        (LeavingSign.CONNECT_REFUSED, TargetStatus.READY),
        (LeavingSign.HEALTH, TargetStatus.LEAVING),
        (LeavingSign.HOST_LIST, TargetStatus.LEAVING),
    ],
)
async def test_a_target_that_lives_elsewhere_is_not_leaving(
    autojump_clock, sign, status
):
    registry, (target, *_) = make_registry(2)
    registry.note_leaving(target, LeavingSign.CONNECT_REFUSED)
    registry.note_leaving(target, sign)
    await trio.sleep(0.2)
    report_from_peer(registry, target)
    assert target.status is status
    assert target not in registry.targets(SERVICE)
    assert registry.count_unreachable(SERVICE) == 1
    registry.paths.note_heard(target)
    assert target not in registry.targets(SERVICE)
    registry.paths.note_connected(target)
    is_usable = status is TargetStatus.READY
    assert (target in registry.targets(SERVICE)) is is_usable
    assert not registry.departures.returns.get(target.id)


async def test_a_refusal_is_told_once_while_the_path_is_lost(autojump_clock):
    registry, (target, *_) = make_registry(2)
    told = []
    registry.leaving_watchers.append(lambda *each: told.append(each))
    for _ in range(3):
        registry.note_leaving(target, LeavingSign.CONNECT_REFUSED)
    assert told == [(target, LeavingSign.CONNECT_REFUSED)]


# Guards against looks at targets that are gone, without end.
async def test_a_target_that_is_gone_has_no_path(autojump_clock):
    registry, (target, other) = make_registry(2)
    registry.paths.note_silence(target)
    registry.note_leaving(other, LeavingSign.CONNECT_REFUSED)
    registry.update([])
    assert not registry.paths.lost
    assert not registry.paths.silences
    # Attempts that began before fail afterwards.
    registry.paths.note_silence(target)
    registry.note_leaving(target, LeavingSign.CONNECT_REFUSED)
    assert not registry.paths.lost
    assert not registry.paths.silences


# Guards against a target that answered late being left for longer than that.
@pytest.mark.parametrize(("silent", "seconds"), [(True, 0.0), (False, 0.5)])
async def test_a_silent_target_is_looked_at_at_once(
    autojump_clock, silent, seconds
):
    registry, (target, *_) = make_registry(4)
    await trio.sleep(1)
    if silent:
        registry.paths.note_silence(target)
        registry.paths.note_silence(target)
        await trio.sleep(0.01)
        report_from_peer(registry, target)
    else:
        registry.note_leaving(target, LeavingSign.CONNECT_REFUSED)
    (path,) = registry.paths.lost.values()
    assert path.look_at == trio.current_time() + seconds
