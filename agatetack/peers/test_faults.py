"""Test links, membership and messages under single and paired faults."""

import dataclasses
import itertools
from collections.abc import Awaitable, Callable

import pytest
import trio

from agatetack.ids import HostId
from agatetack.peers.exchange import Topic
from agatetack.peers.relay import FORWARDERS_PER_MISSING_LINK
from agatetack.testing.peer_fleet import listed
from agatetack.testing.peer_net import PeerNet, closed, dropped

A, B, C = HostId("a"), HostId("b"), HostId("c")
SETTLE = 6
"""Seconds until links are re-established or considered lost."""


async def three_hosts(nursery, **peers) -> PeerNet:
    """Return a net of the hosts a, b and c with all their links."""
    net = PeerNet(nursery, **peers)
    for name in (A, B, C):
        await net.start(name)
    await trio.sleep(SETTLE)
    return net


def peers_of(net: PeerNet, name: HostId) -> set[HostId]:
    return {peer.id for peer in net.hosts[name].live_peers()}


async def no_fault(net: PeerNet) -> None:
    """Cause no fault."""


async def silent_link(net: PeerNet) -> None:
    """Lose all bytes on the open connection between a and b."""
    net.silence(A, B)


async def cut_for_a_time(net: PeerNet) -> None:
    """Partition a and b from each other, then heal the partition."""
    net.cut(A, B)
    await trio.sleep(SETTLE)
    assert B not in peers_of(net, A)
    assert A not in peers_of(net, B)
    net.heal()


async def one_way(net: PeerNet) -> None:
    """Lose what a sends to b for a time, but not what b sends to a."""
    net.lossy.add((A, B))
    await trio.sleep(SETTLE)
    assert B not in peers_of(net, A)
    assert A not in peers_of(net, B)
    net.heal()


async def paused_host(net: PeerNet) -> None:
    """Suspend b for a time; then all delayed bytes arrive both ways."""
    both_ways = itertools.product((A, C), (B,))
    net.held |= {d for x, y in both_ways for d in ((x, y), (y, x))}
    await trio.sleep(SETTLE)
    assert B not in peers_of(net, A) | peers_of(net, C)
    net.heal()


async def restart(net: PeerNet) -> None:
    """Restart b with the same id and a higher incarnation."""
    before = net.hosts[B].incarnation
    net.stop(B)
    await net.start(B)
    await trio.sleep(SETTLE)
    seen = [p.incarnation for p in net.hosts[A].live_peers() if p.id == B]
    assert all(incarnation > before for incarnation in seen)


async def list_lost(net: PeerNet) -> None:
    """Remove c from the list while it runs."""
    net.unlist(C)


Fault = Callable[[PeerNet], Awaitable[None]]
FAULTS: list[Fault] = [
    no_fault,
    silent_link,
    cut_for_a_time,
    one_way,
    paused_host,
    restart,
    list_lost,
]


@pytest.mark.parametrize(
    ("first", "second"),
    list(itertools.combinations_with_replacement(FAULTS, 2)),
    ids=lambda fault: fault.__name__,
)
async def test_fleet_recovers(nursery, autojump_clock, first, second):
    net = await three_hosts(nursery, shared_key="k")
    await first(net)
    await second(net)
    await trio.sleep(SETTLE)
    for name, host in net.hosts.items():
        assert peers_of(net, name) == {A, B, C} - {name}
        assert host.fleet_size() == 3
        host.publish(Topic.TARGET_SIGNS, name.encode())
    await trio.sleep(1)
    for name in net.hosts:
        others = sorted({A, B, C} - {name})
        assert origins(net, name, Topic.TARGET_SIGNS) == others
    nursery.cancel_scope.cancel()


def forwarded_messages(net: PeerNet) -> int:
    """Return how many messages of others all hosts have forwarded."""
    counted = [host.counters.relayed.values for host in net.hosts.values()]
    return sum(sum(values.values()) for values in counted)


def sent_bytes(host) -> int:
    host.counters.flush()
    return host.counters.bytes.get({"direction": "sent"})


def origins(net: PeerNet, name: HostId, topic: Topic) -> list[HostId]:
    return sorted(o for about, o, _ in net.heard[name] if about is topic)


