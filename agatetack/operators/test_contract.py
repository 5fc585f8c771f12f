"""Test what every administration API must do, whatever stands behind it.

The table runs against the stand-in backend and a whole host on an in-memory
platform. With AGATETACK_CONTRACT_URL and AGATETACK_TOKEN set (a token with all
roles and services) it runs against that address too; it leaves no routes.
"""

import dataclasses
import os
import uuid

import pytest
import trio

from agatetack.config.route import RequestClass, Route
from agatetack.daemon import serve_host
from agatetack.gateway import Gateway
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import (
    ChangeId,
    FailureDomain,
    HostId,
    IdempotencyKey,
    LogOffset,
    RequestId,
    RouteId,
    ServiceId,
    TargetId,
    TeamId,
)
from agatetack.metrics import Metrics
from agatetack.operators import refusals, requests
from agatetack.operators.app import serve_operators
from agatetack.operators.calls import CallName
from agatetack.operators.client import OperatorsClient
from agatetack.operators.refusals import UnavailableReason
from agatetack.operators.tokens import make_token
from agatetack.operators.views import ChangeRejection, ChangeState
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_backend import MemoryBackend
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import MemoryLog, MemoryLogService

URL_VARIABLE = "AGATETACK_CONTRACT_URL"
READY_SECONDS = 10
TOKEN = make_token("contract", TeamId("platform"))
TARGET = ListedHost(
    HostId("127.0.0.1:9"),
    HostRole.TARGET,
    HostState.LIVE,
    "127.0.0.1",
    9,
    FailureDomain("domain-a"),
    ServiceId("contract"),
)


def make_settings():
    anywhere = {"listen": {"ip": "127.0.0.1", "port": 0}}
    return default_settings(
        callers=anywhere,
        platform={"log": {"poll_seconds": 0.05}},
        peers=anywhere,
        operators={**anywhere, "tokens": [TOKEN.entry.as_map()]},
    )


async def start_memory(nursery):
    settings = make_settings()
    port = await nursery.start(
        serve_operators, settings, MemoryBackend(settings), Metrics()
    )
    return f"http://127.0.0.1:{port}", TOKEN.secret


async def start_host(nursery):
    gateway = Gateway(
        make_settings(),
        MemoryLog(MemoryLogService()),
        MemoryHostList([TARGET]),
    )
    ports = await nursery.start(serve_host, gateway)
    with trio.fail_after(READY_SECONDS):
        while not (gateway.config.ready and gateway.claims.ready):
            await trio.sleep(0.01)
    return f"http://127.0.0.1:{ports.operators}", TOKEN.secret


async def use_address(nursery):
    return os.environ[URL_VARIABLE], os.environ["AGATETACK_TOKEN"]


STARTS = [start_memory, start_host]
if URL_VARIABLE in os.environ:
    STARTS.append(use_address)


@pytest.fixture(params=STARTS, ids=lambda start: start.__name__)
async def api(request, nursery):
    """Yield a client of one implementation."""
    url, token = await request.param(nursery)
    async with OperatorsClient(url, token) as client:
        yield client


def make_route(**fields):
    name = f"contract-{uuid.uuid4().hex[:8]}"
    return Route(
        RouteId(name),
        TeamId("contract"),
        ServiceId("contract"),
        RequestClass.FAST,
        fields.pop("path_prefix", f"/{name}"),
        **fields,
    )


async def apply(api, route, expected=None, change_id=None, dry_run=False):
    change_id = ChangeId(change_id or uuid.uuid4().hex)
    request = requests.ApplyRouteRequest(route, change_id, expected, dry_run)
    return await api.call(CallName.APPLY_ROUTE, request)


async def delete(api, route, expected, change_id=None):
    request = requests.DeleteRouteRequest(
        route.id, ChangeId(change_id or uuid.uuid4().hex), expected
    )
    return await api.call(CallName.DELETE_ROUTE, request)


async def get(api, route):
    request = requests.GetRouteRequest(route.id)
    return await api.call(CallName.GET_ROUTE, request)


async def change_state(api, change_id):
    request = requests.GetChangeRequest(ChangeId(change_id))
    return await api.call(CallName.GET_CHANGE, request)


async def test_a_route_lives_from_create_to_delete(api):
    route = make_route(max_queue=3)
    created = await apply(api, route)
    found = await get(api, route)
    assert found.route == route
    assert (found.version, bool(found.author)) == (created.version, True)
    replaced = await apply(
        api, dataclasses.replace(route, max_queue=4), created.version
    )
    assert replaced.version > created.version
    assert replaced.previous.version == created.version
    deleted = await delete(api, route, replaced.version)
    assert deleted.version > replaced.version
    with pytest.raises(refusals.NotFound):
        await get(api, route)


