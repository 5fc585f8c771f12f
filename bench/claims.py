"""Measure claims of a fleet against a log that takes few appends.

Run `python -m bench.claims`. Hosts, log and exchange run in this process on
trio's mock clock, so latencies are those of the waits alone, printed in
append round trips; CPU time is this process's own, for all hosts together.
"""

import dataclasses
import enum
import gc
import os
import random
import statistics
import time
import tracemalloc

import defopt
import trio
import trio.testing
from returns.result import Success

from agatetack.claims import codec
from agatetack.claims.fold import Fold
from agatetack.claims.log_store import LogClaimStore
from agatetack.claims.partition import Partition
from agatetack.config.route import RequestClass, Route
from agatetack.generated.claims.ttypes import Batch, Entry, EntryKind
from agatetack.ids import (
    AttemptId,
    CallerId,
    Deadline,
    HostId,
    IdempotencyKey,
    LogOffset,
    RequestId,
    RouteId,
    ServiceId,
    StreamId,
    TeamId,
    WallTime,
)
from agatetack.messages import BytesBody, CallerRequest, Header
from agatetack.metrics import Metrics
from agatetack.record_log.log import LogPage, LogRecord, LogTooFast
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_exchange import MemoryExchange, MemoryMesh
from agatetack.testing.memory_log import MemoryLog, MemoryLogService
from agatetack.testing.virtual_clock import WALL_START, VirtualClock

ROUTE = Route(
    RouteId("pay"), TeamId("t"), ServiceId("s"), RequestClass.ONCE, "/pay"
)
REQUEST_SECONDS = 5.0
TARGET_SECONDS = 0.02
WARM_SECONDS = 0.5
BURST_SECONDS = 0.02
BATCH = 10


class Mode(enum.Enum):
    """Who appends a host's claims."""

    OWN = "own"
    STEWARD = "steward"


@dataclasses.dataclass(slots=True)
class Load:
    """One run of the bench.

    Attributes:
        mode: Who appends.
        hosts: Hosts of the fleet.
        partitions: Claim streams.
        claims_per_second: Claims of the whole fleet.
        log_rate: Appends that the log takes in a second.
        fleet_rate: Appends that the settings allow the fleet.
        append_seconds: One append's round trip.
        peer_seconds: One way between two hosts.
        seconds: How long claims come.
    """

    mode: Mode
    hosts: int
    partitions: int
    claims_per_second: float
    log_rate: float
    fleet_rate: float
    append_seconds: float
    peer_seconds: float
    seconds: float


class CountedMesh(MemoryMesh):
    """A mesh that counts calls."""

    calls = 0


class CountedExchange(MemoryExchange):
    """An exchange that counts its calls."""

    async def call(self, *args) -> bytes:
        """Count the call and make it."""
        self.mesh.calls += 1
        return await super().call(*args)


class LoneExchange(MemoryExchange):
    """An exchange that counts its peers but calls none."""

    def live_peers(self) -> tuple:
        """Return nobody, so that each host appends for itself."""
        return ()


class Limit:
    """A token bucket over all appends of the log."""

    def __init__(self, rate: float):
        """Allow `rate` appends in a second."""
        self.rate = rate
        self.full_at = 0.0
        self.refused = 0

    def take(self) -> None:
        """Count one append.

        Raises:
            LogTooFast: There were too many.
        """
        now = trio.current_time()
        full_at = max(self.full_at, now) + 1 / self.rate
        if full_at > now + BURST_SECONDS:
            self.refused += 1
            raise LogTooFast(Deadline(full_at - BURST_SECONDS))
        self.full_at = full_at


class LimitedLog(MemoryLog):
    """A log with a rate limit, that takes time on both ways."""

    def __init__(
        self, service: MemoryLogService, limit: Limit, append_seconds: float
    ):
        """Reach `service` in half of `append_seconds`."""
        super().__init__(service)
        self.limit = limit
        self.half = append_seconds / 2
        self.reads = 0

    async def append(
        self, stream: StreamId, payload: bytes, deadline: Deadline
    ) -> LogOffset:
        """Append one record after half a round trip."""
        await trio.sleep(self.half)
        try:
            self.limit.take()
            return self.service.store(stream, payload)
        finally:
            await trio.sleep(self.half)

    async def read(self, *args, **kwargs) -> LogPage:
        """Read after half a round trip."""
        self.reads += 1
        await trio.sleep(self.half)
        page = await super().read(*args, **kwargs)
        await trio.sleep(self.half)
        return page


