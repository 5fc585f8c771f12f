"""Keep a host's copy of a topic and the records that outlive a store loss."""

import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping, Sequence

import trio

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, LogOffset
from agatetack.keyed.reader import TopicReader
from agatetack.keyed.topic import KeyedRecord, TopicPage, TopicPosition

MAX_LOGGED_KEYS = 20
"""Maximum keys listed in one log entry; the others are only counted."""

MIN_FORMER_BYTES = 4096
"""Size from which on a value that has been replaced is kept for a while."""

FORMER_VALUES = 3
"""How many of them are kept for each key."""

log = DecisionLog("keyed")


class CarriedEnd(enum.Enum):
    """Why a record is no longer carried over."""

    REPLACED = "replaced"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class CarriedRecord:
    """A valid record that the store lost or has only an older version of.

    Attributes:
        record: The record; without a value, its key was removed.
        until: When it stops being valid, whatever the store has.
    """

    record: KeyedRecord
    until: Deadline


class CarriedRecords:
    """The valid records of one topic that the store does not have.

    Attributes:
        records: The records, by key.
        changed: Set and replaced after each new selection of records.
    """

    def __init__(self, reader: TopicReader):
        """Let `reader` decide which records are valid."""
        self.reader = reader
        self.records: dict[str, CarriedRecord] = {}
        self.changed = trio.Event()

    def choose(
        self,
        candidates: Iterable[KeyedRecord],
        stored: Mapping[str, KeyedRecord],
    ) -> None:
        """Carry over exactly those of `candidates` that are still valid.

        Args:
            candidates: Records of earlier generations.
            stored: The store's current records, by key.
        """
        chosen: dict[str, CarriedRecord] = {}
        for record in candidates:
            other = chosen.get(record.key)
            if other is not None and self._is_valid(other.record, record):
                continue
            before = self.records.get(record.key)
            if before is not None and before.record == record:
                # The validity period counts from when it was first carried.
                if self._is_valid(record, stored.get(record.key)):
                    chosen[record.key] = before
                continue
            until = self.reader.valid_until(record, stored.get(record.key))
            if until is not None:
                chosen[record.key] = CarriedRecord(record, until)
        self.records = chosen
        self.changed.set()
        self.changed = trio.Event()

    def _is_valid(self, record: KeyedRecord, found: KeyedRecord | None) -> bool:
        return self.reader.valid_until(record, found) is not None

    def overlaid_on(
        self, stored: Mapping[str, KeyedRecord]
    ) -> Sequence[KeyedRecord]:
        """Return the valid records of all keys: the store's and these."""
        records = {key: each.record for key, each in self.records.items()}
        merged = {**stored, **records}
        return [each for each in merged.values() if each.value is not None]

    def lost(self, stored: Mapping[str, KeyedRecord]) -> Sequence[KeyedRecord]:
        """Return the records whose keys are missing from the store."""
        return [
            each.record
            for key, each in self.records.items()
            if each.record.value is not None and key not in stored
        ]

    def prevails_over(self, record: KeyedRecord) -> bool:
        """Return whether the carried record prevails over the new `record`.

        If it does not, it is dropped.
        """
        carried = self.records.get(record.key)
        if carried is None:
            return False
        if self._is_valid(carried.record, record):
            return True
        del self.records[record.key]
        return False

    def expire(self) -> Sequence[str]:
        """Drop the records that are no longer valid; return their keys."""
        now = trio.current_time()
        over = [key for key, each in self.records.items() if each.until <= now]
        for key in over:
            del self.records[key]
        return over

    async def until_due(self) -> None:
        """Wait until a record may have expired."""
        times = (each.until for each in self.records.values())
        with trio.move_on_at(min(times, default=math.inf)):
            await self.changed.wait()


