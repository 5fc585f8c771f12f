"""Tell which bytes of a connection its caller has.

An answer is delivered when its caller has its last byte. TCP shows less: an
acknowledgement comes from the next machine, which may be a relay that holds the
bytes and loses them with the network of this host, as its process ends. Only
the caller's own end of the stream, after ours, shows that it has read all.
"""

import enum

import trio

from agatetack.ids import Deadline
from agatetack.settings.model import CallersSettings
from agatetack.streams import PlainStream

POLL_SECONDS = 0.02
"""Interval at which a connection that ends is checked; the kernel doesn't
report acknowledgements."""

CALLER_END_SECONDS = 1.0
"""How long a caller that has all bytes is given to end its side. Some keep a
connection that their host has ended until they want to use it again."""

MAX_RELAYED_BYTES = 1 << 20
"""Most bytes that relays between a host and a caller are taken to hold."""


class Evidence(enum.Enum):
    """What shows that a caller has all that was sent to it, weakest first."""

    NONE = "none"
    """Some bytes are not acknowledged."""

    ACKNOWLEDGED = "acknowledged"
    """The next machine has all bytes. It may be a relay on the way."""

    CALLER_END = "caller-end"
    """The caller ended its side, or the whole connection, after that."""


class Delivery:
    """What was sent on one connection, and what shows that its caller has it.

    Attributes:
        settings: The settings for callers.
        left_bytes: Bytes not acknowledged when last looked at.
        changed_at: When that number was first seen.
        sent_at: When the last send ended; None before the first one.
        carried_by: When the slowest link has carried all that was sent.
        ended_early: Whether the caller ended its side before the last send, as
            some do after their last request, which then shows nothing.
    """

    def __init__(
        self, transport: PlainStream | None, settings: CallersSettings
    ):
        """Follow `transport`; where it is None, all is delivered."""
        self.transport = transport
        self.settings = settings
        self.left_bytes = 0
        self.changed_at = Deadline(trio.current_time())
        self.sent_at: Deadline | None = None
        self.carried_by = self.changed_at
        self.ended_early = False

    def note_sent(self, count: int) -> None:
        """Take note of `count` bytes that the kernel has taken just now."""
        now = Deadline(trio.current_time())
        rate = self.settings.slowest_link_bytes_per_second
        self.sent_at = now
        self.carried_by = Deadline(
            min(
                max(self.carried_by, now) + count / rate,
                now + MAX_RELAYED_BYTES / rate,
            )
        )
        if not self.settings.end_means_gone and self.transport is not None:
            self.ended_early = self.transport.has_ended()

    @property
    def assumed_at(self) -> Deadline:
        """Return when the caller is assumed to have all bytes without proof."""
        if self.sent_at is None:
            return self.changed_at
        return Deadline(self.carried_by + CALLER_END_SECONDS)

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
        if self.transport is None:
            return Evidence.CALLER_END
        if self.transport.has_ended() and not self.ended_early:
            return Evidence.CALLER_END
        return Evidence.NONE if self.look() else Evidence.ACKNOWLEDGED

    async def wait(self) -> None:
        """Wait until the caller has all bytes, or is assumed to.

        It ends early if the connection is lost.
        """
        while self.look():
            await trio.sleep(POLL_SECONDS)
        with trio.move_on_at(self.assumed_at):
            await self._wait_for_end()

    async def _wait_for_end(self) -> None:
        if self.transport is None:
            return
        if self.ended_early:
            # Nothing more comes from the caller.
            await trio.sleep_forever()
        await self.transport.wait_ended(POLL_SECONDS)
