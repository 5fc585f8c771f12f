"""Turn the thrift messages of claims into bytes and back."""

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
    """The bytes are not a message of the kind expected."""


def encode(message: object) -> bytes:
    """Return `message` as compact thrift."""
    return TSerialization.serialize(message, FACTORY)


def decode(kind: type[Message], payload: bytes) -> Message:
    """Return the message in `payload`, whose fields are not checked yet.

    Raises:
        BadMessage: The bytes are no such message.
    """
    try:
        return TSerialization.deserialize(kind(), payload, FACTORY)
    except Exception as error:
        # The decoder raises errors of many types on damaged bytes.
        raise BadMessage(f"not a {kind.__name__}: {error!r}") from error


def decode_batch(payload: bytes) -> Batch:
    """Return the batch in `payload`, with every field checked.

    Raises:
        BadMessage: The bytes are no batch, or an entry lacks a field.
    """
    batch = decode(Batch, payload)
    if batch.entries is None:
        raise BadMessage("a batch without entries")
    for entry in batch.entries:
        check_entry(entry)
    return batch


def check_entry(entry: Entry) -> None:
    """Check the fields that the entry's kind needs.

    Raises:
        BadMessage: A field is missing or out of bounds.
    """
    if entry.kind not in EntryKind._VALUES_TO_NAMES:
        raise BadMessage(f"unknown kind {entry.kind}")
    for digest in (entry.key, entry.attempt):
        if digest is None or len(digest) != DIGEST_BYTES:
            raise BadMessage("a digest of the wrong length")
    if entry.kind in (EntryKind.CLAIM, EntryKind.KEEP):
        _check_claim(entry)
    if entry.kind == EntryKind.DONE and not entry.status:
        raise BadMessage("a done entry without status")


def _check_claim(entry: Entry) -> None:
    if entry.fingerprint is None or entry.until_ms is None:
        raise BadMessage("a claim without fingerprint or deadline")
    if entry.kind == EntryKind.CLAIM and entry.seen is None:
        raise BadMessage("a claim that tells not what it has seen")
    if entry.kind == EntryKind.KEEP and entry.claimed_ms is None:
        raise BadMessage("a kept key without its age")


def check_verdicts(verdicts: list[Verdict] | None, count: int) -> None:
    """Check that a reply holds `count` usable verdicts.

    Raises:
        BadMessage: It does not.
    """
    if verdicts is None or len(verdicts) != count:
        raise BadMessage("a reply with the wrong number of verdicts")
    for verdict in verdicts:
        if verdict.kind not in VerdictKind._VALUES_TO_NAMES:
            raise BadMessage(f"unknown verdict {verdict.kind}")
