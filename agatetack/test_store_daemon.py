"""Test the daemon in a separate process with a fake store."""

import hashlib
import signal

import pytest
import trio

from agatetack.build_id import running
from agatetack.testing.daemon_process import (
    PATIENCE_SECONDS,
    ask,
    running_daemon,
    wait_ready,
)
from agatetack.testing.holding_relay import HoldingRelay
from agatetack.testing.narrow_stream import open_narrow_stream
from agatetack.testing.store_fleet import LOOPBACK

EXPORT = (
    "GET /export?bytes=%d HTTP/1.1\r\nHost: export.example\r\n"
    "Request-Id: e1\r\nRequest-Timeout-Ms: 20000\r\n\r\n"
)


async def test_it_starts_serves_reloads_and_stops(tmp_path):
    path = tmp_path / "node.yaml"
    async with running_daemon(path) as (daemon, target):
        start = await daemon.line(event="start")
        assert start["fleet_ratio"] == 0.2
        digest = hashlib.sha256(path.read_bytes()).hexdigest()
        assert (start["sources"], start["settings"]) == (running.tree, digest)
        await wait_ready(start["ready"])
        assert await ask(start["callers"]) == 200
        assert len(target.executed) == 1
        assert await ask(start["callers"], "/b/x", "lost") == 404
        end = await daemon.line(event="end", request="lost")
        assert (end["outcome"], end["status"]) == ("no-route", 404)

        daemon.process.send_signal(signal.SIGHUP)
        await daemon.line(event="reload", why="signal", outcome="in-force")
        path.write_text(path.read_text().replace("grace=6s", "grace=2s"))
        changed = await daemon.line(event="reload", why="file")
        assert changed["changed"] == ["platform"]
        path.write_text("callers: {listen: 7}")
        refused = await daemon.line(event="reload", outcome="refused")
        assert "callers.listen" in refused["findings"][0]
        assert await ask(start["callers"]) == 200

        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.end() == 0
        stop = await daemon.line(event="stop")
        assert stop["cut"] == []
        drain = await daemon.line(event="drain")
        assert drain["in_flight"] == 0


# Guards against a reload that ends the host, as a bound can't be read.
async def test_a_bound_that_cannot_be_read_is_refused_at_a_reload(tmp_path):
    path = tmp_path / "node.yaml"
    async with running_daemon(path) as (daemon, _):
        start = await daemon.line(event="start")
        await wait_ready(start["ready"])
        path.write_text(path.read_text().replace("grace=6s", "grace=soon"))
        refused = await daemon.line(event="reload", outcome="refused")
        assert "grace=soon" in refused["findings"][0]
        path.write_text(path.read_text().replace("grace=soon", "grace=2s"))
        changed = await daemon.line(event="reload", outcome="in-force")
        assert changed["changed"] == ["platform"]
        assert await ask(start["callers"]) == 200


# Guards against defaults put in force from a settings file that is being
# written.
@pytest.mark.parametrize("asked", [False, True])
async def test_an_empty_settings_file_changes_nothing(asked, tmp_path):
    path = tmp_path / "node.yaml"
    async with running_daemon(path) as (daemon, _):
        start = await daemon.line(event="start")
        await wait_ready(start["ready"])
        whole = path.read_text()
        path.write_text("")
        if asked:
            daemon.process.send_signal(signal.SIGHUP)
        refused = await daemon.line(event="reload", outcome="refused")
        assert "is empty" in refused["findings"][0]
        assert await ask(start["callers"]) == 200
        path.write_text(whole.replace("grace=6s", "grace=2s"))
        changed = await daemon.line(event="reload", outcome="in-force")
        assert changed["changed"] == ["platform"]


async def test_a_reader_that_pauses_delays_no_request(tmp_path):
    async with running_daemon(tmp_path / "node.yaml") as (daemon, target):
        start = await daemon.line(event="start")
        await wait_ready(start["ready"])
        port = start["callers"]
        daemon.pause()
        # Each of these requests is refused, which writes a log line.
        for number in range(200):
            assert await ask(port, "/b/x", f"lost-{number}") == 404
        with trio.fail_after(PATIENCE_SECONDS):
            while not daemon.is_stalled():
                await trio.sleep(0.01)
        statuses = []

        async def ask_some():
            for _ in range(20):
                statuses.append(await ask(port))

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(ask_some)
        # All requests are answered within their route's timeout, although no
        # log line can be written meanwhile.
        assert statuses == [200] * 200
        assert daemon.is_stalled()
        daemon.may_read.set()
        await daemon.line(event="end", request="lost-199")


