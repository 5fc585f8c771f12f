"""Test the exchange of messages among the hosts of a fleet."""

import dataclasses

import pytest
import trio
import trustme

from agatetack.generated.peers import ttypes
from agatetack.ids import Deadline, HostId
from agatetack.peers.exchange import PeerUnreachable, Scope, Topic
from agatetack.peers.frames import (
    LENGTH_BYTES,
    CloseReason,
    LinkClosed,
    decode_frame,
    encode_frame,
)
from agatetack.testing.peer_fleet import (
    StaticDirectory,
    listed,
    new_exchange,
    start_fleet,
)

FAST = {"heartbeat_seconds": 0.05, "timeout_seconds": 0.3}
"""Timings with which links fail quickly."""

PATIENT = {"heartbeat_seconds": 1.0, "timeout_seconds": 30.0}
"""Timings that keep links open while the test process is stalled.

Otherwise a link would be closed as silent and lose its messages.
"""


async def wait_until(condition, seconds=5.0):
    """Wait until `condition()` is true; fail after `seconds`."""
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.005)


def pem_files(directory, authority: trustme.CA) -> dict[str, str]:
    """Write a host's TLS files and return their paths."""
    issued = authority.issue_cert("fleet.example")
    blobs = {
        "certificate": issued.cert_chain_pems[0],
        "key": issued.private_key_pem,
        "authority": authority.cert_pem,
    }
    directory.mkdir()
    for name, blob in blobs.items():
        blob.write_to_path(str(directory / name))
    return {name: str(directory / name) for name in blobs}


@pytest.mark.parametrize("ours", [None, "fleet"])
@pytest.mark.parametrize("theirs", [None, "fleet", "stranger"])
async def test_tls_links_hosts_of_one_authority(
    nursery, tmp_path, ours, theirs
):
    authorities = {"fleet": trustme.CA(), "stranger": trustme.CA()}
    directory = StaticDirectory()
    hosts = []
    for name, authority in (("g0", ours), ("g1", theirs)):
        files = None
        if authority is not None:
            files = pem_files(tmp_path / name, authorities[authority])
        host = new_exchange(name, directory, tls=files, **FAST)
        await nursery.start(host.run)
        hosts.append(host)
    directory.replace([listed(host) for host in hosts])
    if ours == theirs:
        await wait_until(lambda: all(h.live_peers() for h in hosts))
        return

    def refusals() -> int:
        seen = [h.counters.closed.get_all() for h in hosts]
        return sum(count for each in seen for _, count in each)

    await wait_until(lambda: refusals() >= 6)
    assert not any(h.live_peers() for h in hosts)


# Guards against links refused for a source address that the kernel chose.
async def test_hosts_with_two_addresses_of_one_machine_link(nursery):
    directory = StaticDirectory()
    hosts, entries = [], []
    for name, ip in (("g0", "127.0.0.2"), ("g1", "127.0.0.3")):
        listen = {"ip": ip, "port": 0}
        host = new_exchange(name, directory, listen=listen, **FAST)
        await nursery.start(host.run)
        hosts.append(host)
        entries.append(dataclasses.replace(listed(host), ip=ip))
    directory.replace(entries)
    await wait_until(lambda: all(h.live_peers() for h in hosts))


@pytest.mark.parametrize("key", [None, "secret"])
async def test_all_peers_link_publish_and_call(nursery, key):
    fleet = await start_fleet(nursery, ["g0", "g1", "g2"], shared_key=key)
    first, second, third = fleet.values()
    await wait_until(
        lambda: all(len(host.live_peers()) == 2 for host in fleet.values())
    )
    received = []
    third.subscribe(Topic.TARGET_SIGNS, lambda *got: received.append(got))

    async def reverse(sender: HostId, payload: bytes) -> bytes:
        return payload[::-1]

    second.serve(Topic.EXPLAIN, reverse)
    first.publish(Topic.TARGET_SIGNS, b"sign")
    await wait_until(lambda: received)
    assert received == [("g0", b"sign")]
    assert first.fleet_size() == 3
    deadline = Deadline(trio.current_time() + 5)
    payload = bytes(range(256)) * 40
    reply = await first.call(second.own, Topic.EXPLAIN, payload, deadline)
    assert reply == payload[::-1]
    with pytest.raises(PeerUnreachable):
        await first.call(third.own, Topic.EXPLAIN, b"", deadline)


