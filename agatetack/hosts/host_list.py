"""Define the platform's list of live and leaving hosts, which may be stale."""

import abc
import dataclasses
import enum
from collections.abc import Sequence

from agatetack.ids import Deadline, FailureDomain, HostId, ServiceId


class HostListUnavailable(Exception):
    """The list could not be read."""


class HostRole(enum.Enum):
    """The role of a listed host."""

    GATEWAY = "gateway"
    TARGET = "target"


class HostState(enum.Enum):
    """The state that the platform lists for a host; it may be outdated."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """One entry of the list.

    Attributes:
        id: A gateway's `HostId`, or a target's id `ip:port`.
        role: Its role.
        state: Whether it is leaving.
        ip: Its IP address.
        port: A target's port for requests, or a gateway's for peers.
        failure_domain: Its failure domain.
        service: A target's service; empty for a gateway.
    """

    id: HostId
    role: HostRole
    state: HostState
    ip: str
    port: int
    failure_domain: FailureDomain
    service: ServiceId


class HostList(abc.ABC):
    """The platform's list of hosts."""

    @abc.abstractmethod
    async def fetch(self, deadline: Deadline) -> Sequence[ListedHost]:
        """Return all entries.

        Raises:
            HostListUnavailable: No list could be read before `deadline`.
        """
