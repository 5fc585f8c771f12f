"""Guess what a user meant who wrote an unknown key or a unit."""

import difflib
import math
import re
from collections.abc import Collection, Iterator

from agatetack.settings.findings import KeyPath, key_text

MIN_SIMILARITY = 0.6
"""Least ratio of difflib at which a known word is proposed."""

MAX_GUESSED_LENGTH = 60
"""Longest word that a near miss is searched for, in characters."""

QUANTITY = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\s*")

SECONDS = {
    "us": 1e-6,
    "ms": 1e-3,
    "s": 1,
    "sec": 1,
    "seconds": 1,
    "m": 60,
    "min": 60,
    "h": 3600,
    "d": 86_400,
}
"""Units of time that users write, in seconds."""

BYTES = {
    "b": 1,
    "k": 1024,
    "kb": 1000,
    "kib": 1024,
    "m": 1024**2,
    "mb": 10**6,
    "mib": 1024**2,
    "g": 1024**3,
    "gb": 10**9,
    "gib": 1024**3,
}
"""Units of size that users write, in bytes."""


def near_word(word: str, known: Collection[str]) -> str:
    """Return the known word that `word` most resembles, or ""."""
    if len(word) > MAX_GUESSED_LENGTH:
        return ""
    word = word.lower().replace("-", "_")
    near = difflib.get_close_matches(word, known, 1, MIN_SIMILARITY)
    if near:
        return near[0]
    for candidate in sorted(known):
        if len(word) > 2 and word in candidate.split("_"):
            return candidate
    return ""


def near_key(path: KeyPath, siblings: Collection[str], layer: dict) -> str:
    """Return the known key that an unknown one may stand for, or "".

    Args:
        path: The unknown key.
        siblings: The keys that are known beside it.
        layer: The default settings, for keys that belong elsewhere.
    """
    word = str(path[-1])
    near = near_word(word, siblings)
    if near:
        return near
    for known in walk_keys(layer, ()):
        if known[-1] == word:
            return key_text(known)
    return ""


def walk_keys(layer: dict, above: KeyPath) -> Iterator[KeyPath]:
    """Yield the path of every key in nested maps."""
    for key, value in layer.items():
        yield (*above, key)
        if isinstance(value, dict):
            yield from walk_keys(value, (*above, key))


def plain_number(key: str, text: object) -> str:
    """Return the number for a text with a unit, such as 0.25 for `250ms`.

    Args:
        key: The key's name, whose suffix gives its unit.
        text: What the user wrote.

    Returns:
        The number, or "" if `text` is no such text.
    """
    match = QUANTITY.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        return ""
    if key.endswith("_seconds"):
        units: dict[str, float] = SECONDS
    elif key.endswith("_bytes"):
        units = BYTES
    else:
        return ""
    unit = units.get(match[2].lower())
    if unit is None:
        return ""
    number = float(match[1]) * unit
    return f"{number:.12g}" if math.isfinite(number) else ""
