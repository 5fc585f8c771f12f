"""Convert a follower's records to messages between hosts and back.

After the store lost records or its history, it still has most of the records
that hosts know. To avoid sending those again, the requesting host sends hashes
of the records that it has. The reply says which of these the store still has,
and contains only the other records.
"""

import math
import types
from collections.abc import Mapping, Sequence

import trio
import xxhash

from agatetack.generated.keyed import ttypes as wire
from agatetack.ids import Deadline, LogOffset, StoreGeneration
from agatetack.keyed.content import MIN_FORMER_BYTES, TopicContent
from agatetack.keyed.follower import TopicFollower
from agatetack.keyed.generations import UNKNOWN_GENERATION
from agatetack.keyed.topic import KeyedRecord, TopicPage, TopicPosition
from agatetack.late import LateModule

# Loaded for the first large value.
packing = LateModule("agatetack.keyed.packing")

MAX_PACKED_VALUE_BYTES = 8 << 20
"""Largest value that is packed."""

HASH_BYTES = 8

MAX_AGE_SECONDS = 3600
"""Age that is told of times that are longer ago, or not known."""


class MalformedRecords(ValueError):
    """The records in a message of another host can't be read."""


class MalformedHashes(MalformedRecords):
    """A list of record hashes, or the reply to one, is malformed."""


def age_ms(at: Deadline | None) -> int:
    """Return how long ago a time is, in ms, up to `MAX_AGE_SECONDS`."""
    age_seconds = math.inf if at is None else trio.current_time() - at
    return math.ceil(min(age_seconds, MAX_AGE_SECONDS) * 1000)


def time_before(latest: Deadline, age_ms: int) -> Deadline:
    """Return the time of which another host tells the age.

    Args:
        latest: When this age may have been measured, at the earliest. What
            another host knows can't be newer than its message.
        age_ms: The age in ms.
    """
    return Deadline(latest - max(0, age_ms) / 1000)


def records_since(
    follower: TopicFollower,
    first: TopicPosition | None,
    held: bytes | None = None,
    bases: Mapping[str, bytes] | None = None,
) -> wire.Records:
    """Return a follower's records from `first` on, or those of all keys.

    Args:
        follower: The follower of the topic.
        first: The receiver's read position, or None to get all keys.
        held: Hashes of the records that the receiver has, or None.
        bases: Hashes of the large values that the receiver has, by key; None
            if it can't unpack records.

    Raises:
        MalformedHashes: `held` is not a list of hashes.
    """
    page, whole = follower.content.records_since(first)
    records, bits = page.records, None
    if whole and held is not None:
        bits, records = match_hashes(records, held)
    large = [] if bases is None else [r for r in records if _is_large(r)]
    found = [
        wire.Record(record.key, record.value, record.offset)
        for record in records
        if bases is None or not _is_large(record)
    ]
    if whole:
        found += _carried(follower)
    message = wire.Records(
        page.end, whole, found, follower.sound, page.generation, bits
    )
    if large:
        former = follower.content.former
        message.packed = [
            _pack(each, former.get(each.key, ()), bases.get(each.key))
            for each in large
        ]
    return message


def _is_large(record: KeyedRecord) -> bool:
    size = len(record.value or b"")
    return MIN_FORMER_BYTES <= size <= MAX_PACKED_VALUE_BYTES


def _pack(
    record: KeyedRecord, former: Sequence[bytes], held: bytes | None
) -> wire.PackedRecord:
    """Return a record packed with the former value that a receiver holds."""
    bases = [value for value in former if packing.hash_value(value) == held]
    base = bases[-1] if bases else None
    content = packing.pack(record.value, base)
    return wire.PackedRecord(
        record.key, content, record.offset, None if base is None else held
    )


def hashes_of_large(
    content: TopicContent, former: bool = False
) -> Mapping[str, bytes]:
    """Return the hashes of a topic's large values, by key.

    Args:
        content: The topic.
        former: Whether to take the values that were replaced last instead of
            those that are known now.
    """
    if former:
        values = {key: kept[-1] for key, kept in content.former.items()}
    else:
        values = {
            record.key: record.value
            for record in content.known.values()
            if _is_large(record)
        }
    return {key: packing.hash_value(value) for key, value in values.items()}


