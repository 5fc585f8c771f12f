"""Test that the platform's bounds are applied to the settings."""

import pytest

from agatetack.platform.bounds import (
    BoundsError,
    apply_bounds,
    read_bounds,
)
from agatetack.settings.bounds import KILL_MARGIN_SECONDS, MAX_PROBE_RATIO
from agatetack.settings.defaults import default_settings
from agatetack.testing.store_fleet import template_settings


def with_bounds(*bounds):
    store = {"endpoint": "127.0.0.1:1", "bounds": list(bounds)}
    return apply_bounds(
        default_settings(
            platform={"store": store},
            measure={"target_probes_per_second": 20.0},
        )
    )


@pytest.mark.parametrize(
    ("bound", "section", "name", "value"),
    [
        ("grace=6s", "lifecycle", "drain_seconds", 6 - KILL_MARGIN_SECONDS),
        ("grace=2500ms", "lifecycle", "notice_seconds", 0.6 * 2.1),
        ("budget_ratio=0.25", "attempts", "fleet_ratio", 0.25),
        ("budget_slack=58", "attempts", "fleet_slack", 58.0),
        ("budget_window=10s", "attempts", "fleet_window_seconds", 10.0),
        (
            "probes_per_s=40",
            "measure",
            "target_probes_per_second",
            40 * MAX_PROBE_RATIO,
        ),
        ("probes_per_s=400", "measure", "target_probes_per_second", 20.0),
        ("strict_revoke=true", "identity", "strict_revocation", True),
        ("revoke=4500ms", "identity", "revocation_seconds", 4.5),
        ("quota_window=6s", "quotas", "window_seconds", 6.0),
        ("quota_over=0.1", "quotas", "overshoot_ratio", 0.1),
        ("quota_slack=20", "quotas", "overshoot_slack", 20.0),
    ],
)
def test_each_bound_has_its_place(bound, section, name, value):
    settings = with_bounds("seed_lag=3s", bound)
    assert getattr(getattr(settings, section), name) == pytest.approx(value)


@pytest.mark.parametrize(
    "bound", ["6s", "grace=6", "budget_ratio=x", "grace=", "strict_revoke=1"]
)
def test_a_bound_that_cannot_be_read_is_told(bound):
    with pytest.raises(BoundsError, match="platform.store.bounds"):
        read_bounds([bound])


def test_the_template_gives_the_bounds_by_name():
    settings = template_settings(1)
    assert settings.attempts.fleet_ratio == 0.2
    assert settings.lifecycle.drain_seconds == 6 - KILL_MARGIN_SECONDS
