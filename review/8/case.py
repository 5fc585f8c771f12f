"""Cut one of three gateways off from all servers; orders come in chunks."""

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

GATEWAYS = 3
ORDERS_PER_SECOND = 12.0
"""At each gateway."""

CUT_AT, CUT_SECONDS, AFTER_SECONDS = 3.0, 10.0, 3.0
STABLE_WINDOW_SECONDS = 3.0
CHUNK_DELAY_SECONDS = 0.005
"""Time between a request's head and its body."""

MIN_RATIO = 2 / 3
FAILED, FAILED_SHARE = 10, 1 / 50

RESET = struct.pack("ii", 1, 0)


def _address(text: str) -> tuple[str, int]:
    ip, _, port = text.partition(":")
    return socket.inet_ntoa(struct.pack("=I", int(ip, 16))), int(port, 16)


def client_inode(server_port: int, client_port: int) -> str:
    """Return the number of the socket at the client's end of a connection."""
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        _, port = _address(fields[1])
        _, peer_port = _address(fields[2])
        if (port, peer_port) == (client_port, server_port):
            return fields[9]
    return ""


def has_socket(pid: int, inode: str) -> bool:
    """Return whether a process that this script started has a socket."""
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return False
    for name in names:
        try:
            if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                return True
        except OSError:
            continue
    return False


class Cut:
    """Which gateway is cut off, and all connections of servers.

    Attributes:
        pid: The process that is cut off; 0 if none is.
        open: Connections with the process at their other end.
    """

    def __init__(self):
        """Start without a cut."""
        self.pid = 0
        self.pids: list[int] = []
        self.open: dict[asyncio.StreamWriter, int] = {}

    def note(self, writer: asyncio.StreamWriter) -> bool:
        """Note a new connection; return whether it is cut."""
        _, port = writer.get_extra_info("sockname")
        _, client_port = writer.get_extra_info("peername")
        inode = client_inode(port, client_port)
        pid = next((p for p in self.pids if has_socket(p, inode)), 0)
        self.open[writer] = pid
        return bool(pid) and pid == self.pid

    def begin(self, pid: int) -> None:
        """Reset all connections of a process, and its new ones from now on."""
        self.pid = pid
        for writer, owner in list(self.open.items()):
            if owner == pid:
                reset(writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    found = writer.get_extra_info("socket")
    if found is not None and found.fileno() >= 0:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


CUT = Cut()


class CutServer(harness.Server):
    """A sound server that one gateway may not reach."""

    async def _serve(self, reader, writer) -> None:
        if CUT.note(writer):
            reset(writer)
            return
        try:
            await super()._serve(reader, writer)
        finally:
            CUT.open.pop(writer, None)


async def order(world: harness.World, number: int, gateway) -> int:
    """Send one order in chunks; return the status, 0 without an answer."""
    body = b'{"payee": "panellist-%05d", "cents": 2500}' % number
    request = f"order-{number:05d}"
    head = (
        "POST /payout/order HTTP/1.1\r\n"
        "Host: payout.example\r\n"
        f"Request-Id: {request}\r\n"
        "Request-Timeout-Ms: 1500\r\n"
        "Connection: close\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    status, reason = 0, "-"
    sent_at = harness.now()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(gateway.ip, gateway.front), 1
        )
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        writer.write(head.encode())
        await asyncio.sleep(CHUNK_DELAY_SECONDS)
        writer.write(chunks)
        answer = await asyncio.wait_for(harness.read_head(reader), 3)
        status, reason = int(answer.first[1]), answer.get("x-reason", "-")
        writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        reason = type(error).__name__
    world.record.note(
        f"{request} sent to {gateway.name} at {sent_at:.3f}: {status} {reason}"
    )
    return status


async def load(world: harness.World, gateway, seconds: float, seen: list):
    """Send orders to one gateway; add time and status of each to `seen`."""
    until = harness.now() + seconds

    async def one(number: int) -> None:
        at = harness.now()
        seen.append((at, await order(world, number, gateway)))

    async with asyncio.TaskGroup() as group:
        while harness.now() < until:
            group.create_task(one(random.randrange(100_000)))
            await asyncio.sleep(random.expovariate(ORDERS_PER_SECOND))


def share(seen: list, start: float, end: float) -> tuple[int, int]:
    """Return how many orders were served of those sent in a time."""
    found = [status for at, status in seen if start <= at < end]
    return found.count(200), len(found)


async def main(world: harness.World) -> int:
    """Compare the gateway that is cut off with the others."""
    routes = [harness.route("payout", "non_idempotent", "ledger")]
    ready = await world.start(
        {"ledger": (6, 2)}, routes, gateways=GATEWAYS, server=CutServer
    )
    if not ready:
        return 2
    CUT.pids = [gateway.process.pid for gateway in world.gateways]
    # Connections from before are not told apart: they are opened again.
    for writer in list(CUT.open):
        reset(writer)
    seconds = CUT_AT + CUT_SECONDS + AFTER_SECONDS
    seen: list[list[tuple[float, int]]] = [[] for _ in world.gateways]
    start = harness.now() + CUT_AT

    async def cut() -> None:
        await asyncio.sleep(CUT_AT)
        if world.trouble:
            CUT.begin(CUT.pids[0])
            world.record.note(f"{world.gateways[0].name} is cut off")
        await asyncio.sleep(CUT_SECONDS)
        CUT.pid = 0
        world.record.note("the cut ends")

    await asyncio.gather(
        cut(),
        *(
            load(world, gateway, seconds, part)
            for gateway, part in zip(world.gateways, seen, strict=True)
        ),
    )
    judged = start + STABLE_WINDOW_SECONDS, start + CUT_SECONDS - 1.5
    served, tries = share(seen[0], *judged)
    others = [share(part, *judged) for part in seen[1:]]
    others_served = sum(each[0] for each in others)
    others_tries = sum(each[1] for each in others)
    text = (
        f"from 3 s after the cut began: {served} of {tries} orders served at "
        f"the gateway that reaches no server, {others_served} of "
        f"{others_tries} at the others"
    )
    world.record.note(text)
    print(text)
    if not tries or others_served < 0.9 * others_tries:
        return 2
    allowed = FAILED + FAILED_SHARE * (tries + others_tries)
    few = served / tries < MIN_RATIO * others_served / others_tries
    return 1 if few and tries - served > allowed else 0


harness.run(main, HERE)
