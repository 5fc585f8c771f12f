"""Test a small version of the trial of deferred requests."""

import pytest

from bench.deferred import Plan, run_seeded, run_trial


async def test_no_ticket_is_lost_in_a_small_trial(autojump_clock):
    plan = Plan(
        tickets=60,
        hosts=3,
        per_second=10,
        kill_seconds=1.5,
        outage_seconds=5,
        fault_ratio=0.2,
    )
    trial = await run_trial(plan)
    assert trial.count.answered == plan.tickets
    assert trial.count.wrong == 0
    assert trial.count.kills > 0
    assert trial.count.outages > 0


# Guards against tickets that nobody copied, as no host lived until its first
# look at them.
@pytest.mark.parametrize("seed", [12, 30])
def test_no_ticket_is_lost_where_hosts_live_for_seconds(seed):
    plan = Plan(
        tickets=60,
        hosts=3,
        per_second=10,
        kill_seconds=0.8,
        outage_seconds=4,
        fault_ratio=0.2,
        seed=seed,
    )
    trial = run_seeded(plan)
    assert trial.count.answered == plan.tickets
    assert trial.count.wrong == 0
