"""Send entries in batches to the host that appends for a partition."""

import collections
import dataclasses

import trio

from agatetack.claims import codec
from agatetack.claims.appender import LAZY_KINDS, MAX_LAZY_WAIT_SECONDS
from agatetack.claims.background import BackgroundTasks
from agatetack.generated.claims.ttypes import (
    Call,
    Entry,
    Reply,
    Submission,
    Verdict,
)
from agatetack.ids import Deadline, HostId
from agatetack.peers.exchange import Exchange, PeerUnreachable, Topic
from agatetack.settings.model import Settings

MAX_CALLS = 8
"""Most calls to one coordinator that await replies at the same time."""

REPLY_TIME_RATIO = 0.8
"""Share of a call's timeout within which the coordinator must reply."""

MS_PER_SECOND = 1000
"""Milliseconds in a second."""


@dataclasses.dataclass(slots=True)
class PendingEntry:
    """An entry that is sent to a coordinator.

    Attributes:
        entry: The entry to append.
        verdict: The coordinator's verdict, or None if it did not answer.
        returned: Set when the call has ended.
        wanted: Whether a call of `send` still waits for it.
    """

    entry: Entry
    verdict: Verdict | None = None
    returned: trio.Event = dataclasses.field(default_factory=trio.Event)
    wanted: bool = True


class CoordinatorClient:
    """Calls one coordinator about one partition.

    A call starts at once while fewer than `MAX_CALLS` are in progress;
    otherwise entries accumulate for the next one.
    """

    def __init__(
        self,
        settings: Settings,
        exchange: Exchange,
        background: BackgroundTasks,
        coordinator: HostId,
        partition: int,
    ):
        """Call the host `coordinator`; calls run in `background`."""
        self.settings = settings
        self.exchange = exchange
        self.background = background
        self.coordinator = coordinator
        self.partition = partition
        self.queue: collections.deque[PendingEntry] = collections.deque()
        self.calls = 0
        self.lazy_due = False

    async def send(self, entry: Entry) -> Verdict | None:
        """Return the coordinator's verdict, or None if it did not answer."""
        pending = PendingEntry(entry)
        self.queue.append(pending)
        if entry.kind in LAZY_KINDS:
            self._start_later()
        else:
            self._start()
        try:
            await pending.returned.wait()
        finally:
            pending.wanted = False
        return pending.verdict

    def _start(self) -> None:
        if self.calls < MAX_CALLS:
            self.calls += 1
            self.background.start(self._call_while_queued)

    def _start_later(self) -> None:
        """Delay entries that no response depends on, to batch them."""
        if not self.lazy_due:
            self.lazy_due = True
            self.background.start(self._start_lazy)

    async def _start_lazy(self) -> None:
        await trio.sleep(MAX_LAZY_WAIT_SECONDS)
        self.lazy_due = False
        if self.queue:
            self._start()

    async def _call_while_queued(self) -> None:
        try:
            while self.queue:
                await self._call()
        finally:
            self.calls -= 1

    async def _call(self) -> None:
        batch = self._next_batch()
        if not batch:
            return
        timeout = self.settings.claims.steward_timeout_seconds
        call = Call(
            submission=Submission(
                partition=self.partition,
                entries=[pending.entry for pending in batch],
                time_left_ms=int(timeout * REPLY_TIME_RATIO * MS_PER_SECOND),
            )
        )
        deadline = Deadline(trio.current_time() + timeout)
        try:
            payload = await self.exchange.call(
                self.coordinator,
                Topic.CLAIM_BATCH,
                codec.encode(call),
                deadline,
            )
            verdicts = codec.decode(Reply, payload).verdicts
            codec.check_verdicts(verdicts, len(batch))
        except (PeerUnreachable, codec.BadMessage):
            verdicts = [None] * len(batch)
        for pending, verdict in zip(batch, verdicts, strict=True):
            pending.verdict = verdict
            pending.returned.set()

    def _next_batch(self) -> list[PendingEntry]:
        batch: list[PendingEntry] = []
        while self.queue and len(batch) < self.settings.claims.max_batch:
            pending = self.queue.popleft()
            if pending.wanted:
                batch.append(pending)
        return batch
