"""Answer operators from the slices of one host."""

from collections.abc import Sequence

import trio
from returns.result import Failure, Result, Success

from agatetack.config.change import (
    NO_VERSION,
    ChangeStatus,
    InDoubt,
    Rejected,
    RejectReason,
    RouteChange,
)
from agatetack.config.fold import Slot
from agatetack.config.route_rules import check_route, check_unique_match
from agatetack.gateway import Gateway
from agatetack.ids import (
    ChangeId,
    Deadline,
    HostId,
    IdempotencyKey,
    LogOffset,
    RequestId,
    RouteId,
    TargetId,
)
from agatetack.operators import refusals, request_views, views
from agatetack.operators.backend import OperatorsBackend, RequestedChange
from agatetack.operators.claim_view import claim_views
from agatetack.operators.explainer import Explainer
from agatetack.operators.host_view import (
    deferred_status,
    host_status,
    host_views,
    measure_budget,
    quarantined_requests,
    target_view,
)
from agatetack.operators.views import ChangeKind
from agatetack.quarantine.tracker import Fingerprint

OPERATOR_STOP = 0
"""The wish to stop that an operator sends, in place of a signal's number."""

REJECTIONS = {
    RejectReason.CONFLICT: views.ChangeRejection.VERSION_CONFLICT,
    RejectReason.PATH_TAKEN: views.ChangeRejection.PATH_TAKEN,
    RejectReason.INVALID: views.ChangeRejection.INVALID,
    RejectReason.STALE: views.ChangeRejection.STALE,
}

UNAVAILABLE = {
    RejectReason.LOG_UNAVAILABLE: refusals.UnavailableReason.LOG_UNAVAILABLE,
    RejectReason.NOT_READY: refusals.UnavailableReason.NO_CONFIGURATION,
}

CHANGE_STATES = {
    ChangeStatus.ACCEPTED: views.ChangeState.ACCEPTED,
    ChangeStatus.REJECTED: views.ChangeState.REJECTED,
    ChangeStatus.PENDING: views.ChangeState.PENDING,
    ChangeStatus.UNKNOWN: views.ChangeState.UNKNOWN,
}


