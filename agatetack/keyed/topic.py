"""Define a keyed topic: a log of which the newest record of each key stays."""

import abc
import dataclasses
from collections.abc import Mapping, Sequence

from agatetack.ids import Deadline, LogOffset, StoreGeneration
from agatetack.keyed.generations import NOT_NAMED


class TopicUnavailable(Exception):
    """A call brought no answer, or the store refused it.

    Attributes:
        may_have_run: Whether an append may have taken effect, or may yet.
    """

    def __init__(self, cause: str, may_have_run: bool = False):
        """Keep the cause."""
        super().__init__(cause)
        self.may_have_run = may_have_run


class TopicTruncated(Exception):
    """The records asked for are no longer kept."""


class TopicRestored(Exception):
    """What was read is of another generation of the store than expected."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TopicPosition:
    """How far a topic is read; any of a later generation is later.

    Attributes:
        generation: The generation of the store that it was read in.
        offset: The offset to read next.
    """

    generation: StoreGeneration
    offset: LogOffset


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record.

    Attributes:
        key: What it is about.
        value: What it says, or None if the key was removed.
        offset: Where it stands in the topic.
    """

    key: str
    value: bytes | None
    offset: LogOffset


@dataclasses.dataclass(frozen=True, slots=True)
class TopicPage:
    """Records of a topic.

    Attributes:
        records: The records, by offset; of one key the last one counts.
        end: The offset that the topic's next record will get.
        generation: The generation of the store that they were read in.
    """

    records: Sequence[KeyedRecord]
    end: LogOffset
    generation: StoreGeneration = NOT_NAMED

    @property
    def position(self) -> TopicPosition:
        """Return how far the topic is read with these records."""
        return TopicPosition(self.generation, self.end)


class KeyedTopic(abc.ABC):
    """One keyed topic."""

    @abc.abstractmethod
    async def newest(self, deadline: Deadline) -> TopicPage:
        """Return the newest record of each key.

        Records appended meanwhile may be among them, and are read again from
        the page's end on.

        Raises:
            TopicRestored: The store lost records meanwhile.
            TopicUnavailable: They could not be read before `deadline`.
        """

    @abc.abstractmethod
    async def read(
        self, first: LogOffset, wait_until: Deadline, deadline: Deadline
    ) -> TopicPage:
        """Return the records from `first` on, as soon as there is one.

        Args:
            first: The offset of the first record wanted.
            wait_until: When to return without a record.
            deadline: When to give the call up.

        Raises:
            TopicTruncated: `first` is no longer kept.
            TopicUnavailable: Nothing could be read before `deadline`.
        """

    @abc.abstractmethod
    async def append_all(
        self, values: Mapping[str, bytes], deadline: Deadline
    ) -> LogOffset:
        """Append a record for each key, all or none, and return the first.

        Raises:
            TopicUnavailable: They are not known to stand in the topic.
        """

    async def append(
        self, key: str, value: bytes, deadline: Deadline
    ) -> LogOffset:
        """Append a record and return its offset.

        Raises:
            TopicUnavailable: It is not known to stand in the topic.
        """
        return await self.append_all({key: value}, deadline)
