"""Define the operators' document, with all routes, services and limits."""

import abc
import dataclasses
from typing import TYPE_CHECKING

from agatetack.config.route import Route
from agatetack.ids import ServiceId

if TYPE_CHECKING:
    from agatetack.identity.accounts import AccountTable


class BadDocument(Exception):
    """The bytes are not a valid document."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceInfo:
    """The document's entry for one service.

    Attributes:
        id: Its name.
        load_path: Path at which a target reports its load.
        max_connections: Maximum number of connections that one target accepts
            from all hosts together, or 0 if not specified.
        warm_up_rate: Requests per second that one target accepts from all
            hosts together while it warms up, or 0 if not specified.
    """

    id: ServiceId
    load_path: str
    max_connections: int = 0
    warm_up_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        max_header_bytes: Maximum size of a request's header.
        max_body_bytes: Maximum size of a request's body.
        header_timeout_seconds: Maximum time to send a header.
        idle_timeout_seconds: How long an idle connection is kept open.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteDocument:
    """One version of the operators' document.

    Attributes:
        version: Increases with each new document.
        routes: All routes.
        services: All services.
        limits: Limits on callers, or None to use those of the settings.
        accounts: The client accounts, or None if requests need no API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceInfo, ...]
    limits: CallerLimits | None = None
    accounts: "AccountTable | None" = None


class AccountSource:
    """Holds the accounts in force, which each change replaces as a whole.

    Attributes:
        table: The accounts, or None if the configuration has none, in which
            case requests need no key.
    """

    def __init__(self, table: "AccountTable | None" = None):
        """Start with `table`."""
        self.table = table


class DocumentDecoder(abc.ABC):
    """Decoder for documents in one format."""

    @abc.abstractmethod
    def decode(self, content: bytes) -> RouteDocument:
        """Return the document in `content`.

        Raises:
            BadDocument: `content` is not a valid document.
        """
