"""Show and steer hosts and targets, for the command line."""

import dataclasses

from agatetack.ids import RequestId, TargetId
from agatetack.operators import request_views, requests, tables, views
from agatetack.operators.calls import CallName
from agatetack.operators.client import OperatorsClient
from agatetack.operators.terminal import (
    EXIT_OK,
    UsageError,
    show,
    with_client,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Overview:
    """What `status` shows."""

    status: views.HostStatus
    hosts: views.HostList
    targets: views.TargetList
    measure: views.MeasureBudget
    deferred: views.DeferredStatus
    quarantine: request_views.QuarantineList


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
        show(overview, _overview_text(overview), json)
        return EXIT_OK

    return with_client(address, work)


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
        show(found, tables.explanation_lines(found), json)
        return EXIT_OK

    return with_client(address, work)


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
        show(found, tables.claims_table(found.claims), json)
        return EXIT_OK

    return with_client(address, work)


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

    return with_client(address, work)


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

    return with_client(address, work)


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
