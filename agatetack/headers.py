"""Read numbers in header fields, and tell the fields of one connection."""

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
"""Header fields that are written anew on the next connection."""

MAX_COUNT_DIGITS = 9
"""Digits of a number in a header; one that is longer counts as none.

Numbers of any length would overflow where they meet a float, and Python
refuses to read thousands of digits at all.
"""

MAX_DECIMAL_BYTES = 32
"""Longest text that is read as a number."""

DECIMAL = re.compile(rb"[0-9]+(\.[0-9]+)?")


class DecimalProblem(enum.Enum):
    """Why a number in a header is not believed."""

    REPEATED = "repeated"
    TOO_LONG = "too-long"
    NOT_A_NUMBER = "not-a-number"
    OUT_OF_RANGE = "out-of-range"


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDecimal:
    """What the fields of one name say.

    Attributes:
        value: The number; None if there is no such field.
        problem: Why what it names is not believed, or None.
    """

    value: float | None = None
    problem: DecimalProblem | None = None


def read_decimal(values: Sequence[bytes], most: float) -> ReadDecimal:
    """Return the number that the values of a header say, from 0 to `most`.

    Args:
        values: One value for each field of that name, in their order.
        most: The highest number that is believed.
    """
    if not values:
        return ReadDecimal()
    if len(values) > 1:
        return ReadDecimal(problem=DecimalProblem.REPEATED)
    text = values[0].strip()
    if len(text) > MAX_DECIMAL_BYTES:
        return ReadDecimal(problem=DecimalProblem.TOO_LONG)
    if DECIMAL.fullmatch(text) is None:
        return ReadDecimal(problem=DecimalProblem.NOT_A_NUMBER)
    value = float(text)
    if value > most:
        return ReadDecimal(problem=DecimalProblem.OUT_OF_RANGE)
    return ReadDecimal(value)


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
