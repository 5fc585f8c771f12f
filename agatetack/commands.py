"""Parse the command line, call the library and print.

The daemon to call, the token and the authority's certificate come from the
environment, so that no token stands in a list of processes.
"""

import dataclasses
import os
import sys
from collections.abc import Awaitable, Callable, Sequence

import defopt
import trio
from returns.pipeline import is_successful

from agatetack.errors import SettingsError, UserError
from agatetack.ids import ChangeId, Deadline, RequestId, TargetId
from agatetack.operators import publish, requests, tables, views
from agatetack.operators.calls import CallName
from agatetack.operators.client import OperatorsClient
from agatetack.operators.refusals import (
    ChangeRejected,
    OperatorsError,
)

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2

ADDRESS_VARIABLE = "AGATETACK_ADDRESS"
TOKEN_VARIABLE = "AGATETACK_TOKEN"
AUTHORITY_VARIABLE = "AGATETACK_AUTHORITY"
DEFAULT_ADDRESS = "http://127.0.0.1:8081"


@dataclasses.dataclass(frozen=True, slots=True)
class Overview:
    """What `status` shows."""

    status: views.HostStatus
    hosts: views.HostList
    targets: views.TargetList
    measure: views.MeasureBudget
    deferred: views.DeferredStatus
    quarantine: views.QuarantineList


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


def gateway(*, config: str) -> int:
    """Serve callers until SIGTERM or SIGINT, then drain and stop.

    Example::

        agatetack gateway -c settings.yaml

    Args:
        config: The settings file.
    """
    from agatetack.daemon import run_gateway
    from agatetack.logs import set_up_logs
    from agatetack.settings.findings import render_findings
    from agatetack.settings.loader import load_settings

    loaded = load_settings(config)
    if not is_successful(loaded):
        raise SettingsError(render_findings(loaded.failure()))
    settings = loaded.unwrap()
    set_up_logs(settings.logs)
    return trio.run(run_gateway, settings)


def demo() -> int:
    """Run two gateways with fake targets and print what became of requests.

    Example::

        agatetack demo
    """
    from agatetack.demo import run_demo

    return EXIT_OK if trio.run(run_demo) else EXIT_REFUSED


def check(file: str, *, json: bool = False) -> int:
    """Check a settings file or a file of routes; print all findings.

    A file that holds a list is taken for routes, any other for settings.

    Examples::

        agatetack check settings.yaml
        agatetack check routes.yaml

    Args:
        file: The file.
        json: Print JSON.
    """
    from agatetack.settings.findings import Severity, render_findings

    findings = _find_in_file(file)
    errors = [found for found in findings if found.severity is Severity.ERROR]
    if json:
        _print_json(findings)
    elif findings:
        print(render_findings(findings))
    else:
        print(f"{file}: no findings")
    return EXIT_REFUSED if errors else EXIT_OK


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
        say = _be_silent if json else print
        plan = await publish.plan_changes(
            client, loaded.unwrap(), delete_missing
        )
        applied = await _apply_plan(client, plan, deadline, dry_run, wait, say)
        if json:
            _print_json(applied)
        late = applied.progress is not None and applied.progress.behind
        return EXIT_REFUSED if applied.findings or late else EXIT_OK

    return _with_client(address, work)


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
            _show(found, tables.route_lines(found), json)
            return EXIT_OK
        listed = await client.list_all(
            CallName.LIST_ROUTES, requests.ListRoutesRequest()
        )
        _show(listed, tables.routes_table(listed.routes), json)
        return EXIT_OK

    return _with_client(address, work)


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
        _show(found, tables.change_line(found), json)
        rejected = found.state is views.ChangeState.REJECTED
        return EXIT_REFUSED if rejected else EXIT_OK

    return _with_client(address, work)


def status(*, address: str = "", json: bool = False) -> int:
    """Print the state of a daemon, its fleet and its targets.

    Examples::

        agatetack status
        agatetack status --address http://127.0.0.2:8081 --json

    Args:
        address: URL of a daemon; else AGATETACK_ADDRESS.
        json: Print JSON.
    """

    async def work(client: OperatorsClient) -> int:
        call, list_all = client.call, client.list_all
        overview = Overview(
            await call(CallName.GET_STATUS, requests.GetStatusRequest()),
            await list_all(CallName.LIST_HOSTS, requests.ListHostsRequest()),
            await list_all(
                CallName.LIST_TARGETS, requests.ListTargetsRequest()
            ),
            await call(
                CallName.GET_MEASURE_BUDGET,
                requests.GetMeasureBudgetRequest(),
            ),
            await call(CallName.GET_DEFERRED, requests.GetDeferredRequest()),
            await list_all(
                CallName.LIST_QUARANTINE, requests.ListQuarantineRequest()
            ),
        )
        _show(overview, _overview_text(overview), json)
        return EXIT_OK

    return _with_client(address, work)


def explain(request: str, *, address: str = "", json: bool = False) -> int:
    """Print why a request was refused, retried, or sent where it was.

    Example::

        agatetack explain 5b2f0c9a

    Args:
        request: The request's id, as its answer's header gives it.
        address: URL of a daemon; else AGATETACK_ADDRESS.
        json: Print JSON.
    """

    async def work(client: OperatorsClient) -> int:
        found = await client.call(
            CallName.EXPLAIN, requests.ExplainRequest(RequestId(request))
        )
        _show(found, tables.explanation_lines(found), json)
        return EXIT_OK

    return _with_client(address, work)


