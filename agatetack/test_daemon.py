"""Test whole hosts, each in its own process, under failures."""

import contextlib
import signal

import httpcore
import pytest
import trio

from agatetack.testing.export_content import export_bytes
from agatetack.testing.processes import (
    CLASSES,
    Fleet,
    publish,
    running_fleet,
    when_ready,
)

NOT_RUN = b"not-run"


def url(gateway, path):
    return f"http://127.0.0.1:{gateway.ports.callers}{path}"


def outcome(response):
    return dict(response.headers).get(b"x-outcome")


@contextlib.asynccontextmanager
async def serving(folder, names, gateways=2, seconds=0.002, **overrides):
    """Start a fleet and wait until the routes are in force on all gateways."""
    with running_fleet(folder, names, seconds) as fleet:
        for _ in range(gateways):
            await trio.to_thread.run_sync(
                lambda: fleet.add_gateway(**overrides)
            )
        await when_ready(fleet)
        await publish(fleet, names)
        async with httpcore.AsyncConnectionPool(max_connections=100) as http:
            yield fleet, http


async def settled_outcome(http, gateway, key):
    """Return the final outcome that a second request with a key gets."""
    with trio.fail_after(5):
        while True:
            response = await http.request(
                "POST", url(gateway, "/payouts"), headers=key
            )
            assert response.status == 409
            if outcome(response) != b"unknown":
                return outcome(response)
            await trio.sleep(0.05)


async def test_every_class_is_answered_through_any_host(tmp_path):
    async with serving(tmp_path, list(CLASSES)) as (fleet, http):
        first, second = fleet.gateways
        for gateway in (first, second):
            response = await http.request("GET", url(gateway, "/profiles/1"))
            assert response.status == 200
            response = await http.request(
                "GET", url(gateway, "/export?bytes=300000")
            )
            assert response.content == export_bytes(0, 300_000)
        key = {"Idempotency-Key": "k1"}
        response = await http.request(
            "POST", url(first, "/payouts"), headers=key
        )
        assert response.status == 200
        assert await settled_outcome(http, second, key) == b"answered"
        response = await http.request("GET", url(first, "/archive/1"))
        assert response.status == 202
        place = dict(response.headers)[b"location"].decode()
        response = await http.request(
            "GET", url(second, f"{place}?wait-ms=9000")
        )
        assert response.status == 200
        assert fleet.stand_ins.command(executions="k1").executions == 1
        shown = await http.request(
            "GET", f"http://127.0.0.1:{first.ports.operators}/metrics"
        )
        for name in ("requests", "attempts"):
            line = f'agatetack_{name}_total{{route="profiles"}} 1\n'
            assert line in shown.content.decode()


class Payouts:
    """Sends requests with the same keys to one gateway, then to another."""

    def __init__(self, fleet: Fleet, http, count):
        self.fleet = fleet
        self.http = http
        self.keys = [f"key-{number}" for number in range(count)]
        self.not_run = set()
        self.answered = set()

    async def send_all(self, gateway):
        async with trio.open_nursery() as nursery:
            for key in self.keys:
                nursery.start_soon(self.send, gateway, key)

    async def send(self, gateway, key):
        headers = {"Idempotency-Key": key, "x-deadline-ms": "4000"}
        try:
            response = await self.http.request(
                "POST", url(gateway, "/payouts"), headers=headers
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return
        if response.status == 200:
            self.answered.add(key)
        elif outcome(response) == NOT_RUN:
            self.not_run.add(key)

    def check(self):
        """Check that no key ran twice, or although it was reported not-run."""
        for key in self.keys:
            runs = self.fleet.stand_ins.command(executions=key).executions
            assert runs <= 1, key
            assert not (key in self.not_run and runs), key
            assert not (key in self.answered and not runs), key


@pytest.mark.parametrize(
    ("stop", "resume"),
    [
        (signal.SIGKILL, None),
        (signal.SIGSTOP, signal.SIGCONT),
    ],
    ids=["killed", "paused"],
)
async def test_no_payout_runs_twice_when_its_host_stops(stop, resume, tmp_path):
    async with serving(tmp_path, ["payouts"], seconds=0.03) as (fleet, http):
        first, second = fleet.gateways
        payouts = Payouts(fleet, http, 40)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(payouts.send_all, first)
            await trio.sleep(0.15)
            first.send(stop)
            await payouts.send_all(second)
            if resume is not None:
                first.send(resume)
        payouts.check()


async def test_log_outage_refuses_what_needs_it_and_nothing_else(tmp_path):
    async with serving(tmp_path, list(CLASSES)) as (fleet, http):
        fleet.stand_ins.command(outage=True)
        await trio.sleep(0.2)
        gateway = fleet.gateways[0]
        response = await http.request("GET", url(gateway, "/profiles/1"))
        assert response.status == 200
        payouts = Payouts(fleet, http, 5)
        await payouts.send_all(gateway)
        assert payouts.not_run == set(payouts.keys)
        response = await http.request("GET", url(gateway, "/archive/1"))
        assert response.status == 503
        assert outcome(response) == NOT_RUN
        assert b"retry-after" in dict(response.headers)
        fleet.stand_ins.command(outage=False)
        with trio.fail_after(10):
            while payouts.answered != set(payouts.keys):
                payouts.not_run.clear()
                await payouts.send_all(gateway)
        payouts.not_run.clear()
        payouts.check()


async def test_graceful_stop_cuts_no_half_delivered_export(tmp_path):
    size = 5_000_000
    async with serving(tmp_path, ["export"]) as (fleet, http):
        gateway = fleet.gateways[0]
        address = url(gateway, f"/export?bytes={size}")
        async with http.stream("GET", address) as response:
            content = b""
            async for part in response.aiter_stream():
                if not content:
                    gateway.send(signal.SIGTERM)
                content += part
                await trio.sleep(0.005)
        assert content == export_bytes(0, size)
        assert await trio.to_thread.run_sync(gateway.wait) == 0


# Guards against a reload signal that ends a host on the product's platform.
async def test_a_reload_signal_does_not_end_the_host(tmp_path):
    async with serving(tmp_path, ["profiles"], 1) as (fleet, http):
        gateway = fleet.gateways[0]
        gateway.send(signal.SIGHUP)
        response = await http.request("GET", url(gateway, "/profiles"))
        assert response.status == 200
        gateway.send(signal.SIGTERM)
        assert await trio.to_thread.run_sync(gateway.wait) == 0
