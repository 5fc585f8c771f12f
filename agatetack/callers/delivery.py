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
from agatetack.streams import PlainStream, unacknowledged_bytes

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

    ASSUMED = "assumed"
    """It has, and the slowest link has had the time to carry them."""

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
        # Counts what was not acknowledged before a reset.
        if unacknowledged_bytes(self.transport.sock):
            return Evidence.NONE
        if self.transport.has_ended() and self.may_end_show_delivery():
            return Evidence.CALLER_END
        if trio.current_time() >= self.assumed_at:
            return Evidence.ASSUMED
        return Evidence.ACKNOWLEDGED

    def may_end_show_delivery(self) -> bool:
        """Return whether the end of the caller's side shows that it has all.

        Where callers may end it after their last request, it does not before a
        slow link has carried the answer.
        """
        now = trio.current_time()
        return self.settings.end_means_gone or now >= self.carried_by

    async def wait_acknowledged(self) -> None:
        """Wait until the next machine has all bytes, or a reset."""
        while self.look():
            await trio.sleep(POLL_SECONDS)

    async def wait(self) -> None:
        """Wait until the caller has all bytes, or is assumed to.

        It ends early if the connection is lost.
        """
        await self.wait_acknowledged()
        if self.transport is None:
            return
        with trio.move_on_at(self.assumed_at):
            await self.transport.wait_ended(POLL_SECONDS)
            if not self.settings.end_means_gone:
                await trio.sleep_until(self.carried_by)
