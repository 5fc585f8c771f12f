"""Listen for callers before the rest of the program is loaded.

A host that was killed needs about a second until it serves again, mostly to
load modules. A connection that is refused in that time costs its caller an
attempt; one that waits in the kernel's backlog is answered if the host serves
soon enough. To be loaded quickly, this module may import nothing but `os` and
`socket`.
"""

import os
import socket

LISTEN_VARIABLE = "AGATETACK_LISTEN"
"""Environment variable with the callers' address as `IP:PORT`. It must be the
same as in the settings."""

BACKLOG = 1024
"""Most connections that may wait to be accepted."""

early: dict[tuple[str, int], socket.socket] = {}
"""Listening sockets that no server uses yet, by IP address and port."""


def listening_socket(ip: str, port: int) -> socket.socket:
    """Return a socket that listens on an IP address; port 0 is any port.

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
        early[address] = listening_socket(*address)
    except (OSError, ValueError, OverflowError) as error:
        return f"{LISTEN_VARIABLE}={text}: {error}"
    return None


def take_listener(ip: str, port: int) -> socket.socket:
    """Return the early socket of the address, or else a new one.

    Raises:
        OSError: The address can't be listened on.
    """
    return early.pop((ip, port), None) or listening_socket(ip, port)


def close_others(ip: str, port: int) -> list[str]:
    """Close the early sockets of other addresses; return those addresses."""
    others = [address for address in early if address != (ip, port)]
    for address in others:
        early.pop(address).close()
    return [f"{ip}:{port}" for ip, port in others]
