"""Test the choice of targets by their load from all hosts."""

import random

import pytest

from agatetack.balance.fleet_view import (
    MAX_WAITING,
    FleetView,
)
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource, TargetStatus
from agatetack.testing.targets import SERVICE, listed_target

SETTINGS = default_settings(host={"failure_domain": "domain-a"})
NOW = Deadline(100.0)


def make_targets(count=3, domains=("domain-a",)):
    registry = TargetRegistry(SETTINGS, Metrics())
    registry.update(
        [
            listed_target(n, domain=domains[n % len(domains)])
            for n in range(1, count + 1)
        ]
    )
    targets = list(registry.targets(SERVICE))
    for target in targets:
        target.status = TargetStatus.READY
        target.learned.service_seconds = 0.1
        target.idle_connections = 1
    return targets


def report(target, in_flight=0, slowness=1.0, age=0.1):
    target.report = LoadReport(
        in_flight=in_flight,
        slots=2,
        own_in_flight=target.in_flight,
        peer_in_flight=target.peer_in_flight,
        at=Deadline(NOW - age),
        source=ReportSource.PROBE,
        slowness=slowness,
    )


def choose(targets, times=50):
    policy = FleetView(SETTINGS, random.Random(1))
    chosen = [policy.choose(targets, NOW) for _ in range(times)]
    return {None if target is None else target.id for target in chosen}


def ids(targets):
    return {target.id for target in targets}


def make_first_worse(kind, target):
    if kind == "own":
        target.in_flight = 2
    elif kind == "told":
        target.peer_in_flight = 2
    elif kind == "unseen":
        report(target, in_flight=2, age=0.0)
    elif kind == "slow":
        report(target, slowness=5.0)
    elif kind == "no connection":
        target.idle_connections = 0
    elif kind == "shed":
        target.learned.shed_until = NOW + 1
    elif kind == "failing":
        target.failures = 2
        target.learned.trial_at = NOW + 1
    elif kind == "last slot":
        target.peer_in_flight = 1


@pytest.mark.parametrize(
    "kind",
    [
        "own",
        "told",
        "unseen",
        "slow",
        "no connection",
        "shed",
        "failing",
        "last slot",
    ],
)
async def test_a_target_that_is_worse_is_passed_over(autojump_clock, kind):
    targets = make_targets()
    for target in targets:
        report(target)
    make_first_worse(kind, targets[0])
    assert choose(targets) == ids(targets[1:])


async def test_an_old_report_says_nothing_of_slowness(autojump_clock):
    targets = make_targets()
    for target in targets:
        report(target, slowness=5.0, age=60.0)
    assert choose(targets) == ids(targets)


@pytest.mark.parametrize(
    ("answer_bytes", "near_slowness", "stays"),
    [(90_000.0, 1.5, True), (400.0, 1.5, False), (90_000.0, 5.0, False)],
)
async def test_large_answers_stay_in_the_failure_domain(
    autojump_clock, answer_bytes, near_slowness, stays
):
    targets = make_targets(4, ("domain-a", "domain-b"))
    for target in targets:
        target.answer_bytes = answer_bytes
        near = target.failure_domain == "domain-a"
        report(target, slowness=near_slowness if near else 1.0)
    chosen = choose(targets)
    chosen = {t.failure_domain for t in targets if t.id in chosen}
    assert chosen == {"domain-a" if stays else "domain-b"}


@pytest.mark.parametrize("waiting", [MAX_WAITING - 1, MAX_WAITING])
async def test_nothing_is_sent_to_targets_that_are_full(
    autojump_clock, waiting
):
    targets = make_targets()
    for target in targets:
        target.peer_in_flight = target.slots + waiting
    full = waiting >= MAX_WAITING
    assert (choose(targets) == {None}) is full


@pytest.mark.parametrize(
    ("slowness", "chosen"),
    [
        pytest.param(5.0, {None}, id="waits for a fast one"),
        pytest.param(1.2, "free", id="goes to the free one"),
    ],
)
async def test_a_slow_target_is_no_better_than_a_wait(
    autojump_clock, slowness, chosen
):
    targets = make_targets()
    for target in targets:
        report(target)
    for target in targets[1:]:
        target.peer_in_flight = target.slots
    report(targets[0], slowness=slowness)
    wanted = {targets[0].id} if chosen == "free" else chosen
    assert choose(targets) == wanted


@pytest.mark.parametrize(("after", "waits"), [(0.0, False), (0.01, True)])
async def test_a_slot_is_taken_in_turn(autojump_clock, after, waits):
    targets = make_targets()
    for target in targets:
        target.free_slot_at = Deadline(NOW + after)
    assert (choose(targets) == {None}) is waits


async def test_second_attempts_go_to_free_slots_only(autojump_clock):
    policy = FleetView(SETTINGS, random.Random(1))
    targets = make_targets(4)
    for target in targets:
        report(target)
    targets[0].peer_in_flight = 2
    report(targets[1], slowness=4.0)
    targets[2].in_flight = 1
    assert policy.hedge_candidates(targets, NOW) == targets[2:]


@pytest.mark.parametrize("end", ["shed", "failed"])
async def test_a_target_that_fails_some_is_left_for_a_while(
    autojump_clock, end
):
    policy = FleetView(SETTINGS, random.Random(1))
    targets = make_targets()
    for target in targets:
        report(target, age=-1e9)

    def chosen(now):
        return {policy.choose(targets, Deadline(now)).id for _ in range(50)}

    getattr(policy, end)(targets[0], NOW)
    policy.answered(targets[0], 0.1, 0.0, NOW)
    assert chosen(NOW + 0.1) == ids(targets[1:])
    # It gets requests again after some time without further failures.
    assert chosen(NOW + 30) == ids(targets)


async def test_a_host_that_knows_nothing_spreads_its_requests(autojump_clock):
    targets = make_targets(6, ("domain-a", "domain-b", "domain-c"))
    for target in targets:
        target.learned.service_seconds = None
        target.idle_connections = 0
    assert choose(targets) == ids(targets)


@pytest.mark.parametrize(
    ("own_load", "spills"),
    [
        pytest.param(0, False, id="the group's targets are free"),
        pytest.param(1, True, id="one slot of each is left"),
        pytest.param(2, True, id="the group's targets are full"),
    ],
)
async def test_targets_of_other_groups_take_what_the_own_group_has_no_room_for(
    autojump_clock, own_load, spills
):
    # The scenario: 312 hosts each send 1.5 requests per second to 109 targets
    # of two slots, 5 of which they share with 16 other hosts. As connections to
    # few targets stay open, hosts prefer the targets of their group, but do not
    # wait for them.
    targets = make_targets(15)
    own, others = targets[:5], targets[5:]
    for target in own:
        target.peer_in_flight = own_load
    for target in others:
        target.all_peers_report = False
    chosen = choose(targets, times=200)
    assert (chosen <= ids(own)) is not spills
    assert bool(chosen & ids(others)) is spills
