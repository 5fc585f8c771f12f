"""Build targets and requests for tests of balancing and admission."""

import dataclasses

import trio

from agatetack.config.route import RequestClass, Route
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.hosts.listed_target import ListedTarget
from agatetack.ids import (
    CallerId,
    Deadline,
    FailureDomain,
    HostId,
    RequestId,
    RouteId,
    ServiceId,
    TeamId,
)
from agatetack.messages import BytesBody, CallerRequest

SERVICE = ServiceId("profiles")


def listed_target(
    number: int,
    state: HostState = HostState.LIVE,
    domain: str = "domain-a",
    service: ServiceId = SERVICE,
) -> ListedHost:
    """Return a list entry for target `number` of `service`."""
    ip = f"10.0.0.{number}"
    return ListedHost(
        id=HostId(f"{ip}:80"),
        role=HostRole.TARGET,
        state=state,
        ip=ip,
        port=80,
        failure_domain=FailureDomain(domain),
        service=service,
    )


def started_target(
    number: int, incarnation: int, state: HostState = HostState.LIVE
) -> ListedTarget:
    """Return an entry for one start of target `number`, in Unix ms."""
    listed = listed_target(number, state)
    fields = {
        field.name: getattr(listed, field.name)
        for field in dataclasses.fields(listed)
    }
    return ListedTarget(**fields, incarnation=incarnation)


def loopback_target(name: str, port: int, slots: int) -> ListedTarget:
    """Return an entry for a target of `SERVICE` that listens on loopback."""
    return ListedTarget(
        id=HostId(name),
        role=HostRole.TARGET,
        state=HostState.LIVE,
        ip="127.0.0.1",
        port=port,
        failure_domain=FailureDomain("zone-a"),
        service=SERVICE,
        slots=slots,
    )


def make_route(name: str = "profiles", **fields: object) -> Route:
    """Return a fast route to `SERVICE`; `fields` override."""
    values = {
        "id": RouteId(name),
        "team": TeamId("team"),
        "service": SERVICE,
        "request_class": RequestClass.FAST,
        "path_prefix": "/",
    }
    return Route(**{**values, **fields})


def make_request(
    caller: str = "caller", seconds: float = 10.0, name: str = "r"
) -> CallerRequest:
    """Return a request that is due in `seconds`."""
    now = trio.current_time()
    return CallerRequest(
        request_id=RequestId(name),
        caller=CallerId(caller),
        method=b"GET",
        path=b"/",
        host="",
        headers=[],
        body=BytesBody(b""),
        deadline=Deadline(now + seconds),
        key=None,
        arrived=Deadline(now),
    )
