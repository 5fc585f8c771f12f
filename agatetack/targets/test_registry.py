"""Test which targets may get new work after signs that they are leaving."""

import dataclasses

import pytest
import trio

from agatetack.hosts.host_list import HostState
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import (
    LeavingSign,
    ReportedState,
    TargetRegistry,
)
from agatetack.targets.state import TargetStatus
from agatetack.testing.store_fleet import template_settings
from agatetack.testing.targets import (
    SERVICE,
    listed_target,
    started_target,
)

HOLD = default_settings().balance.leaving_hold_seconds
LIVE = HostState.LIVE
LEAVING = HostState.LEAVING
READY = ReportedState.READY
COLD = ReportedState.COLD
REFUSED = LeavingSign.CONNECT_REFUSED
HEADER = LeavingSign.ANSWER_HEADER


@dataclasses.dataclass
class Listed:
    """A host list with the target in `state`, or without it if None."""

    state: HostState | None


def apply(registry, step, told=False):
    target = next(iter(registry.by_id.values()), None)
    if isinstance(step, Listed):
        listed = [] if step.state is None else [listed_target(1, step.state)]
        registry.update(listed)
    elif isinstance(step, LeavingSign) and told:
        registry.note_peer_sign(target, step)
    elif isinstance(step, LeavingSign):
        registry.note_leaving(target, step)
    elif isinstance(step, ReportedState):
        registry.note_probe(target, step)


# Signs reported by a peer must have the same effect as signs seen here.
@pytest.mark.parametrize("told", [False, True])
@pytest.mark.parametrize(
    ("steps", "usable"),
    [
        ([], True),
        ([HEADER], False),
        ([REFUSED], False),
        ([LeavingSign.PEER], False),
        ([Listed(LEAVING)], False),
        ([ReportedState.DRAINING], False),
        ([Listed(None)], False),
        # "Live" in the host list, which may be outdated, is not enough.
        ([HEADER, Listed(LIVE)], False),
        ([HEADER, HOLD + 1, Listed(LIVE)], False),
        # "Ready" from the load endpoint, which may be wrong, is not enough.
        ([HEADER, READY], False),
        ([HEADER, HOLD + 1, READY], False),
        # Both together are not enough if there was no restart.
        ([HEADER, HOLD + 1, Listed(LIVE), READY], False),
        ([HEADER, 31 * HOLD, Listed(LIVE), READY], True),
        # A refused connection or a cold state shows a restart.
        ([HEADER, REFUSED, HOLD + 1, Listed(LIVE), READY], True),
        ([HEADER, HOLD + 1, Listed(LIVE), COLD], True),
        ([HEADER, HOLD - 1, Listed(LIVE), COLD], False),
        ([HEADER, Listed(None), Listed(LIVE)], False),
        ([HEADER, Listed(None), HOLD + 1, Listed(LIVE), READY], True),
        # Only new evidence of both kinds revokes a refused connection.
        ([REFUSED, HOLD + 1, READY], False),
        ([REFUSED, HOLD + 1, Listed(LIVE), READY], True),
        ([REFUSED, HOLD - 1, Listed(LIVE), READY], False),
        ([REFUSED, HOLD - 1, REFUSED, 2, Listed(LIVE), READY], False),
        # The platform revokes its own listing as leaving.
        ([Listed(LEAVING), HOLD + 1, Listed(LIVE), READY], True),
        ([Listed(LEAVING), HOLD + 1, Listed(LEAVING), READY], False),
        # The strongest sign counts, regardless of the order.
        ([HEADER, Listed(LEAVING), HOLD + 1, Listed(LIVE), READY], False),
        ([Listed(LEAVING), HEADER, HOLD + 1, Listed(LIVE), READY], False),
        ([REFUSED, HEADER, HOLD + 1, Listed(LIVE), READY], False),
        # Each listing as leaving restarts the hold, also after another
        # sign.
        (
            [HEADER, REFUSED, HOLD, Listed(LEAVING), HOLD, Listed(LEAVING)]
            + [HOLD - 1, Listed(LIVE), READY],
            False,
        ),
        # The hold doubles after each return.
        (
            [REFUSED, HOLD + 1, Listed(LIVE), READY, REFUSED]
            + [HOLD + 1, Listed(LIVE), READY],
            False,
        ),
    ],
)
async def test_signs_and_evidence(autojump_clock, steps, usable, told):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(1)])
    for step in steps:
        if isinstance(step, int | float):
            await trio.sleep(step)
        else:
            apply(registry, step, told)
    assert bool(registry.targets(SERVICE)) is usable


async def test_returned_target_is_cold(autojump_clock):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(1)])
    target = registry.targets(SERVICE)[0]
    target.status = TargetStatus.READY
    apply(registry, REFUSED)
    await trio.sleep(HOLD + 1)
    apply(registry, Listed(LIVE))
    apply(registry, READY)
    assert target.status is TargetStatus.COLD


async def test_listed_leave_is_told_once(autojump_clock):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(1)])
    reported = []
    registry.leaving_watchers.append(lambda _, sign: reported.append(sign))
    for step in [HEADER, Listed(LEAVING), Listed(LEAVING), Listed(LEAVING)]:
        apply(registry, step)
    assert reported == [HEADER, LeavingSign.HOST_LIST]


