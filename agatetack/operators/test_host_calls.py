"""Test the calls about hosts, targets, claims, quarantine and requests."""

import pytest

from agatetack.ids import HostId, IdempotencyKey, RequestId, RouteId
from agatetack.operators import refusals, requests
from agatetack.operators.access import Operator
from agatetack.operators.conftest import (
    make_backend,
    make_settings,
    make_target,
)
from agatetack.operators.host_calls import HostCalls
from agatetack.operators.request_views import (
    ClaimState,
    ClaimView,
    ExplainedRequest,
    Explanation,
)
from agatetack.settings.model import OperatorRole

FIRST_TARGET = "127.0.0.1:9001"


def make_operator(*services, roles=OperatorRole):
    return Operator("ann", "panel", frozenset(roles), frozenset(services))


@pytest.fixture
def backend():
    return make_backend(make_settings())


@pytest.mark.parametrize(
    ("services", "seen"),
    [(("profiles",), 1), (("parcels", "profiles"), 2), (("*",), 2), ((), 0)],
)
async def test_lists_hold_the_operators_services_only(backend, services, seen):
    operator, calls = make_operator(*services), HostCalls(backend)
    key = IdempotencyKey("k")
    backend.listed_claims = [
        ClaimView(RouteId("r1"), service, key, ClaimState.DONE)
        for service in ("profiles", "parcels")
    ]
    targets = await calls.list_targets(operator, requests.ListTargetsRequest())
    suspects = await calls.list_quarantine(
        operator, requests.ListQuarantineRequest()
    )
    claims = await calls.get_claims(operator, requests.GetClaimsRequest(key))
    listed = (targets.targets, suspects.requests, claims.claims)
    assert [len(part) for part in listed] == [seen, seen, seen]


async def test_a_drained_target_can_be_had_back(backend):
    operator, calls = make_operator("profiles"), HostCalls(backend)
    request = requests.DrainTargetRequest(FIRST_TARGET)
    await calls.drain_target(operator, request)
    assert backend.listed_targets[FIRST_TARGET].drained
    await calls.undrain_target(operator, request)
    assert not backend.listed_targets[FIRST_TARGET].drained


async def test_a_released_request_leaves_the_quarantine(backend):
    request = requests.ReleaseQuarantinedRequest("f1")
    await HostCalls(backend).release_quarantined(
        make_operator("profiles"), request
    )
    assert list(backend.quarantined) == ["f2"]


READ = (OperatorRole.READ,)
CHANGE = (OperatorRole.CHANGE,)


@pytest.mark.parametrize(
    ("call", "request_", "operator", "error"),
    [
        (
            "drain_target",
            requests.DrainTargetRequest(FIRST_TARGET),
            make_operator("profiles", roles=READ),
            refusals.AccessDenied,
        ),
        (
            "drain_target",
            requests.DrainTargetRequest(FIRST_TARGET),
            make_operator("parcels"),
            refusals.AccessDenied,
        ),
        (
            "undrain_target",
            requests.DrainTargetRequest("127.0.0.1:1"),
            make_operator("*"),
            refusals.NotFound,
        ),
        (
            "drain_target",
            requests.DrainTargetRequest(FIRST_TARGET, timeout_ms=0),
            make_operator("*"),
            refusals.InvalidRequest,
        ),
        (
            "drain_host",
            requests.DrainHostRequest(),
            make_operator("profiles"),
            refusals.AccessDenied,
        ),
        (
            "drain_host",
            requests.DrainHostRequest("two\nlines"),
            make_operator("*"),
            refusals.InvalidRequest,
        ),
        (
            "release_quarantined",
            requests.ReleaseQuarantinedRequest("f1"),
            make_operator("*", roles=CHANGE),
            refusals.AccessDenied,
        ),
        (
            "release_quarantined",
            requests.ReleaseQuarantinedRequest("f2"),
            make_operator("profiles"),
            refusals.NotFound,
        ),
        (
            "explain",
            requests.ExplainRequest("never-seen"),
            make_operator("*"),
            refusals.NotFound,
        ),
        (
            "get_claims",
            requests.GetClaimsRequest(""),
            make_operator("*"),
            refusals.InvalidRequest,
        ),
        (
            "get_claims",
            requests.GetClaimsRequest("k" * 201),
            make_operator("*"),
            refusals.InvalidRequest,
        ),
    ],
)
async def test_a_refused_call_changes_nothing(
    backend, call, request_, operator, error
):
    with pytest.raises(error):
        await getattr(HostCalls(backend), call)(operator, request_)
    assert len(backend.quarantined) == 2
    assert backend.stopped_by is None
    assert not any(t.drained for t in backend.listed_targets.values())


@pytest.mark.parametrize(
    ("services", "found"),
    [(("profiles",), ["a"]), (("*",), ["b", "a", "-"])],
)
async def test_explanations_are_sorted_and_scoped(backend, services, found):
    request_id = RequestId("q")
    entries = (("a", 2, "profiles"), ("b", 1, "parcels"), ("-", 3, None))
    backend.explained[request_id] = Explanation(
        tuple(
            ExplainedRequest(request_id, HostId(host), at, (), service=service)
            for host, at, service in entries
        ),
        (HostId("silent"),),
    )
    explanation = await HostCalls(backend).explain(
        make_operator(*services), requests.ExplainRequest(request_id)
    )
    assert [entry.host_id for entry in explanation.requests] == found
    assert explanation.silent_hosts == ("silent",)


@pytest.mark.parametrize(("size", "pages"), [(1, 5), (2, 3), (5, 1), (200, 1)])
async def test_pages_hold_every_target_once(backend, size, pages):
    for port in range(9003, 9006):
        target = make_target(port, "profiles")
        backend.listed_targets[target.target_id] = target
    calls, operator = HostCalls(backend), make_operator("*")
    seen, after, count = [], None, 0
    while after is not None or not count:
        request = requests.ListTargetsRequest(page_size=size, after=after)
        page = await calls.list_targets(operator, request)
        seen += [target.target_id for target in page.targets]
        after, count = page.next_after, count + 1
    assert seen == sorted(backend.listed_targets)
    assert count == pages


@pytest.mark.parametrize("size", [0, -1, 201])
async def test_page_sizes_are_bounded(backend, size):
    with pytest.raises(refusals.InvalidRequest):
        await HostCalls(backend).list_hosts(
            make_operator("*"), requests.ListHostsRequest(page_size=size)
        )
