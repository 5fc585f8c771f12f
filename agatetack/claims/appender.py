"""Append entries to one claim stream in batches."""

import abc
import collections
import dataclasses
import math

import trio

from agatetack.claims import codec
from agatetack.claims.pace import Pace
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
"""Appends of one stream that wait for their reply at the same time."""

RETRY_SECONDS = 0.1
"""Pause before the log is tried again after it failed."""

LAZY_KINDS = frozenset((EntryKind.DONE, EntryKind.KEEP))
"""Entries that nobody's answer depends on."""

LAZY_SECONDS = 0.05
"""Longest time that such entries wait for others to ride with."""


@dataclasses.dataclass(slots=True)
class Pending:
    """An entry that somebody waits to see in the log.

    Attributes:
        entry: What is or may be appended.
        verdict: What became of it, or None while that is open.
        settled: Set with the verdict.
        in_doubt: Whether it may stand in the log, or may yet.
        sending: Whether an append of it is under way.
        queued: Whether it waits for the next append.
        waiters: How many calls wait for the verdict.
    """

    entry: Entry
    verdict: Verdict | None = None
    settled: trio.Event = dataclasses.field(default_factory=trio.Event)
    in_doubt: bool = False
    sending: bool = False
    queued: bool = False
    waiters: int = 0

    @property
    def wanted(self) -> bool:
        """Return whether somebody still waits for a verdict."""
        return self.verdict is None and self.waiters > 0

    @property
    def sent(self) -> bool:
        """Return whether an append of it may have had or have an effect."""
        return self.in_doubt or self.sending

    @property
    def lazy(self) -> bool:
        """Return whether no answer depends on it."""
        return self.entry.kind in LAZY_KINDS

    def settle(self, verdict: Verdict) -> None:
        """Give `verdict` to those who wait, once."""
        if self.verdict is None:
            self.verdict = verdict
            self.settled.set()


class AppendListener(abc.ABC):
    """Whatever wants to know how the appends go."""

    @abc.abstractmethod
    def on_appended(self, offset: LogOffset, payload: bytes) -> None:
        """Note that the log holds `payload` at `offset`."""

    @abc.abstractmethod
    def on_log_failed(self) -> None:
        """Note that the log did not answer or refused."""


class Appender:
    """The entries on their way into one stream.

    An append starts at once while the stream is idle. Under load the pace
    lets entries gather, and each append takes all that wait.
    """

    def __init__(
        self,
        stream: StreamId,
        settings: Settings,
        log: Log,
        metrics: Metrics,
        pace: Pace,
        listener: AppendListener,
    ):
        """Append to `stream` at `pace`, and tell `listener`."""
        self.stream = stream
        self.settings = settings
        self.log = log
        self.metrics = metrics
        self.pace = pace
        self.listener = listener
        self.urgent: collections.deque[Pending] = collections.deque()
        self.lazy: collections.deque[Pending] = collections.deque()
        self.lazy_at = math.inf
        self.work = trio.Event()
        self.slots = trio.Semaphore(MAX_APPENDS_IN_FLIGHT)

    def put(self, pending: Pending) -> None:
        """Queue `pending`, unless it is on its way already."""
        if pending.queued or pending.sending or pending.verdict:
            return
        pending.queued = True
        if pending.lazy:
            self.lazy.append(pending)
            due = trio.current_time() + LAZY_SECONDS
            self.lazy_at = min(self.lazy_at, due)
        else:
            self.urgent.append(pending)
        self.work.set()

    async def run(self) -> None:
        """Append until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._work_due()
                await self.slots.acquire()
                await self.pace.take()
                nursery.start_soon(self._append, self._next_batch())

    async def _work_due(self) -> None:
        while not self.urgent and trio.current_time() < self.lazy_at:
            self.work = trio.Event()
            with trio.move_on_at(self.lazy_at):
                await self.work.wait()

    def _next_batch(self) -> list[Pending]:
        batch: list[Pending] = []
        for queue in (self.urgent, self.lazy):
            while queue and len(batch) < self.settings.claims.max_batch:
                pending = queue.popleft()
                pending.queued = False
                if pending.wanted:
                    pending.sending = True
                    batch.append(pending)
        if not self.lazy:
            self.lazy_at = math.inf
        return batch

    async def _append(self, batch: list[Pending]) -> None:
        try:
            if batch:
                await self._append_batch(batch)
        finally:
            self.slots.release()

    async def _append_batch(self, batch: list[Pending]) -> None:
        payload = codec.encode(Batch([pending.entry for pending in batch]))
        timeout = self.settings.platform.log.timeout_seconds
        deadline = Deadline(trio.current_time() + timeout)
        try:
            offset = await self.log.append(self.stream, payload, deadline)
        except LogTooFast as error:
            self._count("too-fast", batch)
            self._again(batch, error.retry_at)
        except LogUnavailable:
            self._count("unavailable", batch)
            self._fail(batch)
        except LogOutcomeUnknown:
            self._count("in-doubt", batch)
            for pending in batch:
                pending.in_doubt = True
            self.listener.on_log_failed()
            self._again(batch, self._retry_at())
        else:
            self._count("done", batch)
            for pending in batch:
                pending.in_doubt = True
                pending.sending = False
            self.listener.on_appended(offset, payload)

    def _fail(self, batch: list[Pending]) -> None:
        """Refuse at once what waits for an answer; try the rest again."""
        self.listener.on_log_failed()
        waiting = [pending for pending in self.urgent if pending.wanted]
        self.urgent.clear()
        again = []
        for pending in batch + waiting:
            pending.sending = pending.queued = False
            if pending.in_doubt or pending.entry.kind != EntryKind.CLAIM:
                again.append(pending)
            else:
                pending.settle(Verdict(VerdictKind.FAILED))
        self._again(again, self._retry_at())

    def _again(self, batch: list[Pending], at: Deadline) -> None:
        self.pace.hold(at)
        for pending in batch:
            pending.sending = False
            if pending.wanted:
                self.put(pending)

    def _retry_at(self) -> Deadline:
        return Deadline(trio.current_time() + RETRY_SECONDS)

    def _count(self, result: str, batch: list[Pending]) -> None:
        self.metrics.appends.inc({"kind": "claims", "result": result})
        self.metrics.appended_records.add({"kind": "claims"}, len(batch))
