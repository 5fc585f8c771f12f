"""Press a host with clients that take its memory or its connections."""

import contextlib
import dataclasses
import pathlib
import resource
import select
import socket

import trio

LOOPBACK = "127.0.0.1"

PAGE_BYTES = resource.getpagesize()

SEND_BYTES = 64 * 1024
"""Most bytes of one send of a client that doesn't send in pieces."""

WINDOW_BYTES = 4096
"""Size of a client's receive buffer; a larger one would take what the client
does not read."""

RETURN_SECONDS = 0.2
"""Pause before a client connects again."""

SAMPLE_SECONDS = 0.02
"""Interval of looks at the host's memory and descriptors."""

CONNECT_AT_ONCE = 200
"""Clients that connect together, so that the backlog drops none."""

MEGABYTE = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that all do the same.

    None of them ends its connection, and none reads unless `read_bytes` says
    so.

    Attributes:
        clients: How many.
        content: What each sends.
        piece_bytes: Size of each piece that is sent alone; 0 sends all at
            once.
        pause_seconds: Pause after each piece.
        read_bytes: Bytes that are read after each pause once all is sent.
        returns: Whether a client connects again once its connection ends.
        hold_seconds: How long the connections are held once all is sent.
    """

    clients: int
    content: bytes
    piece_bytes: int = 0
    pause_seconds: float = 0.0
    read_bytes: int = 0
    returns: bool = False
    hold_seconds: float = 1.0


@dataclasses.dataclass(slots=True)
class Footprint:
    """The most that a process was seen to hold.

    Attributes:
        memory_bytes: Resident memory, and bytes that its connections have
            received and it has not read.
        descriptors: Open descriptors.
    """

    memory_bytes: int = 0
    descriptors: int = 0


class Watch:
    """Follows what a process holds.

    Attributes:
        pid: The process.
        ports: Its listeners whose connections are counted.
        most: The most of each that was seen.
    """

    def __init__(self, pid: int, *ports: int):
        """Watch a process that listens on `ports`."""
        self.pid = pid
        self.ports = frozenset(ports)
        self.most = Footprint()

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self.look()
            await trio.sleep(SAMPLE_SECONDS)

    def look(self) -> None:
        """Note what the process holds now; nothing if it has ended."""
        folder = pathlib.Path(f"/proc/{self.pid}")
        with contextlib.suppress(OSError):
            resident = int((folder / "statm").read_text().split()[1])
            memory = resident * PAGE_BYTES + self._unread_bytes()
            descriptors = len(list((folder / "fd").iterdir()))
            most = self.most
            most.memory_bytes = max(most.memory_bytes, memory)
            most.descriptors = max(most.descriptors, descriptors)

    def _unread_bytes(self) -> int:
        """Return what the kernel holds of the connections' input."""
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().split("\n")[1:]:
            if not line:
                continue
            _, local, remote, _, queues = line.split()[:5]
            if int(local.split(":")[1], 16) not in self.ports:
                continue
            if remote.endswith(":0000"):
                # The listener's figure counts connections.
                continue
            total += int(queues.split(":")[1], 16)
        return total

    @property
    def peak_bytes(self) -> int:
        """Return the most resident memory so far, as the kernel counts it."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        (line,) = [x for x in status.split("\n") if x.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024


class Press:
    """A crowd whose connections stay open until it ends.

    Attributes:
        crowd: What its clients do.
        port: Where they connect.
        busy: Clients that have not sent all yet, and whose connections are
            open.
    """

    def __init__(self, crowd: Crowd, port: int):
        """Press the listener on `port`."""
        self.crowd = crowd
        self.port = port
        self.busy = crowd.clients
        self.connecting = trio.CapacityLimiter(CONNECT_AT_ONCE)

    async def run(self) -> None:
        """Send what the clients send, and hold their connections."""
        async with trio.open_nursery() as nursery:
            for _ in range(self.crowd.clients):
                nursery.start_soon(self._run_client)

    async def wait_sent(self, seconds: float) -> None:
        """Wait until all is sent or refused, for `seconds` at most.

        A host that has stopped to read a connection keeps its client from
        sending all.
        """
        with trio.move_on_after(seconds):
            while self.busy:
                await trio.sleep(SAMPLE_SECONDS)
        await trio.sleep(self.crowd.hold_seconds)

    async def _run_client(self) -> None:
        await self._connect(first=True)
        while self.crowd.returns:
            await trio.sleep(RETURN_SECONDS)
            await self._connect(first=False)

    async def _connect(self, first: bool) -> None:
        with trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            sent = False
            try:
                async with self.connecting:
                    await sock.connect((LOOPBACK, self.port))
                await self._send(sock)
                self.busy -= first
                sent = True
                await self._hold(sock)
            except OSError:
                # The host refused it or closed the connection.
                self.busy -= first and not sent

    async def _send(self, sock: trio.socket.SocketType) -> None:
        crowd = self.crowd
        size = crowd.piece_bytes or SEND_BYTES
        if crowd.piece_bytes:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for start in range(0, len(crowd.content), size):
            piece = memoryview(crowd.content)[start : start + size]
            while piece:
                piece = piece[await sock.send(piece) :]
            await trio.sleep(crowd.pause_seconds)

    async def _hold(self, sock: trio.socket.SocketType) -> None:
        if self.crowd.read_bytes:
            while await sock.recv(self.crowd.read_bytes):
                await trio.sleep(self.crowd.pause_seconds)
        elif self.crowd.returns:
            await self._wait_reset(sock)
        else:
            await trio.sleep_forever()

    async def _wait_reset(self, sock: trio.socket.SocketType) -> None:
        """Wait until the connection has ended; nothing is read."""
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLRDHUP)
        while not poller.poll(0):
            await trio.sleep(RETURN_SECONDS)
