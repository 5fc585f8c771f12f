"""Define the consumers of a topic's records and how they treat lost records."""

import abc
from collections.abc import Sequence

from agatetack.ids import Deadline
from agatetack.keyed.topic import KeyedRecord


class TopicReader(abc.ABC):
    """A consumer of the records of a topic."""

    @abc.abstractmethod
    def apply_all(self, records: Sequence[KeyedRecord]) -> None:
        """Process the newest record of every key; other keys are removed."""

    @abc.abstractmethod
    def apply_new(self, records: Sequence[KeyedRecord]) -> None:
        """Process records that follow those processed before."""

    def apply_confirmed(
        self, records: Sequence[KeyedRecord], whole: bool
    ) -> None:
        """Process records from a host that could reach the store all along.

        Args:
            records: The records.
            whole: Whether these are all keys and not only later records.
        """
        if whole:
            self.apply_all(records)
        else:
            self.apply_new(records)

    def valid_until(
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

    def note_lost(  # noqa: B027
        self, lost: Sequence[KeyedRecord], place: int | None
    ) -> None:
        """Receive the valid records that the store lost, after `apply_all`.

        Args:
            lost: The records.
            place: This host's rank among the hosts that read the topic for
                the fleet; None if it is not one of them.
        """

    def note_unreachable(self) -> None:  # noqa: B027
        """Note that the store can't be read any more."""

    def note_reachable(self) -> None:  # noqa: B027
        """Note that the store is reachable and its records were processed."""


class FanOutReader(TopicReader):
    """Passes all records to several readers, which select their keys."""

    def __init__(self, *readers: TopicReader):
        """Pass records to `readers`, in this order."""
        self.readers = readers

    def apply_all(self, records: Sequence[KeyedRecord]) -> None:
        """Process the newest record of every key; other keys are removed."""
        for reader in self.readers:
            reader.apply_all(records)

    def apply_new(self, records: Sequence[KeyedRecord]) -> None:
        """Process records that follow those processed before."""
        for reader in self.readers:
            reader.apply_new(records)

    def apply_confirmed(
        self, records: Sequence[KeyedRecord], whole: bool
    ) -> None:
        """Process records from a host that could reach the store all along."""
        for reader in self.readers:
            reader.apply_confirmed(records, whole)

    def valid_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return the time given by the first reader that gives one, or None."""
        times = (each.valid_until(known, found) for each in self.readers)
        return next((time for time in times if time is not None), None)

    def note_lost(self, lost: Sequence[KeyedRecord], place: int | None) -> None:
        """Pass on the valid records that the store lost."""
        for reader in self.readers:
            reader.note_lost(lost, place)

    def note_unreachable(self) -> None:
        """Note that the store can't be read any more."""
        for reader in self.readers:
            reader.note_unreachable()

    def note_reachable(self) -> None:
        """Note that the store can be read again."""
        for reader in self.readers:
            reader.note_reachable()