@pytest.mark.parametrize("fills_in", [True, False])
async def test_hosts_that_need_the_origin_get_it(
    nursery, monkeypatch, fills_in
):
    directory = StaticDirectory()
    first = new_exchange("g0", directory, **PATIENT)
    second = new_exchange("g1", directory, **PATIENT)
    make_hello = second.identity.hello

    def hello():
        own_hello = make_hello()
        own_hello.fills_in_origin = fills_in or None
        return own_hello

    monkeypatch.setattr(second.identity, "hello", hello)
    for host in (first, second):
        await nursery.start(host.run)
    directory.replace([listed(first), listed(second)])
    await wait_until(lambda: first.live_peers() and second.live_peers())
    sizes = []
    link = first.connector.links[second.own]
    queue = link.publish
    monkeypatch.setattr(
        link,
        "publish",
        lambda content: sizes.append(len(content)) or queue(content),
    )
    received = []
    second.subscribe(Topic.IN_FLIGHT, lambda *got: received.append(got))
    first.publish(Topic.IN_FLIGHT, b"count")
    await wait_until(lambda: received)
    assert received == [("g0", b"count")]
    assert (sizes[0] < 20) is fills_in


@pytest.mark.parametrize(
    ("origin", "incarnation", "sound"),
    [
        (None, None, True),
        ("g0", 1, True),
        (None, 1, False),
        ("g0", None, False),
        ("g 0", 1, False),
    ],
)
def test_an_origin_comes_whole_or_not_at_all(origin, incarnation, sound):
    publish = ttypes.Publish(
        origin=origin,
        incarnation=incarnation,
        sequence=1,
        topic=1,
        payload=b"",
    )
    content = encode_frame(ttypes.Frame(publish=publish))[LENGTH_BYTES:]
    if sound:
        assert decode_frame(content).publish == publish
        return
    with pytest.raises(LinkClosed) as error:
        decode_frame(content)
    assert error.value.reason is CloseReason.MALFORMED_FRAME


def subscribe_all(fleet, topic=Topic.IN_FLIGHT):
    """Return the payloads of a topic that each host will receive."""
    received = {host: [] for host in fleet}
    for host, exchange in fleet.items():
        exchange.subscribe(
            topic,
            lambda sender, payload, host=host: received[host].append(payload),
        )
    return received


@pytest.mark.parametrize(
    ("max_peers", "scope", "reached"),
    [
        pytest.param(16, Scope.NEAR, "all", id="small fleet"),
        pytest.param(16, Scope.FAR, "none", id="nobody is left out of it"),
    ],
)
async def test_load_crosses_to_a_domain_once(
    nursery, max_peers, scope, reached
):
    names = [f"gateway-{n}" for n in range(14)]
    fleet = await start_fleet(
        nursery, names, max_peers=max_peers, domains=2, **PATIENT
    )
    await wait_until(
        lambda: all(len(e.live_peers()) >= 13 for e in fleet.values())
    )
    received = subscribe_all(fleet)
    far_senders = []
    for exchange in fleet.values():
        take = exchange.handle_frame

        def count(link, frame, exchange=exchange, take=take):
            far = link.failure_domain != exchange.failure_domain
            if far and frame.publish and frame.publish.payload == b"load":
                far_senders.append(link.id)
            take(link, frame)

        exchange.handle_frame = count
    sender = fleet[HostId("gateway-0")]
    sender.publish(Topic.IN_FLIGHT, b"load", scope)
    near = {
        host
        for host, exchange in fleet.items()
        if exchange.failure_domain == sender.failure_domain
        and exchange is not sender
    }
    others = fleet.keys() - {sender.own}
    wanted = {"all": others, "none": frozenset()}[reached]
    await wait_until(lambda: all(received[host] for host in wanted))
    await trio.sleep(0.05)
    assert {host for host, payloads in received.items() if payloads} == wanted
    assert all(len(payloads) <= 1 for payloads in received.values())
    assert len(far_senders) == (1 if wanted - near else 0)


async def test_a_frame_that_is_sent_in_parts_arrives_whole(nursery):
    fleet = await start_fleet(
        nursery, ["gateway-1", "gateway-2"], bytes_per_second=10**9, **PATIENT
    )
    one, two = fleet.values()
    await wait_until(lambda: one.live_peers() and two.live_peers())
    received = []
    two.subscribe(
        Topic.LOAD_SAMPLES, lambda _, payload: received.append(payload)
    )
    link = next(iter(one.connector.links.values()))
    # While a control frame is queued, messages aren't sent at once.
    await wait_until(lambda: not link.control and not link.sending)
    # More than the kernel buffers hold, as the other end isn't reading yet.
    sent = [bytes([number % 256]) * 50_000 for number in range(120)]
    for payload in sent:
        one.publish(Topic.LOAD_SAMPLES, payload)
    assert link.unsent
    link.send_heartbeat()
    await wait_until(lambda: not link.published and not link.unsent)
    one.publish(Topic.LOAD_SAMPLES, b"last")
    await wait_until(lambda: received and received[-1] == b"last")
    # Messages over the queue limit were dropped; the others arrived complete
    # and in order.
    kept = [payload for payload in sent if payload in set(received)]
    assert received == [*kept, b"last"]
    assert len(kept) > 50


