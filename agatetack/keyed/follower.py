"""Follow a keyed topic through outages, truncation and lost records."""

import math
import random
from collections.abc import Callable, Sequence

import trio

from agatetack.clock import Clock, Instant, Lateness, SystemClock
from agatetack.config.route import Currency
from agatetack.decisions import DecisionLog, age
from agatetack.ids import Deadline, LogOffset
from agatetack.keyed.content import (
    MAX_LOGGED_KEYS,
    CarriedEnd,
    TopicContent,
)
from agatetack.keyed.generations import StoreGenerations
from agatetack.keyed.reader import TopicReader
from agatetack.keyed.readers import (
    SILENT_SECONDS,
    EveryHost,
    ReaderChoice,
)
from agatetack.keyed.topic import (
    KeyedRecord,
    KeyedTopic,
    TopicPage,
    TopicPosition,
    TopicRestored,
    TopicTruncated,
    TopicUnavailable,
)
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

CHECK_SECONDS = 0.1
"""How often a host that relies on other readers checks whether it still can."""

FIRST_READERS = 4
"""Number of readers that read all keys of a new generation at once. They send
the records to the other readers and to all other hosts."""

PEER_WAIT_SECONDS = 1.0
"""How long the other hosts wait for these records before they read all keys
themselves."""

MAX_PEER_WAIT_FACTOR = 1.5
"""Maximum factor on that time. Hosts use different factors, so that hundreds of
hosts that receive nothing do not read at once."""

MAX_BACKOFF_DOUBLINGS = 2
"""Maximum number of doublings of the pause after failed calls."""

MAX_FIRST_READER_PAUSE_SECONDS = PEER_WAIT_SECONDS / 2
"""Maximum mean pause of hosts that read all keys for the others. They have to
retry before the others stop waiting for their records."""

FIRST_READER_WAIT_SECONDS = 0.8
"""Longest wait of the first reader's read for a record. Its answers show all
hosts that the store answers; the reads of the others may wait for longer."""

NEWS_SECONDS = 0.4
"""An answer that comes longer than this after the last one of any reader is
reported at once."""

TOLD_PAUSE_SECONDS = 4.0
"""Mean pause of a host that the store refuses while a peer reports that it
reads the topic. In a fleet of 107 hosts, 37 of which were refused for 5.5 s,
276 of 1,125 calls were refused ones."""

NEWEST_SIZE_RATIO = 4 / 3
"""Size of the store's answer with all keys, relative to their values: it is
written as base64."""

MIN_NEWEST_BYTES = 65_536
"""Size of that answer from which on it matters which one is the smaller."""

WORTH_RATIO = 1.2
"""How much larger an answer has to be to be given up for the other one."""

MAX_SERVED_AGE_SECONDS = 2.0
"""Age up to which requests are decided by what is known. Hosts that are on time
read the store before, so that only one that stood still or was late knows so
little. Changes have to be in force after 2 s or more."""

BEHIND_SECONDS = 1.0
"""How long a host may lack records that others have before it says so in its
log. Changes usually arrive within 0.2 s and have to within 2 s."""

log = DecisionLog("keyed")


def _report_to_nobody(
    follower: "TopicFollower", before: TopicPosition | None
) -> None:
    """Do nothing; the default until the follower reports to peers."""


def _tell_nobody(follower: "TopicFollower") -> None:
    """Do nothing; the default until the follower reports to peers."""


def _never() -> bool:
    """Return False; the default if nobody needs more reads of this host."""
    return False


def _keep_no_proof(sent: Instant, position: TopicPosition) -> None:
    """Do nothing; the default if nobody asks how old the records may be."""


class ReadCounters:
    """Metrics of the reads of all topics of one host.

    Attributes:
        reads: Reads by topic and result.
        age: Time since each topic was last read.
        answer_age: Time since the store is known to have held nothing that this
            host lacks, by topic.
        behind: Time for which this host has lacked records that others have,
            by topic.
    """

    def __init__(self, metrics: Metrics):
        """Count in `metrics`."""
        self.reads = metrics.counter(
            "agatetack_store_reads_total",
            "Reads of the metadata store, by topic and result.",
        )
        self.answer_age = metrics.gauge(
            "agatetack_store_answer_age_seconds",
            "Time since the store is known to have held no record that this"
            " host lacks, by topic.",
        )
        self.behind = metrics.gauge(
            "agatetack_store_behind_seconds",
            "Time for which this host has lacked records of a topic that other"
            " hosts have; 0 if it lacks none.",
        )
        self.age = metrics.gauge(
            "agatetack_store_read_age_seconds",
            "Time since a topic was last read, by topic.",
        )
        self.carried = metrics.gauge(
            "agatetack_carried_records",
            "Records that hold though the store lost them, by topic.",
        )
        self.carried_ends = metrics.counter(
            "agatetack_carried_records_ended_total",
            "Records that held and do so no more, by topic and result.",
        )


