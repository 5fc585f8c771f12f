"""Test a whole host with a fake store and fake servers of the platform."""

import socket

import pytest
import trio

from agatetack.config.route import RequestClass
from agatetack.ids import Deadline
from agatetack.settings.section import Endpoint
from agatetack.targets.connection import ConnectFailed
from agatetack.targets.leaving import LeavingSign
from agatetack.testing.fake_entry import EntryHost, FakeEntry
from agatetack.testing.memory_store import StoreFault
from agatetack.testing.store_fleet import (
    CONFIGURATION,
    LOOPBACK,
    SERVICE,
    configuration,
    route_fields,
    store_fleet,
)


def executed_urls(fleet):
    return [e.url for target in fleet.targets for e in target.executed]


async def ask_ready(fleet):
    port = fleet.ports[0].ready
    url = f"http://{LOOPBACK}:{port}/agatetack/readyz"
    return (await fleet.http.request("GET", url)).status


@pytest.mark.parametrize(
    ("kind", "method"),
    [
        ("idempotent", "GET"),
        ("non_idempotent", "POST"),
        ("download", "GET"),
    ],
)
async def test_each_kind_of_route_is_served(kind, method):
    async with store_fleet(route_fields(route_type=kind)) as fleet:
        answer = await fleet.get("/a/x?q=1", method=method)
        assert answer.status == 200
        assert b"/a/x?q=1 r1" in answer.content
        headers = {name.lower(): value for name, value in answer.headers}
        assert headers[b"request-id"] == b"r1"
        assert b"server-signature" in headers
        assert sum(len(t.executed) for t in fleet.targets) == 1


@pytest.mark.parametrize(
    ("host", "path", "status"),
    [
        ("a.example", "/a/", 200),
        ("a.example", "/a", 404),
        ("a.example", "/ab/x", 404),
        ("b.example", "/a/x", 404),
        ("a.example:8080", "/a/x", 200),
        ("a.example", "/a/b/c", 201),
    ],
)
async def test_a_route_takes_its_host_and_whole_prefix(host, path, status):
    longer = route_fields(name="route-b", path_prefix="/a/b/", service="other")
    async with store_fleet(route_fields(), longer) as fleet:
        other = await fleet.add_target(service="other")
        registry = fleet.gateways[0].registry
        await fleet.until(lambda: other.instance in registry.by_id)
        answer = await fleet.get(path, host=host)
        assert answer.status == min(status, 404 if status > 201 else 200)
        assert bool(other.executed) is (status == 201)


async def test_readiness_and_counters_have_addresses_of_their_own():
    async with store_fleet() as fleet:
        assert await ask_ready(fleet) == 200
        await fleet.get("/a/x")
        url = f"http://{LOOPBACK}:{fleet.ports[0].metrics}/metrics"
        text = (await fleet.http.request("GET", url)).content.decode()
        assert 'agatetack_requests_total{route="route-a"} 1' in text
        assert 'agatetack_store_read_age_seconds{topic="targets"}' in text


def make_entry(fleet):
    """Return a fake entry load balancer in front of a fleet's hosts."""
    hosts = [
        EntryHost(
            gateway.settings.host.id,
            gateway.settings.host.failure_domain,
            ports.callers,
            ports.ready,
        )
        for gateway, ports in zip(fleet.gateways, fleet.ports, strict=True)
    ]

    async def ask(host):
        url = f"http://{LOOPBACK}:{host.ready_port}/agatetack/readyz"
        return (await fleet.http.request("GET", url)).status == 200

    return FakeEntry(hosts, {}, ask)


async def test_callers_come_through_the_entry_until_a_host_drains():
    notice = {"lifecycle": {"notice_seconds": 10.0, "drain_seconds": 20.0}}
    async with store_fleet(gateways=2, change=notice) as fleet:
        entry = make_entry(fleet)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry.run)
            first = entry.choose("client", "zone-a")
            number = entry.hosts.index(first)
            assert (await fleet.get("/a/x", number)).status == 200
            stopped = fleet.gateways[number]
            stopped.stops.send_nowait(15)
            nursery.start_soon(stopped.lifecycle.drain_on, stopped.stops_out)
            await fleet.until(lambda: not first.in_rotation)
            # Requests that the entry sends before it notices the drain are
            # served, too.
            assert (await fleet.get("/a/x", number)).status == 200
            second = entry.choose("client", "zone-a")
            assert second is not first
            other = entry.hosts.index(second)
            assert (await fleet.get("/a/x", other)).status == 200
            nursery.cancel_scope.cancel()


