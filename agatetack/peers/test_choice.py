"""Test the graph of links for many fleet sizes and the duplicate filter."""

import pytest

from agatetack.ids import FailureDomain, HostId
from agatetack.peers.choice import choose_peers
from agatetack.peers.relay import (
    DUPLICATE_WINDOW_MESSAGES,
    MAX_ORIGINS,
    DuplicateFilter,
    Verdict,
)

MAX_PEERS = 16


def links_of(count: int, domains: int) -> dict[HostId, set[HostId]]:
    """Return each host's links, those it dials and those it accepts."""
    fleet = {
        HostId(f"gateway-{n}"): FailureDomain(f"domain-{n % domains}")
        for n in range(count)
    }
    links = {host: set() for host in fleet}
    for host in fleet:
        for peer in choose_peers(host, fleet, MAX_PEERS):
            links[host].add(peer)
            links[peer].add(host)
    return links


def reached(links, start, lost=frozenset()) -> set[HostId]:
    """Return the hosts reachable over hosts that are not lost."""
    found, todo = {start}, [start]
    while todo:
        new = links[todo.pop()] - found - lost
        found |= new
        todo.extend(new)
    return found


@pytest.mark.parametrize("count", [2, 14, 17, 18, 50, 200, 400])
@pytest.mark.parametrize("domains", [1, 3, 6, 1000])
def test_graph_is_connected_and_bounded(count, domains):
    links = links_of(count, domains)
    degrees = [len(peers) for peers in links.values()]
    if count <= MAX_PEERS + 1:
        assert degrees == [count - 1] * count
        return
    assert max(degrees) <= 2 * MAX_PEERS
    assert sum(degrees) / count <= MAX_PEERS
    hosts = list(links)
    assert len(reached(links, hosts[0])) == count
    # It stays connected when a whole failure domain is lost.
    if domains in (3, 6):
        lost = frozenset(hosts[::domains])
        assert len(reached(links, hosts[1], lost)) == count - len(lost)


def test_a_new_host_changes_few_choices():
    hosts = [HostId(f"gateway-{n}") for n in range(201)]
    before = dict.fromkeys(hosts[:200], FailureDomain("d"))
    after = dict.fromkeys(hosts, FailureDomain("d"))
    changed = sum(
        choose_peers(host, before, MAX_PEERS)
        != choose_peers(host, after, MAX_PEERS)
        for host in before
    )
    assert 0 < changed <= MAX_PEERS


NEW, DUPLICATE, OLD = Verdict.NEW, Verdict.DUPLICATE, Verdict.OLD_INCARNATION


@pytest.mark.parametrize(
    "steps",
    [
        [(1, 1, NEW), (1, 1, DUPLICATE), (1, 2, NEW), (1, 1, DUPLICATE)],
        [(1, 5, NEW), (1, 3, NEW), (1, 4, NEW), (1, 3, DUPLICATE)],
        [(2, 1, NEW), (1, 9, OLD), (2, 1, DUPLICATE), (3, 1, NEW), (2, 5, OLD)],
        [
            (1, 1, NEW),
            (1, DUPLICATE_WINDOW_MESSAGES + 1, NEW),
            (1, 1, DUPLICATE),
            (1, 2, NEW),
        ],
        [
            (1, 2**62, NEW),
            (1, 2**62 - DUPLICATE_WINDOW_MESSAGES, DUPLICATE),
            (1, -5, DUPLICATE),
        ],
    ],
)
def test_duplicates(steps):
    seen = DuplicateFilter()
    for incarnation, sequence, verdict in steps:
        assert seen.check("a", incarnation, sequence) is verdict


def test_origins_are_bounded():
    seen = DuplicateFilter()
    for number in range(MAX_ORIGINS + 10):
        seen.check(f"h{number}", 1, 1)
    assert len(seen.origins) == MAX_ORIGINS
