"""Test that hosts that start from one another don't pass old records as new."""

import random

import pytest
import trio

from agatetack.keyed.messages import records_since
from agatetack.peers.exchange import Topic
from agatetack.store_gateway import FIRST_READ_TIMEOUT_SECONDS
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.memory_topic import NAME
from agatetack.testing.topic_fleet import TopicHost
from agatetack.thrift_codec import encode

APPLY_SECONDS = 2.0
"""A change must be in force within this time if the store answers."""

SEEDS = 3

CALM_SECONDS = 4.0

STEP_SECONDS = 0.01


class StartFleet:
    """Hosts that start and end, over a store that changes.

    Attributes:
        store: The store.
        net: The links between the hosts.
        link_seconds: How long a host that starts has no links to others.
        hosts: The running hosts, by number.
        ends: Ends each of them, by number.
        started_at: When each was started, by number.
        changes: Each value that was written, and when.
        outdated: What hosts did not know in time: number, value that was due,
            value that was known, time since the start and since the change.
    """

    def __init__(self, nursery, link_seconds=0.0, seed=0):
        """Run hosts in `nursery`."""
        self.store = MemoryStore()
        self.nursery = nursery
        self.net = MemoryMesh(nursery)
        self.link_seconds = link_seconds
        self.random = random.Random(seed)
        self.hosts = {}
        self.ends = {}
        self.started_at = {}
        self.changes = []
        self.outdated = []
        self.change()

    def change(self):
        """Write the next value."""
        value = b"%d" % len(self.changes)
        self.store.append(NAME, "k", value)
        self.changes.append((value, trio.current_time()))

    async def run_host(self, number, seed=None, link_seconds=None):
        """Run a host until it is ended, from what another one has read."""
        name = f"h{number}"
        with trio.CancelScope() as self.ends[number]:
            host = TopicHost(self.store, self.net.join(name), seed=number)
            if seed is not None and seed.follower.content.position is not None:
                host.start_from(seed)
            self.hosts[number] = host
            self.started_at[number] = trio.current_time()
            async with trio.open_nursery() as nursery:
                host.start(nursery)
                self.net.isolate(name)
                seconds = self.link_seconds
                await trio.sleep(
                    seconds if link_seconds is None else link_seconds
                )
                self.net.cut = {p for p in self.net.cut if name not in p}
                await trio.sleep_forever()

    def end(self, number):
        """End a host without a word."""
        self.ends.pop(number).cancel()
        del self.hosts[number]
        self.net.leave(f"h{number}")

    def any_seed(self, but):
        """Return a running seed, None if there is none but `but`."""
        running = [self.hosts[n] for n in range(SEEDS) if n in self.hosts]
        found = [each for each in running if each is not self.hosts.get(but)]
        return self.random.choice(found) if found else None

    async def watch(self):
        """Note hosts that don't know a change in time, until cancelled.

        A host reads for a moment before it serves.
        """
        while True:
            now = trio.current_time()
            due = max(
                (int(v) for v, at in self.changes if at <= now - APPLY_SECONDS),
                default=0,
            )
            for number, host in self.hosts.items():
                up = now - self.started_at[number]
                known = int(host.kept.values.get("k", due))
                if up > FIRST_READ_TIMEOUT_SECONDS and known < due:
                    since = now - self.changes[due][1]
                    self.outdated.append((number, due, known, up, since))
            await trio.sleep(STEP_SECONDS)


