"""Test quotas in fleets with failures, in virtual time.

One account asks for 7.5 times its usual rate from 8 s to 20 s, one for its
usual rate, and one for little. Whatever fails, none may exceed its bound, and
what is asked within the quota is served again once the failure is over.
"""

import random

import pytest

from agatetack.testing.quota_fleet import QuotaFleet, figures, make_account

FLEETS = [(3, 5.0, 5.0), (17, 20.0, 20.0), (107, 30.0, 30.0), (107, 8.0, 2.0)]
"""Number of hosts, rate and burst of the two larger accounts."""

END_SECONDS = 30.0


class Play:
    """A fleet with the three accounts and a failure."""

    def __init__(self, hosts, rate, burst, seed):
        self.accounts = [
            make_account("hot", rate, burst),
            make_account("calm", rate, burst),
            make_account("small", 0.8, 1.0),
        ]
        self.fleet = fleet = QuotaFleet(hosts, self.accounts, seed)
        usual = rate / 1.6
        fleet.ask_at_rate("hot", usual, 3.0, END_SECONDS)
        fleet.ask_at_rate("hot", 6.5 * usual, 8.0, 20.0)
        fleet.ask_at_rate("calm", usual, 3.0, END_SECONDS)
        fleet.ask_at_rate("small", 0.5, 3.0, END_SECONDS)
        count = max(1, round(0.3 * hosts))
        self.some = random.Random(seed).sample(fleet.listed, count)
        self.collectors = [
            fleet.group(host)[0] for host in fleet.listed[: fleet.group_count]
        ]

    def cut(self, hosts, start, end):
        self.fleet.at(start, lambda: self._cut_now(hosts))
        self.fleet.at(end, lambda: self.fleet.cut_at.clear())

    def _cut_now(self, hosts):
        self.fleet.cut_at = dict.fromkeys(hosts, self.fleet.now)

    def kill(self, hosts, start, end):
        for host in hosts:
            self.fleet.at(start, lambda host=host: self.fleet.kill(host))
            self.fleet.at(end, lambda host=host: self.fleet.start(host))

    def pause(self, hosts, start, end):
        pause = dict.fromkeys(hosts, end)
        self.fleet.at(start, lambda: self.fleet.paused.update(pause))

    def lead(self, start, chosen):
        """Have hosts think that others are the first leaders."""
        self.fleet.at(start, lambda: self.fleet.leaders.update(chosen))

    def check(self):
        self.fleet.run(END_SECONDS)
        for name in ("hot", "calm", "small"):
            found = figures(self.fleet, name)
            assert found.peak <= found.bound, name
        # The bound has to be kept by more than refusing everything.
        hot = figures(self.fleet, "hot", 9.0, 20.0)
        rate = self.accounts[0].requests_per_second
        assert hot.admitted >= 0.6 * 11.0 * rate
        calm = figures(self.fleet, "calm", 3.0, END_SECONDS)
        assert calm.admitted >= 0.85 * calm.asked
        end = figures(self.fleet, "calm", 24.0)
        assert end.asked - end.admitted <= max(1, 0.03 * end.asked)


def cut_some(play):
    play.cut(play.some, 12.0, 18.0)


def cut_some_before(play):
    play.cut(play.some, 6.0, 16.0)


