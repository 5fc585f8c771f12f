"""Encode and decode the log records of deferred requests."""

import base64
import hashlib
import random
from collections.abc import Iterable

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from agatetack.clock import Clock, deadline_to_wall
from agatetack.config.route import Route
from agatetack.generated.deferred.ttypes import (
    Batch,
    Entry,
    StoredHeader,
    Submission,
)
from agatetack.ids import (
    AttemptId,
    CallerId,
    Deadline,
    HostId,
    IdempotencyKey,
    RequestId,
    StreamId,
    TicketId,
)
from agatetack.messages import BytesBody, CallerRequest, Header, Headers

PROTOCOL = TCompactProtocolAcceleratedFactory()
TICKET_BYTES = 16
"""Random bytes in a ticket id; enough that ids can't be guessed."""

ATTEMPT_BYTES = 6
"""Random bytes in an attempt id; they follow the host id."""

IDENTITY_BYTES = 16
ENTRY_OVERHEAD_BYTES = 8
"""Upper bound on the bytes that a batch adds for each entry."""

CREDENTIAL_HEADERS = (b"authorization", b"cookie")
"""Headers that distinguish callers that use the same request id."""


class MalformedRecord(Exception):
    """A log record can't be decoded; every host skips it."""


def stream_of(partition: int) -> StreamId:
    """Return the stream that holds a partition's records."""
    return StreamId(f"deferred-{partition}")


def new_ticket(partition: int, entropy: random.Random) -> TicketId:
    """Return a ticket id that names its partition.

    The id can't be guessed if `entropy` is the system's random source.
    """
    token = base64.urlsafe_b64encode(entropy.randbytes(TICKET_BYTES))
    return TicketId(f"{partition}-{token.decode().rstrip('=')}")


def new_attempt(host: HostId, entropy: random.Random) -> AttemptId:
    """Return an attempt id that is unique across hosts and restarts."""
    return AttemptId(f"{host}-{entropy.randbytes(ATTEMPT_BYTES).hex()}")


def partition_of(ticket: TicketId, partitions: int) -> int | None:
    """Return the partition a ticket id names, or None if it is invalid."""
    head, _, _ = ticket.partition("-")
    if not head.isascii() or not head.isdigit() or len(head) > 4:
        return None
    partition = int(head)
    return partition if partition < partitions else None


def identity_of(route: Route, request: CallerRequest, body: bytes) -> bytes:
    """Return a digest that is the same for resubmissions of one request.

    The digest covers the whole request and the caller's credentials, so that
    a caller can't get the ticket of another caller's request by reusing its
    request id.
    """
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    parts = [
        route.id.encode(),
        request.caller.encode(),
        (request.key or request.request_id).encode(),
        request.method,
        request.path,
        request.host,
        body,
    ]
    for header in request.headers:
        if header.name in CREDENTIAL_HEADERS:
            parts += header
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def store_headers(headers: Iterable[Header]) -> list[StoredHeader]:
    """Convert headers to the form in which records store them."""
    return [StoredHeader(name, value) for name, value in headers]


def load_headers(headers: Iterable[StoredHeader] | None) -> list[Header]:
    """Convert stored headers back to request or answer headers."""
    return [Header(item.name, item.value) for item in headers or ()]


def make_submission(
    ticket: TicketId,
    identity: bytes,
    route: Route,
    request: CallerRequest,
    body: bytes,
    clock: Clock,
) -> Submission:
    """Build the record of a request whose body has been read."""
    return Submission(
        ticket=ticket,
        identity=identity,
        route=route.id,
        request_id=request.request_id,
        caller=request.caller,
        method=request.method,
        path=request.path,
        host=request.host,
        headers=store_headers(request.headers),
        body=body,
        submitted_at=clock.wall(),
        deadline=deadline_to_wall(clock, request.deadline),
        idempotency_key=request.key,
    )


def load_request(
    submission: Submission, deadline: Deadline, clock: Clock
) -> CallerRequest:
    """Rebuild the request of a record, to be answered by `deadline`."""
    headers: Headers = load_headers(submission.headers)
    key = submission.idempotency_key
    return CallerRequest(
        request_id=RequestId(submission.request_id),
        caller=CallerId(submission.caller),
        method=submission.method,
        path=submission.path,
        host=submission.host,
        headers=headers,
        body=BytesBody(submission.body),
        deadline=deadline,
        key=None if key is None else IdempotencyKey(key),
        arrived=clock.now(),
    )


def size_of(entry: Entry) -> int:
    """Return an upper bound on the bytes an entry takes in a record."""
    return len(serialize(entry, PROTOCOL)) + ENTRY_OVERHEAD_BYTES


def encode_batch(entries: list[Entry]) -> bytes:
    """Encode entries as the payload of one log record."""
    return serialize(Batch(entries), PROTOCOL)


def decode_batch(payload: bytes) -> list[Entry]:
    """Decode the entries of one log record.

    Raises:
        MalformedRecord: The payload isn't a valid batch of entries.
    """
    try:
        batch = deserialize(Batch(), payload, PROTOCOL)
        batch.validate()
        for entry in batch.entries:
            _check(entry)
    # On malformed input, the decoder raises many kinds of errors.
    except (TException, EOFError, ValueError, TypeError, IndexError) as error:
        raise MalformedRecord(str(error)) from error
    except (KeyError, AttributeError, OverflowError, MemoryError) as error:
        raise MalformedRecord(str(error)) from error
    return batch.entries


def _check(entry: Entry) -> None:
    """Raise an error unless the entry has exactly one part, a valid one."""
    parts = [entry.submission, entry.start, entry.end]
    [part] = [part for part in parts if part is not None]
    part.validate()
    if entry.start is not None:
        entry.start.hold.validate()
    if entry.submission is not None and entry.submission.hold is not None:
        entry.submission.hold.validate()
    if entry.end is not None and not 0 <= entry.end.index < entry.end.chunks:
        raise ValueError("the chunk's index is out of range")
