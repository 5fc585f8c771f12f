"""Test that one host tells what the whole fleet has in force."""

import pytest
import trio

from agatetack.config.route import RequestClass, Route
from agatetack.daemon import serve_host
from agatetack.gateway import Gateway
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import (
    FailureDomain,
    HostId,
    LogOffset,
    RouteId,
    ServiceId,
    TeamId,
)
from agatetack.operators import publish
from agatetack.operators.client import OperatorsClient
from agatetack.operators.host_view import host_status
from agatetack.operators.tokens import make_token
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import MemoryLog, MemoryLogService

TOKEN = make_token("ops", TeamId("platform"))
NAMES = ("a", "b", "c")
READY_SECONDS = 10


def make_settings(name):
    anywhere = {"listen": {"ip": "127.0.0.1", "port": 0}}
    return default_settings(
        host={"id": name},
        callers=anywhere,
        peers={**anywhere, "heartbeat_seconds": 0.05},
        operators={**anywhere, "tokens": [TOKEN.entry.as_map()]},
        platform={
            "log": {"poll_seconds": 0.05},
            "host_list": {"poll_seconds": 0.05},
        },
    )


@pytest.fixture
async def urls(nursery):
    """Yield the operators' addresses of three hosts that know each other."""
    log, hosts = MemoryLogService(), MemoryHostList()
    gateways, urls = [], []
    for name in NAMES:
        gateway = Gateway(make_settings(name), MemoryLog(log), hosts)
        ports = await nursery.start(serve_host, gateway)
        hosts.hosts.append(
            ListedHost(
                HostId(name),
                HostRole.GATEWAY,
                HostState.LIVE,
                "127.0.0.1",
                ports.peers,
                FailureDomain("domain-a"),
                ServiceId(""),
            )
        )
        gateways.append(gateway)
        urls.append(f"http://127.0.0.1:{ports.operators}")
    with trio.fail_after(READY_SECONDS):
        while not all(
            gateway.config.ready and len(gateway.peers.live_peers()) == 2
            for gateway in gateways
        ):
            await trio.sleep(0.01)
    return urls


async def test_apply_waits_for_every_host_through_any(urls):
    seen = []
    for number, url in enumerate(urls):
        route = Route(
            RouteId(f"r{number}"),
            TeamId("panel"),
            ServiceId("profiles"),
            RequestClass.FAST,
            f"/r{number}",
        )
        deadline = trio.current_time() + READY_SECONDS
        async with OperatorsClient(url, TOKEN.secret) as client:
            (change,) = await publish.plan_changes(client, [route])
            result = await publish.publish(client, change, deadline)
            progress = await publish.wait_in_force(
                client, LogOffset(result.version), deadline, seen.append
            )
        assert (progress.reached, progress.behind) == (NAMES, ())


async def test_the_lag_is_not_known_while_the_log_is_out(nursery):
    service = MemoryLogService()
    gateway = Gateway(make_settings("a"), MemoryLog(service), MemoryHostList())
    await nursery.start(serve_host, gateway)
    lags = []
    with trio.fail_after(READY_SECONDS):
        while not gateway.config.ready:
            await trio.sleep(0.01)
        lags.append(host_status(gateway, 0).config_lag_records)
        gateway.config.tail.end = LogOffset(3)
        lags.append(host_status(gateway, 0).config_lag_records)
        service.faults.outage = True
        while host_status(gateway, 0).config_lag_records is not None:
            await trio.sleep(0.01)
    assert lags == [0, 3]
