"""Check the budgets of retries and hedges."""

from agatetack.attempts.budget import RatioBudget


def test_a_budget_is_full_at_first_and_bounded():
    budget = RatioBudget(0.1, 2)
    assert [budget.spend() for _ in range(3)] == [True, True, False]
    for _ in range(1000):
        budget.earn()
    assert [budget.spend() for _ in range(3)] == [True, True, False]
