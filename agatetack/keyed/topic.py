"""Define a keyed topic: a compacted log that keeps each key's newest record."""

import abc
import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TypeVar

from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline, LogOffset, StoreGeneration
from agatetack.keyed.generations import UNKNOWN_GENERATION

Content = TypeVar("Content")
"""What a store gives of one record."""

SLOWEST_BYTES_PER_SECOND = 25_000
"""Rate at which an answer of the store may arrive after the deadline of its
call. The thinnest links carry 25 times that, and answers to callers share
them."""

log = DecisionLog("keyed")


def _ignore(length: int | None) -> None:
    """Do nothing; the default if nobody waits for the begin of an answer."""


class TopicUnavailable(Exception):
    """The store refused a call or did not answer it.

    Attributes:
        may_have_run: Whether an append may have taken effect or still may.
    """

    def __init__(self, cause: str, may_have_run: bool = False):
        """Store the cause."""
        super().__init__(cause)
        self.may_have_run = may_have_run


class TopicTruncated(Exception):
    """The store has compacted away the requested records."""


class TopicRestored(Exception):
    """The records read belong to another store generation than expected."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TopicPosition:
    """A read position; later generations sort after earlier ones.

    Attributes:
        generation: The store generation in which the topic was read.
        offset: The next offset to read.
    """

    generation: StoreGeneration
    offset: LogOffset


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed topic.

    Attributes:
        key: The key.
        value: The value, or None if the key was removed.
        offset: The record's offset in the topic.
    """

    key: str
    value: bytes | None
    offset: LogOffset


@dataclasses.dataclass(frozen=True, slots=True)
class TopicPage:
    """Records of a topic and the position after them.

    Attributes:
        records: The records in offset order; the last one per key is current.
        end: The offset that the topic's next record will get.
        generation: The store generation in which they were read.
        more: Whether the store had further records, from `end` on.
    """

    records: Sequence[KeyedRecord]
    end: LogOffset
    generation: StoreGeneration = UNKNOWN_GENERATION
    more: bool = False

    @property
    def position(self) -> TopicPosition:
        """Return the read position after these records."""
        return TopicPosition(self.generation, self.end)


def readable_records(
    topic: str,
    contents: Iterable[tuple[LogOffset, Content]],
    read: Callable[[Content], tuple[str, bytes]],
) -> list[KeyedRecord]:
    """Return the records that can be read, and log the others.

    One that a writer left malformed must not hide the records of all others.

    Args:
        topic: The topic's name, for the log.
        contents: Offset and content of each record.
        read: Returns a record's key and its value, empty if the key was
            removed; raises TypeError or ValueError if it is malformed.
    """
    records = []
    for offset, content in contents:
        try:
            key, value = read(content)
        except (TypeError, ValueError) as error:
            log.note(
                "record-malformed", topic=topic, offset=offset, cause=str(error)
            )
        else:
            records.append(KeyedRecord(key, value or None, LogOffset(offset)))
    return records


class KeyedTopic(abc.ABC):
    """Read and append access to one keyed topic."""

    @abc.abstractmethod
    async def newest(self, deadline: Deadline) -> TopicPage:
        """Return the newest record of each key.

        The page may include records that were appended during the call. They
        are read again when reading continues at the page's end.

        Args:
            deadline: When to abort the call unless its answer is under way.

        Raises:
            TopicRestored: The store lost records during the call.
            TopicUnavailable: No answer began before `deadline`, or it came
                more slowly than `SLOWEST_BYTES_PER_SECOND`.
        """

    @abc.abstractmethod
    async def read(
        self,
        first: LogOffset,
        wait_until: Deadline,
        deadline: Deadline,
        on_answer: Callable[[int | None], None] = _ignore,
    ) -> TopicPage:
        """Wait for at least one record at or after `first`; return them.

        Args:
            first: The offset of the first record to return.
            wait_until: When to return even without a record.
            deadline: When to abort the call unless its answer is under way.
            on_answer: Called when the answer begins, with its length in bytes
                if that is known.

        Raises:
            TopicTruncated: The store no longer keeps `first`.
            TopicUnavailable: No answer began before `deadline`, or it came
                more slowly than `SLOWEST_BYTES_PER_SECOND`.
        """

    @abc.abstractmethod
    async def append_all(
        self, values: Mapping[str, bytes], deadline: Deadline
    ) -> LogOffset:
        """Append one record per key, all or none; return the first offset.

        Raises:
            TopicUnavailable: The append was not confirmed.
        """

    async def append(
        self, key: str, value: bytes, deadline: Deadline
    ) -> LogOffset:
        """Append a record and return its offset.

        Raises:
            TopicUnavailable: The append was not confirmed.
        """
        return await self.append_all({key: value}, deadline)
