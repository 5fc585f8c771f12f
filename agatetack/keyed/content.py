"""Keep what a host knows of a topic, and what holds of it after a loss."""

import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping, Sequence

import trio

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, LogOffset
from agatetack.keyed.reader import TopicReader
from agatetack.keyed.topic import KeyedRecord, TopicPage, TopicPosition

MOST_NAMED_KEYS = 20
"""Keys that one line of the log names; others are counted."""

log = DecisionLog("keyed")


class CarriedEnd(enum.Enum):
    """How a record that was carried over ended."""

    REPLACED = "replaced"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class CarriedRecord:
    """A record that the store has lost, or has an older one of.

    Attributes:
        record: The record; without a value, its key was removed.
        until: When it holds no more, whatever the store has.
    """

    record: KeyedRecord
    until: Deadline


class CarriedRecords:
    """The records of one topic that hold beside those that the store has.

    Attributes:
        records: The records, by key.
        changed: Set, and replaced, when records were added.
    """

    def __init__(self, reader: TopicReader):
        """Ask `reader` which records hold."""
        self.reader = reader
        self.records: dict[str, CarriedRecord] = {}
        self.changed = trio.Event()

    def choose(
        self,
        candidates: Iterable[KeyedRecord],
        stored: Mapping[str, KeyedRecord],
    ) -> None:
        """Carry those of `candidates` that hold, and no others.

        Args:
            candidates: Records of earlier generations.
            stored: What the store has now, by key.
        """
        chosen: dict[str, CarriedRecord] = {}
        for record in candidates:
            other = chosen.get(record.key)
            if other is not None and self._holds(other.record, record):
                continue
            before = self.records.get(record.key)
            if before is not None and before.record == record:
                # How long it holds counts from the first time.
                if self._holds(record, stored.get(record.key)):
                    chosen[record.key] = before
                continue
            until = self.reader.holds_until(record, stored.get(record.key))
            if until is not None:
                chosen[record.key] = CarriedRecord(record, until)
        self.records = chosen
        self.changed.set()
        self.changed = trio.Event()

    def _holds(self, record: KeyedRecord, found: KeyedRecord | None) -> bool:
        return self.reader.holds_until(record, found) is not None

    def laid_over(
        self, stored: Mapping[str, KeyedRecord]
    ) -> Sequence[KeyedRecord]:
        """Return what holds of all keys: the store's records or these."""
        records = {key: each.record for key, each in self.records.items()}
        merged = {**stored, **records}
        return [each for each in merged.values() if each.value is not None]

    def lost(self, stored: Mapping[str, KeyedRecord]) -> Sequence[KeyedRecord]:
        """Return the records of which the store has not even an older one."""
        return [
            each.record
            for key, each in self.records.items()
            if each.record.value is not None and key not in stored
        ]

    def outlasts(self, record: KeyedRecord) -> bool:
        """Return whether one holds against `record`, which was just written.

        One that does not is carried no more.
        """
        carried = self.records.get(record.key)
        if carried is None:
            return False
        if self._holds(carried.record, record):
            return True
        del self.records[record.key]
        return False

    def expire(self) -> Sequence[str]:
        """Give up the records that hold no more; return their keys."""
        now = trio.current_time()
        over = [key for key, each in self.records.items() if each.until <= now]
        for key in over:
            del self.records[key]
        return over

    async def until_due(self) -> None:
        """Wait until some record may hold no more."""
        times = (each.until for each in self.records.values())
        with trio.move_on_at(min(times, default=math.inf)):
            await self.changed.wait()


class TopicContent:
    """What one host knows of a topic, and what holds of it.

    Attributes:
        name: What the topic is called in logs.
        position: How far the topic is read, or None before the first read.
        known: The newest record of each key in the store, removals since
            `known_from` included.
        known_from: The offset from which on removals are known too.
        carried: Records of earlier generations that still hold.
        changes: How often what holds has changed.
    """

    def __init__(self, name: str, reader: TopicReader):
        """Start with nothing read; ask `reader` which records hold."""
        self.name = name
        self.position: TopicPosition | None = None
        self.known: dict[str, KeyedRecord] = {}
        self.known_from = LogOffset(0)
        self.carried = CarriedRecords(reader)
        self.changes = 0

    @property
    def next_offset(self) -> LogOffset | None:
        """Return the offset to read next, or None before the first read."""
        return None if self.position is None else self.position.offset

    def is_behind(self, position: TopicPosition) -> bool:
        """Return whether somebody who has read up to there knows more."""
        return self.position is None or self.position < position

    def records_since(
        self, first: TopicPosition | None
    ) -> tuple[TopicPage, bool]:
        """Return what followed `first`, or all keys, and whether it is all."""
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
        """Take records of the store; return those that hold.

        Args:
            page: The records.
            whole: Whether these are all keys, and not only what follows.
            carried: Records of earlier generations that hold for a peer.

        Returns:
            What holds of all keys, or of `page` if it is not whole.
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
        """Take all keys that the store has; return what holds of all."""
        before, known = self.position, self.known
        self.known = {record.key: record for record in page.records}
        self.known_from = page.end
        candidates = {key: c.record for key, c in self.carried.records.items()}
        lost = before is not None and before.generation < page.generation
        if lost:
            candidates = {**known, **candidates}
        else:
            # That a key was removed may matter once the store has lost it.
            removed_at = LogOffset(max(0, page.end - 1))
            for key in known.keys() - self.known.keys():
                self.known[key] = KeyedRecord(key, None, removed_at)
        self.carried.choose([*candidates.values(), *carried], self.known)
        if lost:
            self._note_lost(page, before, known)
        return self.holding()

    def _merge_new(self, page: TopicPage) -> Sequence[KeyedRecord]:
        """Take records that follow; return those that hold."""
        # A peer may have brought some of them already.
        records = [r for r in page.records if r.offset >= self.position.offset]
        self.known.update((record.key, record) for record in records)
        return [r for r in records if not self.carried.outlasts(r)]

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
            carried=sorted(kept)[:MOST_NAMED_KEYS],
            carried_count=len(kept),
            dropped_count=sum(
                record.value is not None
                and key not in self.known
                and key not in kept
                for key, record in known.items()
            ),
        )

    def carry(self, carried: Sequence[KeyedRecord]) -> Sequence[KeyedRecord]:
        """Carry what holds for a peer, too; return what holds of all keys."""
        candidates = [each.record for each in self.carried.records.values()]
        self.carried.choose([*candidates, *carried], self.known)
        self.changes += 1
        return self.holding()

    def holding(self) -> Sequence[KeyedRecord]:
        """Return what holds of all keys."""
        return self.carried.laid_over(self.known)

    def expire(self) -> Sequence[KeyedRecord]:
        """Give up carried records that hold no more; return what holds instead.

        That is what the store has of their keys, or their removal.
        """
        keys = self.carried.expire()
        if keys:
            self.changes += 1
        gone = [KeyedRecord(key, None, self.next_offset) for key in keys]
        return [self.known.get(each.key, each) for each in gone]