class Backlog:
    """The records that other hosts have and this host lacks.

    Attributes:
        position: The highest read position that another host reported.
        since: Since when this host has lacked records before it, or None.
        warned: Whether the log says so.
    """

    def __init__(self) -> None:
        """Lack nothing."""
        self.position: TopicPosition | None = None
        self.since: Deadline | None = None
        self.warned = False

    def note_reported(self, position: TopicPosition) -> None:
        """Note that another host has read up to `position`."""
        if self.position is None or self.position < position:
            self.position = position
        if self.since is None:
            self.since = Deadline(trio.current_time())

    def clear(self) -> None:
        """Note that nothing is lacking any more."""
        self.since, self.warned = None, False

    def seconds(self) -> float:
        """Return for how long records have been lacking."""
        return 0.0 if self.since is None else trio.current_time() - self.since


class TopicFollower:
    """Reads one topic continuously and passes its records to a reader.

    A read is a long poll that waits at the store for the next record and is
    aborted at a deadline. No record is skipped: each read starts where the
    last one ended. If the store no longer keeps that offset or has lost
    records, all keys are read again, as a position is valid only in one
    generation of the store. Records that the store lost but that are still
    valid are carried over until they are written again.

    Attributes:
        content: The known records of the topic, and the read position.
        truncated: Whether the store no longer keeps the records that follow.
        generations: The generations of the store.
        readers: Decides whether this host reads or relies on other hosts.
        on_advance: Called after the read position has advanced, with this
            follower and its previous position.
        on_answer: Called with this follower after the store has answered, if it
            was not known to have answered any reader for a while.
        on_current: Called when a read has shown that there was no record
            beyond the read position when the read was sent, with that time
            and position.
        asks_regularly: Returns whether this host reads the topic about once a
            second for another purpose, so that its reads here may wait.
        is_urgent: Returns whether an answer of the store is needed soon, even
            if peers report that they read.
        clock: The clocks that tell when reads were sent.
        reachable: Whether the last call was answered.
        reachable_since: When the store last became reachable again.
        peer_wait_factor: This host's factor on the time that it waits for
            records of others.
        read_at: Up to when the store has told this host of all records; None
            if it has not answered yet.
        answered_at: When the store gave the answer to the call that is under
            way, or gave it at the earliest.
        waiting: Ends a read that waits for a record though the store no longer
            answers.
        backlog: The records that others have and this host lacks.
        prefers_newest: Whether the next read is one of all keys, as the answer
            to one from the read position on would be larger.
    """

    def __init__(
        self,
        settings: Settings,
        name: str,
        topic: KeyedTopic,
        reader: TopicReader,
        counters: "ReadCounters",
        generations: StoreGenerations,
        rng: random.Random,
    ):
        """Follow `topic`.

        Args:
            settings: The host's settings.
            name: The topic's name in logs and counters.
            topic: The topic to read.
            reader: Processes the records.
            counters: Metrics of the reads.
            generations: The generations of the store.
            rng: Randomizes pauses.
        """
        self.limits = settings.platform.store
        self.name = name
        self.topic = topic
        self.reader = reader
        self.content = TopicContent(name, reader)
        self.truncated = False
        self.generations = generations
        self.readers: ReaderChoice = EveryHost()
        self.on_advance: Callable[
            [TopicFollower, TopicPosition | None], None
        ] = _report_to_nobody
        self.on_answer: Callable[[TopicFollower], None] = _tell_nobody
        self.on_current: Callable[[Instant, TopicPosition], None] = (
            _keep_no_proof
        )
        self.is_urgent: Callable[[], bool] = _never
        self.asks_regularly: Callable[[], bool] = _never
        self.clock: Clock = SystemClock()
        self.reading = trio.CancelScope()
        self.reachable = False
        self.reachable_since = Deadline(0.0)
        self.read_at: Deadline | None = None
        self.answered_at = Deadline(-math.inf)
        self.waiting = trio.CancelScope()
        self.backlog = Backlog()
        self.prefers_newest = False
        self.failures = 0
        self.random = rng
        self.peer_wait_factor = self.random.uniform(1.0, MAX_PEER_WAIT_FACTOR)
        self.counters = counters
        generations.watchers.append(self._end_outdated_read)

    @property
    def is_outdated(self) -> bool:
        """Return whether the store lost records after the last read."""
        if self.content.position is None:
            return False
        return self.content.position.generation < self.generations.newest

    def _end_outdated_read(self) -> None:
        """Cancel a read that waits at a position of an older generation."""
        if self.is_outdated:
            self.reading.cancel()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_carried)
            await self._follow()

    async def _follow(self) -> None:
        while True:
            await self._until_needed()
            try:
                with trio.CancelScope() as self.reading:
                    await self._read()
            except TopicTruncated:
                self._count("truncated")
                log.note(
                    "topic-truncated",
                    topic=self.name,
                    offset=self.content.next_offset,
                )
                # The records of a new generation may also come from peers.
                self.truncated = not self.is_outdated
            except TopicRestored:
                self._count("restored")
            except TopicUnavailable as error:
                self._count("unavailable")
                self._failed(str(error))
                await self._wait_after_failure()

    async def _until_needed(self) -> None:
        """Wait while this host can rely on reads of other hosts."""
        while self.relies_on_readers or self._awaits_peers():
            await trio.sleep(CHECK_SECONDS)

    def _awaits_peers(self) -> bool:
        """Return whether peers may soon send all keys of a new generation."""
        if not self.is_outdated or self.truncated:
            return False
        if self._reads_first():
            return False
        waited = trio.current_time() - self.generations.learned_at
        return waited < PEER_WAIT_SECONDS * self.peer_wait_factor

    def _reads_first(self) -> bool:
        """Return whether this host has to read all keys for the others."""
        place = self.readers.place(self.name)
        return place is not None and place < FIRST_READERS

    @property
    def relies_on_readers(self) -> bool:
        """Return whether this host has the topic and can rely on others."""
        known = self.reachable and self.content.position is not None
        if not known or self.truncated:
            return False
        return not self.readers.must_read(self.name)

    async def _read(self) -> None:
        position = self.content.position
        sent = self.clock.instant()
        whole = position is None or self.truncated or self.is_outdated
        if whole or self.prefers_newest:
            whole, self.prefers_newest = True, False
            self.answered_at = sent.monotonic
            page = await self.topic.newest(self._deadline(0.0))
            self._answered("all")
            if page.generation < self.generations.newest:
                raise TopicRestored
            self._take(page, whole=True)
        else:
            page = await self._read_on(position.offset)
            self._answered("new")
            if page.generation != position.generation:
                raise TopicRestored
            self._take(page, whole=False)
        self.note_read(page)
        if whole or not page.records:
            self.on_current(sent, page.position)
        if not self.reachable:
            log.note(
                "store-in-touch",
                topic=self.name,
                offset=page.end,
                generation=page.generation,
            )
            self._note_reachable()
        if page.records and not page.more:
            # Batch records that follow shortly into the next read, so that a
            # burst of changes does not cost one call per change.
            await trio.sleep(self.limits.batch_seconds)

    def _note_reachable(self) -> None:
        self.reachable = True
        self.reachable_since = Deadline(trio.current_time())
        self.reader.note_reachable()

    async def _read_on(self, first: LogOffset) -> TopicPage:
        wait = self._wait_seconds()
        if wait > 0:
            wait_until = Deadline(trio.current_time() + wait)
            with trio.CancelScope() as self.waiting:
                self.waiting.deadline = self.readers.silent_at(self.name)
                return await self.topic.read(
                    first, wait_until, self._deadline(wait), self._answer_begins
                )
            # Its connection may be dead, and others may be too.
            self._note_given_up()
        now = Deadline(trio.current_time())
        return await self.topic.read(
            first, now, self._deadline(0.0), self._answer_begins
        )

    def _answer_begins(self, length: int | None) -> None:
        """Let a read that waited go on, unless all keys come sooner.

        Of several versions of a large value only the last one matters.
        """
        self.answered_at = Deadline(trio.current_time())
        self.waiting.deadline = math.inf
        if length is None or length <= MIN_NEWEST_BYTES * WORTH_RATIO:
            return
        values = self.content.known.values()
        newest_bytes = sum(len(each.value or b"") for each in values)
        newest_bytes *= NEWEST_SIZE_RATIO
        if newest_bytes < MIN_NEWEST_BYTES:
            return
        if length > newest_bytes * WORTH_RATIO:
            self._count("superseded")
            self.prefers_newest = True
            self.reading.cancel()

    def _wait_seconds(self) -> float:
        """Return how long the next read may wait for a record.

        After a failure it does not wait: the first answer shows that the store
        is reachable again. Nor does the first read if what this host started
        with is old.
        """
        now = trio.current_time()
        if not self.reachable or now >= self.readers.silent_at(self.name):
            return 0.0
        if self.read_at is None and now >= self.complete_at + SILENT_SECONDS:
            return 0.0
        if self.readers.place(self.name) != 0 or self.asks_regularly():
            return self.limits.poll_seconds
        left = self.complete_at + FIRST_READER_WAIT_SECONDS - now
        return max(0.0, min(left, self.limits.poll_seconds))

    @property
    def complete_at(self) -> Deadline:
        """Return when the store last held nothing that this host lacks."""
        return self.readers.complete_at(self.name)

    def note_complete(self, position: TopicPosition, at: Deadline) -> None:
        """Note that the store held no record beyond a position at a time.

        It shows nothing about the records of a host that has not read so far.
        """
        own = self.content.position
        if own is None or own.generation != position.generation:
            return
        if own >= position:
            self.readers.note_complete(self.name, at)
            self.update_wait()

    def note_reported(self, position: TopicPosition) -> None:
        """Note that another host has read up to `position`."""
        if not self.content.is_behind(position):
            return
        self.backlog.note_reported(position)
        seconds = self.backlog.seconds()
        if seconds >= BEHIND_SECONDS and not self.backlog.warned:
            self.backlog.warned = True
            log.warn("topic-behind", **self._behind_fields())

    def _behind_fields(self) -> dict[str, object]:
        return {
            "topic": self.name,
            "behind_seconds": round(self.backlog.seconds(), 3),
            "reported": self.backlog.position.offset,
            "offset": self.content.next_offset,
            "answer_age": age(self.complete_at),
            "failures": self.failures,
        }

    def _update_backlog(self) -> None:
        """Note whether this host has caught up with what others reported."""
        backlog = self.backlog
        if backlog.since is None or self.content.is_behind(backlog.position):
            return
        if backlog.warned:
            log.warn("topic-caught-up", **self._behind_fields())
        backlog.clear()

    def update_wait(self) -> None:
        """Let a read wait for longer if another reader had an answer."""
        silent_at = self.readers.silent_at(self.name)
        self.waiting.deadline = max(self.waiting.deadline, silent_at)

    def _note_given_up(self) -> None:
        self._count("given-up")
        log.note(
            "read-given-up",
            topic=self.name,
            offset=self.content.next_offset,
            read_age=age(self.read_at),
            answer_age=age(self.complete_at),
        )

    def apply_from_peer(
        self,
        page: TopicPage,
        whole: bool,
        sound: bool,
        carried: Sequence[KeyedRecord] = (),
    ) -> None:
        """Process records that a peer has read, and continue after them.

        The current read is cancelled: it should have returned these records,
        so its connection may be stalled.

        Args:
            page: The records that the peer has read.
            whole: Whether these are all keys and not only later records.
            sound: Whether the peer could reach the store all along lately.
            carried: Records of earlier generations that the peer carries.
        """
        if not self.content.is_behind(
            page.position
        ) or not self._is_known_generation(page):
            return
        if not whole and not self._follows(page):
            self._count("peer-partial")
            return
        self._count("peer")
        log.note(
            "topic-from-peer",
            topic=self.name,
            before=self.content.next_offset,
            end=page.end,
            generation=page.generation,
            sound=sound,
            age=age(self.read_at),
        )
        self._take(page, whole, sound, carried)
        self.reading.cancel()

    def apply_read(self, page: TopicPage) -> None:
        """Process records that another read of this host found.

        The current read is cancelled: it should have returned these records.
        """
        if self.content.is_behind(page.position) and self._follows(page):
            self._take(page, whole=False)
            self.reading.cancel()

    def note_truncated(self) -> None:
        """Read all keys, as the store no longer keeps the next record."""
        self.truncated = not self.is_outdated
        self.reading.cancel()

    def _is_known_generation(self, page: TopicPage) -> bool:
        """Return whether `page` is not newer than the known generation."""
        return page.generation <= self.generations.newest

    def _follows(self, page: TopicPage) -> bool:
        """Return whether `page` is of the generation of the read position."""
        if self.content.position is None:
            return False
        return page.generation == self.content.position.generation

    def apply_carried(self, carried: Sequence[KeyedRecord]) -> None:
        """Process valid records that a peer carries over."""
        records = self.content.carry(carried)
        log.note(
            "carried-from-peer",
            topic=self.name,
            keys=sorted(self.content.carried.records)[:MAX_LOGGED_KEYS],
            count=len(self.content.carried.records),
        )
        self.reader.apply_all(records)
        self._pass_lost_to_reader()
        self._show_carried()

    def start_from(
        self,
        page: TopicPage,
        complete_at: Deadline,
        carried: Sequence[KeyedRecord] = (),
    ) -> None:
        """Use the records that another host has read in place of a first read.

        If they are too old, this host reads the store at once, and serves with
        them only if it can't, rather than refuse all callers until the store is
        back.

        Args:
            page: All keys.
            complete_at: When the store last held no others, as far as that host
                knows; minus infinity if it doesn't.
            carried: Records of earlier generations that that host carries
                over.
        """
        if self.content.position is not None or not self._is_known_generation(
            page
        ):
            return
        self._count("seed")
        self._take(page, whole=True, carried=carried)
        self.note_complete(page.position, complete_at)
        self.readers.note_copied(self.name)
        in_touch = self.readers.is_current(self.name)
        log.note(
            "topic-from-seed",
            topic=self.name,
            end=page.end,
            generation=page.generation,
            in_touch=in_touch,
            answer_age=age(complete_at),
        )
        if in_touch:
            self._note_reachable()
        else:
            self.reader.note_unreachable()

    @property
    def awaits_answer(self) -> bool:
        """Return whether the store may soon tell what this host lacks."""
        return not self.is_current and self.failures == 0

    @property
    def sound(self) -> bool:
        """Return whether the store has been reachable for a while.

        Earlier removals may be a result of the store's own outage.
        """
        quiet = trio.current_time() - self.reachable_since
        return self.is_current and quiet > self.limits.doubt_seconds

    @property
    def is_current(self) -> bool:
        """Return whether the store has shown lately that nothing is missing.

        A read that waits without an answer shows nothing: its answer may be
        lost.
        """
        return self.reachable and self.readers.is_current(self.name)

    @property
    def may_report(self) -> bool:
        """Return whether this host reads itself and can reach the store."""
        if self.is_outdated or self.read_at is None:
            return False
        return self.is_current and not self.relies_on_readers

    def _take(
        self,
        page: TopicPage,
        whole: bool,
        sound: bool = False,
        carried: Sequence[KeyedRecord] = (),
    ) -> None:
        before = self.content.position
        carried_before = len(self.content.carried.records)
        records = self.content.merge(page, whole, carried)
        if whole:
            self.truncated = False
        else:
            count = carried_before - len(self.content.carried.records)
            self._count_ended(CarriedEnd.REPLACED, count)
        if sound:
            self.reader.apply_confirmed(records, whole)
        elif whole:
            self.reader.apply_all(records)
        elif records:
            self.reader.apply_new(records)
        if whole:
            self._pass_lost_to_reader()
        self._show_carried()
        self._update_backlog()
        if self.content.position != before:
            self.on_advance(self, before)

    def _pass_lost_to_reader(self) -> None:
        lost = self.content.carried.lost(self.content.known)
        self.reader.note_lost(lost, self.readers.place(self.name))

    async def _end_carried(self) -> None:
        """Drop expired carried records until cancelled."""
        while True:
            await self.content.carried.until_due()
            records = self.content.expire()
            if not records:
                continue
            self._count_ended(CarriedEnd.EXPIRED, len(records))
            log.note(
                "carried-expired",
                topic=self.name,
                keys=sorted(r.key for r in records)[:MAX_LOGGED_KEYS],
                count=len(records),
            )
            self.reader.apply_new(records)
            self._show_carried()

    def _count_ended(self, result: CarriedEnd, count: int) -> None:
        if count:
            labels = {"topic": self.name, "result": result.value}
            self.counters.carried_ends.add(labels, count)

    def _show_carried(self) -> None:
        count = len(self.content.carried.records)
        self.counters.carried.set({"topic": self.name}, count)

    def _answered(self, result: str) -> None:
        self._count(result)
        self.failures = 0
        self.note_answered(self.answered_at)

    def note_answered(self, at: Deadline) -> None:
        """Note that the store has answered a read of this host.

        Args:
            at: When it did, or did at the earliest. A large answer arrives much
                later.
        """
        self.read_at = at

    def note_read(self, page: TopicPage) -> None:
        """Note that the last answer had the records of a page."""
        is_news = self.read_at > self.complete_at + NEWS_SECONDS
        if not page.more:
            self.note_complete(page.position, self.read_at)
        if is_news:
            self.on_answer(self)

    def _failed(self, cause: str) -> None:
        self.failures += 1
        if self.reachable or self.failures == 1:
            log.note(
                "store-out-of-touch",
                topic=self.name,
                cause=cause,
                offset=self.content.next_offset,
                age=self.age_seconds(),
            )
        if self.reachable:
            self.reachable = False
            self.reader.note_unreachable()

    def age_seconds(self) -> float:
        """Return the time since the topic was last read; infinite if never."""
        if self.read_at is None:
            return math.inf
        return trio.current_time() - self.read_at

    def show(self) -> None:
        """Update the gauge."""
        if self.read_at is not None:
            self.counters.age.set({"topic": self.name}, self.age_seconds())
        seconds = trio.current_time() - self.complete_at
        if seconds < math.inf:
            self.counters.answer_age.set({"topic": self.name}, seconds)
        self.counters.behind.set({"topic": self.name}, self.backlog.seconds())

    def _deadline(self, wait: float) -> Deadline:
        now = trio.current_time()
        return Deadline(now + wait + self.limits.timeout_seconds)

    async def _wait_after_failure(self) -> None:
        """Wait until the store has to be called again.

        A host that the store refuses and that is told what others read calls
        it rarely. As soon as it isn't told any more, the usual pause counts.
        """
        failed_at = trio.current_time()
        pause = self._pause()
        told_pause = TOLD_PAUSE_SECONDS * self.random.uniform(0.75, 1.25)
        while True:
            longest = max(pause, told_pause) if self._is_told() else pause
            left = failed_at + longest - trio.current_time()
            if left <= 0:
                return
            await trio.sleep(min(left, CHECK_SECONDS))

    def _is_told(self) -> bool:
        """Return whether peers tell this host all that they read."""
        known = self.content.position is not None
        if not known or self.truncated or self.is_outdated:
            return False
        if self._reads_first() or self.is_urgent():
            # The others wait for it after the store has lost records, or no
            # host has a proof that its records are current.
            return False
        return self.readers.hears_reader(self.name)

    def _pause(self) -> float:
        doublings = min(self.failures - 1, MAX_BACKOFF_DOUBLINGS)
        if self.content.position is None:
            # A host without any records refuses all callers, so retry soon.
            doublings = 0
        pause = self.limits.retry_seconds * 2**doublings
        if self._reads_first():
            pause = min(pause, MAX_FIRST_READER_PAUSE_SECONDS)
        return pause * self.random.uniform(0.75, 1.25)

    def _count(self, result: str) -> None:
        self.counters.reads.inc({"topic": self.name, "result": result})


class TopicCurrency(Currency):
    """The currency of what a follower has read or was told.

    Attributes:
        follower: The follower of the topic.
        lateness: How late this host's event loop runs.
    """

    def __init__(self, follower: TopicFollower, lateness: Lateness):
        """Judge the records of `follower`."""
        self.follower = follower
        self.lateness = lateness

    @property
    def is_old(self) -> bool:
        """Return whether the records may be too old to be served by."""
        if self.follower.content.position is None or self._store_is_silent:
            return False
        age_seconds = trio.current_time() - self.follower.complete_at
        return age_seconds > MAX_SERVED_AGE_SECONDS

    @property
    def may_lack_routes(self) -> bool:
        """Return whether another host has more, or the records may be old."""
        return self.follower.backlog.since is not None or self.is_old

    @property
    def _store_is_silent(self) -> bool:
        """Return whether calls failed though this host took their replies.

        A late host may find a call's time over before it looks at the reply.
        """
        return self.follower.failures > 0 and not self.lateness.late
