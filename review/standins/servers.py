"""Stand in for a server, as PROTOCOL.md describes it."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from review.standins.http import (
    Connection,
    Message,
    answer_bytes,
    write_answer,
)
from review.standins.store import Store

BEAT_SECONDS = 1.5


@dataclasses.dataclass
class Plan:
    """What a server does with one request.

    Attributes:
        shed: Whether it rejects it without running it.
        extra_after: Seconds after its answer at which it sends the same
            answer once more; None for never.
        headers: Further header fields of a success.
        body: The body of a success; a short text if None.
        pause_seconds: Time between the two halves of the body.
    """

    shed: bool = False
    extra_after: float | None = None
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    body: bytes | None = None
    pause_seconds: float = 0.0


class Server:
    """One server with slots and a queue; it tells its load.

    Attributes:
        runs: The ids of the requests that it ran.
        run_requests: The same requests.
        spans: When it was at work on each, by the loop's clock.
        leaving: Whether it is being emptied.
        answers: Number of answers to requests so far.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        note: Callable[..., None],
        slots: int = 2,
        queue: int = 4,
        work_seconds: float = 0.2,
    ):
        """Describe the server; `start` starts it."""
        self.name, self.service, self.store = name, service, store
        self.note = note
        self.slots, self.queue, self.work_seconds = slots, queue, work_seconds
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.runs: list[str] = []
        self.run_requests: list[Message] = []
        self.spans: dict[str, tuple[float, float]] = {}
        self.leaving = False
        self.delivering = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None
        self.answers = 0
        self.plan: Callable[[Server, Message], Plan] = lambda *_: Plan()
        self.address = ""
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Listen on a free loopback port, and register."""
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.beat()

    async def beat(self, state: str = "ready") -> None:
        """Write the server's entry."""
        self.sequence += 1
        entry = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "hall",
                "slots": self.slots,
            },
            "status": {
                "state": state,
                "sequence": self.sequence,
                "warmup_left": "0ms",
            },
        }
        await self.store.put("keyed.servers", self.name, entry)

    def crash(self) -> None:
        """End as a process does that is killed: all its channels are reset."""
        self.note("server", self.name, "crashes")
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    def load(self) -> tuple[str, str]:
        """Return the header that tells the load."""
        figures = f"{self.running},{self.waiting},{self.slots}"
        return "Server-Load", figures

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        self.writers.add(writer)
        try:
            while (request := await connection.read_request()) is not None:
                await self._answer(request, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            # The other end has gone, or the case is over.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        if request.path == "/healthz":
            headers = [("Instance-Id", self.name), self.load()]
            await write_answer(writer, 200, headers, b"")
            return
        wanted = request.headers.get("target-instance", self.name)
        if wanted != self.name:
            headers = [("Instance-Id", self.name)]
            await write_answer(writer, 421, headers, b"")
            return
        request_id = request.headers["request-id"]
        plan = self.plan(self, request)
        self.answers += 1
        full = self.running + self.waiting >= self.slots + self.queue
        if plan.shed or full:
            self.note("server", self.name, "rejects", request_id)
            status, body = 503, b""
            headers = [("Request-Id", request_id), ("Not-Executed", "1")]
        else:
            body = await self._run(request)
            body = body if plan.body is None else plan.body
            status = 200
            headers = [
                ("Request-Id", request_id),
                ("Server-Signature", f"sig.{self.name}.{request_id}"),
                *plan.headers,
            ]
        answer = answer_bytes(status, [*headers, self.load()], body)
        await self._write(writer, answer, plan)
        if plan.extra_after is not None:
            self.note("server", self.name, "will repeat", request_id)
            asyncio.get_running_loop().call_later(
                plan.extra_after, self._repeat, writer, answer, request_id
            )

    def _repeat(
        self, writer: asyncio.StreamWriter, answer: bytes, request_id: str
    ) -> None:
        if not writer.is_closing():
            self.note("server", self.name, "repeats answer to", request_id)
            writer.write(answer)

    async def _write(
        self, writer: asyncio.StreamWriter, answer: bytes, plan: Plan
    ) -> None:
        half = len(answer) // 2 if plan.pause_seconds else len(answer)
        self.delivering += 1
        try:
            writer.write(answer[:half])
            await writer.drain()
            if plan.pause_seconds:
                await asyncio.sleep(plan.pause_seconds)
                writer.write(answer[half:])
                await writer.drain()
        finally:
            self.delivering -= 1

    async def _run(self, request: Message) -> bytes:
        request_id = request.headers["request-id"]
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs.append(request_id)
            self.run_requests.append(request)
            self.note("server", self.name, "runs", request_id)
            loop = asyncio.get_running_loop()
            begin = loop.time()
            self.spans[request_id] = begin, float("inf")
            try:
                await asyncio.sleep(self.work_seconds)
            finally:
                self.running -= 1
                self.spans[request_id] = begin, loop.time()
        return f"body of {request_id}".encode()
