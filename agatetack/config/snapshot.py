"""Encode the complete state of a fold as a snapshot, and decode it."""

import zlib

import trio

from agatetack.config.fold import Decision, Fold, Slot, Verdict
from agatetack.config.records import (
    RECORD_FORMAT,
    BadRecord,
    decode,
    decode_change,
    encode,
)
from agatetack.generated.config import ttypes as wire
from agatetack.ids import ChangeId, LogOffset

WIRE_VERDICTS = {
    Verdict.ACCEPTED: wire.Verdict.ACCEPTED,
    Verdict.CONFLICT: wire.Verdict.CONFLICT,
    Verdict.PATH_TAKEN: wire.Verdict.PATH_TAKEN,
    Verdict.INVALID: wire.Verdict.INVALID,
}
VERDICTS = {value: verdict for verdict, value in WIRE_VERDICTS.items()}

SLOTS_PER_YIELD = 20
"""Number of routes restored before yielding to other tasks."""

COMPRESSED_BYTES_PER_YIELD = 64 * 1024
"""Bytes compressed before yielding to other tasks."""

MAX_SNAPSHOT_BYTES = 64 * 2**20
"""Maximum size of a snapshot, before and after compression."""


async def encode_snapshot(fold: Fold) -> bytes:
    """Return the current state of `fold`, compressed.

    It yields to other tasks often, so that it does not delay requests.
    """
    content = pack_snapshot(fold)
    compressor = zlib.compressobj(level=1)
    parts = []
    for at in range(0, len(content), COMPRESSED_BYTES_PER_YIELD):
        await trio.lowlevel.checkpoint()
        parts.append(
            compressor.compress(content[at : at + COMPRESSED_BYTES_PER_YIELD])
        )
    parts.append(compressor.flush())
    return b"".join(parts)


def pack_snapshot(fold: Fold) -> bytes:
    """Return the complete state of `fold`, uncompressed."""
    slots = sorted(fold.slots.values(), key=lambda slot: slot.version)
    decisions = fold.decisions.values()
    return encode(
        wire.Snapshot(
            format=RECORD_FORMAT,
            version=fold.version,
            chain=fold.chain,
            slot_versions=[slot.version for slot in slots],
            slot_records=[slot.record for slot in slots],
            change_ids=list(fold.decisions),
            offsets=[decision.offset for decision in decisions],
            verdicts=[WIRE_VERDICTS[d.verdict] for d in decisions],
            winners=[decision.winner for decision in decisions],
            digests=[decision.digest for decision in decisions],
        )
    )


async def decode_snapshot(content: bytes) -> Fold:
    """Decode a compressed snapshot, yielding to other tasks often.

    Raises:
        BadRecord: `content` is not a snapshot in the supported format.
    """
    record = decode(wire.Snapshot(), _decompress(content))
    if record.format != RECORD_FORMAT:
        raise BadRecord(f"format {record.format} is not supported")
    fold = Fold()
    fold.version = LogOffset(record.version)
    fold.chain = record.chain
    try:
        await _restore_slots(fold, record)
        _restore_decisions(fold, record)
    except (KeyError, ValueError) as error:
        raise BadRecord(f"a snapshot is inconsistent: {error}") from error
    return fold


async def _restore_slots(fold: Fold, record: wire.Snapshot) -> None:
    pairs = zip(record.slot_versions, record.slot_records, strict=True)
    for count, (version, payload) in enumerate(pairs):
        if count % SLOTS_PER_YIELD == 0:
            await trio.lowlevel.checkpoint()
        offset = LogOffset(version)
        change = decode_change(payload, offset).change
        fold.set_slot(
            change.route_id, Slot.from_change(change, offset, payload)
        )


def _restore_decisions(fold: Fold, record: wire.Snapshot) -> None:
    rows = zip(
        record.change_ids,
        record.offsets,
        record.verdicts,
        record.winners,
        record.digests,
        strict=True,
    )
    for change_id, offset, verdict, winner, digest in rows:
        fold.decisions[ChangeId(change_id)] = Decision(
            LogOffset(offset), VERDICTS[verdict], LogOffset(winner), digest
        )


def _decompress(content: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(content, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise BadRecord(f"cannot decompress a snapshot: {error}") from error
    if not inflater.eof:
        raise BadRecord("a snapshot is truncated or too large")
    return plain