class Bench:
    """A fleet under one load.

    Attributes:
        latencies: Seconds of each granted claim.
        refused: Claims that were not granted.
    """

    def __init__(self, load: Load, nursery: trio.Nursery):
        """Prepare the log and the mesh."""
        self.load = load
        self.nursery = nursery
        self.service = MemoryLogService(VirtualClock())
        self.limit = Limit(load.log_rate)
        self.mesh = CountedMesh(nursery)
        self.mesh.delay_seconds = load.peer_seconds
        self.random = random.Random(1)
        self.logs: list[LimitedLog] = []
        self.latencies: list[float] = []
        self.refused = 0
        self.sent = 0

    async def run(self) -> None:
        """Start the hosts and send claims for the load's time."""
        stores = [await self.add_host(n) for n in range(self.load.hosts)]
        await trio.sleep(WARM_SECONDS)
        self.appends_before = self.service.appends
        until = trio.current_time() + self.load.seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                wait = self.random.expovariate(self.load.claims_per_second)
                await trio.sleep(wait)
                store = self.random.choice(stores)
                nursery.start_soon(self.claim, store)
            self.appends = self.service.appends - self.appends_before
        for store in stores:
            await store.flush(Deadline(trio.current_time() + 5))

    async def add_host(self, number: int) -> LogClaimStore:
        """Start one host."""
        load = self.load
        name = HostId(f"h{number}")
        self.mesh.hosts[name] = exchange = CountedExchange(self.mesh, name)
        if load.mode is Mode.OWN:
            exchange = LoneExchange(self.mesh, name)
        settings = default_settings(
            host={"id": name},
            claims={
                "partitions": load.partitions,
                "fleet_appends_per_second": load.fleet_rate,
            },
        )
        log = LimitedLog(self.service, self.limit, load.append_seconds)
        self.logs.append(log)
        store = LogClaimStore(
            settings, log, exchange, Metrics(), VirtualClock()
        )
        if load.mode is Mode.OWN:
            # Alone it would take the share of one host only.
            store.router.append_rate = self.own_rate
        await self.nursery.start(store.run)
        return store

    def own_rate(self, number: int) -> float:
        """Return a host's share of the appends to one partition."""
        load = self.load
        return load.fleet_rate / load.hosts / load.partitions

    async def claim(self, store: LogClaimStore) -> None:
        """Claim, run and finish one request."""
        self.sent += 1
        number = self.sent
        started = trio.current_time()
        result = await store.claim(
            ROUTE, make_request(number), AttemptId(f"a{number}")
        )
        if not isinstance(result, Success):
            self.refused += 1
            return
        self.latencies.append(trio.current_time() - started)
        await trio.sleep(TARGET_SECONDS)
        await store.finish(result.unwrap(), 201)


def make_request(number: int) -> CallerRequest:
    """Return a request with a key of its own."""
    now = trio.current_time()
    issued = str(int((WALL_START + now) * 1000)).encode()
    return CallerRequest(
        request_id=RequestId("r"),
        caller=CallerId("c"),
        method=b"POST",
        path=b"/pay",
        host=b"",
        headers=[Header(b"x-key-issued-at-ms", issued)],
        body=BytesBody(b"{}"),
        deadline=Deadline(now + REQUEST_SECONDS),
        key=IdempotencyKey(f"key-{number}"),
        arrived=Deadline(now),
    )


async def run_load(load: Load) -> None:
    """Run one load and print its line."""
    async with trio.open_nursery() as nursery:
        bench = Bench(load, nursery)
        cpu = time.process_time()
        await bench.run()
        cpu = time.process_time() - cpu
        nursery.cancel_scope.cancel()
    print_line(load, bench, cpu)


