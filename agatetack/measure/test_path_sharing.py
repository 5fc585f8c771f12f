"""Test what hosts tell each other of the targets that they can't reach."""

import pytest
import trio

from agatetack.ids import HostId
from agatetack.measure.path_sharing import (
    COLLECT_SECONDS,
    REPEAT_SECONDS,
    VALID_SECONDS,
    PathSharing,
)
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Topic
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import LeavingSign, TargetRegistry
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.targets import SERVICE, listed_target

FIRST, SECOND = HostId("h1"), HostId("h2")


class Host:
    """One host's registry and what it shares."""

    def __init__(self, mesh, name):
        self.metrics = Metrics()
        self.exchange = mesh.join(name)
        self.registry = TargetRegistry(default_settings(), self.metrics)
        self.registry.update([listed_target(1), listed_target(2)])
        self.targets = self.registry.targets(SERVICE)
        self.looked_at = []
        self.sharing = PathSharing(
            self.registry, self.exchange, self.metrics, self.looked_at.append
        )


# Guards against requests being passed to a host that reaches no target either.
async def test_peers_know_which_targets_a_host_cannot_reach(autojump_clock):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        first, second = Host(mesh, FIRST), Host(mesh, SECOND)
        nursery.start_soon(first.sharing.run)
        await trio.sleep(0)
        first_target, other = first.targets
        for lost, reached in ((first_target, 1), (other, 0)):
            first.registry.paths.note_refused(lost)
            await trio.sleep(2 * COLLECT_SECONDS)
            assert second.sharing.is_lost_by(FIRST, lost)
            assert second.sharing.count_reached(FIRST, SERVICE) == reached
        first.registry.paths.note_connected(other)
        await trio.sleep(2 * COLLECT_SECONDS)
        assert not second.sharing.is_lost_by(FIRST, other)
        assert second.sharing.count_reached(FIRST, SERVICE) == 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("silent_seconds", "known"),
    [(VALID_SECONDS - 1, True), (VALID_SECONDS + REPEAT_SECONDS, False)],
)
async def test_what_a_host_no_longer_repeats_ends(
    autojump_clock, silent_seconds, known
):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        first, second = Host(mesh, FIRST), Host(mesh, SECOND)
        nursery.start_soon(first.sharing.run)
        await trio.sleep(0)
        target = first.targets[0]
        first.registry.paths.note_refused(target)
        await trio.sleep(2 * COLLECT_SECONDS)
        mesh.isolate(FIRST)
        await trio.sleep(silent_seconds)
        assert second.sharing.is_lost_by(FIRST, target) is known
        nursery.cancel_scope.cancel()


async def test_a_target_that_leaves_is_reached_by_nobody(autojump_clock):
    async with trio.open_nursery() as nursery:
        host = Host(MemoryMesh(nursery), FIRST)
        for target in host.targets:
            assert host.sharing.count_reached(SECOND, SERVICE)
            host.registry.note_leaving(target, LeavingSign.HEALTH)
        assert not host.sharing.count_reached(SECOND, SERVICE)


async def test_peers_look_at_targets_that_a_host_does_not_hear(autojump_clock):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        first, second = Host(mesh, FIRST), Host(mesh, SECOND)
        for _ in range(3):
            first.registry.paths.note_silence(first.targets[0])
        await trio.sleep(0.01)
        assert second.looked_at == [second.targets[0]]
        assert not first.looked_at


@pytest.mark.parametrize("topic", [Topic.LOST_PATHS, Topic.LOOK_REQUESTS])
@pytest.mark.parametrize("payload", [b"", b"\xff" * 40])
async def test_malformed_message_is_dropped(autojump_clock, payload, topic):
    async with trio.open_nursery() as nursery:
        host = Host(MemoryMesh(nursery), FIRST)
        host.exchange.handlers[topic][0](SECOND, payload)
        assert not host.sharing.is_lost_by(SECOND, host.targets[0])
        assert b"paths-malformed" in host.metrics.render()[0]
