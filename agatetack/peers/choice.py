"""Choose the few hosts that a host keeps links with in a large fleet.

Every host ranks the others by a hash of the pair (rendezvous hashing), so a
host that joins or leaves changes few links, and hosts with the same list come
to matching choices without a word. The next host in hash order is always
among them: those links alone form one ring over the whole fleet.
"""

from collections.abc import Iterable, Mapping

import xxhash

from agatetack.ids import FailureDomain, HostId

NEAR_SHARE = 0.375
"""Share of a host's own choices that fall into its failure domain."""

FAR_LINKS = 2
"""Hosts of each other failure domain that a host dials at least, one of which
passes its messages on there; the second is there when the first is lost."""


def choose_peers(
    own: HostId,
    domains: Mapping[HostId, FailureDomain],
    max_peers: int,
) -> frozenset[HostId]:
    """Return the hosts that `own` dials.

    Up to `max_peers` others all are chosen. Above that a host chooses all of
    its failure domain and a few of each other one, if it has `max_peers` links
    then. In a still larger fleet it chooses half of `max_peers`, as about as
    many others choose it.

    Args:
        own: The host that chooses.
        domains: The failure domain of each known host, `own` included.
        max_peers: How many links a host should have.
    """
    others = [host for host in domains if host != own]
    if len(others) <= max_peers:
        return frozenset(others)
    near = [host for host in others if domains[host] == domains[own]]
    far = [host for host in others if domains[host] != domains[own]]
    chosen = {_next_in_hash_order(own, others)}
    far_domains = {domains[host] for host in far}
    # A host dials some and about as many dial it.
    far_links = 2 * (FAR_LINKS * len(far_domains) + 1)
    if len(near) + far_links <= max_peers:
        chosen.update(near)
        for domain in far_domains:
            there = [host for host in far if domains[host] == domain]
            chosen.update(_best(own, there, FAR_LINKS))
        return frozenset(chosen)
    own_choices = max(2, max_peers // 2)
    near_count = max(1, round(own_choices * NEAR_SHARE))
    chosen.update(_best(own, near, near_count))
    chosen.update(_best(own, far, own_choices - len(chosen)))
    # A domain that has too few hosts leaves its places to any.
    rest = [host for host in others if host not in chosen]
    chosen.update(_best(own, rest, own_choices - len(chosen)))
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
