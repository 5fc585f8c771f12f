"""Make the content of large exports, the same for every target and byte."""

import dataclasses
import random
import re
import zlib
from collections.abc import Iterator

BLOCK_BYTES = 65_521
"""Length of the repeated block; a prime, so that shifts are seen."""

FIRST_ETAG = b'"v1"'
"""The validator of exports, until a test changes it."""

RANGE = re.compile(rb"bytes=(\d+)-(\d*)$")


def _make_block() -> bytes:
    return random.Random(1).randbytes(BLOCK_BYTES)


BLOCK = _make_block()


@dataclasses.dataclass(frozen=True, slots=True)
class ByteRange:
    """The bytes from `start` up to, not including, `stop`."""

    start: int
    stop: int

    @property
    def length(self) -> int:
        """Return the number of bytes."""
        return self.stop - self.start


def export_chunks(span: ByteRange, etag: bytes = FIRST_ETAG) -> Iterator[bytes]:
    """Yield the content of `span`, in pieces of at most one block.

    Args:
        span: Which bytes.
        etag: The validator; content under another one is shifted.
    """
    position = span.start
    shift = zlib.crc32(etag)
    while position < span.stop:
        skip = (position + shift) % BLOCK_BYTES
        chunk = BLOCK[skip : skip + span.stop - position]
        yield chunk
        position += len(chunk)


def export_bytes(start: int, stop: int, etag: bytes = FIRST_ETAG) -> bytes:
    """Return the content from `start` up to, not including, `stop`."""
    return b"".join(export_chunks(ByteRange(start, stop), etag))


def parse_range(value: bytes, size: int) -> ByteRange | None:
    """Return the bytes that a Range header asks for, or None if it is odd.

    Args:
        value: The header's value; only one range from a start is understood.
        size: Length of the whole content, in bytes.
    """
    match = RANGE.match(value)
    if match is None:
        return None
    start = int(match[1])
    stop = int(match[2]) + 1 if match[2] else size
    return ByteRange(start, min(stop, size))