class HostBackend(OperatorsBackend):
    """One host as its operators see it."""

    def __init__(self, gateway: Gateway):
        """Answer from the slices of `gateway`."""
        self.gateway = gateway
        self.started_unix_ms = int(gateway.clock.wall() * 1000)
        self.explainer = Explainer(
            HostId(gateway.settings.host.id),
            gateway.explanations,
            gateway.peers,
            gateway.clock,
        )

    def status(self) -> views.HostStatus:
        """Return this host's own state."""
        return host_status(self.gateway, self.started_unix_ms)

    def hosts(self) -> Sequence[views.HostView]:
        """Return all gateways that this host knows, itself included."""
        return host_views(self.gateway)

    def routes(self) -> Result[views.RouteList, refusals.Unavailable]:
        """Return the routes in force here."""
        if not self.gateway.config.ready:
            return Failure(
                refusals.Unavailable(
                    refusals.UnavailableReason.NO_CONFIGURATION,
                    "This host has no configuration yet.",
                )
            )
        fold = self.gateway.config.fold
        records = tuple(
            _record(slot)
            for slot in fold.slots.values()
            if slot.route is not None
        )
        return Success(views.RouteList(records, LogOffset(fold.version + 1)))

    def check(self, change: RequestedChange) -> Sequence[views.Finding]:
        """Return everything that is wrong with the route of `change`."""
        if change.kind is ChangeKind.DELETE:
            return ()
        others = self.gateway.config.fold.routes()
        return [
            views.Finding(f"route.{finding.field.value}", finding.message)
            for finding in (
                *check_route(change.route),
                *check_unique_match(change.route, others),
            )
        ]

    async def apply(
        self, change: RequestedChange, deadline: Deadline
    ) -> Result[
        LogOffset,
        refusals.ChangeRejected | refusals.ChangeInDoubt | refusals.Unavailable,
    ]:
        """Return the new version once the change was read back."""
        expected = change.expected_version
        wanted = RouteChange(
            change_id=change.id,
            route_id=change.route.id,
            route=change.route if change.kind is ChangeKind.APPLY else None,
            expected_version=NO_VERSION if expected is None else expected,
            author=change.author,
            written_at=self.gateway.clock.wall(),
        )
        result = await self.gateway.config.apply(wanted, deadline)
        if isinstance(result, Success):
            return Success(result.unwrap().version)
        return Failure(self._refusal(change, result.failure()))

    def _refusal(
        self, change: RequestedChange, failure: Rejected | InDoubt
    ) -> (
        refusals.ChangeRejected | refusals.ChangeInDoubt | refusals.Unavailable
    ):
        if isinstance(failure, InDoubt):
            return refusals.ChangeInDoubt(failure.detail, change.id)
        unavailable = UNAVAILABLE.get(failure.reason)
        if unavailable is not None:
            return refusals.Unavailable(unavailable, failure.detail)
        current = self.gateway.config.fold.slots.get(change.route.id)
        reason = REJECTIONS.get(failure.reason, views.ChangeRejection.OTHER)
        if self._is_id_reused(change, failure):
            reason = views.ChangeRejection.CHANGE_ID_REUSED
        return refusals.ChangeRejected(
            reason,
            failure.detail,
            change.id,
            current=None
            if current is None or current.route is None
            else _record(current),
        )

    def _is_id_reused(self, change: RequestedChange, failure: Rejected) -> bool:
        """Return whether the id was decided for a change unlike this one.

        The store tells such a change as invalid, which a change that was
        decided otherwise cannot be.
        """
        if failure.reason is not RejectReason.INVALID:
            return False
        known = self.gateway.config.change_state(change.id)
        decided = known.status in (ChangeStatus.ACCEPTED, ChangeStatus.REJECTED)
        return decided and known.reason is not RejectReason.INVALID

    async def change(
        self, change: ChangeId, deadline: Deadline
    ) -> Result[views.Change, refusals.Unavailable]:
        """Return what became of a change."""
        await trio.lowlevel.checkpoint()
        state = self.gateway.config.change_state(change)
        accepted = state.status is ChangeStatus.ACCEPTED
        reason = None
        if state.reason is not None:
            reason = REJECTIONS.get(state.reason, views.ChangeRejection.OTHER)
        return Success(
            views.Change(
                change,
                CHANGE_STATES[state.status],
                version=state.version if accepted else None,
                reason=reason,
            )
        )

    def targets(self) -> Sequence[views.TargetView]:
        """Return all targets that this host knows."""
        registry = self.gateway.registry
        now = self.gateway.clock.now()
        return [
            target_view(target, target.id in registry.drained, now)
            for target in registry.by_id.values()
        ]

    def measure_budget(self) -> views.MeasureBudget:
        """Return the spending on measuring."""
        return measure_budget(self.gateway)

    def deferred(self) -> views.DeferredStatus:
        """Return the state of the deferred queue."""
        return deferred_status(self.gateway)

    async def claims(
        self, key: IdempotencyKey, route: RouteId | None, deadline: Deadline
    ) -> Result[Sequence[request_views.ClaimView], refusals.Unavailable]:
        """Return what is known of a key, on one route or on all."""
        await trio.lowlevel.checkpoint()
        if not self.gateway.claims.ready:
            return Failure(
                refusals.Unavailable(
                    refusals.UnavailableReason.BEHIND,
                    "The claims have not been read to their end yet.",
                )
            )
        return Success(claim_views(self.gateway, key, route))

    def quarantine(self) -> Sequence[request_views.QuarantinedRequest]:
        """Return the requests suspected to crash targets."""
        return quarantined_requests(self.gateway)

    async def release(
        self, fingerprint: str
    ) -> Result[None, refusals.NotFound | refusals.Unavailable]:
        """Let a quarantined request run again, here and on the peers."""
        await trio.lowlevel.checkpoint()
        try:
            known = self.gateway.crashes.release(
                Fingerprint(bytes.fromhex(fingerprint))
            )
        except ValueError:
            known = False
        if not known:
            return Failure(
                refusals.NotFound(
                    refusals.Entity.QUARANTINE,
                    fingerprint,
                    "No suspected request has this fingerprint.",
                )
            )
        return Success(None)

    async def drain_target(
        self, target: TargetId, drained: bool, deadline: Deadline
    ) -> Result[None, refusals.NotFound | refusals.Unavailable]:
        """Drain a target on every host, or let it have work again."""
        await trio.lowlevel.checkpoint()
        if target not in self.gateway.registry.by_id:
            return Failure(
                refusals.NotFound(
                    refusals.Entity.TARGET, target, "No such target is listed."
                )
            )
        self.gateway.drains.set(target, drained)
        return Success(None)

    def drain_host(self, author: str, message: str) -> None:
        """Begin this host's graceful stop and return at once."""
        try:
            self.gateway.stops.send_nowait(OPERATOR_STOP)
        except trio.WouldBlock:
            # A stop is under way already, and an operator's must not cut it.
            return

    async def explain(
        self, request: RequestId, deadline: Deadline
    ) -> Result[
        request_views.Explanation, refusals.NotFound | refusals.Unavailable
    ]:
        """Return what this host and its peers did with a request."""
        return await self.explainer.explain(request, deadline)


def _record(slot: Slot) -> views.RouteRecord:
    return views.RouteRecord(
        route=slot.route, version=slot.version, author=slot.author
    )
