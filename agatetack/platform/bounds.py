"""Lay the bounds that the platform sets over the settings."""

import dataclasses
from collections.abc import Sequence

from agatetack.errors import UserError
from agatetack.platform.figures import read_seconds
from agatetack.settings.model import Settings

KILL_MARGIN_SECONDS = 0.4
"""Kept free before the platform kills a process that is stopping; closing
connections and writing the last log lines takes some of it."""

NOTICE_SHARE = 0.6
"""Most of the time to stop in which new connections are still taken; the rest
is for closing connections and for requests under way."""

PROBE_SHARE = 0.25
"""Share of the allowed probes that is used, as probes cost the targets."""


class BoundsError(UserError):
    """A bound can't be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds that the project goes by; None where the platform sets none.

    Attributes:
        stop_seconds: From the signal to stop until the process is killed.
        repeat_ratio: Attempts beyond the first, as a share of a service's
            requests.
        repeat_slack: How many more there may be in one window.
        repeat_window_seconds: The length of that window.
        probes_per_second: Probes that one target may get from all hosts.
        cold_rate_ratio: Requests that a cold target may get from all hosts in
            one second, as a multiple of what its service says it takes.
        cold_rate_slack: How many more there may be.
    """

    stop_seconds: float | None = None
    repeat_ratio: float | None = None
    repeat_slack: float | None = None
    repeat_window_seconds: float | None = None
    probes_per_second: float | None = None
    cold_rate_ratio: float | None = None
    cold_rate_slack: float | None = None


READERS = {
    "grace": ("stop_seconds", read_seconds),
    "budget_ratio": ("repeat_ratio", float),
    "budget_slack": ("repeat_slack", float),
    "budget_window": ("repeat_window_seconds", read_seconds),
    "probes_per_s": ("probes_per_second", float),
    "cold_over": ("cold_rate_ratio", float),
    "cold_slack": ("cold_rate_slack", float),
}
"""Field and reader of each bound, by the platform's name for it."""


def read_bounds(texts: Sequence[str]) -> Bounds:
    """Return the bounds in `texts`; names that are not used are passed over.

    Raises:
        BoundsError: A bound that is used has no readable figure.
    """
    found = {}
    for text in texts:
        name, equals, value = text.partition("=")
        if not equals:
            message = f"platform.store.bounds: {text}: must be NAME=VALUE"
            raise BoundsError(message)
        if name not in READERS:
            continue
        field, read = READERS[name]
        try:
            found[field] = read(value)
        except ValueError as error:
            message = f"platform.store.bounds: {text}: {error}"
            raise BoundsError(message) from error
    return Bounds(**found)


def bounded(settings: Settings) -> Settings:
    """Return `settings` with the platform's bounds in their places."""
    bounds = read_bounds(settings.platform.store.bounds)
    lifecycle, attempts = settings.lifecycle, settings.attempts
    measure = settings.measure
    if bounds.stop_seconds is not None:
        drain = max(1.0, bounds.stop_seconds - KILL_MARGIN_SECONDS)
        lifecycle = lifecycle.copy_with(
            {
                "drain_seconds": drain,
                "notice_seconds": min(
                    lifecycle.notice_seconds, NOTICE_SHARE * drain
                ),
            }
        )
    attempts = attempts.copy_with(
        _given(
            fleet_ratio=bounds.repeat_ratio,
            fleet_slack=bounds.repeat_slack,
            fleet_window_seconds=bounds.repeat_window_seconds,
        )
    )
    if bounds.probes_per_second is not None:
        most = bounds.probes_per_second * PROBE_SHARE
        wanted = measure.target_probes_per_second
        measure = measure.copy_with(
            {"target_probes_per_second": min(wanted, most)}
        )
    balance = settings.balance.copy_with(
        _given(
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


def _given(**values: float | None) -> dict[str, float]:
    return {name: v for name, v in values.items() if v is not None}