async def test_a_draining_host_is_not_ready_and_serves_on():
    async with store_fleet() as fleet:
        gateway = fleet.gateways[0]
        gateway.stops.send_nowait(15)
        fleet.nursery.start_soon(gateway.lifecycle.drain_on, gateway.stops_out)
        await fleet.until(lambda: not gateway.lifecycle.ready)
        assert await ask_ready(fleet) == 503
        answer = await fleet.get("/a/x")
        assert answer.status == 200


async def test_peers_find_each_other_and_tell_what_is_under_way():
    async with store_fleet(gateways=2, targets=1) as fleet:
        one, other = fleet.gateways
        await fleet.until(lambda: one.peers.live_peers(), 20)
        await fleet.until(lambda: other.peers.live_peers(), 20)
        target = fleet.targets[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.get, "/a/x?service_ms=300")
            seen = other.registry.by_id[target.instance]
            await fleet.until(lambda: seen.peer_in_flight == 1)
        await fleet.until(lambda: seen.peer_in_flight == 0)
        # One host probes the target and reports its load to the other.
        await fleet.until(lambda: target.probes > 3)
        await fleet.until(
            lambda: all(
                g.registry.by_id[target.instance].report is not None
                for g in fleet.gateways
            )
        )


async def test_a_host_without_a_configuration_refuses_as_not_run():
    async with store_fleet() as fleet:
        fleet.gateways[0].routes.table = None
        answer = await fleet.get("/a/x")
        assert answer.status == 503
        headers = {name.lower(): value for name, value in answer.headers}
        assert 0 < float(headers[b"retry-after"]) < 1


async def test_a_caller_that_closes_cancels_what_may_be_repeated():
    async with store_fleet(targets=1) as fleet:
        target = fleet.targets[0]
        stream = await trio.open_tcp_stream(LOOPBACK, fleet.ports[0].callers)
        await stream.send_all(
            b"GET /a/x?service_ms=5000 HTTP/1.1\r\nhost: a.example\r\n"
            b"request-id: r7\r\nrequest-timeout-ms: 5000\r\n\r\n"
        )
        await fleet.until(lambda: target.in_flight == 1)
        await stream.aclose()
        await fleet.until(lambda: target.cancelled == 1, 0.5)


async def test_pipelined_requests_run_together_and_answer_in_order():
    async with store_fleet(targets=2) as fleet:
        stream = await trio.open_tcp_stream(LOOPBACK, fleet.ports[0].callers)
        for number, work in (("1", 300), ("2", 10), ("3", 10)):
            await stream.send_all(
                f"GET /a/{number}?service_ms={work} HTTP/1.1\r\n"
                f"host: a.example\r\nrequest-id: r{number}\r\n\r\n".encode()
            )
        await fleet.until(
            lambda: sum(len(t.executed) for t in fleet.targets) == 3
        )
        content = b""
        with trio.fail_after(5):
            while content.count(b"HTTP/1.1 200") < 3 or b"r3\n" not in content:
                content += await stream.receive_some()
        order = [content.index(b"/a/%d" % n) for n in (1, 2, 3)]
        assert order == sorted(order)


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_a_request_whose_caller_has_gone_is_not_begun(kind):
    async with store_fleet(route_fields(route_type=kind)) as fleet:
        address = (LOOPBACK, fleet.ports[0].callers)
        # The request and the end of the connection follow without a pause, so
        # that the host reads both at once, as after a delay.
        with socket.create_connection(address) as caller:
            caller.sendall(
                b"GET /a/x HTTP/1.1\r\nhost: a.example\r\n"
                b"request-id: r7\r\nrequest-timeout-ms: 5000\r\n\r\n"
            )
            caller.shutdown(socket.SHUT_WR)
            # Longer than the host needs to read both; no event shows that.
            await trio.sleep(0.1)
            connections = fleet.gateways[0].callers.connections
            await fleet.until(lambda: not connections)
        assert executed_urls(fleet) == []


