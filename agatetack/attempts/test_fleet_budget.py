"""Test that a host's part of the fleet's repeats is never exceeded."""

import pytest
import trio

from agatetack.attempts.fleet_budget import (
    USED_RATIO_SHARE,
    USED_SLACK_SHARE,
    FleetBudget,
)
from agatetack.ids import ServiceId
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings

A, B = ServiceId("a"), ServiceId("b")
RATIO, SLACK, WINDOW = 0.2, 56.0, 10.0
SETTINGS = default_settings(
    attempts={
        "fleet_ratio": RATIO,
        "fleet_slack": SLACK,
        "fleet_window_seconds": WINDOW,
    }
)


def make_budget(size=14, settings=SETTINGS):
    return FleetBudget(settings, lambda: size, Metrics())


def spend_all(budget, service=A):
    spent = 0
    while spent < 1000 and budget.spend(service):
        spent += 1
    return spent


@pytest.mark.parametrize(
    ("requests", "size", "allowed"),
    [
        (0, 14, 2),
        (100, 14, 18),
        (0, 1, 28),
        (0, None, 0),
        (100, None, 16),
        (50, 1000, 8),
    ],
)
async def test_a_host_spends_its_ratio_and_part_of_the_slack(
    autojump_clock, requests, size, allowed
):
    budget = make_budget(size)
    for _ in range(requests):
        budget.record_request(A)
    expected = RATIO * USED_RATIO_SHARE * requests
    expected += SLACK * USED_SLACK_SHARE / size if size else 0
    assert spend_all(budget) == int(expected + 1e-9) == allowed
    assert spend_all(budget, B) == spend_all(make_budget(size), B)


async def test_no_window_has_more_than_is_allowed(autojump_clock):
    budget = make_budget()
    spent_at = []
    for _ in range(400):
        budget.record_request(A)
        while budget.spend(A):
            spent_at.append(trio.current_time())
        await trio.sleep(0.1)
    for start in spent_at:
        inside = [t for t in spent_at if start <= t < start + WINDOW]
        assert len(inside) <= RATIO * 101 + SLACK / 14


async def test_new_limits_hold_at_once(autojump_clock):
    budget = make_budget()
    assert spend_all(budget) == 2
    budget.set_limits(default_settings())
    assert spend_all(budget) == 1000


async def test_the_whole_fleet_stays_below_the_bound(autojump_clock):
    budgets = [make_budget(14) for _ in range(14)]
    spent = 0
    for number in range(700):
        budgets[number % 14].record_request(A)
        spent += spend_all(budgets[number % 14])
    assert spent <= RATIO * 700 + SLACK
