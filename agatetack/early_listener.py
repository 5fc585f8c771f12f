"""Listen for callers before the rest of the program is loaded.

A host that was killed needs about a second until it serves, most of it for
loading modules. A connection that is refused in that time costs its caller a
try; one that waits in the kernel is answered if the host serves soon enough.
Nothing here may import more than the standard library's sockets.
"""

import os
import socket

LISTEN_VARIABLE = "AGATETACK_LISTEN"
"""Names the callers' address, `IP:PORT`, that the settings give, too."""

BACKLOG = 1024
"""Connections that may wait to be accepted."""

early: dict[tuple[str, int], socket.socket] = {}
"""Sockets that listen and that no server has taken yet, by IP and port."""


def listening_socket(ip: str, port: int) -> socket.socket:
    """Return a socket that listens on an IP number; port 0 is any.

    Raises:
        OSError: The address can't be listened on.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def listen_early() -> str | None:
    """Listen where the environment says; return why it can't be done.

    The server that listens there later finds out by itself whether the
    address is usable, so that nothing is lost but the time.
    """
    text = os.environ.get(LISTEN_VARIABLE, "")
    if not text:
        return None
    ip, _, port = text.rpartition(":")
    try:
        address = (ip.strip("[]"), int(port))
        early[address] = listening_socket(*address)
    except (OSError, ValueError, OverflowError) as error:
        return f"{LISTEN_VARIABLE}={text}: {error}"
    return None


def take_listener(ip: str, port: int) -> socket.socket:
    """Return the socket that listens on the address, a new one if none does.

    Raises:
        OSError: The address can't be listened on.
    """
    return early.pop((ip, port), None) or listening_socket(ip, port)


def keep_only(ip: str, port: int) -> list[str]:
    """Close the sockets of other addresses, and return these."""
    others = [address for address in early if address != (ip, port)]
    for address in others:
        early.pop(address).close()
    return [f"{ip}:{port}" for ip, port in others]
