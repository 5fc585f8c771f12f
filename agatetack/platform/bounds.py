"""Apply the bounds that the platform sets to the settings."""

import dataclasses
from collections.abc import Sequence

from agatetack.errors import UserError
from agatetack.platform.figures import read_seconds
from agatetack.settings.model import Settings

KILL_MARGIN_SECONDS = 0.4
"""Reserve between the end of the drain and the time at which the platform
kills the process, for closing connections and writing the last log lines."""

MAX_NOTICE_RATIO = 0.6
"""Largest part of the drain time in which new connections are still accepted;
the rest is for closing connections and finishing requests in flight."""

MAX_PROBE_RATIO = 0.25
"""Share of the allowed probe rate that is used at most, because each probe
costs the target work."""


class BoundsError(UserError):
    """A bound has a wrong form or an unreadable value."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The platform's bounds that are used; None where it sets none.

    Attributes:
        stop_seconds: Time from the stop signal until the process is killed.
        repeat_ratio: Maximum ratio of attempts after the first to a service's
            requests.
        repeat_slack: Number of attempts allowed in a window beyond that ratio.
        repeat_window_seconds: Length of the window.
        probes_per_second: Maximum probe rate of one target, over all hosts.
        cold_rate_ratio: Maximum request rate of a cold target over all hosts,
            as a multiple of the warm-up rate that its service states.
        cold_rate_slack: Number of requests allowed beyond that rate.
    """

    stop_seconds: float | None = None
    repeat_ratio: float | None = None
    repeat_slack: float | None = None
    repeat_window_seconds: float | None = None
    probes_per_second: float | None = None
    cold_rate_ratio: float | None = None
    cold_rate_slack: float | None = None


BOUND_PARSERS = {
    "grace": ("stop_seconds", read_seconds),
    "budget_ratio": ("repeat_ratio", float),
    "budget_slack": ("repeat_slack", float),
    "budget_window": ("repeat_window_seconds", read_seconds),
    "probes_per_s": ("probes_per_second", float),
    "cold_over": ("cold_rate_ratio", float),
    "cold_slack": ("cold_rate_slack", float),
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
    bounds = read_bounds(settings.platform.store.bounds)
    lifecycle, attempts = settings.lifecycle, settings.attempts
    measure = settings.measure
    if bounds.stop_seconds is not None:
        drain = max(1.0, bounds.stop_seconds - KILL_MARGIN_SECONDS)
        lifecycle = lifecycle.copy_with(
            {
                "drain_seconds": drain,
                "notice_seconds": min(
                    lifecycle.notice_seconds, MAX_NOTICE_RATIO * drain
                ),
            }
        )
    attempts = attempts.copy_with(
        _drop_none(
            fleet_ratio=bounds.repeat_ratio,
            fleet_slack=bounds.repeat_slack,
            fleet_window_seconds=bounds.repeat_window_seconds,
        )
    )
    if bounds.probes_per_second is not None:
        max_rate = bounds.probes_per_second * MAX_PROBE_RATIO
        configured_rate = measure.target_probes_per_second
        measure = measure.copy_with(
            {"target_probes_per_second": min(configured_rate, max_rate)}
        )
    balance = settings.balance.copy_with(
        _drop_none(
            cold_rate_ratio=bounds.cold_rate_ratio,
            cold_rate_slack=bounds.cold_rate_slack,
        )
    )
    return settings.copy_with(
        {
            "lifecycle": lifecycle,
            "balance": balance,
            "attempts": attempts,
            "measure": measure,
        }
    )


def _drop_none(**values: float | None) -> dict[str, float]:
    return {name: v for name, v in values.items() if v is not None}
