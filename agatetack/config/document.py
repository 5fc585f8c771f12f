"""Define the operators' document: all routes, services and limits at once."""

import abc
import dataclasses

from agatetack.config.route import Route
from agatetack.ids import ServiceId


class BadDocument(Exception):
    """Bytes are no document that can be used."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceInfo:
    """What the document says of a service.

    Attributes:
        id: Its name.
        load_path: What is asked for a target's load.
        max_connections: Connections that one of its targets accepts from all
            hosts together, or 0 if not said.
        warm_up_rate: Requests a second that one of its targets takes from all
            hosts together while it warms up, or 0 if not said.
    """

    id: ServiceId
    load_path: str
    max_connections: int = 0
    warm_up_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send and how long they may take.

    Attributes:
        max_header_bytes: Longest header of a request.
        max_body_bytes: Longest body.
        header_timeout_seconds: Longest time to send a header.
        idle_timeout_seconds: How long an idle connection is kept.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteDocument:
    """One version of the operators' document.

    Attributes:
        version: A later document has a higher one.
        routes: All routes.
        services: All services.
        limits: What callers may do, or None if the settings say that.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceInfo, ...]
    limits: CallerLimits | None = None


class DocumentDecoder(abc.ABC):
    """A way to read documents."""

    @abc.abstractmethod
    def decode(self, content: bytes) -> RouteDocument:
        """Return the document in `content`.

        Raises:
            BadDocument: It holds none.
        """
