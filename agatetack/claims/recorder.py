"""Record outcomes and releases, with retries through log outages."""

import trio

from agatetack.claims.background import BackgroundTasks
from agatetack.claims.partition import Partition
from agatetack.claims.router import Router
from agatetack.generated.claims.ttypes import Entry, VerdictKind
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings

MAX_OPEN_ENTRIES = 20_000
"""Most entries of this host that may wait for the log."""

RETRY_SECONDS = 0.2
"""Pause before an entry is submitted again."""

UNSETTLED_VERDICTS = frozenset(
    (VerdictKind.FAILED, VerdictKind.IN_DOUBT, VerdictKind.NOT_READY)
)
"""Verdicts that do not show whether the entry is in the log."""


class Recorder:
    """Appends entries that no request waits for, with retries.

    Attributes:
        open_entries: Number of entries that are not in the log yet.
    """

    def __init__(
        self,
        settings: Settings,
        router: Router,
        metrics: Metrics,
        background: BackgroundTasks,
    ):
        """Append through `router`."""
        self.settings = settings
        self.router = router
        self.open_entries = 0
        self.background = background
        self.dropped = metrics.counter(
            "agatetack_claims_unrecorded_total",
            "Outcomes and releases that were given up, by reason.",
        )

    def record(self, partition: Partition, entry: Entry) -> None:
        """Append `entry` in the background, retrying while its key is kept."""
        if self.open_entries >= MAX_OPEN_ENTRIES:
            self.dropped.inc({"reason": "too-many"})
        elif self.background.start(self._record, partition, entry):
            self.open_entries += 1
        else:
            self.dropped.inc({"reason": "stopped"})

    async def flush(self, deadline: Deadline) -> bool:
        """Wait until all entries are in the log; return whether they are."""
        while self.open_entries and trio.current_time() < deadline:
            await trio.sleep(RETRY_SECONDS / 10)
        return self.open_entries == 0

    async def _record(self, partition: Partition, entry: Entry) -> None:
        window = self.settings.claims.key_window_seconds
        deadline = Deadline(trio.current_time() + window)
        try:
            while trio.current_time() < deadline:
                verdict = await self.router.submit(partition, entry, deadline)
                if verdict.kind not in UNSETTLED_VERDICTS:
                    return
                await trio.sleep(RETRY_SECONDS)
            self.dropped.inc({"reason": "too-old"})
        finally:
            self.open_entries -= 1
