"""Serve the records or the snapshot that peers are missing."""

import dataclasses

from agatetack.config.chunks import split_snapshot
from agatetack.config.snapshot import encode_snapshot
from agatetack.config.state import ConfigState
from agatetack.generated.config import ttypes as wire
from agatetack.ids import LogOffset

MAX_BATCH_BYTES = 8 * 1024
"""Maximum size of the records in one reply; peer traffic has a byte budget."""

MAX_SNAPSHOT_CHUNK_BYTES = 8 * 1024
"""Maximum size of a snapshot chunk in one reply to a peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServedSnapshot:
    """A snapshot split into chunks, kept while peers fetch it.

    Attributes:
        version: The last offset folded into it.
        chunks: Its chunks.
    """

    version: LogOffset
    chunks: list[wire.SnapshotChunk]

    @property
    def id(self) -> str:
        """Return the snapshot id in its chunks."""
        return self.chunks[0].snapshot_id


class RecordServer:
    """Serves one host's records and snapshots to its peers.

    Attributes:
        served: The snapshot served to peers now, or None.
    """

    def __init__(self, state: ConfigState):
        """Serve from `state`."""
        self.state = state
        self.served: ServedSnapshot | None = None

    async def answer(self, request: wire.FetchRequest) -> wire.FetchReply:
        """Return the records after the version of a peer, or a snapshot chunk.

        A host that is not ready or not ahead of the peer returns neither.
        """
        reply = wire.FetchReply(notice=self.notice())
        if request.version < self.state.fold.version and self.state.ready:
            reply.batch = self.batch_after(
                LogOffset(request.version), MAX_BATCH_BYTES
            )
            if reply.batch is None:
                reply.chunk = await self._chunk(request)
        return reply

    def notice(self) -> wire.OffsetNotice:
        """Return the version and the checksum of this host's fold."""
        fold = self.state.fold
        return wire.OffsetNotice(version=fold.version, chain=fold.chain)

    def batch_after(
        self, version: LogOffset, max_bytes: int
    ) -> wire.RecordBatch | None:
        """Return the kept records after `version`, or None if there are none.

        Args:
            version: The version that the receiver is assumed to have.
            max_bytes: Maximum size of the records; one is always included.
        """
        payloads: list[bytes] = []
        size = 0
        chain = 0
        for record in self.state.kept_after(version):
            size += len(record.payload)
            if size > max_bytes and payloads:
                break
            payloads.append(record.payload)
            chain = record.chain
        if not payloads:
            return None
        return wire.RecordBatch(
            first=version + 1, payloads=payloads, chain=chain
        )

    async def _chunk(self, request: wire.FetchRequest) -> wire.SnapshotChunk:
        served = self.served
        if served is None or served.version + 1 < self.state.first_kept:
            served = self.served = await self._snapshot()
        if request.snapshot_id == served.id and request.index is not None:
            return served.chunks[min(request.index, len(served.chunks) - 1)]
        return served.chunks[0]

    async def _snapshot(self) -> ServedSnapshot:
        version = self.state.fold.version
        content = await encode_snapshot(self.state.fold)
        chunks = split_snapshot(content, version, MAX_SNAPSHOT_CHUNK_BYTES)
        return ServedSnapshot(version, chunks)
