"""Decide which published messages of other hosts this host passes on.

Messages that came before, by another way or from a past host, are recognised.
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
"""The topic of hosts' announcements of themselves; no slice reads it."""

RELAYED_TOPICS = frozenset(
    {
        MEMBER_TOPIC,
        Topic.CONFIG_RECORDS.value,
        Topic.TARGET_SIGNS.value,
        Topic.CRASH_FINGERPRINTS.value,
        Topic.TARGET_DRAINS.value,
    }
)
"""Topics that every host needs. The others are for linked hosts only: load
samples of a large fleet would fill every host's budget, and an offset tells
the next host enough to fetch what it lacks."""

DOMAIN_TOPICS = frozenset({Topic.LOAD_SAMPLES.value, Topic.IN_FLIGHT.value})
"""Topics that a host of another failure domain tells to one host of this one,
for all of them.

Bytes between failure domains are paid for, and load is told hundreds of times
a second. A relay that is lost without a word keeps its part of the
messages from its domain until it is taken for gone; reports of the targets
themselves stand in for them meanwhile.
"""

GATHERED_TOPICS = frozenset({Topic.LOAD_SAMPLES.value})
"""Topics whose readers at the first leader of a group tell the group what other
groups say, in fewer messages."""

RELAYS_FOR_CUT_LINK = 2
"""Hosts that pass on messages between two hosts without a link."""


WINDOW = 1024
"""How far behind an origin's newest message one may arrive and be taken."""

MAX_ORIGINS = 8192
"""Origins remembered; the one heard longest ago is forgotten first."""


class Verdict(enum.Enum):
    """What is known of an arriving message."""

    NEW = "new"
    DUPLICATE = "duplicate"
    OLD_INCARNATION = "old-incarnation"


@dataclasses.dataclass(slots=True)
class OriginWindow:
    """The messages of one origin that were seen.

    Attributes:
        incarnation: The highest heard of.
        highest: The highest sequence number seen.
        seen: Bit n tells whether `highest - n` was seen.
    """

    incarnation: int
    highest: int = 0
    seen: int = 0


class DuplicateFilter:
    """The messages seen lately from every origin, in bounded memory."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.origins: OrderedDict[str, OriginWindow] = OrderedDict()

    def check(self, origin: str, incarnation: int, sequence: int) -> Verdict:
        """Return whether a message is new, and remember it."""
        window = self.origins.get(origin)
        if window is None or incarnation > window.incarnation:
            window = OriginWindow(incarnation, highest=sequence)
            self.origins[origin] = window
        elif incarnation < window.incarnation:
            return Verdict.OLD_INCARNATION
        self.origins.move_to_end(origin)
        if len(self.origins) > MAX_ORIGINS:
            self.origins.popitem(last=False)
        return _mark(window, sequence)


def _mark(window: OriginWindow, sequence: int) -> Verdict:
    if sequence > window.highest:
        shift = min(sequence - window.highest, WINDOW)
        window.seen = (window.seen << shift) & ((1 << WINDOW) - 1)
        window.highest = sequence
    behind = window.highest - sequence
    if behind >= WINDOW or window.seen >> behind & 1:
        return Verdict.DUPLICATE
    window.seen |= 1 << behind
    return Verdict.NEW


class Relay:
    """What one host publishes and passes on."""

    def __init__(self, own: HostId, incarnation: int):
        """Number this host's own messages from 1."""
        self.own = own
        self.incarnation = incarnation
        self.sequence = 0
        self.filter = DuplicateFilter()

    def new_publish(
        self, topic: int, payload: bytes, flood: bool
    ) -> ttypes.Publish:
        """Return a message of this host with the next number."""
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
        """Return whether a message that arrived is new, and remember it."""
        if publish.origin == self.own:
            return Verdict.DUPLICATE
        return self.filter.check(
            publish.origin, publish.incarnation, publish.sequence
        )

    def targets(
        self,
        publish: ttypes.Publish,
        source: Link,
        links: Mapping[HostId, Link],
    ) -> list[Link]:
        """Return the links to pass a new message on over.

        Args:
            publish: The message.
            source: The link that it came over.
            links: All links of this host.
        """
        if publish.topic not in RELAYED_TOPICS:
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
            # One end may still hold a link with a past incarnation, so the
            # word of either is enough.
            if (source.id in link.missing or link.id in source.missing)
            and self._relays_between(source, link, links)
        ]

    def _relays_between(
        self, source: Link, target: Link, links: Mapping[HostId, Link]
    ) -> bool:
        # Both ends tell all their peers whom they miss, so the hosts that
        # have links with both agree on who of them passes messages on.
        cut = source.missing | target.missing | {source.id, target.id}
        able = [host for host in (self.own, *links) if host not in cut]
        pair = f"{source.id}>{target.id}"
        able.sort(key=lambda host: pair_rank(host, pair))
        return self.own in able[:RELAYS_FOR_CUT_LINK]


def without_origin(publish: ttypes.Publish) -> ttypes.Publish:
    """Return a host's own message as it goes to peers that know its origin.

    A message that tells of one request is half as long then, and they are the
    most that a host sends.
    """
    return ttypes.Publish(
        sequence=publish.sequence,
        topic=publish.topic,
        payload=publish.payload,
        flood=publish.flood,
    )
