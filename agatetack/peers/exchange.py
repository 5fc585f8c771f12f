"""Define how slices exchange messages with the other hosts."""

import abc
import dataclasses
import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from agatetack.hosts.host_list import ListedHost
from agatetack.ids import Deadline, FailureDomain, HostId, TargetId


class Topic(enum.Enum):
    """What a message between peers is about; one slice reads each."""

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


class Scope(enum.Enum):
    """Which peers a message goes to."""

    ALL = "all"
    NEAR = "near"
    """All of a fleet that is small enough for links with all, and those of
    the own group in a larger one."""
    FAR = "far"
    """Those that `NEAR` leaves out; only the first leader of a group reaches
    them."""
    DOMAIN = "domain"
    """Linked hosts of the own failure domain."""
    ELSEWHERE = "elsewhere"
    """Linked hosts of other failure domains."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another live host.

    Attributes:
        id: Its name.
        incarnation: Its start, in ns since 1970; a restart has a higher one.
        failure_domain: Where it is.
        leaving: Whether it has announced that it is leaving.
    """

    id: HostId
    incarnation: int
    failure_domain: FailureDomain
    leaving: bool


MessageHandler = Callable[[HostId, bytes], None]
"""Takes the sender and the payload; must not block or raise."""

CallHandler = Callable[[HostId, bytes], Awaitable[bytes | None]]
"""Takes the sender and the request, returns the reply; None if there is none,
which the sender is told."""


class PeerUnreachable(Exception):
    """A peer did not answer a call in time."""


class GatewayDirectory(Protocol):
    """The platform's list of hosts as it was read last; maybe outdated."""

    def gateways(self) -> Sequence[ListedHost]:
        """Return the agatetack hosts of the list."""

    def on_change(self, callback: Callable[..., None]) -> None:
        """Call `callback`, with what changed, after each change."""


class Exchange(abc.ABC):
    """Messages with the other hosts. Delivery is not guaranteed."""

    @abc.abstractmethod
    def publish(
        self, topic: Topic, payload: bytes, scope: Scope = Scope.ALL
    ) -> None:
        """Send to connected peers; dropped when over the byte budget."""

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
        """Return the peers heard lately, without this host."""

    def near_peers(self) -> Sequence[Peer]:
        """Return the live peers that `Scope.NEAR` reaches."""
        return self.live_peers()

    def known_hosts(self) -> Sequence[Peer]:
        """Return all other hosts that are taken for live.

        In a fleet that is too large for links with all, hosts that were heard
        of through others are among them.
        """
        return self.live_peers()

    @property
    def bounded(self) -> bool:
        """Return whether the fleet is too large for links with all."""
        return False

    @property
    def is_leader(self) -> bool:
        """Return whether this host passes on what its group has to hear."""
        return False

    @property
    def is_first_leader(self) -> bool:
        """Return whether this host tells others of its group's targets."""
        return False

    def first_leaders(self) -> Sequence[HostId]:
        """Return the first leader of each group, this host included."""
        return ()

    def group_hosts(self) -> Sequence[HostId]:
        """Return the hosts of this one's group, itself included.

        They are the listed ones, live or not; none if there are no groups.
        """
        return ()

    def shares_target(self, target: TargetId, domain: FailureDomain) -> bool:
        """Return whether `target` is one of this host's group.

        Args:
            target: The target.
            domain: Its failure domain.
        """
        return True

    @abc.abstractmethod
    def fleet_size(self) -> int:
        """Return the number of hosts, this one included, never too low.

        It is the larger of the platform's list and the peers heard, so that
        a share of a fleet-wide budget is never too large.
        """


class NoExchange(Exchange):
    """A host without peers, for tests and single-host use."""

    def publish(
        self, topic: Topic, payload: bytes, scope: Scope = Scope.ALL
    ) -> None:
        """Drop the message."""

    def subscribe(self, topic: Topic, handler: MessageHandler) -> None:
        """Ignore the handler, as no message will come."""

    def serve(self, topic: Topic, handler: CallHandler) -> None:
        """Ignore the handler, as no call will come."""

    async def call(
        self, peer: HostId, topic: Topic, payload: bytes, deadline: Deadline
    ) -> bytes:
        """Raise PeerUnreachable."""
        raise PeerUnreachable(f"{peer} is not a peer of this host")

    def live_peers(self) -> Sequence[Peer]:
        """Return nobody."""
        return ()

    def fleet_size(self) -> int:
        """Return 1."""
        return 1