# Guards against records that look as if they had just been read, each time that
# a host that starts copies them from one that has started a moment ago.
@pytest.mark.parametrize("life_seconds", [0.5, 1.0, 1.8, 2.5])
@pytest.mark.parametrize("change_after", [0.0, 0.3])
async def test_a_chain_of_starts_makes_no_old_records_young(
    autojump_clock, life_seconds, change_after
):
    async with trio.open_nursery() as nursery:
        fleet = StartFleet(nursery)
        nursery.start_soon(fleet.run_host, 0)
        await trio.sleep(CALM_SECONDS)
        nursery.start_soon(fleet.watch)
        for number in range(1, 12):
            nursery.start_soon(fleet.run_host, number, fleet.hosts[number - 1])
            await trio.sleep(0.001)
            fleet.end(number - 1)
            if number == 1:
                await trio.sleep(change_after)
                fleet.change()
                await trio.sleep(max(0.0, life_seconds - change_after))
            else:
                await trio.sleep(life_seconds)
        nursery.cancel_scope.cancel()
    assert fleet.outdated == []


# Guards against fleets in which nobody reads as all hosts have just started.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("link_seconds", [0.0, 0.6, 1.5])
@pytest.mark.parametrize(
    ("count", "parts", "gap"),
    [(3, 1, 1.5), (7, 3, 0.8), (17, 3, 0.8), (17, 2, 1.1), (60, 1, 2.2)],
)
async def test_changes_are_known_in_time_while_hosts_start_in_waves(
    autojump_clock, count, parts, gap, link_seconds, seed
):
    async with trio.open_nursery() as nursery:
        fleet = StartFleet(nursery, link_seconds, seed)
        for number in range(count):
            nursery.start_soon(fleet.run_host, number, None, 0.0)
        await trio.sleep(CALM_SECONDS)
        nursery.start_soon(fleet.watch)
        for wave in range(9):
            part = range(wave % parts, count, parts)
            for number in part:
                fleet.end(number)
            await trio.sleep(0.3)
            for number in part:
                nursery.start_soon(
                    fleet.run_host, number, fleet.any_seed(number)
                )
                await trio.sleep(0.001)
            if fleet.random.random() < 0.7:
                await trio.sleep(fleet.random.uniform(0.0, gap / 3))
                fleet.change()
            await trio.sleep(gap / 2)
        await trio.sleep(CALM_SECONDS)
        nursery.cancel_scope.cancel()
    assert fleet.outdated == []


# Guards against a host that has heard of newer records, can't get them, and
# tells hosts that start that it has all.
async def test_a_host_that_lacks_records_does_not_pass_as_up_to_date(
    autojump_clock,
):
    async with trio.open_nursery() as nursery:
        fleet = StartFleet(nursery)
        for number in range(12):
            nursery.start_soon(fleet.run_host, number)
        await trio.sleep(CALM_SECONDS)
        behind = next(
            host
            for host in fleet.hosts.values()
            if host.follower.relies_on_readers
        )
        behind.topic.hanging = True
        # Too large to come with a report, or soon with a reply.
        fleet.net.reply_bytes_per_second = 100
        incompressible = random.Random(1).randbytes(10_000)
        fleet.store.append(NAME, "l", incompressible)
        appended_at = trio.current_time()
        await trio.sleep(0.9)
        assert "l" not in behind.kept.values
        assert behind.seed_answer().complete_at[NAME] <= appended_at
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("age_ms", [0, 500, 1800, -(2**31), 2**31 - 1])
async def test_a_fetch_tells_how_old_the_records_are(autojump_clock, age_ms):
    async with trio.open_nursery() as nursery:
        fleet = StartFleet(nursery)
        for number in range(2):
            nursery.start_soon(fleet.run_host, number)
        await trio.sleep(CALM_SECONDS)
        first, second = fleet.hosts.values()
        complete = second.sharing.readers.complete
        complete.clear()
        asked_at = trio.current_time()

        async def answer(sender, payload):
            records = records_since(first.follower, None)
            records.answer_age_ms = age_ms
            return encode(records)

        fleet.net.hosts["h0"].serve(Topic.TOPIC_RECORDS, answer)
        await second.sharing._fetch_from(second.follower, "h0")
        told = complete[NAME]
        nursery.cancel_scope.cancel()
    assert told == asked_at - max(0, age_ms) / 1000
