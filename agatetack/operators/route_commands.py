"""Bring routes into force and show them, for the command line."""

import dataclasses
from collections.abc import Callable, Sequence

import trio
from returns.pipeline import is_successful

from agatetack.errors import SettingsError, UserError
from agatetack.ids import ChangeId, Deadline
from agatetack.operators import publish, requests, tables, views
from agatetack.operators.calls import CallName
from agatetack.operators.client import OperatorsClient
from agatetack.operators.refusals import ChangeRejected
from agatetack.operators.terminal import (
    EXIT_OK,
    EXIT_REFUSED,
    be_silent,
    print_json,
    show,
    with_client,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """What `apply` did.

    Attributes:
        changes: The result of each change, in the order they were sent.
        findings: What the daemon found wrong; then nothing was changed.
        progress: Which hosts have it in force; None if not waited for.
    """

    changes: tuple[views.ChangeResult, ...] = ()
    findings: tuple[publish.PlaceFinding, ...] = ()
    progress: publish.Progress | None = None


def apply(
    file: str,
    *,
    address: str = "",
    dry_run: bool = False,
    delete_missing: bool = False,
    wait: bool = True,
    wait_seconds: float = 30.0,
    json: bool = False,
) -> int:
    """Bring the routes of a file into force.

    Shows what changes, has the daemon check all of it, applies it, and
    waits until every live host has it in force.

    Examples::

        agatetack apply routes.yaml --dry-run
        agatetack apply routes.yaml --no-wait

    Args:
        file: The file of routes.
        address: URL of a daemon; else AGATETACK_ADDRESS.
        dry_run: Only show the diff and the findings.
        delete_missing: Delete routes of the file's teams that it lacks.
        wait: Wait until it is in force on every live host.
        wait_seconds: How long the log and the hosts may take.
        json: Print JSON.
    """
    from agatetack.config.route_file import load_routes
    from agatetack.settings.findings import render_findings

    loaded = load_routes(file)
    if not is_successful(loaded):
        raise SettingsError(render_findings(loaded.failure()))

    async def work(client: OperatorsClient) -> int:
        deadline = Deadline(trio.current_time() + wait_seconds)
        say = be_silent if json else print
        plan = await publish.plan_changes(
            client, loaded.unwrap(), delete_missing
        )
        applied = await _apply_plan(client, plan, deadline, dry_run, wait, say)
        if json:
            print_json(applied)
        late = applied.progress is not None and applied.progress.behind
        return EXIT_REFUSED if applied.findings or late else EXIT_OK

    return with_client(address, work)


def get(route: str = "", *, address: str = "", json: bool = False) -> int:
    """Print one route, or all routes in force.

    Examples::

        agatetack get
        agatetack get profiles --json

    Args:
        route: Id of the route.
        address: URL of a daemon; else AGATETACK_ADDRESS.
        json: Print JSON.
    """

    async def work(client: OperatorsClient) -> int:
        if route:
            found = await client.call(
                CallName.GET_ROUTE, requests.GetRouteRequest(route)
            )
            show(found, tables.route_lines(found), json)
            return EXIT_OK
        listed = await client.list_all(
            CallName.LIST_ROUTES, requests.ListRoutesRequest()
        )
        show(listed, tables.routes_table(listed.routes), json)
        return EXIT_OK

    return with_client(address, work)


def change(change_id: str, *, address: str = "", json: bool = False) -> int:
    """Print what became of a change of configuration.

    Example::

        agatetack change 5f0c2a9e

    Args:
        change_id: The id that apply printed.
        address: URL of a daemon; else AGATETACK_ADDRESS.
        json: Print JSON.
    """

    async def work(client: OperatorsClient) -> int:
        found = await client.call(
            CallName.GET_CHANGE, requests.GetChangeRequest(ChangeId(change_id))
        )
        show(found, tables.change_line(found), json)
        rejected = found.state is views.ChangeState.REJECTED
        return EXIT_REFUSED if rejected else EXIT_OK

    return with_client(address, work)


async def _apply_plan(
    client: OperatorsClient,
    plan: Sequence[publish.PlannedChange],
    deadline: Deadline,
    dry_run: bool,
    wait: bool,
    say: Callable[[str], None],
) -> Applied:
    """Check and send the changes of a plan, and wait for them."""
    for planned in plan:
        say("\n".join(planned.lines()))
    if not plan:
        say("nothing to change")
    findings = await publish.check_plan(client, plan)
    for found in findings:
        place = f"{found.route_id}: {found.finding.place}"
        say(f"{place}: {found.finding.message}")
    if findings or dry_run or not plan:
        return Applied(findings=tuple(findings))
    results = []
    for planned in plan:
        results.append(await _publish_one(client, planned, deadline))
        say(
            f"route {planned.route_id}: accepted as version"
            f" {results[-1].version}, change {planned.change_id}"
        )
    if not wait:
        return Applied(tuple(results))
    newest = max(result.version for result in results)
    progress = await publish.wait_in_force(
        client,
        newest,
        deadline,
        lambda progress: say(tables.progress_line(progress)),
    )
    return Applied(tuple(results), progress=progress)


async def _publish_one(
    client: OperatorsClient,
    planned: publish.PlannedChange,
    deadline: Deadline,
) -> views.ChangeResult:
    try:
        return await publish.publish(client, planned, deadline)
    except ChangeRejected as error:
        raise UserError(publish.rejection_advice(error, planned)) from error
