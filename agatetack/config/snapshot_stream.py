"""Read the stream of snapshots in the platform's log."""

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

READ_RECORDS = 16
"""Chunks asked for in one read; each may be as large as the log allows."""


async def read_snapshots(
    log: Log, start: LogOffset, clock: Clock, timeout_seconds: float
) -> LogPage:
    """Read one page of the snapshot stream, from the first record kept on.

    Args:
        log: The platform's log.
        start: The offset wanted; a later one if it is no longer kept.
        clock: Tells the time.
        timeout_seconds: Longest time for one read.

    Raises:
        LogError: The log could not be read.
    """
    while True:
        deadline = Deadline(clock.now() + timeout_seconds)
        try:
            return await log.read(
                SNAPSHOT_STREAM, start, deadline, max_records=READ_RECORDS
            )
        except LogTruncated as truncated:
            start = truncated.first


async def read_newest(
    log: Log, state: ConfigState, clock: Clock, timeout_seconds: float
) -> Fold | None:
    """Return the newest whole snapshot in the log, or None.

    Args:
        log: The platform's log.
        state: Where problems are counted.
        clock: Tells the time.
        timeout_seconds: Longest time for one read.

    Raises:
        LogError: The log could not be read.
    """
    reader = SnapshotReader()
    start = LogOffset(0)
    while True:
        page = await read_snapshots(log, start, clock, timeout_seconds)
        payloads = [record.payload for record in page.records]
        for problem in read_chunks(reader, payloads):
            state.problem(Problem.BAD_SNAPSHOT, "skipped a chunk: %s.", problem)
        if not page.records or page.records[-1].offset + 1 >= page.end:
            return await _load(reader, state)
        start = LogOffset(page.records[-1].offset + 1)


async def _load(reader: SnapshotReader, state: ConfigState) -> Fold | None:
    try:
        return await reader.load()
    except BadRecord as problem:
        state.problem(Problem.BAD_SNAPSHOT, "cannot use it: %s.", problem)
        return None
