"""Read the header fields that state which bytes an answer contains."""

import dataclasses
import re

from agatetack.messages import Headers, find_header

CONTENT_RANGE = re.compile(rb"^bytes (\d+)-(\d+)/(\d+)$")
PARTIAL_STATUS = 206
WHOLE_STATUS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ByteRange:
    """The byte range of a resource that an answer contains.

    Attributes:
        first: The first byte, from 0.
        last: The last byte, included.
        total: Bytes of the whole resource.
    """

    first: int
    last: int
    total: int


def strong_validator(headers: Headers) -> bytes | None:
    """Return the ETag if it is a strong one (RFC 9110, 8.8.3), else None."""
    etag = find_header(headers, b"etag")
    if etag is None or not etag.startswith(b'"'):
        return None
    return etag


def answer_byte_range(
    status: int, headers: Headers, length: int | None
) -> ByteRange | None:
    """Return the byte range of an answer, or None if not stated or invalid.

    Args:
        status: The HTTP status.
        headers: The answer's header fields.
        length: The announced length of its body in bytes, or None.
    """
    if length is None or length == 0:
        return None
    if status == WHOLE_STATUS:
        return ByteRange(0, length - 1, length)
    if status != PARTIAL_STATUS:
        return None
    match = CONTENT_RANGE.match(find_header(headers, b"content-range") or b"")
    if match is None:
        return None
    byte_range = ByteRange(*(int(group) for group in match.groups()))
    if (
        byte_range.last - byte_range.first + 1 != length
        or byte_range.last >= byte_range.total
    ):
        return None
    return byte_range
