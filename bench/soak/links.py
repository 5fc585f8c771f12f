"""Links of hosts, and the paths of callers over them."""

import dataclasses
import math
import random

import trio

from agatetack.testing.narrow_stream import open_narrow_socket
from bench.soak.relays import Relay

SEGMENT_BYTES = 1400


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """How one caller reaches hosts, and when it ends its connections.

    Attributes:
        capacity: Bytes that a relay on it holds.
        delay_seconds: How long they stay there at least.
        loses: Whether a relay ends with its host's network.
        prompt: Whether the caller ends a connection as soon as the host has,
            rather than when it wants to use it next.
    """

    capacity: int
    delay_seconds: float
    loses: bool
    prompt: bool


def draw_path(source: random.Random) -> Path:
    """Draw a path."""
    return Path(
        capacity=1 << source.randint(14, 18),
        delay_seconds=source.uniform(0.001, 0.03),
        loses=source.random() < 0.5,
        prompt=source.random() < 0.7,
    )


class Link:
    """The link of one host, which all its callers' relays share.

    Attributes:
        bytes_per_second: What it carries.
        nursery: Runs the relays.
        free_at: When it has carried all that relays hold.
        relays: Those whose connection to the host stands.
    """

    def __init__(self, bytes_per_second: float, nursery: trio.Nursery):
        """Carry `bytes_per_second` from the host to its callers."""
        self.bytes_per_second = bytes_per_second
        self.nursery = nursery
        self.free_at = -math.inf
        self.relays: set[Relay] = set()

    async def open(self, ip: str, port: int, path: Path) -> Relay:
        """Return a relay with a connection to the host.

        Raises:
            OSError: The connection could not be opened.
        """
        sock = await open_narrow_socket(ip, port, SEGMENT_BYTES)
        relay = Relay(trio.SocketStream(sock), self, path)
        self.relays.add(relay)
        self.nursery.start_soon(relay.run)
        return relay

    def carried_at(self, start: float, count: int) -> float:
        """Return when it has carried `count` bytes more, from a time on.

        It carries them in the order in which relays took them, and a runner
        that is late doesn't make it slower.
        """
        self.free_at = max(start, self.free_at) + count / self.bytes_per_second
        return self.free_at

    def end(self) -> None:
        """End the network, with what the host's kernel has not sent."""
        for relay in list(self.relays):
            relay.end_network()
        self.free_at = -math.inf
