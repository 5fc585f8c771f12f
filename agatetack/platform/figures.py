"""Read figures as the platform writes them."""

UNITS = {"ms": 0.001, "s": 1.0}
"""Seconds in each unit of a time; the longer name is tried first."""


def read_seconds(text: str) -> float:
    """Return the seconds in a time such as `1500ms` or `2.5s`.

    Raises:
        ValueError: It is no such time.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is no time")
    for unit, seconds in UNITS.items():
        if text.endswith(unit):
            return float(text.removesuffix(unit)) * seconds
    raise ValueError(f"{text!r} has no unit")
