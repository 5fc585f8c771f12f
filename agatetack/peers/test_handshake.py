"""Test that no bytes on one connection harm the host or other links."""

import contextlib
import dataclasses

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from agatetack.generated.peers import ttypes
from agatetack.ids import HostId
from agatetack.peers.connector import MAX_HANDSHAKES, MAX_LINKS_RATIO
from agatetack.peers.exchange import Topic
from agatetack.peers.frames import (
    FrameReader,
    LinkClosed,
    decode_frame,
    encode_frame,
)
from agatetack.peers.handshake import Side, compute_proof, perform_handshake
from agatetack.testing.peer_fleet import LOOPBACK
from agatetack.testing.peer_net import PeerNet, closed

HOST, GOOD, RAW = HostId("host"), HostId("good"), HostId("raw")
KEY = "secret"


def hello(**fields: object) -> ttypes.Hello:
    usual = {
        "version": 1,
        "host": RAW,
        "incarnation": 7,
        "failure_domain": "domain-a",
        "nonce": b"n" * 16,
        "ip": "127.0.0.9",
        "port": 1,
    }
    return ttypes.Hello(**{**usual, **fields})


def framed(**kind: object) -> bytes:
    return encode_frame(ttypes.Frame(**kind))


class RawPeer:
    """A peer that sends arbitrary bytes to a host."""

    def __init__(self, host, nursery, ip: str = LOOPBACK):
        """Open a connection to `host` that comes from `ip`."""
        self.stream, far = trio.testing.memory_stream_pair()
        self.reader = FrameReader(self.stream, lambda count: None)
        nursery.start_soon(host.connector.serve_accepted, far, ip)

    async def perform_handshake(self, name: str = RAW) -> None:
        await perform_handshake(
            Side.DIALLING,
            KEY,
            hello(host=name),
            self.reader,
            self.stream.send_all,
            lambda theirs: None,
        )


@dataclasses.dataclass
class Refused:
    """Bytes sent on a connection and the expected close reason."""

    name: str
    reason: str
    content: bytes
    proved: bool = False
    key: str | None = KEY
    ip: str = LOOPBACK


CASES = [
    Refused("other version", "wrong-version", framed(hello=hello(version=2))),
    Refused("no frame", "malformed-frame", b"\0\0\0\4abcd"),
    Refused("empty frame", "malformed-frame", b"\0\0\0\1\0"),
    Refused("http", "oversized-frame", b"GET / HTTP/1.1\r\n\r\n"),
    Refused("large hello", "oversized-frame", b"\0\0\x10\0" + bytes(4096)),
    Refused("cut short", "silent", b"\0\0\1\0ab"),
    Refused("says nothing", "silent", b""),
    Refused("own name", "wrong-host", framed(hello=hello(host=HOST))),
    Refused("bad name", "malformed-frame", framed(hello=hello(host="a b"))),
    Refused("bad port", "malformed-frame", framed(hello=hello(port=-1))),
    Refused("bad ip", "malformed-frame", framed(hello=hello(ip="h.example"))),
    Refused("no ip", "malformed-frame", framed(hello=hello(ip=""))),
    Refused("short nonce", "malformed-frame", framed(hello=hello(nonce=b"1"))),
    Refused("two kinds", "malformed-frame",
            framed(hello=hello(), proof=ttypes.Proof(b""))),
    Refused("field missing", "malformed-frame",
            framed(hello=hello(incarnation=None))),
    Refused("heartbeat first", "unexpected-frame",
            framed(heartbeat=ttypes.Heartbeat(1, 0))),
    Refused("no proof", "unexpected-frame",
            framed(hello=hello()) + framed(hello=hello())),
    Refused("wrong proof", "wrong-key",
            framed(hello=hello()) + framed(proof=ttypes.Proof(b"x" * 32))),
    Refused("empty proof", "wrong-key",
            framed(hello=hello()) + framed(proof=ttypes.Proof(b""))),
    Refused("proof but no key here", "wrong-key", key=None,
            content=framed(hello=hello())
            + framed(proof=ttypes.Proof(b"x" * 32))),
    Refused("not listed", "not-listed", key=None, ip="127.0.0.9",
            content=framed(hello=hello())),
    Refused("oversized later", "oversized-frame", b"\x7f\0\0\0", True),
    Refused("malformed later", "malformed-frame", b"\0\0\0\2\xff\xff", True),
    Refused("deeply nested", "malformed-frame",
            (100_001).to_bytes(4, "big") + b"\xfc" + b"\x1c" * 100_000, True),
    Refused("hello twice", "unexpected-frame", framed(hello=hello()), True),
    Refused("silence later", "silent", b"", True),
    Refused("call without end", "oversized-frame", 80 * framed(
        call=ttypes.Call(1, 8, bytes(60_000), True)), True),
    Refused("calls without end", "unexpected-frame", b"".join(
        framed(call=ttypes.Call(n, 8, b"", True)) for n in range(99)), True),
]  # fmt: skip


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
async def test_refused_connection(nursery, autojump_clock, case):
    net = PeerNet(nursery, shared_key=case.key)
    host = await net.start(HOST)
    await net.start(GOOD)
    await trio.sleep(2)
    [link] = host.connector.links.values()
    raw = RawPeer(host, nursery, case.ip)
    if case.proved:
        await raw.perform_handshake()
    await raw.stream.send_all(case.content)
    await trio.sleep(5)
    assert closed(host, case.reason) == 1
    assert RAW not in host.connector.links
    assert host.connector.handshakes == 0
    # The link with the other host is unaffected.
    assert host.connector.links == {GOOD: link}
    host.publish(Topic.TARGET_SIGNS, b"x")
    await trio.sleep(1)
    assert net.heard[GOOD] == [(Topic.TARGET_SIGNS, HOST, b"x")]
    nursery.cancel_scope.cancel()


