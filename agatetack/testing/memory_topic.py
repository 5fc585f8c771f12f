"""Stand in for one keyed topic, without a network."""

import itertools
from collections.abc import Callable, Mapping, Sequence

import trio

from agatetack.ids import Deadline, LogOffset, StoreGeneration
from agatetack.keyed.generations import StoreGenerations, read_generation
from agatetack.keyed.topic import (
    SLOWEST_BYTES_PER_SECOND,
    KeyedRecord,
    KeyedTopic,
    TopicPage,
    TopicTruncated,
    TopicUnavailable,
)
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.thin_link import ThinLink, carry_all

NAME = "topic"

TIMEOUT_SECONDS = 1.0
"""Longest time in which an answer that has begun may bring nothing."""

MAX_ANSWER_BYTES = 1 << 20
"""What the store sends in one answer, unless the first record is larger."""


class MemoryTopic(KeyedTopic):
    """One topic of a store in memory, as one host reaches it.

    Attributes:
        store: The store.
        refused: Whether calls are refused.
        hanging: Whether calls bring no answer.
        reads: Calls made so far; a read counts at its start and its end.
        whole_reads: Calls for all keys made so far.
        link: What brings answers from the store.
    """

    def __init__(
        self,
        store: MemoryStore,
        generations: StoreGenerations,
        link: ThinLink | None = None,
    ):
        """Reach `store`; note its generation in `generations`."""
        self.link = link or ThinLink()
        self.store = store
        self.generations = generations
        self.refused = False
        self.hanging = False
        self.reads = 0
        self.whole_reads = 0

    async def newest(self, deadline: Deadline) -> TopicPage:
        """Return the newest record of each key."""
        self.whole_reads += 1
        generation = await self._call(deadline)
        found = self.store.topics[NAME]
        records = [_record(each) for each in found.newest.values()]
        await self._receive(records, deadline)
        return TopicPage(records, LogOffset(found.end), generation)

    async def read(
        self,
        first: LogOffset,
        wait_until: Deadline,
        deadline: Deadline,
        on_answer: Callable[[int | None], None] | None = None,
    ) -> TopicPage:
        """Return the records from `first` on, as soon as there is one."""
        await self._call(deadline)
        seconds = max(0.0, wait_until - trio.current_time())
        await self.store.wait_for(NAME, first, seconds)
        generation = await self._call(deadline)
        found = self.store.topics[NAME]
        if not found.first <= first <= found.end:
            raise TopicTruncated
        records = _first_bytes(
            [_record(r) for r in found.records if r.offset >= first]
        )
        if on_answer is not None:
            on_answer(sum(len(r.value or b"") for r in records))
            await trio.lowlevel.checkpoint_if_cancelled()
        await self._receive(records, deadline)
        end = LogOffset(first + len(records))
        return TopicPage(records, end, generation, more=end < found.end)

    async def append_all(
        self, values: Mapping[str, bytes], deadline: Deadline
    ) -> LogOffset:
        """Append a record for each key, and return the first offset."""
        await self._call(deadline)
        offsets = [
            self.store.append(NAME, key, value) for key, value in values.items()
        ]
        return LogOffset(offsets[0])

    async def _receive(
        self, records: Sequence[KeyedRecord], deadline: Deadline
    ) -> None:
        """Wait until an answer with `records` has arrived.

        Raises:
            TopicUnavailable: It hasn't begun by `deadline`, or is too slow.
        """
        count = sum(len(record.value or b"") for record in records)
        with trio.move_on_at(deadline) as scope:
            # An answer that is given up takes the store's time nevertheless.
            await self.store.reading.carry(count)
            scope.deadline = trio.current_time() + TIMEOUT_SECONDS
            async for piece in carry_all(count, self.link):
                scope.deadline += piece / SLOWEST_BYTES_PER_SECOND
            return
        raise TopicUnavailable("no reply in time")

    async def _call(self, deadline: Deadline) -> StoreGeneration:
        """Return the generation that the answer names."""
        self.reads += 1
        asked_in = self.generations.newest
        await trio.sleep(0.001)
        if self.hanging:
            await trio.sleep_until(deadline)
            raise TopicUnavailable("no answer in time", may_have_run=True)
        named = self.store.generation
        read = read_generation(None if named is None else str(named).encode())
        generation = self.generations.note_reply(read, asked_in, "call")
        if self.refused:
            raise TopicUnavailable("refused")
        return generation


def _first_bytes(records: Sequence[KeyedRecord]) -> Sequence[KeyedRecord]:
    """Return the first record, and others as far as an answer holds them."""
    ends = itertools.accumulate(len(r.value or b"") for r in records)
    count = sum(end <= MAX_ANSWER_BYTES for end in ends)
    return records[: max(1, count)]


def _record(stored) -> KeyedRecord:
    return KeyedRecord(stored.key, stored.value or None, stored.offset)
