"""Follow which bytes of a connection its caller's machine has taken."""

import trio

from agatetack.ids import Deadline
from agatetack.streams import PlainStream

POLL_SECONDS = 0.02
"""Interval at which a connection that ends is checked; the kernel doesn't
report acknowledgements."""


class Delivery:
    """What was sent on one connection and is not acknowledged.

    An answer is delivered when the caller's machine has acknowledged its last
    byte, not when the kernel here has taken it: the network of this machine
    may end with the process.

    Attributes:
        left_bytes: Bytes not acknowledged when last looked at.
        changed_at: When that number was first seen.
    """

    def __init__(self, transport: PlainStream | None):
        """Follow `transport`; where it is None, all is delivered."""
        self.transport = transport
        self.left_bytes = 0
        self.changed_at = Deadline(trio.current_time())

    def look(self) -> int:
        """Return how many bytes are not acknowledged."""
        left = 0
        if self.transport is not None:
            left = self.transport.unacknowledged_bytes()
        if left != self.left_bytes:
            self.left_bytes = left
            self.changed_at = Deadline(trio.current_time())
        return left

    async def wait(self) -> None:
        """Wait until all is delivered or the connection is lost."""
        while self.look():
            await trio.sleep(POLL_SECONDS)
