"""Choose the few hosts that a host keeps links with in a large fleet.

Every host ranks the others by a hash of the pair (rendezvous hashing), so a
host that joins or leaves changes few links, and hosts with the same list come
to matching choices without a word. The next host in hash order is always
among them: those links alone form one ring over the whole fleet.
"""

from collections.abc import Collection, Iterable, Mapping

import xxhash

from agatetack.ids import FailureDomain, HostId
from agatetack.peers.groups import Groups

LEADER_SHARE = 0.5
"""Most links between the leaders of groups, as a share of `max_peers`: in a
larger fleet a leader has links with some of the others."""

SECOND_LINKS = 3
"""Leaders of other groups that the second leader of a group dials; it stands
in for the first one."""


def choose_peers(
    own: HostId,
    domains: Mapping[HostId, FailureDomain],
    max_peers: int,
    lost: Collection[HostId] = (),
    groups: Groups | None = None,
) -> frozenset[HostId]:
    """Return the hosts that `own` dials.

    Up to `max_peers` others all are chosen. Above that a host chooses those of
    its group, and one that leads it chooses leaders of other groups too.

    Args:
        own: The host that chooses.
        domains: The failure domain of each known host, `own` included.
        max_peers: How many links a host should have.
        lost: Hosts that could not be reached when they were dialled last.
        groups: The groups of `domains`, if they are known already.
    """
    others = [host for host in domains if host != own]
    if len(others) <= max_peers:
        return frozenset(others)
    groups = groups or Groups(domains, max_peers)
    group = groups.group_of[own]
    chosen = {host for host in groups.hosts[group] if host != own}
    chosen.add(_next_in_hash_order(own, others))
    leaders = groups.leaders(group, lost)
    if own in leaders:
        far = [h for h in groups.first_leaders(lost) if h not in leaders]
        most = int(max_peers * LEADER_SHARE)
        # Where not all are chosen, about as many choose this one.
        count = len(far) if len(far) <= most else most // 2
        if own != leaders[0]:
            count = min(count, SECOND_LINKS)
        chosen.update(_best(own, far, count))
    return frozenset(chosen)


def pair_rank(first: str, second: str) -> int:
    """Return the rank of a pair of hosts, the same from either end."""
    low, high = sorted((first, second))
    return _hash(f"{low}|{high}")


def _best(own: HostId, hosts: Iterable[HostId], count: int) -> list[HostId]:
    ranked = sorted(hosts, key=lambda host: pair_rank(own, host))
    return ranked[: max(0, count)]


def _next_in_hash_order(own: HostId, others: Iterable[HostId]) -> HostId:
    start = _hash(own)

    def distance(host: HostId) -> int:
        return (_hash(host) - start) % 2**64

    return min(others, key=distance)


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
