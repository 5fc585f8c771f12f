"""Test that messages about an earlier process change nothing of the new one."""

import pytest
import trio

from agatetack.generated.measure.ttypes import (
    InFlightCount,
    InFlightCounts,
    LoadSample,
    LoadSamples,
    LookRequest,
    LostPaths,
    TargetSign,
)
from agatetack.ids import HostId
from agatetack.measure.budget import TokenBucket
from agatetack.measure.hashes import target_hash
from agatetack.measure.occupancy import Occupancy
from agatetack.measure.path_sharing import PathSharing
from agatetack.measure.samples import SIGN_NUMBERS, SampleExchange
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Topic
from agatetack.targets.registry import LeavingSign, TargetRegistry
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.store_fleet import template_settings
from agatetack.testing.targets import SERVICE, started_target
from agatetack.thrift_codec import encode

OLD, NEW = 1000, 2000
PEER = HostId("peer")


class Host:
    """One host that hears messages of a peer."""

    def __init__(self, mesh):
        self.metrics = Metrics()
        self.registry = TargetRegistry(template_settings(1), self.metrics)
        self.exchange = mesh.join(HostId("own"))
        self.samples = SampleExchange(
            self.registry,
            self.exchange,
            self.metrics,
            TokenBucket(1e6, lambda: 2),
        )
        self.refused = []
        self.samples.refusal_watchers.append(self.refused.append)
        self.occupancy = Occupancy(
            self.registry, self.exchange, self.metrics, self.samples
        )
        self.looked_at = []
        self.paths = PathSharing(
            self.registry, self.exchange, self.metrics, self.looked_at.append
        )

    def list(self, born):
        self.registry.update([started_target(1, born)])
        return self.registry.targets(SERVICE)[0]

    def known(self, target):
        return (
            target,
            [each.process for each in self.registry.targets(SERVICE)],
            self.paths.count_reached(PEER, SERVICE),
            list(self.looked_at),
            list(self.refused),
        )


def sample(number):
    return LoadSample(
        target=number,
        in_flight=7,
        slots=9,
        slowness_pct=300,
        warm_up_ms=60_000,
        rate=2.0,
        service_us=900_000,
    )


def signs(process):
    return [
        (Topic.TARGET_SIGNS, TargetSign(process, SIGN_NUMBERS[each]))
        for each in LeavingSign
    ]


def messages(process):
    number = target_hash(process)
    counts = [InFlightCount(number, 3)]
    return [
        (Topic.LOAD_SAMPLES, LoadSamples([sample(number)])),
        (Topic.IN_FLIGHT, InFlightCounts(counts, None, [sample(number)])),
        (Topic.IN_FLIGHT, InFlightCounts(counts, True, None)),
        (Topic.LOST_PATHS, LostPaths([number])),
        (Topic.LOOK_REQUESTS, LookRequest([number])),
        *signs(process),
    ]


MESSAGES = range(len(messages("")))


# Guards against reports that were in transit when the target restarted.
@pytest.mark.parametrize("before", [True, False], ids=["before", "late"])
@pytest.mark.parametrize("number", MESSAGES)
async def test_messages_about_the_old_process(autojump_clock, number, before):
    async with trio.open_nursery() as nursery:
        host, control = (Host(MemoryMesh(nursery)) for _ in range(2))
        peer = host.exchange.mesh.join(PEER)
        control.exchange.mesh.join(PEER)
        old = host.list(OLD)
        topic, message = messages(old.process)[number]
        if before:
            peer.publish(topic, encode(message))
            await trio.sleep(0.01)
        new, only = host.list(NEW), control.list(NEW)
        host.looked_at.clear()
        host.refused.clear()
        if not before:
            peer.publish(topic, encode(message))
            await trio.sleep(0.01)
        assert host.known(new) == control.known(only)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("number", MESSAGES)
async def test_each_message_counts_for_its_own_process(autojump_clock, number):
    """Guards against a table above that compares messages without effect."""
    async with trio.open_nursery() as nursery:
        host, control = (Host(MemoryMesh(nursery)) for _ in range(2))
        peer = host.exchange.mesh.join(PEER)
        control.exchange.mesh.join(PEER)
        new, only = host.list(NEW), control.list(NEW)
        topic, message = messages(new.process)[number]
        peer.publish(topic, encode(message))
        await trio.sleep(0.01)
        assert host.known(new) != control.known(only)
        nursery.cancel_scope.cancel()
