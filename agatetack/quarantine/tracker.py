"""Define how requests that crash targets are found and refused."""

import abc
from typing import NewType

from agatetack.config.route import Route
from agatetack.ids import ProcessId
from agatetack.messages import CallerRequest
from agatetack.outcomes import Refusal

Fingerprint = NewType("Fingerprint", bytes)
"""A hash over route, method, path, body and key of a request."""


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
