"""Choose the few hosts of a fleet that read topics for all of it.

Every read of the store is paid for. A host that reads tells its peers how far
it is, so that the others need not: they ask a peer when they are behind, and
read for themselves when no reader has told them anything for a while. In a
fleet too large for links with all, the leaders of groups read, or pass on to
their groups what a leader that reads has told them.
"""

import abc
import dataclasses
import math
from collections import defaultdict
from collections.abc import Sequence

import trio
import xxhash

from agatetack.ids import Deadline, FailureDomain, HostId
from agatetack.peers.exchange import Exchange
from agatetack.settings.model import Settings

LEAST_READERS = 12
"""Hosts at least that read a topic for the fleet.

The store may turn away a third of all hosts at once without a word, and hardly
ever all of these.
"""

LEAST_LEADERS = 8
"""Leaders that read a topic in a fleet too large for links with all. They are
some of ten or more, and each host that hears none of them reads for itself, so
that all eight turned away cost calls of the store and no time."""

WORD_SECONDS = 0.9
"""A host reads for itself when no reader told it anything for this time.

With a reader's pause after a record (`platform.store.batch_seconds`) a change
is known everywhere within 1.5 s, also if all readers are lost with it.
"""

PASSED_ON_SECONDS = 0.6
"""Age up to which the leader of a group passes a reader's word on; a word that
comes every 0.4 s is no older, unless one was late."""

DOUBT_SECONDS = 5.0
"""How long a host reads for itself to which a peer did not give what it told
of. A large document takes long from a peer whose bytes are bounded, when
several hosts ask it at once."""

TRUST_SECONDS = 2.0
"""How long a host that was told at its start what is in the store waits for
links with those that read it. They refuse it until its seed has registered it
and they have read that."""

CHOICE_SECONDS = 0.3
"""How often readers are chosen anew. That one is gone is noticed sooner, as it
tells nothing any more."""


class ReaderChoice(abc.ABC):
    """Tells a host whether a topic is its own to read."""

    @abc.abstractmethod
    def must_read(self, topic: str) -> bool:
        """Return whether this host has to read `topic` at the store now."""

    @abc.abstractmethod
    def place(self, topic: str) -> int | None:
        """Return this host's place among the readers of `topic`, from 0.

        None if it is none of them.
        """


class EveryHost(ReaderChoice):
    """Every host reads every topic."""

    def must_read(self, topic: str) -> bool:
        """Return True."""
        return True

    def place(self, topic: str) -> int | None:
        """Return 0."""
        return 0


@dataclasses.dataclass(frozen=True, slots=True)
class ChosenReader:
    """Whether this host reads a topic.

    Attributes:
        place: Its place among the readers of the fleet, or None.
        until: When that is worked out anew.
    """

    place: int | None
    until: Deadline


class FleetReaders(ReaderChoice):
    """Some hosts of each failure domain read a topic for the fleet.

    All hosts choose alike, by a hash of topic and host over the hosts that
    are live; where their views differ, more of them read or some are told by
    nobody and read for themselves.

    Attributes:
        heard_at: When a reader last told that it is in touch, by topic.
        chosen: Whether this host is a reader, by topic.
        doubted_until: Until when this host reads a topic whoever tells.
        trusted_until: Until when it does not, as it was just told all of it.
    """

    def __init__(self, settings: Settings, exchange: Exchange):
        """Choose among the hosts that `exchange` knows."""
        self.own = HostId(settings.host.id)
        self.domain = FailureDomain(settings.host.failure_domain)
        self.exchange = exchange
        self.heard_at: dict[str, Deadline] = {}
        self.chosen: dict[str, ChosenReader] = {}
        self.doubted_until: dict[str, Deadline] = {}
        self.trusted_until: dict[str, Deadline] = {}

    def trust(self, topic: str) -> None:
        """Leave `topic` to others for a while, whoever reads it."""
        until = trio.current_time() + TRUST_SECONDS
        self.trusted_until[topic] = Deadline(until)

    def heard(self, topic: str, age_seconds: float = 0.0) -> None:
        """Note that a host which reads `topic` is in touch with the store.

        Args:
            topic: The topic.
            age_seconds: How long ago that host said so.
        """
        heard_at = trio.current_time() - max(0.0, age_seconds)
        known_at = self.heard_at.get(topic, -math.inf)
        self.heard_at[topic] = Deadline(max(known_at, heard_at))

    def word_age(self, topic: str) -> float | None:
        """Return how old the word is that this host may pass on, in seconds.

        None if this host leads no group, or the word is too old to be of use
        to those that get it.
        """
        if not self.exchange.is_leader:
            return None
        age = trio.current_time() - self.heard_at.get(topic, -math.inf)
        return age if age < PASSED_ON_SECONDS else None

    def doubt(self, topic: str) -> None:
        """Let this host read `topic` itself for a while, whoever tells.

        Not one that was just told all there is: peers of a fleet that starts
        are busy, and each doubt costs reads of the store.
        """
        now = trio.current_time()
        if now >= self.trusted_until.get(topic, -math.inf):
            self.doubted_until[topic] = Deadline(now + DOUBT_SECONDS)

    def must_read(self, topic: str) -> bool:
        """Return whether this host has to read `topic` at the store now."""
        heard_at = self.heard_at.get(topic, -math.inf)
        now = trio.current_time()
        if now < self.trusted_until.get(topic, -math.inf):
            return False
        if now >= heard_at + WORD_SECONDS:
            return True
        if now < self.doubted_until.get(topic, -math.inf):
            return True
        return self.is_reader(topic)

    def is_reader(self, topic: str) -> bool:
        """Return whether this host is one of the readers of `topic`."""
        return self.place(topic) is not None

    def place(self, topic: str) -> int | None:
        """Return this host's place among the readers of `topic`, or None."""
        now = trio.current_time()
        chosen = self.chosen.get(topic)
        if chosen is None or now >= chosen.until:
            until = Deadline(now + CHOICE_SECONDS)
            chosen = ChosenReader(self._find_place(topic), until)
            self.chosen[topic] = chosen
        return chosen.place

    def _find_place(self, topic: str) -> int | None:
        if self.exchange.bounded:
            leaders = self.exchange.first_leaders()
            return _place(self.own, _best(topic, leaders, LEAST_LEADERS))
        domains: dict[FailureDomain, list[HostId]] = defaultdict(list)
        domains[self.domain].append(self.own)
        for peer in self.exchange.known_hosts():
            if not peer.leaving:
                domains[peer.failure_domain].append(peer.id)
        readers = math.ceil(LEAST_READERS / len(domains))
        near = _place(self.own, _best(topic, domains[self.domain], readers))
        if near is None:
            return None
        # The first readers of all domains come before any second one.
        return near * len(domains) + sorted(domains).index(self.domain)


def _place(host: HostId, hosts: Sequence[HostId]) -> int | None:
    return hosts.index(host) if host in hosts else None


def _best(topic: str, hosts: Sequence[HostId], count: int) -> list[HostId]:
    return sorted(hosts, key=lambda host: _rank(topic, host))[:count]


def _rank(topic: str, host: HostId) -> int:
    return xxhash.xxh32_intdigest(f"{topic}|{host}".encode())
