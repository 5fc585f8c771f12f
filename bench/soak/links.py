"""Carry answers at the speed of a host's link, in segments of usual size."""

import math
from typing import TYPE_CHECKING

import trio

from agatetack.testing.narrow_stream import open_narrow_socket

if TYPE_CHECKING:
    from bench.soak.connection import Connection

SEGMENT_BYTES = 1400

STEP_BYTES = 4096
"""Most bytes that one connection reads at a time."""


class Link:
    """The link of one host, which all its callers share.

    Attributes:
        bytes_per_second: What it carries.
        free_at: When it has carried all that was read so far.
        connections: The callers' connections over it.
    """

    def __init__(self, bytes_per_second: float):
        """Carry `bytes_per_second` from the host to its callers."""
        self.bytes_per_second = bytes_per_second
        self.free_at = -math.inf
        self.connections: set[Connection] = set()

    async def open(self, ip: str, port: int) -> trio.SocketStream:
        """Connect over the link.

        Raises:
            OSError: The connection could not be opened.
        """
        return trio.SocketStream(
            await open_narrow_socket(ip, port, SEGMENT_BYTES)
        )

    async def carry(self, count: int) -> None:
        """Wait while the link carries `count` bytes."""
        now = trio.current_time()
        self.free_at = max(now, self.free_at) + count / self.bytes_per_second
        await trio.sleep_until(self.free_at)

    def end(self) -> None:
        """End all connections, with what the host's kernel has not sent."""
        for connection in list(self.connections):
            connection.end_network()