async def test_a_target_that_refused_for_a_while_gets_work_again():
    async with store_fleet(targets=1) as fleet:
        gateway, target = fleet.gateways[0], fleet.targets[0]
        seen = gateway.registry.by_id[target.instance]
        gateway.registry.note_leaving(seen, LeavingSign.CONNECT_REFUSED)
        assert (await fleet.get("/a/x")).status == 503
        usable = gateway.registry.targets
        await fleet.until(lambda: usable("svc-a"), 15)
        assert (await fleet.get("/a/x")).status == 200


EVACUATION = "evacuate/zone-a"


async def answers(fleet, gateway=0):
    response = await fleet.get("/a/x", gateway=gateway)
    return response.status


async def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back():
    async with store_fleet(gateways=2) as fleet:
        for value, status, domains in (
            (b"{}", 503, {"zone-a"}),
            (b"", 200, set()),
            (b"{}", 503, {"zone-a"}),
        ):
            fleet.store.append(CONFIGURATION, EVACUATION, value)
            await fleet.until(
                lambda domains=domains: all(
                    g.evacuations.domains == domains for g in fleet.gateways
                )
            )
            before = len(executed_urls(fleet))
            assert [await answers(fleet, n) for n in (0, 1)] == [status] * 2
            ran = len(executed_urls(fleet)) - before
            assert ran == (2 if status == 200 else 0)


# Guards against answers of 404 for a route that was added after the store had
# lost records and assigned their offsets again.
async def test_a_route_added_after_the_store_lost_records_is_served():
    async with store_fleet(gateways=2) as fleet:
        copy = fleet.store.copy()
        await fleet.configure(2, route_fields())
        fleet.store.restore(copy)
        added = route_fields(name="route-b", path_prefix="/b/")
        content = configuration(3, route_fields(), added)
        fleet.store.append(CONFIGURATION, "config", content)
        await fleet.until(
            lambda: all(g.documents.version == 3 for g in fleet.gateways),
            seconds=2,
        )
        for gateway in range(2):
            assert (await fleet.get("/b/x", gateway)).status == 200


# Guards against requests of a new kind that are served without the parts that
# the new document needs, and against parts that every host builds at its start.
async def test_parts_are_built_once_the_document_needs_them():
    async with store_fleet(targets=1) as fleet:
        gateway = fleet.gateways[0]
        assert gateway.accounts is None
        assert RequestClass.ONCE not in gateway.dispatcher.runners
        assert gateway.forwarder.built is None
        once = route_fields(
            name="route-b", path_prefix="/b/", route_type="non_idempotent"
        )
        await fleet.configure(2, route_fields(), once)
        url = f"http://{LOOPBACK}:{fleet.ports[0].callers}/b/x"
        headers = {"host": "a.example", "request-id": "r1"}
        answer = await fleet.http.request("POST", url, headers=headers)
        assert answer.status == 200
        assert gateway.accounts is None
        tenant = {"name": "tenant-a", "api_keys": ["secret"], "priority": 0}
        content = configuration(3, route_fields(), once, tenants=[tenant])
        fleet.store.append(CONFIGURATION, "config", content)
        await fleet.until(lambda: gateway.documents.version == 3)
        assert (await fleet.get("/a/x")).status == 401
        registry = gateway.registry
        (target,) = registry.by_id.values()
        registry.paths.note_refused(target)
        assert gateway.forwarder.built is not None


async def test_a_host_that_starts_in_an_outage_keeps_to_an_evacuation():
    async with store_fleet() as fleet:
        seed = fleet.gateways[0]
        fleet.store.append(CONFIGURATION, EVACUATION, b"{}")
        await fleet.until(lambda: seed.evacuations.domains)
        fleet.store.fault = StoreFault.REFUSED
        seeds = (Endpoint(ip=LOOPBACK, port=seed.seed_port),)
        host = await fleet.add_gateway(peers={"seeds": seeds})
        assert host.evacuations.domains == {"zone-a"}
        assert await answers(fleet, gateway=1) == 503
        assert executed_urls(fleet) == []


