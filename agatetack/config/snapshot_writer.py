"""Write snapshots so that the platform's log always has a recent one."""

import dataclasses
import random

import trio

from agatetack.clock import Clock
from agatetack.config.change import NO_VERSION
from agatetack.config.chunks import (
    MAX_PARTIAL_SNAPSHOTS,
    decode_chunk,
    split_snapshot,
)
from agatetack.config.counters import Problem
from agatetack.config.records import SNAPSHOT_STREAM, BadRecord, encode
from agatetack.config.snapshot import encode_snapshot
from agatetack.config.snapshot_stream import read_snapshots
from agatetack.config.state import ConfigState
from agatetack.ids import Deadline, LogOffset, WallTime
from agatetack.record_log.log import (
    Log,
    LogError,
    LogOutcomeUnknown,
    LogRecord,
    LogTooFast,
)
from agatetack.settings.model import Settings

MAX_APPEND_ATTEMPTS = 5
"""Maximum number of appends of one chunk before the snapshot is abandoned until
the next check."""

MAX_STAGGER_RATIO = 0.05
"""Maximum wait before a host writes a new snapshot, as a share of the time left
until the log drops the current one. Without this limit, hosts that start
shortly before that time would wait past it."""

MIN_STAGGER_LIMIT_SECONDS = 0.05
"""The limit on that wait is never below this, however little time is left."""


@dataclasses.dataclass(slots=True)
class SeenSnapshot:
    """A complete snapshot in the log, without its data.

    Attributes:
        version: The last offset folded into it.
        due_at: When a new snapshot has to replace it.
        dropped_at: When its retention in the log ends.
    """

    version: LogOffset
    due_at: Deadline
    dropped_at: Deadline


class SnapshotWriter:
    """Keeps a recent complete snapshot in the log, together with other hosts.

    The first host that finds a new snapshot due writes it. If two write at the
    same time, this is harmless: each snapshot has its own id and contains a
    state, not a change.

    Attributes:
        newest: The newest complete snapshot seen, or None.
        missing_chunks: Indexes of unseen chunks, by incomplete snapshot.
        next_offset: The next offset of the snapshot stream to read.
    """

    def __init__(
        self, settings: Settings, log: Log, state: ConfigState, clock: Clock
    ):
        """Write snapshots of `state` to `log`."""
        self.settings = settings.config
        self.log_settings = settings.platform.log
        self.log = log
        self.state = state
        self.clock = clock
        self.newest: SeenSnapshot | None = None
        self.missing_chunks: dict[str, set[int]] = {}
        self.next_offset = LogOffset(0)

    @property
    def max_age_seconds(self) -> float:
        """Return the age at which a new snapshot has to replace one."""
        return (
            self.log_settings.retention_seconds
            * self.settings.snapshot_age_ratio
        )

    async def run(self) -> None:
        """Write snapshots when due, once `state` is ready, until cancelled."""
        while not self.state.ready:
            await self.state.changed.wait()
        while True:
            try:
                await self._read_stream()
                if self._due():
                    await trio.sleep(self._stagger())
                    await self._read_stream()
                if self._due():
                    await self._write()
            except LogError as error:
                self.state.report_problem(
                    Problem.SNAPSHOT_FAILED,
                    "could not write a snapshot: %s.",
                    error,
                )
            await trio.sleep(self._stagger())

    def _stagger(self) -> float:
        """Return a random wait in seconds, to let another host write first."""
        limit = min(
            self.settings.snapshot_stagger_seconds, self.max_age_seconds / 4
        )
        if self.newest is not None:
            seconds_left = max(0.0, self.newest.dropped_at - self.clock.now())
            limit = min(
                limit,
                max(
                    seconds_left * MAX_STAGGER_RATIO, MIN_STAGGER_LIMIT_SECONDS
                ),
            )
        return random.uniform(0, limit)

    def _due(self) -> bool:
        if not self.state.ready or self.state.fold.version == NO_VERSION:
            return False
        if self.newest is None:
            return True
        if self.clock.now() >= self.newest.due_at:
            # A host that is behind the snapshot lets the others write it.
            return self._records_behind() >= 0
        return self._records_behind() >= self.settings.snapshot_records

    def _records_behind(self) -> int:
        return self.state.fold.version - self.newest.version

    async def _read_stream(self) -> None:
        while True:
            page = await read_snapshots(
                self.log,
                self.next_offset,
                self.clock,
                self.log_settings.timeout_seconds,
            )
            for record in page.records:
                self._track_chunk(record)
            if page.records:
                self.next_offset = LogOffset(page.records[-1].offset + 1)
            if self.next_offset >= page.end or not page.records:
                return

    def _track_chunk(self, record: LogRecord) -> None:
        try:
            chunk = decode_chunk(record.payload)
        except BadRecord:
            self.state.counters.count_problem(Problem.BAD_SNAPSHOT)
            return
        if len(self.missing_chunks) > MAX_PARTIAL_SNAPSHOTS:
            del self.missing_chunks[next(iter(self.missing_chunks))]
        missing_chunks = self.missing_chunks.setdefault(
            chunk.snapshot_id, set(range(chunk.count))
        )
        missing_chunks.discard(chunk.index)
        if missing_chunks:
            return
        del self.missing_chunks[chunk.snapshot_id]
        if self.newest is None or chunk.version >= self.newest.version:
            # Older incomplete snapshots are no longer needed.
            self.missing_chunks.clear()
            self.newest = self._seen_snapshot(chunk.version, record.appended_at)

    def _seen_snapshot(
        self, version: int, appended_at: WallTime
    ) -> SeenSnapshot:
        # Reads the wall clock only once, so its later jumps have no effect.
        age = max(self.clock.wall() - appended_at, 0.0)
        append_time = self.clock.now() - min(
            age, self.log_settings.retention_seconds
        )
        return SeenSnapshot(
            LogOffset(version),
            Deadline(append_time + self.max_age_seconds),
            Deadline(append_time + self.log_settings.retention_seconds),
        )

    async def _write(self) -> None:
        fold = self.state.fold
        version = fold.version
        content = await encode_snapshot(fold)
        chunks = split_snapshot(
            content, version, self.log_settings.max_record_bytes
        )
        for chunk in chunks:
            await self._append(encode(chunk))
        self.state.counters.count_written()
        self.state.log.info(
            "wrote a snapshot of version %d in %d chunks, %d bytes.",
            version,
            len(chunks),
            len(content),
        )

    async def _append(self, payload: bytes) -> None:
        for _ in range(MAX_APPEND_ATTEMPTS):
            now = self.clock.now()
            deadline = Deadline(now + self.log_settings.timeout_seconds)
            try:
                await self.log.append(SNAPSHOT_STREAM, payload, deadline)
            except LogTooFast as too_fast:
                await trio.sleep_until(too_fast.retry_at)
            except LogOutcomeUnknown:
                # Appends it again, as a second copy of a chunk is harmless.
                continue
            else:
                return
        raise LogError("a snapshot chunk could not be appended")
