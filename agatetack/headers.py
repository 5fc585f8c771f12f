"""Tell header fields of one connection from those of the message."""

from collections.abc import Iterable

from agatetack.messages import Header

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Header fields that concern one connection only (RFC 9110, 7.6.1)."""

FRAMING = frozenset({b"content-length", b"expect"})
"""Header fields that are written anew on the next connection."""

MAX_COUNT_DIGITS = 9
"""Digits of a number in a header; one that is longer counts as none.

Numbers of any length would overflow where they meet a float, and Python
refuses to read thousands of digits at all.
"""


def read_count(value: bytes | None) -> int | None:
    """Return the whole number that a header holds, or None if it holds none."""
    if value is None or len(value) > MAX_COUNT_DIGITS or not value.isdigit():
        return None
    return int(value)


def strip_hop_by_hop(headers: Iterable[Header]) -> list[Header]:
    """Return `headers` without those that concern one connection only."""
    dropped = HOP_BY_HOP
    kept = []
    for header in headers:
        if header.name == b"connection":
            dropped = dropped | _listed_names(header.value)
    for header in headers:
        if header.name not in dropped and header.name not in FRAMING:
            kept.append(header)
    return kept


def _listed_names(value: bytes) -> frozenset[bytes]:
    return frozenset(name.strip().lower() for name in value.split(b","))
