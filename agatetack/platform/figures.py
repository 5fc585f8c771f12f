"""Parse durations in the platform's notation."""

import math

SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}
"""Seconds in each unit. `ms` has to come first, as it also ends in `s`."""


def read_seconds(text: str) -> float:
    """Return the seconds in a duration such as `1500ms` or `2.5s`.

    Raises:
        ValueError: `text` is not a duration.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not a duration")
    for unit, seconds in SECONDS_PER_UNIT.items():
        if text.endswith(unit):
            value = float(text.removesuffix(unit))
            if not math.isfinite(value):
                raise ValueError(f"{text!r} is not finite")
            return value * seconds
    raise ValueError(f"{text!r} has no unit")
