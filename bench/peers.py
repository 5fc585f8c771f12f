"""Measure what peers cost each host, and how soon a message is everywhere.

Run `python -m bench.peers`. All hosts run in one process and talk over
loopback. For each fleet it prints, per host: links, bytes a second and the
share of a core with heartbeats only and with a usual load, and the time until
one message was heard by all. The share of a core is the process's time
divided by the hosts, so it holds both ends of each link. Times until all
heard contain the work of all hosts, which one process does one by one; the
hops are what real hosts would see.
"""

import dataclasses
import random
import statistics
import time
from collections import deque
from collections.abc import Sequence

import defopt
import trio

from agatetack.ids import Deadline, HostId
from agatetack.peers.exchange import Topic
from agatetack.peers.mesh import PeerExchange
from agatetack.settings.defaults import default_settings
from agatetack.testing.peer_fleet import start_fleet

SAMPLE_BYTES = 400
"""A message of load samples of 32 targets."""

SIGN_BYTES = 40
"""A sign that a target is leaving."""

RECORD_BYTES = 300
"""A record of configuration."""

SIGNS_PER_SECOND = 0.5
"""Signs in the whole fleet: 2,900 restarts a day, seen by several hosts."""

RECORDS_PER_SECOND = 0.27
"""Records in the whole fleet: 23,000 changes a day."""

SETTLE_SECONDS = 30.0
"""Longest time until all links stand."""

QUIET_HEARTBEAT_SECONDS = 5.0
"""Heartbeats while times are measured, so that they don't fill the core."""

QUIET_CORE = 0.3
"""Share of a core below which a fleet counts as quiet."""

COVERAGE_TRIALS = 20
COVERAGE_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one host spent in one second, as a mean over the fleet.

    Attributes:
        sent: Bytes sent.
        received: Bytes received.
        most_sent: Bytes sent by the host that sent most.
        core: Share of a core.
        dropped: Messages to one peer that the budget left out.
    """

    sent: float
    received: float
    most_sent: float
    core: float
    dropped: float


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """What the fleet spent so far."""

    sent: Sequence[float]
    received: float
    dropped: float
    cpu: float
    at: float


def read_totals(fleet: Sequence[PeerExchange]) -> Totals:
    """Return what the fleet spent so far."""
    return Totals(
        sent=[direction_bytes(host, "sent") for host in fleet],
        received=sum(direction_bytes(host, "received") for host in fleet),
        dropped=sum(map(over_budget, fleet)),
        cpu=time.process_time(),
        at=time.perf_counter(),
    )


def direction_bytes(host: PeerExchange, direction: str) -> float:
    """Return the bytes that `host` sent or received."""
    host.counters.flush()
    return host.counters.bytes.get({"direction": direction})


def over_budget(host: PeerExchange) -> float:
    """Return the messages that the budget of `host` left out."""
    labels = {"part": "peers", "reason": "publish-over-budget"}
    try:
        return host.metrics.dropped.get(labels)
    except KeyError:
        return 0


async def measure_cost(fleet: Sequence[PeerExchange], seconds: float) -> Cost:
    """Return what a host spends while nothing else is done."""
    before = read_totals(fleet)
    await trio.sleep(seconds)
    after = read_totals(fleet)
    span = (after.at - before.at) * len(fleet)
    sent = [
        (end - start) / (after.at - before.at)
        for start, end in zip(before.sent, after.sent, strict=True)
    ]
    return Cost(
        sent=statistics.mean(sent),
        received=(after.received - before.received) / span,
        most_sent=max(sent),
        core=(after.cpu - before.cpu) / span,
        dropped=(after.dropped - before.dropped) / span,
    )


async def publish_samples(host: PeerExchange, per_second: float) -> None:
    """Publish load samples for ever."""
    await trio.sleep(random.Random(host.own).random() / per_second)
    while True:
        host.publish(Topic.LOAD_SAMPLES, bytes(SAMPLE_BYTES))
        await trio.sleep(1 / per_second)


async def publish_anywhere(
    fleet: Sequence[PeerExchange], topic: Topic, size: int, per_second: float
) -> None:
    """Publish messages of a topic from any host, for ever."""
    source = random.Random(topic.value)
    while True:
        await trio.sleep(source.expovariate(per_second))
        source.choice(fleet).publish(topic, bytes(size))


async def measure_load(
    fleet: Sequence[PeerExchange], seconds: float, samples: float
) -> Cost:
    """Return what a host spends under a usual load of messages."""
    async with trio.open_nursery() as nursery:
        start = nursery.start_soon
        for host in fleet:
            start(publish_samples, host, samples)
        start(
            publish_anywhere,
            fleet,
            Topic.TARGET_SIGNS,
            SIGN_BYTES,
            SIGNS_PER_SECOND,
        )
        start(
            publish_anywhere,
            fleet,
            Topic.CONFIG_RECORDS,
            RECORD_BYTES,
            RECORDS_PER_SECOND,
        )
        cost = await measure_cost(fleet, seconds)
        nursery.cancel_scope.cancel()
    return cost


async def measure_coverage(fleet: Sequence[PeerExchange]) -> list[float]:
    """Return the times, in seconds, until all heard one message each."""
    heard: list[float] = []
    for host in fleet:
        host.subscribe(
            Topic.CRASH_FINGERPRINTS,
            lambda origin, payload: heard.append(time.perf_counter()),
        )
    source = random.Random(1)
    times = []
    for _ in range(COVERAGE_TRIALS):
        heard.clear()
        start = time.perf_counter()
        source.choice(fleet).publish(Topic.CRASH_FINGERPRINTS, bytes(32))
        with trio.move_on_after(COVERAGE_SECONDS):
            while len(heard) < len(fleet) - 1:
                await trio.sleep(0.001)
        complete = len(heard) == len(fleet) - 1
        times.append(heard[-1] - start if complete else float("inf"))
        await trio.sleep(0.1)
    return times


def most_hops(fleet: Sequence[PeerExchange]) -> int:
    """Return the hops from any host to the one farthest from it."""
    links = {host.own: list(host.connector.links) for host in fleet}
    return max(hops_from(links, host) for host in links)


def hops_from(links: dict[HostId, list[HostId]], start: HostId) -> int:
    """Return the hops from `start` to the host farthest from it."""
    distance = {start: 0}
    todo = deque([start])
    while todo:
        host = todo.popleft()
        for peer in links[host]:
            if peer not in distance:
                distance[peer] = distance[host] + 1
                todo.append(peer)
    return max(distance.values())


async def settle(fleet: Sequence[PeerExchange]) -> float:
    """Wait until every host has its links; return how long that took."""
    start = trio.current_time()
    until = Deadline(start + SETTLE_SECONDS)
    while trio.current_time() < until:
        await trio.sleep(0.05)
        if all(
            host.connector.chosen
            and host.connector.chosen <= host.connector.links.keys()
            for host in fleet
        ):
            break
    return trio.current_time() - start


async def wait_quiet() -> None:
    """Wait until the start's announcements are worked off."""
    until = trio.current_time() + SETTLE_SECONDS
    while trio.current_time() < until:
        before = time.process_time()
        await trio.sleep(1)
        if time.process_time() - before < QUIET_CORE:
            return


