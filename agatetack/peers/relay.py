"""Decide which published messages of other hosts this host forwards.

Duplicates, which arrive over several links, and messages of old incarnations
are detected.
"""

import dataclasses
import enum
from collections import OrderedDict
from collections.abc import Mapping

from agatetack.generated.peers import ttypes
from agatetack.ids import HostId
from agatetack.peers.choice import pair_rank
from agatetack.peers.exchange import Topic
from agatetack.peers.link import Link

MEMBER_TOPIC = 0
"""The topic of hosts' announcements; no other package reads it."""

FORWARDED_TOPICS = frozenset(
    {
        MEMBER_TOPIC,
        Topic.CONFIG_RECORDS.value,
        Topic.TARGET_SIGNS.value,
        Topic.CRASH_FINGERPRINTS.value,
        Topic.TARGET_DRAINS.value,
    }
)
"""Topics that are forwarded to every host.

The others are for linked hosts only: load samples of a large fleet would use up
every host's budget, and an offset is enough for a linked host to fetch the
records that it lacks.
"""

ONCE_PER_DOMAIN_TOPICS = frozenset(
    {Topic.LOAD_SAMPLES.value, Topic.IN_FLIGHT.value}
)
"""Topics that are sent only once to each other failure domain.

One host there forwards the messages, because traffic between failure domains is
charged and load is reported hundreds of times a second. If that host fails
unnoticed, the messages sent to it don't reach its failure domain until it is
considered dead; the targets' own load reports are used meanwhile.
"""

DIRECT_TOPICS = frozenset({Topic.QUOTA_SUMS.value, Topic.QUOTA_SHARES.value})
"""Topics that are sent to exactly the hosts of their scope and not forwarded.

These messages are few, and a host that failed unnoticed must not keep those of
a failure domain from receiving them.
"""

COMBINED_TOPICS = frozenset({Topic.LOAD_SAMPLES.value})
"""Topics that first leaders of groups don't forward message by message.

Their handlers at the first leader of a group combine the messages of other
groups and send them to the group in fewer messages.
"""

FORWARDERS_PER_MISSING_LINK = 2
"""Number of hosts that forward messages between two hosts without a link."""


DUPLICATE_WINDOW_MESSAGES = 1024
"""Number of sequence numbers per origin that are checked for duplicates.

A message this far behind its origin's newest one is dropped as a duplicate.
"""

MAX_ORIGINS = 8192
"""Maximum number of origins remembered; the least recent one is removed."""


class Verdict(enum.Enum):
    """The result of the duplicate check of a message."""

    NEW = "new"
    DUPLICATE = "duplicate"
    OLD_INCARNATION = "old-incarnation"


@dataclasses.dataclass(slots=True)
class OriginWindow:
    """The sequence numbers received from one origin.

    Attributes:
        incarnation: The highest incarnation received.
        highest: The highest sequence number received.
        seen: Bit n is set if `highest - n` was received.
    """

    incarnation: int
    highest: int = 0
    seen: int = 0


class DuplicateFilter:
    """Detects duplicates of recent messages, with bounded memory."""

    def __init__(self) -> None:
        """Start without any origin."""
        self.origins: OrderedDict[str, OriginWindow] = OrderedDict()

    def check(self, origin: str, incarnation: int, sequence: int) -> Verdict:
        """Return whether a message is new and record it."""
        window = self.origins.get(origin)
        if window is None or incarnation > window.incarnation:
            window = OriginWindow(incarnation, highest=sequence)
            self.origins[origin] = window
        elif incarnation < window.incarnation:
            return Verdict.OLD_INCARNATION
        self.origins.move_to_end(origin)
        if len(self.origins) > MAX_ORIGINS:
            self.origins.popitem(last=False)
        return _record(window, sequence)


def _record(window: OriginWindow, sequence: int) -> Verdict:
    if sequence > window.highest:
        shift = min(sequence - window.highest, DUPLICATE_WINDOW_MESSAGES)
        window.seen = (window.seen << shift) & (
            (1 << DUPLICATE_WINDOW_MESSAGES) - 1
        )
        window.highest = sequence
    behind = window.highest - sequence
    if behind >= DUPLICATE_WINDOW_MESSAGES or window.seen >> behind & 1:
        return Verdict.DUPLICATE
    window.seen |= 1 << behind
    return Verdict.NEW


class Relay:
    """What one host publishes and forwards."""

    def __init__(self, own: HostId, incarnation: int):
        """Number this host's own messages from 1."""
        self.own = own
        self.incarnation = incarnation
        self.sequence = 0
        self.filter = DuplicateFilter()

    def new_publish(
        self, topic: int, payload: bytes, flood: bool
    ) -> ttypes.Publish:
        """Return a message of this host with the next sequence number."""
        self.sequence += 1
        return ttypes.Publish(
            origin=self.own,
            incarnation=self.incarnation,
            sequence=self.sequence,
            topic=topic,
            payload=payload,
            flood=flood or None,
        )

    def check(self, publish: ttypes.Publish) -> Verdict:
        """Return whether a received message is new and record it."""
        if publish.origin == self.own:
            return Verdict.DUPLICATE
        return self.filter.check(
            publish.origin, publish.incarnation, publish.sequence
        )

    def links_to_forward(
        self,
        publish: ttypes.Publish,
        source: Link,
        links: Mapping[HostId, Link],
    ) -> list[Link]:
        """Return the links over which to forward a new message.

        Args:
            publish: The message.
            source: The link over which it was received.
            links: All links of this host.
        """
        if publish.topic not in FORWARDED_TOPICS:
            return []
        others = [
            link
            for link in links.values()
            if link.id not in (source.id, publish.origin)
        ]
        if publish.flood:
            return others
        if publish.origin != source.id:
            return []
        return [
            link
            for link in others
            # One end may still have a link with an old incarnation, so it
            # suffices that either end misses the other.
            if (source.id in link.missing or link.id in source.missing)
            and self._forwards_between(source, link, links)
        ]

    def _forwards_between(
        self, source: Link, destination: Link, links: Mapping[HostId, Link]
    ) -> bool:
        # Both ends send the hosts they miss to all their peers, so the hosts
        # with links to both agree on which of them forward messages.
        excluded = (
            source.missing | destination.missing | {source.id, destination.id}
        )
        candidates = [
            host for host in (self.own, *links) if host not in excluded
        ]
        pair = f"{source.id}>{destination.id}"
        candidates.sort(key=lambda host: pair_rank(host, pair))
        return self.own in candidates[:FORWARDERS_PER_MISSING_LINK]


def without_origin(publish: ttypes.Publish) -> ttypes.Publish:
    """Return a message without the origin, for peers that can derive it.

    This halves the size of a message about one request, the most frequent kind
    of message.
    """
    return ttypes.Publish(
        sequence=publish.sequence,
        topic=publish.topic,
        payload=publish.payload,
        flood=publish.flood,
    )
