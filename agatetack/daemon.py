"""Run one host as a daemon: serve callers and operators, drain on a stop."""

import dataclasses

import trio

from agatetack.build_id import running
from agatetack.daemon_parts import (
    count_dropped_lines,
    delivered_signals,
    forward_signals,
    note_reload_signals,
    show_build,
)
from agatetack.gateway import Gateway
from agatetack.hosts.http_host_list import HttpHostList
from agatetack.lifecycle.drain import DrainReport
from agatetack.logs import PartLog
from agatetack.operators.app import serve_operators
from agatetack.operators.host_backend import HostBackend
from agatetack.process import tune_collector
from agatetack.record_log.http_log import HttpLog
from agatetack.settings.loader import CheckedSettings

CLOSE_SECONDS = 1.0
"""Longest time for closing the connections to the platform on exit."""

log = PartLog("daemon")


@dataclasses.dataclass(frozen=True, slots=True)
class HostPorts:
    """The ports that a host listens on."""

    callers: int
    peers: int
    operators: int


async def serve_host(
    gateway: Gateway,
    task_status: trio.TaskStatus[HostPorts] = trio.TASK_STATUS_IGNORED,
) -> DrainReport:
    """Serve callers and operators until a stop is requested, then drain.

    The ports are reported once all listen. Operators are served until the
    end of the drain, so that they can watch it.

    Returns:
        The result of the drain, including the requests that were cut.
    """
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(gateway.run)
        operators = await nursery.start(
            serve_operators,
            gateway.settings,
            HostBackend(gateway),
            gateway.metrics,
        )
        log.info(
            "Serving callers on port %d, operators on %d, peers on %d.",
            ports.callers,
            operators,
            ports.peers,
        )
        task_status.started(HostPorts(ports.callers, ports.peers, operators))
        report = await gateway.lifecycle.drain_on(gateway.stops_out)
        nursery.cancel_scope.cancel()
    return report


async def run_gateway(checked: CheckedSettings) -> int:
    """Run one host with the platform's services, until it is stopped.

    Args:
        checked: The settings, without errors.

    Returns:
        The exit status of the process: 0, or 1 if requests were cut.
    """
    settings = checked.settings
    platform_log = HttpLog(settings)
    host_list = HttpHostList(settings)
    gateway = Gateway(settings, platform_log, host_list)
    count_dropped_lines(gateway.metrics)
    show_build(gateway.metrics, checked.digest)
    log.info(
        "Starting version %s, sources %s, settings %s.",
        running.version,
        running.tree,
        checked.digest,
    )
    tune_collector()
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(forward_signals, gateway.stops)
            await nursery.start(note_reload_signals)
            with delivered_signals(gateway.lateness):
                report = await serve_host(gateway)
            nursery.cancel_scope.cancel()
    finally:
        with trio.move_on_after(CLOSE_SECONDS) as scope:
            scope.shield = True
            await platform_log.aclose()
            await host_list.aclose()
    log.info("Stopped; %d requests were cut.", len(report.cut))
    return report.exit_code
