"""Keep up with a keyed topic through outages, truncation and lost answers."""

import abc
import math
import random
from collections.abc import Callable, Sequence

import trio

from agatetack.decisions import DecisionLog, age
from agatetack.ids import Deadline, LogOffset
from agatetack.keyed.readers import EveryHost, ReaderChoice
from agatetack.keyed.topic import (
    KeyedRecord,
    KeyedTopic,
    TopicPage,
    TopicTruncated,
    TopicUnavailable,
)
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

LOOK_SECONDS = 0.1
"""How often a host that leaves a topic to others looks whether it may."""

MOST_BACKOFFS = 2
"""How often the pause after failed calls doubles."""

log = DecisionLog("keyed")


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

    def lost_touch(self) -> None:  # noqa: B027
        """Note that the store can't be read any more."""

    def in_touch(self) -> None:  # noqa: B027
        """Note that the store can be read again; what it has was taken."""


def _tell_nobody(follower: "TopicFollower", before: LogOffset) -> None:
    """Do nothing; in place until peers are told."""


class ReadCounters:
    """Counts the reads of all topics of one host.

    Attributes:
        reads: By topic and result.
        age: How long ago each topic was read.
    """

    def __init__(self, metrics: Metrics):
        """Count in `metrics`."""
        self.reads = metrics.counter(
            "agatetack_store_reads_total",
            "Reads of the metadata store, by topic and result.",
        )
        self.age = metrics.gauge(
            "agatetack_store_read_age_seconds",
            "Time since a topic was last read, by topic.",
        )


