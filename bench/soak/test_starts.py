"""Test starts and ends of processes that are started as deployed."""

import contextlib
import dataclasses
import pathlib
import signal
import socket

import pytest
import trio

from bench.soak import deploy_file
from bench.soak.connection import Connection
from bench.soak.deploy_file import build, read_role
from bench.soak.machines import CALLERS_PORT, READY_PORT, make_hosts
from bench.soak.site import small_site
from bench.soak.world import World

ROOT = pathlib.Path(__file__).parents[2]
PATIENCE_SECONDS = 60

REQUESTS = 10
"""Requests that each host has to answer."""

OPERATORS_ADDRESS = ("127.0.0.1", 8081)
"""The default address for operators, whom hosts on a store do not serve."""


@pytest.fixture(scope="module")
def role():
    build(ROOT)
    return read_role(ROOT)


@contextlib.asynccontextmanager
async def deployed_hosts(role, folder, count):
    """Give hosts whose processes are not started yet; end them afterwards."""
    site = small_site(count)
    world = World(site)
    async with trio.open_nursery() as nursery:
        await world.start(nursery)
        address = f"127.0.0.1:{world.store_port}"
        hosts = make_hosts(site, role, address, folder)
        try:
            yield hosts
        finally:
            for host in hosts:
                host.kill()
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def one_host(role, folder):
    """Give a host whose process is not started yet; end it afterwards."""
    async with deployed_hosts(role, folder, 1) as (host,):
        yield host


def patient(role):
    """Return `role` with a wait for addresses longer than any drain."""
    template = role.template.replace(
        "lifecycle:\n", "lifecycle:\n  address_wait_seconds: 60\n"
    )
    return dataclasses.replace(role, template=template)


async def until(holds):
    with trio.fail_after(PATIENCE_SECONDS):
        while not await holds():
            await trio.sleep(0.01)


async def connect(host, port=CALLERS_PORT):
    """Connect as soon as the host listens; fail if its process ends."""

    async def connected():
        nonlocal stream
        assert host.running, host.errors.read_text()
        with contextlib.suppress(OSError):
            stream = await trio.open_tcp_stream(host.ip, port)
        return stream is not None

    stream = None
    await until(connected)
    return Connection(stream)


async def status_of(host, path, name="ready", port=CALLERS_PORT):
    """Return the status of the answer to one request."""
    connection = await connect(host, port)
    head = f"GET {path} HTTP/1.1\r\nHost: {name}\r\nRequest-Id: r1\r\n\r\n"
    await connection.send(head.encode())
    answer = await connection.receive()
    await connection.close()
    return answer.status


async def until_ready(host):
    async def is_ready():
        path = "/agatetack/readyz"
        return await status_of(host, path, port=READY_PORT) == 200

    await until(is_ready)


async def serves(host):
    path, name = "/profile-read/x", "profile-read.example"
    return await status_of(host, path, name) == 200


async def ended(process):
    async def has_ended():
        return process.poll() is not None

    await until(has_ended)
    return process.returncode


# Guards against hosts that end at their start because they hold the callers'
# address themselves.
async def test_hosts_started_as_deployed_serve(role, tmp_path):
    async with deployed_hosts(role, tmp_path, 3) as hosts:
        for host in hosts:
            host.start()
        for host in hosts:
            await until_ready(host)
        for host in hosts * REQUESTS:
            assert await serves(host)
        assert all(host.running for host in hosts)


# Guards against hosts that find their dependencies only by an environment
# variable that the deploy file doesn't name.
async def test_a_host_finds_the_dependencies_of_its_build(
    role, tmp_path, monkeypatch
):
    monkeypatch.setattr(deploy_file, "DEPENDENCIES", "target/nothing")
    async with one_host(role, tmp_path) as host:
        host.start()
        await until_ready(host)
        assert await serves(host)


# Guards against a reload signal that ends a host before it handles signals.
async def test_a_reload_signal_during_the_start_does_not_end_the_host(
    role, tmp_path
):
    async with one_host(role, tmp_path) as host:
        host.start()
        await (await connect(host)).close()
        host.signal(signal.SIGHUP)
        await until_ready(host)
        assert await serves(host)


# Guards against a stop signal that resets callers who wait during the start.
async def test_a_caller_of_a_host_that_is_stopped_at_its_start_is_answered(
    role, tmp_path
):
    async with one_host(role, tmp_path) as host:
        host.start()
        connection = await connect(host)
        await connection.send(
            b"GET /profile-read/x HTTP/1.1\r\nHost: profile-read.example\r\n"
            b"Request-Id: r1\r\n\r\n"
        )
        host.signal(signal.SIGTERM)
        with trio.fail_after(PATIENCE_SECONDS):
            assert (await connection.receive()).status in (200, 503)
        assert await ended(host.process) == 0


