"""Choose the few hosts that read a topic from the store for the whole fleet.

Every read of the store costs money. A reader reports its read position to its
peers, so the other hosts need not read: they fetch records from a peer when
they are behind, and read the store themselves when no reader has reported for
a while. In a fleet too large for links between all hosts, group leaders read,
or forward the reports of the leaders that read to their groups.
"""

import abc
import dataclasses
import itertools
import math
from collections import defaultdict
from collections.abc import Sequence

import trio
import xxhash

from agatetack.ids import Deadline, FailureDomain, HostId
from agatetack.peers.exchange import Exchange
from agatetack.settings.model import Settings

MIN_READERS = 6
"""Minimum number of hosts that read a topic for the fleet.

Each of them calls the store for each change. The store may refuse a third of
all hosts at once, but all of these in one of 700 cases; then the other hosts
read the store themselves after `REPORT_TIMEOUT_SECONDS`.
"""

READING_LEADERS = 8
"""Number of leaders that read a topic in a fleet too large for links between
all hosts. There are ten or more leaders, and a host that gets no report from a
reader reads the store itself. If the store turns away all eight, this costs
extra store calls but no delay."""

REPORT_TIMEOUT_SECONDS = 0.9
"""A host reads the store itself when no reader has reported for this long.

Together with a reader's pause after a record (`platform.store.batch_seconds`),
this makes a change known everywhere within 1.5 s even if all readers fail.
"""

MAX_FORWARDED_AGE_SECONDS = 0.6
"""Maximum age of a reader's report that a group leader forwards. Reports come
every 0.4 s, so the latest one is older only when a report was late."""

DOUBT_SECONDS = 5.0
"""How long a host reads the store itself after a peer failed to deliver the
records that it had reported. A large document takes long from a peer with a
limited byte rate when several hosts ask for it at once."""

MAX_ANSWER_AGE_SECONDS = 1.7
"""How long a host's records count as current after the store is known to have
held no others; then it reads the store itself. It is the same for records that
it read, was told of by readers, or copied as it started.

Answers of the first reader are about 0.8 s apart and reach all hosts within
0.45 s. If it hears nothing, the readers ask 1.15 to 1.55 s after the last
answer, before all others do. So a change is known within 2 s even if the store
silently stops answering all readers as it is made. After a silence of the
store, a read that was sent in it fails within 1 s, the next one follows within
0.63 s, and its records reach all hosts within 0.55 s: 2.2 s of the 3 s in which
hosts have to be up to date."""

SILENT_SECONDS = 1.15
"""Age of what is known at which the first reader asks the store at once. It
then gives up a read that waits for a record."""

SILENT_STEP_SECONDS = 0.08
"""How much longer each further reader waits. The one before it has its answer
by then, unless that answer was lost as well."""

LAST_SILENT_RANK = 5
"""Rank from which on all hosts wait equally long."""

CHOICE_SECONDS = 0.3
"""How often readers are chosen again. A failed reader is noticed sooner,
because its reports stop."""


