"""Stand in for the exchange of a fleet in groups, in memory and with faults."""

from collections.abc import Sequence

import trio

from agatetack.ids import FailureDomain, HostId
from agatetack.peers.choice import choose_peers
from agatetack.peers.exchange import Peer, Scope, Topic
from agatetack.peers.groups import Groups
from agatetack.testing.memory_exchange import MemoryExchange, MemoryMesh

MAX_PEERS = 48


class GroupedMesh(MemoryMesh):
    """A mesh whose hosts have the links that hosts of a real fleet choose.

    Attributes:
        domains: The failure domain of each host.
        groups: The groups, or None if all hosts have links with each other.
        links: The hosts with which each host has a link.
    """

    def __init__(self, nursery: trio.Nursery, count: int, domains: int = 3):
        """Link `count` hosts in `domains` failure domains."""
        super().__init__(nursery)
        self.domains = {
            HostId(f"edge-{n}"): FailureDomain(f"domain-{n % domains}")
            for n in range(count)
        }
        grouped = count - 1 > MAX_PEERS
        self.groups = Groups(self.domains, MAX_PEERS) if grouped else None
        self.links: dict[HostId, set[HostId]] = {h: set() for h in self.domains}
        for host in self.domains:
            for peer in choose_peers(
                host, self.domains, MAX_PEERS, groups=self.groups
            ):
                self.links[host].add(peer)
                self.links[peer].add(host)
        self.size = count

    def join(self, host: HostId) -> "GroupedExchange":
        """Return a host's exchange."""
        self.hosts[host] = GroupedExchange(self, host)
        return self.hosts[host]

    def linked(self, sender: HostId, receiver: HostId) -> bool:
        """Return whether messages arrive from one host at another."""
        return (
            sender in self.hosts
            and receiver in self.links[sender]
            and super().linked(sender, receiver)
        )

    def lost_hosts(self) -> Sequence[HostId]:
        """Return the hosts that have left, which nobody can reach."""
        return [host for host in self.domains if host not in self.hosts]


class GroupedExchange(MemoryExchange):
    """One host's end of a `GroupedMesh`."""

    mesh: GroupedMesh

    def publish(
        self, topic: Topic, payload: bytes, scope: Scope = Scope.ALL
    ) -> None:
        """Send to the linked hosts of `scope`."""
        own = self.mesh.domains[self.host]
        for peer in self.live_peers():
            inside = peer.failure_domain == own
            if (scope is Scope.DOMAIN and not inside) or (
                scope is Scope.ELSEWHERE and inside
            ):
                continue
            self.mesh.nursery.start_soon(
                self.mesh.deliver, self.host, peer.id, topic, payload
            )

    def live_peers(self) -> Sequence[Peer]:
        """Return the hosts with a link over which messages arrive here."""
        return [
            Peer(host, 1, self.mesh.domains[host], leaving=False)
            for host in self.mesh.links[self.host]
            if host in self.mesh.hosts and self.mesh.linked(host, self.host)
        ]

    def known_hosts(self) -> Sequence[Peer]:
        """Return all other hosts that have not left."""
        if self.mesh.groups is None:
            return self.live_peers()
        return [
            Peer(host, 1, self.mesh.domains[host], leaving=False)
            for host in self.mesh.hosts
            if host != self.host
        ]

    @property
    def is_grouped(self) -> bool:
        """Return whether there are groups."""
        return self.mesh.groups is not None

    @property
    def is_leader(self) -> bool:
        """Return whether this host is a leader of its group."""
        return self.is_grouped and self.host in self._leaders()

    @property
    def is_first_leader(self) -> bool:
        """Return whether this host is the first leader of its group."""
        return self.is_grouped and self.host in self._leaders()[:1]

    def _leaders(self) -> Sequence[HostId]:
        groups = self.mesh.groups
        group = groups.group_of[self.host]
        return groups.leaders(group, self.mesh.lost_hosts())

    def first_leaders(self) -> Sequence[HostId]:
        """Return the first leader of each group."""
        if not self.is_grouped:
            return ()
        return self.mesh.groups.first_leaders(self.mesh.lost_hosts())

    def group_hosts(self) -> Sequence[HostId]:
        """Return the hosts of the own group."""
        if not self.is_grouped:
            return ()
        return self.mesh.groups.hosts[self.mesh.groups.group_of[self.host]]
