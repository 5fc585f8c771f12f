"""Check the settings that must fit together."""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Iterator

from agatetack.settings.findings import KeyPath, Severity
from agatetack.settings.model import Endpoint, Settings

MAX_USUAL_HEDGE_RATIO = 0.1
"""Hedges beyond this share make an overload worse than a slow target does."""

MAX_USUAL_RETRY_RATIO = 0.3
"""Retries beyond this share multiply the load of a service that fails."""

RESERVED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "content-type",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers whose meaning HTTP gives."""


@dataclasses.dataclass(frozen=True, slots=True)
class Misfit:
    """Settings that do not fit together.

    Attributes:
        paths: The settings at odds; the first is the likeliest to change.
        message: What is wrong.
        severity: Whether the settings can be used.
    """

    paths: tuple[KeyPath, ...]
    message: str
    severity: Severity = Severity.ERROR


def find_misfits(settings: Settings) -> Iterator[Misfit]:
    """Yield all settings that do not fit together."""
    yield from _check_orders(settings)
    yield from _check_strict_orders(settings)
    yield from _check_snapshots(settings)
    yield from _check_measuring(settings)
    yield from _check_hedges(settings)
    yield from _check_listeners(settings)
    yield from _check_platform(settings)
    yield from _check_exposure(settings)
    yield from _check_headers(settings)
    yield from _check_paths(settings)
    yield from _check_tokens(settings)


def path(text: str) -> KeyPath:
    """Return the path of a dotted key."""
    return tuple(text.split("."))


def value_at(settings: Settings, keys: KeyPath) -> object:
    """Return the setting at `keys`."""
    value: object = settings
    for key in keys:
        value = getattr(value, str(key))
    return value


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Two settings of which one must not exceed the other.

    Attributes:
        less: The lesser.
        more: The greater.
        factor: How many times `less` must fit into `more`.
        reason: What breaks otherwise.
    """

    less: str
    more: str
    factor: int = 1
    reason: str = ""


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


def _check_orders(settings: Settings) -> Iterator[Misfit]:
    for order in ORDERS:
        less = value_at(settings, path(order.less))
        more = value_at(settings, path(order.more))
        if order.factor * less > more:
            times = f"{order.factor} times " if order.factor > 1 else ""
            yield _order_misfit(order, f"{times}{less:g} exceeds", more)


def _check_strict_orders(settings: Settings) -> Iterator[Misfit]:
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
    )


def _check_snapshots(settings: Settings) -> Iterator[Misfit]:
    config = settings.config
    retention = settings.platform.log.retention_seconds
    written_at = config.snapshot_age_ratio * retention
    # A host that fails while it waits leaves the snapshot to another one,
    # which waits too.
    latest = written_at + 2 * config.snapshot_stagger_seconds
    if latest > retention:
        yield Misfit(
            (
                path("config.snapshot_stagger_seconds"),
                path("platform.log.retention_seconds"),
            ),
            f"a snapshot could be written {latest:g} s after the last one,"
            f" which the log keeps for {retention:g} s",
            Severity.WARNING,
        )


def _check_measuring(settings: Settings) -> Iterator[Misfit]:
    measure = settings.measure
    if measure.probes_per_second > 0 and measure.bytes_per_second == 0:
        yield Misfit(
            (path("measure.bytes_per_second"),),
            "without bytes no probe is sent",
            Severity.WARNING,
        )


def _check_hedges(settings: Settings) -> Iterator[Misfit]:
    attempts = settings.attempts
    if not 0 < attempts.hedge_quantile < 1:
        yield Misfit(
            (path("attempts.hedge_quantile"),),
            "must be more than 0 and less than 1",
        )
    usual = (
        ("hedge_ratio", attempts.hedge_ratio, MAX_USUAL_HEDGE_RATIO),
        ("retry_ratio", attempts.retry_ratio, MAX_USUAL_RETRY_RATIO),
    )
    for name, ratio, most in usual:
        if ratio > most:
            yield Misfit(
                (("attempts", name),),
                f"more than {most:g} makes an overload worse",
                Severity.WARNING,
            )


def _check_listeners(settings: Settings) -> Iterator[Misfit]:
    seen: list[tuple[KeyPath, Endpoint]] = []
    for section in ("callers", "operators", "peers"):
        keys = (section, "listen")
        endpoint = value_at(settings, keys)
        for other_keys, other in seen:
            if _same_address(endpoint, other):
                yield Misfit(
                    ((*keys, "port"), (*other_keys, "port")),
                    f"{other_keys[0]}.listen has this port too",
                )
        seen.append((keys, endpoint))


def _same_address(one: Endpoint, other: Endpoint) -> bool:
    if one.port == 0 or one.port != other.port:
        return False
    if one.ip.is_unspecified or other.ip.is_unspecified:
        return True
    return one.ip == other.ip


def _check_platform(settings: Settings) -> Iterator[Misfit]:
    reached = [
        ("platform", "log", "endpoint"),
        ("platform", "host_list", "endpoint"),
    ]
    if settings.peers.advertise is not None:
        reached.append(("peers", "advertise"))
    for keys in reached:
        endpoint = value_at(settings, keys)
        if endpoint.port == 0:
            yield Misfit(((*keys, "port"),), "cannot be reached at port 0")
        if endpoint.ip.is_unspecified:
            message = f"cannot be reached at {endpoint.host}"
            yield Misfit(((*keys, "ip"),), message)


def _check_exposure(settings: Settings) -> Iterator[Misfit]:
    operators, peers = settings.operators, settings.peers
    if not operators.listen.ip.is_loopback:
        if operators.tls is None and operators.tokens:
            yield Misfit(
                (("operators", "tls"), ("operators", "listen", "ip")),
                "tokens cross the network in the clear without TLS",
                Severity.WARNING,
            )
        if not operators.tokens:
            yield Misfit(
                (("operators", "tokens"), ("operators", "listen", "ip")),
                "without tokens nobody can change routes from elsewhere",
                Severity.WARNING,
            )
    if not peers.listen.ip.is_loopback and peers.shared_key is None:
        yield Misfit(
            (("peers", "shared_key"), ("peers", "listen", "ip")),
            "without a key any host of the network can pose as a peer",
            Severity.WARNING,
        )


def _check_headers(settings: Settings) -> Iterator[Misfit]:
    for section in ("callers", "targets"):
        headers = value_at(settings, (section, "headers"))
        names = dict(headers)
        counts = Counter(names.values())
        for key, name in names.items():
            if name in RESERVED_HEADERS:
                message = f"HTTP gives {name} another meaning"
                yield Misfit(((section, "headers", key),), message)
            elif counts[name] > 1:
                message = f"{name} stands for two settings"
                yield Misfit(((section, "headers", key),), message)


def _check_paths(settings: Settings) -> Iterator[Misfit]:
    for text in (
        "targets.load_path",
        "targets.health_path",
        "callers.ticket_path",
    ):
        if not value_at(settings, path(text)).startswith("/"):
            yield Misfit((path(text),), "must start with '/'")


def _check_tokens(settings: Settings) -> Iterator[Misfit]:
    tokens = settings.operators.tokens
    for key in ("name", "sha256"):
        for index in _repeats(getattr(token, key) for token in tokens):
            keys = ("operators", "tokens", index, key)
            yield Misfit((keys,), "is the same as an earlier token's")
    teams = (limit.team for limit in settings.operators.team_limits)
    for index in _repeats(teams):
        keys = ("operators", "team_limits", index, "team")
        yield Misfit((keys,), "is the same as an earlier one")


def _repeats(values: Iterable[str]) -> Iterator[int]:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            yield index
        seen.add(value)
