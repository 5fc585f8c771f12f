"""List the calls of the administration API and what they take and give."""

import dataclasses
import enum

from agatetack.operators import request_views, requests, views


class CallName(enum.Enum):
    """The calls, as `thrift/operators.thrift` names them."""

    LIST_ROUTES = "list_routes"
    GET_ROUTE = "get_route"
    APPLY_ROUTE = "apply_route"
    DELETE_ROUTE = "delete_route"
    GET_CHANGE = "get_change"
    GET_STATUS = "get_status"
    LIST_HOSTS = "list_hosts"
    LIST_TARGETS = "list_targets"
    GET_MEASURE_BUDGET = "get_measure_budget"
    GET_DEFERRED = "get_deferred"
    GET_CLAIMS = "get_claims"
    LIST_QUARANTINE = "list_quarantine"
    RELEASE_QUARANTINED = "release_quarantined"
    DRAIN_TARGET = "drain_target"
    UNDRAIN_TARGET = "undrain_target"
    DRAIN_HOST = "drain_host"
    EXPLAIN = "explain"


@dataclasses.dataclass(frozen=True, slots=True)
class CallTypes:
    """What a call takes and gives, as dataclasses."""

    request: type
    view: type


CALLS: dict[CallName, CallTypes] = {
    CallName.LIST_ROUTES: CallTypes(
        requests.ListRoutesRequest, views.RouteList
    ),
    CallName.GET_ROUTE: CallTypes(requests.GetRouteRequest, views.RouteRecord),
    CallName.APPLY_ROUTE: CallTypes(
        requests.ApplyRouteRequest, views.ChangeResult
    ),
    CallName.DELETE_ROUTE: CallTypes(
        requests.DeleteRouteRequest, views.ChangeResult
    ),
    CallName.GET_CHANGE: CallTypes(requests.GetChangeRequest, views.Change),
    CallName.GET_STATUS: CallTypes(requests.GetStatusRequest, views.HostStatus),
    CallName.LIST_HOSTS: CallTypes(requests.ListHostsRequest, views.HostList),
    CallName.LIST_TARGETS: CallTypes(
        requests.ListTargetsRequest, views.TargetList
    ),
    CallName.GET_MEASURE_BUDGET: CallTypes(
        requests.GetMeasureBudgetRequest, views.MeasureBudget
    ),
    CallName.GET_DEFERRED: CallTypes(
        requests.GetDeferredRequest, views.DeferredStatus
    ),
    CallName.GET_CLAIMS: CallTypes(
        requests.GetClaimsRequest, request_views.ClaimList
    ),
    CallName.LIST_QUARANTINE: CallTypes(
        requests.ListQuarantineRequest, request_views.QuarantineList
    ),
    CallName.RELEASE_QUARANTINED: CallTypes(
        requests.ReleaseQuarantinedRequest, views.Done
    ),
    CallName.DRAIN_TARGET: CallTypes(requests.DrainTargetRequest, views.Done),
    CallName.UNDRAIN_TARGET: CallTypes(requests.DrainTargetRequest, views.Done),
    CallName.DRAIN_HOST: CallTypes(requests.DrainHostRequest, views.Done),
    CallName.EXPLAIN: CallTypes(
        requests.ExplainRequest, request_views.Explanation
    ),
}