async def test_a_leaving_target_that_is_gone_is_not_asked(autojump_clock):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([listed_target(1), listed_target(2)])
    one = registry.by_id[listed_target(1).id]
    registry.note_leaving(one, REFUSED)
    registry.update([listed_target(2)])
    await trio.sleep(HOLD + 1)
    assert list(registry.leaving_targets()) == []
    # The record of an unlisted target is dropped once its hold is over.
    assert one.id not in registry.leaving


@pytest.mark.parametrize("gone_between", [False, True])
@pytest.mark.parametrize(
    "sign", [HEADER, REFUSED, LeavingSign.OTHER_INSTANCE, LeavingSign.HEALTH]
)
async def test_a_new_start_knows_nothing_of_before(
    autojump_clock, sign, gone_between
):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([started_target(1, 1000)])
    before = registry.targets(SERVICE)[0]
    before.in_flight = 2
    before.peer_in_flight = 3
    before.failures = 5
    registry.note_leaving(before, sign)
    registry.set_drained(before.id, drained=not gone_between)
    assert not registry.targets(SERVICE)
    if gone_between:
        registry.update([])
    registry.update([started_target(1, 2000)])
    after = registry.targets(SERVICE)[0]
    assert after is not before
    assert after.id == before.id
    assert after.process != before.process
    assert (after.in_flight, after.peer_in_flight) == (0, 0)
    assert after.failures == 0
    # Signs about the earlier incarnation do not affect the new one.
    assert registry.by_process.get(before.process) is None
    registry.note_leaving(before, sign)
    assert registry.targets(SERVICE) == (after,)
    assert registry.may_be_probed(after)


async def test_an_older_start_changes_nothing(autojump_clock):
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update([started_target(1, 2000)])
    target = registry.targets(SERVICE)[0]
    registry.update([started_target(1, 1000)])
    assert registry.targets(SERVICE) == (target,)
    assert target.incarnation == 2000


@pytest.mark.parametrize(
    ("steps", "usable"),
    [
        (["a"], ["10.0.0.2:80"]),
        (["a", "ab"], []),
        (["ab", "b"], ["10.0.0.1:80"]),
        (["a", ""], ["10.0.0.1:80", "10.0.0.2:80"]),
        (["a", "", "a"], ["10.0.0.2:80"]),
        (["c"], ["10.0.0.1:80", "10.0.0.2:80"]),
    ],
)
@pytest.mark.parametrize("listed_first", [True, False])
async def test_targets_of_evacuated_domains_get_nothing(
    autojump_clock, steps, usable, listed_first
):
    registry = TargetRegistry(default_settings(), Metrics())
    listed = [listed_target(1, domain="a"), listed_target(2, domain="b")]
    if listed_first:
        registry.update(listed)
    for domains in steps:
        registry.set_evacuated(frozenset(domains))
    registry.update(listed)
    found = [target.id for target in registry.targets(SERVICE)]
    assert sorted(found) == usable
    # Targets that get no work are not probed either.
    probed = [
        t.id for t in registry.by_id.values() if registry.may_be_probed(t)
    ]
    assert sorted(probed) == usable


# Guards against: a target that had announced that it was leaving got work again
# because the host list showed it as live again.
@pytest.mark.parametrize(
    ("steps", "usable"),
    [
        ([HEADER, 31 * HOLD, Listed(LIVE), READY], False),
        ([HEADER, Listed(None), HOLD + 1, Listed(LIVE), READY], False),
        ([HEADER, Listed(None), 31 * HOLD, Listed(LIVE), READY], False),
        ([HEADER, REFUSED, HOLD + 1, Listed(LIVE), READY], False),
        ([ReportedState.DRAINING, 31 * HOLD, Listed(LIVE), READY], False),
        # Signs that do not come from the target itself can be revoked.
        ([REFUSED, HOLD + 1, Listed(LIVE), READY], True),
        ([Listed(LEAVING), HOLD + 1, Listed(LIVE), READY], True),
    ],
)
async def test_its_own_word_is_final_for_an_id_of_one_start(
    autojump_clock, steps, usable
):
    registry = TargetRegistry(template_settings(1), Metrics())
    registry.update([listed_target(1)])
    for step in steps:
        if isinstance(step, int | float):
            await trio.sleep(step)
        else:
            apply(registry, step)
    assert bool(registry.targets(SERVICE)) is usable


async def test_peers_are_told_once_of_a_target_that_says_it_leaves(
    autojump_clock,
):
    registry = TargetRegistry(template_settings(1), Metrics())
    registry.update([listed_target(1)])
    reported = []
    registry.leaving_watchers.append(lambda _, sign: reported.append(sign))
    for _ in range(3):
        apply(registry, HEADER)
    assert reported == [HEADER]


async def test_a_later_start_under_its_id_gets_work(autojump_clock):
    registry = TargetRegistry(template_settings(1), Metrics())
    registry.update([started_target(1, 1000)])
    apply(registry, HEADER)
    registry.update([started_target(1, 2000)])
    assert registry.targets(SERVICE)


async def test_the_first_that_left_are_forgotten_first(
    autojump_clock, monkeypatch
):
    monkeypatch.setattr("agatetack.targets.departures.MAX_RECORDS", 2)
    registry = TargetRegistry(template_settings(1), Metrics())
    registry.update([listed_target(number) for number in (1, 2, 3)])
    for target in list(registry.by_id.values()):
        registry.note_leaving(target, HEADER)
    assert list(registry.leaving) == [
        listed_target(number).id for number in (2, 3)
    ]
