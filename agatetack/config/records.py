"""Encode and decode records of the configuration stream."""

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
"""The record format that this release writes, and the only one it reads."""

MAX_FIELD_BYTES = 64 * 2**20
MAX_LIST_LENGTH = 1_000_000
CHECKSUM_MASK = 2**63 - 1
"""Clears the highest bit of a checksum, as Thrift integers are signed."""

PROTOCOL = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FIELD_BYTES, container_length_limit=MAX_LIST_LENGTH
)


class BadRecord(Exception):
    """The bytes are not a valid record of the expected type."""


@dataclasses.dataclass(frozen=True, slots=True)
class WrittenChange:
    """The contents of a change record.

    Attributes:
        change: The requested change.
        base: The last offset that the writer had read when it wrote the record.
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
    """Extend the checksum of all earlier records by the record `payload`."""
    return checksum(chain.to_bytes(8, "big"), payload)


def encode(struct: object) -> bytes:
    """Serialize a Thrift struct."""
    return serialize(struct, PROTOCOL)


def decode(struct: Struct, payload: bytes) -> Struct:
    """Deserialize bytes into a Thrift struct and validate it.

    Raises:
        BadRecord: The bytes are not a valid struct of this type.
    """
    try:
        deserialize(struct, payload, PROTOCOL)
        struct.validate()
    # Thrift has no common base exception: depending on where the data is
    # malformed, it raises EOFError, TypeError, ValueError or its own errors.
    except Exception as error:
        raise BadRecord(f"not a {type(struct).__name__}: {error}") from error
    return struct


def encode_change(change: RouteChange, base: LogOffset) -> bytes:
    """Encode a change as a record.

    Args:
        change: The requested change.
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
    """Decode the change in a record.

    Args:
        payload: The encoded record.
        offset: The offset of the record, which becomes the route's version.

    Raises:
        BadRecord: The record is not a change in the supported format.
    """
    record = decode(wire.ChangeRecord(), payload)
    if record.format != RECORD_FORMAT:
        raise BadRecord(f"format {record.format} is not supported")
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
    """Return a checksum of a change that ignores its author and time."""
    asked = dataclasses.replace(change, author="", written_at=WallTime(0.0))
    if asked.route is not None:
        route = dataclasses.replace(asked.route, version=LogOffset(-1))
        asked = dataclasses.replace(asked, route=route)
    return checksum(encode_change(asked, LogOffset(-1)))


def route_to_wire(route: Route) -> common.Route:
    """Convert a route for the log, without its version.

    The version of a route is the offset of its record.
    """
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
    """Return the set fields of a route that older releases do not know.

    Unset ones are left out, so that every release encodes a record without
    them as the same bytes.
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
    """Convert a route from the log.

    Raises:
        BadRecord: Its request class is unknown.
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
    """Convert a wall time to whole milliseconds since 1970."""
    return int(wall * 1000)


def ms_to_wall(milliseconds: int) -> WallTime:
    """Convert milliseconds since 1970 to a wall time."""
    return WallTime(milliseconds / 1000)