@pytest.mark.parametrize(
    ("scope", "same_domain"), [(Scope.DOMAIN, True), (Scope.ELSEWHERE, False)]
)
async def test_some_messages_go_to_the_hosts_of_a_domain_only(
    nursery, scope, same_domain
):
    names = [f"gateway-{n}" for n in range(8)]
    fleet = await start_fleet(nursery, names, domains=2, **PATIENT)
    await wait_until(
        lambda: all(len(e.live_peers()) >= 7 for e in fleet.values())
    )
    received = subscribe_all(fleet, Topic.TOPIC_RECORDS)
    sender = fleet[HostId("gateway-0")]
    sender.publish(Topic.TOPIC_RECORDS, b"ends", scope)
    wanted = {
        host
        for host, exchange in fleet.items()
        if exchange is not sender
        and (exchange.failure_domain == sender.failure_domain) is same_domain
    }
    await wait_until(lambda: all(received[host] for host in wanted))
    await trio.sleep(0.05)
    assert {host for host, payloads in received.items() if payloads} == wanted


@pytest.mark.parametrize(
    ("rank", "scope", "reached"),
    [
        pytest.param(0, Scope.NEAR, "near", id="first leader, near"),
        pytest.param(0, Scope.FAR, "far", id="first leader, elsewhere"),
        pytest.param(0, Scope.ALL, "all", id="first leader, all"),
        pytest.param(-1, Scope.NEAR, "near", id="other host, near"),
        pytest.param(-1, Scope.FAR, "none", id="other host, elsewhere"),
        pytest.param(-1, Scope.ALL, "near", id="other host, all"),
    ],
)
async def test_load_in_a_large_fleet_stays_in_the_group_but_for_its_leader(
    nursery, rank, scope, reached
):
    # Two groups in each of two domains, of up to six hosts each.
    names = [f"gateway-{n}" for n in range(20)]
    fleet = await start_fleet(
        nursery, names, max_peers=12, domains=2, **PATIENT
    )

    def settled(exchange):
        connector = exchange.connector
        return (
            connector.is_grouped and connector.chosen <= connector.links.keys()
        )

    await wait_until(lambda: all(settled(e) for e in fleet.values()))
    received = subscribe_all(fleet)
    groups = fleet[HostId("gateway-0")].connector.groups
    members = max(groups.hosts.values(), key=len)
    sender = fleet[members[rank]]
    sender.publish(Topic.IN_FLIGHT, b"load", scope)
    near = set(members) - {sender.own}
    others = fleet.keys() - {sender.own}
    wanted = {
        "near": near,
        "far": others - near,
        "all": others,
        "none": frozenset(),
    }[reached]
    await wait_until(lambda: all(received[host] for host in wanted))
    await trio.sleep(0.05)
    assert {host for host, payloads in received.items() if payloads} == wanted
    assert all(len(payloads) <= 1 for payloads in received.values())


async def test_hosts_that_are_no_longer_chosen_are_not_taken_for_lost(nursery):
    directory = StaticDirectory()
    fleet = []
    for number in range(20):
        exchange = new_exchange(
            f"gateway-{number}", directory, 2, max_peers=12, **PATIENT
        )
        await nursery.start(exchange.run)
        fleet.append(exchange)
    few = fleet[:12]
    directory.replace([listed(exchange) for exchange in few])
    await wait_until(lambda: all(len(e.live_peers()) >= 11 for e in few))
    links = sum(len(e.connector.links) for e in fleet)
    directory.replace([listed(exchange) for exchange in fleet])

    def settled(exchange):
        connector = exchange.connector
        return (
            connector.is_grouped and connector.chosen <= connector.links.keys()
        )

    await wait_until(lambda: all(settled(e) for e in fleet))
    # Unneeded links were closed, and no host marked another one as lost because
    # of that.
    await wait_until(
        lambda: sum(len(e.connector.links) for e in fleet) < 0.75 * links
    )
    assert [
        e.connector.unreachable for e in fleet if e.connector.unreachable
    ] == []
