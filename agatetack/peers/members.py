"""Hold which hosts of the fleet are known, from the list and by hearing."""

import dataclasses
from collections.abc import Sequence

from agatetack.clock import Clock
from agatetack.hosts.host_list import ListedHost
from agatetack.ids import Deadline, FailureDomain, HostId
from agatetack.peers.exchange import GatewayDirectory

INCARNATION_MEMORY_SECONDS = 60.0
"""How long a host's incarnation is remembered after it was last heard.

A host whose clock was set back restarts with a lower incarnation; after this
time it is taken for new.
"""


@dataclasses.dataclass(slots=True)
class Member:
    """A host that was heard, over a link or by a relayed message.

    Attributes:
        id: Its name.
        incarnation: Its start, in ns since 1970.
        failure_domain: Where it is.
        ip: Where it can be dialled.
        port: Its port for peers.
        leaving: Whether it has announced that it is leaving.
        live_until: When it is taken for gone unless heard again.
    """

    id: HostId
    incarnation: int
    failure_domain: FailureDomain
    ip: str
    port: int
    leaving: bool
    live_until: Deadline


class MemberTable:
    """The view of one host: the platform's list and the hosts heard.

    Sizes are kept, as they are asked for with each message.

    Attributes:
        heard: Hosts heard of lately, by id, without this one.
        listed: The other hosts that the platform lists, by id.
        live_count: How many of `heard` were live at the last `refresh`.
    """

    def __init__(
        self, own: HostId, directory: GatewayDirectory, clock: Clock
    ) -> None:
        """Start with nobody heard."""
        self.own = own
        self.directory = directory
        self.clock = clock
        self.heard: dict[HostId, Member] = {}
        self.listed: dict[HostId, ListedHost] = {}
        self.live_count = 0
        self.read_list()

    def read_list(self) -> None:
        """Take over the platform's list; called when it changes."""
        gateways = self.directory.gateways()
        self.listed = {h.id: h for h in gateways if h.id != self.own}

    def incarnation(self, host: HostId) -> int:
        """Return the highest incarnation heard of `host`, or 0."""
        member = self.heard.get(host)
        return 0 if member is None else member.incarnation

    def note(self, member: Member) -> bool:
        """Keep what was heard; return whether the view changed by it.

        A member with an older incarnation than was heard before is ignored.
        """
        known = self.heard.get(member.id)
        if member.id == self.own:
            return False
        if known is None or member.incarnation > known.incarnation:
            self.heard[member.id] = member
            self.live_count += 1
            return True
        if member.incarnation < known.incarnation:
            return False
        changed = member.leaving and not known.leaving
        if changed:
            known.leaving = True
            # It ends sooner than was thought before.
            known.live_until = member.live_until
        return self._extend(known, member.live_until) or changed

    def touch(self, host: HostId, incarnation: int, until: Deadline) -> None:
        """Note that `host` was heard and is taken for live until then."""
        member = self.heard.get(host)
        if member is not None and member.incarnation == incarnation:
            self._extend(member, until)

    def _extend(self, member: Member, until: Deadline) -> bool:
        """Take `member` for live until then; return whether it was gone."""
        revived = member.live_until <= self.clock.now()
        if revived:
            self.live_count += 1
        member.live_until = max(member.live_until, until)
        return revived

    def mark_leaving(self, host: HostId, incarnation: int) -> None:
        """Note that `host` is leaving."""
        member = self.heard.get(host)
        if member is not None and member.incarnation == incarnation:
            member.leaving = True

    def link_lost(self, host: HostId, incarnation: int) -> None:
        """Note that the link with `host` was lost.

        Only a host that announced its leaving is taken for gone by this. Any
        other may live on behind a cut link and spend its share of budgets.
        """
        member = self.heard.get(host)
        if member is None or member.incarnation != incarnation:
            return
        if member.leaving:
            member.live_until = self.clock.now()

    def refresh(self) -> None:
        """Count the live members and forget those long gone."""
        horizon = self.clock.now() - INCARNATION_MEMORY_SECONDS
        old = [m.id for m in self.heard.values() if m.live_until < horizon]
        for host in old:
            del self.heard[host]
        self.live_count = len(self.live())

    def live(self) -> Sequence[Member]:
        """Return the hosts heard of that are not taken for gone."""
        now = self.clock.now()
        return [m for m in self.heard.values() if m.live_until > now]

    def domains(self) -> dict[HostId, FailureDomain]:
        """Return the failure domain of every other host, listed or heard."""
        domains = {m.id: m.failure_domain for m in self.live()}
        for host in self.listed.values():
            domains.setdefault(host.id, host.failure_domain)
        return domains

    def fleet_size(self) -> int:
        """Return the larger of both views' sizes, this host included."""
        return 1 + max(len(self.listed), self.live_count)
