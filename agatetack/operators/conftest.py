"""Set up a host with an administration API for tests."""

import dataclasses

import pytest

from agatetack.config.route import RequestClass, Route
from agatetack.ids import (
    FailureDomain,
    RouteId,
    ServiceId,
    TargetId,
    TeamId,
)
from agatetack.metrics import Metrics
from agatetack.operators.app import serve_operators
from agatetack.operators.request_views import (
    QuarantinedRequest,
    QuarantineState,
)
from agatetack.operators.tokens import token_digest
from agatetack.operators.views import TargetView
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import Settings
from agatetack.targets.state import TargetStatus
from agatetack.testing.memory_backend import MemoryBackend

ROLES = ["read", "change", "release"]


def make_token(name, team, roles, services):
    """Return an operator of the settings; the token is `NAME-token`."""
    digest = token_digest(f"{name}-token".encode())
    return {
        "name": name,
        "team": team,
        "sha256": digest,
        "roles": roles,
        "services": services,
    }


TOKENS = [
    make_token("ann", "panel", ROLES, ["profiles", "payouts"]),
    make_token("reader", "panel", ["read"], ["profiles"]),
    make_token("writer", "panel", ["change"], ["profiles"]),
    make_token("bob", "easements", ROLES, ["parcels"]),
    make_token("root", "platform", ROLES, ["*"]),
]


def make_settings(**operators):
    """Return settings with `TOKENS`, and `operators` laid over."""
    listen = {"ip": "127.0.0.1", "port": 0}
    return default_settings(
        operators={"listen": listen, "tokens": TOKENS, **operators}
    )


def make_route(name="r1", service="profiles", team="panel", **fields):
    """Return a route that takes `/NAME`."""
    return Route(
        RouteId(name),
        TeamId(team),
        ServiceId(service),
        RequestClass.FAST,
        fields.pop("path_prefix", f"/{name}"),
        **fields,
    )


def make_target(port, service, **fields):
    """Return a ready target on loopback."""
    return TargetView(
        target_id=TargetId(f"127.0.0.1:{port}"),
        service=ServiceId(service),
        failure_domain=FailureDomain(fields.pop("domain", "domain-a")),
        status=TargetStatus.READY,
        drained=False,
        in_flight=1,
        slots=2,
        allowed=8,
        failures=0,
        **fields,
    )


def make_backend(settings):
    """Return a host with routes, targets and suspects of two teams."""
    backend = MemoryBackend(
        settings,
        [make_route("r1"), make_route("p1", "parcels", "easements")],
    )
    for target in (
        make_target(9001, "profiles", report_age_ms=12),
        make_target(9002, "parcels", domain="domain-b"),
    ):
        backend.listed_targets[target.target_id] = target
    for fingerprint, service in (("f1", "profiles"), ("f2", "parcels")):
        backend.quarantined[fingerprint] = QuarantinedRequest(
            fingerprint,
            RouteId("r1"),
            ServiceId(service),
            QuarantineState.REFUSED,
            crashes=2,
            target_ids=(),
            last_crash_unix_ms=0,
        )
    return backend


@dataclasses.dataclass
class Served:
    """A host whose API is served on loopback."""

    settings: Settings
    backend: MemoryBackend
    metrics: Metrics
    url: str


@pytest.fixture
async def served(nursery):
    """Serve a host's API on a port that the kernel chooses."""
    settings = make_settings()
    backend = make_backend(settings)
    metrics = Metrics()
    port = await nursery.start(serve_operators, settings, backend, metrics)
    return Served(settings, backend, metrics, f"http://127.0.0.1:{port}")
