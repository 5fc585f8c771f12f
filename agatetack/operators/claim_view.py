"""Show what is known of an idempotency key."""

from collections.abc import Sequence

from agatetack.claims.fold import KeyState
from agatetack.claims.key import key_digest, key_partition
from agatetack.config.route import RequestClass, Route
from agatetack.gateway import Gateway
from agatetack.ids import IdempotencyKey, RouteId
from agatetack.operators import request_views
from agatetack.operators.request_views import ClaimState


def claim_views(
    gateway: Gateway, key: IdempotencyKey, route_id: RouteId | None
) -> Sequence[request_views.ClaimView]:
    """Return the state of `key` on one never-repeated route, or on all."""
    table = gateway.routes.table
    routes = () if table is None else table.routes.values()
    return [
        _view(gateway, route, key)
        for route in routes
        if route.request_class is RequestClass.ONCE
        and route_id in (None, route.id)
    ]


def _view(
    gateway: Gateway, route: Route, key: IdempotencyKey
) -> request_views.ClaimView:
    partition = gateway.claims.partitions[key_partition(gateway.settings, key)]
    state = partition.fold.keys.get(key_digest(route, key))
    claimed = None if state is None else state.claimed_ms
    return request_views.ClaimView(
        route_id=route.id,
        service=route.service,
        key=key,
        state=_claim_state(state),
        claimed_unix_ms=claimed,
        answer_status=None if state is None else state.status or None,
    )


def _claim_state(state: KeyState | None) -> ClaimState:
    if state is None:
        return ClaimState.UNCLAIMED
    if state.holder is None:
        return ClaimState.RELEASED
    return ClaimState.DONE if state.status else ClaimState.IN_PROGRESS