def print_line(load: Load, bench: Bench, cpu: float) -> None:
    """Print what one run gave."""
    trips = [latency / load.append_seconds for latency in bench.latencies]
    cuts = statistics.quantiles(trips, n=100) if len(trips) > 1 else [0] * 99
    granted = len(trips) / load.seconds
    sent = sum(host.sent_bytes for host in bench.mesh.hosts.values())
    host_seconds = load.seconds * load.hosts
    reads = sum(log.reads for log in bench.logs) / host_seconds
    calls = bench.mesh.calls / host_seconds
    print(
        f"{load.mode.value:8}{load.partitions:5}{load.claims_per_second:8.0f}"
        f"{load.fleet_rate:7.0f}{granted:9.0f}{bench.refused:8}"
        f"{cuts[49]:7.2f}{cuts[98]:7.2f}{bench.appends / load.seconds:9.0f}"
        f"{bench.limit.refused:9}{cpu / max(1, bench.sent) * 1e6:8.0f}"
        f"{sent / max(1, bench.sent):8.0f}"
        f"{reads:8.0f}{calls:8.0f}"
    )


def make_payloads(keys: int, dated: bool) -> list[bytes]:
    """Return records that claim and finish `keys` keys, `BATCH` in each."""
    payloads = []
    for _ in range(keys // BATCH):
        claims = []
        for _ in range(BATCH):
            key, attempt, fingerprint = (os.urandom(16) for _ in range(3))
            claims.append(
                Entry(
                    EntryKind.CLAIM,
                    key,
                    attempt,
                    fingerprint,
                    seen=0,
                    dated=dated,
                    until_ms=int(WALL_START * 1000),
                )
            )
        dones = [
            Entry(EntryKind.DONE, claim.key, claim.attempt, status=201)
            for claim in claims
        ]
        payloads += [codec.encode(Batch(claims)), codec.encode(Batch(dones))]
    return payloads


def print_fold(keys: int, dated: bool) -> None:
    """Print what reading and remembering a key takes."""
    payloads = make_payloads(keys, dated)
    partition = Partition(
        0, default_settings(), None, Metrics(), VirtualClock(), None
    )
    gc.collect()
    tracemalloc.start()
    _fold_all(partition, payloads)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    partition.fold = Fold(default_settings())
    started = time.process_time()
    _fold_all(partition, payloads)
    seconds = time.process_time() - started
    size = sum(len(payload) for payload in payloads)
    print(
        f"{keys} keys, done, {'dated' if dated else 'undated'}; each: "
        f"{used / keys:.0f} bytes of memory, "
        f"{size / keys:.0f} bytes read, {seconds / keys * 1e6:.1f} us to fold"
    )


def _fold_all(partition: Partition, payloads: list[bytes]) -> None:
    for offset, payload in enumerate(payloads):
        record = LogRecord(LogOffset(offset), payload, WallTime(WALL_START))
        partition._apply_record(record)


async def print_fold_task(fold_keys: list[int]) -> None:
    """Print the costs of folding; positions need trio's clock."""
    for keys in fold_keys:
        print_fold(keys, dated=True)
    print_fold(50_000, dated=False)


def main(
    *,
    hosts: int = 14,
    log_rate: float = 300.0,
    append_ms: float = 5.0,
    peer_ms: float = 1.0,
    seconds: float = 3.0,
    claims: list[float] | None = None,
    partitions: list[int] | None = None,
    modes: list[Mode] | None = None,
    fleet_rates: list[float] | None = None,
    fold_keys: list[int] | None = None,
) -> None:
    """Print latency, rates and memory of claims.

    Args:
        hosts: Hosts of the fleet.
        log_rate: Appends that the log takes in a second.
        append_ms: One append's round trip, in ms.
        peer_ms: One way between two hosts, in ms.
        seconds: How long claims come, on the mock clock.
        claims: Claims of the fleet in a second.
        partitions: Numbers of claim streams.
        modes: Who appends.
        fleet_rates: Appends that the settings allow the fleet.
        fold_keys: Numbers of dated keys that are folded.
    """
    print(
        "mode    parts  claims   pace  granted refused  p50_rt p99_rt "
        "appends too_fast cpu_us peer_b reads_h calls_h"
    )
    for mode in modes or list(Mode):
        for count in partitions or [1, 2, 4, 8]:
            for fleet_rate in fleet_rates or [280.0]:
                for rate in claims or [100.0, 2000.0]:
                    load = Load(
                        mode,
                        hosts,
                        count,
                        rate,
                        log_rate,
                        fleet_rate,
                        append_ms / 1000,
                        peer_ms / 1000,
                        seconds,
                    )
                    clock = trio.testing.MockClock(autojump_threshold=0)
                    trio.run(run_load, load, clock=clock)
    trio.run(print_fold_task, fold_keys or [10_000, 50_000, 250_000])


if __name__ == "__main__":
    defopt.run(main)
