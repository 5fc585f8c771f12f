"""Say what is wrong with a value, in one user's words."""

import enum
import math
import re
import typing

from msgspec import Meta

PATTERN_WORDING = {
    r"^[A-Za-z0-9][A-Za-z0-9._-]*$": (
        "must be letters, digits, '.', '_' or '-',"
        " and start with a letter or digit"
    ),
    r"^(\*|[A-Za-z0-9][A-Za-z0-9._-]*)$": (
        "must be '*', or letters, digits, '.', '_' or '-',"
        " and start with a letter or digit"
    ),
    r"^[a-z0-9-]+$": "must be a header's name in lower case",
    r"^[0-9a-f]{64}$": "must be 64 hexadecimal digits in lower case",
}


def word_misfit(kind: object, value: object) -> str:
    """Return why a field can't hold a value, without a full stop.

    Args:
        kind: The field's annotation, without None.
        value: A value that it can't hold.
    """
    meta = None
    if typing.get_origin(kind) is typing.Annotated:
        kind, meta = typing.get_args(kind)
    if kind is bool:
        return "must be true or false"
    if kind is int or kind is float:
        return _word_number(kind, meta, value)
    if kind is str:
        return _word_text(meta, value)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return f"must be {_list_words([each.value for each in kind])}"
    if typing.get_origin(kind) is tuple:
        return "must be a list"
    return "must be a map of keys"


def _word_number(
    kind: type[int] | type[float], meta: Meta | None, value: object
) -> str:
    """Return what is wrong with a number, or that it is none."""
    name = "a whole number" if kind is int else "a number"
    if isinstance(value, bool) or not isinstance(value, int | float):
        return f"must be {name}"
    if isinstance(value, float) and not math.isfinite(value):
        return f"must be {'a finite number' if kind is float else name}"
    if kind is int and isinstance(value, float):
        return f"must be {name}"
    return _word_bound(meta, value)


def _word_bound(meta: Meta | None, value: float) -> str:
    if meta is not None:
        if meta.gt is not None and value <= meta.gt:
            return f"must be more than {meta.gt:g}"
        if meta.ge is not None and value < meta.ge:
            return f"must be at least {meta.ge:g}"
        if meta.le is not None and value > meta.le:
            return f"must be at most {meta.le:g}"
    return "must be a finite number"


def _word_text(meta: Meta | None, value: object) -> str:
    if not isinstance(value, str):
        return "must be text, in quotes if it is a number"
    if meta.max_length is not None and len(value) > meta.max_length:
        return f"must have at most {meta.max_length} characters"
    if not re.search(meta.pattern, value):
        return PATTERN_WORDING.get(meta.pattern, f"must match {meta.pattern}")
    return "can't be used"


def _list_words(words: list[str]) -> str:
    quoted = [repr(word) for word in words]
    return " or ".join([", ".join(quoted[:-1]), quoted[-1]])