def claims(key: str, *, address: str = "", json: bool = False) -> int:
    """Print what is known of an idempotency key.

    Example::

        agatetack claims payout-4711

    Args:
        key: The key that the caller sent.
        address: URL of a daemon; else AGATETACK_ADDRESS.
        json: Print JSON.
    """

    async def work(client: OperatorsClient) -> int:
        found = await client.call(
            CallName.GET_CLAIMS, requests.GetClaimsRequest(key)
        )
        _show(found, tables.claims_table(found.claims), json)
        return EXIT_OK

    return _with_client(address, work)


def drain(
    target: str = "",
    *,
    address: str = "",
    undo: bool = False,
    message: str = "",
) -> int:
    """Send no new work to a target, or stop a daemon gracefully.

    Examples::

        agatetack drain 127.0.0.1:9001
        agatetack drain 127.0.0.1:9001 --undo
        agatetack drain --address http://127.0.0.2:8081

    Args:
        target: The target's ip:port; without one the daemon itself.
        address: URL of a daemon; else AGATETACK_ADDRESS.
        undo: Let the target have work again.
        message: Why the daemon stops, for its log.
    """
    if undo and not target:
        raise UsageError("--undo needs a target; a daemon cannot undrain")

    async def work(client: OperatorsClient) -> int:
        if not target:
            await client.call(
                CallName.DRAIN_HOST, requests.DrainHostRequest(message)
            )
            print("the daemon is draining")
            return EXIT_OK
        name = CallName.UNDRAIN_TARGET if undo else CallName.DRAIN_TARGET
        await client.call(name, requests.DrainTargetRequest(TargetId(target)))
        print(f"{target} is {'back' if undo else 'drained'}")
        return EXIT_OK

    return _with_client(address, work)


def release(fingerprint: str, *, address: str = "") -> int:
    """Let a request run again that is refused for crashing targets.

    Example::

        agatetack release 9f2c41d07a55e810

    Args:
        fingerprint: As status prints it.
        address: URL of a daemon; else AGATETACK_ADDRESS.
    """

    async def work(client: OperatorsClient) -> int:
        await client.call(
            CallName.RELEASE_QUARANTINED,
            requests.ReleaseQuarantinedRequest(fingerprint),
        )
        print(f"{fingerprint} is released")
        return EXIT_OK

    return _with_client(address, work)


class UsageError(UserError):
    """The options do not go together."""


COMMANDS = (
    gateway,
    check,
    apply,
    get,
    change,
    status,
    explain,
    claims,
    drain,
    release,
    demo,
)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit with its code.

    Args:
        arguments: What follows the program's name; else the process's own.
    """
    sys.exit(run(sys.argv[1:] if arguments is None else arguments))


def run(arguments: Sequence[str]) -> int:
    """Run one command; return 0, 1 for findings or a refusal, 2 for usage."""
    try:
        return defopt.run(
            list(COMMANDS),
            argv=list(arguments),
            short={"config": "c"},
            show_defaults=False,
            no_negated_flags=False,
            argparse_kwargs={"prog": "agatetack"},
        )
    except UsageError as error:
        _complain(str(error))
        return EXIT_USAGE
    except (UserError, OperatorsError) as error:
        _complain(str(error))
        return EXIT_REFUSED


def _complain(text: str) -> None:
    print(f"agatetack: {text}", file=sys.stderr)


def _be_silent(text: str) -> None:
    """Print nothing, as JSON follows at the end."""


def _print_json(value: object) -> None:
    import orjson

    sys.stdout.write(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
    sys.stdout.write("\n")


def _show(value: object, text: str, json: bool) -> None:
    if json:
        _print_json(value)
    else:
        print(text)


def _find_in_file(file: str) -> Sequence:
    from agatetack.config.route_file import load_routes
    from agatetack.settings.loader import check_settings
    from agatetack.settings.yaml_file import read_yaml

    if isinstance(read_yaml(file).value, list):
        loaded = load_routes(file)
        return () if is_successful(loaded) else loaded.failure()
    return check_settings(file).findings


def _with_client(
    address: str, work: Callable[[OperatorsClient], Awaitable[int]]
) -> int:
    """Run `work` with a client of the daemon at `address`."""

    async def open_and_work() -> int:
        url = address or os.environ.get(ADDRESS_VARIABLE) or DEFAULT_ADDRESS
        client = OperatorsClient(
            url if "://" in url else f"http://{url}",
            os.environ.get(TOKEN_VARIABLE, ""),
            os.environ.get(AUTHORITY_VARIABLE),
        )
        async with client:
            return await work(client)

    return trio.run(open_and_work)


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


def _overview_text(overview: Overview) -> str:
    parts = (
        tables.status_lines(overview.status),
        tables.hosts_table(overview.hosts.hosts),
        tables.targets_table(overview.targets.targets),
        tables.budget_lines(overview.measure),
        tables.deferred_table(overview.deferred),
        tables.quarantine_table(overview.quarantine.requests),
    )
    return "\n\n".join(parts)
