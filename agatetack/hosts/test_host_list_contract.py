"""Test the contract of the platform's host list against each implementation.

Set AGATETACK_HOST_LIST to `ip:port` to read a real list once as well.
"""

import dataclasses
import itertools
import json
import os
from collections.abc import Callable

import hypothesis
import orjson
import pytest
import trio
from hypothesis import strategies

from agatetack.hosts.host_list import (
    HostListUnavailable,
    HostRole,
    HostState,
    ListedHost,
)
from agatetack.hosts.http_host_list import HttpHostList
from agatetack.http_call import PlatformReply
from agatetack.ids import Deadline, FailureDomain, HostId, ServiceId
from agatetack.settings.defaults import default_settings
from agatetack.testing.platform_worlds import (
    PlatformWorld,
    http_world,
    memory_world,
    real_world,
)

World = PlatformWorld
REAL_LIST = os.environ.get("AGATETACK_HOST_LIST")
TIMEOUT_SECONDS = 5.0
SHORT_TIMEOUT_SECONDS = 0.05
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


def deadline_in(seconds: float = TIMEOUT_SECONDS) -> Deadline:
    return Deadline(trio.current_time() + seconds)


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
            assert list(await world.host_list.fetch(deadline_in())) == hosts
        world.source.publish([host(7)], lag_seconds=SHORT_TIMEOUT_SECONDS)
        assert list(await world.host_list.fetch(deadline_in())) == hosts
        await trio.sleep(SHORT_TIMEOUT_SECONDS)
        assert list(await world.host_list.fetch(deadline_in())) == [host(7)]


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault during a fetch."""

    name: str
    begin: Callable[[World], None]
    over_http: bool = False


def on_source(**values: object) -> Callable[[World], None]:
    def begin(world: World) -> None:
        for name, value in values.items():
            setattr(world.source, name, value)

    return begin


def on_http(**values: int) -> Callable[[World], None]:
    def begin(world: World) -> None:
        for name, value in values.items():
            setattr(world.http, name, value)

    return begin


FAULTS = (
    Fault("outage", on_source(outage=True)),
    Fault("too slow", on_source(delay_seconds=60.0)),
    Fault("cut reply", on_http(cut_replies=1), True),
    Fault("bare 503", on_http(bare_errors=1), True),
    Fault("malformed", on_http(malformed_replies=1), True),
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
        await world.host_list.fetch(deadline_in())
        world.source.hosts = hosts
        for fault in faults:
            fault.begin(world)
        with pytest.raises(HostListUnavailable):
            await world.host_list.fetch(deadline_in(SHORT_TIMEOUT_SECONDS))
        await world.heal()
        assert list(await world.host_list.fetch(deadline_in())) == hosts


async def test_odd_entries_are_left_out_with_their_place():
    async with http_world() as world:
        odd = [dataclasses.replace(host(1), ip="a.example"), {"id": "x"}, 3]
        world.source.hosts = [host(1), *odd, host(2)]
        assert list(await world.host_list.fetch(deadline_in())) == [
            host(1),
            host(2),
        ]
        places = [
            finding.partition(":")[0] for finding in world.host_list.findings
        ]
        assert places == ["entry 1", "entry 2", "entry 3"]


async def test_an_unchanged_list_is_not_sent_again():
    async with http_world() as world:
        world.source.hosts = [host(1)]
        first = await world.host_list.fetch(deadline_in())
        assert await world.host_list.fetch(deadline_in()) is first


JSON = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=3),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(("id", "ip", "port", "hosts")), inner
        )
    ),
    max_leaves=8,
)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(content=JSON | strategies.just({"hosts": [{"id": []}]}))
def test_odd_lists_are_findings_or_unavailable(content):
    client = HttpHostList(default_settings())
    content = json.loads(json.dumps(content))
    good = orjson.loads(orjson.dumps(host(1)))
    entries = content.get("hosts") if isinstance(content, dict) else None
    if isinstance(entries, list):
        entries.append(good)
    body = json.dumps(content).encode()
    try:
        trio.run(client.take, PlatformReply(200, {}, body))
    except HostListUnavailable:
        assert not isinstance(entries, list)
    else:
        assert client.hosts[-1] == host(1)
        assert len(client.findings) == len(entries) - 1


if REAL_LIST:

    async def test_real_list():
        async with real_world(REAL_LIST) as world:
            await world.host_list.fetch(deadline_in())
            assert not world.host_list.findings
