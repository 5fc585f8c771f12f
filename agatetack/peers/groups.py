"""Split a fleet that is too large for a full mesh of links into groups.

The hosts of a group are in one failure domain, and all have links with each
other. Each target is assigned to one group in its failure domain, in proportion
to the hosts of the groups there, for each service. The hosts of that group
prefer the target for their requests, probe it, and report to each other at once
what they have in flight there. So neither the messages that a host receives nor
the targets to which it keeps connections open grow with the fleet.

Two leaders of each group have links with leaders of other groups and forward
the messages that the whole fleet needs. All hosts compute the same groups from
hashes of names, without coordination.
"""

import dataclasses
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Protocol

import xxhash

from agatetack.ids import FailureDomain, HostId, ServiceId, TargetId

GROUP_HOSTS_RATIO = 0.5
"""Maximum mean number of hosts in a group, as a share of `peers.max_peers`.

The rest of a leader's links are links with other groups.
"""

ASSIGNMENT_HASH_PREFIX = "share"
"""Hash prefix of the order in which targets are assigned to groups."""

LEADERS_PER_GROUP = 2
"""Number of leaders of a group; one of them may fail unnoticed."""


class PlacedTarget(Protocol):
    """The properties of a target that decide its group.

    Attributes:
        id: Its id.
        failure_domain: Its failure domain.
        service: Its service.
    """

    id: TargetId
    failure_domain: FailureDomain
    service: ServiceId


@dataclasses.dataclass(frozen=True, slots=True)
class GroupId:
    """The id of a group.

    Attributes:
        failure_domain: The failure domain of its hosts.
        number: The number of the group in the failure domain.
    """

    failure_domain: FailureDomain
    number: int


class Groups:
    """The groups of a fleet.

    Attributes:
        max_mean_hosts: The maximum mean number of hosts in a group.
        hosts: The hosts of each group, its leaders first.
        group_of: The group of each host.
        by_domain: The groups of each failure domain.
        domains: The failure domain of each host.
        target_groups: The group of each target that was assigned or looked up.
    """

    def __init__(self, domains: Mapping[HostId, FailureDomain], max_peers: int):
        """Split the hosts of `domains`.

        Args:
            domains: The failure domain of each host.
            max_peers: The intended maximum number of links of a host.
        """
        self.max_mean_hosts = max(1, int(max_peers * GROUP_HOSTS_RATIO))
        self.hosts: dict[GroupId, list[HostId]] = {}
        self.group_of: dict[HostId, GroupId] = {}
        self.by_domain: dict[FailureDomain, list[GroupId]] = {}
        self.domains = dict(domains)
        self.target_groups: dict[TargetId, GroupId | None] = {}
        hosts_by_domain: dict[FailureDomain, list[HostId]] = defaultdict(list)
        for host, domain in domains.items():
            hosts_by_domain[domain].append(host)
        for domain, hosts in hosts_by_domain.items():
            self._split(domain, hosts)

    def _split(self, domain: FailureDomain, hosts: Sequence[HostId]) -> None:
        """Split the hosts of one failure domain.

        The number of groups is a power of two, so that a host that joins moves
        other hosts only when the number doubles, which splits each group in
        two.
        """
        count = 1
        while len(hosts) > count * self.max_mean_hosts:
            count *= 2
        members_by_group: dict[GroupId, list[HostId]] = defaultdict(list)
        for host in hosts:
            group = GroupId(domain, _rank("group", host) % count)
            members_by_group[group].append(host)
            self.group_of[host] = group
        for group, members in members_by_group.items():
            members.sort(key=lambda host: _rank("lead", host))
            self.hosts[group] = members
        self.by_domain[domain] = sorted(
            members_by_group, key=lambda group: group.number
        )

    def assign_targets(self, targets: Iterable[PlacedTarget]) -> None:
        """Assign each group its part of the targets of each service.

        Each target is assigned to the group with the highest hash among those
        with capacity left. By the hash alone, with 46 targets for 96 hosts,
        some groups get three times as many targets per host as others, and half
        of the requests go to targets of other groups, each over a new
        connection.
        """
        targets_by_place: dict[tuple[FailureDomain, ServiceId], list[TargetId]]
        targets_by_place = defaultdict(list)
        for target in targets:
            place = (target.failure_domain, target.service)
            targets_by_place[place].append(target.id)
        self.target_groups = {}
        for (domain, service), target_ids in targets_by_place.items():
            self._assign_service(domain, service, target_ids)

    def _assign_service(
        self,
        domain: FailureDomain,
        service: ServiceId,
        target_ids: list[TargetId],
    ) -> None:
        """Assign the targets of one service in one failure domain."""
        capacities = self._divide(
            self._groups_for(domain), service, len(target_ids)
        )
        for target_id in sorted(
            target_ids, key=lambda each: _rank(ASSIGNMENT_HASH_PREFIX, each)
        ):
            group = self._highest_ranked(
                [g for g in capacities if capacities[g]], target_id
            )
            if group is not None:
                capacities[group] -= 1
            self.target_groups[target_id] = group

    def _divide(
        self, groups: Sequence[GroupId], service: ServiceId, count: int
    ) -> dict[GroupId, int]:
        """Divide `count` targets by the number of hosts in each group."""
        hosts = sum(len(self.hosts[group]) for group in groups)
        exact = {g: count * len(self.hosts[g]) / hosts for g in groups}
        parts = {group: int(part) for group, part in exact.items()}
        rest = count - sum(parts.values())
        # The groups with the largest rounding loss get one of the rest each.
        by_shortfall = sorted(
            groups,
            key=lambda g: (parts[g] - exact[g], _rank(service, str(g.number))),
        )
        for group in by_shortfall[:rest]:
            parts[group] += 1
        return parts

    def group_of_target(
        self, target: TargetId, domain: FailureDomain
    ) -> GroupId | None:
        """Return the group of a target; None if there are no hosts.

        Args:
            target: The target.
            domain: Its failure domain. If it has no hosts, the target is
                assigned to a group of any other one.
        """
        if target not in self.target_groups:
            self.target_groups[target] = self._find_group(target, domain)
        return self.target_groups[target]

    def _find_group(
        self, target: TargetId, domain: FailureDomain
    ) -> GroupId | None:
        return self._highest_ranked(self._groups_for(domain), target)

    def _groups_for(self, domain: FailureDomain) -> Sequence[GroupId]:
        """Return the groups of a failure domain, or all groups if none."""
        return self.by_domain.get(domain) or list(self.hosts)

    def _highest_ranked(
        self, groups: Sequence[GroupId], target: TargetId
    ) -> GroupId | None:
        return max(
            groups,
            key=lambda g: _rank(f"{g.failure_domain}/{g.number}", target),
            default=None,
        )

    def leaders(
        self, group: GroupId, unreachable: Collection[HostId] = ()
    ) -> Sequence[HostId]:
        """Return the leaders of `group`, the first leader first.

        Args:
            group: The group.
            unreachable: Hosts that are unreachable now.
        """
        reachable = [
            host for host in self.hosts[group] if host not in unreachable
        ]
        return reachable[:LEADERS_PER_GROUP]

    def first_leaders(
        self, unreachable: Collection[HostId] = ()
    ) -> list[HostId]:
        """Return the first leader of each group."""
        firsts = (self.leaders(group, unreachable)[:1] for group in self.hosts)
        return [host for leaders in firsts for host in leaders]


def _rank(prefix: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{prefix}|{name}".encode())
