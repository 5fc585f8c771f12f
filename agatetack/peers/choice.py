"""Choose the hosts that a host connects to, a bounded number in a large fleet.

Every host ranks the others by a hash of the pair (rendezvous hashing). So a
host that joins or leaves changes few links, and hosts with the same list make
consistent choices without coordination. The choice always includes the next
host in hash order: these links alone form a ring over the whole fleet.
"""

from collections.abc import Collection, Iterable, Mapping

import xxhash

from agatetack.ids import FailureDomain, HostId
from agatetack.peers.groups import Groups

LEADER_LINKS_RATIO = 0.5
"""Maximum links of a leader to leaders of other groups per `max_peers`.

If there are more groups, a leader has links with some of the others only.
"""

MAX_SECOND_LEADER_LINKS = 3
"""Maximum number of leaders of other groups that a second leader dials.

The second leader of a group replaces the first one if that is lost.
"""


def choose_peers(
    own: HostId,
    domains: Mapping[HostId, FailureDomain],
    max_peers: int,
    unreachable: Collection[HostId] = (),
    groups: Groups | None = None,
) -> frozenset[HostId]:
    """Return the hosts that `own` dials.

    If there are at most `max_peers` others, all are chosen. Otherwise a host
    chooses the hosts of its group, and a leader of the group also chooses
    leaders of other groups.

    Args:
        own: The host that chooses.
        domains: The failure domain of each known host, `own` included.
        max_peers: The intended maximum number of links of a host.
        unreachable: Hosts that were unreachable when last dialled.
        groups: The groups of `domains`, if already computed.
    """
    others = [host for host in domains if host != own]
    if len(others) <= max_peers:
        return frozenset(others)
    groups = groups or Groups(domains, max_peers)
    group = groups.group_of[own]
    chosen = {host for host in groups.hosts[group] if host != own}
    chosen.add(_next_in_hash_order(own, others))
    leaders = groups.leaders(group, unreachable)
    if own in leaders:
        other_leaders = [
            h for h in groups.first_leaders(unreachable) if h not in leaders
        ]
        max_links = int(max_peers * LEADER_LINKS_RATIO)
        # If only some are chosen, about as many leaders choose this host, so
        # each side dials half of the links.
        count = (
            len(other_leaders)
            if len(other_leaders) <= max_links
            else max_links // 2
        )
        if own != leaders[0]:
            count = min(count, MAX_SECOND_LEADER_LINKS)
        chosen.update(_lowest_ranked(own, other_leaders, count))
    return frozenset(chosen)


def pair_rank(first: str, second: str) -> int:
    """Return the rank of a pair of hosts, whatever their order."""
    low, high = sorted((first, second))
    return _hash(f"{low}|{high}")


def _lowest_ranked(
    own: HostId, hosts: Iterable[HostId], count: int
) -> list[HostId]:
    ranked = sorted(hosts, key=lambda host: pair_rank(own, host))
    return ranked[: max(0, count)]


def _next_in_hash_order(own: HostId, others: Iterable[HostId]) -> HostId:
    start = _hash(own)

    def distance(host: HostId) -> int:
        return (_hash(host) - start) % 2**64

    return min(others, key=distance)


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
