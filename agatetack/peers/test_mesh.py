"""Check what exchanges of a whole fleet tell each other."""

import pytest
import trio

from agatetack.ids import Deadline, HostId
from agatetack.peers.exchange import PeerUnreachable, Topic
from agatetack.testing.peer_fleet import start_fleet

FAST = {"heartbeat_seconds": 0.05, "timeout_seconds": 0.3}
"""Timings that let a test see links fail soon."""


async def wait_until(condition, seconds=5.0):
    """Wait until `condition()` is true; fail after `seconds`."""
    with trio.fail_after(seconds):
        while not condition():
            await trio.sleep(0.005)


@pytest.mark.parametrize("key", [None, "secret"])
async def test_all_peers_link_publish_and_call(nursery, key):
    fleet = await start_fleet(nursery, ["g0", "g1", "g2"], shared_key=key)
    first, second, third = fleet.values()
    await wait_until(
        lambda: all(len(host.live_peers()) == 2 for host in fleet.values())
    )
    heard = []
    third.subscribe(Topic.TARGET_SIGNS, lambda *got: heard.append(got))

    async def reverse(sender: HostId, payload: bytes) -> bytes:
        return payload[::-1]

    second.serve(Topic.EXPLAIN, reverse)
    first.publish(Topic.TARGET_SIGNS, b"sign")
    await wait_until(lambda: heard)
    assert heard == [("g0", b"sign")]
    assert first.fleet_size() == 3
    deadline = Deadline(trio.current_time() + 5)
    payload = bytes(range(256)) * 40
    reply = await first.call(second.own, Topic.EXPLAIN, payload, deadline)
    assert reply == payload[::-1]
    with pytest.raises(PeerUnreachable):
        await first.call(third.own, Topic.EXPLAIN, b"", deadline)
