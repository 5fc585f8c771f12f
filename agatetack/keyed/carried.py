"""Keep records of earlier generations of the store that still hold."""

import dataclasses
import enum
import math
from collections.abc import Iterable, Mapping, Sequence

import trio

from agatetack.ids import Deadline
from agatetack.keyed.reader import TopicReader
from agatetack.keyed.topic import KeyedRecord


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
