"""Print what a host spends on one frame of a peer, in processor time.

Run `python -m bench.frame_cost`. The host has links with 24 others, which are
its group, and knows 61 targets. Each frame says how many requests its sender
has at one target; the number goes up and down again, and no request waits.
"""

import time

import trio

from agatetack.clock import SystemClock
from agatetack.generated.measure.ttypes import InFlightCount, InFlightCounts
from agatetack.generated.peers import ttypes
from agatetack.ids import HostId
from agatetack.measure.hashes import target_hash
from agatetack.measure.occupancy import Occupancy
from agatetack.metrics import Metrics
from agatetack.peers.exchange import GatewayDirectory, Topic
from agatetack.peers.frames import FrameReader, encode_frame
from agatetack.peers.handshake import Side
from agatetack.peers.link import Link
from agatetack.peers.mesh import PeerExchange
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetStatus
from agatetack.testing.targets import SERVICE, listed_target
from agatetack.thrift_codec import encode

PEERS = 24
TARGETS = 61
SLOTS = 4
FRAMES = 20_000

READ_BYTES = 35
"""Size of one read, about one message."""


class NoDirectory(GatewayDirectory):
    """An empty list of hosts."""

    def gateways(self) -> list:
        """Return no host."""
        return []

    def on_change(self, callback: object) -> None:
        """Never call `callback`."""


class Bytes(trio.abc.ReceiveStream):
    """A stream that holds all its bytes."""

    def __init__(self, content: bytes):
        """Hold `content`."""
        self.content = content
        self.start = 0

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes."""
        self.start += READ_BYTES
        return self.content[self.start - READ_BYTES : self.start]

    async def aclose(self) -> None:
        """Do nothing."""


def _frames(targets: list) -> bytes:
    content = []
    for number in range(FRAMES):
        target = targets[number // 2 % TARGETS]
        count = InFlightCount(target_hash(target.process), 1 - number % 2)
        publish = ttypes.Publish(
            sequence=number + 1,
            topic=Topic.IN_FLIGHT.value,
            payload=encode(InFlightCounts([count])),
        )
        content.append(encode_frame(ttypes.Frame(publish=publish)))
    return b"".join(content)


async def measure(full: bool) -> float:
    """Return processor seconds of one frame.

    Args:
        full: Whether every request leaves a full target, so that the hosts
            take turns to use its slot.
    """
    settings = default_settings()
    metrics = Metrics()
    exchange = PeerExchange(settings, NoDirectory(), metrics, SystemClock())
    registry = TargetRegistry(settings, metrics)
    registry.update([listed_target(n + 1) for n in range(TARGETS)])
    targets = list(registry.targets(SERVICE))
    for target in targets:
        target.status = TargetStatus.READY
        target.slots = 1 if full else SLOTS
    occupancy = Occupancy(registry, exchange, metrics)
    frames = _frames(targets)
    for number in range(PEERS):
        hello = ttypes.Hello(
            host=f"host-{number}", incarnation=1, failure_domain="domain-a"
        )
        reader = FrameReader(Bytes(frames), lambda _: None)
        link = Link(None, reader, hello, Side.ACCEPTING, exchange)
        exchange.connector.links[HostId(hello.host)] = link
    started = time.process_time()
    for _ in range(FRAMES):
        exchange.handle_frame(link, await link.reader.receive())
    spent = time.process_time() - started
    assert occupancy.reported
    return spent / FRAMES


def main() -> None:
    """Print microseconds for both cases."""
    for full in (False, True):
        spent = trio.run(measure, full)
        print(f"{'full' if full else 'idle'} targets: {spent * 1e6:.1f} us")


if __name__ == "__main__":
    main()