class TopicContent:
    """One host's copy of a topic, with the records that it carries over.

    Attributes:
        name: The topic's name in logs.
        position: The read position, or None before the first read.
        known: The newest record of each key in the store, including removals
            since `known_from`.
        known_from: The offset from which on removals are known too.
        carried: Records of earlier generations that are still valid.
        changes: Number of changes to the valid records.
        former: Large values that were replaced, by key, the last one last. What
            replaced them can be sent as a change to hosts that still hold them.
    """

    def __init__(self, name: str, reader: TopicReader):
        """Start empty; let `reader` decide which records are valid."""
        self.name = name
        self.position: TopicPosition | None = None
        self.known: dict[str, KeyedRecord] = {}
        self.known_from = LogOffset(0)
        self.carried = CarriedRecords(reader)
        self.changes = 0
        self.former: dict[str, Sequence[bytes]] = {}

    @property
    def next_offset(self) -> LogOffset | None:
        """Return the next offset to read, or None before the first read."""
        return None if self.position is None else self.position.offset

    def is_behind(self, position: TopicPosition) -> bool:
        """Return whether this copy lacks records up to `position`."""
        return self.position is None or self.position < position

    def records_since(
        self, first: TopicPosition | None
    ) -> tuple[TopicPage, bool]:
        """Return the records from `first` on, or all, and whether it is all."""
        whole = (
            first is None
            or first.generation != self.position.generation
            or first.offset < max(self.known_from, 1)
        )
        records = [
            record
            for record in self.known.values()
            if record.value is not None or not whole
            if whole or record.offset >= first.offset
        ]
        position = self.position
        return TopicPage(records, position.offset, position.generation), whole

    def merge(
        self,
        page: TopicPage,
        whole: bool,
        carried: Sequence[KeyedRecord] = (),
    ) -> Sequence[KeyedRecord]:
        """Merge records of the store; return those that are valid.

        Args:
            page: The records.
            whole: Whether these are all keys and not only later records.
            carried: Records of earlier generations that a peer carries over.

        Returns:
            The valid records of all keys, or of `page` if it is not whole.
        """
        self.changes += 1
        if whole:
            records = self._merge_all(page, carried)
        else:
            records = self._merge_new(page)
        if self.is_behind(page.position):
            self.position = page.position
        return records

    def _merge_all(
        self, page: TopicPage, carried: Sequence[KeyedRecord]
    ) -> Sequence[KeyedRecord]:
        """Replace all keys by those in the store; return all valid records."""
        before, known = self.position, self.known
        self._keep_former(page.records)
        self.known = {record.key: record for record in page.records}
        self.known_from = page.end
        candidates = {key: c.record for key, c in self.carried.records.items()}
        lost = before is not None and before.generation < page.generation
        if lost:
            candidates = {**known, **candidates}
        else:
            # Keep removals: the store may later lose a removal, too.
            removed_at = LogOffset(max(0, page.end - 1))
            for key in known.keys() - self.known.keys():
                self.known[key] = KeyedRecord(key, None, removed_at)
        self.carried.choose([*candidates.values(), *carried], self.known)
        if lost:
            self._note_lost(page, before, known)
        return self.valid_records()

    def _merge_new(self, page: TopicPage) -> Sequence[KeyedRecord]:
        """Add records that follow; return those that are valid."""
        # Some of them may have come from a peer already.
        records = [r for r in page.records if r.offset >= self.position.offset]
        self._keep_former(records)
        self.known.update((record.key, record) for record in records)
        return [r for r in records if not self.carried.prevails_over(r)]

    def _keep_former(self, records: Sequence[KeyedRecord]) -> None:
        """Keep the large values that `records` replace."""
        for key in {record.key for record in records}:
            known = self.known.get(key)
            value = None if known is None else known.value
            if value is not None and len(value) >= MIN_FORMER_BYTES:
                kept = [*self.former.get(key, ()), value]
                self.former[key] = kept[-FORMER_VALUES:]

    def _note_lost(
        self,
        page: TopicPage,
        before: TopicPosition,
        known: Mapping[str, KeyedRecord],
    ) -> None:
        kept = self.carried.records
        log.note(
            "topic-restored",
            topic=self.name,
            generation=page.generation,
            end=page.end,
            records=len(page.records),
            before_generation=before.generation,
            before=before.offset,
            carried=sorted(kept)[:MAX_LOGGED_KEYS],
            carried_count=len(kept),
            dropped_count=sum(
                record.value is not None
                and key not in self.known
                and key not in kept
                for key, record in known.items()
            ),
        )

    def carry(self, carried: Sequence[KeyedRecord]) -> Sequence[KeyedRecord]:
        """Add records that a peer carries over; return all valid records."""
        candidates = [each.record for each in self.carried.records.values()]
        self.carried.choose([*candidates, *carried], self.known)
        self.changes += 1
        return self.valid_records()

    def valid_records(self) -> Sequence[KeyedRecord]:
        """Return the valid records of all keys."""
        return self.carried.overlaid_on(self.known)

    def expire(self) -> Sequence[KeyedRecord]:
        """Drop expired carried records; return the records that replace them.

        These are the store's records for their keys, or removals.
        """
        keys = self.carried.expire()
        if keys:
            self.changes += 1
        removals = [KeyedRecord(key, None, self.next_offset) for key in keys]
        return [self.known.get(each.key, each) for each in removals]