class ReaderChoice(abc.ABC):
    """Decides whether this host has to read a topic from the store.

    Attributes:
        complete: By topic, the latest time at which the store is known to have
            held no record that this host lacks. It goes from host to host with
            the records, as an age, and being passed on doesn't renew it.
    """

    def __init__(self) -> None:
        """Know of no such time."""
        self.complete: dict[str, Deadline] = {}

    def note_complete(self, topic: str, at: Deadline) -> None:
        """Note that the store held nothing at a time that this host lacks."""
        self.complete[topic] = max(at, self.complete_at(topic))

    def complete_at(self, topic: str) -> Deadline:
        """Return when the store last held nothing that this host lacks.

        It is as far as known, and minus infinity if nothing is known.
        """
        return self.complete.get(topic, Deadline(-math.inf))

    def is_current(self, topic: str) -> bool:
        """Return whether that is not long ago."""
        complete_at = self.complete_at(topic)
        return trio.current_time() < complete_at + MAX_ANSWER_AGE_SECONDS

    def silent_at(self, topic: str) -> Deadline:
        """Return from when on this host, if it reads, asks without waiting."""
        place = self.place(topic)
        rank = min(LAST_SILENT_RANK, math.inf if place is None else place)
        seconds = SILENT_SECONDS + rank * SILENT_STEP_SECONDS
        return Deadline(self.complete_at(topic) + seconds)

    @abc.abstractmethod
    def note_copied(self, topic: str) -> None:
        """Note that this host starts with records of another one."""

    @abc.abstractmethod
    def must_read(self, topic: str) -> bool:
        """Return whether this host has to read `topic` at the store now."""

    def hears_reader(self, topic: str) -> bool:
        """Return whether another host reports that it reads `topic`."""
        return False

    @abc.abstractmethod
    def place(self, topic: str) -> int | None:
        """Return this host's rank among the readers of `topic`, from 0.

        None if it is not one of them.
        """


