"""Write the fold's state as a snapshot in chunks, and read it back."""

import dataclasses
import uuid
import zlib
from collections.abc import Sequence

from agatetack.config.fold import Decision, Fold, Slot, Verdict
from agatetack.config.records import (
    RECORD_FORMAT,
    BadRecord,
    checksum,
    decode,
    encode,
    ms_to_wall,
    route_from_wire,
    route_to_wire,
    wall_to_ms,
)
from agatetack.generated.config import ttypes as wire
from agatetack.ids import ChangeId, LogOffset, RouteId

CHUNK_OVERHEAD_BYTES = 128
"""Room that a chunk's fields take beside its data."""

MAX_CHUNKS = 1024
MAX_SNAPSHOT_BYTES = 64 * 2**20
"""Largest snapshot, before and after it is compressed."""

MAX_PARTIAL_SNAPSHOTS = 4
"""Incomplete snapshots held at once; concurrent writers may interleave."""


def encode_snapshot(fold: Fold) -> bytes:
    """Return the whole state of `fold`, compressed."""
    record = wire.Snapshot(
        format=RECORD_FORMAT,
        version=fold.version,
        chain=fold.chain,
        slots=[_slot_to_wire(*item) for item in fold.slots.items()],
        decisions=[_decision_to_wire(*item) for item in fold.decisions.items()],
    )
    return zlib.compress(encode(record), level=1)


def decode_snapshot(content: bytes) -> Fold:
    """Return the fold in a snapshot.

    Raises:
        BadRecord: It holds no snapshot of this format.
    """
    record = decode(wire.Snapshot(), _decompress(content))
    if record.format != RECORD_FORMAT:
        raise BadRecord(f"format {record.format} is not known")
    fold = Fold()
    fold.version = LogOffset(record.version)
    fold.chain = record.chain
    # The fold forgets in the order of offsets, so deleted routes must be put
    # in that order too.
    for slot in sorted(record.slots, key=lambda slot: slot.version):
        fold.put(RouteId(slot.route_id), _slot_from_wire(slot))
    for decision in record.decisions:
        fold.decisions[ChangeId(decision.change_id)] = Decision(
            offset=LogOffset(decision.offset),
            verdict=_verdict_from_wire(decision.verdict),
            winner=LogOffset(decision.winner),
            digest=decision.digest,
        )
    return fold


def split_snapshot(
    content: bytes, version: LogOffset, max_bytes: int
) -> list[wire.SnapshotChunk]:
    """Return a snapshot as chunks, under an id of its own.

    Args:
        content: The compressed snapshot.
        version: The last offset folded into it.
        max_bytes: Largest chunk once encoded.
    """
    room = max(1, max_bytes - CHUNK_OVERHEAD_BYTES)
    parts = [content[at : at + room] for at in range(0, len(content), room)]
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
    """Return the chunk in a record.

    Raises:
        BadRecord: The record holds no chunk of this format.
    """
    chunk = decode(wire.SnapshotChunk(), payload)
    check_chunk(chunk)
    return chunk


def check_chunk(chunk: wire.SnapshotChunk) -> None:
    """Raise BadRecord if a chunk's fields are out of bounds."""
    if chunk.format != RECORD_FORMAT:
        raise BadRecord(f"format {chunk.format} is not known")
    if not 0 <= chunk.index < chunk.count <= MAX_CHUNKS:
        raise BadRecord(f"chunk {chunk.index} of {chunk.count}")
    if chunk.version < 0:
        raise BadRecord(f"version {chunk.version}")


@dataclasses.dataclass(slots=True)
class PartialSnapshot:
    """The chunks of one snapshot seen so far.

    Attributes:
        version: The last offset folded into it.
        count: How many chunks it has.
        parts: Data of the chunks by index.
    """

    version: LogOffset
    count: int
    parts: dict[int, bytes] = dataclasses.field(default_factory=dict)

    @property
    def complete(self) -> bool:
        """Return whether no chunk is missing."""
        return len(self.parts) == self.count


class SnapshotReader:
    """Put chunks of any number of snapshots together, in any order.

    Attributes:
        newest: The newest whole snapshot put together, or None.
        partial: Incomplete snapshots by id.
    """

    def __init__(self) -> None:
        """Start with no chunk."""
        self.newest: Fold | None = None
        self.partial: dict[str, PartialSnapshot] = {}

    def add(self, chunk: wire.SnapshotChunk) -> None:
        """Take one chunk; keep the snapshot that it completes if newer.

        Raises:
            BadRecord: The snapshot that it completes is damaged.
        """
        if self.newest is not None and chunk.version <= self.newest.version:
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
        fold = decode_snapshot(content)
        if fold.version != partial.version:
            raise BadRecord("a snapshot names two versions")
        self.newest = fold

    def _drop_oldest(self) -> None:
        while len(self.partial) > MAX_PARTIAL_SNAPSHOTS:
            oldest = min(self.partial, key=lambda id: self.partial[id].version)
            del self.partial[oldest]


def read_chunks(
    reader: SnapshotReader, payloads: Sequence[bytes]
) -> list[BadRecord]:
    """Give records of the snapshot stream to `reader`; return what is bad."""
    problems = []
    for payload in payloads:
        try:
            reader.add(decode_chunk(payload))
        except BadRecord as problem:
            problems.append(problem)
    return problems


def _decompress(content: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(content, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise BadRecord(f"not compressed: {error}") from error
    if not inflater.eof:
        raise BadRecord("a snapshot is cut or too large")
    return plain


def _slot_to_wire(route_id: RouteId, slot: Slot) -> wire.SlotRecord:
    return wire.SlotRecord(
        version=slot.version,
        route_id=route_id,
        route=route_to_wire(slot.route) if slot.route else None,
        author=slot.author,
        written_at_ms=wall_to_ms(slot.written_at),
    )


def _slot_from_wire(record: wire.SlotRecord) -> Slot:
    version = LogOffset(record.version)
    route = route_from_wire(record.route, version) if record.route else None
    return Slot(version, route, record.author, ms_to_wall(record.written_at_ms))


def _decision_to_wire(
    change_id: ChangeId, decision: Decision
) -> wire.DecisionRecord:
    return wire.DecisionRecord(
        change_id=change_id,
        offset=decision.offset,
        verdict=wire.Verdict._NAMES_TO_VALUES[decision.verdict.name],
        winner=decision.winner,
        digest=decision.digest,
    )


def _verdict_from_wire(value: int) -> Verdict:
    name = wire.Verdict._VALUES_TO_NAMES.get(value)
    if name is None:
        raise BadRecord(f"verdict {value} is not known")
    return Verdict[name]
