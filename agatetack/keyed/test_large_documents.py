"""Test that a large document reaches all hosts in time over thin links."""

import random
import string

import orjson
import pytest
import trio

from agatetack.ids import FailureDomain
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.memory_topic import NAME
from agatetack.testing.topic_fleet import TopicHost

APPLY_SECONDS = 2.0
"""A change must be in force within this time if the store answers."""

LINKS_BYTES_PER_SECOND = [1_250_000, 625_000]
"""Links of 10 and 5 Mbit/s, the thinnest of the deployments."""

PEER_BYTES_PER_SECOND = 400_000
"""What a host sends to its peers."""

STORE_BYTES_PER_SECOND = 80_000_000
"""What the store reads for all hosts."""

KEY = "config"

SETTINGS = default_settings(
    host={"failure_domain": "d0"},
    platform={"store": {"poll_seconds": 30, "batch_seconds": 0.5}},
)
"""As the deployments have them."""

DOMAINS = 3

CALM_SECONDS = 4.0

STEP_SECONDS = 0.02


class LargeDocument:
    """A configuration of many routes, of which one changes at a time.

    Attributes:
        version: The version.
        routes: Its routes.
    """

    def __init__(self, routes: int, seed: int):
        """Make `routes` routes."""
        self.random = random.Random(seed)
        self.version = 1
        self.routes = []
        self.add(routes)

    def add(self, routes: int) -> None:
        """Add `routes` routes."""
        self.routes += [self._route() for _ in range(routes)]

    def _route(self):
        name = "".join(self.random.choices(string.ascii_lowercase, k=12))
        return {
            "name": f"r-{name}",
            "host": f"{name[:5]}.example",
            "path_prefix": f"/{name[5:]}/",
            "route_type": "idempotent",
            "timeout": "1200ms",
            "target_latency": "620ms",
            "priority": self.random.randint(1, 3),
            "service": self.random.choice(["profiles", "ledger", "archive"]),
            "max_attempts": 2,
        }

    def change(self) -> None:
        """Add a route, and move another one to the next service."""
        self.version += 1
        self.add(1)
        self.random.choice(self.routes)["service"] = f"service-{self.version}"

    def encode(self) -> bytes:
        """Return the document as operators write it."""
        return orjson.dumps({"version": self.version, "routes": self.routes})


def read_version(document: bytes) -> int:
    """Return the version of an encoded document, its first field."""
    return int(document[:24].partition(b",")[0].partition(b":")[2])


class DocumentFleet:
    """Hosts on thin links that follow a document.

    Attributes:
        store: The store.
        net: The links between the hosts.
        document: The document.
        hosts: The hosts.
        confirmed_at: When each version was written.
        worst_seconds: The longest time that a host did not know a version.
    """

    def __init__(
        self, nursery, hosts: int, routes: int, link: int, seed: int = 0
    ):
        """Run `hosts` hosts, whose links carry `link` bytes a second."""
        self.store = MemoryStore()
        self.store.reading.bytes_per_second = STORE_BYTES_PER_SECOND
        self.net = MemoryMesh(nursery)
        self.net.delay_seconds = 0.0015
        self.net.reply_bytes_per_second = PEER_BYTES_PER_SECOND
        self.net.link_bytes_per_second = link
        self.document = LargeDocument(routes, seed)
        self.confirmed_at = {}
        self.worst_seconds = 0.0
        self.write()
        self.hosts = [
            TopicHost(
                self.store,
                self.net.join(f"h{n}", FailureDomain(f"d{n % DOMAINS}")),
                seed=seed,
                settings=SETTINGS,
            )
            for n in range(hosts)
        ]
        for host in self.hosts:
            host.start(nursery)

    def write(self) -> None:
        """Write the document as it is now."""
        self.store.append(NAME, KEY, self.document.encode())
        self.confirmed_at[self.document.version] = trio.current_time()

    def change(self) -> None:
        """Write the next version."""
        self.document.change()
        self.write()

    async def watch(self) -> None:
        """Note how long versions are not known, until cancelled."""
        while True:
            for host in self.hosts:
                known = read_version(host.kept.values[KEY])
                if known < self.document.version:
                    confirmed_at = self.confirmed_at[known + 1]
                    seconds = trio.current_time() - confirmed_at
                    self.worst_seconds = max(self.worst_seconds, seconds)
            await trio.sleep(STEP_SECONDS)


