"""Test what operators may change and how a race between them ends."""

import contextlib
import dataclasses

import pytest

from agatetack.ids import ChangeId, LogOffset, RouteId
from agatetack.operators import refusals, route_calls
from agatetack.operators.access import Operator
from agatetack.operators.conftest import (
    make_backend,
    make_route,
    make_settings,
)
from agatetack.operators.refusals import (
    AccessProblem,
    TeamLimit,
    UnavailableReason,
)
from agatetack.operators.requests import (
    ApplyRouteRequest,
    DeleteRouteRequest,
    GetChangeRequest,
    ListRoutesRequest,
)
from agatetack.operators.route_calls import RouteCalls
from agatetack.operators.team_limits import check_team_limits
from agatetack.operators.views import ChangeRejection, ChangeState

NEW = make_route("r2", "payouts")


class Bench:
    """Route calls over a host in memory, by an operator of its settings."""

    def __init__(self, **operators):
        """Lay `operators` over the settings."""
        self.settings = make_settings(**operators)
        self.backend = make_backend(self.settings)
        self.calls = RouteCalls(self.settings, self.backend)

    def operator(self, name="ann"):
        token = next(
            t for t in self.settings.operators.tokens if t.name == name
        )
        return Operator(
            name, token.team, frozenset(token.roles), frozenset(token.services)
        )

    async def apply(self, route, expected=None, who="ann", **fields):
        change_id = ChangeId(fields.pop("change_id", "c1"))
        request = ApplyRouteRequest(route, change_id, expected, **fields)
        return await self.calls.apply_route(self.operator(who), request)

    async def delete(self, route_id, expected, who="ann", change_id="c1"):
        request = DeleteRouteRequest(
            RouteId(route_id), ChangeId(change_id), LogOffset(expected)
        )
        return await self.calls.delete_route(self.operator(who), request)


@pytest.mark.parametrize(
    ("route", "expected", "who", "error", "detail"),
    [
        (NEW, None, "reader", "AccessDenied", AccessProblem.ROLE_MISSING),
        (
            make_route("r2", "parcels"),
            None,
            "ann",
            "AccessDenied",
            AccessProblem.SERVICE_OUT_OF_SCOPE,
        ),
        (
            make_route("r2", team="easements"),
            None,
            "ann",
            "AccessDenied",
            AccessProblem.OTHER_TEAM,
        ),
        # A route of another team cannot be taken over under its own id.
        (
            make_route("p1"),
            1,
            "ann",
            "AccessDenied",
            AccessProblem.SERVICE_OUT_OF_SCOPE,
        ),
        (
            make_route("p1"),
            None,
            "ann",
            "AccessDenied",
            AccessProblem.SERVICE_OUT_OF_SCOPE,
        ),
        (
            make_route("r1"),
            None,
            "ann",
            "ChangeRejected",
            ChangeRejection.VERSION_CONFLICT,
        ),
        (
            NEW,
            1,
            "ann",
            "ChangeRejected",
            ChangeRejection.VERSION_CONFLICT,
        ),
        (
            make_route("r1"),
            99,
            "ann",
            "Unavailable",
            UnavailableReason.BEHIND,
        ),
        (
            make_route("r2", path_prefix="no-slash"),
            None,
            "ann",
            "ChangeRejected",
            ChangeRejection.INVALID,
        ),
    ],
)
async def test_a_refused_change_never_reaches_the_log(
    route, expected, who, error, detail
):
    bench = Bench()
    before = dict(bench.backend.records)
    with pytest.raises(getattr(refusals, error)) as caught:
        await bench.apply(route, expected, who)
    told = getattr(caught.value, "problem", None) or caught.value.reason
    assert told is detail
    assert not bench.backend.applied
    assert bench.backend.records == before


async def test_a_repeated_change_is_answered_as_before():
    bench = Bench()
    doubt = refusals.ChangeInDoubt("reply lost", ChangeId("c1"), 10)
    bench.backend.failures.append(doubt)
    with pytest.raises(refusals.ChangeInDoubt):
        await bench.apply(NEW)
    assert (await bench.apply(NEW)).version == 2
    assert bench.backend.offset == 3
    await bench.delete("r2", 2, change_id="gone")
    assert (await bench.delete("r2", 2, change_id="gone")).version == 3


async def test_a_dry_run_shows_no_route_of_others():
    bench = Bench()
    with pytest.raises(refusals.AccessDenied):
        await bench.apply(make_route("p1"), 1, dry_run=True)


async def test_a_rejection_shows_no_route_of_others():
    bench = Bench()
    bench.backend.failures = [
        refusals.ChangeRejected(
            ChangeRejection.VERSION_CONFLICT,
            "lost",
            ChangeId("c1"),
            current=bench.backend.records[RouteId("p1")],
        )
    ]
    with pytest.raises(refusals.ChangeRejected) as caught:
        await bench.apply(NEW)
    assert caught.value.current is None


async def test_a_repeat_shows_no_route_of_others():
    bench = Bench()
    await bench.apply(NEW)
    await bench.delete("r2", 2, change_id="gone")
    await bench.apply(make_route("r2", "parcels"), None, "root", change_id="t")
    repeated = await bench.apply(NEW)
    assert (repeated.version, repeated.previous) == (2, None)


