"""Read slowly and with a small buffer, as a caller behind a thin link does."""

import array
import fcntl
import socket
import termios

import trio

RECEIVE_BUFFER_BYTES = 8192
"""Receive buffer that is asked for, which the kernel doubles; with a larger
one it would take a whole answer at once."""

STEP_SECONDS = 0.02
"""Time between two reads."""


class NarrowStream:
    """A connection whose sender has to wait for its reader.

    Attributes:
        sock: The connected socket.
        received: All bytes read so far.
        ended: Whether the other end closed its side in order.
        reset: Whether the other end reset the connection.
    """

    def __init__(self, sock: trio.socket.SocketType):
        """Read from `sock`."""
        self.sock = sock
        self.received = b""
        self.ended = False
        self.reset = False

    @property
    def arrived_bytes(self) -> int:
        """Return how many bytes this machine has, read or not."""
        unread = array.array("i", [0])
        fcntl.ioctl(self.sock.fileno(), termios.FIONREAD, unread)
        return len(self.received) + unread[0]

    async def read(self, bytes_per_second: float) -> None:
        """Read at a rate until the connection ends."""
        step = max(1, int(bytes_per_second * STEP_SECONDS))
        while not (self.ended or self.reset):
            try:
                data = await self.sock.recv(step)
            except ConnectionResetError:
                self.reset = True
                return
            self.received += data
            self.ended = not data
            await trio.sleep(STEP_SECONDS)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


async def open_narrow_socket(
    ip: str, port: int, segment_bytes: int | None = None
) -> trio.socket.SocketType:
    """Connect with a small receive buffer.

    Args:
        ip: The address.
        port: The port.
        segment_bytes: Largest segment in both directions; the kernel chooses
            it if None.

    Raises:
        OSError: The connection could not be opened.
    """
    sock = trio.socket.socket()
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        if segment_bytes is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes
            )
        await sock.connect((ip, port))
    except BaseException:
        sock.close()
        raise
    return sock


async def open_narrow_stream(ip: str, port: int) -> NarrowStream:
    """Connect as a slow reader.

    Raises:
        OSError: The connection could not be opened.
    """
    return NarrowStream(await open_narrow_socket(ip, port))
