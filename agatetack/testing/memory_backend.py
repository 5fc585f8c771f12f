"""Stand in for a host behind the administration API, in memory."""

import dataclasses
import time
from collections.abc import Sequence

import trio
from returns.result import Failure, Result, Success

from agatetack.config.route import Route
from agatetack.config.route_rules import check_route, check_unique_match
from agatetack.ids import (
    ChangeId,
    Deadline,
    FailureDomain,
    HostId,
    IdempotencyKey,
    LogOffset,
    RequestId,
    RouteId,
    TargetId,
)
from agatetack.lifecycle.phase import Phase
from agatetack.operators import refusals, request_views, views
from agatetack.operators.backend import OperatorsBackend, RequestedChange
from agatetack.operators.views import ChangeKind, ChangeState
from agatetack.settings.model import Settings
from agatetack.targets.state import ReportSource

HOST_DOMAIN = FailureDomain("domain-a")


class MemoryBackend(OperatorsBackend):
    """A host whose state tests set by hand.

    Attributes:
        records: The routes in force, by id.
        offset: Where the next accepted change goes.
        changes: What became of each change.
        applied: The changes that were accepted.
        failures: Errors of the next calls of `apply`, first one first; an
            error in doubt takes effect all the same.
        unavailable: The failure of every call that needs the log, or None.
        peers: Other hosts.
        listed_targets: All targets.
        listed_claims: All claims.
        quarantined: Suspected requests, by fingerprint.
        explained: What is remembered of requests, by id.
        phase: How far the host is between its start and its end.
        stopped_by: Who drained the host, or None.
    """

    def __init__(self, settings: Settings, routes: Sequence[Route] = ()):
        """Hold `routes` with versions from 0."""
        self.settings = settings
        self.records: dict[RouteId, views.RouteRecord] = {}
        self.offset = LogOffset(0)
        self.changes: dict[ChangeId, views.Change] = {}
        self.applied: dict[ChangeId, RequestedChange] = {}
        self.failures: list[refusals.OperatorsError] = []
        self.unavailable: refusals.Unavailable | None = None
        self.peers: list[views.HostView] = []
        self.listed_targets: dict[TargetId, views.TargetView] = {}
        self.listed_claims: list[request_views.ClaimView] = []
        self.quarantined: dict[str, request_views.QuarantinedRequest] = {}
        self.explained: dict[RequestId, request_views.Explanation] = {}
        self.phase = Phase.READY
        self.stopped_by: str | None = None
        for route in routes:
            self._store(route, ChangeId(f"initial-{route.id}"), "setup")

    def status(self) -> views.HostStatus:
        """Return a state made from the attributes."""
        ready = self.phase is Phase.READY
        return views.HostStatus(
            host_id=HostId(self.settings.host.id),
            failure_domain=HOST_DOMAIN,
            region=self.settings.host.region,
            phase=self.phase,
            ready=ready,
            started_unix_ms=1_700_000_000_000,
            config_offset=self.offset,
            routes=len(self.records),
            in_flight=3,
            fleet_size=1 + len(self.peers),
            log_reachable=self.unavailable is None,
            not_ready_because=None if ready else "the host is leaving",
            config_lag_records=0,
        )

    def hosts(self) -> Sequence[views.HostView]:
        """Return this host and the peers."""
        own = views.HostView(
            HostId(self.settings.host.id),
            HOST_DOMAIN,
            self.phase,
            True,
            self.offset,
        )
        return [own, *self.peers]

    def routes(self) -> Result[views.RouteList, refusals.Unavailable]:
        """Return the routes in force."""
        return Success(
            views.RouteList(tuple(self.records.values()), self.offset)
        )

    def check(self, change: RequestedChange) -> Sequence[views.Finding]:
        """Return what the rules of routes find."""
        if change.kind is ChangeKind.DELETE:
            return ()
        others = [record.route for record in self.records.values()]
        return [
            views.Finding(f"route.{finding.field.value}", finding.message)
            for finding in (
                *check_route(change.route),
                *check_unique_match(change.route, others),
            )
        ]

    async def apply(
        self, change: RequestedChange, deadline: Deadline
    ) -> Result[LogOffset, refusals.OperatorsError]:
        """Store the change, unless a failure is scripted."""
        await trio.lowlevel.checkpoint()
        earlier = self.applied.get(change.id)
        if earlier is not None and not _same(earlier, change):
            return Failure(_id_reused(change))
        if earlier is not None:
            return Success(self.changes[change.id].version)
        failure = self.failures.pop(0) if self.failures else self.unavailable
        if failure is not None and not isinstance(
            failure, refusals.ChangeInDoubt
        ):
            return Failure(failure)
        version = self.offset
        if change.kind is ChangeKind.APPLY:
            self._store(change.route, change.id, change.author)
        else:
            del self.records[change.route.id]
            self.offset = LogOffset(version + 1)
        self.applied[change.id] = change
        self.changes[change.id] = views.Change(
            change.id,
            ChangeState.ACCEPTED,
            version,
            route_id=change.route.id,
            kind=change.kind,
            author=change.author,
        )
        return Success(version) if failure is None else Failure(failure)

    async def change(
        self, change: ChangeId, deadline: Deadline
    ) -> Result[views.Change, refusals.Unavailable]:
        """Return what `changes` holds."""
        await trio.lowlevel.checkpoint()
        unknown = views.Change(change, ChangeState.UNKNOWN)
        return Success(self.changes.get(change, unknown))

    def targets(self) -> Sequence[views.TargetView]:
        """Return `listed_targets`."""
        return list(self.listed_targets.values())

    def measure_budget(self) -> views.MeasureBudget:
        """Return a budget half spent."""
        measure = self.settings.measure
        return views.MeasureBudget(
            fleet_probes_per_second=measure.probes_per_second,
            fleet_bytes_per_second=measure.bytes_per_second,
            host_probes_per_second=measure.probes_per_second / 2,
            host_bytes_per_second=measure.bytes_per_second / 2,
            spent_probes=120,
            spent_bytes=9000,
            refused_probes=4,
            reports=(views.ReportCount(ReportSource.PROBE, 118),),
            recent_probes_per_second=measure.probes_per_second / 4,
        )

    def deferred(self) -> views.DeferredStatus:
        """Return one partition."""
        return views.DeferredStatus(
            self.settings.deferred.max_open,
            (views.DeferredPartition(0, 5, 1, 7, 1500, 0),),
        )

    async def claims(
        self, key: IdempotencyKey, route: RouteId | None, deadline: Deadline
    ) -> Result[Sequence[request_views.ClaimView], refusals.Unavailable]:
        """Return those of `listed_claims` that match."""
        await trio.lowlevel.checkpoint()
        if self.unavailable is not None:
            return Failure(self.unavailable)
        return Success(
            [
                claim
                for claim in self.listed_claims
                if claim.key == key and route in (None, claim.route_id)
            ]
        )

    def quarantine(self) -> Sequence[request_views.QuarantinedRequest]:
        """Return `quarantined`."""
        return list(self.quarantined.values())

    async def release(
        self, fingerprint: str
    ) -> Result[None, refusals.NotFound | refusals.Unavailable]:
        """Forget the request."""
        await trio.lowlevel.checkpoint()
        del self.quarantined[fingerprint]
        return Success(None)

    async def drain_target(
        self, target: TargetId, drained: bool, deadline: Deadline
    ) -> Result[None, refusals.NotFound | refusals.Unavailable]:
        """Mark the target."""
        await trio.lowlevel.checkpoint()
        self.listed_targets[target] = dataclasses.replace(
            self.listed_targets[target], drained=drained
        )
        return Success(None)

    def drain_host(self, author: str, message: str) -> None:
        """Note who drained the host."""
        self.stopped_by = author
        self.phase = Phase.DRAINING

    async def explain(
        self, request: RequestId, deadline: Deadline
    ) -> Result[request_views.Explanation, refusals.NotFound]:
        """Return what `explained` holds."""
        await trio.lowlevel.checkpoint()
        return Success(
            self.explained.get(request, request_views.Explanation((), ()))
        )

    def _store(self, route: Route, change: ChangeId, author: str) -> None:
        stored = dataclasses.replace(route, version=self.offset)
        self.records[route.id] = views.RouteRecord(
            stored, self.offset, author, change, int(time.time() * 1000)
        )
        self.offset = LogOffset(self.offset + 1)


def _same(one: RequestedChange, other: RequestedChange) -> bool:
    """Return whether both ask for the same, whoever asks."""
    if one.kind is ChangeKind.DELETE:
        one = dataclasses.replace(one, route=other.route)
    return dataclasses.replace(one, author=other.author) == other


def _id_reused(change: RequestedChange) -> refusals.ChangeRejected:
    return refusals.ChangeRejected(
        views.ChangeRejection.CHANGE_ID_REUSED,
        "the id was used for another change",
        change.id,
    )
