"""Answer the calls about routes and changes."""

import dataclasses

from agatetack.config.route import RequestClass, Route
from agatetack.ids import Deadline, LogOffset, RouteId, ServiceId, TeamId
from agatetack.logs import PartLog
from agatetack.operators import checks, requests
from agatetack.operators.access import Operator
from agatetack.operators.backend import OperatorsBackend, RequestedChange
from agatetack.operators.change_check import (
    ChangeCheck,
    find_route,
    no_route,
)
from agatetack.operators.paging import take_page
from agatetack.operators.refusals import (
    ChangeRejected,
    OperatorsError,
)
from agatetack.operators.views import (
    Change,
    ChangeKind,
    ChangeResult,
    ChangeState,
    RouteList,
    RouteRecord,
)
from agatetack.settings.model import OperatorRole, Settings

log = PartLog("operators")


class RouteCalls:
    """The calls about routes and changes."""

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
            raise no_route(request.route_id)
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
        return find_route(checks.unwrap(self.backend.routes()), route_id)

    async def _change(
        self,
        operator: Operator,
        change: RequestedChange,
        request: requests.ApplyRouteRequest | requests.DeleteRouteRequest,
    ) -> ChangeResult:
        deadline = checks.deadline_after(request.timeout_ms)
        checks.check_text("request.change_id", change.id)
        if request.dry_run:
            check = self._check(operator, change)
            check.require_owner()
            return ChangeResult(
                change.id,
                change.kind,
                True,
                check.findings(),
                previous=check.previous,
            )
        decided = await self._is_decided(change, deadline)
        check = self._check(operator, change)
        version = await self._commit(check, decided, deadline)
        seen = _only_covered(operator, check.previous)
        return ChangeResult(change.id, change.kind, False, (), version, seen)

    def _check(
        self, operator: Operator, change: RequestedChange
    ) -> ChangeCheck:
        return ChangeCheck(self.settings, self.backend, operator, change)

    async def _commit(
        self, check: ChangeCheck, decided: bool, deadline: Deadline
    ) -> LogOffset:
        """Check the change, have it appended and write the audit line.

        Args:
            check: The change and its checks.
            decided: Whether it is a repeat, which is not checked again.
            deadline: When to give up waiting for the log.
        """
        operator, change = check.operator, check.change
        try:
            if not decided:
                check.require()
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
