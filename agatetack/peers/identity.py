"""This host's identity and the timing of its announcements to the fleet."""

import random

from agatetack.clock import Clock
from agatetack.generated.peers import ttypes
from agatetack.generated.peers.constants import PROTOCOL_VERSION
from agatetack.ids import Deadline, FailureDomain, HostId
from agatetack.peers.handshake import new_nonce
from agatetack.peers.members import Member, MemberTable
from agatetack.settings.model import Endpoint, Settings

ANNOUNCEMENTS_PER_SECOND = 1.0
"""Announcements of all hosts of the fleet together in one second.

Each host forwards each announcement over all of its links, so this rate sets
their cost. Hosts also announce at once that they start or leave.
"""

MIN_ANNOUNCE_SECONDS = 10.0
"""Minimum time between two announcements of one host."""

MAX_MISSED_ANNOUNCEMENTS = 3
"""Missed announcements after which a host is considered dead."""


class Identity:
    """The identity of this host.

    Attributes:
        own: Its id.
        failure_domain: Its failure domain.
        incarnation: When its process started, in ns since 1970.
        port: The port of the settings; the bound port once that is known.
        leaving: Whether it has announced that it is leaving.
    """

    def __init__(self, settings: Settings, clock: Clock):
        """Set the incarnation from the wall clock."""
        self.settings = settings.peers
        self.own = HostId(settings.host.id)
        self.failure_domain = FailureDomain(settings.host.failure_domain)
        self.incarnation = int(clock.wall() * 1e9)
        self.port = settings.peers.listen.port
        self.leaving = False

    @property
    def address(self) -> Endpoint:
        """Return the address at which peers can dial this host."""
        if self.settings.advertise is not None:
            return self.settings.advertise
        return Endpoint(ip=self.settings.listen.ip, port=self.port)

    def hello(self) -> ttypes.Hello:
        """Return the hello that this host sends when a connection opens."""
        address = self.address
        return ttypes.Hello(
            version=PROTOCOL_VERSION,
            host=self.own,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            nonce=new_nonce(),
            ip=address.host,
            port=address.port,
            leaving=self.leaving or None,
            fills_in_origin=True,
        )

    def member(self) -> ttypes.Member:
        """Return this host's announcement to the fleet."""
        address = self.address
        return ttypes.Member(
            host=self.own,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            ip=address.host,
            port=address.port,
            leaving=self.leaving or None,
        )


class Announcements:
    """The interval and lifetime of hosts' announcements."""

    def __init__(
        self,
        settings: Settings,
        members: MemberTable,
        clock: Clock,
        source: random.Random,
    ):
        """Draw the jitter from `source`."""
        self.drain_seconds = settings.lifecycle.drain_seconds
        self.members = members
        self.clock = clock
        self.random = source

    def next_at(self) -> Deadline:
        """Return the time of this host's next announcement."""
        seconds = self._interval_seconds() * self.random.uniform(0.8, 1.0)
        return Deadline(self.clock.now() + seconds)

    def live_until(self, leaving: bool = False) -> Deadline:
        """Return until when a host heard from now is considered live."""
        seconds = MAX_MISSED_ANNOUNCEMENTS * self._interval_seconds()
        if leaving:
            seconds = min(seconds, self.drain_seconds)
        return Deadline(self.clock.now() + seconds)

    def to_member(self, message: ttypes.Member | ttypes.Hello) -> Member:
        """Return the member that a message just received describes."""
        leaving = bool(message.leaving)
        return Member(
            id=HostId(message.host),
            incarnation=message.incarnation,
            failure_domain=FailureDomain(message.failure_domain),
            ip=message.ip,
            port=message.port,
            leaving=leaving,
            live_until=self.live_until(leaving),
        )

    def _interval_seconds(self) -> float:
        fleet = self.members.fleet_size()
        return max(MIN_ANNOUNCE_SECONDS, fleet / ANNOUNCEMENTS_PER_SECOND)
