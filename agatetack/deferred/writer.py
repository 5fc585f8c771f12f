"""Append entries to streams in batches, within this host's append rate."""

import collections
import dataclasses
import enum
from collections.abc import Callable

import trio

from agatetack.clock import Clock
from agatetack.deferred.records import (
    ENTRY_OVERHEAD_BYTES,
    encode_batch,
    size_of,
)
from agatetack.generated.deferred.ttypes import Entry
from agatetack.ids import Deadline, StreamId
from agatetack.metrics import Metrics
from agatetack.record_log.log import (
    Log,
    LogOutcomeUnknown,
    LogTooFast,
    LogUnavailable,
)
from agatetack.settings.model import Settings

STREAM_KIND = "deferred"
"""The label of these streams in the log's metrics."""

MAX_BATCH_ENTRIES = 50
"""Most entries in one record; decoding more would delay the fast routes."""

COPY_OVERHEAD_BYTES = 512
"""Upper bound on the bytes that hold and origin add to a re-appended entry."""

MIN_PAUSE_SECONDS = 0.001


class AppendOutcome(enum.Enum):
    """The outcome of appending an entry."""

    LANDED = "landed"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NEEDLESS = "needless"


@dataclasses.dataclass(slots=True, eq=False)
class PendingEntry:
    """An entry that is queued or being appended.

    Attributes:
        entry: The entry.
        size: An upper bound on the bytes it takes in a record.
        needed: Called shortly before the append; if it returns False, the
            entry is skipped.
        done: Set once the append has ended.
        outcome: The outcome, once the append has ended.
    """

    entry: Entry
    size: int
    needed: Callable[[], bool]
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    outcome: AppendOutcome | None = None


class AppendRateLimiter:
    """Limits the rate of a host's appends, summed over all partitions."""

    def __init__(self, settings: Settings, clock: Clock):
        """Allow the share `deferred.append_ratio` of the host's append rate."""
        self.clock = clock
        self.burst = float(settings.deferred.append_burst)
        self.per_second = (
            settings.deferred.append_ratio
            * settings.platform.log.appends_per_second
        )
        self.tokens = self.burst
        self.filled_at: Deadline | None = None

    async def acquire(self) -> None:
        """Wait until one more append is allowed."""
        while True:
            now = self.clock.now()
            if self.filled_at is not None:
                refilled = (now - self.filled_at) * self.per_second
                self.tokens = min(self.burst, self.tokens + refilled)
            self.filled_at = now
            if self.tokens >= 1:
                self.tokens -= 1
                return
            # Rounding can leave a tiny fraction of a token missing; a minimum
            # pause keeps that from becoming a busy loop.
            missing = (1 - self.tokens) / self.per_second
            await trio.sleep(max(missing, MIN_PAUSE_SECONDS))


class Writer:
    """Appends entries to one stream, one append at a time."""

    def __init__(
        self,
        settings: Settings,
        log: Log,
        stream: StreamId,
        rate_limiter: AppendRateLimiter,
        metrics: Metrics,
        clock: Clock,
    ):
        """Write to `stream`; nothing is appended before `run`."""
        self.settings = settings
        self.log = log
        self.stream = stream
        self.rate_limiter = rate_limiter
        self.metrics = metrics
        self.clock = clock
        self.queue: collections.deque[PendingEntry] = collections.deque()
        self.wake = trio.Event()

    def fits(self, entry: Entry) -> bool:
        """Return whether an entry, also when re-appended, fits one record."""
        limit = self.settings.platform.log.max_record_bytes
        return (
            size_of(entry) + ENTRY_OVERHEAD_BYTES + COPY_OVERHEAD_BYTES <= limit
        )

    def enqueue(
        self, entry: Entry, needed: Callable[[], bool] = lambda: True
    ) -> PendingEntry:
        """Queue an entry that fits; the caller waits for its `done`."""
        pending = PendingEntry(entry, size_of(entry), needed)
        self.queue.append(pending)
        self.wake.set()
        return pending

    def withdraw(self, pending: PendingEntry) -> bool:
        """Remove an entry from the queue if it is still there.

        Returns:
            Whether the entry is certain never to be appended.
        """
        if pending not in self.queue:
            return pending.outcome is AppendOutcome.REFUSED
        self.queue.remove(pending)
        return True

    async def write(self, entry: Entry) -> AppendOutcome:
        """Append an entry and return the outcome."""
        pending = self.enqueue(entry)
        try:
            await pending.done.wait()
        finally:
            self.withdraw(pending)
        return pending.outcome or AppendOutcome.UNKNOWN

    async def run(self) -> None:
        """Append queued entries until cancelled."""
        while True:
            if not self.queue:
                self.wake = trio.Event()
                await self.wake.wait()
            # Wait briefly, so that entries queued together share an append.
            await trio.sleep(self.settings.deferred.append_interval_seconds)
            await self.rate_limiter.acquire()
            batch = self._take_batch()
            if batch:
                await self._append(batch)

    def _take_batch(self) -> list[PendingEntry]:
        free_bytes = (
            self.settings.platform.log.max_record_bytes - ENTRY_OVERHEAD_BYTES
        )
        batch: list[PendingEntry] = []
        while self.queue and len(batch) < MAX_BATCH_ENTRIES:
            if not self.queue[0].needed():
                self._complete(self.queue.popleft(), AppendOutcome.NEEDLESS)
                continue
            free_bytes -= self.queue[0].size
            # An entry too large for any record is sent alone and refused.
            if free_bytes < 0 and batch:
                break
            batch.append(self.queue.popleft())
        return batch

    async def _append(self, batch: list[PendingEntry]) -> None:
        payload = encode_batch([pending.entry for pending in batch])
        seconds = self.settings.platform.log.timeout_seconds
        deadline = Deadline(self.clock.now() + seconds)
        try:
            await self.log.append(self.stream, payload, deadline)
        except LogTooFast as error:
            self._count("too-fast", 0)
            # The append had no effect, so requeue the entries in order.
            self.queue.extendleft(reversed(batch))
            await trio.sleep_until(error.retry_at)
            return
        except LogUnavailable:
            outcome = AppendOutcome.REFUSED
        except LogOutcomeUnknown:
            outcome = AppendOutcome.UNKNOWN
        else:
            outcome = AppendOutcome.LANDED
        self._count(outcome.value, len(batch))
        for pending in batch:
            self._complete(pending, outcome)

    def _complete(self, pending: PendingEntry, outcome: AppendOutcome) -> None:
        pending.outcome = outcome
        pending.done.set()

    def _count(self, result: str, records: int) -> None:
        self.metrics.appends.inc({"kind": STREAM_KIND, "result": result})
        if records:
            self.metrics.appended_records.add({"kind": STREAM_KIND}, records)
