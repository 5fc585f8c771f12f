"""Refuse changes that would take a team over its limits."""

from collections.abc import Iterable

from agatetack.config.route import Route
from agatetack.ids import TeamId
from agatetack.operators.refusals import LimitExceeded, TeamLimit
from agatetack.settings.model import Settings, TeamLimits


def limits_of(settings: Settings, team: TeamId) -> TeamLimits:
    """Return the limits of `team`: its own, or those of every team."""
    operators = settings.operators
    for limits in operators.team_limits:
        if limits.team == team:
            return limits
    return TeamLimits(
        team=team,
        max_routes=operators.max_routes_per_team,
        max_requests_per_second=operators.max_requests_per_second_per_team,
    )


def check_team_limits(
    settings: Settings, routes: Iterable[Route], wanted: Route
) -> LimitExceeded | None:
    """Return which limit `wanted` would exceed beside `routes`, if any."""
    limits = limits_of(settings, wanted.team)
    others = [
        route
        for route in routes
        if route.team == wanted.team and route.id != wanted.id
    ]
    if len(others) + 1 > limits.max_routes:
        return LimitExceeded(
            TeamLimit.ROUTES,
            f"team {wanted.team} may have {limits.max_routes} routes",
            allowed=limits.max_routes,
            wanted=len(others) + 1,
        )
    most = limits.max_requests_per_second
    if most == 0:
        return None
    if wanted.requests_per_second == 0:
        return LimitExceeded(
            TeamLimit.UNLIMITED_ROUTE,
            f"team {wanted.team} has a limit of {most:g} requests/s, so the"
            " route must state requests_per_second",
            allowed=most,
            wanted=0.0,
        )
    rate = wanted.requests_per_second + sum(
        route.requests_per_second for route in others
    )
    if rate <= most:
        return None
    return LimitExceeded(
        TeamLimit.REQUESTS_PER_SECOND,
        f"routes of team {wanted.team} may take {most:g} requests/s together",
        allowed=most,
        wanted=rate,
    )
