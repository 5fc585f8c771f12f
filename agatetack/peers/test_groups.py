"""Test how a large fleet is split into groups and targets are assigned.

The scenario is hundreds of hosts in a few failure domains, each with one or two
requests a second, and about a hundred targets of two or three slots.
"""

import collections
import dataclasses

import pytest

from agatetack.ids import FailureDomain, HostId, ServiceId, TargetId
from agatetack.peers.choice import choose_peers
from agatetack.peers.groups import LEADERS_PER_GROUP, Groups

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
        group = groups.group_of_target(TargetId(f"i-{n}"), domain)
        assert group.failure_domain == domain
        counts[group] += 1
    assert counts.keys() == groups.hosts.keys()
    # With uneven shares, hosts send requests to targets of other groups, which
    # costs connections.
    assert max(counts.values()) <= 2.5 * 241 / len(groups.hosts)


def test_targets_without_hosts_in_their_domain_have_a_group():
    groups = Groups(fleet_of(100, 4), MAX_PEERS)
    assigned = {
        groups.group_of_target(TargetId(f"i-{n}"), FailureDomain("elsewhere"))
        for n in range(100)
    }
    assert len(assigned) > 1
    assert Groups({}, MAX_PEERS).group_of_target(TargetId("i"), "d") is None


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_leaders_that_are_lost_are_replaced(lost):
    fleet = fleet_of(312, 5)
    groups = Groups(fleet, MAX_PEERS)
    for group, hosts in groups.hosts.items():
        gone = set(hosts[:lost])
        leaders = groups.leaders(group, gone)
        assert len(leaders) == LEADERS_PER_GROUP
        assert not gone & set(leaders)


def test_a_host_that_joins_moves_few_others():
    before = Groups(fleet_of(312, 5), MAX_PEERS).group_of
    after = Groups(fleet_of(313, 5), MAX_PEERS).group_of
    assert all(after[host] == group for host, group in before.items())


@dataclasses.dataclass(frozen=True)
class Placed:
    """A target to assign to a group."""

    id: TargetId
    failure_domain: FailureDomain
    service: ServiceId


def placed(count, domains, service="svc"):
    return [
        Placed(
            TargetId(f"{service}-{n}"),
            FailureDomain(f"domain-{n % domains}"),
            ServiceId(service),
        )
        for n in range(count)
    ]


# 96 hosts with 46, 30, 52 and four targets are a fleet whose load shifted
# between services.
@pytest.mark.parametrize(
    ("hosts", "domains", "counts"),
    [(96, 3, (46, 30, 52, 4)), (116, 4, (58, 32, 16)), (312, 5, (109, 12))],
)
def test_each_group_has_its_part_of_each_service(hosts, domains, counts):
    groups = Groups(fleet_of(hosts, domains), MAX_PEERS)
    targets = [
        target
        for number, count in enumerate(counts)
        for target in placed(count, domains, f"svc{number}")
    ]
    groups.assign_targets(targets)
    assigned = collections.Counter()
    totals = collections.Counter()
    for target in targets:
        group = groups.group_of_target(target.id, target.failure_domain)
        assert group.failure_domain == target.failure_domain
        assigned[group, target.service] += 1
        totals[target.failure_domain, target.service] += 1
    for (domain, service), count in totals.items():
        groups_in_domain = groups.by_domain[domain]
        hosts_there = sum(
            len(groups.hosts[group]) for group in groups_in_domain
        )
        for group in groups_in_domain:
            part = count * len(groups.hosts[group]) / hosts_there
            assert abs(assigned[group, service] - part) < 1


@pytest.mark.parametrize("gone", [1, 3])
def test_targets_that_come_or_go_move_few_others(gone):
    groups = Groups(fleet_of(96, 3), MAX_PEERS)
    targets = placed(46, 3)
    groups.assign_targets(targets)
    before = dict(groups.target_groups)
    groups.assign_targets(targets[gone:])
    moved = sum(
        before[name] != group for name, group in groups.target_groups.items()
    )
    assert moved <= 2 * gone


def test_targets_that_were_not_dealt_out_have_a_group_too():
    groups = Groups(fleet_of(96, 3), MAX_PEERS)
    groups.assign_targets(placed(46, 3))
    assert groups.group_of_target(TargetId("new"), FailureDomain("domain-1"))
    Groups({}, MAX_PEERS).assign_targets(placed(3, 1))