class EveryHost(ReaderChoice):
    """Makes every host read every topic."""

    def note_copied(self, topic: str) -> None:
        """Do nothing, as this host reads in any case."""

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
        place: Its rank among the readers of the fleet, or None.
        until: When the choice has to be made again.
    """

    place: int | None
    until: Deadline


class FleetReaders(ReaderChoice):
    """Lets some hosts of each failure domain read a topic for the fleet.

    All hosts make the same choice by hashing topic and host over the live
    hosts. Where their views of the fleet differ, additional hosts read, or
    some hosts get no reports and read for themselves.

    Attributes:
        reported_at: When a reader last reported that it can reach the store, by
            topic.
        chosen: Whether this host is a reader, by topic.
        doubted_until: Until when this host reads a topic despite reports.
        copied_until: Until when this host, which copied its records as it
            started, relies on them, by topic.
    """

    def __init__(self, settings: Settings, exchange: Exchange):
        """Choose among the hosts that `exchange` knows."""
        super().__init__()
        self.own = HostId(settings.host.id)
        self.domain = FailureDomain(settings.host.failure_domain)
        self.exchange = exchange
        self.reported_at: dict[str, Deadline] = {}
        self.chosen: dict[str, ChosenReader] = {}
        self.doubted_until: dict[str, Deadline] = {}
        self.copied_until: dict[str, Deadline] = {}

    def note_copied(self, topic: str) -> None:
        """Rely on the copied records of `topic` until they are too old.

        Links to the readers take a moment: they are refused until the seed has
        registered this host and the readers have read that. Records of an age
        at which readers ask the store are not relied on.
        """
        complete_at = self.complete_at(topic)
        if trio.current_time() < complete_at + SILENT_SECONDS:
            until = Deadline(complete_at + MAX_ANSWER_AGE_SECONDS)
            self.copied_until[topic] = until

    def note_report(self, topic: str, age_seconds: float = 0.0) -> None:
        """Note that a host that reads `topic` can reach the store.

        Args:
            topic: The topic.
            age_seconds: How long ago that host reported this.
        """
        reported_at = trio.current_time() - max(0.0, age_seconds)
        known_at = self.reported_at.get(topic, -math.inf)
        self.reported_at[topic] = Deadline(max(known_at, reported_at))

    def has_heard(self, topic: str) -> bool:
        """Return whether any other host has reported that it reads `topic`."""
        return topic in self.reported_at

    def forwardable_age_seconds(self, topic: str) -> float | None:
        """Return the age in seconds of the report that this host may forward.

        None if this host leads no group, or if the report is too old to be
        useful to its receivers.
        """
        if not self.exchange.is_leader:
            return None
        age = trio.current_time() - self.reported_at.get(topic, -math.inf)
        return age if age < MAX_FORWARDED_AGE_SECONDS else None

    def doubt(self, topic: str) -> None:
        """Make this host read `topic` itself for a while despite reports.

        This does not apply to a host that just copied all records: peers in a
        fleet that is starting are busy, and falling back to the store costs
        reads.
        """
        now = trio.current_time()
        if now >= self.copied_until.get(topic, -math.inf):
            self.doubted_until[topic] = Deadline(now + DOUBT_SECONDS)

    def must_read(self, topic: str) -> bool:
        """Return whether this host has to read `topic` at the store now."""
        now = trio.current_time()
        if not self.is_current(topic):
            return True
        if now < self.copied_until.get(topic, -math.inf):
            return self._reads_first(topic) and now >= self.silent_at(topic)
        reported_at = self.reported_at.get(topic, -math.inf)
        if now >= reported_at + REPORT_TIMEOUT_SECONDS:
            return True
        if now < self.doubted_until.get(topic, -math.inf):
            return True
        return self.is_reader(topic)

    def _reads_first(self, topic: str) -> bool:
        """Return whether this host knows others and is one of the readers."""
        return bool(self.exchange.known_hosts()) and self.is_reader(topic)

    def hears_reader(self, topic: str) -> bool:
        """Return whether another host reports that it reads `topic`.

        That is not so while records that such a host reported don't arrive.
        """
        now = trio.current_time()
        reported_at = self.reported_at.get(topic, -math.inf)
        doubted_until = self.doubted_until.get(topic, -math.inf)
        return doubted_until <= now < reported_at + REPORT_TIMEOUT_SECONDS

    def is_reader(self, topic: str) -> bool:
        """Return whether this host is one of the readers of `topic`."""
        return self.place(topic) is not None

    def place(self, topic: str) -> int | None:
        """Return this host's rank among the readers of `topic`, or None."""
        now = trio.current_time()
        chosen = self.chosen.get(topic)
        if chosen is None or now >= chosen.until:
            until = Deadline(now + CHOICE_SECONDS)
            chosen = ChosenReader(self._find_place(topic), until)
            self.chosen[topic] = chosen
        return chosen.place

    def ranked(self, topic: str) -> Sequence[HostId]:
        """Return the readers of `topic`, the first one first.

        Hosts with the same view of the fleet return the same readers.
        """
        if self.exchange.is_grouped:
            leaders = self.exchange.first_leaders()
            return _best(topic, leaders, READING_LEADERS)
        domains = self._hosts_by_domain()
        count = math.ceil(MIN_READERS / len(domains))
        chosen = [
            _best(topic, domains[each], count) for each in sorted(domains)
        ]
        # The first reader of each domain ranks before any second one.
        turns = itertools.zip_longest(*chosen)
        return [host for turn in turns for host in turn if host is not None]

    def _hosts_by_domain(self) -> dict[FailureDomain, list[HostId]]:
        domains: dict[FailureDomain, list[HostId]] = defaultdict(list)
        domains[self.domain].append(self.own)
        for peer in self.exchange.known_hosts():
            if not peer.leaving:
                domains[peer.failure_domain].append(peer.id)
        return domains

    def _find_place(self, topic: str) -> int | None:
        if self.exchange.is_grouped:
            return _place(self.own, self.ranked(topic))
        domains = self._hosts_by_domain()
        readers = math.ceil(MIN_READERS / len(domains))
        near = _place(self.own, _best(topic, domains[self.domain], readers))
        if near is None:
            return None
        # The first reader of each domain ranks before any second one.
        return near * len(domains) + sorted(domains).index(self.domain)


def _place(host: HostId, hosts: Sequence[HostId]) -> int | None:
    return hosts.index(host) if host in hosts else None


def _best(topic: str, hosts: Sequence[HostId], count: int) -> list[HostId]:
    return sorted(hosts, key=lambda host: _rank(topic, host))[:count]


def _rank(topic: str, host: HostId) -> int:
    return xxhash.xxh32_intdigest(f"{topic}|{host}".encode())
