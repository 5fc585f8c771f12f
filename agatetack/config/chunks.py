"""Split snapshots into chunks and reassemble them."""

import dataclasses
import uuid
from collections.abc import Sequence

from agatetack.config.change import NO_VERSION
from agatetack.config.fold import Fold
from agatetack.config.records import (
    RECORD_FORMAT,
    BadRecord,
    checksum,
    decode,
)
from agatetack.config.snapshot import decode_snapshot
from agatetack.generated.config import ttypes as wire
from agatetack.ids import LogOffset

CHUNK_OVERHEAD_BYTES = 128
"""Bytes reserved for the fields of a chunk other than its data."""

MAX_CHUNKS = 1024
"""Maximum number of chunks of one snapshot."""

MAX_PARTIAL_SNAPSHOTS = 4
"""Maximum number of incomplete snapshots held at once; there may be several, as
the chunks of concurrent writers may interleave."""


def split_snapshot(
    content: bytes, version: LogOffset, max_bytes: int
) -> list[wire.SnapshotChunk]:
    """Split a snapshot into chunks that share a new snapshot id.

    Args:
        content: The compressed snapshot.
        version: The last offset folded into it.
        max_bytes: Maximum size of an encoded chunk.
    """
    max_data_bytes = max(1, max_bytes - CHUNK_OVERHEAD_BYTES)
    parts = [
        content[at : at + max_data_bytes]
        for at in range(0, len(content), max_data_bytes)
    ]
    snapshot_id = uuid.uuid4().hex
    digest = checksum(content)
    return [
        wire.SnapshotChunk(
            format=RECORD_FORMAT,
            snapshot_id=snapshot_id,
            version=version,
            index=index,
            count=len(parts),
            checksum=digest,
            data=part,
        )
        for index, part in enumerate(parts)
    ]


def decode_chunk(payload: bytes) -> wire.SnapshotChunk:
    """Decode the chunk in a record.

    Raises:
        BadRecord: The record is not a chunk in the supported format.
    """
    chunk = decode(wire.SnapshotChunk(), payload)
    check_chunk(chunk)
    return chunk


def check_chunk(chunk: wire.SnapshotChunk) -> None:
    """Raise BadRecord if a field of a chunk is out of range."""
    if chunk.format != RECORD_FORMAT:
        raise BadRecord(f"format {chunk.format} is not supported")
    if not 0 <= chunk.index < chunk.count <= MAX_CHUNKS:
        raise BadRecord(f"chunk {chunk.index} of {chunk.count} is out of range")
    if chunk.version < 0:
        raise BadRecord(f"version {chunk.version} is negative")


@dataclasses.dataclass(slots=True)
class PartialSnapshot:
    """The chunks of one snapshot received so far.

    Attributes:
        version: The last offset folded into it.
        count: Number of chunks of the complete snapshot.
        parts: Data of the received chunks by index.
    """

    version: LogOffset
    count: int
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)

    @property
    def complete(self) -> bool:
        """Return whether all chunks were received."""
        return len(self.parts) == self.count


class SnapshotReader:
    """Reassemble snapshots from chunks that arrive in any order.

    Attributes:
        newest: The newest complete snapshot, compressed, or None.
        version: The last offset folded into it, or NO_VERSION.
        partial: Incomplete snapshots by id.
    """

    def __init__(self) -> None:
        """Start with no chunk."""
        self.newest: bytes | None = None
        self.version = NO_VERSION
        self.partial: dict[str, PartialSnapshot] = {}

    def add(self, chunk: wire.SnapshotChunk) -> None:
        """Add a chunk, and keep the snapshot that it completes if newer.

        Raises:
            BadRecord: The checksum of the completed snapshot does not match.
        """
        if chunk.version <= self.version:
            return
        partial = self.partial.setdefault(
            chunk.snapshot_id,
            PartialSnapshot(LogOffset(chunk.version), chunk.count),
        )
        partial.parts[chunk.index] = chunk.data
        if partial.complete:
            del self.partial[chunk.snapshot_id]
            self._finish(partial, chunk.checksum)
        self._drop_oldest()

    def _finish(self, partial: PartialSnapshot, digest: int) -> None:
        content = b"".join(
            partial.parts[index] for index in sorted(partial.parts)
        )
        if checksum(content) != digest:
            raise BadRecord("the checksum of a snapshot does not match")
        self.newest = content
        self.version = partial.version

    async def load(self) -> Fold | None:
        """Return the fold of the newest complete snapshot, or None.

        Raises:
            BadRecord: The snapshot cannot be decoded, or its version is not
                that of its chunks.
        """
        if self.newest is None:
            return None
        fold = await decode_snapshot(self.newest)
        if fold.version != self.version:
            raise BadRecord("the version of a snapshot is not its chunks'")
        return fold

    def _drop_oldest(self) -> None:
        while len(self.partial) > MAX_PARTIAL_SNAPSHOTS:
            oldest = min(self.partial, key=lambda id: self.partial[id].version)
            del self.partial[oldest]


def read_chunks(
    reader: SnapshotReader, payloads: Sequence[bytes]
) -> list[BadRecord]:
    """Add records of the snapshot stream to `reader`; return the errors."""
    problems = []
    for payload in payloads:
        try:
            reader.add(decode_chunk(payload))
        except BadRecord as problem:
            problems.append(problem)
    return problems
