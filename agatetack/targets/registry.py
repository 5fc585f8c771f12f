"""Keep the targets of each service and decide which may get new work.

Any sign that a target is leaving stops new work there at once. Later evidence
that it is back is weighed against the sign.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence, Set

import trio

from agatetack.decisions import DecisionLog, age
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.hosts.listed_target import ListedTarget
from agatetack.ids import (
    Deadline,
    FailureDomain,
    ProcessId,
    Region,
    ServiceId,
    TargetId,
)
from agatetack.logs import PartLog
from agatetack.metrics import MeasureKind, Metrics
from agatetack.settings.model import Settings
from agatetack.targets.counters import TargetCounters
from agatetack.targets.departures import Departures
from agatetack.targets.leaving import LeavingRecord, LeavingSign
from agatetack.targets.load import ParsedLoad, ReportedState
from agatetack.targets.paths import EVIDENCE_MARGIN_SECONDS, TargetPaths
from agatetack.targets.pushbacks import Pushbacks
from agatetack.targets.rate_limits import RateLimits, SendKind
from agatetack.targets.state import (
    LoadReport,
    ReportSource,
    TargetState,
    TargetStatus,
)

MEASURE_KINDS = {
    ReportSource.ANSWER: MeasureKind.ANSWER,
    ReportSource.PROBE: MeasureKind.PROBE,
    ReportSource.PEER: MeasureKind.PEER,
}

log = PartLog("targets")
decisions = DecisionLog("targets")


class TargetRegistry:
    """The targets of each service, as this host knows them.

    Attributes:
        by_id: Every known target.
        by_process: The same targets, by process incarnation.
        usable: The targets of each service that may get new work.
        departures: The targets that are leaving.
        drained: Targets that an operator drained, with when that was set, in
            Unix ms. They get no new work; processes started later do.
        evacuated: Failure domains whose targets get no new work.
        warm_up_rates: Requests per second that a cold target of each service
            accepts from all hosts, where that is known.
        paths: Tracks which targets this host can reach itself.
        rate_limits: Tracks the rate limits that targets report.
        pushbacks: Tracks the pushbacks of targets for this host.
        watchers: Called with the service when its targets change or a load
            report arrives; must not block or raise.
        report_watchers: Called with the target and each report accepted.
        changes: How often the set of known targets has changed.
        listing_watchers: Called with all known targets when the set of known
            targets has changed.
        choice_watchers: Called with the service after each choice, so that
            probes go where choices are made.
        slowness_watchers: Called with a target that this host found to be slow
            or no longer slow.
        in_flight_watchers: Called with a target when the number of this host's
            requests there changed.
        leaving_watchers: Called with the target and the sign when this host
            itself sees a sign, so that peers can be informed.
    """

    def __init__(self, settings: Settings, metrics: Metrics):
        """Start without targets."""
        self.settings = settings
        self.metrics = metrics
        self.by_id: dict[TargetId, TargetState] = {}
        self.by_process: dict[ProcessId, TargetState] = {}
        self.usable: dict[ServiceId, tuple[TargetState, ...]] = {}
        self.drained: dict[TargetId, float] = {}
        self.evacuated: Set[FailureDomain] = frozenset()
        self.warm_up_rates: Mapping[ServiceId, float] = {}
        # If the settings name an instance header, targets check the instance
        # in each request, so that an id stands for one process incarnation.
        self.departures = Departures(
            settings.balance.leaving_hold_seconds,
            settings.targets.headers.instance is not None,
        )
        self.watchers: list[Callable[[ServiceId], None]] = []
        self.report_watchers: list[
            Callable[[TargetState, LoadReport], None]
        ] = []
        self.changes = 0
        self.listing_watchers: list[
            Callable[[Sequence[TargetState]], None]
        ] = []
        self.choice_watchers: list[Callable[[ServiceId], None]] = []
        self.slowness_watchers: list[Callable[[TargetState], None]] = []
        self.in_flight_watchers: list[Callable[[TargetState], None]] = []
        self.leaving_watchers: list[
            Callable[[TargetState, LeavingSign], None]
        ] = []
        self.counters = TargetCounters(metrics)
        self.paths = TargetPaths(metrics, self._is_known)
        self.paths.watchers.append(self._path_changed)
        self.rate_limits = RateLimits(settings, metrics)
        self.pushbacks = Pushbacks(metrics)

    @property
    def leaving(self) -> Mapping[TargetId, LeavingRecord]:
        """Return the records of leaving targets."""
        return self.departures.records

    @property
    def services(self) -> Sequence[ServiceId]:
        """Return the services that have or had targets."""
        return tuple(self.usable)

    def targets(self, service: ServiceId) -> Sequence[TargetState]:
        """Return the targets of `service` that may get new work."""
        return self.usable.get(service, ())

    def targets_in(
        self, service: ServiceId, regions: Sequence[Region]
    ) -> Sequence[TargetState]:
        """Return the targets that may get new work in any of `regions`.

        Args:
            service: The service.
            regions: The regions; empty for all.
        """
        targets = self.targets(service)
        if not regions:
            return targets
        return [t for t in targets if self._region(t) in regions]

    def _region(self, target: TargetState) -> str:
        host = self.settings.host
        return host.regions.get(target.failure_domain, host.region)

    def update(self, listed: Sequence[ListedHost]) -> None:
        """Apply a new host list; gateways in it are skipped."""
        now = Deadline(trio.current_time())
        changes = self.changes
        seen: set[TargetId] = set()
        changed: set[ServiceId] = set()
        for host in listed:
            if host.role is not HostRole.TARGET:
                continue
            target_id = TargetId(host.id)
            seen.add(target_id)
            target = self.by_id.get(target_id)
            incarnation = _incarnation(host)
            if target is not None and 0 < incarnation < target.incarnation:
                # It is about an earlier process.
                continue
            if target is not None and incarnation > target.incarnation:
                # The process was restarted, so its earlier state is void.
                changed.add(self._remove(target_id, now).service)
                target = None
            if target is None:
                target = self._add(host, now)
                changed.add(target.service)
            elif target.service != host.service:
                changed.add(target.service)
                changed.add(host.service)
                target.service = host.service
            elif isinstance(host, ListedTarget):
                target.warmth.note_listed(host.warm_at, now)
            self._take_listed_state(target, host.state, now)
        for target_id in list(self.by_id):
            if target_id not in seen:
                changed.add(self._remove(target_id, now).service)
        if self.changes != changes:
            for watcher in self.listing_watchers:
                watcher(tuple(self.by_id.values()))
        self._rebuild(changed)

    def note_report(self, target: TargetState, report: LoadReport) -> None:
        """Record a load report unless it is older than the current one."""
        self.metrics.measured.inc(
            {"source": MEASURE_KINDS[report.source].value}
        )
        if report.source is ReportSource.PEER:
            self._note_heard_elsewhere(target, report.at)
        else:
            self.paths.note_heard(target)
        if target.report is not None and report.at < target.report.at:
            return
        target.report = report
        target.report_uses = 0
        target.slots = max(1, report.slots)
        for watcher in self.report_watchers:
            watcher(target, report)
        self.notify(target.service)

    def note_load(
        self, target: TargetState, load: ParsedLoad, source: ReportSource
    ) -> LoadReport:
        """Record the load that `target` itself has just reported."""
        report = LoadReport(
            in_flight=load.in_flight,
            slots=target.slots if load.slots is None else load.slots,
            own_in_flight=target.in_flight,
            peer_in_flight=target.peer_in_flight,
            at=Deadline(trio.current_time()),
            source=source,
            slowness=load.slowness,
        )
        self.note_report(target, report)
        return report

    def note_load_response(
        self, target: TargetState, load: ParsedLoad, source: ReportSource
    ) -> LoadReport:
        """Record what the load path of `target` has just reported."""
        if load.warm_up_seconds is not None:
            now = Deadline(trio.current_time())
            warm_at = Deadline(now + load.warm_up_seconds)
            self.note_warmth(target, warm_at, now)
        return self.note_load(target, load, source)

    def note_sent(self, target: TargetState, kind: SendKind) -> None:
        """Count a request or probe that this host sends to `target`."""
        self.rate_limits.note_sent(target, kind)
        self.pushbacks.note_sent(target, kind)

    def note_warmth(
        self, target: TargetState, warm_at: Deadline, reported_at: Deadline
    ) -> None:
        """Record when `target` is warm, as it reported at `reported_at`."""
        now = Deadline(trio.current_time())
        before = target.warmth.is_cold(now)
        target.warmth.note(warm_at, reported_at)
        cold = target.warmth.is_cold(now)
        if cold != before and target.warm_up_rate:
            self.counters.warmth.inc({"state": "cold" if cold else "warm"})
            decisions.note(
                "target-cold" if cold else "target-warm",
                target=target.id,
                service=target.service,
                left_ms=round(max(0.0, warm_at - now) * 1000),
                age=age(reported_at),
            )

    def set_warm_up_rates(self, rates: Mapping[ServiceId, float]) -> None:
        """Set the requests per second that cold targets of services accept."""
        self.warm_up_rates = rates
        for target in self.by_id.values():
            target.warm_up_rate = rates.get(target.service, 0.0)

    def note_leaving(self, target: TargetState, sign: LeavingSign) -> None:
        """Stop new work at `target` at once and have peers informed."""
        self.counters.signs.inc({"sign": sign.value})
        if self.departures.is_final(target.id):
            # It repeats this in each response; peers know the first one.
            return
        if sign is LeavingSign.CONNECT_REFUSED:
            self._note_refused(target)
            return
        self._leave(target, sign)
        for watcher in self.leaving_watchers:
            watcher(target, sign)

    def _note_refused(self, target: TargetState) -> None:
        """Stop new work at a target that refused a connection of this host.

        Peers are told of the first refusal only, so that they look themselves.
        """
        is_new = self.paths.note_refused(target)
        if not is_new and target.id not in self.departures.records:
            # Only the path is lost: other hosts reach the target.
            return
        self._leave(target, LeavingSign.CONNECT_REFUSED)
        if is_new:
            for watcher in self.leaving_watchers:
                watcher(target, LeavingSign.CONNECT_REFUSED)

    def _note_heard_elsewhere(self, target: TargetState, at: Deadline) -> None:
        """Weigh another host's report against failures of this host's path."""
        self.paths.note_heard_elsewhere(target, at)
        record = self.departures.get(target.id)
        if (
            not self._is_only_refused(target)
            or at <= record.at + EVIDENCE_MARGIN_SECONDS
            or not self.paths.is_lost(target)
        ):
            return
        # The target lives, so only the path of this host is lost. A hold could
        # outlast that.
        self.departures.withdraw(target.id)
        now = Deadline(trio.current_time())
        target.status = TargetStatus.READY
        target.status_since = now
        self.counters.returned.inc({"sign": record.sign.value})

    def count_unreachable(self, service: ServiceId) -> int:
        """Return how many targets get no work as this host can't reach them.

        These are the ones behind lost paths, and those that refused a
        connection and have to be seen back for a while.
        """
        return sum(
            self.paths.is_lost(target) or self._is_only_refused(target)
            for target in self.by_id.values()
            if target.service == service
        )

    def _is_only_refused(self, target: TargetState) -> bool:
        record = self.departures.get(target.id)
        return record is not None and record.sign is LeavingSign.CONNECT_REFUSED

    def _is_known(self, target: TargetState) -> bool:
        return self.by_process.get(target.process) is target

    def _path_changed(self, target: TargetState) -> None:
        self._rebuild((target.service,))
        self.note_in_flight(target)

    def note_peer_sign(self, target: TargetState, sign: LeavingSign) -> None:
        """Stop new work at `target` because a peer reported a sign.

        The kind of sign is kept, so that all hosts hold the target equally.
        """
        self.counters.signs.inc({"sign": LeavingSign.PEER.value})
        self._leave(target, sign)

    def note_slowness(self, target: TargetState) -> None:
        """Note that this host found `target` to be slow or no longer slow."""
        if target.learned.slow:
            self.counters.slow.inc({"service": target.service})
        for watcher in self.slowness_watchers:
            watcher(target)

    def note_in_flight(self, target: TargetState) -> None:
        """Note that the number of this host's requests at `target` changed."""
        for watcher in self.in_flight_watchers:
            watcher(target)

    def note_probe(self, target: TargetState, state: ReportedState) -> None:
        """Apply the state that a probe of `target`'s load endpoint reported."""
        if self.by_id.get(target.id) is not target:
            # It was removed, and an id may stand for a later process now.
            return
        now = Deadline(trio.current_time())
        if state is ReportedState.DRAINING:
            if target.status is not TargetStatus.LEAVING:
                self.note_leaving(target, LeavingSign.HEALTH)
            return
        record = self.departures.get(target.id)
        if record is None:
            return
        if state is ReportedState.COLD:
            record.restarted = True
        if self.departures.may_return(target.id, now):
            self._return(target, now)

    def mark_ready_if_warm(self, target: TargetState, now: Deadline) -> None:
        """Make a cold target ready once its warm-up is over."""
        if target.warm_up_rate:
            over = not target.warmth.is_cold(now)
        else:
            cold_seconds = self.settings.balance.cold_seconds
            over = now - target.status_since >= cold_seconds
        if over:
            target.status = TargetStatus.READY
            target.status_since = now

    def leaving_targets(self) -> Iterable[TargetState]:
        """Return the leaving targets to probe, as their hold is over."""
        expired = self.departures.expired(Deadline(trio.current_time()))
        for target_id in expired:
            if target_id not in self.by_id:
                # It is no longer listed, and its hold is over.
                self.departures.forget(target_id)
        targets = [self.by_id[each] for each in expired if each in self.by_id]
        return [each for each in targets if self.may_be_probed(each)]

    def may_be_probed(self, target: TargetState) -> bool:
        """Return whether a probe of `target` is allowed and useful."""
        if target.failure_domain in self.evacuated:
            return False
        now = Deadline(trio.current_time())
        return not self.departures.is_held(target.id, now)

    def _leave(self, target: TargetState, sign: LeavingSign) -> None:
        if self.by_id.get(target.id, target) is not target:
            # The sign is about an earlier incarnation of the target.
            return
        now = Deadline(trio.current_time())
        self.departures.note_sign(target, sign, now)
        if target.status is not TargetStatus.LEAVING:
            target.status = TargetStatus.LEAVING
            target.status_since = now
            self._rebuild((target.service,))

    def _take_listed_state(
        self, target: TargetState, state: HostState, now: Deadline
    ) -> None:
        record = self.departures.get(target.id)
        if state is HostState.LEAVING:
            self._take_listed_leaving(target, record, now)
        elif record is not None:
            record.note_listed_live(now)

    def _take_listed_leaving(
        self, target: TargetState, record: LeavingRecord | None, now: Deadline
    ) -> None:
        if record is None or not record.listed_leaving:
            self._note_listed_leaving(target)
            self.departures.get(target.id).listed_leaving = True
        elif record.sign is LeavingSign.HOST_LIST:
            record.listed_live = False
        else:
            # Peers read the host list themselves, so only the first listing as
            # leaving is reported to them.
            record.hold(now, self.departures.hold_seconds)

    def _note_listed_leaving(self, target: TargetState) -> None:
        if self.settings.platform.store.endpoint is None:
            self.note_leaving(target, LeavingSign.HOST_LIST)
            return
        # All hosts read the same list from the store. If each of a hundred
        # hosts also reported the sign, each would forward all these reports.
        self.counters.signs.inc({"sign": LeavingSign.HOST_LIST.value})
        self._leave(target, LeavingSign.HOST_LIST)

    def _add(self, host: ListedHost, now: Deadline) -> TargetState:
        target = TargetState(
            id=TargetId(host.id),
            service=host.service,
            ip=host.ip,
            port=host.port,
            failure_domain=host.failure_domain,
            incarnation=_incarnation(host),
            status_since=now,
            slots=self.settings.targets.slots,
            limit=self.settings.admission.max_target_limit,
        )
        target.learned.limit = target.limit
        target.warm_up_rate = self.warm_up_rates.get(host.service, 0.0)
        if isinstance(host, ListedTarget):
            target.slots = host.slots
            target.warmth.note_listed(host.warm_at, now)
            if host.warm_at <= now:
                target.status = TargetStatus.READY
        if self.drained.get(target.id, math.inf) < target.incarnation:
            del self.drained[target.id]
        self.by_id[target.id] = target
        self.by_process[target.process] = target
        self.pushbacks.restore(target)
        self.changes += 1
        self.departures.forget_earlier(target)
        record = self.departures.get(target.id)
        if record is not None:
            # It was unlisted in between, so this is a new process.
            record.restarted = True
            record.listed_leaving = False
            target.status = TargetStatus.LEAVING
        return target

    def _remove(self, target_id: TargetId, now: Deadline) -> TargetState:
        target = self.by_id.pop(target_id)
        self.by_process.pop(target.process, None)
        self.rate_limits.forget(target)
        self.paths.forget(target)
        self.changes += 1
        target.status = TargetStatus.GONE
        target.status_since = now
        self.departures.forget_if_over(target_id, now)
        return target

    def _return(self, target: TargetState, now: Deadline) -> None:
        record = self.departures.end(target.id)
        self.paths.note_connected(target)
        target.status = TargetStatus.COLD
        target.status_since = now
        target.warmth.invalidate(now)
        target.failures = 0
        self.counters.returned.inc({"sign": record.sign.value})
        log.info("Target %s may get new work again.", target.id)
        self._rebuild((target.service,))

    def _rebuild(self, services: Iterable[ServiceId]) -> None:
        changed = set(services)
        if not changed:
            return
        found: dict[ServiceId, list[TargetState]] = {s: [] for s in changed}
        for target in self.by_id.values():
            if target.service in changed and self._may_get_work(target):
                found[target.service].append(target)
        for service, targets in found.items():
            self.usable[service] = tuple(targets)
            self.counters.usable.set({"service": service}, len(targets))
            self.notify(service)

    def _may_get_work(self, target: TargetState) -> bool:
        if target.id in self.drained or target.failure_domain in self.evacuated:
            return False
        if self.paths.is_lost(target):
            return False
        return target.status in (TargetStatus.COLD, TargetStatus.READY)

    def set_evacuated(self, domains: Set[FailureDomain]) -> None:
        """Stop new work at the targets of `domains` and allow it elsewhere."""
        changed = domains ^ self.evacuated
        over = self.evacuated - domains
        now = Deadline(trio.current_time())
        for target in self.by_id.values():
            if target.failure_domain in over:
                target.warmth.invalidate(now)
        self.evacuated = domains
        self._rebuild(
            target.service
            for target in self.by_id.values()
            if target.failure_domain in changed
        )

    def set_drained(
        self,
        target_id: TargetId,
        drained: bool,
        set_unix_ms: float | None = None,
    ) -> None:
        """Stop new work at a target, or allow it again.

        An operator's mark is independent of the signs that a target is leaving
        and may arrive before the target is known.

        Args:
            target_id: The target.
            drained: Whether it is to get no new work.
            set_unix_ms: When the mark was set, in Unix ms; processes started
                later are not concerned. None means the process known now.
        """
        target = self.by_id.get(target_id)
        born = 0 if target is None else target.incarnation
        if set_unix_ms is None:
            set_unix_ms = born or math.inf
        if not drained:
            self.drained.pop(target_id, None)
        elif born <= set_unix_ms:
            self.drained[target_id] = set_unix_ms
        if target is not None:
            self._rebuild((target.service,))

    def notify(self, service: ServiceId) -> None:
        """Notify watchers that targets of `service` may have changed."""
        for watcher in self.watchers:
            watcher(service)


def _incarnation(host: ListedHost) -> int:
    """Return when the process started, in Unix ms; 0 if not known."""
    return host.incarnation if isinstance(host, ListedTarget) else 0
