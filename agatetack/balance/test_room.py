"""Test how many slots of targets are used, and that this is learned.

The targets of some services slow down when they are nearly full, so that in an
overload the last slots add work and no answers. Others do not, and lose a
third of their throughput if the last slots stay empty. Which services slow down
is not configured.
"""

import random

import pytest

from agatetack.balance.room import (
    HALF_LIFE_SECONDS,
    AllSlots,
    LearnedKnee,
)
from agatetack.targets.state import TargetState

SERVICE_SECONDS = 0.26
LOG_TIME_DEVIATION = 0.3
"""Standard deviation of the logarithm of a request's time."""

SLOW_RATIO, SLOW_FACTOR = 0.05, 5.0
"""Ratio of requests that run on a slow machine despite the pre-send probe, and
the factor by which they take longer."""


def make_target(slots, service="svc"):
    target = TargetState("t", service, "10.0.0.1", 80, "d")
    target.slots = slots
    return target


def answer(slot_policy, target, factor, rng, now, ahead=None):
    """Answer one request, slower by `factor` above 0.8 of the slots."""
    if ahead is None:
        ahead = rng.randrange(target.slots)
    seconds = SERVICE_SECONDS * rng.lognormvariate(0, LOG_TIME_DEVIATION)
    if ahead + 1 > 0.8 * target.slots:
        seconds *= factor
    if rng.random() < SLOW_RATIO:
        seconds *= SLOW_FACTOR
    slot_policy.answered(target, seconds, ahead, now)


@pytest.mark.parametrize(
    ("slots", "factor", "max_requests"),
    [
        (6, 1.7, 4),
        (6, 1.0, 6),
        (6, 1.2, 6),
        (10, 1.7, 8),
        (16, 2.0, 12),
        # With these, the last slot adds more throughput than it costs.
        (2, 1.7, 2),
        (2, 1.0, 2),
        (3, 1.0, 3),
        (1, 1.7, 1),
        (1, 1.0, 1),
    ],
)
def test_targets_are_filled_as_far_as_they_do_more(slots, factor, max_requests):
    target = make_target(slots)
    wrong = 0
    for seed in range(20):
        rng = random.Random(seed)
        slot_policy = LearnedKnee()
        for step in range(300):
            answer(slot_policy, target, factor, rng, step * 0.1)
        wrong += slot_policy.max_requests(target, 30.0) != max_requests
    assert wrong == 0
    assert AllSlots().max_requests(target, 0.0) == slots


@pytest.mark.parametrize(("seeds", "min_known"), [(20, 18), (200, 180)])
def test_it_is_known_after_some_twenty_answers_under_load(seeds, min_known):
    target = make_target(6)
    known = 0
    for seed in range(seeds):
        rng = random.Random(seed)
        slot_policy = LearnedKnee()
        for _ in range(20):
            answer(slot_policy, target, 1.7, rng, 0.0, ahead=1)
            answer(slot_policy, target, 1.7, rng, 0.0, ahead=4)
        known += slot_policy.max_requests(target, 0.0) == 4
    # Nine out of ten hosts must have learned it.
    assert known >= min_known


def test_it_does_not_flap():
    target = make_target(6)
    changes = 0
    for factor in (1.0, 1.7):
        rng = random.Random(3)
        slot_policy = LearnedKnee()
        for _ in range(60):
            answer(slot_policy, target, factor, rng, 0.0)
        before = slot_policy.max_requests(target, 0.0)
        for step in range(600):
            answer(slot_policy, target, factor, rng, step * 0.1)
            after = slot_policy.max_requests(target, step * 0.1)
            changes += after != before
            before = after
    assert changes <= 2


def test_what_was_learned_is_forgotten_and_each_service_has_its_own():
    target, other = make_target(6), make_target(6, "other")
    rng = random.Random(1)
    slot_policy = LearnedKnee()
    for _ in range(100):
        answer(slot_policy, target, 1.7, rng, 0.0)
        answer(slot_policy, other, 1.0, rng, 0.0)
    assert slot_policy.max_requests(target, 0.0) == 4
    assert slot_policy.max_requests(other, 0.0) == 6
    assert slot_policy.max_requests(target, 12 * HALF_LIFE_SECONDS) == 6
    # A request that waited at the target does not count.
    slot_policy.answered(target, 9.0, 6.0, 0.0)
    assert slot_policy.max_requests(target, 0.0) == 4
