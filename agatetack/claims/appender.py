"""Append entries to one claim stream in batches."""

import abc
import collections
import dataclasses
import math

import trio

from agatetack.claims import codec
from agatetack.claims.rate_limiter import AppendRateLimiter
from agatetack.generated.claims.ttypes import (
    Batch,
    Entry,
    EntryKind,
    Verdict,
    VerdictKind,
)
from agatetack.ids import Deadline, LogOffset, StreamId
from agatetack.metrics import Metrics
from agatetack.record_log.log import (
    Log,
    LogOutcomeUnknown,
    LogTooFast,
    LogUnavailable,
)
from agatetack.settings.model import Settings

MAX_APPENDS_IN_FLIGHT = 8
"""Most appends of one stream that await replies at the same time."""

RETRY_SECONDS = 0.1
"""Pause before the log is tried again after a failure."""

LAZY_KINDS = frozenset((EntryKind.DONE, EntryKind.KEEP))
"""Entries that no response to a caller depends on."""

MAX_LAZY_WAIT_SECONDS = 0.05
"""Longest time that such entries wait to be batched with others."""


@dataclasses.dataclass(slots=True)
class PendingAppend:
    """An entry that waits for its verdict.

    Attributes:
        entry: The entry to append.
        verdict: Its verdict, or None while undecided.
        settled: Set with the verdict.
        in_doubt: Whether it may be in the log, or may yet be appended.
        sending: Whether an append of it is in progress.
        queued: Whether it waits for the next append.
        waiters: Number of calls that wait for the verdict.
    """

    entry: Entry
    verdict: Verdict | None = None
    settled: trio.Event = dataclasses.field(default_factory=trio.Event)
    in_doubt: bool = False
    sending: bool = False
    queued: bool = False
    waiters: int = 0

    @property
    def is_wanted(self) -> bool:
        """Return whether a call still waits for a verdict."""
        return self.verdict is None and self.waiters > 0

    @property
    def maybe_sent(self) -> bool:
        """Return whether an append of it may have taken effect, or may yet."""
        return self.in_doubt or self.sending

    @property
    def lazy(self) -> bool:
        """Return whether no response to a caller depends on it."""
        return self.entry.kind in LAZY_KINDS

    def settle(self, verdict: Verdict) -> None:
        """Set the verdict and wake the waiters, unless it is set already."""
        if self.verdict is None:
            self.verdict = verdict
            self.settled.set()


class AppendListener(abc.ABC):
    """Receives the results of appends."""

    @abc.abstractmethod
    def on_appended(self, offset: LogOffset, payload: bytes) -> None:
        """Handle the append of `payload` at `offset`."""

    @abc.abstractmethod
    def on_log_failed(self) -> None:
        """Handle an append that the log refused or did not answer."""


class Appender:
    """Appends the entries of one stream.

    An append starts at once while the stream is idle. Under load the rate
    limit lets entries accumulate, and each append takes all that wait.
    """

    def __init__(
        self,
        stream: StreamId,
        settings: Settings,
        log: Log,
        metrics: Metrics,
        rate_limiter: AppendRateLimiter,
        listener: AppendListener,
    ):
        """Append to `stream` as `rate_limiter` allows; notify `listener`."""
        self.stream = stream
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self.rate_limiter = rate_limiter
        self.listener = listener
        self.urgent: collections.deque[PendingAppend] = collections.deque()
        self.lazy: collections.deque[PendingAppend] = collections.deque()
        self.lazy_due_at = math.inf
        self.queued_event = trio.Event()
        self.append_slots = trio.Semaphore(MAX_APPENDS_IN_FLIGHT)

    def put(self, pending: PendingAppend) -> None:
        """Queue `pending`, unless it is queued, being sent or settled."""
        if pending.queued or pending.sending or pending.verdict:
            return
        pending.queued = True
        if pending.lazy:
            self.lazy.append(pending)
            due = trio.current_time() + MAX_LAZY_WAIT_SECONDS
            self.lazy_due_at = min(self.lazy_due_at, due)
        else:
            self.urgent.append(pending)
        self.queued_event.set()

    async def run(self) -> None:
        """Append until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait_until_due()
                await self.append_slots.acquire()
                await self.rate_limiter.acquire()
                nursery.start_soon(self._append, self._next_batch())

    async def _wait_until_due(self) -> None:
        while not self.urgent and trio.current_time() < self.lazy_due_at:
            self.queued_event = trio.Event()
            with trio.move_on_at(self.lazy_due_at):
                await self.queued_event.wait()

    def _next_batch(self) -> list[PendingAppend]:
        batch: list[PendingAppend] = []
        for queue in (self.urgent, self.lazy):
            while queue and len(batch) < self.settings.claims.max_batch:
                pending = queue.popleft()
                pending.queued = False
                if pending.is_wanted:
                    pending.sending = True
                    batch.append(pending)
        if not self.lazy:
            self.lazy_due_at = math.inf
        return batch

    async def _append(self, batch: list[PendingAppend]) -> None:
        try:
            if batch:
                await self._append_batch(batch)
        finally:
            self.append_slots.release()

    async def _append_batch(self, batch: list[PendingAppend]) -> None:
        payload = codec.encode(Batch([pending.entry for pending in batch]))
        timeout = self.settings.platform.log.timeout_seconds
        deadline = Deadline(trio.current_time() + timeout)
        try:
            offset = await self.log.append(self.stream, payload, deadline)
        except LogTooFast as error:
            self._count("too-fast", batch)
            self._retry(batch, error.retry_at)
        except LogUnavailable:
            self._count("unavailable", batch)
            self._fail(batch)
        except LogOutcomeUnknown:
            self._count("in-doubt", batch)
            for pending in batch:
                pending.in_doubt = True
            self.listener.on_log_failed()
            self._retry(batch, self._retry_at())
        else:
            self._count("done", batch)
            for pending in batch:
                pending.in_doubt = True
                pending.sending = False
            self.listener.on_appended(offset, payload)

    def _fail(self, batch: list[PendingAppend]) -> None:
        """Fail claims that cannot be in the log; retry all other entries."""
        self.listener.on_log_failed()
        waiting = [pending for pending in self.urgent if pending.is_wanted]
        self.urgent.clear()
        retried = []
        for pending in batch + waiting:
            pending.sending = pending.queued = False
            if pending.in_doubt or pending.entry.kind != EntryKind.CLAIM:
                retried.append(pending)
            else:
                pending.settle(Verdict(VerdictKind.FAILED))
        self._retry(retried, self._retry_at())

    def _retry(self, batch: list[PendingAppend], at: Deadline) -> None:
        self.rate_limiter.pause_until(at)
        for pending in batch:
            pending.sending = False
            if pending.is_wanted:
                self.put(pending)

    def _retry_at(self) -> Deadline:
        return Deadline(trio.current_time() + RETRY_SECONDS)

    def _count(self, result: str, batch: list[PendingAppend]) -> None:
        self.metrics.appends.inc({"kind": "claims", "result": result})
        self.metrics.appended_records.add({"kind": "claims"}, len(batch))