async def test_links_are_found_silent_and_reopened(nursery, autojump_clock):
    net = await three_hosts(nursery)
    assert closed(net.hosts[A], "silent") == 0
    await silent_link(net)
    await trio.sleep(SETTLE)
    reasons = ("silent", "unacknowledged")
    assert sum(closed(net.hosts[A], reason) for reason in reasons) == 1
    assert B in peers_of(net, A)
    assert A in peers_of(net, B)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("more", [(), ("d", "e", "f")])
async def test_hosts_without_a_link_hear_each_other_once(
    nursery, autojump_clock, more
):
    net = await three_hosts(nursery)
    for name in more:
        await net.start(name)
    net.cut(A, B)
    await trio.sleep(SETTLE)
    before = forwarded_messages(net)
    for topic in (Topic.CONFIG_RECORDS, Topic.LOAD_SAMPLES):
        net.hosts[A].publish(topic, b"x")
    await trio.sleep(0.1)
    relays = min(FORWARDERS_PER_MISSING_LINK, len(net.hosts) - 2)
    assert forwarded_messages(net) - before == relays
    for name in net.hosts.keys() - {A}:
        assert origins(net, name, Topic.CONFIG_RECORDS) == [A]
        direct = [] if name == B else [A]
        assert origins(net, name, Topic.LOAD_SAMPLES) == direct
    # A forwarded message doesn't make its origin a live peer.
    assert B not in peers_of(net, A)
    assert net.hosts[A].fleet_size() == len(net.hosts)
    nursery.cancel_scope.cancel()


async def test_host_that_moved_is_dialled_at_its_listed_address(
    nursery, autojump_clock
):
    net = await three_hosts(nursery, shared_key="k")
    net.stop(B)
    net.refused |= {(B, A), (B, C)}
    moved = await net.start(B)
    await trio.sleep(SETTLE)
    seen = {p.id: p.incarnation for p in net.hosts[A].live_peers()}
    assert seen[B] == moved.incarnation
    nursery.cancel_scope.cancel()


async def test_past_incarnation_is_refused(nursery, autojump_clock):
    net = await three_hosts(nursery, shared_key="k")
    old = net.hosts[B]
    new = await net.start(B)
    await trio.sleep(SETTLE)
    for host in (A, C):
        [seen] = [p for p in net.hosts[host].live_peers() if p.id == B]
        assert seen.incarnation == new.incarnation
    # The old incarnation still runs, publishes and dials again.
    old.publish(Topic.TARGET_SIGNS, b"from the past")
    await trio.sleep(SETTLE)
    assert old.live_peers() == []
    assert closed(net.hosts[A], "old-incarnation") > 0
    assert origins(net, A, Topic.TARGET_SIGNS) == []
    assert net.hosts[A].fleet_size() == 3
    # A late announcement that the old incarnation is leaving doesn't affect the
    # new one.
    old.announce_leaving()
    late = net.hosts[A].announcements.to_member(old.identity.member())
    assert not net.hosts[A].members.update(late)
    assert not net.hosts[A].members.known[B].leaving
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("fault", [None, "cut", "budget"])
async def test_leaving_is_heard_at_once(nursery, autojump_clock, fault):
    net = await three_hosts(nursery)
    if fault == "cut":
        net.cut(A, B)
        await trio.sleep(SETTLE)
    if fault == "budget":
        # Between two heartbeats and with too few tokens for a message.
        await trio.sleep(0.2)
        net.hosts[B].budget.tokens *= 0.3
    net.hosts[B].announce_leaving()
    await trio.sleep(0.1)
    assert net.hosts[A].members.known[B].leaving
    [seen] = [p for p in net.hosts[C].live_peers() if p.id == B]
    assert seen.leaving
    net.unlist(B)
    net.stop(B)
    await trio.sleep(SETTLE)
    assert net.hosts[C].fleet_size() == 2
    nursery.cancel_scope.cancel()


async def test_fleet_size_is_the_larger_view(nursery, autojump_clock):
    net = await three_hosts(nursery)
    net.unlist(C)
    net.unlist(B)
    await trio.sleep(SETTLE)
    assert peers_of(net, A) == {B, C}
    assert net.hosts[A].fleet_size() == 3
    net.cut(A, B)
    net.cut(A, C)
    await trio.sleep(SETTLE)
    # Both may still be running and use their shares of budgets, so they count
    # until they are considered dead.
    assert net.hosts[A].fleet_size() == 3
    await trio.sleep(60)
    assert net.hosts[A].fleet_size() == 1
    net.directory.replace([listed(host) for host in net.hosts.values()])
    assert net.hosts[A].fleet_size() == 3
    nursery.cancel_scope.cancel()


