"""Describe settings that do not fit together."""

import dataclasses

from agatetack.settings.findings import KeyPath, Severity
from agatetack.settings.model import Settings


@dataclasses.dataclass(frozen=True, slots=True)
class Misfit:
    """Settings that do not fit together.

    Attributes:
        paths: The settings at odds; the first is the likeliest to change.
        message: What is wrong.
        severity: Whether the settings can be used.
    """

    paths: tuple[KeyPath, ...]
    message: str
    severity: Severity = Severity.ERROR


def path(text: str) -> KeyPath:
    """Return the path of a dotted key."""
    return tuple(text.split("."))


def value_at(settings: Settings, keys: KeyPath) -> object:
    """Return the setting at `keys`."""
    value: object = settings
    for key in keys:
        value = getattr(value, str(key))
    return value
