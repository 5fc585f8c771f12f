"""Parse numbers in header fields, and remove hop-by-hop fields."""

import dataclasses
import enum
import re
from collections.abc import Iterable, Sequence

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
"""Header fields that are generated anew for the next connection."""

MAX_COUNT_DIGITS = 9
"""Most digits of a number in a header; a longer one counts as absent.

Numbers of unlimited length would overflow when they are converted to float,
and Python refuses to parse integers of thousands of digits.
"""

MAX_DECIMAL_BYTES = 32
"""Longest text that is parsed as a decimal number."""

DECIMAL = re.compile(rb"[0-9]+(\.[0-9]+)?")


class DecimalProblem(enum.Enum):
    """Why a number in a header is rejected."""

    REPEATED = "repeated"
    TOO_LONG = "too-long"
    NOT_A_NUMBER = "not-a-number"
    OUT_OF_RANGE = "out-of-range"


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedDecimal:
    """The number in the header fields of one name.

    Attributes:
        value: The number; None if there is no such field or it was rejected.
        problem: Why the fields were rejected, or None.
    """

    value: float | None = None
    problem: DecimalProblem | None = None


def read_decimal(values: Sequence[bytes], maximum: float) -> ParsedDecimal:
    """Parse the values of a header as one number from 0 to `maximum`.

    Args:
        values: The value of each field of that name, in order.
        maximum: The highest number that is accepted.
    """
    if not values:
        return ParsedDecimal()
    if len(values) > 1:
        return ParsedDecimal(problem=DecimalProblem.REPEATED)
    text = values[0].strip()
    if len(text) > MAX_DECIMAL_BYTES:
        return ParsedDecimal(problem=DecimalProblem.TOO_LONG)
    if DECIMAL.fullmatch(text) is None:
        return ParsedDecimal(problem=DecimalProblem.NOT_A_NUMBER)
    value = float(text)
    if value > maximum:
        return ParsedDecimal(problem=DecimalProblem.OUT_OF_RANGE)
    return ParsedDecimal(value)


def read_count(value: bytes | None) -> int | None:
    """Return a header's value as an integer, or None if it is not one."""
    if value is None or len(value) > MAX_COUNT_DIGITS or not value.isdigit():
        return None
    return int(value)


def strip_hop_by_hop(headers: Iterable[Header]) -> list[Header]:
    """Return `headers` without hop-by-hop and framing fields."""
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
