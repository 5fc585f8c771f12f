"""Let one order crash the servers that run it, beside orders in chunks."""

import asyncio
import os
import pathlib
import random
import socket
import struct
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import harness  # noqa: E402

GATEWAYS = 2
SECONDS = 50.0
ORDERS_PER_SECOND = 30.0
POISON_SECONDS = 2.0
"""How often the client of the order that crashes servers sends it again."""

DOWN_SECONDS = 3.0
LAPSE_SECONDS = 4.5
"""Three intervals of heartbeats: then the entry of a dead server is removed."""

STABLE_WINDOW_SECONDS = 3.0
CRASHES, MAX_RETRIES = 3, 3
CHUNK_DELAY_SECONDS = 0.005
"""Time between a request's head and its body."""

POISON = b'{"payee": "panellist-poison", "cents": -1}'
RESET = struct.pack("ii", 1, 0)

FRAMING = os.environ.get("FRAMING", "chunked")
"""`length` sends the same orders with a length, for comparison."""


class CrashingServer(harness.Server):
    """A server that crashes when it begins to run the order.

    Attributes:
        crashed_at: When servers began to run it, in order.
        lost: Other orders that were running on servers that crashed.
    """

    crashed_at: list[float] = []
    lost: list[str] = []

    def __init__(self, *args, **kwargs):
        """Take the arguments of a server."""
        super().__init__(*args, **kwargs)
        self.open: set[asyncio.StreamWriter] = set()
        self.current: set[str] = set()
        self.down = False
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen and register; a start after a crash is a new boot."""
        self.listener = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self._beat())

    async def _serve(self, reader, writer) -> None:
        self.open.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.open.discard(writer)

    async def answer(self, head: harness.Head, body: bytes) -> bytes:
        """Answer a request, or crash."""
        request = head.get("request-id")
        right = head.get("target-instance", self.id) == self.id
        if body == POISON and right and not self.down:
            self.record.note(f"{self.id} begins to run {request} and crashes")
            self.crashed_at.append(harness.now())
            self._crash()
            raise ConnectionResetError
        if request:
            self.current.add(request)
        try:
            return await super().answer(head, body)
        finally:
            self.current.discard(request)

    def _crash(self) -> None:
        self.down = True
        self.lost.extend(self.current)
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.open):
            found = writer.get_extra_info("socket")
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        for work in (self._lapse(self.id), self._come_back()):
            task = asyncio.create_task(work)
            self.tasks.add(task)

    async def _lapse(self, old: str) -> None:
        await asyncio.sleep(LAPSE_SECONDS)
        self.store.put("keyed.servers", old, b"")

    async def _come_back(self) -> None:
        await asyncio.sleep(DOWN_SECONDS)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.current, self.down = set(), False
        await self.start()


async def order(world: harness.World, request: str, body: bytes) -> int:
    """Send one order to any gateway; return the status, 0 without an answer."""
    gateway = random.choice(world.gateways)
    if FRAMING == "chunked":
        framing = "Transfer-Encoding: chunked"
        content = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    else:
        framing, content = f"Content-Length: {len(body)}", body
    head = (
        "POST /payout/order?ms=210 HTTP/1.1\r\n"
        "Host: payout.example\r\n"
        f"Request-Id: {request}\r\n"
        "Request-Timeout-Ms: 1500\r\n"
        f"Connection: close\r\n{framing}\r\n\r\n"
    )
    status, reason = 0, "-"
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(gateway.ip, gateway.front), 1
        )
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        writer.write(head.encode())
        await asyncio.sleep(CHUNK_DELAY_SECONDS)
        writer.write(content)
        answer = await asyncio.wait_for(harness.read_head(reader), 3)
        status, reason = int(answer.first[1]), answer.get("x-reason", "-")
        writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        reason = type(error).__name__
    world.record.note(f"{request} sent to {gateway.name}: {status} {reason}")
    return status


async def send_orders(world: harness.World, until: float) -> list[int]:
    """Send orders that all differ; return their statuses."""
    tasks, number = [], 0
    while harness.now() < until:
        number += 1
        body = b'{"payee": "panellist-%05d", "cents": 2500}' % number
        tasks.append(
            asyncio.create_task(order(world, f"order-{number:05d}", body))
        )
        await asyncio.sleep(random.expovariate(ORDERS_PER_SECOND))
    return [await task for task in tasks]


async def send_poison(world: harness.World, until: float) -> None:
    """Send the order that crashes servers, again and again."""
    number = 0
    while harness.now() < until:
        number += 1
        await order(world, f"poison-{number:03d}", POISON)
        await asyncio.sleep(POISON_SECONDS)


async def main(world: harness.World) -> int:
    """Count the retries that reach servers after the third crash."""
    routes = [
        harness.route("payout", "non_idempotent", "ledger", max_attempts=1)
    ]
    ready = await world.start(
        {"ledger": (8, 2)}, routes, gateways=GATEWAYS, server=CrashingServer
    )
    if not ready:
        return 2
    until = harness.now() + SECONDS
    work = [send_orders(world, until)]
    if world.trouble:
        work.append(send_poison(world, until))
    statuses = (await asyncio.gather(*work))[0]
    crashed_at = CrashingServer.crashed_at
    late = []
    if len(crashed_at) >= CRASHES:
        third = crashed_at[CRASHES - 1]
        late = [at for at in crashed_at if at > third + STABLE_WINDOW_SECONDS]
    lost = len(CrashingServer.lost)
    seen = (
        f"{len(statuses)} orders, {statuses.count(200)} served; another one "
        f"crashed {len(crashed_at)} servers, {len(late)} of them later than "
        f"3 s after the third; {lost} orders were running on these servers"
    )
    world.record.note(seen)
    print(seen)
    if not statuses.count(200):
        return 2
    return 1 if len(late) > MAX_RETRIES else 0


harness.run(main, HERE)
