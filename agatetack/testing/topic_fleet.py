"""Run hosts that follow one topic of a store in memory, for tests."""

import random

import trio

from agatetack.ids import Deadline
from agatetack.keyed.follower import ReadCounters, TopicFollower
from agatetack.keyed.generations import StoreGenerations
from agatetack.keyed.reader import FanOutReader, TopicReader
from agatetack.keyed.seeds import SeedClient, SeedServer, read_answer
from agatetack.keyed.sharing import TopicSharing
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.settings.section import Endpoint
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.memory_topic import NAME, MemoryTopic

SETTINGS = default_settings(
    host={"failure_domain": "domain"},
    platform={"store": {"poll_seconds": 20, "batch_seconds": 0.1}},
)

HOSTS = 30


class Kept(TopicReader):
    """Keeps the newest value of each key, and what it was told."""

    def __init__(self):
        """Keep nothing yet."""
        self.values = {}
        self.told = []

    def apply_all(self, records):
        """Keep `records` alone."""
        self.values.clear()
        self.apply_new(records)

    def apply_new(self, records):
        """Keep `records` too."""
        for record in records:
            if record.value is None:
                self.values.pop(record.key, None)
            else:
                self.values[record.key] = record.value

    def note_unreachable(self):
        """Keep that the store was lost."""
        self.told.append("lost")

    def note_reachable(self):
        """Keep that the store is back."""
        self.told.append("in touch")


class TopicHost:
    """One host's view of the topic.

    Attributes:
        generations: What this host knows of the store's generation.
        topic: The topic as this host reaches it.
        kept: What its reader was handed.
        follower: What reads the topic.
        sharing: What tells other hosts, or None.
    """

    def __init__(
        self, store, exchange=None, reader=None, seed=0, settings=SETTINGS
    ):
        """Follow the topic in `store`; tell others through `exchange`."""
        name = "" if exchange is None else exchange.host
        metrics = Metrics()
        self.generations = StoreGenerations(metrics)
        link = None if exchange is None else exchange.link_in
        self.topic = MemoryTopic(store, self.generations, link)
        self.kept = Kept()
        if reader is not None:
            reader = FanOutReader(self.kept, reader(self.topic))
        self.follower = TopicFollower(
            settings,
            NAME,
            self.topic,
            reader or self.kept,
            ReadCounters(metrics),
            self.generations,
            random.Random(f"{seed} {name}"),
        )
        self.sharing = None
        if exchange is not None:
            host = {"id": exchange.host, "failure_domain": exchange.domain}
            settings = settings.copy_with(
                {"host": settings.host.copy_with(host)}
            )
            self.sharing = TopicSharing(
                settings,
                [self.follower],
                exchange,
                metrics,
                self.generations,
            )

    def start_from(self, seed):
        """Copy what another host has read, as a host that starts does."""
        client = SeedClient(
            SETTINGS,
            [self.follower],
            Metrics(),
            self.generations,
        )
        answer = seed.seed_answer()
        client._note_generations(answer.seed, answer.reply)
        client._take(answer)

    def seed_answer(self):
        """Return what this host answers to one that starts."""
        server = SeedServer(SETTINGS, [self.follower], None, Metrics())
        return read_answer(
            Endpoint(ip="127.0.0.1", port=1),
            Deadline(trio.current_time()),
            server._reply(),
            server._ages(),
        )

    def start(self, nursery):
        """Run in `nursery`."""
        nursery.start_soon(self.follower.run)
        if self.sharing is not None:
            nursery.start_soon(self.sharing.run)


def fill(store, count, prefix="k"):
    """Append `count` records of keys that begin with `prefix`."""
    for number in range(count):
        store.append(NAME, f"{prefix}{number}", b"%d" % number)


def expected(store):
    """Return the newest value of each key."""
    newest = store.topics[NAME].newest
    return {key: record.value for key, record in newest.items()}


async def start_readers(nursery, store, count=HOSTS, seed=0):
    """Start a fleet and wait until few of its hosts read.

    Beyond `HOSTS` they start from what the first one has read.
    """
    net = MemoryMesh(nursery)
    hosts = [
        TopicHost(store, net.join(f"h{n}"), seed=seed) for n in range(count)
    ]
    for host in hosts[:HOSTS]:
        # Their words come at other moments, one each 30 ms.
        await trio.sleep(0.037)
        host.start(nursery)
    await trio.sleep(2)
    page, _ = hosts[0].follower.content.records_since(None)
    for host in hosts[HOSTS:]:
        host.follower.start_from(page, hosts[0].follower.complete_at)
        host.start(nursery)
    # The reads that all began with end at the next record.
    store.append(NAME, "k0", b"all")
    await trio.sleep(2)
    return net, hosts


def is_reader(host):
    """Return whether `host` reads the topic at the store."""
    return not host.follower.relies_on_readers
