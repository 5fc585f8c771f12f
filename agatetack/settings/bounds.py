"""Apply the bounds of a deployment to the settings."""

import dataclasses

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


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of a deployment that are used; None where it sets none.

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
        strict_revocation: Whether a revoked API key may not be used even at a
            host that has lost touch.
        revocation_seconds: Time after which it may not.
        quota_window_seconds: Length of the window in which requests of a
            client account are counted.
        quota_ratio: Share by which an account may exceed its quota.
        quota_slack: Number of requests by which it may exceed it besides.
    """

    stop_seconds: float | None = None
    repeat_ratio: float | None = None
    repeat_slack: float | None = None
    repeat_window_seconds: float | None = None
    probes_per_second: float | None = None
    cold_rate_ratio: float | None = None
    cold_rate_slack: float | None = None
    strict_revocation: bool | None = None
    revocation_seconds: float | None = None
    quota_window_seconds: float | None = None
    quota_ratio: float | None = None
    quota_slack: float | None = None


def settings_within(settings: Settings, bounds: Bounds) -> Settings:
    """Return a copy of `settings` with `bounds` applied."""
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
    identity = settings.identity.copy_with(
        _drop_none(
            strict_revocation=bounds.strict_revocation,
            revocation_seconds=bounds.revocation_seconds,
        )
    )
    quotas = settings.quotas.copy_with(
        _drop_none(
            window_seconds=bounds.quota_window_seconds,
            overshoot_ratio=bounds.quota_ratio,
            overshoot_slack=bounds.quota_slack,
        )
    )
    return settings.copy_with(
        {
            "lifecycle": lifecycle,
            "balance": balance,
            "attempts": attempts,
            "measure": measure,
            "identity": identity,
            "quotas": quotas,
        }
    )


def _drop_none(**values: float | None) -> dict[str, float]:
    return {name: v for name, v in values.items() if v is not None}
