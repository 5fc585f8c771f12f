"""Follow the configuration stream of the platform's log."""

import random

import trio

from agatetack.clock import Clock
from agatetack.config.counters import Problem
from agatetack.config.records import CONFIG_STREAM
from agatetack.config.snapshot_stream import read_newest
from agatetack.config.state import Batch, ConfigState, Source
from agatetack.ids import Deadline, LogOffset
from agatetack.peers.exchange import Exchange
from agatetack.record_log.log import Log, LogError, LogPage, LogTruncated
from agatetack.settings.model import Settings

MAX_READ_INTERVAL_SECONDS = 3.5
"""Maximum interval between reads, including the wait for a record. Jitter makes
the pause up to a quarter longer. A host without messages from peers still gets
each change within 5 s."""


class LogTail:
    """One host's reader of the configuration stream.

    Attributes:
        outage: Whether the last read failed; an outage is logged once, but
            each failure is counted.
        end: The end of the log at the last read.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log,
        exchange: Exchange,
        state: ConfigState,
        clock: Clock,
    ):
        """Read `log` into `state`; `exchange` provides the number of hosts."""
        self.settings = settings.platform.log
        self.config = settings.config
        self.exchange = exchange
        self.log = log
        self.state = state
        self.clock = clock
        self.outage = False
        self.end = LogOffset(0)

    async def run(self) -> None:
        """Load the newest snapshot, then follow the stream until cancelled."""
        await self._load_snapshot()
        while True:
            try:
                if await self.read(self._wait_seconds()):
                    await self._pause_between_reads()
                else:
                    await self._pause_before_retry()
            except LogTruncated as truncated:
                self.state.report_problem(
                    Problem.LOG_TRUNCATED,
                    "the log no longer has records before offset %d;"
                    " looking for a snapshot.",
                    truncated.first,
                )
                if not await self._load_snapshot():
                    self.state.report_problem(
                        Problem.NO_SNAPSHOT, "the log has no newer snapshot."
                    )
                    await self._pause_before_retry()
            except LogError as error:
                self._begin_outage(error)
                await self._pause_before_retry()

    def _wait_seconds(self) -> float:
        # Before this host is ready, a read has to return at once if there is
        # no newer record, as this shows that the host has reached the end.
        return self.settings.poll_seconds if self.state.ready else 0.0

    async def read(self, wait_seconds: float) -> bool:
        """Fold the records in the log after this host's version.

        Args:
            wait_seconds: How long to wait for a record if there is none.

        Returns:
            False if the log ends before this host's version, or returned no
            record although it has newer ones; else True.

        Raises:
            LogError: The log could not be read from this version on.
        """
        until = Deadline(self.clock.now() + wait_seconds)
        start = LogOffset(self.state.fold.version + 1)
        page = await self.log.read(
            CONFIG_STREAM,
            start,
            Deadline(until + self.settings.timeout_seconds),
            wait_until=until,
        )
        self._end_outage()
        self.end = page.end
        if page.records:
            await self._fold_page(page)
        if self.state.fold.version + 1 < page.end:
            return bool(page.records)
        if start > page.end:
            # This host's records were read from the log, which has lost them.
            self.state.report_problem(
                Problem.LOG_BEHIND,
                "the log ends at offset %d, before this host's version.",
                page.end,
            )
            return False
        self.state.mark_ready()
        self.state.counters.set_confirmed(self.clock.wall())
        return True

    async def read_to_end(self) -> None:
        """Fold all records that are in the log now.

        Raises:
            LogError: The log could not be read.
        """
        while await self.read(0.0):
            if self.state.fold.version + 1 >= self.end:
                return

    async def _fold_page(self, page: LogPage) -> None:
        first = page.records[0].offset
        payloads = [record.payload for record in page.records]
        await self.state.fold_in_parts(Batch(first, payloads), Source.LOG)

    async def _load_snapshot(self) -> bool:
        try:
            fold = await read_newest(
                self.log,
                self.state,
                self.clock,
                self.settings.timeout_seconds,
            )
        except LogError as error:
            self._begin_outage(error)
            return False
        return fold is not None and self.state.load(fold, Source.LOG)

    def _begin_outage(self, error: LogError) -> None:
        self.state.counters.count_problem(Problem.LOG_UNAVAILABLE)
        if not self.outage:
            self.state.log.warning("cannot read the log: %s.", error)
        self.outage = True

    def _end_outage(self) -> None:
        if self.outage:
            self.state.log.info("can read the log again.")
        self.outage = False

    async def _pause_between_reads(self) -> None:
        # In a large fleet each host reads less often; between its reads it
        # receives the records that its peers have read.
        interval = self.exchange.fleet_size() / self.config.log_reads_per_second
        pause = (
            min(interval, MAX_READ_INTERVAL_SECONDS)
            - self.settings.poll_seconds
        )
        if pause > 0:
            await trio.sleep(pause * random.uniform(0.75, 1.25))

    async def _pause_before_retry(self) -> None:
        # Jitter, so that hosts that failed together do not retry together.
        await trio.sleep(self.settings.retry_seconds * random.uniform(0.3, 1))