async def run_changes(hosts, routes, link, gap_seconds) -> float:
    """Return the longest time that a host did not know one of 8 changes."""
    async with trio.open_nursery() as nursery:
        fleet = DocumentFleet(nursery, hosts, routes, link)
        await trio.sleep(CALM_SECONDS)
        nursery.start_soon(fleet.watch)
        for _ in range(8):
            fleet.change()
            await trio.sleep(gap_seconds)
        await trio.sleep(CALM_SECONDS)
        nursery.cancel_scope.cancel()
    return fleet.worst_seconds


# Guards against versions of a large configuration that are in force too late as
# hosts ask one another, and give up what is under way.
@pytest.mark.parametrize("link", LINKS_BYTES_PER_SECOND)
@pytest.mark.parametrize("hosts", [13, 30])
@pytest.mark.parametrize(
    ("routes", "gap_seconds"),
    [(20, 0.33), (1400, 1.3), (1400, 0.8), (1400, 0.33)],
)
async def test_changes_of_a_large_document_are_known_in_time(
    autojump_clock, routes, gap_seconds, hosts, link
):
    worst = await run_changes(hosts, routes, link, gap_seconds)
    assert worst <= APPLY_SECONDS


# Guards against a host without peers that reads each version of a large
# configuration in turn, and so falls further behind with each.
@pytest.mark.parametrize("link", LINKS_BYTES_PER_SECOND)
@pytest.mark.parametrize("gap_seconds", [0.33, 0.8])
async def test_a_host_alone_reads_no_superseded_versions(
    autojump_clock, gap_seconds, link
):
    worst = await run_changes(1, 1400, link, gap_seconds)
    assert worst <= APPLY_SECONDS


# Guards against a configuration that grows by many routes and is in force too
# late, as each host has to get all of them.
@pytest.mark.parametrize("link", LINKS_BYTES_PER_SECOND)
@pytest.mark.parametrize("hosts", [13, 30])
async def test_a_document_that_has_grown_is_known_in_time(
    autojump_clock, hosts, link
):
    async with trio.open_nursery() as nursery:
        fleet = DocumentFleet(nursery, hosts, 20, link)
        await trio.sleep(CALM_SECONDS)
        nursery.start_soon(fleet.watch)
        fleet.document.add(1400)
        fleet.change()
        await trio.sleep(CALM_SECONDS)
        nursery.cancel_scope.cancel()
    assert fleet.worst_seconds <= APPLY_SECONDS


# Guards against records that pass as younger than they are, as their answer
# took long to arrive: hosts that get them serve an old configuration longer.
@pytest.mark.parametrize("whole", [False, True])
async def test_a_slow_answer_is_as_old_as_its_beginning(autojump_clock, whole):
    async with trio.open_nursery() as nursery:
        fleet = DocumentFleet(nursery, 1, 1400, LINKS_BYTES_PER_SECOND[1])
        (host,) = fleet.hosts
        if not whole:
            await trio.sleep(CALM_SECONDS)
            fleet.change()
        version = fleet.document.version
        await trio.sleep(0.2)
        changed_at = trio.current_time()
        fleet.change()
        while not knows(host, version):
            await trio.sleep(STEP_SECONDS)
        assert not knows(host, fleet.document.version)
        assert host.follower.complete_at < changed_at
        nursery.cancel_scope.cancel()


# Guards against answers without the newest records, which did not fit in them,
# that pass for all that the store holds.
async def test_an_answer_without_the_newest_records_shows_nothing(
    autojump_clock,
):
    async with trio.open_nursery() as nursery:
        fleet = DocumentFleet(nursery, 1, 1, LINKS_BYTES_PER_SECOND[0])
        (host,) = fleet.hosts
        await trio.sleep(CALM_SECONDS)
        appended_at = trio.current_time()
        for key in ("a", "b", "c"):
            fleet.store.append(NAME, key, random.Random(key).randbytes(600_000))
        while "a" not in host.kept.values:
            await trio.sleep(STEP_SECONDS)
        assert "c" not in host.kept.values
        assert host.follower.complete_at <= appended_at
        nursery.cancel_scope.cancel()


def knows(host: TopicHost, version: int) -> bool:
    """Return whether a host knows a version of the document, or a later one."""
    document = host.kept.values.get(KEY)
    return document is not None and read_version(document) >= version
