"""Split a fleet too large for links with all into groups of linked hosts.

The hosts of a group are of one failure domain, and all have links with each
other. Each target belongs to one group of its failure domain, and each group
has as large a part of a service's targets there as of the hosts: the hosts of
that group send there by preference, probe it, and tell each other at once of
what they have there. So what a host hears, and the targets to which it keeps
open connections, do not grow with the fleet.

Two hosts of each group lead it: they have links with leaders of other groups,
and pass on what the whole fleet needs. All hosts split the fleet alike, by
hashes of names, without a word.
"""

import dataclasses
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Protocol

import xxhash

from agatetack.ids import FailureDomain, HostId, ServiceId, TargetId

GROUP_SHARE = 0.5
"""Most hosts of a group on the mean, as a share of `peers.max_peers`; the rest
of a leader's links are those with other groups."""

PLACES_RANK = "share"
"""Keeps the order in which targets are dealt out apart from other orders."""

LEADERS = 2
"""Hosts that lead a group; one may be lost without a word."""


class PlacedTarget(Protocol):
    """What says where a target is and what it serves.

    Attributes:
        id: Its name.
        failure_domain: Where it is.
        service: The service it belongs to.
    """

    id: TargetId
    failure_domain: FailureDomain
    service: ServiceId


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
        found: The group of each target that was dealt out or asked for.
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

    def deal_out(self, targets: Iterable[PlacedTarget]) -> None:
        """Give each group its part of the targets of each service.

        Each target goes to the group that its hash prefers, while that has room
        for it. By the hash alone, of 46 targets for 96 hosts some groups have
        three times as many for each host as others, and half of the work goes
        to other groups' targets, which costs a connection each time.
        """
        places: dict[tuple[FailureDomain, ServiceId], list[TargetId]]
        places = defaultdict(list)
        for target in targets:
            place = (target.failure_domain, target.service)
            places[place].append(target.id)
        self.found = {}
        for (domain, service), names in places.items():
            self._deal_out_one(domain, service, names)

    def _deal_out_one(
        self, domain: FailureDomain, service: ServiceId, names: list[TargetId]
    ) -> None:
        """Deal out the targets that one service has in one failure domain."""
        room = self._parts(self._near_groups(domain), service, len(names))
        for name in sorted(names, key=lambda each: _rank(PLACES_RANK, each)):
            group = self._preferred([g for g in room if room[g]], name)
            if group is not None:
                room[group] -= 1
            self.found[name] = group

    def _parts(
        self, groups: Sequence[GroupId], service: ServiceId, count: int
    ) -> dict[GroupId, int]:
        """Return how many of `count` targets each group gets, by its hosts."""
        hosts = sum(len(self.hosts[group]) for group in groups)
        exact = {g: count * len(self.hosts[g]) / hosts for g in groups}
        parts = {group: int(part) for group, part in exact.items()}
        left = count - sum(parts.values())
        # Whoever lacks most of its exact part has one of those left over.
        short = sorted(
            groups,
            key=lambda g: (parts[g] - exact[g], _rank(service, str(g.number))),
        )
        for group in short[:left]:
            parts[group] += 1
        return parts

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
        return self._preferred(self._near_groups(domain), target)

    def _near_groups(self, domain: FailureDomain) -> Sequence[GroupId]:
        """Return the groups of a failure domain, or all if it has none."""
        return self.by_domain.get(domain) or list(self.hosts)

    def _preferred(
        self, groups: Sequence[GroupId], target: TargetId
    ) -> GroupId | None:
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
