"""Encode changes as records of the configuration stream, and back."""

import dataclasses
from collections.abc import Sequence
from typing import TypeVar

import xxhash
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from agatetack.config.change import RouteChange
from agatetack.config.route import RequestClass, Route, SplitPart
from agatetack.generated.common import ttypes as common
from agatetack.generated.config import ttypes as wire
from agatetack.ids import (
    ChangeId,
    LogOffset,
    Region,
    RouteId,
    ServiceId,
    StreamId,
    TeamId,
    WallTime,
)

Struct = TypeVar("Struct")

CONFIG_STREAM = StreamId("config")
SNAPSHOT_STREAM = StreamId("config-snapshots")

RECORD_FORMAT = 1
"""The format that this release writes; it reads no other."""

MAX_FIELD_BYTES = 64 * 2**20
MAX_LIST_LENGTH = 1_000_000
CHECKSUM_MASK = 2**63 - 1
"""Checksums lose their highest bit, as thrift's integers have a sign."""

PROTOCOL = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FIELD_BYTES, container_length_limit=MAX_LIST_LENGTH
)


class BadRecord(Exception):
    """Bytes are not what their place calls for."""


@dataclasses.dataclass(frozen=True, slots=True)
class WrittenChange:
    """A change as a record holds it.

    Attributes:
        change: What the operator wants.
        base: The last offset that its writer had read when it wrote this.
    """

    change: RouteChange
    base: LogOffset


def checksum(*parts: bytes) -> int:
    """Return a 63-bit checksum of `parts` in order."""
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(part)
    return digest.intdigest() & CHECKSUM_MASK


def extend_chain(chain: int, payload: bytes) -> int:
    """Return the checksum of all records, with `payload` added as the last."""
    return checksum(chain.to_bytes(8, "big"), payload)


def encode(struct: object) -> bytes:
    """Return a thrift struct as bytes."""
    return serialize(struct, PROTOCOL)


def decode(struct: Struct, payload: bytes) -> Struct:
    """Fill a thrift struct from bytes.

    Raises:
        BadRecord: The bytes do not hold such a struct.
    """
    try:
        deserialize(struct, payload, PROTOCOL)
        struct.validate()
    # Thrift has no common error: by the place of the fault it may raise any
    # of EOFError, TypeError, ValueError and its own.
    except Exception as error:
        raise BadRecord(f"not a {type(struct).__name__}: {error}") from error
    return struct


def encode_change(change: RouteChange, base: LogOffset) -> bytes:
    """Return the record of a change.

    Args:
        change: What the operator wants.
        base: The last offset that this host has read.
    """
    return encode(
        wire.ChangeRecord(
            format=RECORD_FORMAT,
            change_id=change.change_id,
            route_id=change.route_id,
            route=route_to_wire(change.route) if change.route else None,
            expected_version=change.expected_version,
            base=base,
            author=change.author,
            written_at_ms=wall_to_ms(change.written_at),
        )
    )


def decode_change(payload: bytes, offset: LogOffset) -> WrittenChange:
    """Return the change in a record.

    Args:
        payload: The record.
        offset: Where it stands; the version of the route in it.

    Raises:
        BadRecord: The record holds no change of this format.
    """
    record = decode(wire.ChangeRecord(), payload)
    if record.format != RECORD_FORMAT:
        raise BadRecord(f"format {record.format} is not known")
    route = route_from_wire(record.route, offset) if record.route else None
    change = RouteChange(
        change_id=ChangeId(record.change_id),
        route_id=RouteId(record.route_id),
        route=route,
        expected_version=LogOffset(record.expected_version),
        author=record.author,
        written_at=ms_to_wall(record.written_at_ms),
    )
    return WrittenChange(change, LogOffset(record.base))


def change_digest(change: RouteChange) -> int:
    """Return a checksum of what `change` asks for, without who and when."""
    asked = dataclasses.replace(change, author="", written_at=WallTime(0.0))
    if asked.route is not None:
        route = dataclasses.replace(asked.route, version=LogOffset(-1))
        asked = dataclasses.replace(asked, route=route)
    return checksum(encode_change(asked, LogOffset(-1)))


def route_to_wire(route: Route) -> common.Route:
    """Return a route for the log; its version is its record's offset."""
    return common.Route(
        id=route.id,
        team=route.team,
        service_name=route.service,
        request_class=common.RequestClass._NAMES_TO_VALUES[
            route.request_class.name
        ],
        path_prefix=route.path_prefix,
        host=route.host,
        deadline_seconds=float(route.deadline_seconds),
        max_body_bytes=route.max_body_bytes,
        requests_per_second=float(route.requests_per_second),
        max_queue=route.max_queue,
        **_added_fields(route),
    )


def _added_fields(route: Route) -> dict[str, object]:
    """Return the fields that older releases do not know, where they are set.

    A record without them is the same, byte for byte, in every release.
    """
    split = [
        common.SplitPart(part.service, float(part.weight))
        for part in route.split
    ]
    fields = {
        "timeout_seconds": float(route.timeout_seconds),
        "max_attempts": route.max_attempts,
        "target_latency_seconds": float(route.target_latency_seconds),
        "priority": route.priority,
        "split": split,
        "regions": list(route.regions),
    }
    return {name: value for name, value in fields.items() if value}


def route_from_wire(record: common.Route, version: LogOffset) -> Route:
    """Return the route in a record.

    Raises:
        BadRecord: Its class is not known.
    """
    name = common.RequestClass._VALUES_TO_NAMES.get(record.request_class)
    if name is None:
        raise BadRecord(f"request class {record.request_class} is not known")
    optional = {
        "host": record.host,
        "deadline_seconds": record.deadline_seconds,
        "max_body_bytes": record.max_body_bytes,
        "requests_per_second": record.requests_per_second,
        "max_queue": record.max_queue,
        "timeout_seconds": record.timeout_seconds,
        "max_attempts": record.max_attempts,
        "target_latency_seconds": record.target_latency_seconds,
        "priority": record.priority,
        "split": _split_from_wire(record.split),
        "regions": _regions_from_wire(record.regions),
    }
    return Route(
        id=RouteId(record.id),
        team=TeamId(record.team),
        service=ServiceId(record.service_name),
        request_class=RequestClass[name],
        path_prefix=record.path_prefix,
        version=version,
        **{key: value for key, value in optional.items() if value is not None},
    )


def _split_from_wire(
    parts: Sequence[common.SplitPart] | None,
) -> tuple[SplitPart, ...] | None:
    if parts is None:
        return None
    return tuple(
        SplitPart(ServiceId(part.service_name), part.weight) for part in parts
    )


def _regions_from_wire(
    names: Sequence[str] | None,
) -> tuple[Region, ...] | None:
    return None if names is None else tuple(map(Region, names))


def wall_to_ms(wall: WallTime) -> int:
    """Return whole milliseconds since 1970."""
    return int(wall * 1000)


def ms_to_wall(milliseconds: int) -> WallTime:
    """Return seconds since 1970."""
    return WallTime(milliseconds / 1000)
