"""Stand in for the platform's metadata store: its topics, and what fails."""

import dataclasses
import enum
import math
from collections import defaultdict
from collections.abc import Mapping

import trio

from agatetack.testing.thin_link import ThinLink


class StoreFault(enum.Enum):
    """What happens to calls of the store."""

    REFUSED = "refused"
    SILENT = "silent"
    ANSWER_LOST = "answer-lost"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """One record of a keyed topic.

    Attributes:
        key: What it is about.
        value: What it says; empty if the key was removed.
        offset: Where it stands.
    """

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(slots=True)
class StoredTopic:
    """One keyed topic.

    Attributes:
        records: The records still kept, by offset.
        newest: The newest record of each key that was not removed.
        end: The offset that the next record gets.
        first: The first offset still kept.
    """

    records: list[StoredRecord] = dataclasses.field(default_factory=list)
    newest: dict[str, StoredRecord] = dataclasses.field(default_factory=dict)
    end: int = 0
    first: int = 0


class MemoryStore:
    """A store in memory, without a network.

    Attributes:
        topics: By name.
        fault: What happens to all calls, or None.
        changed: Set, and replaced, at each append and change of the fault.
        calls: Calls so far, by path.
        latency_seconds: How long each call takes.
        generation: What its answers name as its generation, whatever it is;
            None if they name none.
        silent: Topics in which all answers are lost.
        losses: How often it came back from a copy.
        reading: What all reads together can take from it.
        answer_bytes_per_second: What the way of each answer to its host
            carries.
    """

    def __init__(self) -> None:
        """Start empty and sound."""
        self.topics: dict[str, StoredTopic] = defaultdict(StoredTopic)
        self.fault: StoreFault | None = None
        self.silent: set[str] = set()
        self.changed = trio.Event()
        self.calls: defaultdict[str, int] = defaultdict(int)
        self.latency_seconds = 0.0
        self.generation: object = 1
        self.losses = 0
        self.reading = ThinLink()
        self.answer_bytes_per_second = math.inf

    def append(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset; no value removes the key."""
        found = self.topics[topic]
        record = StoredRecord(key, value, found.end)
        found.records.append(record)
        found.end += 1
        if value:
            found.newest[key] = record
        else:
            found.newest.pop(key, None)
        self._tell()
        return record.offset

    def copy(self) -> Mapping[str, StoredTopic]:
        """Return a copy of all topics, from which `restore` brings it back."""
        return {
            name: dataclasses.replace(
                found, records=list(found.records), newest=dict(found.newest)
            )
            for name, found in self.topics.items()
        }

    def restore(self, copy: Mapping[str, StoredTopic]) -> None:
        """Come back from `copy`, without what was appended since."""
        self.topics.clear()
        self.topics.update(copy)
        self.losses += 1
        if isinstance(self.generation, int):
            self.generation += 1
        self._tell()

    def compact(self, topic: str) -> None:
        """Forget all records but the newest of each key."""
        found = self.topics[topic]
        found.records.clear()
        found.first = found.end

    def set_fault(self, fault: StoreFault | None) -> None:
        """Let calls fail from now on, also those under way; or no more."""
        self.fault = fault
        self._tell()

    def silence(self, topic: str) -> None:
        """Lose the answers to all calls of a topic from now on."""
        self.silent.add(topic)

    def end_silence(self, topic: str) -> None:
        """Answer later calls of a topic again."""
        self.silent.discard(topic)
        self._tell()

    def _tell(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def wait_for(self, topic: str, first: int, seconds: float) -> None:
        """Wait until there is a record at `first`, for `seconds` at most.

        A read of what the store does not have, or no longer has, ends at once.
        """
        losses = self.losses
        with trio.move_on_after(seconds):
            while self.topics[topic].end == first and self.fault is None:
                await self.changed.wait()
                if self.losses != losses:
                    return
