"""Define the consumers of a topic's records and how they treat lost records."""

import abc
from collections.abc import Sequence

from agatetack.ids import Deadline
from agatetack.keyed.topic import KeyedRecord


class TopicReader(abc.ABC):
    """A consumer of the records of a topic."""

    @abc.abstractmethod
    def take_all(self, records: Sequence[KeyedRecord]) -> None:
        """Process the newest record of every key; other keys are removed."""

    @abc.abstractmethod
    def take_new(self, records: Sequence[KeyedRecord]) -> None:
        """Process records that follow those processed before."""

    def take_sound(self, records: Sequence[KeyedRecord], whole: bool) -> None:
        """Process records from a host that could reach the store all along.

        Args:
            records: The records.
            whole: Whether these are all keys and not only later records.
        """
        if whole:
            self.take_all(records)
        else:
            self.take_new(records)

    def holds_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return until when a record of an earlier generation stays valid.

        A store that lost records lacks records that it had acknowledged, or
        has older ones for their keys, until they are written again.

        Args:
            known: The record that was read in an earlier generation.
            found: The store's current record for that key, or None.

        Returns:
            The time, infinite if the record stays valid until a later one is
            written; None if the store's record applies instead.
        """
        return None

    def take_lost(  # noqa: B027
        self, lost: Sequence[KeyedRecord], place: int | None
    ) -> None:
        """Receive the valid records that the store lost, after `take_all`.

        Args:
            lost: The records.
            place: This host's rank among the hosts that read the topic for
                the fleet; None if it is not one of them.
        """

    def lost_touch(self) -> None:  # noqa: B027
        """Note that the store can't be read any more."""

    def in_touch(self) -> None:  # noqa: B027
        """Note that the store is reachable and its records were processed."""


class FanOutReader(TopicReader):
    """Passes all records to several readers, which select their keys."""

    def __init__(self, *readers: TopicReader):
        """Pass records to `readers`, in this order."""
        self.readers = readers

    def take_all(self, records: Sequence[KeyedRecord]) -> None:
        """Process the newest record of every key; other keys are removed."""
        for reader in self.readers:
            reader.take_all(records)

    def take_new(self, records: Sequence[KeyedRecord]) -> None:
        """Process records that follow those processed before."""
        for reader in self.readers:
            reader.take_new(records)

    def take_sound(self, records: Sequence[KeyedRecord], whole: bool) -> None:
        """Process records from a host that could reach the store all along."""
        for reader in self.readers:
            reader.take_sound(records, whole)

    def holds_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return the time given by the first reader that gives one, or None."""
        times = (each.holds_until(known, found) for each in self.readers)
        return next((time for time in times if time is not None), None)

    def take_lost(self, lost: Sequence[KeyedRecord], place: int | None) -> None:
        """Pass on the valid records that the store lost."""
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
