"""Read the key of an at-most-once request and compute its digests."""

import dataclasses
import hashlib

import xxhash
from returns.result import Failure, Result, Success

from agatetack.claims.codec import DIGEST_BYTES
from agatetack.config.route import Route
from agatetack.ids import AttemptId, IdempotencyKey
from agatetack.messages import BytesBody, CallerRequest, find_header
from agatetack.outcomes import Outcome, Refusal, RefusalReason, refuse
from agatetack.settings.model import Settings

MAX_KEY_LENGTH = 200
"""Longest key, in characters."""

MAX_ISSUED_DIGITS = 15
"""Longest time of issue, in digits; enough for the next 30,000 years."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """What identifies an at-most-once request.

    Attributes:
        digest: Digest of the service and the caller's key.
        fingerprint: Digest of the request's method, path and body.
        issued_ms: When the key was first used, in ms since 1970, or None.
        partition: The partition that holds its claims.
    """

    digest: bytes
    fingerprint: bytes
    issued_ms: int | None
    partition: int


def _digest(*parts: bytes) -> bytes:
    """Return a digest of `parts` and of the boundaries between them."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def attempt_digest(attempt: AttemptId) -> bytes:
    """Return the digest that identifies an attempt in records."""
    return _digest(attempt.encode())


def _fingerprint(request: CallerRequest) -> bytes:
    """Return a digest of the request's method, path and body.

    Of a body that is not held in memory only the length is included.
    """
    body = request.body
    if isinstance(body, BytesBody):
        content = body.content
    else:
        content = str(body.length).encode()
    return _digest(request.method, request.path, content)


def key_digest(route: Route, key: IdempotencyKey) -> bytes:
    """Return the digest that identifies a key within a route's service."""
    return _digest(route.service.encode(), key.encode())


def key_partition(settings: Settings, key: IdempotencyKey) -> int:
    """Return the partition of a key's claim stream."""
    return xxhash.xxh64_intdigest(key.encode()) % settings.claims.partitions


def read_key(
    settings: Settings, route: Route, request: CallerRequest
) -> Result[RequestKey, Refusal]:
    """Return the key of `request`, or a refusal if it has no usable key.

    Keys are scoped to the route's service, so that renaming or splitting a
    route does not make used keys new.
    """
    key = request.key
    if not key:
        return Failure(
            refuse(
                RefusalReason.KEY_MISSING,
                "This route runs a request only with an idempotency key.",
            )
        )
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        return Failure(
            refuse(
                RefusalReason.KEY_MALFORMED,
                f"The key must be 1 to {MAX_KEY_LENGTH} printable characters.",
            )
        )
    name = settings.callers.headers.issued_at.encode()
    issued = find_header(request.headers, name)
    if issued is not None and not _is_time(issued):
        # The key itself is valid, so an earlier attempt may have run.
        return Failure(
            Refusal(
                RefusalReason.KEY_MALFORMED,
                "The key's time of issue must be in ms since 1970.",
                Outcome.UNKNOWN,
            )
        )
    return Success(
        RequestKey(
            digest=key_digest(route, key),
            fingerprint=_fingerprint(request),
            issued_ms=None if issued is None else int(issued),
            partition=key_partition(settings, key),
        )
    )


def _is_time(value: bytes) -> bool:
    return value.isdigit() and len(value) <= MAX_ISSUED_DIGITS
