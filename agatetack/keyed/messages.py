"""Turn what a follower knows into messages between hosts, and back."""

from collections.abc import Sequence

from agatetack.generated.keyed import ttypes as wire
from agatetack.ids import LogOffset, StoreGeneration
from agatetack.keyed.follower import TopicFollower
from agatetack.keyed.generations import NOT_NAMED
from agatetack.keyed.held import join_held, split_held
from agatetack.keyed.topic import KeyedRecord, TopicPage, TopicPosition


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
    page, whole = follower.records_since(first)
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
    records = [each.record for each in follower.carried.records.values()]
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
