"""Follow which bytes of a connection its caller has taken."""

import enum

import trio

from agatetack.ids import Deadline
from agatetack.streams import PlainStream

POLL_SECONDS = 0.02
"""Interval at which a connection that ends is checked; the kernel doesn't
report acknowledgements."""


class Evidence(enum.Enum):
    """What shows that a caller has all that was sent to it, weakest first."""

    NONE = "none"
    """Some bytes are not acknowledged."""

    ACKNOWLEDGED = "acknowledged"
    """The next machine has all bytes. It may be a relay on the way."""

    CALLER_END = "caller-end"
    """The caller ended its side, or the whole connection, after that."""


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

    def evidence(self) -> Evidence:
        """Return what shows now that the caller has all bytes."""
        if self.transport is None or self.transport.has_ended():
            return Evidence.CALLER_END
        return Evidence.NONE if self.look() else Evidence.ACKNOWLEDGED

    async def wait(self) -> None:
        """Wait until all is delivered or the connection is lost."""
        while self.look():
            await trio.sleep(POLL_SECONDS)
