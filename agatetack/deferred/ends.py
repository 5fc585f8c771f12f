"""Build the log records that store a ticket's final result."""

from agatetack.deferred.fold import Ticket
from agatetack.deferred.queue import StoredAnswer
from agatetack.deferred.records import store_headers
from agatetack.generated.deferred.ttypes import EndChunk, EndKind
from agatetack.ids import AttemptId
from agatetack.settings.model import Settings

CHUNK_OVERHEAD_BYTES = 1024
"""Upper bound on an encoded chunk's size without its body and headers."""


def make_end(
    ticket: Ticket, attempt: AttemptId, kind: int, keep_until: float
) -> EndChunk:
    """Return an end record that is a single chunk without a body."""
    return EndChunk(
        ticket=ticket.id,
        identity=ticket.identity,
        attempt=attempt,
        kind=kind,
        index=0,
        chunks=1,
        body=b"",
        keep_until=keep_until,
    )


def split_answer(
    ticket: Ticket,
    attempt: AttemptId,
    answer: StoredAnswer,
    keep_until: float,
    settings: Settings,
) -> list[EndChunk]:
    """Split an answer into chunks that each fit into one log record."""
    header_bytes = sum(
        len(name) + len(value) + 16 for name, value in answer.headers
    )
    chunk_body_bytes = (
        settings.platform.log.max_record_bytes
        - CHUNK_OVERHEAD_BYTES
        - header_bytes
    )
    chunk_body_bytes = max(chunk_body_bytes, CHUNK_OVERHEAD_BYTES)
    parts = [
        answer.body[start : start + chunk_body_bytes]
        for start in range(0, len(answer.body), chunk_body_bytes)
    ]
    chunks = []
    for index, part in enumerate(parts or [b""]):
        chunk = make_end(ticket, attempt, EndKind.ANSWERED, keep_until)
        chunk.index = index
        chunk.chunks = len(parts) or 1
        chunk.body = part
        chunks.append(chunk)
    chunks[0].status = answer.status
    chunks[0].headers = store_headers(answer.headers)
    return chunks
