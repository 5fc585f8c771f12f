"""Define how requests that crash targets are found and refused."""

import abc
from typing import NewType

import xxhash

from agatetack.config.route import Route
from agatetack.ids import ProcessId
from agatetack.messages import BytesBody, CallerRequest
from agatetack.outcomes import Refusal

Fingerprint = NewType("Fingerprint", bytes)
"""A hash over route, method, path, body and key of a request."""

SEPARATOR = b"\0"


class CrashTracker(abc.ABC):
    """Requests suspected to crash targets."""

    @abc.abstractmethod
    def check(self, route: Route, request: CallerRequest) -> Refusal | None:
        """Return why the request is refused, or None if it may run."""

    @abc.abstractmethod
    def connection_lost(
        self, route: Route, request: CallerRequest, target: ProcessId
    ) -> None:
        """Note that `target` dropped the connection while it ran this."""

    @abc.abstractmethod
    def answered(self, route: Route, request: CallerRequest) -> None:
        """Note that a target answered this request, so it is harmless."""


def fingerprint(route: Route, request: CallerRequest) -> Fingerprint:
    """Return a hash over what makes a target run the same work.

    A body too large to be held in memory counts by its length alone.
    """
    digest = xxhash.xxh3_128(route.id.encode())
    digest.update(SEPARATOR + request.method + SEPARATOR + request.path)
    digest.update(SEPARATOR + (request.key or "").encode() + SEPARATOR)
    if isinstance(request.body, BytesBody):
        digest.update(request.body.content)
    else:
        digest.update(b"%d" % (request.body.length or -1))
    return Fingerprint(digest.digest())
