"""Show the slices of one host as operators' views."""

from collections.abc import Sequence

from agatetack.clock import deadline_to_wall
from agatetack.gateway import Gateway
from agatetack.ids import Deadline, HostId, LogOffset
from agatetack.lifecycle.phase import Phase
from agatetack.operators import request_views, views
from agatetack.targets.state import ReportSource, TargetState

MS = 1000
"""Milliseconds in a second."""


def host_status(gateway: Gateway, started_unix_ms: int) -> views.HostStatus:
    """Return the host's own state."""
    host = gateway.settings.host
    not_ready = gateway.lifecycle.not_ready()
    table = gateway.routes.table
    return views.HostStatus(
        host_id=HostId(host.id),
        failure_domain=host.failure_domain,
        region=host.region,
        phase=gateway.lifecycle.phase,
        ready=gateway.lifecycle.ready,
        started_unix_ms=started_unix_ms,
        config_offset=LogOffset(gateway.config.version() + 1),
        routes=0 if table is None else len(table.routes),
        in_flight=len(gateway.lifecycle.in_flight),
        fleet_size=gateway.peers.fleet_size(),
        log_reachable=log_reachable(gateway),
        config_lag_records=_config_lag(gateway),
        not_ready_because=None if not_ready is None else not_ready.detail,
    )


def _config_lag(gateway: Gateway) -> int | None:
    """Return how many records of routes were not read, None in an outage."""
    tail = gateway.config.tail
    return None if tail.outage else tail.end - gateway.config.version() - 1


def log_reachable(gateway: Gateway) -> bool:
    """Return whether the claim streams were read and answer now."""
    return all(
        partition.ready and partition.reachable
        for partition in gateway.claims.partitions
    )


def host_views(gateway: Gateway) -> Sequence[views.HostView]:
    """Return all gateways that the host knows, itself first."""
    host = gateway.settings.host
    own = views.HostView(
        HostId(host.id),
        host.failure_domain,
        gateway.lifecycle.phase,
        live=True,
        config_offset=LogOffset(gateway.config.version() + 1),
    )
    others = [
        views.HostView(
            peer.id,
            peer.failure_domain,
            Phase.DRAINING if peer.leaving else Phase.READY,
            live=True,
            config_offset=_peer_offset(gateway, peer.id),
        )
        for peer in gateway.peers.live_peers()
    ]
    return [own, *others]


def _peer_offset(gateway: Gateway, peer: HostId) -> LogOffset | None:
    """Return how far a peer has read, as it told last; None if it never did."""
    version = gateway.config.sharing.reported_versions.get(peer)
    return None if version is None else LogOffset(version + 1)


def target_view(
    target: TargetState, drained: bool, now: Deadline
) -> views.TargetView:
    """Return one target as the host sees it at `now`."""
    report = target.report
    return views.TargetView(
        target_id=target.id,
        service=target.service,
        failure_domain=target.failure_domain,
        status=target.status,
        drained=drained,
        in_flight=target.in_flight,
        slots=target.slots,
        allowed=target.limit,
        failures=target.failures,
        reported_in_flight=None if report is None else report.in_flight,
        report_age_ms=None if report is None else _ms(now - report.at),
        report_source=None if report is None else report.source,
        latency_ms=None if target.latency is None else target.latency * MS,
    )


def measure_budget(gateway: Gateway) -> views.MeasureBudget:
    """Return the host's spending on measuring."""
    budget = gateway.settings.measure
    size = gateway.peers.fleet_size()
    metrics = gateway.metrics
    metrics.flush_buffered()
    spent = metrics.budget_spent
    return views.MeasureBudget(
        fleet_probes_per_second=budget.probes_per_second,
        fleet_bytes_per_second=budget.bytes_per_second,
        host_probes_per_second=budget.probes_per_second / size,
        host_bytes_per_second=budget.bytes_per_second / size,
        spent_probes=_count(spent, {"unit": "probes"}),
        spent_bytes=_count(spent, {"unit": "bytes"}),
        refused_probes=_count(metrics.budget_refused, {}),
        reports=tuple(
            views.ReportCount(
                source,
                _count(metrics.measured.counter, {"source": source.value}),
            )
            for source in ReportSource
        ),
    )


def _count(counter, labels: dict[str, str]) -> int:
    return int(counter.values.get(labels, 0))


def deferred_status(gateway: Gateway) -> views.DeferredStatus:
    """Return the state of the host's deferred queue."""
    now = gateway.clock.wall()
    partitions = []
    running = gateway.deferred.schedule.running
    for number, partition in gateway.deferred.partitions.items():
        tickets = partition.fold.tickets.values()
        opened = [t.submitted_at for t in tickets if t.open]
        own = [name for name in running if name in partition.fold.tickets]
        partitions.append(
            views.DeferredPartition(
                partition=int(number),
                open=len(opened),
                running=len(own),
                done=len(tickets) - len(opened),
                oldest_open_age_ms=_ms(now - min(opened)) if opened else None,
            )
        )
    return views.DeferredStatus(
        gateway.settings.deferred.max_open, tuple(partitions)
    )


def quarantined_requests(
    gateway: Gateway,
) -> Sequence[request_views.QuarantinedRequest]:
    """Return the requests suspected to crash targets."""
    clock = gateway.clock
    now = clock.now()
    found = []
    for print_, suspicion in gateway.crashes.suspicions.items():
        held = suspicion.held_until
        refused = held is not None and held > now
        last = max(suspicion.lost_at_by_target.values())
        found.append(
            request_views.QuarantinedRequest(
                fingerprint=print_.hex(),
                route_id=suspicion.route,
                service=suspicion.service,
                state=request_views.QuarantineState.REFUSED
                if refused
                else request_views.QuarantineState.SUSPECTED,
                crashes=len(suspicion.lost_at_by_target),
                target_ids=tuple(suspicion.lost_at_by_target),
                last_crash_unix_ms=_ms(deadline_to_wall(clock, last)),
                refused_until_unix_ms=_ms(deadline_to_wall(clock, held))
                if refused
                else None,
                refusals=suspicion.refusals,
            )
        )
    return found


def _ms(seconds: float) -> int:
    return round(seconds * MS)
