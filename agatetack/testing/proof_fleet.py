"""Run hosts that prove the age of their configuration, in virtual time."""

import dataclasses
import random

import trio

from agatetack.config.document_routes import DocumentRoutes
from agatetack.config.route import RequestClass, Route, RouteSource
from agatetack.identity.check import AccountCheck
from agatetack.ids import (
    Deadline,
    HostId,
    LogOffset,
    RouteId,
    ServiceId,
    TeamId,
)
from agatetack.keyed.follower import ReadCounters, TopicFollower
from agatetack.keyed.generations import StoreGenerations
from agatetack.keyed.proofs import ProvenAge
from agatetack.keyed.sharing import TopicSharing
from agatetack.keyed.topic import KeyedRecord, TopicPage, TopicUnavailable
from agatetack.messages import Header
from agatetack.metrics import Metrics
from agatetack.outcomes import RefusalReason
from agatetack.platform.configuration import (
    CONFIGURATION_KEY,
    ConfigurationDecoder,
)
from agatetack.settings.defaults import default_settings
from agatetack.testing.grouped_exchange import GroupedMesh
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.memory_topic import NAME, MemoryTopic
from agatetack.testing.store_fleet import configuration
from agatetack.testing.targets import make_request
from agatetack.testing.virtual_clock import VirtualClock

SETTINGS = default_settings(
    identity={"strict_revocation": True},
    platform={"store": {"poll_seconds": 20, "batch_seconds": 0.1}},
)

KEPT, REVOKED = b"kept-key", b"revoked-key"

ROUTE = Route(RouteId("r"), TeamId("t"), ServiceId("s"), RequestClass.FAST, "/")


def document(version: int, *keys: bytes, accounts: bool = True) -> bytes:
    """Return a configuration in which one account has `keys`."""
    tenants = [{"name": "a", "api_keys": [key.decode() for key in keys]}]
    return configuration(version, **({"tenants": tenants} if accounts else {}))


class SuspendedClock(VirtualClock):
    """Clocks of a system that may be suspended.

    Attributes:
        suspended: How long it was suspended, in seconds.
    """

    def __init__(self):
        """Start without a suspension."""
        self.suspended = 0.0

    def boot(self):
        """Return the time since boot."""
        return trio.current_time() + self.suspended


class ProofTopic(MemoryTopic):
    """A topic whose calls may take time.

    Attributes:
        delay_seconds: How long each call takes before the store has it.
        reply_delay_seconds: How long each reply takes.
    """

    def __init__(self, store, generations):
        """Reach `store`."""
        super().__init__(store, generations)
        self.delay_seconds = 0.0
        self.reply_delay_seconds = 0.0

    async def read(self, first, wait_until, deadline, on_answer=None):
        """Return the records from `first` on."""
        with trio.move_on_at(deadline):
            await trio.sleep(self.delay_seconds)
            page = await super().read(first, wait_until, deadline, on_answer)
            await trio.sleep(self.reply_delay_seconds)
            return page
        raise TopicUnavailable("no answer in time")


class Times:
    """Takes the place of a counter and keeps the time of each step.

    Attributes:
        at: The times.
    """

    def __init__(self):
        """Start without any."""
        self.at = []

    def inc(self, labels):
        """Keep the current time."""
        self.at.append(trio.current_time())


class ProofHost:
    """One host that follows the configuration and checks requests.

    Attributes:
        clock: Its clocks.
        documents: What it has in force.
        proofs: The age of it.
        check: Checks its requests.
        reads: When its reads for a proof ended.
        calls: When its calls for a proof ended.
    """

    def __init__(self, fleet, host, settings):
        """Build a host of `fleet`."""
        self.id = host
        self.exchange = fleet.net.join(host)
        settings = settings.copy_with(
            {
                "host": settings.host.copy_with(
                    {
                        "id": host,
                        "failure_domain": fleet.net.domains[host],
                    }
                )
            }
        )
        self.metrics = Metrics()
        self.clock = SuspendedClock()
        self.generations = StoreGenerations(self.metrics)
        self.topic = ProofTopic(fleet.store, self.generations)
        self.documents = DocumentRoutes(
            CONFIGURATION_KEY,
            ConfigurationDecoder(),
            RouteSource(),
            self.metrics,
        )
        self.follower = TopicFollower(
            settings,
            NAME,
            self.topic,
            self.documents,
            ReadCounters(self.metrics),
            self.generations,
            random.Random(f"follower {host}"),
        )
        self.sharing = TopicSharing(
            settings,
            [self.follower],
            self.exchange,
            self.metrics,
            self.generations,
        )
        self.proofs = ProvenAge(
            settings,
            self.follower,
            self.documents.accounts,
            self.sharing.readers,
            self.exchange,
            self.metrics,
            self.generations,
            self.clock,
        )
        self.reads = self.proofs.reads = Times()
        self.calls = self.proofs.calls = Times()
        self.documents.watchers.append(self.proofs.update)
        self.check = AccountCheck(
            settings, self.documents.accounts, self.metrics, self.proofs
        )

    def start(self, nursery):
        """Run in `nursery`."""
        nursery.start_soon(self.follower.run)
        nursery.start_soon(self.sharing.run)
        nursery.start_soon(self.proofs.run)

    def start_from(self, other, complete_at=None):
        """Take what `other` has read, as a host that starts from a seed."""
        if complete_at is None:
            complete_at = other.follower.complete_at
        page, _ = other.follower.content.records_since(None)
        self.generations.newest = other.generations.newest
        self.follower.start_from(page, complete_at)

    def age(self):
        """Return the age of the host's proof; infinite without one."""
        return trio.current_time() - self.proofs.proven_at()

    def ask(self, key):
        """Return why a request with `key` is refused, or None if it passes."""
        request = make_request()
        request.headers = [Header(b"authorization", b"Bearer " + key)]
        request.arrived = Deadline(trio.current_time())
        refusal = self.check.identify(ROUTE, request)
        return None if refusal is None else refusal.reason


