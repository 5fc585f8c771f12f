"""Re-append keys before the log's retention drops their records."""

import trio

from agatetack.claims.codec import DIGEST_BYTES
from agatetack.claims.done_keys import DoneKey
from agatetack.claims.fold import MS_PER_SECOND, KeyState, KeyWrite
from agatetack.claims.partition import Partition
from agatetack.claims.router import Router
from agatetack.generated.claims.ttypes import Entry, EntryKind
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

CHECK_PAUSE_SECONDS = 1.0
"""Pause between two checks for due keys."""

FIRST_HOST_WAIT_RATIO = 0.5
"""Share of the retention after which the first host re-appends a key."""

NEXT_HOST_WAIT_RATIO = 0.05
"""Share of the retention by which each further host waits longer."""

MAX_RANK = 6
"""Hosts from this rank on wait equally long."""


class Reappender:
    """Re-appends undated keys; dated keys expire before their retention ends.

    The coordinator of a partition comes first. Another host finds a key due
    only if those ranked before it failed to re-append it; two hosts that do
    so at once do no harm. A host that has just read to the end of the stream
    does not wait, as it can't know whether any host was running before.
    """

    def __init__(self, settings: Settings, router: Router, metrics: Metrics):
        """Take this host's rank from `router`."""
        self.settings = settings
        self.router = router
        self.retention_ms = int(
            settings.platform.log.retention_seconds * MS_PER_SECOND
        )
        self.reappended = metrics.counter(
            "agatetack_claims_kept_total", "Keys written again."
        )

    async def run(self, partition: Partition) -> None:
        """Re-append due keys until cancelled.

        Runs every second, and at once when the stream is read to its end
        after a gap.
        """
        rank = 0
        while True:
            resumed = partition.resumption.resumed
            if partition.ready:
                await self._reappend_due(partition, rank)
            with trio.move_on_after(CHECK_PAUSE_SECONDS) as pause:
                await resumed.wait()
            rank = 0
            if pause.cancelled_caught:
                rank = min(self.router.rank(partition.number), MAX_RANK)

    async def _reappend_due(self, partition: Partition, rank: int) -> None:
        """Re-append the keys that are due at the given rank, oldest first."""
        oldest = None
        entries = self._due_entries(partition, rank)
        # A key whose append failed stays first and is retried next time.
        while entries and entries[0].key != oldest:
            oldest = entries[0].key
            timeout = self.settings.platform.log.timeout_seconds
            deadline = Deadline(trio.current_time() + timeout)
            await partition.submit(entries, deadline)
            self.reappended.add({}, len(entries))
            entries = self._due_entries(partition, rank)

    def _due_entries(self, partition: Partition, rank: int) -> list[Entry]:
        wait_ms = self.retention_ms * (
            FIRST_HOST_WAIT_RATIO + NEXT_HOST_WAIT_RATIO * rank
        )
        due_ms = partition.log_time_ms() - wait_ms
        limit = self.settings.claims.max_batch
        entries = self._due_held(partition, due_ms)[:limit]
        return entries + self._due_done(partition, due_ms, limit - len(entries))

    def _due_done(
        self, partition: Partition, due_ms: float, limit: int
    ) -> list[Entry]:
        keep_ms = partition.fold.undated_keep_ms
        expires_ms = int(due_ms) + self.retention_ms
        due = partition.fold.done_undated.due(int(due_ms), expires_ms, limit)
        return [_keep_done_entry(done, keep_ms) for done in due]

    def _due_held(self, partition: Partition, due_ms: float) -> list[Entry]:
        self._drop_outdated(partition)
        entries: list[Entry] = []
        for write in partition.fold.held_writes:
            if write.at_ms > due_ms:
                break
            if self._is_needed(partition, write):
                state = partition.fold.keys[write.key]
                entries.append(keep_entry(write.key, state))
        return entries

    def _drop_outdated(self, partition: Partition) -> None:
        written = partition.fold.held_writes
        while written and not self._is_needed(partition, written[0]):
            written.popleft()

    def _is_needed(self, partition: Partition, write: KeyWrite) -> bool:
        """Return whether `write` is the key's newest record and needed."""
        state = partition.fold.keys.get(write.key)
        if state is None or state.holder is None:
            return False
        dropped_ms = state.written_ms + self.retention_ms
        return (
            state.written_ms == write.at_ms
            and partition.fold.expires_ms(state) > dropped_ms
        )


def keep_entry(key: bytes, state: KeyState) -> Entry:
    """Return the entry that re-appends a held key."""
    return Entry(
        kind=EntryKind.KEEP,
        key=key,
        attempt=state.holder or bytes(DIGEST_BYTES),
        fingerprint=state.fingerprint,
        dated=state.dated,
        until_ms=state.until_ms,
        claimed_ms=state.claimed_ms,
    )


def _keep_done_entry(done: DoneKey, keep_ms: int) -> Entry:
    """Return the entry that re-appends a done key, whichever attempt ran."""
    return Entry(
        kind=EntryKind.KEEP,
        key=done.key,
        attempt=done.key,
        fingerprint=done.fingerprint,
        status=done.status,
        dated=False,
        until_ms=0,
        claimed_ms=done.expires_ms - keep_ms,
    )
