"""Test the contract of the platform's host list against each implementation.

Set AGATETACK_HOST_LIST to `ip:port` to read a real list once as well.
"""

import contextlib
import dataclasses
import itertools
import os
from collections.abc import Callable

import pytest
import trio

from agatetack.ids import Deadline, FailureDomain, HostId, ServiceId
from agatetack.platform.host_list import (
    HostList,
    HostListUnavailable,
    HostRole,
    HostState,
    ListedHost,
)
from agatetack.platform.http_host_list import HttpHostList
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import Settings
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import MemoryLogService
from agatetack.testing.platform_server import HttpFaults, serve_platform

REAL_LIST = os.environ.get("AGATETACK_HOST_LIST")
PATIENCE_SECONDS = 5.0
TRY_SECONDS = 0.05
FLEET_SIZE = 9800


def host(number: int, state: HostState = HostState.LIVE) -> ListedHost:
    ip = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return ListedHost(
        id=HostId(f"{ip}:80"),
        role=HostRole.TARGET if number % 50 else HostRole.GATEWAY,
        state=state,
        ip=ip,
        port=80,
        failure_domain=FailureDomain(f"domain-{number % 6}"),
        service=ServiceId(f"service-{number % 1500}" if number % 50 else ""),
    )


def soon(seconds: float = PATIENCE_SECONDS) -> Deadline:
    return Deadline(trio.current_time() + seconds)


def settings_for(ip: str, port: int) -> Settings:
    endpoint = {"ip": ip, "port": port}
    return default_settings(platform={"host_list": {"endpoint": endpoint}})


@dataclasses.dataclass
class World:
    """One implementation, with the list that it should show."""

    client: HostList
    source: MemoryHostList
    http: HttpFaults | None = None


@contextlib.asynccontextmanager
async def memory_world():
    source = MemoryHostList()
    yield World(source, source)


@contextlib.asynccontextmanager
async def http_world():
    source = MemoryHostList()
    faults = HttpFaults()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            serve_platform, MemoryLogService(), source, faults
        )
        client = HttpHostList(settings_for("127.0.0.1", port))
        yield World(client, source, faults)
        await client.aclose()
        nursery.cancel_scope.cancel()


WORLDS = {"memory": memory_world, "http": http_world}
all_worlds = pytest.mark.parametrize("name", WORLDS)

LISTS = {
    "empty": [],
    "one": [host(1)],
    "leaving": [host(1, HostState.LEAVING), host(50)],
    "the size designed for": [host(number) for number in range(FLEET_SIZE)],
}


@all_worlds
@pytest.mark.parametrize("hosts", LISTS.values(), ids=LISTS)
async def test_shows_what_is_listed(name, hosts):
    async with WORLDS[name]() as world:
        world.source.hosts = hosts
        for _ in range(2):
            assert list(await world.client.fetch(soon())) == hosts
        world.source.publish([host(7)], lag_seconds=TRY_SECONDS)
        assert list(await world.client.fetch(soon())) == hosts
        await trio.sleep(TRY_SECONDS)
        assert list(await world.client.fetch(soon())) == [host(7)]


@dataclasses.dataclass(frozen=True)
class Fault:
    """Something that goes wrong in a fetch."""

    name: str
    begin: Callable[[World], None]
    over_http: bool = False


def of_list(**values: object) -> Callable[[World], None]:
    def begin(world: World) -> None:
        for name, value in values.items():
            setattr(world.source, name, value)

    return begin


def of_way(**values: int) -> Callable[[World], None]:
    def begin(world: World) -> None:
        for name, value in values.items():
            setattr(world.http, name, value)

    return begin


FAULTS = (
    Fault("outage", of_list(outage=True)),
    Fault("too slow", of_list(delay_seconds=60.0)),
    Fault("cut reply", of_way(cut_replies=1), True),
    Fault("bare 503", of_way(bare_errors=1), True),
    Fault("malformed", of_way(malformed_replies=1), True),
)

FAULT_CASES = [
    (name, faults)
    for name in WORLDS
    for faults in (
        *itertools.combinations(FAULTS, 1),
        *itertools.combinations(FAULTS, 2),
    )
    if name == "http" or not any(fault.over_http for fault in faults)
]


@pytest.mark.parametrize(
    ("name", "faults"),
    FAULT_CASES,
    ids=["-".join((n, *(f.name for f in fs))) for n, fs in FAULT_CASES],
)
async def test_fails_and_recovers(name, faults):
    hosts = [host(1), host(2)]
    async with WORLDS[name]() as world:
        world.source.hosts = [host(1)]
        await world.client.fetch(soon())
        world.source.hosts = hosts
        for fault in faults:
            fault.begin(world)
        with pytest.raises(HostListUnavailable):
            await world.client.fetch(soon(TRY_SECONDS))
        world.source.outage = False
        world.source.delay_seconds = 0.0
        if world.http is not None:
            world.http.cut_replies = world.http.bare_errors = 0
            world.http.malformed_replies = 0
        assert list(await world.client.fetch(soon())) == hosts


async def test_odd_entries_are_left_out_with_their_place():
    async with http_world() as world:
        odd = [dataclasses.replace(host(1), ip="a.example"), {"id": "x"}, 3]
        world.source.hosts = [host(1), *odd, host(2)]
        assert list(await world.client.fetch(soon())) == [host(1), host(2)]
        places = [
            finding.partition(":")[0] for finding in world.client.findings
        ]
        assert places == ["entry 1", "entry 2", "entry 3"]


async def test_an_unchanged_list_is_not_sent_again():
    async with http_world() as world:
        world.source.hosts = [host(1)]
        first = await world.client.fetch(soon())
        assert await world.client.fetch(soon()) is first


if REAL_LIST:

    async def test_real_list():
        ip, _, port = REAL_LIST.rpartition(":")
        client = HttpHostList(settings_for(ip, int(port)))
        await client.fetch(soon())
        assert not client.findings
