"""Render the read-only status page of a host as HTML without script."""

import collections
import heapq
import html
import itertools
from collections.abc import Iterable, Sequence

import trio
from returns.pipeline import is_successful

from agatetack.metrics import Metrics
from agatetack.operators import views
from agatetack.operators.access import Operator
from agatetack.operators.backend import OperatorsBackend
from agatetack.operators.tables import cell_text

STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:75em}"
    "table{border-collapse:collapse;margin-bottom:1.5em}"
    "th,td{border:1px solid #bbb;padding:.2em .6em;text-align:left}"
    "caption{text-align:left;font-weight:bold;padding:.3em 0}"
)

MORE = "and more, which `agatetack status` shows"
MAX_ROWS = 100
"""Most rows of one table; the command line shows all."""


async def render_page(
    backend: OperatorsBackend, metrics: Metrics, operator: Operator
) -> str:
    """Return the page with what `operator` may see."""
    status = backend.status()
    title = f"agatetack: {status.host_id}"
    makers = (
        lambda: [_status_table(status)],
        lambda: [_routes_table(backend, operator)],
        lambda: _target_tables(backend, operator),
        lambda: [_refusals_table(backend, metrics, operator)],
        lambda: [_budget_table(backend.measure_budget())],
        lambda: [_hosts_table(backend.hosts())],
    )
    parts = [f"<h1>{html.escape(title)}</h1>"]
    for make in makers:
        for table in make():
            parts.append(table)
            # Callers' requests get their turn between two tables.
            await trio.lowlevel.checkpoint()
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{html.escape(title)}</title><style>{STYLE}</style></head>"
        "<body>\n" + "\n".join(parts) + "\n</body></html>\n"
    )


def _table(
    name: str,
    caption: str,
    titles: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> str:
    """Return a table with every cell escaped.

    Args:
        name: Its id in the page.
        caption: What it shows.
        titles: Of its columns.
        rows: Its cells; those beyond `MAX_ROWS` are left out.
    """
    lines = [
        f'<table id="{html.escape(name)}">',
        f"<caption>{html.escape(caption)}</caption>",
        _row("th", titles),
    ]
    rows = iter(rows)
    lines += [_row("td", row) for row in itertools.islice(rows, MAX_ROWS)]
    if next(rows, None) is not None:
        lines.append(_row("td", [MORE]))
    lines.append("</table>")
    return "\n".join(lines)


def _row(tag: str, cells: Iterable[object]) -> str:
    inner = "".join(
        f"<{tag}>{html.escape(cell_text(cell))}</{tag}>" for cell in cells
    )
    return f"<tr>{inner}</tr>"


def _status_table(status: views.HostStatus) -> str:
    titles = (
        "phase",
        "ready",
        "failure domain",
        "in flight",
        "fleet size",
        "config offset",
        "log lag (records)",
        "log reachable",
    )
    row = (
        status.phase,
        status.not_ready_because or status.ready,
        status.failure_domain,
        status.in_flight,
        status.fleet_size,
        status.config_offset,
        status.config_lag_records,
        status.log_reachable,
    )
    return _table("status", "This host", titles, [row])


def _routes_table(backend: OperatorsBackend, operator: Operator) -> str:
    titles = ("route", "class", "service", "team", "host", "path", "version")
    rows = (
        (
            record.route.id,
            record.route.request_class,
            record.route.service,
            record.route.team,
            record.route.host or "any",
            record.route.path_prefix,
            record.version,
        )
        for record in heapq.nsmallest(
            MAX_ROWS + 1,
            _readable_routes(backend, operator),
            key=lambda record: record.route.id,
        )
    )
    return _table("routes", "Routes in force", titles, rows)


def _readable_routes(
    backend: OperatorsBackend, operator: Operator
) -> list[views.RouteRecord]:
    """Return the routes in the operator's scope; none if none are known."""
    known = backend.routes()
    records = known.unwrap().routes if is_successful(known) else ()
    return [r for r in records if operator.covers(r.route.service)]


def _target_tables(
    backend: OperatorsBackend, operator: Operator
) -> Iterable[str]:
    """Yield one table of targets for each failure domain."""
    domains = collections.defaultdict(list)
    for target in backend.targets():
        if operator.covers(target.service):
            domains[target.failure_domain].append(target)
    titles = (
        "target",
        "service",
        "status",
        "in flight",
        "slots",
        "reported in flight",
        "report age (ms)",
        "latency (ms)",
    )
    for domain, group in sorted(domains.items()):
        rows = (
            (
                target.target_id,
                target.service,
                "drained" if target.drained else target.status,
                target.in_flight,
                target.slots,
                target.reported_in_flight,
                target.report_age_ms,
                target.latency_ms,
            )
            for target in heapq.nsmallest(
                MAX_ROWS + 1, group, key=lambda t: (t.service, t.target_id)
            )
        )
        yield _table(f"targets-{domain}", f"Targets in {domain}", titles, rows)


def _refusals_table(
    backend: OperatorsBackend, metrics: Metrics, operator: Operator
) -> str:
    """Return the refusals of routes that the operator may read."""
    readable = {r.route.id for r in _readable_routes(backend, operator)}
    rows = [
        (labels["reason"], labels["route"], int(count))
        for labels, count in metrics.refusals.get_all()
        if count and (operator.all_services or labels.get("route") in readable)
    ]
    rows.sort(key=lambda row: -row[2])
    return _table(
        "refusals",
        "Refusals by reason since the start",
        ("reason", "route", "count"),
        rows,
    )


def _budget_table(budget: views.MeasureBudget) -> str:
    titles = ("unit", "spent", "per second here", "per second in the fleet")
    rows = (
        (
            "probes",
            budget.spent_probes,
            budget.host_probes_per_second,
            budget.fleet_probes_per_second,
        ),
        (
            "bytes",
            budget.spent_bytes,
            budget.host_bytes_per_second,
            budget.fleet_bytes_per_second,
        ),
        ("probes refused", budget.refused_probes, None, None),
    )
    return _table("budget", "Spent on measuring", titles, rows)


def _hosts_table(hosts: Sequence[views.HostView]) -> str:
    titles = ("host", "failure domain", "phase", "live", "config offset")
    rows = (
        (
            host.host_id,
            host.failure_domain,
            host.phase,
            host.live,
            host.config_offset,
        )
        for host in sorted(hosts, key=lambda host: host.host_id)
    )
    return _table("hosts", "Hosts", titles, rows)