async def test_peer_that_never_acknowledges_is_closed(nursery, autojump_clock):
    net = PeerNet(nursery, shared_key=KEY)
    host = await net.start(HOST)
    raw = RawPeer(host, nursery)
    await raw.perform_handshake()
    for number in range(1, 10):
        await trio.sleep(0.2)
        assert RAW in host.connector.links
        beat = ttypes.Heartbeat(number, 0)
        await raw.stream.send_all(framed(heartbeat=beat))
    await trio.sleep(0.4)
    assert closed(host, "unacknowledged") == 1
    assert RAW not in host.connector.links
    nursery.cancel_scope.cancel()


async def test_connections_are_bounded(nursery, autojump_clock):
    net = PeerNet(nursery, shared_key=KEY, max_peers=1)
    host = await net.start(HOST)
    for _ in range(MAX_HANDSHAKES + 2):
        RawPeer(host, nursery)
    await trio.sleep(1)
    assert closed(host, "too-many") == 2
    await trio.sleep(5)
    for number in range(MAX_LINKS_RATIO + 3):
        with contextlib.suppress(LinkClosed):
            await RawPeer(host, nursery).perform_handshake(f"raw{number}")
    assert len(host.connector.links) == MAX_LINKS_RATIO
    assert closed(host, "too-many") == 2 + 3
    nursery.cancel_scope.cancel()


async def test_recorded_proofs_serve_nobody(nursery, autojump_clock):
    net = PeerNet(nursery, shared_key=KEY)
    host = await net.start(HOST)
    hello_frames = framed(hello=hello()), b"met"
    assert compute_proof(KEY, Side.DIALLING, *hello_frames) != compute_proof(
        KEY, Side.ACCEPTING, *hello_frames
    )
    raw = RawPeer(host, nursery)
    sent = bytearray()
    honest = raw.stream.send_all

    async def record(content: bytes) -> None:
        sent.extend(content)
        await honest(content)

    raw.stream.send_all = record
    await raw.perform_handshake()
    replay = RawPeer(host, nursery)
    await replay.stream.send_all(bytes(sent))
    await trio.sleep(0.1)
    assert closed(host, "wrong-key") == 1
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(("key", "seen"), [("other", 0), (None, 0), (KEY, 1)])
async def test_hosts_with_other_keys_never_link(
    nursery, autojump_clock, key, seen
):
    net = PeerNet(nursery)
    first = await net.start(HOST, shared_key=KEY)
    second = await net.start(GOOD, shared_key=key)
    await trio.sleep(10)
    assert len(first.live_peers()) == len(second.live_peers()) == seen
    refused = closed(first, "wrong-key") + closed(second, "wrong-key")
    assert (refused > 0) == (seen == 0)
    nursery.cancel_scope.cancel()


FRAMES = st.one_of(
    st.binary(max_size=60),
    st.binary(max_size=60).map(lambda b: len(b).to_bytes(4, "big") + b),
    st.builds(
        lambda frame, at, byte: (
            frame[: at % len(frame)] + bytes([byte]) + frame[at % len(frame) :]
        ),
        st.sampled_from(
            [
                framed(hello=hello()),
                framed(heartbeat=ttypes.Heartbeat(1, 0)),
                framed(publish=ttypes.Publish(RAW, 7, 1, 3, b"x")),
                framed(call=ttypes.Call(1, 8, b"x")),
                framed(reply=ttypes.Reply(1, b"x")),
                framed(missing=ttypes.Missing([HOST])),
            ]
        ),
        st.integers(0, 200),
        st.integers(0, 255),
    ),
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(proved=st.booleans(), frames=st.lists(FRAMES, max_size=4))
def test_any_bytes_harm_no_other_link(proved, frames):
    async def check() -> None:
        async with trio.open_nursery() as nursery:
            net = PeerNet(nursery, shared_key=KEY)
            host = await net.start(HOST)
            await net.start(GOOD)
            await trio.sleep(2)
            [link] = host.connector.links.values()
            raw = RawPeer(host, nursery)
            if proved:
                await raw.perform_handshake()
            with contextlib.suppress(trio.BrokenResourceError):
                for content in frames:
                    await raw.stream.send_all(content)
            await trio.sleep(5)
            assert host.connector.links == {GOOD: link}
            assert host.fleet_size() <= 3
            nursery.cancel_scope.cancel()

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_a_frame_or_malformed(content):
    try:
        frame = decode_frame(content)
    except LinkClosed:
        return
    assert decode_frame(encode_frame(frame)[4:]) == frame