# Guards against reload signals that end a host in the last moment of its drain.
async def test_reload_signals_to_the_end_of_a_drain_do_not_end_the_host(
    role, tmp_path
):
    async with one_host(role, tmp_path) as host:
        host.start()
        await until_ready(host)
        host.signal(signal.SIGTERM)
        with trio.fail_after(PATIENCE_SECONDS):
            while host.running:
                host.signal(signal.SIGHUP)
                await trio.sleep(0.001)
        assert host.process.returncode == 0


# Guards against a host that ends because the one before it still drains.
async def test_a_host_waits_for_the_addresses_of_one_that_drains(
    role, tmp_path
):
    async with one_host(patient(role), tmp_path) as host:
        host.start()
        await until_ready(host)
        before = host.process
        host.signal(signal.SIGTERM)

        async def drains():
            path = "/agatetack/readyz"
            return await status_of(host, path, port=READY_PORT) == 503

        await until(drains)
        host.start()
        assert await ended(before) == 0
        await until_ready(host)
        assert await serves(host)


# Guards against a host that binds what a host that starts will listen on.
async def test_a_host_waits_for_one_that_started_at_the_same_moment(
    role, tmp_path
):
    async with one_host(patient(role), tmp_path) as host:
        host.start()
        first = host.process
        await (await connect(host)).close()
        first.signal(signal.SIGSTOP)
        host.start()
        second, errors = host.process, host.errors

        async def waits():
            assert second.poll() is None, errors.read_text()
            return "waiting for it" in errors.read_text()

        async def first_is_ready():
            assert first.poll() is None
            with contextlib.suppress(OSError):
                stream = await trio.open_tcp_stream(host.ip, READY_PORT)
                connection = Connection(stream)
                await connection.send(
                    b"GET /agatetack/readyz HTTP/1.1\r\nHost: ready\r\n\r\n"
                )
                answer = await connection.receive()
                await connection.close()
                return answer.status == 200
            return False

        await until(waits)
        first.signal(signal.SIGCONT)
        await until(first_is_ready)
        # A request that does not end keeps the first one draining.
        open_request = await connect(host)
        await open_request.send(
            b"POST /profile-read/x HTTP/1.1\r\nHost: profile-read.example\r\n"
            b"Request-Id: r1\r\nContent-Length: 9\r\n\r\n"
        )
        first.signal(signal.SIGTERM)
        await ended(first)
        await until_ready(host)
        assert await serves(host)
        await open_request.close()


# Guards against callers held in the backlog of a host that can't serve yet.
async def test_a_host_that_waits_for_an_address_refuses_callers_and_stops(
    role, tmp_path
):
    async with one_host(role, tmp_path) as host:
        with socket.create_server((host.ip, READY_PORT)):
            host.start()

            async def waits():
                return "waiting for it" in host.errors.read_text()

            await until(waits)
            with pytest.raises(OSError, match="refused|connect"):
                await trio.open_tcp_stream(host.ip, CALLERS_PORT)
            host.signal(signal.SIGTERM)
            assert await ended(host.process) == 0


# Guards against callers that are reset as a host stops to listen for a while.
async def test_a_caller_in_the_backlog_of_a_host_that_has_to_wait_is_answered(
    role, tmp_path
):
    async with one_host(role, tmp_path) as host:
        with socket.create_server((host.ip, READY_PORT)):
            host.start()
            connection = await connect(host)
            await connection.send(
                b"GET /profile-read/x HTTP/1.1\r\n"
                b"Host: profile-read.example\r\nRequest-Id: r1\r\n\r\n"
            )

            async def waits():
                return "waiting for it" in host.errors.read_text()

            await until(waits)
        with trio.fail_after(PATIENCE_SECONDS):
            assert (await connection.receive()).status in (200, 503)


# Guards against a host that ends because another program has an address that
# the host does not serve.
async def test_a_host_on_a_store_starts_beside_an_operators_address_in_use(
    role, tmp_path
):
    with contextlib.ExitStack() as stack:
        # Where another program has the address already, that serves as well.
        with contextlib.suppress(OSError):
            stack.enter_context(socket.create_server(OPERATORS_ADDRESS))
        async with one_host(role, tmp_path) as host:
            host.start()
            await until_ready(host)
            assert await serves(host)
