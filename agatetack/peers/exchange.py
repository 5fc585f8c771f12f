"""Define the interface for exchanging messages with other hosts."""

import abc
import dataclasses
import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from agatetack.hosts.host_list import ListedHost
from agatetack.ids import Deadline, FailureDomain, HostId, TargetId


class Topic(enum.Enum):
    """The kind of a message between peers; one package reads each."""

    CONFIG_RECORDS = 1
    CONFIG_OFFSET = 2
    LOAD_SAMPLES = 3
    TARGET_SIGNS = 4
    CRASH_FINGERPRINTS = 5
    CONFIG_FETCH = 6
    CLAIM_BATCH = 7
    EXPLAIN = 8
    TARGET_DRAINS = 9
    IN_FLIGHT = 10
    TOPIC_RECORDS = 11
    LOST_PATHS = 12
    FORWARD = 13
    FORWARD_CANCEL = 14
    LOOK_REQUESTS = 15
    CONFIGURATION_PROOF = 16
    QUOTA_USE = 17
    QUOTA_SUMS = 18
    QUOTA_SHARES = 19


class Scope(enum.Enum):
    """Which peers a message goes to."""

    ALL = "all"
    NEAR = "near"
    """All hosts if the fleet has a full mesh of links, else the hosts of the
    own group."""
    FAR = "far"
    """The hosts that `NEAR` excludes; only the first leader of a group can
    send to them."""
    DOMAIN = "domain"
    """Linked hosts of the own failure domain."""
    ELSEWHERE = "elsewhere"
    """Linked hosts of other failure domains."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another live host.

    Attributes:
        id: Its id.
        incarnation: When its process started, in ns since 1970; a restart has
            a higher one.
        failure_domain: Its failure domain.
        leaving: Whether it has announced that it is leaving.
    """

    id: HostId
    incarnation: int
    failure_domain: FailureDomain
    leaving: bool


MessageHandler = Callable[[HostId, bytes], None]
"""Receives the sender and the payload; must not block or raise."""

CallHandler = Callable[[HostId, bytes], Awaitable[bytes | None]]
"""Receives the sender and the request; returns the reply.

None fails the call at the sender.
"""


class PeerUnreachable(Exception):
    """A call to a peer failed or was not answered in time."""


class GatewayDirectory(Protocol):
    """The platform's list of hosts as last read; it may be outdated."""

    def gateways(self) -> Sequence[ListedHost]:
        """Return the agatetack hosts in the list."""

    def on_change(self, callback: Callable[..., None]) -> None:
        """Call `callback` with the changes after each change."""


class Exchange(abc.ABC):
    """Exchanges messages with the other hosts, without guaranteed delivery."""

    @abc.abstractmethod
    def publish(
        self, topic: Topic, payload: bytes, scope: Scope = Scope.ALL
    ) -> None:
        """Send to connected peers; drop messages over the byte budget."""

    @abc.abstractmethod
    def send(self, peer: HostId, topic: Topic, payload: bytes) -> None:
        """Send to one connected peer; drop the message over the byte budget.

        Nothing is sent without a link with `peer`.
        """

    @abc.abstractmethod
    def subscribe(self, topic: Topic, handler: MessageHandler) -> None:
        """Call `handler` for each published message of `topic`."""

    @abc.abstractmethod
    def serve(self, topic: Topic, handler: CallHandler) -> None:
        """Answer peers' calls of `topic` with `handler`."""

    @abc.abstractmethod
    async def call(
        self, peer: HostId, topic: Topic, payload: bytes, deadline: Deadline
    ) -> bytes:
        """Call one peer and return its reply.

        Raises:
            PeerUnreachable: No reply came before `deadline`.
        """

    @abc.abstractmethod
    def live_peers(self) -> Sequence[Peer]:
        """Return the hosts with a live link to this one."""

    def near_peers(self) -> Sequence[Peer]:
        """Return the live peers that `Scope.NEAR` reaches."""
        return self.live_peers()

    def known_hosts(self) -> Sequence[Peer]:
        """Return all other hosts that are considered live.

        Without a full mesh of links, these include hosts that are known only
        through forwarded messages.
        """
        return self.live_peers()

    @property
    def is_grouped(self) -> bool:
        """Return whether the fleet is too large for a full mesh of links."""
        return False

    @property
    def is_leader(self) -> bool:
        """Return whether this host forwards messages to its group."""
        return False

    @property
    def is_first_leader(self) -> bool:
        """Return whether this host reports its group's targets to others."""
        return False

    def first_leaders(self) -> Sequence[HostId]:
        """Return the first leader of each group, this host included."""
        return ()

    def group_hosts(self) -> Sequence[HostId]:
        """Return the hosts of this host's group, itself included.

        These are the known hosts, live or not; none if there are no groups.
        """
        return ()

    def shares_target(self, target: TargetId, domain: FailureDomain) -> bool:
        """Return whether `target` is assigned to this host's group.

        It always is if there are no groups.

        Args:
            target: The target.
            domain: Its failure domain.
        """
        return True

    @abc.abstractmethod
    def fleet_size(self) -> int:
        """Return an upper estimate of the number of hosts, this one included.

        It is the larger of the platform's list and the live hosts known, so
        that a host's share of a fleet-wide budget is never too large.
        """


class NoExchange(Exchange):
    """The exchange of a host without peers, for tests and single hosts."""

    def publish(
        self, topic: Topic, payload: bytes, scope: Scope = Scope.ALL
    ) -> None:
        """Drop the message."""

    def send(self, peer: HostId, topic: Topic, payload: bytes) -> None:
        """Drop the message."""

    def subscribe(self, topic: Topic, handler: MessageHandler) -> None:
        """Ignore the handler, as no message will arrive."""

    def serve(self, topic: Topic, handler: CallHandler) -> None:
        """Ignore the handler, as no call will arrive."""

    async def call(
        self, peer: HostId, topic: Topic, payload: bytes, deadline: Deadline
    ) -> bytes:
        """Raise PeerUnreachable."""
        raise PeerUnreachable(f"{peer} is not a peer of this host")

    def live_peers(self) -> Sequence[Peer]:
        """Return no peers."""
        return ()

    def fleet_size(self) -> int:
        """Return 1."""
        return 1
