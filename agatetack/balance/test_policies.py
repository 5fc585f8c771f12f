"""Test how targets are chosen."""

import collections
import random

import pytest
import trio

from agatetack.balance.expected_wait import ExpectedWait, expected_wait
from agatetack.balance.policies import make_policy
from agatetack.ids import Deadline
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import PolicyName
from agatetack.targets.state import (
    LoadReport,
    ReportSource,
    TargetState,
    TargetStatus,
)
from agatetack.testing.targets import listed_target

SERVICE_SECONDS = 0.010


def make_target(number, **fields):
    host = listed_target(number)
    target = TargetState(
        id=host.id,
        service=host.service,
        ip=host.ip,
        port=host.port,
        failure_domain=fields.pop("domain", host.failure_domain),
        status=TargetStatus.READY,
    )
    target.learned.service_seconds = fields.pop("service", SERVICE_SECONDS)
    target.learned.others = fields.pop("others", 0.5)
    report = fields.pop("report", None)
    if report is not None:
        target.report = LoadReport(
            report, 2, 0, Deadline(fields.pop("at", 0.0)), ReportSource.ANSWER
        )
    for name, value in fields.items():
        setattr(target, name, value)
    return target


def make_expected_wait():
    settings = default_settings()
    return ExpectedWait(settings, random.Random(1))


def shares(policy, targets, now=0.0, count=400):
    """Return the share of choices that each target gets."""
    chosen = collections.Counter(
        policy.choose(targets, Deadline(now)).id for _ in range(count)
    )
    return [chosen[target.id] / count for target in targets]


@pytest.mark.parametrize("name", list(PolicyName))
async def test_every_policy_chooses_a_candidate(name):
    policy = make_policy(default_settings(balance={"policy": name}), 1)
    targets = [make_target(n) for n in range(1, 4)]
    assert policy.choose(targets[:1], Deadline(0.0)) is targets[0]
    assert sum(shares(policy, targets)) == 1


@pytest.mark.parametrize(
    ("name", "first", "second", "now", "expected"),
    [
        ("own in flight", {"in_flight": 2}, {}, 0.0, (0.0, 0.0)),
        ("fresh report of a queue", {"report": 6}, {}, 0.0, (0.0, 0.0)),
        ("old report counts no more", {"report": 6}, {}, 2.0, (0.3, 0.7)),
        ("a free slot is known", {"report": 0}, {"report": 1}, 0.0, (1, 1)),
        (
            "a used report of a free slot",
            {"report": 0, "others": 2.0, "report_uses": 4},
            {"others": 2.0},
            0.0,
            (0.3, 0.7),
        ),
        # A free slot that was reported a while ago has been taken by others.
        (
            "a free slot long ago",
            {"report": 0, "others": 2.0},
            {"others": 2.0},
            0.1,
            (0.3, 0.7),
        ),
        ("ten times slower", {"service": 0.1}, {}, 0.0, (0.0, 0.0)),
        ("a little slower is luck", {"service": 0.015}, {}, 0.0, (0.3, 0.7)),
        ("another domain", {"domain": "domain-b"}, {}, 0.0, (0.0, 0.0)),
        (
            "another domain, but no queue",
            {"domain": "domain-b"},
            {"report": 2},
            0.0,
            (1.0, 1.0),
        ),
        ("attempts fail", {"failures": 2}, {}, 0.0, (0.0, 0.0)),
    ],
)
async def test_expected_wait(name, first, second, now, expected):
    targets = [
        make_target(1, **first),
        make_target(2, **second),
        make_target(3, in_flight=3),
    ]
    for target in targets:
        target.learned.trial_at = 100.0
    share = shares(make_expected_wait(), targets, now)[0]
    assert expected[0] <= share <= expected[1]


async def test_request_out_for_long_shows_a_slow_target():
    policy = make_expected_wait()
    stuck, other = make_target(1, in_flight=1), make_target(2, in_flight=1)
    stuck.learned.sent[1] = 0.0
    other.learned.sent[2] = 0.99
    assert shares(policy, [stuck, other], 1.0) == [0, 1]


async def test_slow_target_is_left_within_few_answers():
    policy = make_expected_wait()
    targets = [make_target(n) for n in range(1, 5)]
    policy.choose(targets, Deadline(0.0))
    for _ in range(4):
        policy.answered(targets[0], 10 * SERVICE_SECONDS, 0, Deadline(0.0))
    assert shares(policy, targets)[0] == 0


async def test_slow_target_is_tried_at_a_bounded_rate():
    policy = make_expected_wait()
    targets = [make_target(n) for n in range(1, 5)]
    targets[0].learned.service_seconds = 10 * SERVICE_SECONDS
    trials = 0
    for step in range(20_000):
        now = Deadline(step / 1000)
        target = policy.choose(targets, now)
        if target is targets[0]:
            trials += 1
            policy.answered(target, 10 * SERVICE_SECONDS, 0, now)
    assert 2 <= trials <= 20


async def test_recovered_target_gets_its_share_back():
    policy = make_expected_wait()
    targets = [make_target(n) for n in range(1, 5)]
    targets[0].learned.service_seconds = 10 * SERVICE_SECONDS
    for step in range(20_000):
        now = Deadline(step / 1000)
        target = policy.choose(targets, now)
        policy.answered(target, SERVICE_SECONDS, 0, now)
    assert 0.15 < shares(policy, targets, 20.0)[0] < 0.35