async def test_link_with_a_past_incarnation_is_closed(nursery, autojump_clock):
    net = await three_hosts(nursery)
    assert B in peers_of(net, A)
    # The new incarnation can't reach a, which learns of it through c.
    net.refused |= {(A, B), (B, A)}
    await net.start(B)
    await trio.sleep(SETTLE)
    assert closed(net.hosts[A], "old-incarnation") > 0
    assert peers_of(net, A) == {C}
    nursery.cancel_scope.cancel()


async def test_second_connection_does_not_replace_a_live_link(
    nursery, autojump_clock
):
    net = await three_hosts(nursery)
    links = [net.hosts[A].connector.links[B], net.hosts[B].connector.links[A]]
    with trio.move_on_after(1):
        await net.hosts[B].connector._dial_once(A, lambda hello: None)
    assert closed(net.hosts[A], "duplicate") == 1
    await trio.sleep(SETTLE)
    assert net.hosts[A].connector.links[B] is links[0]
    assert net.hosts[B].connector.links[A] is links[1]
    nursery.cancel_scope.cancel()


async def test_another_host_at_a_listed_address_is_refused(
    nursery, autojump_clock
):
    net = await three_hosts(nursery)
    moved = dataclasses.replace(listed(net.hosts[A]), id=HostId("d"))
    net.directory.replace([*net.directory.hosts, moved])
    await trio.sleep(SETTLE)
    assert closed(net.hosts[B], "wrong-host") > 0
    assert peers_of(net, B) == {A, C}
    nursery.cancel_scope.cancel()


async def test_even_heartbeats_stay_within_the_budget(nursery, autojump_clock):
    rate, seconds = 150, 20
    net = await three_hosts(
        nursery, bytes_per_second=rate, heartbeat_seconds=0.05
    )
    host = net.hosts[A]
    before = sent_bytes(host)
    await trio.sleep(seconds)
    sent = sent_bytes(host) - before
    assert 0 < sent <= rate * (seconds + 1)
    refused = closed(host, "over-budget")
    assert refused + dropped(host, "control-over-budget") > 0
    nursery.cancel_scope.cancel()


async def test_announcements_use_a_small_share_of_the_budget(
    nursery, autojump_clock
):
    rate = 20_000
    net = PeerNet(nursery, bytes_per_second=rate, max_peers=4)
    for number in range(60):
        await net.start(f"h{number:02}")
    hosts = list(net.hosts.values())
    await trio.sleep(0.6)
    assert sum(dropped(h, "publish-over-budget") for h in hosts) > 0
    # All hosts have just announced themselves, and most of the budget is left.
    assert all(h.budget.tokens > rate * 0.75 for h in hosts)
    await trio.sleep(3)
    hosts[0].publish(Topic.CONFIG_RECORDS, b"x")
    # Leaving is announced even if the announcements' share is used up.
    for host in hosts:
        host.budget.announcements.rate = 0
        host.budget.announcements.tokens = 0
    hosts[1].announce_leaving()
    await trio.sleep(1)
    for host in hosts[2:]:
        assert origins(net, host.own, Topic.CONFIG_RECORDS) == [hosts[0].own]
        assert host.members.known[hosts[1].own].leaving
    nursery.cancel_scope.cancel()


async def test_budget_holds_and_keeps_links(nursery, autojump_clock):
    rate, seconds = 5000, 20
    net = await three_hosts(nursery, bytes_per_second=rate)
    host = net.hosts[A]
    host.publish(Topic.LOAD_SAMPLES, bytes(rate // 2))
    assert dropped(host, "publish-too-large") == 1
    sent_before = sent_bytes(host)
    for _ in range(seconds * 100):
        host.publish(Topic.LOAD_SAMPLES, bytes(200))
        await trio.sleep(0.01)
    sent = sent_bytes(host) - sent_before
    assert rate * seconds * 0.8 < sent <= rate * (seconds + 1)
    assert dropped(host, "publish-over-budget") > 0
    assert closed(host, "silent") + closed(host, "unacknowledged") == 0
    assert peers_of(net, A) == {B, C}
    # The budget was shared about equally by the others.
    got = [len(net.heard[name]) for name in (B, C)]
    assert min(got) > max(got) * 0.7
    nursery.cancel_scope.cancel()
