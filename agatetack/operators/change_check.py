"""Decide whether a change may go to the log."""

from agatetack.ids import LogOffset, RouteId
from agatetack.operators import checks
from agatetack.operators.access import Operator
from agatetack.operators.backend import OperatorsBackend, RequestedChange
from agatetack.operators.refusals import (
    ChangeRejected,
    Entity,
    LimitExceeded,
    NotFound,
    Unavailable,
    UnavailableReason,
)
from agatetack.operators.team_limits import check_team_limits
from agatetack.operators.views import (
    ChangeKind,
    ChangeRejection,
    Finding,
    RouteList,
    RouteRecord,
)
from agatetack.settings.model import Settings

BEHIND_RETRY_MS = 200
"""When to ask a host again that has not read up to a version yet."""


class ChangeCheck:
    """The checks of one change against one view of the routes in force.

    Whether an operator may change a route is decided by the route in force
    here. That is safe only while it is the version that the change expects,
    so a change that expects another version is never sent to the log.

    Attributes:
        previous: The route in force that the change is about, or None.
    """

    def __init__(
        self,
        settings: Settings,
        backend: OperatorsBackend,
        operator: Operator,
        change: RequestedChange,
    ):
        """Look at the routes in force now.

        Raises:
            Unavailable: No configuration was read yet.
        """
        self.settings = settings
        self.backend = backend
        self.operator = operator
        self.change = change
        self.known = checks.unwrap(backend.routes())
        self.previous = find_route(self.known, change.route.id)

    def require(self) -> None:
        """Raise the first error that keeps the change from the log."""
        self._require_read()
        self.require_owner()
        self._require_version()
        findings = tuple(self.backend.check(self.change))
        if findings:
            raise ChangeRejected(
                ChangeRejection.INVALID,
                "; ".join(f"{f.place} {f.message}" for f in findings),
                self.change.id,
                findings,
                self.previous,
            )
        exceeded = self._exceeded_limit()
        if exceeded is not None:
            raise exceeded

    def findings(self) -> tuple[Finding, ...]:
        """Return everything that speaks against the change."""
        findings = list(self.backend.check(self.change))
        try:
            self._require_read()
            self._require_version()
        except (ChangeRejected, NotFound, Unavailable) as error:
            findings.append(Finding("expected_version", error.message))
        exceeded = self._exceeded_limit()
        if exceeded is not None:
            findings.append(Finding("route", exceeded.message))
        return tuple(findings)

    def require_owner(self) -> None:
        """Raise AccessDenied if the route in force is not the operator's."""
        if self.previous is not None:
            self.operator.require_service(self.previous.route.service)
            self.operator.require_team(self.previous.route.team)

    def _require_read(self) -> None:
        """Raise if the version expected is one that this host has not read."""
        expected = self.change.expected_version
        if expected is not None and expected >= self.known.offset:
            raise Unavailable(
                UnavailableReason.BEHIND,
                f"this host has read the log up to {self.known.offset} only",
                BEHIND_RETRY_MS,
            )

    def _require_version(self) -> None:
        """Raise unless the route here has the version expected."""
        current = None if self.previous is None else self.previous.version
        if current == self.change.expected_version:
            return
        if self.previous is None and self.change.kind is ChangeKind.DELETE:
            raise no_route(self.change.route.id)
        raise ChangeRejected(
            ChangeRejection.VERSION_CONFLICT,
            _conflict_message(self.change, current),
            self.change.id,
            current=self.previous,
        )

    def _exceeded_limit(self) -> LimitExceeded | None:
        if self.change.kind is ChangeKind.DELETE:
            return None
        routes = [record.route for record in self.known.routes]
        return check_team_limits(self.settings, routes, self.change.route)


def find_route(known: RouteList, route_id: RouteId) -> RouteRecord | None:
    """Return the route with an id, if there is one."""
    for record in known.routes:
        if record.route.id == route_id:
            return record
    return None


def no_route(route_id: RouteId) -> NotFound:
    """Return the error that there is no such route."""
    return NotFound(Entity.ROUTE, route_id, f"there is no route {route_id}")


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
