"""Run one process of the bench: a target, a relay or a gateway.

It prints its port on a line and serves until its standard input ends.
"""

import sys

import trio

from agatetack.config.route import RequestClass, Route, RouteTable
from agatetack.gateway import Gateway
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import (
    FailureDomain,
    HostId,
    RouteId,
    ServiceId,
    TeamId,
)
from agatetack.logs import set_up_logs
from agatetack.process import tune_collector
from agatetack.settings.defaults import default_settings
from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import MemoryLog, MemoryLogService
from bench.datapath.relays import RELAYS

LOOPBACK = "127.0.0.1"
SLOTS = 16
"""Slots of a target, so that no request of the bench waits there."""


async def serve_target(argument: str, task_status) -> None:
    """Serve a target that answers at once."""
    target = FakeTarget(default_settings(), FakeTargetOptions(slots=SLOTS))
    await target.serve(task_status)


async def serve_gateway(argument: str, task_status) -> None:
    """Serve a gateway with one route to the targets on given ports.

    Args:
        argument: The ports, after the class and a colon if it is not fast.
        task_status: Reports the port.
    """
    name, _, ports_text = argument.rpartition(":")
    request_class = RequestClass(name or "fast")
    anywhere = {"listen": {"ip": LOOPBACK, "port": 0}}
    settings = default_settings(
        callers=anywhere,
        peers=anywhere,
        operators=anywhere,
        targets={"slots": SLOTS},
        admission={"max_target_limit": SLOTS},
        logs={"level": "error"},
    )
    set_up_logs(settings.logs)
    hosts = [_listed(int(port)) for port in ports_text.split(",")]
    gateway = Gateway(
        settings, MemoryLog(MemoryLogService()), MemoryHostList(hosts)
    )
    route = Route(
        RouteId("profiles"),
        TeamId("bench"),
        ServiceId("profiles"),
        request_class,
        "/",
    )
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(gateway.run)
        while not gateway.config.ready:
            await trio.sleep(0.05)
        gateway.routes.table = RouteTable([route])
        tune_collector()
        task_status.started(ports.callers)


def _listed(port: int) -> ListedHost:
    return ListedHost(
        HostId(f"{LOOPBACK}:{port}"),
        HostRole.TARGET,
        HostState.LIVE,
        LOOPBACK,
        port,
        FailureDomain("domain-a"),
        ServiceId("profiles"),
    )


async def serve_relay(argument: str, task_status) -> None:
    """Serve a relay, given as `name:port`."""
    name, _, port = argument.rpartition(":")
    await RELAYS[name](int(port), task_status)


SERVERS = {
    "target": serve_target,
    "relay": serve_relay,
    "gateway": serve_gateway,
}


async def main(kind: str, argument: str) -> None:
    """Serve until standard input ends, so that no process is left behind."""
    async with trio.open_nursery() as nursery:
        port = await nursery.start(SERVERS[kind], argument)
        print(port, flush=True)
        await trio.to_thread.run_sync(sys.stdin.read, abandon_on_cancel=True)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main, sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else "")