def _carried(follower: TopicFollower) -> Sequence[wire.Record]:
    records = [
        each.record for each in follower.content.carried.records.values()
    ]
    return [wire.Record(r.key, r.value, r.offset, True) for r in records]


def page_of(
    records: wire.Records,
    held: Sequence[KeyedRecord] = (),
    known: Mapping[str, KeyedRecord] = types.MappingProxyType({}),
) -> TopicPage:
    """Return the page that a message from another host contains.

    Args:
        records: The message.
        held: The records whose hashes were in the request, if any.
        known: The records that this host has, by key; packed ones may be
            changes to them.

    Raises:
        MalformedHashes: The message does not match `held`.
        MalformedRecords: A packed record can't be unpacked.
    """
    end = LogOffset(records.end)
    generation = records.generation
    found = [_record(each) for each in records.records if not each.carried]
    found += [_unpack(each, known) for each in records.packed or ()]
    if held and records.held is not None:
        found += select_held(held, records.held, end)
    return TopicPage(
        found,
        end,
        UNKNOWN_GENERATION
        if generation is None
        else StoreGeneration(generation),
    )


def carried_of(records: wire.Records) -> Sequence[KeyedRecord]:
    """Return the carried-over records of earlier generations in a message."""
    return [_record(each) for each in records.records if each.carried]


def _unpack(
    record: wire.PackedRecord, known: Mapping[str, KeyedRecord]
) -> KeyedRecord:
    base = None
    if record.base is not None:
        held = known.get(record.key)
        base = None if held is None else held.value
        if base is None or packing.hash_value(base) != record.base:
            raise MalformedRecords("packed with a value that is not known")
    try:
        value = packing.unpack(record.content, base)
    except packing.MalformedPacking as error:
        raise MalformedRecords(str(error)) from error
    return KeyedRecord(record.key, value, LogOffset(record.offset))


def _record(record: wire.Record) -> KeyedRecord:
    return KeyedRecord(record.key, record.value, LogOffset(record.offset))


def hash_records(records: Sequence[KeyedRecord]) -> bytes:
    """Return the concatenated hashes of `records`, which all have a value."""
    return b"".join(map(_hash, records))


def match_hashes(
    records: Sequence[KeyedRecord], hashes: bytes
) -> tuple[bytes, Sequence[KeyedRecord]]:
    """Return which hashes match one of `records`, and the unmatched records.

    Args:
        records: Records with a value.
        hashes: Hashes of the records that another host has.

    Returns:
        One bit per hash, the first in the lowest bit of the first byte; and
        the records whose hashes are not in the list.

    Raises:
        MalformedHashes: The length is not a multiple of the hash size.
    """
    if len(hashes) % HASH_BYTES:
        raise MalformedHashes(f"{len(hashes)} bytes, not whole hashes")
    by_hash = {_hash(record): record for record in records}
    count = len(hashes) // HASH_BYTES
    bits = 0
    for number in range(count):
        start = number * HASH_BYTES
        if by_hash.pop(hashes[start : start + HASH_BYTES], None) is not None:
            bits |= 1 << number
    return bits.to_bytes(_bit_bytes(count), "little"), [*by_hash.values()]


def select_held(
    held: Sequence[KeyedRecord], bits: bytes, end: LogOffset
) -> Sequence[KeyedRecord]:
    """Return those of `held` that the store still has.

    Args:
        held: The records whose hashes were sent, in that order.
        bits: The bit set from the reply.
        end: The end of the topic; record offsets are limited to below it.

    Raises:
        MalformedHashes: `bits` does not match the number of records.
    """
    if len(bits) != _bit_bytes(len(held)):
        raise MalformedHashes(f"{len(bits)} bytes for {len(held)} records")
    number = int.from_bytes(bits, "little")
    if number >> len(held):
        raise MalformedHashes("a bit is set beyond the last hash sent")
    last = LogOffset(max(0, end - 1))
    return [
        KeyedRecord(record.key, record.value, min(record.offset, last))
        for place, record in enumerate(held)
        if number >> place & 1
    ]


def _bit_bytes(count: int) -> int:
    """Return how many bytes are needed for `count` bits."""
    return (count + 7) // 8


def _hash(record: KeyedRecord) -> bytes:
    content = record.key.encode() + b"\0" + (record.value or b"")
    return xxhash.xxh64_digest(content)