@pytest.mark.parametrize(
    ("ratios", "share"),
    [
        # A few slow answers at one host don't make others avoid a target.
        ([10], 0.25),
        ([10, 1, 10, 1], 0.25),
        ([10, 10, 10], 0.0),
        ([10, 10, 10, 1, 1, 1, 1, 1], 0.25),
    ],
)
async def test_service_times_measured_by_peers(ratios, share):
    policy = make_expected_wait()
    targets = [make_target(n) for n in range(1, 5)]
    now = Deadline(0.0)
    for step, ratio in enumerate(ratios):
        now = Deadline(step / 1000)
        targets[0].learned.note_peer_measurement(ratio * SERVICE_SECONDS, now)
        policy.choose(targets, now)
    assert shares(policy, targets, now)[0] == pytest.approx(share, abs=0.1)


async def test_an_own_answer_overrides_older_peer_measurements():
    policy = make_expected_wait()
    targets = [make_target(n) for n in range(1, 5)]
    targets[0].last_answer_at = Deadline(1.0)
    for step in range(5):
        targets[0].learned.note_peer_measurement(
            10 * SERVICE_SECONDS, step / 1000
        )
    assert shares(policy, targets, 1.0)[0] > 0.1


async def test_cold_target_is_ramped():
    policy = make_expected_wait()
    cold_seconds = default_settings().balance.cold_seconds
    cold = make_target(1, status=TargetStatus.COLD, service=None)
    targets = [cold, make_target(2)]
    early = shares(policy, targets, 0.1 * cold_seconds)[0]
    late = shares(policy, targets, 0.9 * cold_seconds)[0]
    assert 0 < early < 0.15 < 0.35 < late < 0.6


async def test_lying_target_does_not_draw_everything():
    policy = make_expected_wait()
    targets = [make_target(n, report=2) for n in range(1, 5)]
    wrong_target = targets[0]
    for step in range(200):
        now = Deadline(step / 1000)
        for target in targets:
            seen = 0 if target is wrong_target else 2
            target.report = LoadReport(seen, 2, 0, now, ReportSource.ANSWER)
        policy.choose(targets, now)
        policy.answered(wrong_target, 4 * SERVICE_SECONDS, 0, now)
    assert shares(policy, targets, 0.2)[0] < 0.25


async def test_contradicted_reports_give_way_to_the_usual_load():
    policy = make_expected_wait()
    targets = [make_target(n, others=2.0) for n in range(1, 5)]
    wrong_target = targets[0]
    for step in range(20):
        now = Deadline(step / 10)
        wrong_target.report = LoadReport(0, 2, 0, now, ReportSource.ANSWER)
        policy.choose(targets, now)
        assert step or policy.expected_others(wrong_target, now) == 0
        policy.answered(wrong_target, 4 * SERVICE_SECONDS, 0, now)
    assert policy.expected_others(wrong_target, now) > 1.5


async def test_shed_pauses_a_target_longer_each_time():
    policy = make_expected_wait()
    target = make_target(1)
    pauses = []
    now = 0.0
    for _ in range(8):
        policy.shed(target, Deadline(now))
        pauses.append(target.learned.shed_until - now)
        assert shares(policy, [target, make_target(2)], now)[0] == 0
        now = target.learned.shed_until
    assert pauses[0] >= 0.005
    assert pauses[3] > pauses[0]
    assert pauses[7] > 0.5


async def test_one_burst_of_sheds_is_one_pause():
    policy = make_expected_wait()
    target = make_target(1)
    for _ in range(8):
        policy.shed(target, Deadline(0.0))
    assert target.learned.shed_until < 0.02


async def test_one_request_tries_a_target_that_shed():
    policy = make_expected_wait()
    target = make_target(1)
    policy.shed(target, Deadline(0.0))
    now = Deadline(1.0)
    assert shares(policy, [target, make_target(2)], now)[0] > 0
    target.learned.sent[1] = now
    assert shares(policy, [target, make_target(2)], now)[0] == 0
    # An answer ends the pause, at its headers even if the body is long.
    policy.answered(target, SERVICE_SECONDS, 0, now)
    assert shares(policy, [target, make_target(2)], now)[0] > 0


@pytest.mark.parametrize("slots", [1, 2, 4])
@pytest.mark.parametrize("own", [0, 1, 5])
@pytest.mark.parametrize("others", [0.0, 0.7, 3.0])
async def test_expected_wait_formula(slots, own, others):
    rng = random.Random(1)
    total = 0
    draws = 4000
    for _ in range(draws):
        # A Poisson number is the count of unit-rate arrivals up to `others`.
        count, at = 0, rng.expovariate(1)
        while at < others:
            count, at = count + 1, at + rng.expovariate(1)
        total += max(0, own + count + 1 - slots) / slots
    found = expected_wait(own, others, slots)
    assert found == pytest.approx(total / draws, abs=0.1)


async def test_hosts_with_one_view_do_not_choose_alike(autojump_clock):
    await trio.sleep(0)
    settings = default_settings()
    targets = [make_target(n, report=1) for n in range(1, 13)]
    chosen = collections.Counter(
        make_policy(settings, seed).choose(targets, Deadline(0.0)).id
        for seed in range(60)
    )
    assert max(chosen.values()) <= 15
