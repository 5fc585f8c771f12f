"""Lay out what operators asked for as text."""

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from agatetack.operators import request_views, views
from agatetack.operators.publish import Progress

ABSENT = "-"


def render_table(
    titles: Sequence[str], rows: Iterable[Sequence[object]]
) -> str:
    """Return rows in columns as wide as their widest cell."""
    cells = [list(titles), *([cell_text(c) for c in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def cell_text(value: object) -> str:
    """Return a value as an operator reads it."""
    if value is None or value == "":
        return ABSENT
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{round(value, 2):g}"
    text = str(value)
    # What others chose must not move the cursor of a terminal.
    return text if text.isprintable() else ascii(text)


def routes_table(routes: Iterable[views.RouteRecord]) -> str:
    """Return one line for each route."""
    titles = (
        "route",
        "class",
        "service",
        "team",
        "host",
        "path",
        "version",
        "author",
    )
    rows = (
        (
            record.route.id,
            record.route.request_class,
            record.route.service,
            record.route.team,
            record.route.host,
            record.route.path_prefix,
            record.version,
            record.author,
        )
        for record in routes
    )
    return render_table(titles, rows)


def route_lines(record: views.RouteRecord) -> str:
    """Return a route and its record, one line for each field."""
    fields = [
        (field.name, getattr(record.route, field.name))
        for field in dataclasses.fields(record.route)
        if field.name != "version"
    ]
    fields += [
        ("version", record.version),
        ("author", record.author),
        ("change", record.change_id),
    ]
    return "\n".join(f"{name}: {cell_text(value)}" for name, value in fields)


def change_line(change: views.Change) -> str:
    """Return what became of a change."""
    line = f"{change.state.value}"
    if change.version is not None:
        line += f", version {change.version}"
    if change.route_id is not None:
        line += f", route {cell_text(change.route_id)}"
    if change.author is not None:
        line += f", by {cell_text(change.author)}"
    if change.reason is not None:
        line += f": {change.reason.value}"
    return line


def progress_line(progress: Progress) -> str:
    """Return how many hosts have a version in force, and which lack it."""
    total = len(progress.reached) + len(progress.behind)
    line = f"in force on {len(progress.reached)} of {total} live hosts"
    if progress.behind:
        line += f"; waiting for {', '.join(progress.behind)}"
    return line


def status_lines(status: views.HostStatus) -> str:
    """Return the answering host, one line for each field."""
    names = (field.name for field in dataclasses.fields(status))
    return "\n".join(
        f"{name}: {cell_text(getattr(status, name))}" for name in names
    )


def claims_table(claims: Iterable[request_views.ClaimView]) -> str:
    """Return one line for each claim of a key."""
    titles = ("route", "state", "attempt", "host", "status")
    rows = (
        (
            claim.route_id,
            claim.state,
            claim.attempt_id,
            claim.host_id,
            claim.answer_status,
        )
        for claim in claims
    )
    return render_table(titles, rows)


def hosts_table(hosts: Iterable[views.HostView]) -> str:
    """Return one line for each gateway."""
    titles = ("host", "domain", "phase", "live", "offset")
    rows = (
        (
            host.host_id,
            host.failure_domain,
            host.phase,
            host.live,
            host.config_offset,
        )
        for host in hosts
    )
    return render_table(titles, rows)


def targets_table(targets: Iterable[views.TargetView]) -> str:
    """Return one line for each target."""
    titles = (
        "service",
        "domain",
        "target",
        "status",
        "drained",
        "in flight",
        "slots",
        "reported",
        "report ms ago",
        "latency ms",
        "failures",
    )
    rows = (
        (
            target.service,
            target.failure_domain,
            target.target_id,
            target.status,
            target.drained,
            target.in_flight,
            target.slots,
            target.reported_in_flight,
            target.report_age_ms,
            target.latency_ms,
            target.failures,
        )
        for target in sorted(
            targets, key=lambda t: (t.service, t.failure_domain, t.target_id)
        )
    )
    return render_table(titles, rows)


def quarantine_table(listed: Iterable[request_views.QuarantinedRequest]) -> str:
    """Return one line for each suspected request."""
    titles = ("fingerprint", "route", "state", "crashes", "refusals")
    rows = (
        (
            entry.fingerprint,
            entry.route_id,
            entry.state,
            entry.crashes,
            entry.refusals,
        )
        for entry in listed
    )
    return render_table(titles, rows)


def deferred_table(status: views.DeferredStatus) -> str:
    """Return one line for each partition."""
    titles = ("partition", "open", "running", "done", "oldest ms")
    rows = (
        (
            part.partition,
            part.open,
            part.running,
            part.done,
            part.oldest_open_age_ms,
        )
        for part in status.partitions
    )
    return render_table(titles, rows)


def budget_lines(budget: views.MeasureBudget) -> str:
    """Return the spending on measuring in two lines."""
    return (
        f"probes: {budget.spent_probes} sent, {budget.refused_probes} not"
        f" sent for lack of budget; at most"
        f" {budget.host_probes_per_second:g}/s here of"
        f" {budget.fleet_probes_per_second:g}/s in the fleet\n"
        f"bytes: {budget.spent_bytes} spent; at most"
        f" {budget.host_bytes_per_second:g}/s here of"
        f" {budget.fleet_bytes_per_second:g}/s in the fleet"
    )


def explanation_lines(found: request_views.Explanation) -> str:
    """Return what became of a request, one line for each step."""
    lines = []
    for request in found.requests:
        lines += _request_lines(request)
    lines += [f"host {host} did not answer" for host in found.silent_hosts]
    return "\n".join(lines)


def _request_lines(request: request_views.ExplainedRequest) -> list[str]:
    if request.outcome is None:
        end = "is still being served"
    else:
        end = (
            f"{request.outcome.value} after"
            f" {cell_text(request.finished_after_ms)} ms with status"
            f" {cell_text(request.status)}"
        )
    if request.reason is not None:
        end += f", reason {request.reason.value}"
    if request.detail:
        end += f": {cell_text(request.detail)}"
    lines = [
        f"host {request.host_id}, route {cell_text(request.route_id)}: {end}"
    ]
    return lines + [_attempt_line(attempt) for attempt in request.attempts]


def _attempt_line(attempt: request_views.ExplainedAttempt) -> str:
    why = ""
    if attempt.retry_reason is not None:
        why = f" (again: {attempt.retry_reason.value})"
    choice = f" because {attempt.choice}" if attempt.choice else ""
    failure = f", {attempt.failure.value}" if attempt.failure else ""
    return (
        f"  {attempt.started_after_ms} ms: to {attempt.target_id}{why}{choice}"
        f"; {cell_text(attempt.ended_after_ms)} ms:"
        f" {cell_text(attempt.result)}{failure}"
    )