async def run_fleet(
    count: int,
    max_peers: int,
    seconds: float,
    samples: float,
    heartbeat: float,
) -> None:
    """Measure one fleet and print a row for each load."""
    async with trio.open_nursery() as nursery:
        names = [f"gateway-{number}" for number in range(count)]
        started = await start_fleet(
            nursery,
            names,
            shared_key="bench",
            max_peers=max_peers,
            heartbeat_seconds=heartbeat,
            timeout_seconds=4 * heartbeat,
        )
        fleet = list(started.values())
        settled = await settle(fleet)
        # Announcements and links of the start are no steady cost.
        await trio.sleep(SETTLE_SECONDS / 5)
        idle = await measure_cost(fleet, seconds)
        load = await measure_load(fleet, seconds, samples)
        links = [len(host.connector.links) for host in fleet]
        print(
            f"{count:5} hosts, max_peers {max_peers:3}: "
            f"links {statistics.mean(links):.1f} (most {max(links)}), "
            f"settled in {settled:.1f} s, hops {most_hops(fleet)}"
        )
        for name, cost in (("idle", idle), ("load", load)):
            print(
                f"      {name}: sent {cost.sent:7.0f} B/s "
                f"(most {cost.most_sent:.0f}), received "
                f"{cost.received:.0f} B/s, {cost.core * 100:.3f} % of a core, "
                f"{cost.dropped:.2f} dropped/s"
            )
        nursery.cancel_scope.cancel()


async def run_coverage(count: int, max_peers: int) -> None:
    """Measure how soon all hear a message, in a fleet that does no more."""
    async with trio.open_nursery() as nursery:
        names = [f"gateway-{number}" for number in range(count)]
        started = await start_fleet(
            nursery,
            names,
            shared_key="bench",
            max_peers=max_peers,
            heartbeat_seconds=QUIET_HEARTBEAT_SECONDS,
            timeout_seconds=4 * QUIET_HEARTBEAT_SECONDS,
        )
        fleet = list(started.values())
        await settle(fleet)
        await wait_quiet()
        times = await measure_coverage(fleet)
        print(
            f"      heard by all in {statistics.median(times) * 1e3:.1f} ms "
            f"(most {max(times) * 1e3:.1f}), all hosts in one process"
        )
        nursery.cancel_scope.cancel()


def main(
    *,
    hosts: list[int] | None = None,
    max_peers: int | None = None,
    seconds: float = 8.0,
    samples: float = 1.0,
    heartbeat: float | None = None,
) -> None:
    """Measure fleets of several sizes.

    Args:
        hosts: Sizes of the fleets.
        max_peers: Links that a host should have; the default setting if None.
        seconds: How long each load is measured.
        samples: Messages of load samples that a host publishes in a second.
        heartbeat: Seconds between heartbeats; the default setting if None.
    """
    heartbeat = heartbeat or default_settings().peers.heartbeat_seconds
    most = max_peers or default_settings().peers.max_peers
    for count in hosts or [14, 50, 200]:
        trio.run(run_fleet, count, most, seconds, samples, heartbeat)
        trio.run(run_coverage, count, most)


if __name__ == "__main__":
    defopt.run(main)