@dataclasses.dataclass(slots=True)
class Watch:
    """What was seen of a fleet during some time.

    Attributes:
        oldest: The highest age of a proof, by host.
        reads: Reads of the store for proofs.
        calls: Calls between hosts for proofs.
        seconds: How long the fleet was watched.
        busiest: Most reads in any 0.1 s.
    """

    oldest: dict[HostId, float]
    reads: int
    calls: int
    seconds: float
    busiest: int

    @property
    def reads_per_second(self):
        """Return the reads of the store a second."""
        return self.reads / self.seconds

    @property
    def calls_per_second(self):
        """Return the calls between hosts a second."""
        return self.calls / self.seconds


class ProofFleet:
    """A fleet whose hosts prove the age of what they read.

    Attributes:
        store: The store.
        net: The links.
        hosts: The hosts, by id.
    """

    def __init__(self, nursery, count, settings=SETTINGS):
        """Build `count` hosts."""
        self.nursery = nursery
        self.settings = settings
        self.store = MemoryStore()
        self.net = GroupedMesh(nursery, count)
        self.net.delay_seconds = 0.001
        self.hosts = {
            host: ProofHost(self, host, settings) for host in self.net.domains
        }

    def put(self, version, *keys, accounts=True):
        """Write a document to the store."""
        content = document(version, *keys, accounts=accounts)
        self.store.append(NAME, CONFIGURATION_KEY, content)

    async def start(self, seconds=6.0):
        """Start all hosts, the rest from what the first has read."""
        first, *rest = self.hosts.values()
        now = Deadline(trio.current_time())
        first.follower.start_from(self._page(), now)
        for host in rest:
            host.start_from(first)
        for host in self.hosts.values():
            host.start(self.nursery)
        await trio.sleep(seconds)

    def _page(self):
        found = self.store.topics[NAME]
        records = list(found.newest.values())
        return TopicPage(
            [_keyed(each) for each in records],
            LogOffset(found.end),
            self._generation(),
        )

    def _generation(self):
        for host in self.hosts.values():
            host.generations.newest = self.store.generation
        return self.store.generation

    def ranked(self):
        """Return the hosts that read for the others, the first one first."""
        host = next(iter(self.hosts.values()))
        return [self.hosts[h] for h in host.sharing.readers.ranked(NAME)]

    async def watch(self, seconds, hosts=None):
        """Return what is seen of the fleet during `seconds`."""
        begin = trio.current_time()
        watched = list((hosts or self.hosts).values())
        oldest = dict.fromkeys((host.id for host in watched), 0.0)
        while trio.current_time() < begin + seconds:
            for host in watched:
                oldest[host.id] = max(oldest[host.id], host.age())
            await trio.sleep(0.05)
        hosts = self.hosts.values()
        reads = [at for h in hosts for at in h.reads.at if at >= begin]
        calls = [at for h in hosts for at in h.calls.at if at >= begin]
        slots = [int(at * 10) for at in reads]
        return Watch(
            oldest,
            len(reads),
            len(calls),
            seconds,
            max(map(slots.count, set(slots)), default=0),
        )


def _keyed(stored):
    return KeyedRecord(stored.key, stored.value, LogOffset(stored.offset))


def is_unproven(reason):
    """Return whether a request was refused for want of a proof."""
    return reason is RefusalReason.CONFIGURATION_UNPROVEN
