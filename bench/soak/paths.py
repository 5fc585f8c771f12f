"""Cut the paths between single hosts and all targets."""

import enum
import os
import socket
import struct
from collections.abc import Callable, Mapping, Sequence, Set

import trio

from bench.soak.host import Host

SOCK_DIAG, DIAG_BY_FAMILY, NLM_REQUEST = 4, 20, 1
"""Netlink family, message type and flag of a query for one socket."""

DIAG_REPLY_TYPE = 20
"""Type of the reply if the socket was found."""

HEADER = struct.Struct("=IHHII")
"""Header of a netlink message: length, type, flags, sequence and sender."""

INODE_OFFSET = HEADER.size + 68
"""Where the reply has the socket's number."""

ANY_STATE = 0xFFFFFFFF


class PathFault(enum.Enum):
    """What a cut does to connections between a host and the targets."""

    SILENT = "silent"
    RESET = "reset"


class PathCuts:
    """The hosts that are cut off from all targets now.

    Targets listen on one address, so that the host at the other end of a
    connection is found by the socket's number, which the kernel tells.

    Attributes:
        cuts: What happens to the connections of each host that is cut off;
            of overlapping cuts the last one counts.
    """

    def __init__(self, hosts: Callable[[], Mapping[str, Host]]):
        """Cut off hosts of `hosts()`."""
        self.hosts = hosts
        self.cuts: dict[str, list[PathFault]] = {}

    def begin(self, hosts: Sequence[str], fault: PathFault) -> None:
        """Cut hosts off, also those that are cut off already."""
        for name in hosts:
            self.cuts.setdefault(name, []).append(fault)

    def end(self, hosts: Sequence[str], fault: PathFault) -> None:
        """End one cut of each host."""
        for name in hosts:
            self.cuts[name].remove(fault)
            if not self.cuts[name]:
                del self.cuts[name]

    def fault_of(self, stream: trio.SocketStream) -> PathFault | None:
        """Return what happens to a connection that a target accepted."""
        if not self.cuts:
            return None
        try:
            inode = _client_inode(stream.socket)
        except OSError:
            # The connection has ended.
            return None
        for name, faults in self.cuts.items():
            for process in self.hosts()[name].processes:
                if inode in _open_sockets(process.popen.pid):
                    return faults[-1]
        return None


def _client_inode(sock: trio.socket.SocketType) -> int:
    """Return the number of the socket at the other end of a connection.

    Raises:
        OSError: There is no connection any more.
    """
    local, peer = sock.getsockname(), sock.getpeername()
    request = struct.pack(
        "=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY_STATE
    )
    request += struct.pack(">HH", peer[1], local[1])
    for ip in (peer[0], local[0]):
        request += socket.inet_aton(ip) + bytes(12)
    request += bytes(4) + b"\xff" * 8
    header = HEADER.pack(
        HEADER.size + len(request), DIAG_BY_FAMILY, NLM_REQUEST, 1, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_DGRAM, SOCK_DIAG
    ) as netlink:
        netlink.send(header + request)
        reply = netlink.recv(4096)
    if HEADER.unpack_from(reply)[1] != DIAG_REPLY_TYPE:
        return 0
    return struct.unpack_from("=I", reply, INODE_OFFSET)[0]


def _open_sockets(pid: int) -> Set[int]:
    """Return the numbers of the sockets that a process has open."""
    folder = f"/proc/{pid}/fd"
    found: set[int] = set()
    try:
        names = os.listdir(folder)
    except OSError:
        return found
    for name in names:
        try:
            link = os.readlink(f"{folder}/{name}")
        except OSError:
            # It was closed meanwhile.
            continue
        if link.startswith("socket:["):
            found.add(int(link[len("socket:[") : -1]))
    return found
