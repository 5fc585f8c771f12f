"""Check the settings that must fit together."""

from collections import Counter
from collections.abc import Iterable, Iterator

from agatetack.callers.memory import caller_memory_bytes, largest_request_bytes
from agatetack.settings.findings import KeyPath, Severity
from agatetack.settings.misfit import Misfit, path, value_at
from agatetack.settings.model import Endpoint, Settings
from agatetack.settings.orders import check_orders, check_strict_orders

PLATFORM_LISTENERS = (
    ("callers", "listen"),
    ("operators", "listen"),
    ("peers", "listen"),
)
"""The addresses that a host on the product's platform listens on."""

STORE_LISTENERS = (
    ("callers", "listen"),
    ("peers", "listen"),
    ("peers", "seed_listen"),
    ("status", "ready_listen"),
    ("status", "metrics_listen"),
)
"""The addresses that a host on a metadata store listens on."""

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


def find_misfits(settings: Settings) -> Iterator[Misfit]:
    """Yield all settings that do not fit together."""
    yield from check_orders(settings)
    yield from check_strict_orders(settings)
    yield from _check_host_limits(settings)
    yield from _check_snapshots(settings)
    yield from _check_measuring(settings)
    yield from _check_hedges(settings)
    yield from _check_listeners(settings)
    yield from _check_platform(settings)
    yield from _check_exposure(settings)
    yield from _check_headers(settings)
    yield from _check_paths(settings)
    yield from _check_tokens(settings)


def _check_host_limits(settings: Settings) -> Iterator[Misfit]:
    host = settings.host
    largest = largest_request_bytes(settings)
    if host.memory_mb is not None and caller_memory_bytes(settings) < largest:
        yield Misfit(
            (path("host.memory_mb"), path("callers.memory_ratio")),
            f"leaves callers less than the {largest} bytes that one request"
            " may take",
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


def listen_addresses(settings: Settings) -> Iterator[tuple[KeyPath, Endpoint]]:
    """Yield the addresses that the host listens on, with their settings."""
    on_store = settings.platform.store.endpoint is not None
    for keys in STORE_LISTENERS if on_store else PLATFORM_LISTENERS:
        endpoint = value_at(settings, keys)
        if endpoint is not None:
            yield keys, endpoint


def _check_listeners(settings: Settings) -> Iterator[Misfit]:
    seen: list[tuple[KeyPath, Endpoint]] = []
    for keys, endpoint in listen_addresses(settings):
        for other_keys, other in seen:
            if _same_address(endpoint, other):
                yield Misfit(
                    ((*keys, "port"), (*other_keys, "port")),
                    f"{'.'.join(other_keys)} has this port too",
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
        names = {key: name for key, name in headers.items() if name is not None}
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
