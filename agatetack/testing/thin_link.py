"""Stand in for the link of one host, which carries few bytes a second."""

import math
from collections.abc import AsyncIterator

import trio

PIECE_BYTES = 16_384
"""Bytes after which a transfer lets others that share its link go first."""


class ThinLink:
    """One direction of a link, whose transfers share what it carries.

    Attributes:
        bytes_per_second: What it carries; infinite for a link without a bound.
        free_at: When it has carried all that it was given.
    """

    def __init__(self, bytes_per_second: float = math.inf):
        """Carry `bytes_per_second`."""
        self.bytes_per_second = bytes_per_second
        self.free_at = -math.inf

    async def carry(self, count: int) -> None:
        """Return when `count` bytes are at the other end."""
        start = max(trio.current_time(), self.free_at)
        self.free_at = start + count / self.bytes_per_second
        await trio.sleep_until(self.free_at)


async def carry_all(count: int, *links: ThinLink) -> AsyncIterator[int]:
    """Carry `count` bytes in pieces over several links in a row.

    Yields:
        The size of each piece once it has arrived.
    """
    while count > 0:
        piece = min(count, PIECE_BYTES)
        for link in links:
            await link.carry(piece)
        count -= piece
        yield piece
