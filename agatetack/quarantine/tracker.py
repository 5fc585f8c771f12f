"""Define the interface that detects and refuses crashing requests."""

import abc
from typing import NewType

import xxhash

from agatetack.config.route import Route
from agatetack.ids import ProcessId
from agatetack.messages import BytesBody, CallerRequest
from agatetack.outcomes import Refusal

Fingerprint = NewType("Fingerprint", bytes)
"""A hash of a request's route, method, path, key and body."""

SEPARATOR = b"\0"


class CrashTracker(abc.ABC):
    """Tracks requests that are suspected of crashing targets."""

    @abc.abstractmethod
    def check(self, route: Route, request: CallerRequest) -> Refusal | None:
        """Return why the request is refused, or None if it may run."""

    @abc.abstractmethod
    def connection_lost(
        self, route: Route, request: CallerRequest, target: ProcessId
    ) -> None:
        """Note that `target` lost the connection while it ran `request`."""

    @abc.abstractmethod
    def answered(self, route: Route, request: CallerRequest) -> None:
        """Note that a target responded to `request`, so it is harmless."""


def fingerprint(route: Route, request: CallerRequest) -> Fingerprint:
    """Return a hash that is equal for requests that run the same work.

    Only the length of a body is hashed if it is too large to keep in memory.
    """
    digest = xxhash.xxh3_128(route.id.encode())
    digest.update(SEPARATOR + request.method + SEPARATOR + request.path)
    digest.update(SEPARATOR + (request.key or "").encode() + SEPARATOR)
    if isinstance(request.body, BytesBody):
        digest.update(request.body.content)
    else:
        digest.update(b"%d" % (request.body.length or -1))
    return Fingerprint(digest.digest())
