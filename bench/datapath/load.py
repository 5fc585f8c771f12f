"""Send bounded load to one address and measure how long answers take."""

import dataclasses
import os
import random

import trio
from hdrh.histogram import HdrHistogram

HIGHEST_US = 10_000_000
"""Longest time that the histogram holds, in microseconds."""

REQUEST = b"GET /profiles/1 HTTP/1.1\r\nHost: bench\r\n\r\n"
END_OF_HEAD = b"\r\n\r\n"


@dataclasses.dataclass(slots=True)
class LoadResult:
    """What one load brought.

    Attributes:
        answered: Answers with status 200.
        failed: Other answers and lost connections.
        seconds: Time from the first request to the last answer.
        histogram: Time of each request, in microseconds.
    """

    answered: int = 0
    failed: int = 0
    seconds: float = 0.0
    histogram: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, HIGHEST_US, 3)
    )

    def quantile_ms(self, percent: float) -> float:
        """Return a percentile of the times, in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000


class Connection:
    """One kept connection; sends a request and reads its whole answer."""

    def __init__(self, port: int):
        """Connect to `port` at the first request."""
        self.port = port
        self.stream: trio.SocketStream | None = None

    async def fetch(self) -> bool:
        """Return whether the answer was 200."""
        if self.stream is None:
            self.stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        await self.stream.send_all(REQUEST)
        data = b""
        while END_OF_HEAD not in data:
            part = await self.stream.receive_some()
            if not part:
                return False
            data += part
        head, _, body = data.partition(END_OF_HEAD)
        length = _content_length(head)
        while len(body) < length:
            body += await self.stream.receive_some()
        return head.startswith(b"HTTP/1.1 200")


def _content_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    raise ValueError("the answer announces no length")


class Load:
    """Requests to one port; times count from when each was released.

    A request finds a free connection or opens one, so that a slow answer
    delays no other. That timers wake a little late is not counted.
    """

    def __init__(self, port: int):
        """Load `port`."""
        self.port = port
        self.result = LoadResult()
        self.free: list[Connection] = []

    async def open_loop(self, rate: float, count: int, seed: int) -> LoadResult:
        """Send `count` requests at random times, `rate` a second."""
        rng = random.Random(seed)
        started = trio.current_time()
        due = started
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                due += rng.expovariate(rate)
                await trio.sleep_until(due)
                nursery.start_soon(self._one, trio.current_time())
        self.result.seconds = trio.current_time() - started
        return self.result

    async def closed_loop(self, users: int, count: int) -> LoadResult:
        """Send `count` requests, `users` at a time, as fast as they go."""
        started = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(users):
                nursery.start_soon(self._many, count // users)
        self.result.seconds = trio.current_time() - started
        return self.result

    async def _many(self, count: int) -> None:
        for _ in range(count):
            await self._one(trio.current_time())

    async def _one(self, released: float) -> None:
        connection = self.free.pop() if self.free else Connection(self.port)
        try:
            answered = await connection.fetch()
        except (trio.BrokenResourceError, OSError):
            answered = False
        micros = int((trio.current_time() - released) * 1e6)
        self.result.histogram.record_value(max(1, min(micros, HIGHEST_US)))
        if answered:
            self.result.answered += 1
            self.free.append(connection)
        else:
            self.result.failed += 1


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")
