"""Encode and decode the thrift messages of claims."""

from typing import TypeVar

from thrift.protocol import TCompactProtocol

from agatetack.generated.claims.ttypes import (
    Batch,
    Entry,
    EntryKind,
    Verdict,
    VerdictKind,
)
from thrift import TSerialization

FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()
DIGEST_BYTES = 16
"""Length of the digests of keys, attempts and requests, in bytes."""

Message = TypeVar("Message")


class BadMessage(Exception):
    """The bytes are not a valid message of the expected kind."""


def encode(message: object) -> bytes:
    """Return `message` as compact thrift."""
    return TSerialization.serialize(message, FACTORY)


def decode(kind: type[Message], payload: bytes) -> Message:
    """Return the message in `payload`, whose fields are not checked yet.

    Raises:
        BadMessage: The bytes are not a message of this kind.
    """
    try:
        return TSerialization.deserialize(kind(), payload, FACTORY)
    except Exception as error:
        # The decoder raises errors of many types on damaged bytes.
        raise BadMessage(f"malformed {kind.__name__}: {error!r}") from error


def decode_batch(payload: bytes) -> Batch:
    """Return the batch in `payload`, with every field checked.

    Raises:
        BadMessage: The bytes are not a batch, or an entry lacks a field.
    """
    batch = decode(Batch, payload)
    if batch.entries is None:
        raise BadMessage("batch has no entries")
    for entry in batch.entries:
        check_entry(entry)
    return batch


def check_entry(entry: Entry) -> None:
    """Check the fields that the entry's kind needs.

    Raises:
        BadMessage: A field is missing or out of bounds.
    """
    if entry.kind not in EntryKind._VALUES_TO_NAMES:
        raise BadMessage(f"unknown entry kind {entry.kind}")
    for digest in (entry.key, entry.attempt):
        if digest is None or len(digest) != DIGEST_BYTES:
            raise BadMessage("digest is missing or has the wrong length")
    if entry.kind in (EntryKind.CLAIM, EntryKind.KEEP):
        _check_claim(entry)
    if entry.kind == EntryKind.DONE and not entry.status:
        raise BadMessage("DONE entry has no status")


def _check_claim(entry: Entry) -> None:
    if entry.fingerprint is None or entry.until_ms is None:
        raise BadMessage("entry has no fingerprint or deadline")
    if entry.kind == EntryKind.CLAIM and entry.seen is None:
        raise BadMessage("CLAIM entry has no seen offset")
    if entry.kind == EntryKind.KEEP and entry.claimed_ms is None:
        raise BadMessage("KEEP entry has no claim time")


def check_verdicts(verdicts: list[Verdict] | None, count: int) -> None:
    """Check that a reply holds `count` usable verdicts.

    Raises:
        BadMessage: The count is wrong or a verdict is unknown.
    """
    if verdicts is None or len(verdicts) != count:
        raise BadMessage("reply has the wrong number of verdicts")
    for verdict in verdicts:
        if verdict.kind not in VerdictKind._VALUES_TO_NAMES:
            raise BadMessage(f"unknown verdict {verdict.kind}")
