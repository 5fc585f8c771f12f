"""Test a host's guarantees one by one, over real connections."""

import random

import pytest
import trio

from agatetack.config.route import RequestClass
from agatetack.streams import open_plain_stream
from agatetack.testing.fake_target import FakeTargetOptions
from agatetack.testing.fleet import local_fleet

FAST = RequestClass.FAST


def reason(response):
    return dict(response.headers).get(b"x-reason", b"").decode()


async def test_each_caller_gets_its_own_answer_whatever_comes_late():
    rng = random.Random(1)
    options = FakeTargetOptions(slots=50, service_seconds=0.005, spread=1.0)
    async with local_fleet(FAST, 2, options=options) as fleet:
        for target in fleet.targets:
            target.faults.answer_delay_seconds = 0.01
        fleet.targets[0].faults.stray_bytes = b"HTTP/1.1 200 OK\r\n\r\nstray"
        checked = 0

        async def one(number):
            nonlocal checked
            path = f"/own/{number}"
            with trio.move_on_after(rng.choice([0.004, 0.02, 5, 5])):
                response = await fleet.get(path, gateway=number)
                assert response.status == 200
                assert f"GET {path} ".encode() in response.content
                checked += 1

        for _ in range(4):
            async with trio.open_nursery() as nursery:
                for number in range(100):
                    nursery.start_soon(one, number)
        assert checked >= 150


async def test_a_crashing_request_takes_two_targets_at_most():
    async with local_fleet(FAST, 3, targets=8) as fleet:
        await fleet.wait_for_peers()
        for target in fleet.targets:
            target.faults.crash_mark = b"poison"
        reasons = []
        for number in range(100):
            response = await fleet.get("/poison", gateway=number)
            reasons.append(reason(response))
        assert sum(target.crashes for target in fleet.targets) <= 2
        assert reasons[-1] == "quarantined"
        response = await fleet.get("/harmless")
        assert response.status == 200


async def test_a_crash_does_not_hold_back_what_others_ask_for():
    async with local_fleet(FAST, 1, targets=4) as fleet:
        for target in fleet.targets[:2]:
            for _ in range(3):
                await fleet.get("/popular")
            target.crash()
            for _ in range(20):
                response = await fleet.get("/popular")
                assert reason(response) != "quarantined"
        assert response.status == 200


@pytest.mark.parametrize("sign", ["header", "refused", "list"])
async def test_a_leaving_target_gets_no_new_work(sign):
    options = FakeTargetOptions(service_seconds=0.002)
    async with local_fleet(FAST, 2, targets=3, options=options) as fleet:
        await fleet.wait_for_peers()
        for number in range(30):
            await fleet.get("/x", gateway=number)
        leaving = fleet.targets[0]
        if sign == "header":
            leaving.drain()
        elif sign == "refused":
            leaving.crash()
        else:
            fleet.hosts.hosts = [
                host for host in fleet.hosts.hosts if host.id != leaving.id
            ]
        for number in range(60):
            await fleet.get("/x", gateway=number)
            await trio.sleep(0.005)
        before = len(leaving.executed)
        # The leaving target must get no requests even if its health check
        # wrongly reports that it is ready.
        leaving.faults.reported_state = "ready"
        for number in range(100):
            response = await fleet.get("/x", gateway=number)
            assert response.status == 200
        assert len(leaving.executed) == before


async def test_fast_answers_survive_connections_that_go_silent():
    options = FakeTargetOptions(service_seconds=0.002)
    async with local_fleet(FAST, 1, targets=3, options=options) as fleet:
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(fleet.get, "/warm")
        for target in fleet.targets:
            target.silence()
        answered = 0
        for _ in range(50):
            response = await fleet.get("/x", x_deadline_ms="1000")
            answered += response.status == 200
        assert answered == 50


async def test_a_whole_export_goes_on_at_another_target():
    async with local_fleet(RequestClass.WHOLE, 1, targets=2) as fleet:
        whole = await fleet.get("/export?bytes=2000000")
        for target in fleet.targets:
            target.faults.cut_after_bytes = 700_000
        again = await fleet.get("/export?bytes=2000000")
        assert again.content == whole.content
        metrics = fleet.gateways[0].metrics.render()[0].decode()
        assert 'retries_total{reason="resume",route="route"}' in metrics


async def test_a_caller_that_resets_cancels_its_work_at_the_target():
    async with local_fleet(FAST, 1, targets=1) as fleet:
        stream = await open_plain_stream("127.0.0.1", fleet.ports[0].callers)
        await stream.send_all(
            b"GET /x?service_ms=60000 HTTP/1.1\r\nHost: a\r\n"
            b"X-Deadline-Ms: 60000\r\n\r\n"
        )
        target = fleet.targets[0]
        with trio.fail_after(10):
            while not target.in_flight:
                await trio.sleep(0.01)
            stream.abort_on_close()
            stream.close()
            while target.in_flight:
                await trio.sleep(0.01)
        assert target.cancelled == 1


async def test_a_drain_ends_no_request_that_is_still_arriving():
    async with local_fleet(
        RequestClass.FAST, lifecycle={"notice_seconds": 0.05}
    ) as fleet:
        stream = await trio.open_tcp_stream("127.0.0.1", fleet.ports[0].callers)
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
        await stream.send_all(head + b"ab")
        await trio.sleep(0.05)
        reports = []

        async def drain():
            reports.append(await fleet.gateways[0].lifecycle.drain())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(drain)
            await trio.sleep(0.3)
            assert not reports
            await stream.send_all(b"cd")
            data = await stream.receive_some()
        assert b"503 " in data and b"x-outcome: not-run" in data
        assert reports[0].exit_code == 0