async def stop_during_a_request(path, numbers):
    """Stop a host while it serves a request, which must be answered."""
    async with running_daemon(path) as (daemon, target):
        start = await daemon.line(event="start")
        await wait_ready(start["ready"])
        statuses = []

        async def ask_slowly():
            path = "/a/x?service_ms=1500"
            statuses.append(await ask(start["callers"], path))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_slowly)
            with trio.fail_after(PATIENCE_SECONDS):
                while not target.in_flight:
                    await trio.sleep(0.01)
            for number in numbers:
                daemon.process.send_signal(number)
                await trio.sleep(0.1)
        assert statuses == [200]
        assert await daemon.end() == 0


async def test_a_request_under_way_is_finished_in_a_stop(tmp_path):
    await stop_during_a_request(tmp_path / "node.yaml", [signal.SIGTERM])


# Guards against a stop signal that is repeated and ends the drain at once.
@pytest.mark.parametrize(
    "numbers",
    [
        (signal.SIGTERM, signal.SIGTERM, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGINT),
        (signal.SIGINT, signal.SIGTERM),
    ],
)
async def test_a_repeated_stop_cuts_no_request(tmp_path, numbers):
    await stop_during_a_request(tmp_path / "node.yaml", numbers)


async def start_export(daemon, size):
    """Ask a host for a large answer over a narrow connection."""
    start = await daemon.line(event="start")
    await wait_ready(start["ready"])
    narrow = await open_narrow_stream(LOOPBACK, start["callers"])
    await narrow.sock.send((EXPORT % size).encode())
    with trio.fail_after(PATIENCE_SECONDS):
        while not narrow.arrived_bytes:
            await trio.sleep(0.01)
    return narrow


# Guards against a process that ends while its machine still sends an answer.
async def test_a_host_ends_after_its_answers_are_delivered(tmp_path):
    async with running_daemon(tmp_path / "node.yaml") as (daemon, _):
        narrow = await start_export(daemon, 500_000)
        daemon.process.send_signal(signal.SIGTERM)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(narrow.read, 130_000)
            assert await daemon.end() == 0
            arrived = narrow.arrived_bytes
        assert len(narrow.received) > 500_000
        assert arrived == len(narrow.received)


# Guards against a process that ends while a relay on the way, which has
# acknowledged the whole answer, still holds a part of it.
@pytest.mark.parametrize("capacity", [65_536, 262_144])
async def test_a_host_ends_after_relays_have_carried_its_answers(
    tmp_path, nursery, capacity
):
    async with running_daemon(tmp_path / "node.yaml") as (daemon, _):
        start = await daemon.line(event="start")
        await wait_ready(start["ready"])
        relay = HoldingRelay(LOOPBACK, start["callers"], capacity, 150_000)
        port = await nursery.start(relay.run)
        caller = await trio.open_tcp_stream(LOOPBACK, port)
        daemon.process.send_signal(signal.SIGTERM)
        await caller.send_all((EXPORT % 500_000).encode())
        received = []

        async def read():
            async with caller:
                received.extend([data async for data in caller])

        nursery.start_soon(read)
        assert await daemon.end() == 0
        # What a relay holds is lost when its host's process ends.
        assert len(relay.held) == 0
        assert relay.carried_bytes > 500_000
        end = await daemon.line(event="connection-end", request="e1")
        assert end["evidence"] == "caller-end"
        nursery.cancel_scope.cancel()


# Guards against a drain that waits for a caller until the host is killed.
@pytest.mark.parametrize("size", [300_000, 16_000_000])
async def test_a_caller_that_never_reads_cannot_hold_a_host(tmp_path, size):
    def change(text):
        return text.replace("grace=6s", "grace=2s")

    async with running_daemon(tmp_path / "node.yaml", change) as (daemon, _):
        narrow = await start_export(daemon, size)
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.end() == 1
        await daemon.line(event="stop")
        narrow.close()


@pytest.mark.parametrize(
    ("old", "new", "finding"),
    [
        ("grace=6s", "grace=soon", "platform.store.bounds: grace=soon"),
        ("grace=6s", "6s", "platform.store.bounds: 6s: must be NAME=VALUE"),
        ("pipeline_depth: 8", "pipeline_dept: 8", "pipeline_dept"),
    ],
)
async def test_settings_that_cannot_be_used_are_told(
    tmp_path, capfd, old, new, finding
):
    def change(text):
        assert old in text
        return text.replace(old, new)

    async with running_daemon(tmp_path / "node.yaml", change) as (daemon, _):
        assert await daemon.end() == 1
    assert finding in capfd.readouterr().err
