"""TCP streams with less overhead per call than trio's.

trio's `SocketStream` checks for concurrent use on each call, which costs as
much as the call itself. A connection here has only one sender and one
receiver, so these streams omit the checks; they wait and are cancelled
through trio.
"""

import contextlib
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Awaitable, Callable

import trio

from agatetack.listeners import take_listener
from agatetack.logs import PartLog

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Size of the kernel's buffer for what an accepted connection has received.

Linux takes twice as much, and would let it grow to megabytes for a caller that
sends while nothing is read from its connection.
"""

PENDING_BUFFER_BYTES = 16 * 1024
"""The same for a connection that is not accepted yet; a thousand may wait."""

ACCEPT_RETRY_SECONDS = 0.1
"""Pause after accept failed, for example for lack of file descriptors."""

LINGER_NONE = struct.pack("ii", 1, 0)
"""SO_LINGER value that makes a close send a reset, so that a truncated answer
can't look complete."""

TCP_INFO = getattr(socket, "TCP_INFO", None)
"""Socket option with the kernel's record of a connection; None without one."""

TCP_INFO_BYTES = 56
"""Bytes of that record that are read."""

LAST_DATA_RECV_OFFSET = 52
"""Where `tcpi_last_data_recv` stands in it: the milliseconds since the last
bytes came."""

MAX_TICK_SECONDS = 0.01
"""Longest tick of Linux's timer (100 Hz), in which it counts that time."""


TCP_STATE_CLOSED = 7
"""`tcpi_state`, the record's first byte, of a connection that has ended
(`TCP_CLOSE` in Linux's `net/tcp_states.h`)."""


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes sent the other end's kernel has not acknowledged.

    The end of a stream counts as one byte. What was not acknowledged before a
    reset still counts. 0 if the socket is closed, or where the kernel doesn't
    tell (only Linux does).
    """
    if sock.fileno() < 0:
        return 0
    try:
        left = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return struct.unpack("=i", left)[0]


def is_over(sock: socket.socket) -> bool:
    """Return whether a connection has ended in both directions, or by a reset.

    False where the kernel doesn't tell (only Linux does).
    """
    if TCP_INFO is None:
        return False
    try:
        (state,) = sock.getsockopt(socket.IPPROTO_TCP, TCP_INFO, 1)
    except OSError:
        return True
    return state == TCP_STATE_CLOSED


def met_reset(error: BaseException) -> bool:
    """Return whether a failed send met a reset before a regular end.

    Linux reports a reset to one call only: the next read gets the bytes before
    it and then what looks like a regular end. A broken pipe comes from a reset
    after the regular end.

    Args:
        error: What the send raised; its causes are looked at as well.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, BrokenPipeError):
            return False
        cause = cause.__cause__
    return True


