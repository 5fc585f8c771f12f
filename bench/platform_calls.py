"""Measure what the platform's clients cost a host, with ratios.

Run `python -m bench.platform_calls`. The server runs in a thread of its own;
all times are processor times of the client's thread.
"""

import base64
import gc
import gzip
import queue
import struct
import threading
import time
import tracemalloc
from collections.abc import Awaitable, Callable

import orjson
import trio

from agatetack.hosts.directory import HostDirectory
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.hosts.http_host_list import HttpHostList
from agatetack.http_call import PlatformReply, PlatformRequest
from agatetack.ids import (
    Deadline,
    FailureDomain,
    HostId,
    LogOffset,
    ServiceId,
    StreamId,
)
from agatetack.metrics import Metrics
from agatetack.record_log.http_log import HttpLog, read_page_reply
from agatetack.record_log.messages import PageReply, RecordBody
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import Settings
from agatetack.testing.fake_target import FakeTarget
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import MemoryLogService
from agatetack.testing.platform_server import serve_platform

FLEET = 9800
SERVICES = 1500
RECORDS = 1000
RECORD_BYTES = 150
CALLS = 300
STREAM = StreamId("bench")


def make_host(number: int) -> ListedHost:
    """Return one target of a fleet of the size designed for."""
    ip = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return ListedHost(
        id=HostId(f"{ip}:8080"),
        role=HostRole.TARGET,
        state=HostState.LIVE,
        ip=ip,
        port=8080,
        failure_domain=FailureDomain(f"region-1-domain-{number % 6}"),
        service=ServiceId(f"survey-profiles-{number % SERVICES}"),
    )


def soon() -> Deadline:
    """Return a deadline that no call here misses."""
    return Deadline(trio.current_time() + 30)


async def time_calls(call: Callable[[], Awaitable[object]]) -> float:
    """Return the processor time of one call, in ms, the client's alone."""
    await call()
    started = time.thread_time()
    for _ in range(CALLS):
        await call()
    return (time.thread_time() - started) / CALLS * 1000


def settings_for(port: int) -> Settings:
    """Return settings that name the server in this process."""
    endpoint = {"ip": "127.0.0.1", "port": port}
    return default_settings(
        platform={
            "log": {"endpoint": endpoint},
            "host_list": {"endpoint": endpoint},
        }
    )


class ServerThread:
    """The platform and a bare HTTP server, in a thread of their own.

    Attributes:
        ports: The platform's port and the bare server's.
    """

    def __init__(self) -> None:
        """Start nothing yet."""
        self.ports: queue.Queue[int] = queue.Queue()
        self.thread = threading.Thread(target=trio.run, args=(self._serve,))
        self.stop = threading.Event()

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            source = MemoryHostList([make_host(n) for n in range(FLEET)])
            target = FakeTarget(default_settings())
            self.ports.put(
                await nursery.start(serve_platform, MemoryLogService(), source)
            )
            self.ports.put(await nursery.start(target.serve))
            await trio.to_thread.run_sync(self.stop.wait)
            nursery.cancel_scope.cancel()


async def measure_calls(platform_port: int, bare_port: int) -> None:
    """Print the client's cost of each call against a bare exchange."""
    bare = HttpLog(settings_for(bare_port)).caller
    log = HttpLog(settings_for(platform_port))
    hosts = HttpHostList(settings_for(platform_port))
    payload = b"x" * RECORD_BYTES

    async def call_bare() -> None:
        await bare.call(PlatformRequest("GET", "/", soon()))

    async def append() -> None:
        await log.append(STREAM, payload, soon())

    async def poll() -> None:
        await log.read(STREAM, LogOffset(CALLS + 1), soon())

    async def fetch() -> None:
        await hosts.fetch(soon())

    base = await time_calls(call_bare)
    print(f"bare exchange with httpcore: {base:.3f} ms (baseline)")
    calls = (
        ("append", append),
        ("empty read", poll),
        ("unchanged list", fetch),
    )
    for name, call in calls:
        cost = await time_calls(call)
        print(f"{name}: {cost:.3f} ms, {cost / base:.2f} of a bare one")


def measure_page() -> None:
    """Print what a page costs to decode, in JSON and in a packed form."""
    payload = base64.b64encode(b"x" * RECORD_BYTES).decode()
    record = RecordBody(payload, 1_700_000_000.125)
    page = orjson.dumps(PageReply(0, 0, RECORDS, [record] * RECORDS))
    packed = struct.pack(">QI", 1, RECORD_BYTES) + b"x" * RECORD_BYTES
    packed *= RECORDS
    reply = PlatformReply(200, {}, page)
    repeats = 50

    def unpack() -> list[bytes]:
        position = 0
        records = []
        while position < len(packed):
            _, length = struct.unpack_from(">QI", packed, position)
            position += 12
            records.append(packed[position : position + length])
            position += length
        return records

    started = time.process_time()
    for _ in range(repeats):
        read_page_reply(reply, LogOffset(0))
    in_json = (time.process_time() - started) / repeats / RECORDS
    started = time.process_time()
    for _ in range(repeats):
        unpack()
    in_packed = (time.process_time() - started) / repeats / RECORDS
    print(
        f"a record of {RECORD_BYTES} bytes: JSON {in_json * 1e6:.2f} us and "
        f"{len(page) / RECORDS:.0f} bytes; packed {in_packed * 1e6:.2f} us "
        f"and {len(packed) / RECORDS:.0f} bytes; "
        f"ratios {in_json / in_packed:.1f} and {len(page) / len(packed):.2f}"
    )


async def measure_list() -> None:
    """Print what the list costs at the size designed for."""
    hosts = [make_host(number) for number in range(FLEET)]
    body = orjson.dumps({"hosts": hosts})
    packed = gzip.compress(body)
    reply = PlatformReply(200, {b"content-encoding": b"gzip"}, packed)
    settings = default_settings()
    client = HttpHostList(settings)
    source = MemoryHostList()
    directory = HostDirectory(settings, source, Metrics())
    print(
        f"a list of {FLEET}: {len(body)} bytes, {len(packed)} as gzip "
        f"({len(packed) / len(body):.3f})"
    )
    gc.collect()
    tracemalloc.start()
    await client.take(reply)
    source.hosts = list(client.hosts)
    await directory.poll()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.process_time()
    await client.take(reply)
    decode = time.process_time() - started
    source.hosts = list(client.hosts)[1:]
    started = time.process_time()
    await directory.poll()
    compare = time.process_time() - started
    print(
        f"changed: {decode * 1000:.1f} ms to decode, {compare * 1000:.1f} ms "
        f"to compare; {held / FLEET:.0f} bytes held for each entry, "
        f"{held / 1e6:.1f} MB"
    )


async def main() -> None:
    """Print all figures."""
    server = ServerThread()
    server.thread.start()
    try:
        await measure_calls(server.ports.get(), server.ports.get())
    finally:
        server.stop.set()
        server.thread.join()
    measure_page()
    await measure_list()


if __name__ == "__main__":
    trio.run(main)
