"""Encode and decode the records that deferred requests leave in the log."""

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
"""Random bytes of a ticket id, so that none can be guessed."""

ATTEMPT_BYTES = 6
"""Random bytes of an attempt's id; the host's id stands before them."""

IDENTITY_BYTES = 16
ENTRY_OVERHEAD = 8
"""Most bytes that a batch adds to an entry."""

CREDENTIAL_HEADERS = (b"authorization", b"cookie")
"""Headers that tell callers apart who chose the same request id."""


class MalformedRecord(Exception):
    """A record of the log can't be read; every host skips it alike."""


def stream_of(partition: int) -> StreamId:
    """Return the stream that holds a partition's records."""
    return StreamId(f"deferred-{partition}")


def new_ticket(partition: int, entropy: random.Random) -> TicketId:
    """Return a ticket id that names its partition.

    It can't be guessed if `entropy` is the system's.
    """
    token = base64.urlsafe_b64encode(entropy.randbytes(TICKET_BYTES))
    return TicketId(f"{partition}-{token.decode().rstrip('=')}")


def new_attempt(host: HostId, entropy: random.Random) -> AttemptId:
    """Return an attempt's id that is unique over all hosts and restarts."""
    return AttemptId(f"{host}-{entropy.randbytes(ATTEMPT_BYTES).hex()}")


def partition_of(ticket: TicketId, partitions: int) -> int | None:
    """Return the partition a ticket id names, or None for a foreign one."""
    head, _, _ = ticket.partition("-")
    if not head.isascii() or not head.isdigit() or len(head) > 4:
        return None
    partition = int(head)
    return partition if partition < partitions else None


def identity_of(route: Route, request: CallerRequest, body: bytes) -> bytes:
    """Return what is equal for resubmissions of one request.

    It covers the whole request with the caller's credentials, so that no
    caller is given the ticket of another's request by choosing its id.
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
    """Return headers as records keep them."""
    return [StoredHeader(name, value) for name, value in headers]


def load_headers(headers: Iterable[StoredHeader] | None) -> list[Header]:
    """Return headers as they were stored."""
    return [Header(item.name, item.value) for item in headers or ()]


def make_submission(
    ticket: TicketId,
    identity: bytes,
    route: Route,
    request: CallerRequest,
    body: bytes,
    clock: Clock,
) -> Submission:
    """Return the record of a request whose body has been read."""
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
    """Return the request of a record, to be answered by `deadline`."""
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
    """Return the most bytes that an entry takes in a record."""
    return len(serialize(entry, PROTOCOL)) + ENTRY_OVERHEAD


def encode_batch(entries: list[Entry]) -> bytes:
    """Return a record of entries."""
    return serialize(Batch(entries), PROTOCOL)


def decode_batch(payload: bytes) -> list[Entry]:
    """Return a record's entries.

    Raises:
        MalformedRecord: The payload isn't such a record.
    """
    try:
        batch = deserialize(Batch(), payload, PROTOCOL)
        batch.validate()
        for entry in batch.entries:
            _check(entry)
    # The decoder raises many kinds of errors on bytes that are not its own.
    except (TException, EOFError, ValueError, TypeError, IndexError) as error:
        raise MalformedRecord(str(error)) from error
    except (KeyError, AttributeError, OverflowError, MemoryError) as error:
        raise MalformedRecord(str(error)) from error
    return batch.entries


def _check(entry: Entry) -> None:
    """Raise an error unless exactly one valid part is set."""
    parts = [entry.submission, entry.start, entry.end]
    [part] = [part for part in parts if part is not None]
    part.validate()
    if entry.start is not None:
        entry.start.hold.validate()
    if entry.submission is not None and entry.submission.hold is not None:
        entry.submission.hold.validate()
    if entry.end is not None and not 0 <= entry.end.index < entry.end.chunks:
        raise ValueError("the chunk's index is out of range")