class TopicFollower:
    """Reads one topic for ever and hands its records to a reader.

    A read waits at the store until there is something. An answer that never
    comes is given up at a deadline; records are never skipped, as the next
    read starts where the last one ended, and all is read anew where that is
    no longer kept.

    Attributes:
        next_offset: The offset to read next, or None before the first read.
        known: The newest record of each key, removals since `known_from`
            included.
        known_from: The offset from which on removals are known too.
        readers: Tells whether this host reads, or leaves it to others.
        advanced: Called with this follower when it has read on, and with the
            offset that it was to read next before.
        reachable: Whether the last call was answered.
        in_touch_at: When the store was regained last.
        read_at: When the last call was answered, or None.
    """

    def __init__(
        self,
        settings: Settings,
        name: str,
        topic: KeyedTopic,
        reader: TopicReader,
        counters: "ReadCounters",
    ):
        """Follow `topic`, called `name` in logs and counters."""
        self.limits = settings.platform.store
        self.name = name
        self.topic = topic
        self.reader = reader
        self.next_offset: LogOffset | None = None
        self.known: dict[str, KeyedRecord] = {}
        self.known_from = LogOffset(0)
        self.readers: ReaderChoice = EveryHost()
        self.advanced: Callable[[TopicFollower, LogOffset], None] = _tell_nobody
        self.reading = trio.CancelScope()
        self.reachable = False
        self.in_touch_at = Deadline(0.0)
        self.read_at: Deadline | None = None
        self.failures = 0
        self.random = random.Random()
        self.counters = counters

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            await self._until_needed()
            try:
                with trio.CancelScope() as self.reading:
                    await self._read()
            except TopicTruncated:
                self._count("truncated")
                log.note("topic-truncated", topic=self.name)
                self.next_offset = None
            except TopicUnavailable as error:
                self._count("unavailable")
                self._failed(str(error))
                await trio.sleep(self._pause())

    async def _until_needed(self) -> None:
        """Wait while other hosts read for this one, which knows all so far."""
        while self.leaves_it_to_others:
            await trio.sleep(LOOK_SECONDS)

    @property
    def leaves_it_to_others(self) -> bool:
        """Return whether this host knows the topic and need not read it."""
        known = self.reachable and self.next_offset is not None
        return known and not self.readers.must_read(self.name)

    async def _read(self) -> None:
        if self.next_offset is None:
            page = await self.topic.newest(self._deadline(0.0))
            self._answered("all")
            self._take(page, whole=True)
        else:
            page = await self._read_on(self.next_offset)
            self._answered("new")
            self._take(page, whole=False)
        if not self.reachable:
            log.note("store-in-touch", topic=self.name, offset=page.end)
            self._regained()
        if page.records:
            # What follows closely comes with the next read, so that a burst
            # of changes costs one call and not one for each.
            await trio.sleep(self.limits.batch_seconds)

    def _regained(self) -> None:
        self.reachable = True
        self.in_touch_at = Deadline(trio.current_time())
        self.reader.in_touch()

    async def _read_on(self, first: LogOffset) -> TopicPage:
        # After a failure the first answer is wanted at once, to know that
        # the store is back.
        wait = self.limits.poll_seconds if self.reachable else 0.0
        wait_until = Deadline(trio.current_time() + wait)
        return await self.topic.read(first, wait_until, self._deadline(wait))

    def take_from_peer(self, page: TopicPage, whole: bool, sound: bool) -> None:
        """Take what a peer has read, and read on from there.

        The read under way is given up: it should have brought the records,
        so its connection may have gone silent.

        Args:
            page: What the peer has read.
            whole: Whether these are all keys, and not only what follows.
            sound: Whether the store has been there for the peer lately.
        """
        if not self.is_behind(page.end):
            return
        self._count("peer")
        log.note(
            "topic-from-peer",
            topic=self.name,
            before=self.next_offset,
            end=page.end,
            sound=sound,
            age=age(self.read_at),
        )
        self._take(page, whole, sound)
        self.reading.cancel()

    def start_from(self, page: TopicPage, in_touch: bool) -> None:
        """Take what another host has read in place of a first read.

        Args:
            page: All keys.
            in_touch: Whether the store is there for that host. If not, this
                one serves with what may be outdated, rather than refuse all
                callers until the store is back, and reads for itself.
        """
        if self.next_offset is not None:
            return
        self._count("seed")
        log.note(
            "topic-from-seed", topic=self.name, end=page.end, in_touch=in_touch
        )
        self._take(page, whole=True)
        if in_touch:
            self._regained()
        else:
            self.reader.lost_touch()

    @property
    def sound(self) -> bool:
        """Return whether the store has been there for a while for this host.

        What it removed before may have been removed for its own absence.
        """
        quiet = trio.current_time() - self.in_touch_at
        return self.reachable and quiet > self.limits.doubt_seconds

    @property
    def vouches(self) -> bool:
        """Return whether this host itself reads and is in touch."""
        return self.reachable and not self.leaves_it_to_others

    def is_behind(self, end: LogOffset) -> bool:
        """Return whether somebody who has read up to `end` knows more."""
        return self.next_offset is None or self.next_offset < end

    def records_since(self, first: LogOffset) -> tuple[TopicPage, bool]:
        """Return what followed `first`, or all keys, and whether it is all."""
        whole = first < self.known_from
        records = [
            record
            for record in self.known.values()
            if record.value is not None or not whole
            if whole or record.offset >= first
        ]
        return TopicPage(records, self.next_offset), whole

    def _take(self, page: TopicPage, whole: bool, sound: bool = False) -> None:
        before = self.next_offset or LogOffset(0)
        records = page.records
        if whole:
            self.known = {record.key: record for record in records}
            self.known_from = page.end
        else:
            # A peer may have brought some of them already.
            records = [r for r in records if r.offset >= before]
            self.known.update((record.key, record) for record in records)
        if sound:
            self.reader.take_sound(records, whole)
        elif whole:
            self.reader.take_all(records)
        elif records:
            self.reader.take_new(records)
        if self.next_offset is None or page.end > self.next_offset:
            self.next_offset = page.end
            self.advanced(self, before)

    def _answered(self, result: str) -> None:
        self._count(result)
        self.failures = 0
        self.read_at = Deadline(trio.current_time())

    def _failed(self, cause: str) -> None:
        self.failures += 1
        if self.reachable or self.failures == 1:
            log.note(
                "store-out-of-touch",
                topic=self.name,
                cause=cause,
                offset=self.next_offset,
                age=self.age_seconds(),
            )
        if self.reachable:
            self.reachable = False
            self.reader.lost_touch()

    def age_seconds(self) -> float:
        """Return the time since the topic was last read; infinite if never."""
        if self.read_at is None:
            return math.inf
        return trio.current_time() - self.read_at

    def show(self) -> None:
        """Bring the gauge up to date."""
        if self.read_at is not None:
            self.counters.age.set({"topic": self.name}, self.age_seconds())

    def _deadline(self, wait: float) -> Deadline:
        now = trio.current_time()
        return Deadline(now + wait + self.limits.timeout_seconds)

    def _pause(self) -> float:
        doublings = min(self.failures - 1, MOST_BACKOFFS)
        if self.next_offset is None:
            # A host that knows nothing refuses all callers until it does.
            doublings = 0
        pause = self.limits.retry_seconds * 2**doublings
        return pause * self.random.uniform(0.75, 1.25)

    def _count(self, result: str) -> None:
        self.counters.reads.inc({"topic": self.name, "result": result})
