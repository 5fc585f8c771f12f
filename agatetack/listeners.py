"""Own the sockets that this process listens on.

Each address is bound once, here, and everything else that needs it asks for its
socket: Linux refuses to bind an address again while another socket listens on
it, even to the process that owns that socket.

The callers' address is listened on before the rest of the program is loaded. A
host that was killed needs about a second until it serves again, mostly to load
modules. A connection that is refused in that time costs its caller an attempt;
one that waits in the kernel's backlog is answered if the host serves soon
enough. To be loaded quickly, this module may import nothing but `contextlib`,
`os` and `socket`.
"""

import contextlib
import os
import socket
from collections.abc import Collection

LISTEN_VARIABLE = "AGATETACK_LISTEN"
"""Environment variable with the callers' address as `IP:PORT`. It must be the
same as in the settings."""

BACKLOG = 1024
"""Most connections that may wait to be accepted."""

Address = tuple[str, int]
"""An IP address and a port."""

MAX_PENDING_BYTES = 1 << 20
"""Bytes that are read of a request that is answered before a server runs."""

held: dict[Address, socket.socket] = {}
"""Bound sockets that no server uses yet."""


def _bind(ip: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        # A port that was left a moment ago can be taken.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, port))
    except OSError:
        sock.close()
        raise
    return sock


def hold_address(ip: str, port: int) -> None:
    """Bind an address until a server takes it; nothing if it is held already.

    Nobody can connect before the server listens. For port 0, which is any
    port, only the IP address is tried.

    Raises:
        OSError: The address can't be bound.
    """
    if (ip, port) in held:
        return
    sock = _bind(ip, port)
    if port == 0:
        sock.close()
    else:
        held[ip, port] = sock


def listen_early() -> str | None:
    """Listen on the address in the environment; return an error, or None.

    An error is not fatal: the server tries to listen on its address later and
    reports it if that fails, so only the early start is lost.
    """
    text = os.environ.get(LISTEN_VARIABLE, "")
    if not text:
        return None
    ip, _, port = text.rpartition(":")
    try:
        address = (ip.strip("[]"), int(port))
        sock = _bind(*address)
        sock.listen(BACKLOG)
        held[address] = sock
    except (OSError, ValueError, OverflowError) as error:
        return f"{LISTEN_VARIABLE}={text}: {error}"
    return None


def take_listener(ip: str, port: int, backlog: int = BACKLOG) -> socket.socket:
    """Return a socket that listens on an address, the held one if there is one.

    Args:
        ip: The IP address.
        port: The port; 0 lets the kernel choose one.
        backlog: Most connections that may wait to be accepted.

    Raises:
        OSError: The address can't be listened on.
    """
    sock = held.pop((ip, port), None) or _bind(ip, port)
    try:
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def answer_pending(ip: str, port: int, answer: bytes) -> None:
    """Answer the requests that wait at a held listener, and close them.

    Closing the listener would reset their connections. A connection on which
    nothing was sent yet is closed without an answer.
    """
    sock = held.get((ip, port))
    while sock is not None:
        try:
            connection, _ = sock.accept()
        except OSError:
            # Nothing is left, or the socket does not listen.
            return
        # A caller that has gone needs no answer.
        with connection, contextlib.suppress(OSError):
            connection.setblocking(False)
            if connection.recv(MAX_PENDING_BYTES):
                connection.send(answer)
                connection.shutdown(socket.SHUT_WR)


def release_address(ip: str, port: int) -> None:
    """Close the socket of an address, if it is held."""
    sock = held.pop((ip, port), None)
    if sock is not None:
        sock.close()


def release_others(wanted: Collection[Address]) -> list[str]:
    """Close the held sockets of other addresses; return those addresses."""
    others = [address for address in held if address not in wanted]
    for address in others:
        release_address(*address)
    return [f"{ip}:{port}" for ip, port in others]