async def test_one_of_two_racing_changes_wins(api):
    route = make_route()
    base = (await apply(api, route)).version
    results = []

    async def race(max_queue):
        changed = dataclasses.replace(route, max_queue=max_queue)
        try:
            results.append((await apply(api, changed, base)).version)
        except refusals.ChangeRejected as error:
            results.append(error)

    async with trio.open_nursery() as nursery:
        for max_queue in (1, 2, 3):
            nursery.start_soon(race, max_queue)
    (won,) = [result for result in results if isinstance(result, int)]
    lost = [result for result in results if not isinstance(result, int)]
    assert {e.reason for e in lost} == {ChangeRejection.VERSION_CONFLICT}
    winner = (await get(api, route)).route
    assert {error.current.version for error in lost} == {won}
    assert {error.current.route for error in lost} == {winner}
    await delete(api, route, won)


async def test_a_repeat_has_no_second_effect(api):
    route, change_id = make_route(), uuid.uuid4().hex
    first = await apply(api, route, change_id=change_id)
    assert (await apply(api, route, change_id=change_id)).version == (
        first.version
    )
    state = await change_state(api, change_id)
    assert (state.state, state.version) == (
        ChangeState.ACCEPTED,
        first.version,
    )
    with pytest.raises(refusals.ChangeRejected) as caught:
        other = dataclasses.replace(route, max_queue=9)
        await apply(api, other, change_id=change_id)
    assert caught.value.reason is ChangeRejection.CHANGE_ID_REUSED
    gone = uuid.uuid4().hex
    deleted = await delete(api, route, first.version, gone)
    again = await delete(api, route, first.version, gone)
    assert again.version == deleted.version


@pytest.mark.parametrize(
    ("fields", "expected", "error"),
    [
        ({"path_prefix": "no-slash"}, None, refusals.ChangeRejected),
        ({"deadline_seconds": float("nan")}, None, refusals.ChangeRejected),
        ({"max_body_bytes": -1}, None, refusals.ChangeRejected),
        ({}, 10**12, refusals.Unavailable),
    ],
)
async def test_a_bad_change_is_refused(api, fields, expected, error):
    route, change_id = make_route(**fields), uuid.uuid4().hex
    with pytest.raises(error) as caught:
        await apply(api, route, expected, change_id)
    if error is refusals.Unavailable:
        assert caught.value.reason is UnavailableReason.BEHIND
    else:
        dry = await apply(api, route, expected, change_id, dry_run=True)
        assert caught.value.reason is ChangeRejection.INVALID
        assert caught.value.findings == dry.findings != ()
    state = await change_state(api, change_id)
    assert state.state is ChangeState.UNKNOWN


async def test_two_routes_cannot_take_one_path(api):
    route = make_route()
    version = (await apply(api, route)).version
    with pytest.raises(refusals.ChangeRejected):
        await apply(api, make_route(path_prefix=route.path_prefix))
    await delete(api, route, version)


@pytest.mark.parametrize(
    ("name", "request_"),
    [
        (CallName.GET_ROUTE, requests.GetRouteRequest(RouteId("none-such"))),
        (
            CallName.DELETE_ROUTE,
            requests.DeleteRouteRequest(
                RouteId("none-such"), ChangeId("none"), LogOffset(0)
            ),
        ),
        (
            CallName.DRAIN_TARGET,
            requests.DrainTargetRequest(TargetId("127.0.0.9:9")),
        ),
        (
            CallName.RELEASE_QUARANTINED,
            requests.ReleaseQuarantinedRequest("00ff"),
        ),
        (
            CallName.RELEASE_QUARANTINED,
            requests.ReleaseQuarantinedRequest("no hex"),
        ),
        (CallName.EXPLAIN, requests.ExplainRequest(RequestId("none-such"))),
    ],
)
async def test_what_is_not_there_is_not_found(api, name, request_):
    # Before the first record no version can be expected of a route.
    version = (await apply(api, route := make_route())).version
    with pytest.raises(refusals.NotFound):
        await api.call(name, request_)
    await delete(api, route, version)


async def test_the_host_shows_itself(api):
    status = await api.call(CallName.GET_STATUS, requests.GetStatusRequest())
    hosts = await api.list_all(CallName.LIST_HOSTS, requests.ListHostsRequest())
    (own,) = [h for h in hosts.hosts if h.host_id == status.host_id]
    assert own.live and own.last_heard_age_ms is None
    assert status.fleet_size >= 1
    assert status.config_lag_records is not None
    assert status.config_lag_records >= 0
    budget = await api.call(
        CallName.GET_MEASURE_BUDGET, requests.GetMeasureBudgetRequest()
    )
    assert budget.host_probes_per_second <= budget.fleet_probes_per_second
    deferred = await api.call(
        CallName.GET_DEFERRED, requests.GetDeferredRequest()
    )
    assert deferred.max_open > 0
    claims = await api.call(
        CallName.GET_CLAIMS,
        requests.GetClaimsRequest(IdempotencyKey("never-used")),
    )
    assert all(claim.attempt_id is None for claim in claims.claims)


async def test_a_change_moves_the_offset_that_hosts_show(api):
    version = (await apply(api, route := make_route())).version
    hosts = await api.list_all(CallName.LIST_HOSTS, requests.ListHostsRequest())
    assert max(host.config_offset or 0 for host in hosts.hosts) > version
    await delete(api, route, version)
