"""Decode the configuration that operators write to the platform's store."""

import math
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

import orjson

from agatetack.config.document import (
    BadDocument,
    CallerLimits,
    DocumentDecoder,
    RouteDocument,
    ServiceInfo,
)
from agatetack.config.route import RequestClass, Route, SplitPart
from agatetack.hosts.evacuations import EvacuationKeys
from agatetack.ids import (
    ClientAccountId,
    FailureDomain,
    Region,
    RouteId,
    ServiceId,
    TeamId,
)
from agatetack.late import LateModule
from agatetack.platform.figures import read_seconds

if TYPE_CHECKING:
    from agatetack.identity.accounts import AccountTable, ClientAccount

# Loaded for a document that has client accounts.
account_parts = LateModule("agatetack.identity.accounts")
key_parts = LateModule("agatetack.identity.keys")

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

MAX_VERSION = 2**63 - 1
"""Highest version of a document; it is shown as a gauge."""

ROUTE_TYPES = {
    "idempotent": RequestClass.FAST,
    "non_idempotent": RequestClass.ONCE,
    "download": RequestClass.WHOLE,
    "upload": RequestClass.ONCE,
}
"""Request class for each of the platform's route types. The body of an `upload`
is large, and it may run at most once."""

TEAM = TeamId("platform")
"""Team of all routes, because the platform's routes name none."""


class ConfigurationDecoder(DocumentDecoder):
    """Decodes the platform's configuration, which is JSON."""

    def decode(self, content: bytes) -> RouteDocument:
        """Return the document in `content`.

        Raises:
            BadDocument: `content` is not a valid configuration.
        """
        try:
            fields = orjson.loads(content)
            return RouteDocument(
                version=_version(fields["version"]),
                routes=tuple(map(_read_route, fields["routes"])),
                services=tuple(map(_read_service, fields["services"])),
                limits=_read_limits(fields.get("limits")),
                accounts=_read_accounts(fields),
            )
        except (
            LookupError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
        ) as error:
            raise BadDocument(f"{type(error).__name__}: {error}") from error


class EvacuationKeyParser(EvacuationKeys):
    """Parses the keys of the platform's records that evacuate a zone."""

    def domain(self, key: str) -> FailureDomain | None:
        """Return the failure domain that the record `key` evacuates, if any."""
        zone = key.removeprefix(EVACUATION_PREFIX)
        return FailureDomain(zone) if zone and zone != key else None


def _text(value: object) -> str:
    """Return a text; other types fail later, where it is used."""
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a text")
    return value


def _version(value: object) -> int:
    version = int(value)
    if version > MAX_VERSION:
        raise ValueError("the version is too high")
    return version


def _read_route(fields: Mapping) -> Route:
    split = tuple(
        SplitPart(ServiceId(_text(part["service"])), float(part["weight"]))
        for part in fields.get("traffic_split") or ()
    )
    main = fields.get("service") or split[0].service
    return Route(
        id=RouteId(_text(fields["name"])),
        team=TEAM,
        service=ServiceId(_text(main)),
        request_class=ROUTE_TYPES[fields["route_type"]],
        path_prefix=_text(fields["path_prefix"]),
        host=_text(fields["host"]).lower(),
        timeout_seconds=_optional_seconds(fields, "timeout"),
        # The platform limits the number of servers tried. This is the same
        # as a limit on attempts, as each attempt goes to another target.
        max_attempts=int(fields.get("max_attempts") or 0),
        target_latency_seconds=_optional_seconds(fields, "target_latency"),
        priority=int(fields.get("priority") or 0),
        split=split,
        regions=_read_regions(fields.get("allowed_regions")),
    )


def _read_regions(names: Sequence[str] | None) -> tuple[Region, ...]:
    if isinstance(names, str):
        raise TypeError("allowed_regions must be a list")
    return tuple(Region(str(name)) for name in names or ())


def _optional_seconds(fields: Mapping, name: str) -> float:
    text = fields.get(name)
    return read_seconds(text) if text else 0.0


def _read_service(fields: Mapping) -> ServiceInfo:
    return ServiceInfo(
        id=ServiceId(_text(fields["name"])),
        load_path=_text(fields.get("health_path") or "/"),
        max_connections=int(fields.get("max_connections") or 0),
        warm_up_rate=max(0.0, float(fields.get("warmup_per_s") or 0.0)),
    )


def _read_limits(fields: Mapping | None) -> CallerLimits | None:
    if not fields:
        return None
    return CallerLimits(
        max_header_bytes=int(fields["max_header_bytes"]),
        max_body_bytes=int(fields["max_body_bytes"]),
        header_timeout_seconds=read_seconds(fields["header_timeout"]),
        idle_timeout_seconds=read_seconds(fields["idle_timeout"]),
    )


def _read_accounts(fields: Mapping) -> "AccountTable | None":
    """Return the tenants and public routes; None if there are no tenants."""
    tenants = fields.get("tenants")
    if tenants is None:
        return None
    if not isinstance(tenants, list):
        raise TypeError("tenants must be a list")
    return account_parts.AccountTable(
        [_read_account(n, each) for n, each in enumerate(tenants)],
        [
            RouteId(route["name"])
            for route in fields["routes"]
            if _flag(route.get("public"))
        ],
    )


def _read_account(number: int, tenant: Mapping) -> "ClientAccount":
    """Return a tenant; errors name its place, but none of its keys."""
    place = f"tenants[{number}]"
    keys = tenant.get("api_keys") or []
    if not isinstance(keys, list) or not all(
        isinstance(key, str) and key.isascii() for key in keys
    ):
        raise TypeError(f"{place}.api_keys must be a list of ASCII texts")
    priority = tenant.get("priority")
    return account_parts.ClientAccount(
        id=ClientAccountId(_text(tenant["name"])),
        key_hashes=frozenset(key_parts.hash_key(key.encode()) for key in keys),
        priority=None if priority is None else int(priority),
        requests_per_second=_quota_figure(tenant, "rate_per_s", place),
        burst=_quota_figure(tenant, "burst_size", place),
    )


def _quota_figure(tenant: Mapping, name: str, place: str) -> float:
    value = float(tenant.get(name) or 0.0)
    if not 0.0 <= value < math.inf:
        raise ValueError(f"{place}.{name} must be 0 or more")
    return value


def _flag(value: object) -> bool:
    if value is not None and not isinstance(value, bool):
        raise TypeError(f"{value!r} is neither true nor false")
    return bool(value)
