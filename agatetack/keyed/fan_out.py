"""Hand the records of one topic to several readers."""

from collections.abc import Sequence

from agatetack.ids import Deadline
from agatetack.keyed.reader import TopicReader
from agatetack.keyed.topic import KeyedRecord


class FanOutReader(TopicReader):
    """Hands all it takes to each of several readers, which pick their keys."""

    def __init__(self, *readers: TopicReader):
        """Hand records to `readers`, in this order."""
        self.readers = readers

    def take_all(self, records: Sequence[KeyedRecord]) -> None:
        """Take the newest record of every key; other keys are gone."""
        for reader in self.readers:
            reader.take_all(records)

    def take_new(self, records: Sequence[KeyedRecord]) -> None:
        """Take records that follow those taken before."""
        for reader in self.readers:
            reader.take_new(records)

    def take_sound(self, records: Sequence[KeyedRecord], whole: bool) -> None:
        """Take what a host read for which the store was there all the while."""
        for reader in self.readers:
            reader.take_sound(records, whole)

    def holds_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return until when the first reader holds to `known`, if any does."""
        times = (each.holds_until(known, found) for each in self.readers)
        return next((time for time in times if time is not None), None)

    def take_lost(self, lost: Sequence[KeyedRecord], place: int | None) -> None:
        """Note which records hold that the store has lost."""
        for reader in self.readers:
            reader.take_lost(lost, place)

    def lost_touch(self) -> None:
        """Note that the store can't be read any more."""
        for reader in self.readers:
            reader.lost_touch()

    def in_touch(self) -> None:
        """Note that the store can be read again."""
        for reader in self.readers:
            reader.in_touch()
