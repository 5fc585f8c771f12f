"""Define who takes a topic's records, and what holds of those that are lost."""

import abc
from collections.abc import Sequence

from agatetack.ids import Deadline
from agatetack.keyed.topic import KeyedRecord


class TopicReader(abc.ABC):
    """Whoever takes the records of a topic."""

    @abc.abstractmethod
    def take_all(self, records: Sequence[KeyedRecord]) -> None:
        """Take the newest record of every key; other keys are gone."""

    @abc.abstractmethod
    def take_new(self, records: Sequence[KeyedRecord]) -> None:
        """Take records that follow those taken before."""

    def take_sound(self, records: Sequence[KeyedRecord], whole: bool) -> None:
        """Take what a host read for which the store was there all the while.

        Args:
            records: The records.
            whole: Whether these are all keys, and not only what follows.
        """
        if whole:
            self.take_all(records)
        else:
            self.take_new(records)

    def holds_until(
        self, known: KeyedRecord, found: KeyedRecord | None
    ) -> Deadline | None:
        """Return until when a record of an earlier generation still holds.

        A store that lost records has forgotten what it acknowledged, or has an
        older record in its place, until that is written again.

        Args:
            known: The record that was read in an earlier generation.
            found: What the store has under its key now, or None.

        Returns:
            The time, infinite until something later is written; None if what
            the store has holds instead.
        """
        return None

    def take_lost(  # noqa: B027
        self, lost: Sequence[KeyedRecord], place: int | None
    ) -> None:
        """Note which records hold that the store has lost, after `take_all`.

        Args:
            lost: The records.
            place: This host's place among those that read the topic for all;
                None if it is none of them.
        """

    def lost_touch(self) -> None:  # noqa: B027
        """Note that the store can't be read any more."""

    def in_touch(self) -> None:  # noqa: B027
        """Note that the store can be read again; what it has was taken."""


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
