"""Turn what a follower knows into messages between hosts, and back.

A store that lost records still has most of what hosts know, and so has one that
forgot its history. The host that asks names what it holds by hashes; the one
that answers tells which of these the store has, and sends what is left.
"""

from collections.abc import Sequence

import xxhash

from agatetack.generated.keyed import ttypes as wire
from agatetack.ids import LogOffset, StoreGeneration
from agatetack.keyed.follower import TopicFollower
from agatetack.keyed.generations import NOT_NAMED
from agatetack.keyed.topic import KeyedRecord, TopicPage, TopicPosition

HASH_BYTES = 8


class MalformedHolding(ValueError):
    """A list of hashes, or the answer to one, can't be read."""


def records_since(
    follower: TopicFollower,
    first: TopicPosition | None,
    held: bytes | None = None,
) -> wire.Records:
    """Return what a follower knows from `first` on, or all keys.

    Args:
        follower: What follows the topic.
        first: How far the receiver has read, or None.
        held: Hashes of the records that the receiver holds, or None.

    Raises:
        MalformedHolding: `held` is no list of hashes.
    """
    page, whole = follower.content.records_since(first)
    records, bits = page.records, None
    if whole and held is not None:
        bits, records = split_held(records, held)
    found = [
        wire.Record(record.key, record.value, record.offset)
        for record in records
    ]
    if whole:
        found += _carried(follower)
    return wire.Records(
        page.end, whole, found, follower.sound, page.generation, bits
    )


def _carried(follower: TopicFollower) -> Sequence[wire.Record]:
    records = [
        each.record for each in follower.content.carried.records.values()
    ]
    return [wire.Record(r.key, r.value, r.offset, True) for r in records]


def page_of(
    records: wire.Records, held: Sequence[KeyedRecord] = ()
) -> TopicPage:
    """Return the page that a message between hosts carries.

    Args:
        records: The message.
        held: The records of which hashes were sent, if any.

    Raises:
        MalformedHolding: The message is not of `held`.
    """
    end = LogOffset(records.end)
    generation = records.generation
    found = [_record(each) for each in records.records if not each.carried]
    if held and records.held is not None:
        found += join_held(held, records.held, end)
    return TopicPage(
        found,
        end,
        NOT_NAMED if generation is None else StoreGeneration(generation),
    )


def carried_of(records: wire.Records) -> Sequence[KeyedRecord]:
    """Return the records of earlier generations that a message carries."""
    return [_record(each) for each in records.records if each.carried]


def _record(record: wire.Record) -> KeyedRecord:
    return KeyedRecord(record.key, record.value, LogOffset(record.offset))


def hash_records(records: Sequence[KeyedRecord]) -> bytes:
    """Return the hashes of `records`, which all have a value."""
    return b"".join(map(_hash, records))


def split_held(
    records: Sequence[KeyedRecord], hashes: bytes
) -> tuple[bytes, Sequence[KeyedRecord]]:
    """Return which hashes are of one of `records`, and the other records.

    Args:
        records: Records with a value.
        hashes: What another host holds.

    Returns:
        One bit for each hash, the first one the lowest of the first byte; and
        the records of which no hash was named.

    Raises:
        MalformedHolding: `hashes` has half a hash.
    """
    if len(hashes) % HASH_BYTES:
        raise MalformedHolding(f"{len(hashes)} bytes of hashes")
    by_hash = {_hash(record): record for record in records}
    count = len(hashes) // HASH_BYTES
    bits = 0
    for number in range(count):
        start = number * HASH_BYTES
        if by_hash.pop(hashes[start : start + HASH_BYTES], None) is not None:
            bits |= 1 << number
    return bits.to_bytes(_bit_bytes(count), "little"), [*by_hash.values()]


def join_held(
    held: Sequence[KeyedRecord], bits: bytes, end: LogOffset
) -> Sequence[KeyedRecord]:
    """Return those of `held` that the answering host found in the store.

    Args:
        held: The records of which the hashes were sent, in their order.
        bits: The answer.
        end: The end of the topic; the records stand before it.

    Raises:
        MalformedHolding: `bits` is not of these records.
    """
    if len(bits) != _bit_bytes(len(held)):
        raise MalformedHolding(f"{len(bits)} bytes for {len(held)} records")
    number = int.from_bytes(bits, "little")
    if number >> len(held):
        raise MalformedHolding("a record that was not named")
    last = LogOffset(max(0, end - 1))
    return [
        KeyedRecord(record.key, record.value, min(record.offset, last))
        for place, record in enumerate(held)
        if number >> place & 1
    ]


def _bit_bytes(count: int) -> int:
    """Return how many bytes hold `count` bits."""
    return (count + 7) // 8


def _hash(record: KeyedRecord) -> bytes:
    content = record.key.encode() + b"\0" + (record.value or b"")
    return xxhash.xxh64_digest(content)
