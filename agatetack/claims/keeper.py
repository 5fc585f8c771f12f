"""Write held keys again before the log's retention drops their records."""

import trio

from agatetack.claims.fold import MS, KeyState, KeyTime
from agatetack.claims.partition import Partition
from agatetack.claims.router import Router
from agatetack.generated.claims.ttypes import Entry, EntryKind
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

PASS_SECONDS = 1.0
"""Pause between two looks for due keys."""

FIRST_SHARE = 0.5
"""Part of the retention after which the first host writes a key again."""

NEXT_SHARE = 0.05
"""Part of the retention by which each further host waits longer."""

LAST_PLACE = 6
"""Hosts from this place on wait equally long."""


class Keeper:
    """Writes undated keys again; dated ones expire before retention does.

    The steward of a partition comes first. Another host finds a key due only
    if those before it failed to write it; two that do so at once do no harm.
    """

    def __init__(self, settings: Settings, router: Router, metrics: Metrics):
        """Take this host's turn from `router`."""
        self.settings = settings
        self.router = router
        self.retention_ms = int(settings.platform.log.retention_seconds * MS)
        self.kept = metrics.counter(
            "agatetack_claims_kept_total", "Keys written again."
        )

    async def run(self, partition: Partition) -> None:
        """Write due keys again until cancelled."""
        while True:
            await trio.sleep(PASS_SECONDS)
            entries = self._due_entries(partition)
            if not entries or not partition.ready:
                continue
            timeout = self.settings.platform.log.timeout_seconds
            deadline = Deadline(trio.current_time() + timeout)
            # A key that is not settled stays in front and is due again.
            await partition.submit(entries, deadline)
            self.kept.add({}, len(entries))

    def _due_entries(self, partition: Partition) -> list[Entry]:
        place = min(self.router.place(partition.number), LAST_PLACE)
        wait_ms = self.retention_ms * (FIRST_SHARE + NEXT_SHARE * place)
        due_ms = partition.log_ms() - wait_ms
        written = partition.fold.written
        self._drop_outdated(partition)
        entries: list[Entry] = []
        for item in written:
            if item.at_ms > due_ms:
                break
            if len(entries) == self.settings.claims.max_batch:
                break
            if self._is_needed(partition, item):
                state = partition.fold.keys[item.key]
                entries.append(_keep_entry(item.key, state))
        return entries

    def _drop_outdated(self, partition: Partition) -> None:
        written = partition.fold.written
        while written and not self._is_needed(partition, written[0]):
            written.popleft()

    def _is_needed(self, partition: Partition, item: KeyTime) -> bool:
        """Return whether `item` is the key's newest record and matters."""
        state = partition.fold.keys.get(item.key)
        if state is None or state.attempt is None:
            return False
        dropped_ms = state.written_ms + self.retention_ms
        return (
            state.written_ms == item.at_ms
            and partition.fold.expires_ms(state) > dropped_ms
        )


def _keep_entry(key: bytes, state: KeyState) -> Entry:
    return Entry(
        kind=EntryKind.KEEP,
        key=key,
        attempt=state.attempt,
        fingerprint=state.fingerprint,
        status=state.status or None,
        dated=state.dated,
        until_ms=state.until_ms,
        claimed_ms=state.claimed_ms,
    )
