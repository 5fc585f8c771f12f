"""Say which links a message goes over, and whom a host passes it on to."""

from collections.abc import Sequence

from agatetack.generated.peers import ttypes
from agatetack.ids import FailureDomain, HostId, TargetId
from agatetack.peers.choice import pair_rank
from agatetack.peers.connector import Connector
from agatetack.peers.exchange import Scope
from agatetack.peers.link import Link
from agatetack.peers.relay import DOMAIN_TOPICS, GATHERED_TOPICS


class Reach:
    """Whom one host reaches by which of its links.

    In a fleet with links among all, messages on load go to all of the own
    failure domain and to one host of each other one. In a larger fleet they go
    to the own group, and from its first leader to the leaders of others.
    """

    def __init__(
        self, own: HostId, failure_domain: FailureDomain, connector: Connector
    ):
        """Choose among the links of `connector`, which is `own`'s."""
        self.own = own
        self.failure_domain = failure_domain
        self.connector = connector

    @property
    def is_leader(self) -> bool:
        """Return whether this host passes on what its group has to hear."""
        connector = self.connector
        return connector.bounded and self.own in connector.leaders

    @property
    def is_first_leader(self) -> bool:
        """Return whether this host tells others of its group's targets."""
        connector = self.connector
        return connector.bounded and self.own in connector.leaders[:1]

    def first_leaders(self) -> Sequence[HostId]:
        """Return the first leader of each group; none without groups."""
        groups = self.connector.groups
        if groups is None:
            return ()
        return groups.first_leaders(self.connector.lost)

    def group_hosts(self) -> Sequence[HostId]:
        """Return the hosts of the own group; none without groups."""
        groups = self.connector.groups
        return () if groups is None else groups.hosts[self.connector.group]

    def is_of_group(self, host: HostId) -> bool:
        """Return whether a host is of the own group."""
        groups = self.connector.groups
        if groups is None:
            return False
        return groups.group_of.get(host) == self.connector.group

    def shares_target(self, target: TargetId, domain: FailureDomain) -> bool:
        """Return whether a target is the own group's, or there are none."""
        groups = self.connector.groups
        if groups is None:
            return True
        return groups.of_target(target, domain) == self.connector.group

    def near_links(self) -> list[Link]:
        """Return the links over which messages on load stay near."""
        links = self.connector.links.values()
        return [link for link in links if self._is_near(link)]

    def links_in(self, scope: Scope, topic: int) -> list[Link]:
        """Return the links over which a message reaches all of `scope`."""
        links = list(self.connector.links.values())
        if scope is Scope.DOMAIN:
            return [link for link in links if self._is_of_domain(link)]
        if scope is Scope.ELSEWHERE:
            return [link for link in links if not self._is_of_domain(link)]
        if topic not in DOMAIN_TOPICS:
            return links
        near = self.near_links()
        if scope is Scope.NEAR and self.connector.bounded:
            return near
        far = self._far_links(links)
        if scope is Scope.FAR:
            # In a small fleet nobody is left out of what goes near.
            return far if self.connector.bounded else []
        return [*near, *far]

    def is_for_others(self, link: Link, publish: ttypes.Publish) -> bool:
        """Return whether this host is to tell those near what comes from far.

        In a small fleet a host of another failure domain chose it for that;
        in a large one the leader of another group told each first leader.
        """
        if publish.topic not in DOMAIN_TOPICS or publish.origin != link.id:
            return False
        if self.connector.bounded and (
            publish.topic in GATHERED_TOPICS or not self.is_first_leader
        ):
            return False
        return not self._is_near(link)

    def _is_near(self, link: Link) -> bool:
        if self.connector.bounded:
            return self.is_of_group(link.id)
        return self._is_of_domain(link)

    def _is_of_domain(self, link: Link) -> bool:
        return link.failure_domain == self.failure_domain

    def _far_links(self, links: Sequence[Link]) -> list[Link]:
        """Return the links over which load is told beyond those near."""
        if self.connector.bounded:
            far = [link for link in links if not self._is_near(link)]
            return far if self.is_first_leader else []
        return self._relays(links)

    def _relays(self, links: Sequence[Link]) -> list[Link]:
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
