"""Bring the routes of a file into force, and wait until they are."""

import dataclasses
import enum
import uuid
from collections.abc import Callable, Sequence

import trio

from agatetack.config.route import Route
from agatetack.ids import ChangeId, Deadline, HostId, LogOffset, RouteId
from agatetack.operators.calls import CallName
from agatetack.operators.client import (
    CallEffect,
    CallFailed,
    OperatorsClient,
)
from agatetack.operators.refusals import (
    ChangeInDoubt,
    ChangeRejected,
    OperatorsError,
    Unavailable,
)
from agatetack.operators.requests import (
    ApplyRouteRequest,
    DeleteRouteRequest,
    ListHostsRequest,
    ListRoutesRequest,
)
from agatetack.operators.views import (
    ChangeRejection,
    ChangeResult,
    Finding,
    RouteRecord,
)

RETRY_SECONDS = 0.2
"""Pause before a change in doubt is sent again, if no other is asked for."""

POLL_SECONDS = 0.2
"""Pause between two looks at how far the hosts have read."""

OWN_FIELDS = frozenset({"id", "version"})
"""Fields of a route that no diff shows."""


class Step(enum.Enum):
    """What a plan does with a route."""

    CREATE = "create"
    REPLACE = "replace"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedChange:
    """One change that brings the file's routes into force.

    Attributes:
        step: What to do.
        wanted: The route as the file has it; None to delete.
        previous: What is in force; None to create.
        change_id: Stays the same however often the change is sent.
    """

    step: Step
    wanted: Route | None
    previous: RouteRecord | None
    change_id: ChangeId

    @property
    def route_id(self) -> RouteId:
        """Return which route it is about."""
        route = self.wanted or self.previous.route
        return route.id

    def lines(self) -> list[str]:
        """Return the change as a diff, one line for each field.

        Of a new route, fields that have their default are left out.
        """
        old = self.previous.route if self.previous else None
        lines = [f"{self.step.value} route {self.route_id}"]
        for field in dataclasses.fields(Route):
            if field.name in OWN_FIELDS:
                continue
            before = old and _text(getattr(old, field.name))
            after = self.wanted and _text(getattr(self.wanted, field.name))
            new_default = old is None and after == _text(field.default)
            if before == after or new_default:
                continue
            if old is not None:
                lines.append(f"  - {field.name}: {before}")
            if self.wanted is not None:
                lines.append(f"  + {field.name}: {after}")
        return lines


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceFinding:
    """A finding of the daemon about one route."""

    route_id: RouteId
    finding: Finding


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How many live hosts have read up to a version.

    Attributes:
        reached: Hosts that have.
        behind: Hosts that have not, or of which nothing is known.
    """

    reached: tuple[HostId, ...]
    behind: tuple[HostId, ...]


def make_plan(
    wanted: Sequence[Route],
    in_force: Sequence[RouteRecord],
    delete_missing: bool = False,
) -> list[PlannedChange]:
    """Return the changes that make `in_force` into `wanted`.

    Args:
        wanted: The file's routes.
        in_force: All routes that the operator may read.
        delete_missing: Whether routes of the file's teams that the file
            lacks are deleted.
    """
    current = {record.route.id: record for record in in_force}
    plan = []
    for route in wanted:
        previous = current.get(route.id)
        if previous is None:
            plan.append(_planned(Step.CREATE, route, None))
        elif _differs(previous.route, route):
            plan.append(_planned(Step.REPLACE, route, previous))
    if not delete_missing:
        return plan
    kept = {route.id for route in wanted}
    teams = {route.team for route in wanted}
    removed = [
        _planned(Step.DELETE, None, record)
        for record in in_force
        if record.route.team in teams and record.route.id not in kept
    ]
    # A path that one route gives up may be taken by another, so deletes go
    # first.
    return removed + plan


async def plan_changes(
    client: OperatorsClient,
    wanted: Sequence[Route],
    delete_missing: bool = False,
) -> list[PlannedChange]:
    """Return the changes that bring `wanted` into force."""
    listed = await client.list_all(CallName.LIST_ROUTES, ListRoutesRequest())
    return make_plan(wanted, listed.routes, delete_missing)


async def check_plan(
    client: OperatorsClient, plan: Sequence[PlannedChange]
) -> list[PlaceFinding]:
    """Return everything that the daemon finds wrong, with its place.

    Each change is checked alone against what is in force, so one that needs
    an earlier change of the plan is checked when it is applied.
    """
    findings = []
    freed = {
        change.previous.route.path_prefix
        for change in plan
        if change.previous is not None
    }
    for change in plan:
        if change.wanted is not None and change.wanted.path_prefix in freed:
            continue
        result = await _send(client, change, dry_run=True)
        findings += [
            PlaceFinding(change.route_id, found) for found in result.findings
        ]
    return findings


async def publish(
    client: OperatorsClient, change: PlannedChange, deadline: Deadline
) -> ChangeResult:
    """Send one change until it is decided; return its result.

    A reply that was lost leaves open whether the change landed. The same
    change id is sent again then, which the API takes for the same change.

    Raises:
        OperatorsError: The change was refused, or is in doubt at `deadline`.
        CallFailed: No daemon could be reached until `deadline`.
    """
    while True:
        try:
            return await _send(client, change, dry_run=False)
        except (ChangeInDoubt, Unavailable) as error:
            pause = (error.retry_after_ms or 0) / 1000 or RETRY_SECONDS
            if not _may_repeat(error, pause, deadline):
                raise
        except CallFailed as error:
            pause = RETRY_SECONDS
            if error.effect is CallEffect.NONE:
                raise
            if trio.current_time() + pause >= deadline:
                raise
        await trio.sleep(pause)


async def wait_in_force(
    client: OperatorsClient,
    version: LogOffset,
    deadline: Deadline,
    report: Callable[[Progress], None],
) -> Progress:
    """Wait until every live host has read past `version`.

    Args:
        client: Reaches one daemon, which tells of all.
        version: The newest version that is to be in force.
        deadline: When to give up.
        report: Is told of each step of progress.

    Returns:
        The last progress; `behind` is empty unless the deadline passed.
    """
    last = None
    while True:
        progress = await _look(client, version)
        if progress != last:
            report(progress)
            last = progress
        if not progress.behind or trio.current_time() >= deadline:
            return progress
        await trio.sleep(POLL_SECONDS)


def rejection_advice(error: ChangeRejected, change: PlannedChange) -> str:
    """Return in one line why a change lost and what to do now."""
    route_id = change.route_id
    if error.reason is not ChangeRejection.VERSION_CONFLICT:
        return f"route {route_id}: {error.message}"
    if error.current is None:
        return (
            f"route {route_id} was deleted meanwhile, and your change is not"
            " in force; apply the file again to create it anew"
        )
    author = error.current.author or "somebody"
    return (
        f"{author} was first: version {error.current.version} of route"
        f" {route_id} is in force, and your change is not; look at it with"
        f" `agatetack get {route_id}`, mend your file, and apply it again"
    )


async def _look(client: OperatorsClient, version: LogOffset) -> Progress:
    listed = await client.list_all(CallName.LIST_HOSTS, ListHostsRequest())
    live = [host for host in listed.hosts if host.live]
    reached = [
        host.host_id
        for host in live
        if host.config_offset is not None and host.config_offset > version
    ]
    behind = [h.host_id for h in live if h.host_id not in reached]
    return Progress(tuple(reached), tuple(behind))


async def _send(
    client: OperatorsClient, change: PlannedChange, dry_run: bool
) -> ChangeResult:
    version = change.previous.version if change.previous else None
    if change.wanted is None:
        return await client.call(
            CallName.DELETE_ROUTE,
            DeleteRouteRequest(
                change.route_id, change.change_id, version, dry_run
            ),
        )
    return await client.call(
        CallName.APPLY_ROUTE,
        ApplyRouteRequest(change.wanted, change.change_id, version, dry_run),
    )


def _may_repeat(
    error: OperatorsError, pause: float, deadline: Deadline
) -> bool:
    """Return whether it makes sense to send the change once more."""
    if isinstance(error, Unavailable) and error.retry_after_ms is None:
        return False
    return trio.current_time() + pause < deadline


def _planned(
    step: Step, wanted: Route | None, previous: RouteRecord | None
) -> PlannedChange:
    return PlannedChange(step, wanted, previous, ChangeId(uuid.uuid4().hex))


def _differs(before: Route, after: Route) -> bool:
    return dataclasses.replace(before, version=after.version) != after


def _text(value: object) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    return str(value)
