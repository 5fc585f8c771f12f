"""Read the snapshot stream of the platform's log."""

from agatetack.clock import Clock
from agatetack.config.chunks import SnapshotReader, read_chunks
from agatetack.config.counters import Problem
from agatetack.config.fold import Fold
from agatetack.config.records import SNAPSHOT_STREAM, BadRecord
from agatetack.config.state import ConfigState
from agatetack.ids import Deadline, LogOffset
from agatetack.record_log.log import (
    Log,
    LogPage,
    LogTruncated,
)

MAX_READ_RECORDS = 16
"""Maximum number of chunks in one read; each may have the maximum record
size."""


async def read_snapshots(
    log: Log, start: LogOffset, clock: Clock, timeout_seconds: float
) -> LogPage:
    """Read one page of the snapshot stream.

    Args:
        log: The platform's log.
        start: The first offset to read; if the log no longer keeps it, the
            page begins at the first record that it still keeps.
        clock: The clock for the deadline of a read.
        timeout_seconds: Maximum time for one read.

    Raises:
        LogError: The log could not be read.
    """
    while True:
        deadline = Deadline(clock.now() + timeout_seconds)
        try:
            return await log.read(
                SNAPSHOT_STREAM, start, deadline, max_records=MAX_READ_RECORDS
            )
        except LogTruncated as truncated:
            start = truncated.first


async def read_newest(
    log: Log, state: ConfigState, clock: Clock, timeout_seconds: float
) -> Fold | None:
    """Return the fold of the newest complete snapshot in the log, or None.

    Args:
        log: The platform's log.
        state: Where problems are counted.
        clock: The clock for the deadline of a read.
        timeout_seconds: Maximum time for one read.

    Raises:
        LogError: The log could not be read.
    """
    reader = SnapshotReader()
    start = LogOffset(0)
    while True:
        page = await read_snapshots(log, start, clock, timeout_seconds)
        payloads = [record.payload for record in page.records]
        for problem in read_chunks(reader, payloads):
            state.report_problem(
                Problem.BAD_SNAPSHOT, "skipped a snapshot chunk: %s.", problem
            )
        if not page.records or page.records[-1].offset + 1 >= page.end:
            return await _load(reader, state)
        start = LogOffset(page.records[-1].offset + 1)


async def _load(reader: SnapshotReader, state: ConfigState) -> Fold | None:
    try:
        return await reader.load()
    except BadRecord as problem:
        state.report_problem(
            Problem.BAD_SNAPSHOT,
            "cannot load the newest snapshot: %s.",
            problem,
        )
        return None