async def test_a_dry_run_tells_everything_and_changes_nothing():
    bench = Bench(max_routes_per_team=1)
    route = make_route("r2", path_prefix="no-slash", max_queue=-1)
    result = await bench.apply(route, 1, dry_run=True)
    assert [found.place for found in result.findings] == [
        "route.path_prefix",
        "route.max_queue",
        "expected_version",
        "route",
    ]
    assert not bench.backend.applied


@pytest.mark.parametrize(
    ("who", "route_id", "expected", "error"),
    [
        ("ann", "p1", 1, refusals.AccessDenied),
        ("reader", "r1", 0, refusals.AccessDenied),
        ("ann", "none", 0, refusals.NotFound),
        ("ann", "none", 50, refusals.Unavailable),
        ("ann", "r1", 1, refusals.ChangeRejected),
    ],
)
async def test_a_refused_delete_leaves_the_route(
    who, route_id, expected, error
):
    bench = Bench()
    with pytest.raises(error):
        await bench.delete(route_id, expected, who)
    assert set(bench.backend.records) == {"r1", "p1"}


@pytest.mark.parametrize(
    ("who", "seen"),
    [("ann", ["r1"]), ("bob", ["p1"]), ("root", ["p1", "r1"])],
)
async def test_operators_see_the_routes_of_their_services(who, seen):
    bench = Bench()
    operator = bench.operator(who)
    listed = await bench.calls.list_routes(operator, ListRoutesRequest())
    assert [record.route.id for record in listed.routes] == seen


async def test_a_change_of_others_shows_its_state_only():
    bench = Bench()
    await bench.apply(NEW)
    request = GetChangeRequest(ChangeId("c1"))
    own = await bench.calls.get_change(bench.operator("ann"), request)
    other = await bench.calls.get_change(bench.operator("bob"), request)
    assert own.author == "ann"
    assert other.state is ChangeState.ACCEPTED
    assert (other.author, other.route_id) == (None, None)


@pytest.mark.parametrize(
    ("limits", "rate", "exceeded"),
    [
        ({"max_routes_per_team": 2}, 0, None),
        ({"max_routes_per_team": 1}, 0, TeamLimit.ROUTES),
        ({"max_requests_per_second_per_team": 100}, 90, None),
        (
            {"max_requests_per_second_per_team": 100},
            91,
            TeamLimit.REQUESTS_PER_SECOND,
        ),
        (
            {"max_requests_per_second_per_team": 100},
            0,
            TeamLimit.UNLIMITED_ROUTE,
        ),
        (
            {
                "max_routes_per_team": 1,
                "team_limits": [
                    {
                        "team": "panel",
                        "max_routes": 9,
                        "max_requests_per_second": 0,
                    }
                ],
            },
            0,
            None,
        ),
    ],
)
def test_a_team_keeps_within_its_limits(limits, rate, exceeded):
    others = [
        make_route("r1", requests_per_second=10.0),
        make_route("p1", team="easements", requests_per_second=1000.0),
        make_route("r2", requests_per_second=5000.0),
    ]
    wanted = make_route("r2", requests_per_second=rate)
    found = check_team_limits(make_settings(**limits), others, wanted)
    assert (found and found.limit) is exceeded


async def test_a_change_over_a_limit_is_refused():
    bench = Bench(max_routes_per_team=1)
    with pytest.raises(refusals.LimitExceeded):
        await bench.apply(NEW)
    assert not bench.backend.applied
    await bench.apply(make_route("r1", max_queue=3), 0)


@pytest.mark.parametrize(
    ("route", "result"),
    [
        (NEW, "accepted as version 2."),
        (make_route("r1"), "ChangeRejected: route r1 exists with version 0."),
    ],
)
async def test_every_change_leaves_a_line(monkeypatch, route, result):
    lines = []
    monkeypatch.setattr(
        route_calls.log, "info", lambda text, *args: lines.append(text % args)
    )
    bench = Bench()
    with contextlib.suppress(refusals.ChangeRejected):
        await bench.apply(route)
    (line,) = lines
    assert line.startswith("Change c1 by ann of team panel: apply route ")
    assert line.endswith(result)


async def test_a_route_of_another_team_on_a_shared_service_stays_theirs():
    bench = Bench()
    theirs = make_route("shared", "profiles", "easements")
    version = (await bench.apply(theirs, None, "root", change_id="t")).version
    mine = dataclasses.replace(theirs, team="panel")
    for attempt in (
        bench.apply(mine, version, change_id="mine"),
        bench.delete("shared", version, change_id="gone"),
    ):
        with pytest.raises(refusals.AccessDenied) as caught:
            await attempt
        assert caught.value.problem is AccessProblem.OTHER_TEAM


async def test_a_team_over_its_limits_can_delete():
    bench = Bench()
    version = (await bench.apply(NEW)).version
    bench.calls.settings = make_settings(max_routes_per_team=1)
    await bench.delete("r2", version, change_id="gone")
    assert set(bench.backend.records) == {"r1", "p1"}