@pytest.mark.parametrize(
    ("hosts", "most"), [(1, 15), (14, 14), (55, 3), (110, 1), (400, 1)]
)
async def test_a_host_keeps_its_part_of_a_targets_connections(hosts, most):
    # The document allows 220 connections to a target from all hosts.
    async with store_fleet() as fleet:
        gateway = fleet.gateways[0]
        gateway.peers.fleet_size = lambda: hosts
        target = gateway.registry.targets(SERVICE)[0]
        pool = gateway.client.pools.pool(target.process)
        before = pool.open_count
        deadline = Deadline(trio.current_time() + 5)
        with pytest.raises(ConnectFailed):
            while pool.open_count <= 15:
                await pool.open(target, deadline)
        assert pool.open_count == most
        assert before <= most


# Guards against hosts that each admit an account's whole quota, and against
# cost in a deployment without client accounts.
async def test_hosts_keep_the_quota_of_an_account_together():
    change = {"quotas": {"overshoot_ratio": 0.1, "overshoot_slack": 5}}
    async with store_fleet(gateways=3, change=change) as fleet:
        assert all(g.quotas is None for g in fleet.gateways)
        tenant = {
            "name": "acme",
            "api_keys": ["secret-1"],
            "rate_per_s": 1,
            "burst_size": 3,
        }
        content = configuration(2, route_fields(), tenants=[tenant])
        fleet.store.append(CONFIGURATION, "config", content)
        await fleet.until(
            lambda: all(
                g.quotas is not None
                and not g.quotas.node.is_alone(trio.current_time())
                for g in fleet.gateways
            )
        )
        started_at = trio.current_time()
        statuses = []
        for number in range(60):
            port = fleet.ports[number % 3].callers
            answer = await fleet.http.request(
                "GET",
                f"http://{LOOPBACK}:{port}/a/x",
                headers={
                    "host": "a.example",
                    "request-id": f"r{number}",
                    "request-timeout-ms": "5000",
                    "authorization": "Bearer secret-1",
                },
            )
            statuses.append(answer.status)
            names = {name.lower() for name, _ in answer.headers}
            assert (b"retry-after" in names) is (answer.status == 429)
            await trio.sleep(0.02)
        seconds = trio.current_time() - started_at
        assert set(statuses) == {200, 429}
        # Rate, burst and tolerance; a slow machine takes longer.
        most = (max(5.0, seconds) * 1 + 3) * 1.1 + 5
        assert statuses.count(200) <= most


# Guards against a host that never asks for proofs, or asks without need, as
# they are wired to the document and the settings.
async def test_the_age_of_the_configuration_is_proven_where_it_matters():
    strict = {"strict_revocation": True, "revocation_seconds": 1.0}
    async with store_fleet(gateways=2, change={"identity": strict}) as fleet:
        assert all(gateway.proofs is None for gateway in fleet.gateways)
        tenants = [{"name": "a", "api_keys": ["key-1"]}]
        content = configuration(2, route_fields(), tenants=tenants)
        fleet.store.append(CONFIGURATION, "config", content)
        await fleet.until(lambda: all(g.proofs for g in fleet.gateways))
        proofs = [gateway.proofs for gateway in fleet.gateways]
        await fleet.until(
            lambda: all(
                each.active and each.age_seconds() < 0.5 for each in proofs
            )
        )
        assert all(
            gateway.accounts.age is gateway.proofs for gateway in fleet.gateways
        )
        fleet.store.set_fault(StoreFault.REFUSED)
        await fleet.until(
            lambda: all(each.age_seconds() > 0.8 for each in proofs)
        )
        await fleet.until(lambda: all(each.lost for each in proofs))
        fleet.store.set_fault(None)
        await fleet.until(
            lambda: all(each.age_seconds() < 0.5 for each in proofs)
        )
        settings = fleet.gateways[0].settings
        lax = settings.identity.copy_with({"strict_revocation": False})
        fleet.gateways[0].reconfigure(settings.copy_with({"identity": lax}))
        assert not proofs[0].active
        assert proofs[1].active
