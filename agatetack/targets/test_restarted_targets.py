"""Test that a target which restarts under its id starts anew."""

import pytest
import trio

from agatetack.hosts.host_list import HostState
from agatetack.ids import Deadline, HostId
from agatetack.messages import Header
from agatetack.metrics import Metrics
from agatetack.targets.drains import TargetDrains
from agatetack.targets.load import ParsedLoad, ReportedState
from agatetack.targets.rate_limits import SendKind
from agatetack.targets.registry import LeavingSign, TargetRegistry
from agatetack.targets.state import ReportSource
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.store_fleet import template_settings
from agatetack.testing.targets import SERVICE, started_target
from agatetack.testing.virtual_clock import VirtualClock

OLD, NEW, LATER = 1000, 2000, 3000
RATE_HEADER = b"server-limit"


def count_own(registry, target):
    target.in_flight += 2
    registry.note_in_flight(target)


def count_peers(registry, target):
    target.peer_in_flight += 3
    target.free_slot_at = Deadline(trio.current_time() + 9)


def report_load(source):
    def step(registry, target):
        load = ParsedLoad(5, 9, slowness=2.5)
        registry.note_load(target, load, source)

    return step


def report_warmth(registry, target):
    now = Deadline(trio.current_time())
    registry.note_warmth(target, Deadline(now + 60), now)


def push_back(registry, target):
    headers = [Header(b"retry-after", b"60")]
    registry.pushbacks.note_answer(target, 503, headers, ReportSource.ANSWER)


def limit_rate(registry, target):
    now = Deadline(trio.current_time())
    headers = [Header(RATE_HEADER, b"3")]
    registry.rate_limits.note_answer(target, headers, now)


def peers_limit_rate(registry, target):
    now = Deadline(trio.current_time())
    registry.rate_limits.note_peer_rate(target, 4.0, now)


def sign(kind):
    def step(registry, target):
        registry.note_leaving(target, kind)

    return step


def peers_sign(kind):
    def step(registry, target):
        registry.note_peer_sign(target, kind)

    return step


def probe(state):
    def step(registry, target):
        registry.note_probe(target, state)

    return step


def fall_silent(registry, target):
    for _ in range(5):
        registry.paths.note_silence(target)


def be_heard_elsewhere(registry, target):
    fall_silent(registry, target)
    at = Deadline(trio.current_time() + 1)
    registry.paths.note_heard_elsewhere(target, at)


def refuse_connection(registry, target):
    registry.paths.note_refused(target)


def connect(registry, target):
    registry.paths.note_connected(target)


def learn(registry, target):
    target.failures = 4
    target.latency = 0.5
    target.recent.append(0.5)
    target.limit = 1
    target.learned.service_seconds = 0.7
    target.learned.slow = True
    target.learned.shed_count = 3
    target.learned.trial_count = 2
    target.learned.failure_rate = 1.0
    target.learned.note_peer_measurement(0.8, trio.current_time())
    registry.note_slowness(target)


def send(registry, target):
    registry.note_sent(target, SendKind.REQUEST)


STEPS = {
    "own-requests": count_own,
    "peers-requests": count_peers,
    "report-in-answer": report_load(ReportSource.ANSWER),
    "report-in-probe": report_load(ReportSource.PROBE),
    "report-of-peer": report_load(ReportSource.PEER),
    "warmth": report_warmth,
    "pushback": push_back,
    "rate-limit": limit_rate,
    "peers-rate-limit": peers_limit_rate,
    "probe-draining": probe(ReportedState.DRAINING),
    "probe-ready": probe(ReportedState.READY),
    "probe-cold": probe(ReportedState.COLD),
    "silence": fall_silent,
    "silence-here-only": be_heard_elsewhere,
    "refused-here": refuse_connection,
    "connected": connect,
    "learned": learn,
    "sent": send,
    **{f"sign-{kind.value}": sign(kind) for kind in LeavingSign},
    **{f"peers-sign-{kind.value}": peers_sign(kind) for kind in LeavingSign},
}


def make_registry():
    return TargetRegistry(template_settings(1), Metrics())


def list_target(registry, born, **fields):
    registry.update([started_target(1, born, **fields)])
    return next(iter(registry.by_id.values()))


def exported_rate(registry, target):
    limits = registry.rate_limits
    if target.id not in limits.exported_targets:
        return 0.0
    return limits.rates.get({"target": target.id})


def known_of(registry, target):
    """Return all that is kept for a target, to be compared."""
    record = registry.departures.get(target.id)
    return (
        target,
        [each.process for each in registry.targets(SERVICE)],
        registry.paths.is_lost(target),
        target.process in registry.paths.silences,
        registry.pushbacks.until.get(target.process),
        None if record is None else (record.sign, record.hold_until),
        registry.drained.get(target.id),
        registry.may_be_probed(target),
        exported_rate(registry, target),
        registry.count_unreachable(SERVICE),
    )


