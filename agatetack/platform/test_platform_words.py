"""Test that the platform's names occur only in its adapter."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
ADAPTER = ROOT / "agatetack/platform"
STAND_INS = ROOT / "agatetack/testing"
GENERATED = ROOT / "agatetack/generated"

NAMES = (
    "request-timeout-ms",
    "target-instance",
    "server-signature",
    "server-load",
    "not-executed",
    "instance-id",
    "keyed.op",
    "keyed.servers",
    "non_idempotent",
    "traffic_split",
    "route_type",
    'target_latency"',
    "warmup_left",
    "health_path",
    "log-newest",
    "log-read",
    "log-append",
    "store-era",
    "server-leaving",
    "budget_ratio",
    "budget_slack",
    "probes_per_s\\b",
    "op/config",
    "tenant-id",
    "api_keys",
    "rate_per_s\\b",
    "burst_size",
    "strict_revoke\\b",
    "quota_over\\b",
)
"""The platform's names of headers, topics, route types, fields, calls and
bounds, as regular expressions except that a dot matches only a dot."""


def product_sources():
    """Yield modules, but no tests, stand-ins, adapter or generated code."""
    for path in sorted((ROOT / "agatetack").rglob("*.py")):
        outside = not any(
            folder in path.parents for folder in (ADAPTER, STAND_INS, GENERATED)
        )
        if outside and not path.name.startswith("test_"):
            yield path


@pytest.mark.parametrize("name", NAMES)
def test_the_platforms_names_stand_in_the_adapter_alone(name):
    pattern = re.compile(name.replace(".", "[.]"), re.IGNORECASE)
    found = [
        f"{path.relative_to(ROOT)}: {line.strip()}"
        for path in product_sources()
        for line in path.read_text().splitlines()
        if pattern.search(line)
    ]
    assert found == []


def test_only_the_wiring_uses_the_adapter():
    users = {
        path.name
        for path in product_sources()
        if "from agatetack.platform" in path.read_text()
    }
    assert users == {"store_gateway.py", "store_daemon.py"}


def test_the_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines())
        for path in ADAPTER.glob("*.py")
        if not path.name.startswith("test_")
    )
    assert lines < 800
