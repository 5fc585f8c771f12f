"""Test quotas by the load of whole fleets, in virtual time."""

import pytest

from agatetack.testing.quota_fleet import QuotaFleet, figures, make_account

QUOTA_RATIO = 1.6
"""An account's quota, as a multiple of what it usually asks for."""

SMALL_ACCOUNTS = 8
"""Accounts that ask for 0.5 requests a second, with a burst of 1."""

FLEETS = [(3, 14.0), (17, 73.0), (107, 462.0)]
"""Numbers of hosts, and the requests a second of all accounts."""

LARGE_FLEET = (400, 1000.0)
"""A fleet that is played once for each test, as it takes 15 s."""


def usual_rates(total):
    """Return what each account usually asks for; a few are large."""
    sizes = [1 / (number + 1) for number in range(40)]
    rates = {
        f"a{number}": total * size / sum(sizes)
        for number, size in enumerate(sizes)
    }
    return rates | {f"small{n}": 0.5 for n in range(SMALL_ACCOUNTS)}


def make_fleet(hosts, rates, seed, until):
    accounts = [
        make_account(
            name,
            rate * QUOTA_RATIO,
            1.0 if name.startswith("small") else None,
        )
        for name, rate in rates.items()
    ]
    fleet = QuotaFleet(hosts, accounts, seed)
    for name, rate in rates.items():
        fleet.ask_at_rate(name, rate, 3.0, until)
    return fleet


def check_bounds(fleet, rates):
    for name in rates:
        found = figures(fleet, name)
        assert found.peak <= found.bound, name


# Guards against refusals below the quota, of small accounts above all, and
# against messages for requests that need none.
@pytest.mark.parametrize(
    ("hosts", "total", "seed"),
    [(*fleet, seed) for fleet in FLEETS for seed in (1, 2)]
    + [(*LARGE_FLEET, 1)],
)
def test_calm_accounts_are_not_refused(hosts, total, seed):
    until = 25.0
    rates = usual_rates(total)
    fleet = make_fleet(hosts, rates, seed, until)
    fleet.run(until)
    check_bounds(fleet, rates)
    found = [figures(fleet, name, 3.0) for name in rates]
    asked = sum(each.asked for each in found)
    assert sum(each.asked - each.admitted for each in found) <= 0.005 * asked
    small = [figures(fleet, f"small{n}", 3.0) for n in range(SMALL_ACCOUNTS)]
    asked = sum(each.asked for each in small)
    assert asked > 50
    assert sum(each.asked - each.admitted for each in small) <= 0.02 * asked
    received = sorted(count / until for count in fleet.received.values())
    assert received[hosts // 2] <= 4.0


# Guards against one account that crowds out the others, and against refusals
# of what it may ask.
@pytest.mark.parametrize(
    ("hosts", "total", "name"),
    [(*fleet, name) for fleet in FLEETS for name in ("a0", "a3", "a12")]
    + [(*LARGE_FLEET, "a3")],
)
def test_the_excess_of_a_hot_account_is_refused(hosts, total, name):
    rates = usual_rates(total)
    fleet = make_fleet(hosts, rates, 1, 20.0)
    quota = rates[name] * QUOTA_RATIO
    fleet.ask_at_rate(name, 6.5 * rates[name], 8.0, 14.0)
    fleet.run(20.0)
    check_bounds(fleet, rates)
    others = [figures(fleet, each, 3.0) for each in rates if each != name]
    asked = sum(each.asked for each in others)
    assert sum(each.asked - each.admitted for each in others) <= 0.005 * asked
    hot = figures(fleet, name, 8.0, 14.0)
    # Its burst of one second and its tolerance come on top of its rate.
    assert hot.admitted >= min(hot.asked, 0.85 * 6.0 * quota)
    if quota > 20:
        refused = [
            outcome.at
            for outcome in fleet.outcomes[name]
            if outcome.at > 8.0 and outcome.retry_at is not None
        ]
        assert refused[0] <= 8.6
        late = figures(fleet, name, 9.0, 14.0)
        assert 0.85 <= late.admitted / (5.0 * quota) <= 1.15
    after = figures(fleet, name, 15.0)
    assert after.asked - after.admitted <= max(2, 0.05 * after.asked)


# Guards against a host whose callers make all requests of an account.
@pytest.mark.parametrize("callers", [1, 5])
def test_an_account_may_use_a_few_hosts_only(callers):
    fleet = QuotaFleet(107, [make_account("acme", 30.0)], 1)
    hosts = fleet.listed[40 : 40 + callers]
    fleet.ask_at_rate("acme", 30.0 / QUOTA_RATIO, 3.0, 20.0, hosts)
    fleet.ask_at_rate("acme", 6.5 * 30.0 / QUOTA_RATIO, 8.0, 14.0, hosts)
    fleet.run(20.0)
    found = figures(fleet, "acme")
    assert found.peak <= found.bound
    calm = figures(fleet, "acme", 3.0, 8.0)
    assert calm.admitted == calm.asked
    hot = figures(fleet, "acme", 8.0, 14.0)
    assert hot.admitted >= 0.9 * 6.0 * 30.0
