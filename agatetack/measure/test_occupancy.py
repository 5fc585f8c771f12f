"""Test that hosts know the others' requests in flight at each target."""

import itertools

import pytest
import trio

from agatetack.generated.measure.ttypes import LoadSample
from agatetack.ids import HostId
from agatetack.measure import occupancy
from agatetack.measure.occupancy import Occupancy
from agatetack.measure.rounds import rank
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Topic
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.targets import SERVICE, listed_target


class Host:
    """One host's registry and occupancy, and its notices of free slots."""

    def __init__(self, mesh, name, targets=2):
        self.name = HostId(name)
        settings = default_settings(host={"id": name})
        self.registry = TargetRegistry(settings, Metrics())
        self.list(targets)
        self.metrics = Metrics()
        self.occupancy = Occupancy(
            self.registry, mesh.join(self.name), self.metrics
        )
        self.slot_notices = 0
        self.notice_times = []
        self.registry.watchers.append(self.note_slot)

    def list(self, count):
        self.registry.update([listed_target(n + 1) for n in range(count)])

    def note_slot(self, service):
        self.slot_notices += 1
        self.notice_times.append(trio.current_time())

    def target(self, number=1):
        return self.registry.by_id[listed_target(number).id]

    def set(self, count, number=1):
        self.target(number).in_flight = count
        self.registry.note_in_flight(self.target(number))


async def start(nursery, *hosts):
    for host in hosts:
        nursery.start_soon(host.occupancy.run)
    await trio.sleep(0.01)


async def test_counts_add_up_and_go_down(autojump_clock):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        one, two, three = (Host(mesh, f"h{n}") for n in range(3))
        await start(nursery, one, two, three)
        two.set(1)
        three.set(2)
        await trio.sleep(0.01)
        assert one.target().peer_in_flight == 3
        assert one.target(2).peer_in_flight == 0
        assert two.target().peer_in_flight == 2
        before = one.slot_notices
        two.set(0)
        await trio.sleep(0.01)
        assert one.target().peer_in_flight == 2
        # Waiting requests are notified when there is a free slot.
        assert one.slot_notices == before + 1
        nursery.cancel_scope.cancel()


# Guards against requests that hang behind a lost path taking up the room that
# other hosts could use.
async def test_requests_behind_a_lost_path_take_no_room(autojump_clock):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        one, two = Host(mesh, "h1"), Host(mesh, "h2")
        await start(nursery, one, two)
        two.set(2)
        two.set(1, number=2)
        await trio.sleep(0.01)
        assert one.target().peer_in_flight == 2
        two.registry.paths.note_refused(two.target())
        await trio.sleep(0.01)
        assert one.target().peer_in_flight == 0
        # The counts that are sent again leave them out, too.
        await trio.sleep(2)
        assert one.target().peer_in_flight == 0
        assert one.target(2).peer_in_flight == 1
        two.registry.paths.note_connected(two.target())
        await trio.sleep(0.01)
        assert one.target().peer_in_flight == 2
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(("before", "after"), [(0, 2), (2, 0), (3, 1)])
async def test_a_lost_message_is_made_good(autojump_clock, before, after):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        one, two = Host(mesh, "h1"), Host(mesh, "h2")
        await start(nursery, one, two)
        two.set(before)
        await trio.sleep(0.01)
        mesh.lost_topics.add(Topic.IN_FLIGHT)
        two.set(after)
        await trio.sleep(0.01)
        mesh.lost_topics.clear()
        assert one.target().peer_in_flight == before
        await trio.sleep(2)
        assert one.target().peer_in_flight == after
        nursery.cancel_scope.cancel()


async def test_what_a_host_that_is_gone_had_is_forgotten(autojump_clock):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        one, two = Host(mesh, "h1"), Host(mesh, "h2")
        await start(nursery, one, two)
        two.set(2)
        await trio.sleep(0.01)
        mesh.leave(two.name)
        await trio.sleep(1)
        assert one.target().peer_in_flight == 0
        nursery.cancel_scope.cancel()


async def test_a_target_listed_later_has_what_was_told(autojump_clock):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        one, two = Host(mesh, "h1", targets=1), Host(mesh, "h2")
        await start(nursery, one, two)
        two.set(1, number=2)
        await trio.sleep(0.01)
        one.list(2)
        await trio.sleep(2)
        assert one.target(2).peer_in_flight == 1
        assert one.registry.targets(SERVICE)
        nursery.cancel_scope.cancel()


async def test_a_malformed_message_is_counted(autojump_clock):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        one, two = Host(mesh, "h1"), Host(mesh, "h2")
        await start(nursery, one, two)
        mesh.hosts[two.name].publish(Topic.IN_FLIGHT, b"junk")
        await trio.sleep(0.01)
        assert one.target().peer_in_flight == 0
        labels = {"part": "measure", "reason": "counts-malformed"}
        assert one.metrics.dropped.get(labels) == 1
        nursery.cancel_scope.cancel()


async def lower(nursery, before, after):
    """Lower the count of one of six hosts; return the other hosts."""
    mesh = MemoryMesh(nursery)
    first, *others = [Host(mesh, f"h{n}") for n in range(6)]
    await start(nursery, first, *others)
    first.set(before)
    await trio.sleep(0.01)
    first.set(after)
    await trio.sleep(0.1)
    return others