# Guards against what is kept by id rather than by process, and against late
# answers, probes and reports of the earlier process.
@pytest.mark.parametrize("gone_between", [False, True])
@pytest.mark.parametrize("late", [False, True], ids=["before", "late"])
@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS.keys())
async def test_nothing_of_the_earlier_process_is_known_of_the_new(
    autojump_clock, step, late, gone_between
):
    registry, control = make_registry(), make_registry()
    before = list_target(registry, OLD)
    step(registry, before)
    if gone_between:
        registry.update([])
    if late:
        step(registry, before)
    after = list_target(registry, NEW)
    if late:
        step(registry, before)
    assert after is not before
    wanted = known_of(control, list_target(control, NEW))
    assert known_of(registry, after) == wanted


@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS.keys())
async def test_what_is_known_of_the_new_survives_the_old(autojump_clock, step):
    """Guards against a late probe of the old process that ends a sign."""
    registry, control = make_registry(), make_registry()
    before = list_target(registry, OLD)
    after = list_target(registry, NEW)
    only = list_target(control, NEW)
    for each, target in ((registry, after), (control, only)):
        each.note_leaving(target, LeavingSign.CONNECT_REFUSED)
        limit_rate(each, target)
        push_back(each, target)
    step(registry, before)
    assert known_of(registry, after) == known_of(control, only)


async def test_returns_of_the_old_do_not_lengthen_holds_of_the_new(
    autojump_clock,
):
    """Guards against a new process that stays away for as long as a bad old."""
    registry, control = make_registry(), make_registry()
    before = list_target(registry, OLD)
    refused = LeavingSign.CONNECT_REFUSED
    for _ in range(3):
        registry.note_leaving(before, refused)
        await trio.sleep(60)
        list_target(registry, OLD)
        registry.note_probe(before, ReportedState.READY)
    assert not registry.leaving
    for each in (registry, control):
        target = list_target(each, NEW)
        each.note_leaving(target, refused)
    held = registry.leaving[target.id].hold_until
    assert held == control.leaving[target.id].hold_until


@pytest.mark.parametrize(
    "fields", [{}, {"state": HostState.LEAVING}], ids=["live", "leaving"]
)
async def test_an_older_entry_changes_nothing(autojump_clock, fields):
    """Guards against an entry that comes late and stops the new process."""
    registry, control = make_registry(), make_registry()
    list_target(registry, NEW)
    after = list_target(registry, OLD, **fields)
    assert known_of(registry, after) == known_of(
        control, list_target(control, NEW)
    )


@pytest.mark.parametrize(
    ("born", "drained"), [(OLD, True), (NEW, False), (LATER, False)]
)
@pytest.mark.parametrize("known_before", [True, False])
@pytest.mark.parametrize("gone_between", [True, False])
async def test_an_operators_mark_is_for_the_process_that_ran_then(
    autojump_clock, born, drained, known_before, gone_between
):
    """Guards against hosts that differ on whether a new process is drained."""
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        clock = VirtualClock()
        # It was set between the starts of the old process and the new one.
        wall_ms = int(clock.wall() * 1000)
        births = {OLD: wall_ms - 5, NEW: wall_ms + 5, LATER: wall_ms + 9}
        registries = [make_registry(), make_registry()]
        drains = [
            TargetDrains(each, mesh.join(HostId(name)), Metrics(), clock)
            for each, name in zip(registries, ("a", "b"), strict=True)
        ]
        old = list_target(registries[0], births[OLD])
        if known_before:
            list_target(registries[1], births[OLD])
        drains[0].set(old.id, drained=True)
        await trio.sleep(0.01)
        for registry in registries:
            if gone_between:
                registry.update([])
            list_target(registry, births[born])
            assert bool(registry.targets(SERVICE)) is not drained
        nursery.cancel_scope.cancel()


async def test_a_mark_holds_for_a_target_whose_clock_is_ahead(autojump_clock):
    """Guards against a drain that has no effect, as clocks differ."""
    async with trio.open_nursery() as nursery:
        clock = VirtualClock()
        registry = make_registry()
        exchange = MemoryMesh(nursery).join(HostId("a"))
        drains = TargetDrains(registry, exchange, Metrics(), clock)
        ahead = int(clock.wall() * 1000) + 5000
        target = list_target(registry, ahead)
        drains.set(target.id, drained=True)
        assert not registry.targets(SERVICE)
        nursery.cancel_scope.cancel()
