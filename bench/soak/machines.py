"""Give each host loopback addresses of its own and the platform's fields."""

import errno
import os
import pathlib
import socket
from collections.abc import Sequence

from agatetack.ids import FailureDomain
from bench.soak.deploy_file import Role
from bench.soak.host import Host
from bench.soak.site import Site

CALLERS_PORT = 8641
READY_PORT = 8640
CONTROL_PORT = 8649
INTERNAL_PORTS = (7620, 7635)

SEEDS = 3
"""Hosts that starting hosts may ask for what is in the store."""

FIRST_NET, LAST_NET = 16, 250
"""Second figures of the loopback networks that runs choose from."""


HOLDER = "255.254"
"""The address in a network that whoever uses the network holds."""


class NoFreeNetwork(Exception):
    """All loopback networks that runs choose from are taken."""


held_networks: list[socket.socket] = []
"""Sockets that keep the networks of this process from being chosen again."""


def choose_network() -> str:
    """Return the first two figures of a loopback network that is not in use.

    It stays taken while this process runs, also when no host of it does.

    Raises:
        NoFreeNetwork: There is none.
    """
    count = LAST_NET - FIRST_NET
    for step in range(count):
        network = f"127.{FIRST_NET + (os.getpid() + step) % count}"
        holder = _bind(f"{network}.{HOLDER}")
        if holder is None:
            continue
        first = _bind(f"{network}.0.1")
        if first is None:
            holder.close()
            continue
        first.close()
        held_networks.append(holder)
        return network
    raise NoFreeNetwork


def _bind(ip: str) -> socket.socket | None:
    """Return a socket bound to an address, None if another one has it."""
    sock = socket.socket()
    try:
        sock.bind((ip, CALLERS_PORT))
    except OSError as error:
        sock.close()
        if error.errno == errno.EADDRINUSE:
            return None
        raise
    return sock


def make_hosts(
    site: Site,
    role: Role,
    store_address: str,
    folder: pathlib.Path,
    cores: Sequence[int] = (),
) -> list[Host]:
    """Return the hosts of a site, none of them started.

    Args:
        site: The site.
        role: How hosts are started.
        store_address: Where the store is reached.
        folder: Gets their settings and output.
        cores: Processor cores that they share; all if empty.
    """
    network = choose_network()
    places = [
        (domain, number, f"{network}.{row}.{number}")
        for row, (domain, count) in enumerate(site.hosts.items())
        for number in range(1, count + 1)
    ]
    seeds = [f"{ip}:{CONTROL_PORT}" for _, number, ip in places if number == 1]
    seeds += [f"{ip}:{CONTROL_PORT}" for _, number, ip in places if number == 2]
    return [
        Host(
            role,
            _fields(site, domain, number, ip, seeds[:SEEDS], store_address),
            domain,
            folder,
            frozenset(cores),
        )
        for domain, number, ip in places
    ]


def _fields(
    site: Site,
    domain: FailureDomain,
    number: int,
    ip: str,
    seeds: Sequence[str],
    store_address: str,
) -> dict[str, object]:
    return {
        "node_name": f"edge-{domain}-{number}",
        "role": "gateway",
        "machine_class": "edge",
        "serves": ["edge", "control_plane"],
        "ip": ip,
        "zone": domain,
        "region": site.regions[domain],
        "internal_port_range": list(INTERNAL_PORTS),
        "seeds": list(seeds),
        "bootstrap": True,
        "in_fault_budget": False,
        "discovery": "platform",
        "entry": "vip",
        "heartbeat": "1500ms",
        "bounds": dict(site.bounds),
        "zones": dict(site.regions),
        "listen": {
            "front": f"{ip}:{CALLERS_PORT}",
            "ready": f"{ip}:{READY_PORT}",
            "control": f"{ip}:{CONTROL_PORT}",
        },
        "limits": {
            "cpu_share": 0.86,
            "cores": 1,
            "memory_mb": site.memory_mb,
            "max_fds": site.descriptors,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        },
        "platform": {
            "address": store_address,
            "form": "log",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "parts": 8,
            "append": "4ms",
            "part_mb_s": 20.0,
            "read_mb_s": 80.0,
            "record_bytes": 262144,
            "call_bytes": 2097152,
            "keep": "300s",
            "part_mb": 200,
            "ttl_min": "1000ms",
        },
    }