@pytest.mark.parametrize("left", [0, 1])
async def test_a_slot_that_comes_free_is_taken_in_turn(autojump_clock, left):
    async with trio.open_nursery() as nursery:
        others = await lower(nursery, 2, left)
        turns = sorted(host.target().free_slot_at for host in others)
        gaps = {
            round(later - earlier, 6)
            for earlier, later in itertools.pairwise(turns)
        }
        # One of the turns may belong to the host that freed the slot.
        step = others[0].occupancy.turn_seconds
        assert gaps <= {step, 2 * step}
        for host in others:
            assert host.notice_times[-1] == pytest.approx(
                host.target().free_slot_at
            )
        nursery.cancel_scope.cancel()


# Guards against a hash of each peer for each slot that is freed in the fleet.
async def test_the_order_of_turns_is_computed_once(autojump_clock, monkeypatch):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        first, *others = [Host(mesh, f"h{n}") for n in range(6)]
        await start(nursery, first, *others)
        hashed = []

        def counted(host, target):
            hashed.append((host, target))
            return rank(host, target)

        monkeypatch.setattr(occupancy, "rank", counted)
        turns = []
        for _ in range(20):
            for count in (2, 0):
                first.set(count)
                await trio.sleep(0.01)
            turns.append(others[0].target().free_slot_at - trio.current_time())
        assert len(hashed) == len(others) * (1 + 5)
        assert turns == pytest.approx([turns[0]] * 20)
        # The order is computed again once a host left.
        mesh.leave(others[-1].name)
        for count in (2, 0):
            first.set(count)
            await trio.sleep(0.01)
        assert len(hashed) == len(others) * (1 + 5) + 4 * (1 + 4)
        nursery.cancel_scope.cancel()


async def test_room_at_a_target_that_was_not_full_needs_no_turn(
    autojump_clock,
):
    async with trio.open_nursery() as nursery:
        others = await lower(nursery, 1, 0)
        assert all(host.target().free_slot_at == 0 for host in others)
        nursery.cancel_scope.cancel()


async def test_a_slot_that_goes_on_to_the_next_request_is_not_told(
    autojump_clock,
):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        one, two = Host(mesh, "h1"), Host(mesh, "h2")
        await start(nursery, one, two)
        two.set(2)
        await trio.sleep(0.01)
        before = len(one.notice_times)
        two.set(2)
        await trio.sleep(0.5)
        assert len(one.notice_times) == before
        assert one.target().peer_in_flight == 2
        nursery.cancel_scope.cancel()


class ScriptedSharing:
    """Fake of the samples that are sent along with the counts."""

    def __init__(self, waiting=()):
        self.waiting = list(waiting)
        self.taken = []

    def take_fresh(self):
        waiting, self.waiting = self.waiting, []
        return waiting

    def apply(self, samples):
        self.taken += samples


async def test_samples_go_along_with_the_counts(autojump_clock):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        one, two = Host(mesh, "h1"), Host(mesh, "h2")
        sample = LoadSample(target=1, in_flight=3)
        one.occupancy.sharing = ScriptedSharing([sample])
        two.occupancy.sharing = ScriptedSharing()
        await start(nursery, one, two)
        for count in (1, 2):
            one.set(count)
            # The mesh delivers messages sent at the same time in any order.
            await trio.sleep(0.01)
            assert two.target().peer_in_flight == count
            assert two.occupancy.sharing.taken == [sample]
        nursery.cancel_scope.cancel()


# Guards against hosts that send each count at once while they lack the time to
# serve.
@pytest.mark.parametrize(
    ("late_seconds", "least", "most"),
    [(0.0, 20, 21), (0.02, 20, 21), (0.07, 3, 6), (1.0, 1, 2)],
)
async def test_a_late_host_collects_counts_for_one_message(
    autojump_clock, late_seconds, least, most
):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        one, two = Host(mesh, "h1"), Host(mesh, "h2")
        await start(nursery, one, two)
        two.occupancy.lateness.seconds = late_seconds
        # All counts are repeated once in this time, too.
        sent = []
        publish = two.occupancy.exchange.publish
        two.occupancy.exchange.publish = lambda *args: (
            sent.append(args),
            publish(*args),
        )
        for count in range(1, 21):
            two.set(count, number=1 + count % 2)
            await trio.sleep(0.01)
        await trio.sleep(0.3)
        assert least <= len(sent) <= most
        assert one.target(1).peer_in_flight == 20
        assert one.target(2).peer_in_flight == 19
        nursery.cancel_scope.cancel()


async def test_what_a_late_host_collected_is_sent_once_it_is_on_time(
    autojump_clock,
):
    async with trio.open_nursery() as nursery:
        mesh = MemoryMesh(nursery)
        one, two = Host(mesh, "h1"), Host(mesh, "h2")
        await start(nursery, one, two)
        two.occupancy.lateness.seconds = 1.0
        two.set(1)
        two.occupancy.lateness.seconds = 0.0
        two.set(2)
        await trio.sleep(0.3)
        assert one.target().peer_in_flight == 2
        nursery.cancel_scope.cancel()
