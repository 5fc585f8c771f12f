"""Test how a large fleet is split, and what a group's hosts then have to do.

The pattern: hundreds of hosts in a few failure domains, each with one or two
requests a second, before some hundred targets of two or three slots.
"""

import collections

import pytest

from agatetack.ids import FailureDomain, HostId, TargetId
from agatetack.peers.choice import choose_peers
from agatetack.peers.groups import LEADERS, Groups

MAX_PEERS = 48


def fleet_of(count, domains):
    return {
        HostId(f"edge-{n}"): FailureDomain(f"domain-{n % domains}")
        for n in range(count)
    }


@pytest.mark.parametrize("count", [50, 116, 312, 546, 1000])
@pytest.mark.parametrize("domains", [1, 4, 5])
def test_links_of_a_host_do_not_grow_with_the_fleet(count, domains):
    fleet = fleet_of(count, domains)
    links = collections.defaultdict(set)
    for host in fleet:
        for peer in choose_peers(host, fleet, MAX_PEERS):
            links[host].add(peer)
            links[peer].add(host)
    assert max(map(len, links.values())) <= 2 * MAX_PEERS
    mean = sum(map(len, links.values())) / count
    assert mean <= 0.75 * MAX_PEERS


@pytest.mark.parametrize(("count", "domains"), [(116, 4), (312, 5), (546, 5)])
def test_targets_are_spread_over_the_groups_of_their_domain(count, domains):
    groups = Groups(fleet_of(count, domains), MAX_PEERS)
    counts = collections.Counter()
    for n in range(241):
        domain = FailureDomain(f"domain-{n % domains}")
        group = groups.of_target(TargetId(f"i-{n}"), domain)
        assert group.failure_domain == domain
        counts[group] += 1
    assert counts.keys() == groups.hosts.keys()
    # An uneven share sends work to other groups, at the price of a connection.
    assert max(counts.values()) <= 2.5 * 241 / len(groups.hosts)


def test_targets_without_hosts_in_their_domain_have_a_group():
    groups = Groups(fleet_of(100, 4), MAX_PEERS)
    found = {
        groups.of_target(TargetId(f"i-{n}"), FailureDomain("elsewhere"))
        for n in range(100)
    }
    assert len(found) > 1
    assert Groups({}, MAX_PEERS).of_target(TargetId("i"), "d") is None


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_leaders_that_are_lost_are_replaced(lost):
    fleet = fleet_of(312, 5)
    groups = Groups(fleet, MAX_PEERS)
    for group, hosts in groups.hosts.items():
        gone = set(hosts[:lost])
        leaders = groups.leaders(group, gone)
        assert len(leaders) == LEADERS
        assert not gone & set(leaders)


def test_a_host_that_joins_moves_few_others():
    before = Groups(fleet_of(312, 5), MAX_PEERS).group_of
    after = Groups(fleet_of(313, 5), MAX_PEERS).group_of
    assert all(after[host] == group for host, group in before.items())
