"""Read the bounds that the platform sets, and apply them to the settings."""

from collections.abc import Sequence

from agatetack.errors import UserError
from agatetack.platform.figures import read_seconds
from agatetack.settings.bounds import Bounds, settings_within
from agatetack.settings.model import Settings


class BoundsError(UserError):
    """A bound has a wrong form or an unreadable value."""


def _read_flag(text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(f"{text!r} is neither true nor false")
    return text == "true"


BOUND_PARSERS = {
    "grace": ("stop_seconds", read_seconds),
    "budget_ratio": ("repeat_ratio", float),
    "budget_slack": ("repeat_slack", float),
    "budget_window": ("repeat_window_seconds", read_seconds),
    "probes_per_s": ("probes_per_second", float),
    "cold_over": ("cold_rate_ratio", float),
    "cold_slack": ("cold_rate_slack", float),
    "strict_revoke": ("strict_revocation", _read_flag),
    "revoke": ("revocation_seconds", read_seconds),
    "quota_window": ("quota_window_seconds", read_seconds),
    "quota_over": ("quota_ratio", float),
    "quota_slack": ("quota_slack", float),
}
"""Field of `Bounds` and parser of each bound, by the platform's name."""


def read_bounds(texts: Sequence[str]) -> Bounds:
    """Parse `NAME=VALUE` texts; bounds that are not used are ignored.

    Raises:
        BoundsError: A text is not of this form, or the value of a bound that
            is used can't be parsed.
    """
    found = {}
    for text in texts:
        name, equals, value = text.partition("=")
        if not equals:
            message = f"platform.store.bounds: {text}: must be NAME=VALUE"
            raise BoundsError(message)
        if name not in BOUND_PARSERS:
            continue
        field, read = BOUND_PARSERS[name]
        try:
            found[field] = read(value)
        except ValueError as error:
            message = f"platform.store.bounds: {text}: {error}"
            raise BoundsError(message) from error
    return Bounds(**found)


def apply_bounds(settings: Settings) -> Settings:
    """Return a copy of `settings` with the platform's bounds applied."""
    return settings_within(
        settings, read_bounds(settings.platform.store.bounds)
    )
