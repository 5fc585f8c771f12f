"""The known hosts of the fleet, from the platform's list and from messages."""

import dataclasses
from collections.abc import Sequence

from agatetack.clock import Clock
from agatetack.hosts.host_list import ListedHost
from agatetack.ids import Deadline, FailureDomain, HostId
from agatetack.peers.exchange import GatewayDirectory

INCARNATION_MEMORY_SECONDS = 60.0
"""How long the incarnation of a dead host is remembered.

A host whose clock was set back restarts with a lower incarnation, which is
rejected until the old one is forgotten after this time.
"""


@dataclasses.dataclass(slots=True)
class Member:
    """A host known from a link or from a forwarded message.

    Attributes:
        id: Its id.
        incarnation: When its process started, in ns since 1970.
        failure_domain: Its failure domain.
        ip: The IP address at which peers can dial it.
        port: Its port for peers.
        leaving: Whether it has announced that it is leaving.
        live_until: When it is considered dead unless it sends again.
    """

    id: HostId
    incarnation: int
    failure_domain: FailureDomain
    ip: str
    port: int
    leaving: bool
    live_until: Deadline


class MemberTable:
    """One host's view of the fleet: the platform's list and known members.

    The number of live members is cached, because it is needed for each message.

    Attributes:
        known: Members known from links and messages, by id, without this host.
        listed: The other hosts that the platform lists, by id.
        live_count: How many of `known` were live at the last `refresh`.
    """

    def __init__(
        self, own: HostId, directory: GatewayDirectory, clock: Clock
    ) -> None:
        """Start with the platform's list and no members."""
        self.own = own
        self.directory = directory
        self.clock = clock
        self.known: dict[HostId, Member] = {}
        self.listed: dict[HostId, ListedHost] = {}
        self.live_count = 0
        self.read_list()

    def read_list(self) -> None:
        """Read the platform's list; called when it changes."""
        gateways = self.directory.gateways()
        self.listed = {h.id: h for h in gateways if h.id != self.own}

    def incarnation(self, host: HostId) -> int:
        """Return the highest known incarnation of `host`, or 0."""
        member = self.known.get(host)
        return 0 if member is None else member.incarnation

    def update(self, member: Member) -> bool:
        """Add or update a member; return whether that changed the view.

        A member with a lower incarnation than the known one is ignored.
        """
        current = self.known.get(member.id)
        if member.id == self.own:
            return False
        if current is None or member.incarnation > current.incarnation:
            self.known[member.id] = member
            self.live_count += 1
            return True
        if member.incarnation < current.incarnation:
            return False
        changed = member.leaving and not current.leaving
        if changed:
            current.leaving = True
            # A leaving host has an earlier deadline than a live one.
            current.live_until = member.live_until
        return self._extend(current, member.live_until) or changed

    def mark_live(
        self, host: HostId, incarnation: int, until: Deadline
    ) -> None:
        """Consider `host` live until then, after a message from it."""
        member = self.known.get(host)
        if member is not None and member.incarnation == incarnation:
            self._extend(member, until)

    def _extend(self, member: Member, until: Deadline) -> bool:
        """Consider `member` live until then; return whether it was dead."""
        revived = member.live_until <= self.clock.now()
        if revived:
            self.live_count += 1
        member.live_until = max(member.live_until, until)
        return revived

    def mark_leaving(self, host: HostId, incarnation: int) -> None:
        """Record that `host` is leaving."""
        member = self.known.get(host)
        if member is not None and member.incarnation == incarnation:
            member.leaving = True

    def link_lost(self, host: HostId, incarnation: int) -> None:
        """Handle the loss of the link with `host`.

        Only a host that announced that it is leaving is considered dead now.
        Any other may still be running behind a network partition and use its
        share of budgets.
        """
        member = self.known.get(host)
        if member is None or member.incarnation != incarnation:
            return
        if member.leaving:
            member.live_until = self.clock.now()

    def refresh(self) -> None:
        """Count the live members and remove those dead for long."""
        horizon = self.clock.now() - INCARNATION_MEMORY_SECONDS
        expired = [m.id for m in self.known.values() if m.live_until < horizon]
        for host in expired:
            del self.known[host]
        self.live_count = len(self.live())

    def live(self) -> Sequence[Member]:
        """Return the members that are not considered dead."""
        now = self.clock.now()
        return [m for m in self.known.values() if m.live_until > now]

    def domains(self) -> dict[HostId, FailureDomain]:
        """Return the failure domain of every live or listed other host."""
        domains = {m.id: m.failure_domain for m in self.live()}
        for host in self.listed.values():
            domains.setdefault(host.id, host.failure_domain)
        return domains

    def fleet_size(self) -> int:
        """Return the larger of the counts of listed and live hosts.

        Both include this host.
        """
        return 1 + max(len(self.listed), self.live_count)
