"""Split a fleet too large for links with all into groups of linked hosts.

The hosts of a group are of one failure domain, and all have links with each
other. Each target belongs to one group of its failure domain: the hosts of that
group send there by preference, probe it, and tell each other at once of what
they have there. So what a host hears, and the targets to which it keeps open
connections, do not grow with the fleet.

Two hosts of each group lead it: they have links with leaders of other groups,
and pass on what the whole fleet needs. All hosts split the fleet alike, by
hashes of names, without a word.
"""

import dataclasses
from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence

import xxhash

from agatetack.ids import FailureDomain, HostId, TargetId

GROUP_SHARE = 0.5
"""Most hosts of a group on the mean, as a share of `peers.max_peers`; the rest
of a leader's links are those with other groups."""

LEADERS = 2
"""Hosts that lead a group; one may be lost without a word."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupId:
    """One group.

    Attributes:
        failure_domain: Where its hosts are.
        number: Which of the groups there it is.
    """

    failure_domain: FailureDomain
    number: int


class Groups:
    """The groups of a fleet.

    Attributes:
        hosts: The hosts of each group, those that lead it first.
        group_of: The group of each host.
        by_domain: The groups of each failure domain.
        domains: The failure domain of each host.
        found: The group of each target that was asked for.
    """

    def __init__(self, domains: Mapping[HostId, FailureDomain], max_peers: int):
        """Split the hosts of `domains`.

        Args:
            domains: The failure domain of each host.
            max_peers: How many links a host should have.
        """
        self.most = max(1, int(max_peers * GROUP_SHARE))
        self.hosts: dict[GroupId, list[HostId]] = {}
        self.group_of: dict[HostId, GroupId] = {}
        self.by_domain: dict[FailureDomain, list[GroupId]] = {}
        self.domains = dict(domains)
        self.found: dict[TargetId, GroupId | None] = {}
        near: dict[FailureDomain, list[HostId]] = defaultdict(list)
        for host, domain in domains.items():
            near[domain].append(host)
        for domain, hosts in near.items():
            self._split(domain, hosts)

    def _split(self, domain: FailureDomain, hosts: Sequence[HostId]) -> None:
        """Split the hosts of one failure domain.

        The number of groups doubles as hosts join, so that a host which joins
        moves others only when it does; each group is split in two then.
        """
        count = 1
        while len(hosts) > count * self.most:
            count *= 2
        found: dict[GroupId, list[HostId]] = defaultdict(list)
        for host in hosts:
            group = GroupId(domain, _rank("group", host) % count)
            found[group].append(host)
            self.group_of[host] = group
        for group, members in found.items():
            members.sort(key=lambda host: _rank("lead", host))
            self.hosts[group] = members
        self.by_domain[domain] = sorted(found, key=lambda group: group.number)

    def of_target(
        self, target: TargetId, domain: FailureDomain
    ) -> GroupId | None:
        """Return the group of a target; None if there are no hosts.

        Args:
            target: The target.
            domain: Its failure domain. One without hosts leaves its targets
                to the groups of all others.
        """
        if target not in self.found:
            self.found[target] = self._find_group(target, domain)
        return self.found[target]

    def _find_group(
        self, target: TargetId, domain: FailureDomain
    ) -> GroupId | None:
        groups = self.by_domain.get(domain) or list(self.hosts)
        return max(
            groups,
            key=lambda g: _rank(f"{g.failure_domain}/{g.number}", target),
            default=None,
        )

    def leaders(
        self, group: GroupId, lost: Collection[HostId] = ()
    ) -> Sequence[HostId]:
        """Return the hosts that lead `group`, the first one first.

        Args:
            group: The group.
            lost: Hosts that can't be reached now.
        """
        able = [host for host in self.hosts[group] if host not in lost]
        return able[:LEADERS]

    def first_leaders(self, lost: Collection[HostId] = ()) -> list[HostId]:
        """Return the first leader of each group."""
        found = (self.leaders(group, lost)[:1] for group in self.hosts)
        return [host for leaders in found for host in leaders]


def _rank(what: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{what}|{name}".encode())