def cut_collectors(play):
    count = max(1, len(play.collectors) // 2)
    play.cut(play.collectors[:count], 12.0, 17.0)


def kill_some(play):
    play.kill(play.some, 12.0, 15.0)


def kill_collectors(play):
    play.kill(play.collectors, 12.0, 15.0)


def restart_quickly(play):
    play.kill(play.some, 12.0, 12.3)


def restart_all(play):
    play.kill(play.fleet.listed, 12.0, 12.3)


def pause_some(play):
    play.pause(play.some, 10.0, 13.0)


def pause_collectors(play):
    play.pause(play.collectors, 10.0, 13.0)


def two_collectors(play):
    for first in play.collectors:
        group = play.fleet.group(first)
        later = [*group[len(group) // 2 :], group[1]]
        play.lead(6.0, dict.fromkeys(later, group[1]))


def no_collector(play):
    # Each host thinks that another one is the first leader.
    for first in play.collectors:
        group = play.fleet.group(first)
        play.lead(6.0, dict.fromkeys(group, group[1]))
        play.lead(6.0, {group[1]: group[0]})
    play.fleet.at(18.0, play.fleet.leaders.clear)


def lose_messages(play):
    play.fleet.loss = 0.1


def repeat_messages(play):
    play.fleet.repeats = 0.5


def delay_messages(play):
    # They also overtake each other.
    play.fleet.jitter_seconds = 0.15


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("hosts", "rate", "burst"), FLEETS)
@pytest.mark.parametrize(
    "fail",
    [
        cut_some,
        cut_some_before,
        cut_collectors,
        kill_some,
        kill_collectors,
        restart_quickly,
        restart_all,
        pause_some,
        pause_collectors,
        two_collectors,
        no_collector,
        lose_messages,
        repeat_messages,
        delay_messages,
    ],
    ids=lambda fail: fail.__name__,
)
def test_no_failure_lets_an_account_exceed_its_bound(
    fail, hosts, rate, burst, seed
):
    play = Play(hosts, rate, burst, seed)
    fail(play)
    play.check()


# Guards against the old limit being used after it was lowered, and against a
# new burst for an account that disappears and returns.
@pytest.mark.parametrize("hosts", [3, 17, 107])
def test_limits_change(hosts):
    fleet = QuotaFleet(hosts, [make_account("acme", 60.0)], 1)
    fleet.ask_at_rate("acme", 100.0, 3.0, 30.0)
    fleet.at(10.0, lambda: fleet.configure([make_account("acme", 10.0)]))
    fleet.at(20.0, lambda: fleet.configure([make_account("acme", 40.0)]))
    fleet.run(30.0)
    lowered = figures(fleet, "acme", 10.0, 20.0)
    bound = (5 * 10.0 + 10.0) * 1.1 + 20
    assert 5 * 10.0 * 0.8 <= lowered.peak <= bound
    assert lowered.admitted >= 0.8 * 10.0 * 10.0
    raised = figures(fleet, "acme", 22.0, 30.0)
    assert raised.admitted >= 0.8 * 8.0 * 40.0
    assert figures(fleet, "acme", 20.0, 30.0).peak <= raised.bound


@pytest.mark.parametrize("hosts", [3, 17, 107])
def test_an_account_that_returns_has_no_second_burst(hosts):
    acme, other = make_account("acme", 30.0), make_account("other", 5.0)
    fleet = QuotaFleet(hosts, [acme, other], 1)
    fleet.ask_at_rate("acme", 130.0, 3.0, 10.0)
    fleet.at(10.0, lambda: fleet.configure([other]))
    fleet.at(10.4, lambda: fleet.configure([acme, other]))
    fleet.ask_at_rate("acme", 130.0, 10.5, 20.0)
    fleet.run(20.0)
    found = figures(fleet, "acme")
    assert found.peak <= found.bound


# Guards against memory that is kept for accounts that are gone or idle.
def test_state_of_accounts_without_use_is_dropped():
    accounts = [make_account(f"a{n}", 5.0) for n in range(20)]
    fleet = QuotaFleet(17, accounts, 1)
    for account in accounts:
        fleet.ask_at_rate(account.id, 3.0, 1.0, 5.0)
    fleet.run(60.0)
    collector = fleet.nodes[fleet.listed[0]].collector
    assert not collector.levels
    fleet.configure(accounts[:1])
    for node in fleet.nodes.values():
        assert len(node.own) <= 1


# Guards against credits that are lost, or returned more often than used.
@pytest.mark.parametrize("hosts", [3, 17, 107])
def test_returned_credits_can_be_used(hosts):
    fleet = QuotaFleet(hosts, [make_account("acme", 10.0, 10.0)], 1)
    chance = random.Random(1)

    def ask_and_fail():
        host = chance.choice(fleet.listed)
        before = len(fleet.outcomes["acme"])
        fleet.ask("acme", host)
        if fleet.outcomes["acme"][before].retry_at is None:
            fleet.at(fleet.now + 0.2, lambda: fleet.refund("acme", host))

    # Twice the quota, but none of these requests runs.
    for number in range(300):
        fleet.at(3.0 + number / 20, ask_and_fail)
    fleet.ask_at_rate("acme", 6.0, 3.0, 18.0)
    fleet.run(18.0)
    found = figures(fleet, "acme")
    assert found.peak <= found.bound
    assert found.admitted >= 0.95 * 6.0 * 15.0 * 0.85


# Guards against refusals while the fleet grows or shrinks.
@pytest.mark.parametrize("change", ["grow", "shrink"])
def test_the_fleet_changes_its_size(change):
    fleet = QuotaFleet(17, [make_account("acme", 30.0)], 1)
    fleet.ask_at_rate("acme", 30.0 / 1.6, 3.0, 20.0, fleet.listed[:11])

    def grow():
        for number in range(100, 110):
            fleet.listed.append(f"h{number}")
            fleet.start(fleet.listed[-1])

    def shrink():
        for host in fleet.listed[11:]:
            fleet.kill(host)
        del fleet.listed[11:]

    fleet.at(8.0, grow if change == "grow" else shrink)
    fleet.run(20.0)
    found = figures(fleet, "acme", 3.0)
    assert found.peak <= found.bound
    assert found.admitted >= 0.98 * found.asked


# Guards against a host that loses contact in the moment in which demand rises,
# and admits what it is asked for until it notices.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_host_cut_off_as_demand_rises_keeps_the_bound(seed):
    play = Play(3, 20.0, 1.0, seed)
    play.cut(play.some, 8.0, 14.0)
    play.fleet.run(END_SECONDS)
    found = figures(play.fleet, "hot")
    assert found.peak <= found.bound
