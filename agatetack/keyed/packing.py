"""Compress large values of records for the way between hosts.

A configuration of many routes changes by a few bytes at a time. A host that
holds an earlier version of it is sent a frame of Zstandard for which that
version is the dictionary, so that a change fits into a report.
"""

import xxhash
import zstandard

MAX_VALUE_BYTES = 8 << 20
"""Largest value that is packed or unpacked."""

LEVEL = 3
"""Level at which a change of 300 kB of routes takes 1 ms and some 80 bytes.
Lower levels miss most of what a dictionary has."""

MAX_WINDOW_LOG = 24
"""Binary logarithm of the largest window: a value and its dictionary."""


class MalformedPacking(ValueError):
    """A packed value can't be unpacked with what this host holds."""


def hash_value(value: bytes) -> bytes:
    """Return the hash by which hosts name a value that they hold."""
    return xxhash.xxh64_digest(value)


def pack(value: bytes, base: bytes | None) -> bytes:
    """Return `value` compressed.

    Args:
        value: The value, of `MAX_VALUE_BYTES` at most.
        base: A value that the receiver holds, or None.
    """
    size = len(value) + len(base or b"")
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        source_size=len(value),
        dict_size=len(base or b""),
        window_log=min(MAX_WINDOW_LOG, max(10, size.bit_length())),
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=parameters
    )
    return compressor.compress(value)


def unpack(content: bytes, base: bytes | None) -> bytes:
    """Return the value that `pack` compressed.

    Args:
        content: The packed value.
        base: The value that it was packed with, or None.

    Raises:
        MalformedPacking: It is malformed, too large or of another base.
    """
    try:
        size = zstandard.frame_content_size(content)
        if not 0 <= size <= MAX_VALUE_BYTES:
            raise MalformedPacking(f"a packed value of {size} bytes")
        decompressor = zstandard.ZstdDecompressor(
            dict_data=_dictionary(base), max_window_size=1 << MAX_WINDOW_LOG
        )
        return decompressor.decompress(content)
    except zstandard.ZstdError as error:
        raise MalformedPacking(str(error)) from error


def _dictionary(
    base: bytes | None,
) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )
