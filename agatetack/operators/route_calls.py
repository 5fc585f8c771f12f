"""Answer the calls about routes and changes."""

import dataclasses

from agatetack.config.route import RequestClass, Route
from agatetack.ids import Deadline, LogOffset, RouteId, ServiceId, TeamId
from agatetack.logs import PartLog
from agatetack.operators import checks, requests
from agatetack.operators.access import Operator
from agatetack.operators.backend import OperatorsBackend, RequestedChange
from agatetack.operators.paging import take_page
from agatetack.operators.refusals import (
    ChangeRejected,
    Entity,
    LimitExceeded,
    NotFound,
    OperatorsError,
    Unavailable,
    UnavailableReason,
)
from agatetack.operators.team_limits import check_team_limits
from agatetack.operators.views import (
    Change,
    ChangeKind,
    ChangeRejection,
    ChangeResult,
    ChangeState,
    Finding,
    RouteList,
    RouteRecord,
)
from agatetack.settings.model import OperatorRole, Settings

BEHIND_RETRY_MS = 200
"""When to ask a host again that has not read up to a version yet."""

log = PartLog("operators")


class RouteCalls:
    """The calls about routes and changes.

    Whether an operator may change a route is decided by the route in force
    here. That is safe only while it is the version that the change expects,
    so a change that expects another version is never sent to the log.
    """

    def __init__(self, settings: Settings, backend: OperatorsBackend):
        """Answer for the host behind `backend`."""
        self.settings = settings
        self.backend = backend

    async def list_routes(
        self, operator: Operator, request: requests.ListRoutesRequest
    ) -> RouteList:
        """Return the routes in the operator's scope."""
        operator.require(OperatorRole.READ)
        known = checks.unwrap(self.backend.routes())
        listed = [
            record
            for record in known.routes
            if operator.covers(record.route.service)
            and request.service in (None, record.route.service)
            and request.team in (None, record.route.team)
        ]
        page = await take_page(listed, lambda record: record.route.id, request)
        return RouteList(page.items, known.offset, page.next_after)

    async def get_route(
        self, operator: Operator, request: requests.GetRouteRequest
    ) -> RouteRecord:
        """Return one route."""
        operator.require(OperatorRole.READ)
        record = self._find(request.route_id)
        if record is None or not operator.covers(record.route.service):
            raise _no_route(request.route_id)
        return record

    async def apply_route(
        self, operator: Operator, request: requests.ApplyRouteRequest
    ) -> ChangeResult:
        """Create or replace a route."""
        route = dataclasses.replace(request.route, version=LogOffset(-1))
        operator.require(OperatorRole.CHANGE)
        operator.require_service(route.service)
        operator.require_team(route.team)
        change = RequestedChange(
            request.change_id,
            ChangeKind.APPLY,
            route,
            request.expected_version,
            operator.name,
        )
        return await self._change(operator, change, request)

    async def delete_route(
        self, operator: Operator, request: requests.DeleteRouteRequest
    ) -> ChangeResult:
        """Delete a route."""
        operator.require(OperatorRole.CHANGE)
        record = self._find(request.route_id)
        change = RequestedChange(
            request.change_id,
            ChangeKind.DELETE,
            _placeholder(request.route_id) if record is None else record.route,
            request.expected_version,
            operator.name,
        )
        return await self._change(operator, change, request)

    async def get_change(
        self, operator: Operator, request: requests.GetChangeRequest
    ) -> Change:
        """Return what became of a change.

        An operator without access to its route learns only its state.
        """
        operator.require(OperatorRole.READ)
        checks.check_text("request.change_id", request.change_id)
        deadline = checks.deadline_after(request.timeout_ms)
        known = checks.unwrap(
            await self.backend.change(request.change_id, deadline)
        )
        if operator.all_services:
            return known
        if known.route_id and self._visible(operator, known.route_id):
            return known
        return Change(known.change_id, known.state, known.version)

    def _find(self, route_id: RouteId) -> RouteRecord | None:
        for record in checks.unwrap(self.backend.routes()).routes:
            if record.route.id == route_id:
                return record
        return None

    async def _change(
        self,
        operator: Operator,
        change: RequestedChange,
        request: requests.ApplyRouteRequest | requests.DeleteRouteRequest,
    ) -> ChangeResult:
        deadline = checks.deadline_after(request.timeout_ms)
        checks.check_text("request.change_id", change.id)
        previous = self._find(change.route.id)
        if request.dry_run:
            _require_owner(operator, previous)
            findings = self._findings(change, previous)
            return ChangeResult(
                change.id, change.kind, True, findings, previous=previous
            )
        version = await self._commit(operator, change, previous, deadline)
        seen = _only_covered(operator, previous)
        return ChangeResult(change.id, change.kind, False, (), version, seen)

    async def _commit(
        self,
        operator: Operator,
        change: RequestedChange,
        previous: RouteRecord | None,
        deadline: Deadline,
    ) -> LogOffset:
        """Check the change, have it appended and write the audit line."""
        try:
            if not await self._is_decided(change, deadline):
                self._check(operator, change, previous)
            version = checks.unwrap(await self.backend.apply(change, deadline))
        except OperatorsError as error:
            _audit(operator, change, f"{type(error).__name__}: {error}")
            if isinstance(error, ChangeRejected):
                error.current = _only_covered(operator, error.current)
            raise
        _audit(operator, change, f"accepted as version {version}")
        return version

    async def _is_decided(
        self, change: RequestedChange, deadline: Deadline
    ) -> bool:
        """Return whether this is a repeat of a change decided before.

        Its own effect would fail the checks. It needs none, as a change id
        that was decided never has an effect again.
        """
        known = checks.unwrap(await self.backend.change(change.id, deadline))
        return known.state in (ChangeState.ACCEPTED, ChangeState.REJECTED)

    def _check(
        self,
        operator: Operator,
        change: RequestedChange,
        previous: RouteRecord | None,
    ) -> None:
        """Raise the first error that keeps `change` from the log."""
        self._check_behind(change)
        _require_owner(operator, previous)
        self._check_version(change, previous)
        findings = tuple(self.backend.check(change))
        if findings:
            raise ChangeRejected(
                ChangeRejection.INVALID,
                "; ".join(f"{f.place} {f.message}" for f in findings),
                change.id,
                findings,
                previous,
            )
        exceeded = self._exceeded_limit(change)
        if exceeded is not None:
            raise exceeded

    def _check_behind(self, change: RequestedChange) -> None:
        """Raise if the version expected is one that this host has not read."""
        expected = change.expected_version
        known = checks.unwrap(self.backend.routes())
        if expected is not None and expected >= known.offset:
            raise Unavailable(
                UnavailableReason.BEHIND,
                f"this host has read the log up to {known.offset} only",
                BEHIND_RETRY_MS,
            )

    def _check_version(
        self, change: RequestedChange, previous: RouteRecord | None
    ) -> None:
        """Raise unless the route here has the version expected."""
        current = None if previous is None else previous.version
        if current == change.expected_version:
            return
        if previous is None and change.kind is ChangeKind.DELETE:
            raise _no_route(change.route.id)
        raise ChangeRejected(
            ChangeRejection.VERSION_CONFLICT,
            _conflict_message(change, current),
            change.id,
            current=previous,
        )

    def _findings(
        self,
        change: RequestedChange,
        previous: RouteRecord | None,
    ) -> tuple[Finding, ...]:
        """Return everything that speaks against `change`."""
        findings = list(self.backend.check(change))
        try:
            self._check_behind(change)
            self._check_version(change, previous)
        except (ChangeRejected, NotFound, Unavailable) as error:
            findings.append(Finding("expected_version", error.message))
        exceeded = self._exceeded_limit(change)
        if exceeded is not None:
            findings.append(Finding("route", exceeded.message))
        return tuple(findings)

    def _exceeded_limit(self, change: RequestedChange) -> LimitExceeded | None:
        if change.kind is ChangeKind.DELETE:
            return None
        known = checks.unwrap(self.backend.routes())
        routes = [record.route for record in known.routes]
        return check_team_limits(self.settings, routes, change.route)

    def _visible(
        self, operator: Operator, route_id: RouteId
    ) -> RouteRecord | None:
        return _only_covered(operator, self._find(route_id))


def _only_covered(
    operator: Operator, record: RouteRecord | None
) -> RouteRecord | None:
    """Return `record` if the operator may read it."""
    if record is None or not operator.covers(record.route.service):
        return None
    return record


def _require_owner(operator: Operator, record: RouteRecord | None) -> None:
    """Raise AccessDenied if the route in force is not the operator's."""
    if record is not None:
        operator.require_service(record.route.service)
        operator.require_team(record.route.team)


def _conflict_message(
    change: RequestedChange, current: LogOffset | None
) -> str:
    if current is None:
        return f"route {change.route.id} does not exist"
    if change.expected_version is None:
        return f"route {change.route.id} exists with version {current}"
    return (
        f"route {change.route.id} has version {current},"
        f" not {change.expected_version}"
    )


def _no_route(route_id: RouteId) -> NotFound:
    return NotFound(Entity.ROUTE, route_id, f"there is no route {route_id}")


def _placeholder(route_id: RouteId) -> Route:
    """Stand for a route that is not known, as an earlier delete leaves it."""
    return Route(
        route_id, TeamId(""), ServiceId(""), RequestClass.FAST, path_prefix="/"
    )


def _audit(operator: Operator, change: RequestedChange, result: str) -> None:
    """Write who changed what, and what became of it."""
    log.info(
        "Change %s by %s of team %s: %s route %s of service %s, expected"
        " version %s: %s.",
        change.id,
        operator.name,
        operator.team or "-",
        change.kind.value,
        change.route.id,
        change.route.service,
        change.expected_version,
        result,
    )
