"""Run a host on a metadata store as a daemon: serve, reload, drain."""

import os

import trio

from agatetack.build_id import running
from agatetack.daemon_parts import (
    count_dropped_lines,
    delivered_signals,
    forward_signals,
    note_kill_time,
    show_build,
)
from agatetack.decisions import DecisionLog
from agatetack.platform.bounds import apply_bounds
from agatetack.process import seconds_since_start, tune_collector
from agatetack.settings.loader import CheckedSettings
from agatetack.settings.reload import SettingsWatch
from agatetack.store_gateway import StoreGateway

CLOSE_SECONDS = 0.2
"""Longest time for closing the connections to the store on exit."""

LIVE_SECTIONS = frozenset(
    {"platform", "lifecycle", "attempts", "callers", "logs"}
)
"""Sections of the settings that a running host can reload."""

log = DecisionLog("daemon")


async def run_store_gateway(checked: CheckedSettings, path: str) -> int:
    """Run one host on the store, until it is stopped.

    Args:
        checked: The host's settings, without errors.
        path: The settings file, which is watched for changes.

    Returns:
        The exit status of the process: 0, or 1 if requests were cut.
    """
    settings = checked.settings
    gateway = StoreGateway(apply_bounds(settings))
    count_dropped_lines(gateway.metrics)
    show_build(gateway.metrics, checked.digest)
    tune_collector()
    watch = SettingsWatch(
        path,
        settings,
        lambda changed: gateway.reconfigure(apply_bounds(changed)),
        LIVE_SECTIONS,
    )
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(forward_signals, gateway.stops)
            await nursery.start(watch.run)
            with delivered_signals(gateway.lateness):
                ports = await nursery.start(gateway.run)
                log.note(
                    "start",
                    host=settings.host.id,
                    pid=os.getpid(),
                    version=running.version,
                    sources=running.tree,
                    settings=checked.digest,
                    after_seconds=round(seconds_since_start(), 3),
                    callers=ports.callers,
                    peers=ports.peers,
                    ready=ports.ready,
                    metrics=ports.metrics,
                    drain_seconds=gateway.settings.lifecycle.drain_seconds,
                    fleet_ratio=gateway.settings.attempts.fleet_ratio,
                    fleet_slack=gateway.settings.attempts.fleet_slack,
                    bounds=list(settings.platform.store.bounds),
                )
                report = await gateway.lifecycle.drain_on(gateway.stops_out)
                note_kill_time(gateway.lifecycle)
            nursery.cancel_scope.cancel()
    finally:
        with trio.move_on_after(CLOSE_SECONDS) as scope:
            scope.shield = True
            await gateway.aclose()
    log.note(
        "stop",
        host=settings.host.id,
        cut=[request.request_id for request in report.cut],
        unfinished=list(report.unfinished),
        asked_ms_ago=gateway.lifecycle.asked_ms_ago(),
        after_seconds=round(seconds_since_start(), 3),
    )
    return report.exit_code
