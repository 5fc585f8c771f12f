"""Select the links over which messages are sent and forwarded."""

from collections.abc import Sequence

from agatetack.generated.peers import ttypes
from agatetack.ids import FailureDomain, HostId, TargetId
from agatetack.peers.choice import pair_rank
from agatetack.peers.connector import Connector
from agatetack.peers.exchange import Peer, Scope
from agatetack.peers.link import Link
from agatetack.peers.relay import (
    COMBINED_TOPICS,
    DIRECT_TOPICS,
    ONCE_PER_DOMAIN_TOPICS,
)


class LinkSelector:
    """Selects the links of one host for each message.

    In a full mesh of links, messages about load are sent to all hosts of the
    own failure domain and to one host of each other one. In a larger fleet
    they are sent to the own group, and by its first leader to leaders of
    other groups.
    """

    def __init__(
        self, own: HostId, failure_domain: FailureDomain, connector: Connector
    ):
        """Select among the links of `connector`, the connector of `own`."""
        self.own = own
        self.failure_domain = failure_domain
        self.connector = connector

    @property
    def is_leader(self) -> bool:
        """Return whether this host forwards messages to its group."""
        connector = self.connector
        return connector.is_grouped and self.own in connector.leaders

    @property
    def is_first_leader(self) -> bool:
        """Return whether this host reports its group's targets to others."""
        connector = self.connector
        return connector.is_grouped and self.own in connector.leaders[:1]

    def first_leaders(self) -> Sequence[HostId]:
        """Return the first leader of each group; none without groups."""
        groups = self.connector.groups
        if groups is None:
            return ()
        return groups.first_leaders(self.connector.unreachable)

    def group_hosts(self) -> Sequence[HostId]:
        """Return the hosts of the own group; none without groups."""
        groups = self.connector.groups
        return () if groups is None else groups.hosts[self.connector.group]

    def is_in_group(self, host: HostId) -> bool:
        """Return whether a host is in the own group."""
        groups = self.connector.groups
        if groups is None:
            return False
        return groups.group_of.get(host) == self.connector.group

    def in_group(self, peers: Sequence[Peer]) -> Sequence[Peer]:
        """Return those of `peers` that are in the own group."""
        groups = self.connector.groups
        if groups is None:
            return ()
        group_of, own_group = groups.group_of, self.connector.group
        return [peer for peer in peers if group_of.get(peer.id) == own_group]

    def shares_target(self, target: TargetId, domain: FailureDomain) -> bool:
        """Return whether a target is the own group's; True without groups."""
        groups = self.connector.groups
        if groups is None:
            return True
        return groups.group_of_target(target, domain) == self.connector.group

    def near_links(self) -> list[Link]:
        """Return the links with the hosts of `Scope.NEAR`."""
        links = self.connector.links.values()
        return [link for link in links if self._is_near(link)]

    def links_for(self, scope: Scope, topic: int) -> list[Link]:
        """Return the links over which to send a message to `scope`."""
        links = list(self.connector.links.values())
        if scope is Scope.DOMAIN:
            return [link for link in links if self._is_in_domain(link)]
        if scope is Scope.ELSEWHERE:
            return [link for link in links if not self._is_in_domain(link)]
        if topic in DIRECT_TOPICS:
            return self._direct_links(scope, links)
        if topic not in ONCE_PER_DOMAIN_TOPICS:
            return links
        near = self.near_links()
        if scope is Scope.NEAR and self.connector.is_grouped:
            return near
        far = self._far_links(links)
        if scope is Scope.FAR:
            # In a small fleet `NEAR` already includes all hosts.
            return far if self.connector.is_grouped else []
        return [*near, *far]

    def _direct_links(self, scope: Scope, links: list[Link]) -> list[Link]:
        """Return the links with all hosts of `scope`."""
        if scope is Scope.NEAR and self.connector.is_grouped:
            return self.near_links()
        if scope is Scope.FAR:
            return self._far_links(links) if self.connector.is_grouped else []
        return links

    def forwards_to_near(self, link: Link, publish: ttypes.Publish) -> bool:
        """Return whether this host forwards a message to the near hosts.

        In a small fleet, the origin in another failure domain chose this host
        to forward it. In a large one, the first leader of another group sent it
        to this group's first leader.
        """
        if (
            publish.topic not in ONCE_PER_DOMAIN_TOPICS
            or publish.origin != link.id
        ):
            return False
        if self.connector.is_grouped and (
            publish.topic in COMBINED_TOPICS or not self.is_first_leader
        ):
            return False
        return not self._is_near(link)

    def _is_near(self, link: Link) -> bool:
        if self.connector.is_grouped:
            return self.is_in_group(link.id)
        return self._is_in_domain(link)

    def _is_in_domain(self, link: Link) -> bool:
        return link.failure_domain == self.failure_domain

    def _far_links(self, links: Sequence[Link]) -> list[Link]:
        """Return the links over which load is sent beyond the near hosts."""
        if self.connector.is_grouped:
            far = [link for link in links if not self._is_near(link)]
            return far if self.is_first_leader else []
        return self._one_link_per_domain(links)

    def _one_link_per_domain(self, links: Sequence[Link]) -> list[Link]:
        """Return the link with one host of each other failure domain."""
        found: dict[FailureDomain, Link] = {}
        for link in links:
            if self._is_near(link) or not link.live or link.leaving:
                continue
            known = found.get(link.failure_domain)
            if known is None or pair_rank(self.own, link.id) < pair_rank(
                self.own, known.id
            ):
                found[link.failure_domain] = link
        return list(found.values())
