"""Answer the calls about hosts, targets, claims, quarantine and requests."""

from agatetack.ids import TargetId
from agatetack.logs import PartLog
from agatetack.operators import checks, request_views, requests, views
from agatetack.operators.access import Operator
from agatetack.operators.backend import OperatorsBackend
from agatetack.operators.paging import take_page
from agatetack.operators.refusals import Entity, NotFound
from agatetack.settings.model import OperatorRole

log = PartLog("operators")


class HostCalls:
    """The calls about the answering host and what it sees."""

    def __init__(self, backend: OperatorsBackend):
        """Answer for the host behind `backend`."""
        self.backend = backend

    async def get_status(
        self, operator: Operator, request: requests.GetStatusRequest
    ) -> views.HostStatus:
        """Return the answering host."""
        operator.require(OperatorRole.READ)
        return self.backend.status()

    async def list_hosts(
        self, operator: Operator, request: requests.ListHostsRequest
    ) -> views.HostList:
        """Return the gateways that the answering host knows."""
        operator.require(OperatorRole.READ)
        page = await take_page(
            self.backend.hosts(), lambda host: host.host_id, request
        )
        return views.HostList(page.items, page.next_after)

    async def list_targets(
        self, operator: Operator, request: requests.ListTargetsRequest
    ) -> views.TargetList:
        """Return the targets in the operator's scope."""
        operator.require(OperatorRole.READ)
        targets = [
            target
            for target in self.backend.targets()
            if operator.covers(target.service)
            and request.service in (None, target.service)
        ]
        page = await take_page(
            targets, lambda target: target.target_id, request
        )
        return views.TargetList(page.items, page.next_after)

    async def get_measure_budget(
        self, operator: Operator, request: requests.GetMeasureBudgetRequest
    ) -> views.MeasureBudget:
        """Return the spending on measuring."""
        operator.require(OperatorRole.READ)
        return self.backend.measure_budget()

    async def get_deferred(
        self, operator: Operator, request: requests.GetDeferredRequest
    ) -> views.DeferredStatus:
        """Return the state of the deferred queue."""
        operator.require(OperatorRole.READ)
        return self.backend.deferred()

    async def get_claims(
        self, operator: Operator, request: requests.GetClaimsRequest
    ) -> request_views.ClaimList:
        """Return the claims of a key on services in the operator's scope."""
        operator.require(OperatorRole.READ)
        checks.check_text("request.key", request.key)
        deadline = checks.deadline_after(request.timeout_ms)
        claims = checks.unwrap(
            await self.backend.claims(request.key, request.route_id, deadline)
        )
        return request_views.ClaimList(
            tuple(claim for claim in claims if operator.covers(claim.service))
        )

    async def list_quarantine(
        self, operator: Operator, request: requests.ListQuarantineRequest
    ) -> request_views.QuarantineList:
        """Return suspected requests on services in the operator's scope."""
        operator.require(OperatorRole.READ)
        listed = [
            entry
            for entry in self.backend.quarantine()
            if operator.covers(entry.service)
            and request.service in (None, entry.service)
        ]
        page = await take_page(listed, lambda entry: entry.fingerprint, request)
        return request_views.QuarantineList(page.items, page.next_after)

    async def release_quarantined(
        self, operator: Operator, request: requests.ReleaseQuarantinedRequest
    ) -> views.Done:
        """Let a quarantined request run again."""
        operator.require(OperatorRole.RELEASE)
        entry = next(
            (
                entry
                for entry in self.backend.quarantine()
                if entry.fingerprint == request.fingerprint
                and operator.covers(entry.service)
            ),
            None,
        )
        if entry is None:
            raise NotFound(
                Entity.QUARANTINE,
                request.fingerprint,
                "no such request is quarantined on this host",
            )
        checks.unwrap(await self.backend.release(request.fingerprint))
        log.info(
            "%s released request %s of route %s.",
            operator.name,
            entry.fingerprint,
            entry.route_id,
        )
        return views.Done()

    async def drain_target(
        self, operator: Operator, request: requests.DrainTargetRequest
    ) -> views.Done:
        """Send no new work to a target."""
        return await self._set_drained(operator, request, drained=True)

    async def undrain_target(
        self, operator: Operator, request: requests.DrainTargetRequest
    ) -> views.Done:
        """Let a drained target have work again."""
        return await self._set_drained(operator, request, drained=False)

    async def drain_host(
        self, operator: Operator, request: requests.DrainHostRequest
    ) -> views.Done:
        """Stop the answering host gracefully."""
        operator.require(OperatorRole.CHANGE)
        operator.require_service(None)
        if request.message:
            checks.check_text("request.message", request.message)
        log.info("%s drains this host: %s.", operator.name, request.message)
        self.backend.drain_host(operator.name, request.message)
        return views.Done()

    async def explain(
        self, operator: Operator, request: requests.ExplainRequest
    ) -> request_views.Explanation:
        """Return what the hosts did with a request lately."""
        operator.require(OperatorRole.READ)
        checks.check_text("request.request_id", request.request_id)
        deadline = checks.deadline_after(request.timeout_ms)
        found = checks.unwrap(
            await self.backend.explain(request.request_id, deadline)
        )
        listed = [r for r in found.requests if operator.covers(r.service)]
        if not listed:
            raise NotFound(
                Entity.REQUEST,
                request.request_id,
                "no host remembers that request",
            )
        listed.sort(key=lambda r: r.arrived_unix_ms)
        return request_views.Explanation(tuple(listed), found.silent_hosts)

    async def _set_drained(
        self,
        operator: Operator,
        request: requests.DrainTargetRequest,
        drained: bool,
    ) -> views.Done:
        operator.require(OperatorRole.CHANGE)
        deadline = checks.deadline_after(request.timeout_ms)
        target = self._find_target(operator, request.target_id)
        checks.unwrap(
            await self.backend.drain_target(target.target_id, drained, deadline)
        )
        log.info(
            "%s %s target %s of service %s.",
            operator.name,
            "drains" if drained else "undrains",
            target.target_id,
            target.service,
        )
        return views.Done()

    def _find_target(
        self, operator: Operator, target_id: TargetId
    ) -> views.TargetView:
        for target in self.backend.targets():
            if target.target_id == target_id:
                operator.require_service(target.service)
                return target
        raise NotFound(
            Entity.TARGET, target_id, "this host knows no such target"
        )
