"""Limit requests' bodies, and pass them on as they arrive.

What has arrived is kept within bounds, to send it again.
"""

import dataclasses
from typing import TYPE_CHECKING

import trio

from agatetack.ids import Deadline
from agatetack.messages import Body
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, Refusal, RefusalReason, refuse
from agatetack.settings.model import CallersSettings

if TYPE_CHECKING:
    from agatetack.callers.parser import RequestBody

MAX_READ_BYTES = 64 * 1024
"""Most bytes that one call returns from the kept part of a body."""


def body_too_large_refusal(max_bytes: int) -> Refusal:
    """Return the refusal of a body that is larger than `max_bytes`."""
    return refuse(
        RefusalReason.BODY_TOO_LARGE,
        f"A body takes at most {max_bytes} bytes here.",
    )


class BodyTooLarge(Exception):
    """A request's body is larger than its limit.

    Attributes:
        max_bytes: The limit.
    """

    def __init__(self, max_bytes: int):
        """Store the limit."""
        super().__init__(f"the body has more than {max_bytes} bytes")
        self.max_bytes = max_bytes

    def refusal(self) -> Refusal:
        """Return the refusal; a target may have run the part it received."""
        return dataclasses.replace(
            body_too_large_refusal(self.max_bytes), outcome=Outcome.UNKNOWN
        )


class BoundedBody(Body):
    """A request's body that raises an error beyond a limit.

    Attributes:
        max_bytes: The limit.
        left: Bytes that may still be received.
    """

    def __init__(self, body: Body, max_bytes: int):
        """Read `body`, up to `max_bytes`."""
        self.body = body
        self.length = body.length
        self.max_bytes = max_bytes
        self.left = max_bytes

    async def receive(self) -> bytes:
        """Return the next bytes.

        Raises:
            TooLarge: The body exceeds the limit.
            CallerGone: The body was cut off.
        """
        data = await self.body.receive()
        self.left -= len(data)
        if self.left < 0:
            raise BodyTooLarge(self.max_bytes)
        return data


class BodyNotKept(Exception):
    """The start of a body is needed again but was dropped."""


class KeptBodies:
    """The memory of the host for the kept parts of bodies that are streamed.

    Attributes:
        limit: Maximum number of bytes kept at a time.
        used: Bytes kept now, and those reserved for bodies that are coming.
    """

    def __init__(self, settings: CallersSettings, metrics: Metrics):
        """Keep as much as `settings` allow."""
        self.limit = settings.kept_bodies_bytes
        self.used = 0
        self.metrics = metrics

    def take(self, size: int) -> bool:
        """Reserve `size` bytes, or return False if there is no room."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def give_back(self, size: int) -> None:
        """Release `size` bytes."""
        self.used -= size

    def note_dropped(self) -> None:
        """Count a body that can't be sent again as it is not kept."""
        self.metrics.dropped.inc({"part": "callers", "reason": "body-not-kept"})


class StreamedBody(Body):
    """A request's body that is read on demand and kept within bounds.

    Every reader starts at the first byte: it gets the kept part and then what
    arrives. Once more is read than may be kept, the kept part is dropped, and
    only the reader that is furthest can go on.

    Attributes:
        received: Bytes read from the caller so far.
        ended: Whether the last byte was read.
    """

    def __init__(
        self,
        source: "RequestBody",
        max_bytes: int,
        max_kept_bytes: int,
        kept_bodies: KeptBodies,
    ):
        """Read from `source`.

        Args:
            source: The body as it arrives.
            max_bytes: Maximum size of the body.
            max_kept_bytes: Maximum number of bytes kept of it.
            kept_bodies: The host's memory for this.
        """
        self.source = source
        self.length = source.length
        self.max_bytes = max_bytes
        self.max_kept_bytes = max_kept_bytes
        self.kept_bodies = kept_bodies
        self.content = bytearray()
        self.received = 0
        self.reserved = 0
        self.keeps = True
        self.ended = False
        self.first_reader: Body | None = None

    @property
    def replayable(self) -> bool:
        """Return whether nothing of it was dropped so far."""
        return self.keeps

    @property
    def in_memory(self) -> bool:
        """Return whether all of it arrived and is kept."""
        return self.keeps and self.ended

    def limit(self, max_bytes: int) -> None:
        """Lower the maximum size of the body to `max_bytes`."""
        self.max_bytes = min(self.max_bytes, max_bytes)

    def reader(self) -> Body:
        """Return a body that reads this one from its first byte."""
        return _Reader(self)

    async def receive(self) -> bytes:
        """Return the next bytes, or `b""` at the end.

        Raises:
            BodyTooLarge: The body exceeds the limit.
            CallerGone: The body was cut off.
        """
        if self.first_reader is None:
            self.first_reader = self.reader()
        return await self.first_reader.receive()

    async def hold(self) -> bytes | None:
        """Read all of it and return it; None if that can't be kept.

        Raises:
            BodyTooLarge: The body exceeds the limit.
            CallerGone: The body was cut off.
        """
        if not self.ended:
            if self.length is None or not self._reserve(self.length):
                return None
            while not self.ended:
                await self._read_more()
        return bytes(self.content) if self.keeps else None

    async def read_at(self, position: int) -> bytes:
        """Return some bytes from `position` on, or `b""` at the end.

        Raises:
            BodyNotKept: What stands there was dropped.
            BodyTooLarge: The body exceeds the limit.
            CallerGone: The body was cut off.
        """
        while True:
            offset = position - (self.received - len(self.content))
            if offset < 0:
                raise BodyNotKept
            if offset < len(self.content):
                return bytes(self.content[offset : offset + MAX_READ_BYTES])
            if self.ended:
                return b""
            await self._read_more()

    async def _read_more(self) -> None:
        data = await self.source.receive()
        if self.received + len(data) > self.max_bytes:
            raise BodyTooLarge(self.max_bytes)
        if self.keeps and not self._reserve(self.received + len(data)):
            self.kept_bodies.note_dropped()
            self.forget()
        if not self.keeps:
            self.content.clear()
        self.content += data
        self.received += len(data)
        if self.source.complete and not self.source.unread_bytes:
            self.ended = True
            self.arrived_at = Deadline(trio.current_time())

    def _reserve(self, size: int) -> bool:
        """Reserve memory for the first `size` bytes of the body."""
        if not self.keeps or size > self.max_kept_bytes:
            return False
        missing = max(0, size - self.reserved)
        if not self.kept_bodies.take(missing):
            return False
        self.reserved += missing
        return True

    def forget(self) -> None:
        """Release what was kept; the body can't be sent again after this."""
        self.keeps = False
        self.content = bytearray()
        self.kept_bodies.give_back(self.reserved)
        self.reserved = 0


class _Reader(Body):
    """Reads a streamed body from its first byte."""

    def __init__(self, body: StreamedBody):
        """Read `body`."""
        self.body = body
        self.length = body.length
        self.position = 0

    async def receive(self) -> bytes:
        """Return the next bytes, or `b""` at the end."""
        data = await self.body.read_at(self.position)
        self.position += len(data)
        return data
