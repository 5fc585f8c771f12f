"""Test a small version of the trial of deferred requests."""

from bench.deferred import Plan, run_trial


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
