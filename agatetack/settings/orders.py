"""Check pairs of settings of which one must stay below the other."""

import dataclasses
from collections.abc import Iterator

from agatetack.settings.findings import Severity
from agatetack.settings.misfit import Misfit, path, value_at
from agatetack.settings.model import Settings


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Two settings of which one must not exceed the other.

    Attributes:
        less: The lesser.
        more: The greater.
        factor: How many times `less` must fit into `more`.
        reason: What breaks otherwise.
        severity: Whether the settings can be used even so.
    """

    less: str
    more: str
    factor: int = 1
    reason: str = ""
    severity: Severity = Severity.ERROR


ORDERS = (
    Order("callers.default_deadline_seconds", "callers.max_deadline_seconds"),
    Order("callers.replay_body_bytes", "callers.max_body_bytes"),
    Order("admission.min_target_limit", "admission.max_target_limit"),
    Order("admission.max_target_limit", "targets.max_connections"),
    Order("lifecycle.notice_seconds", "lifecycle.drain_seconds"),
    Order(
        "callers.default_deadline_seconds",
        "lifecycle.drain_seconds",
        reason="a shutdown would cut requests in flight",
        severity=Severity.WARNING,
    ),
    Order(
        "claims.key_window_seconds",
        "platform.log.retention_seconds",
        factor=2,
        reason="a key could be forgotten and run again",
    ),
)

STRICT_ORDERS = (
    Order(
        "peers.heartbeat_seconds",
        "peers.timeout_seconds",
        reason="live peers would be taken for gone",
    ),
    Order("targets.idle_proof_seconds", "targets.idle_close_seconds"),
    Order(
        "deferred.max_body_bytes",
        "platform.log.max_record_bytes",
        reason="a body is kept in one record",
    ),
)


def check_orders(settings: Settings) -> Iterator[Misfit]:
    """Yield the pairs of which the lesser exceeds the greater."""
    for order in ORDERS:
        less = value_at(settings, path(order.less))
        more = value_at(settings, path(order.more))
        if order.factor * less > more:
            times = f"{order.factor} times " if order.factor > 1 else ""
            yield _order_misfit(order, f"{times}{less:g} exceeds", more)


def check_strict_orders(settings: Settings) -> Iterator[Misfit]:
    """Yield the pairs of which the lesser is not below the greater."""
    for order in STRICT_ORDERS:
        less = value_at(settings, path(order.less))
        more = value_at(settings, path(order.more))
        if less >= more:
            yield _order_misfit(order, f"{less:g} is not less than", more)


def _order_misfit(order: Order, words: str, more: float) -> Misfit:
    reason = f"; {order.reason}" if order.reason else ""
    return Misfit(
        paths=(path(order.less), path(order.more)),
        message=f"{words} {order.more} ({more:g}){reason}",
        severity=order.severity,
    )