def _set_receive_buffer(sock: socket.socket, size: int) -> None:
    """Set the size of the kernel's buffer for received bytes.

    A caller that has gone meanwhile is noticed at the first read.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


class PlainStream(trio.abc.Stream):
    """One connected TCP socket.

    Attributes:
        sock: The non-blocking socket.
    """

    def __init__(self, sock: socket.socket):
        """Take ownership of `sock`, which is connected and non-blocking."""
        self.sock = sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def send_all(self, data: bytes) -> None:
        """Send all of `data`.

        Raises:
            trio.BrokenResourceError: The connection is lost.
            trio.ClosedResourceError: The stream was closed here.
        """
        left = memoryview(data)
        while left:
            try:
                left = left[self.sock.send(left) :]
            except BlockingIOError:
                await self._wait(trio.lowlevel.wait_writable)
            except OSError as error:
                raise self._translate(error) from error

    def send_nowait(self, data: bytes) -> int:
        """Send without waiting; return the number of bytes sent.

        It is 0 if the connection is lost; the next `send_all` raises then.
        """
        try:
            return self.sock.send(data)
        except OSError:
            return 0

    async def receive_some(self, max_bytes: int | None = 65536) -> bytes:
        """Wait for bytes and return them, or `b""` at the end of the stream.

        Raises:
            trio.BrokenResourceError: The connection is lost.
            trio.ClosedResourceError: The stream was closed here.
        """
        while True:
            await self._wait(trio.lowlevel.wait_readable)
            try:
                return self.sock.recv(max_bytes or 65536)
            except BlockingIOError:
                continue
            except OSError as error:
                raise self._translate(error) from error

    def receive_nowait(self, max_bytes: int = 65536) -> bytes | None:
        """Return bytes without waiting: None if there are none, `b""` at EOF.

        Raises:
            trio.BrokenResourceError: The connection is lost.
        """
        try:
            return self.sock.recv(max_bytes)
        except BlockingIOError:
            return None
        except OSError as error:
            raise self._translate(error) from error

    async def _wait(self, wait) -> None:
        if self.sock.fileno() < 0:
            raise trio.ClosedResourceError("the stream was closed")
        await wait(self.sock)

    def _translate(self, error: OSError) -> Exception:
        if self.sock.fileno() < 0:
            return trio.ClosedResourceError("the stream was closed")
        return trio.BrokenResourceError(str(error))

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the socket is writable."""
        await self._wait(trio.lowlevel.wait_writable)

    def send_eof(self) -> None:
        """Shut down the sending side; the other end may continue to send."""
        with contextlib.suppress(OSError):
            # This fails if the other end reset the connection.
            self.sock.shutdown(socket.SHUT_WR)

    async def aclose(self) -> None:
        """Close the socket."""
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close the socket at once."""
        if self.sock.fileno() >= 0:
            # Tasks that wait for the socket get a ClosedResourceError.
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()

    def is_reset(self) -> bool:
        """Return whether the other end reset the connection."""
        if self.sock.fileno() < 0:
            return False
        poller = select.poll()
        poller.register(self.sock.fileno(), 0)
        return any(
            events & (select.POLLERR | select.POLLHUP)
            for _, events in poller.poll(0)
        )

    def has_ended(self) -> bool:
        """Return whether the other end sends no more, also if some is unread.

        False where the kernel doesn't tell (only Linux does).
        """
        if self.sock.fileno() < 0:
            return False
        ended = getattr(select, "POLLRDHUP", 0)
        poller = select.poll()
        poller.register(self.sock.fileno(), ended)
        return any(events & ended for _, events in poller.poll(0))

    async def wait_ended(self, poll_seconds: float) -> None:
        """Wait until the other end sends no more; nothing is read.

        Args:
            poll_seconds: Interval of looks while bytes are unread, as they
                hide the end.
        """
        while self.sock.fileno() >= 0 and not self.has_ended():
            if self.has_unread():
                await trio.sleep(poll_seconds)
            else:
                await self._wait(trio.lowlevel.wait_readable)

    def has_unread(self) -> bool:
        """Return whether received bytes, or the end, have not been read."""
        if self.sock.fileno() < 0:
            return False
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def unacknowledged_bytes(self) -> int:
        """Return how many bytes the other end may still acknowledge."""
        left = unacknowledged_bytes(self.sock)
        return 0 if left and is_over(self.sock) else left

    def seconds_since_data(self) -> float:
        """Return how long ago at least the last bytes came.

        The kernel takes bytes in while this process is stopped, busy or about
        to start. It is 0 if that is not known.
        """
        if TCP_INFO is None:
            return 0.0
        try:
            info = self.sock.getsockopt(
                socket.IPPROTO_TCP, TCP_INFO, TCP_INFO_BYTES
            )
        except OSError:
            return 0.0
        if len(info) < TCP_INFO_BYTES:
            return 0.0
        (milliseconds,) = struct.unpack_from("=I", info, LAST_DATA_RECV_OFFSET)
        return max(0.0, milliseconds / 1000 - MAX_TICK_SECONDS)

    def abort_on_close(self) -> None:
        """Make the next close send a reset."""
        if self.sock.fileno() >= 0:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
            )


class PlainListener:
    """A listening TCP socket whose connections are `PlainStream`s.

    Attributes:
        sock: The listening socket.
        port: The port listened on.
    """

    def __init__(self, ip: str, port: int, backlog: int):
        """Listen on an IP address; port 0 lets the kernel choose one.

        Raises:
            OSError: The address can't be listened on.
        """
        self.sock = take_listener(ip, port, backlog)
        # Connections inherit it.
        _set_receive_buffer(self.sock, PENDING_BUFFER_BYTES)
        self.port = self.sock.getsockname()[1]

    async def accept(self) -> PlainStream:
        """Return the next connection.

        Raises:
            OSError: Accepting failed, for example for lack of descriptors.
        """
        while True:
            await trio.lowlevel.wait_readable(self.sock)
            stream = self.accept_nowait()
            if stream is not None:
                return stream

    def accept_nowait(self) -> PlainStream | None:
        """Return a connection without waiting, or None if there is none.

        Raises:
            OSError: Accepting failed, for example for lack of descriptors.
        """
        try:
            sock, _ = self.sock.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return None
        sock.setblocking(False)
        _set_receive_buffer(sock, RECEIVE_BUFFER_BYTES)
        return PlainStream(sock)

    def close(self) -> None:
        """Stop listening."""
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()


def trio_listener(ip: str, port: int) -> trio.SocketListener:
    """Return a listener for trio's servers; port 0 is any port.

    Raises:
        OSError: The address can't be listened on.
    """
    return trio.SocketListener(
        trio.socket.from_stdlib_socket(take_listener(ip, port))
    )


async def serve_streams(
    listener: trio.SocketListener,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    log: PartLog,
) -> None:
    """Serve each connection in a task of its own until cancelled.

    A failed accept and a connection whose task fails are logged in one line;
    neither ends the others.
    """

    async def serve_one(stream: trio.SocketStream) -> None:
        try:
            await serve(stream)
        except Exception as error:
            log.error("A connection failed: %r.", error)
        finally:
            await trio.aclose_forcefully(stream)

    async with listener, trio.open_nursery() as nursery:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                log.warning("Accept failed: %s.", error)
                await trio.sleep(ACCEPT_RETRY_SECONDS)
            else:
                nursery.start_soon(serve_one, stream)


async def open_plain_stream(
    ip: str, port: int, source_ip: str = ""
) -> PlainStream:
    """Connect to an IP address and return the stream.

    Args:
        ip: The address.
        port: The port.
        source_ip: The address to connect from; the kernel chooses it if empty.

    Raises:
        OSError: The connection could not be opened.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if source_ip:
            sock.bind((source_ip, 0))
        await _connect(sock, ip, port)
        return PlainStream(sock)
    except BaseException:
        sock.close()
        raise


async def _connect(sock: socket.socket, ip: str, port: int) -> None:
    try:
        sock.connect((ip, port))
    except BlockingIOError:
        await trio.lowlevel.wait_writable(sock)
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        # OSError picks its subclass, such as ConnectionRefusedError, by code.
        raise OSError(code, f"cannot connect to {ip} port {port}")
