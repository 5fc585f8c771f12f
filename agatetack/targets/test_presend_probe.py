"""Test the rate of pre-send probes and which responses to them count."""

import contextlib

import pytest
import trio

from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange
from agatetack.platform.load_header import CommaSeparatedLoadReader
from agatetack.targets.load import LoadReader
from agatetack.targets.pool import TargetPools
from agatetack.targets.presend_probe import PRE_SEND_PROBE_BURST, PreSendProber
from agatetack.targets.registry import TargetRegistry
from agatetack.testing.raw_target import RawTarget, answer_and_end
from agatetack.testing.store_fleet import template_settings
from agatetack.testing.targets import SERVICE, started_target

RATE = 30.0


def make_prober(reader: LoadReader | None = None, hosts=10, paths=None):
    settings = template_settings(1)
    measure = settings.measure.copy_with({"target_looks_per_second": RATE})
    settings = settings.copy_with({"measure": measure})
    registry = TargetRegistry(settings, Metrics())
    registry.update([started_target(1, 1000)])
    exchange = NoExchange()
    exchange.fleet_size = lambda: hosts
    prober = PreSendProber(
        settings,
        registry,
        TargetPools(settings),
        reader or CommaSeparatedLoadReader(settings),
        exchange,
        Metrics(),
        paths,
    )
    return prober, registry.targets(SERVICE)[0]


@pytest.mark.parametrize("hosts", [1, 18, 116])
async def test_all_hosts_together_keep_to_the_rate(autojump_clock, hosts):
    prober, target = make_prober(hosts=hosts)
    seconds, taken = 20.0, 0
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        taken += prober.take(target)
        await trio.sleep(0.002)
    most = (
        RATE / hosts * seconds
        + max(PRE_SEND_PROBE_BURST, RATE / hosts * 0.1)
        + 1
    )
    assert taken <= most
    assert taken >= 0.9 * RATE / hosts * seconds


async def test_a_new_start_of_a_target_has_looks_of_its_own(autojump_clock):
    prober, target = make_prober(hosts=100)
    while prober.take(target):
        pass
    prober.registry.update([started_target(1, 2000)])
    after = prober.registry.targets(SERVICE)[0]
    assert prober.take(after)
    assert list(prober.buckets) == [after.process]


async def test_without_a_load_path_no_target_is_looked_at(autojump_clock):
    prober, target = make_prober(paths={})
    assert not prober.take(target)


OWN = b"instance-id: 10.0.0.1:80\r\n"
LOAD = b"server-load: 1,0,3,100\r\n"


def answer(*headers, status=b"200 OK", after=b""):
    head = b"HTTP/1.1 " + status + b"\r\ncontent-length: 0\r\n"
    return head + b"".join(headers) + b"\r\n" + after


@pytest.mark.parametrize(
    ("content", "told"),
    [
        (answer(OWN, LOAD), True),
        (answer(OWN, LOAD, status=b"503 Busy"), True),
        (answer(OWN), False),
        (answer(LOAD), False),
        (answer(b"instance-id: other\r\n", LOAD), False),
        # A response to a caller's request is not a load report.
        (answer(OWN, LOAD, b"request-id: r1\r\n"), False),
        (answer(OWN, LOAD, b"not-executed: 1\r\n"), False),
        (answer(OWN, LOAD, b"connection: close\r\n"), False),
        (answer(OWN, LOAD, after=b"junk"), False),
        (b"junk", False),
        (b"", False),
    ],
)
async def test_only_the_load_endpoints_own_answer_counts(content, told):
    async def serve(stream):
        await stream.receive_some(1000)
        await stream.send_all(content)
        if not content:
            return
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        prober, target = make_prober()
        target.ip = "127.0.0.1"
        target.port = listeners[0].socket.getsockname()[1]
        deadline = Deadline(trio.current_time() + 1.0)
        report = await prober.probe(target, deadline)
        assert (report is not None) is told
        # The connection is reused only after a told response.
        pool = prober.pools.pool(target.process)
        assert bool(pool.idle) is told
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("lost", ["reset", "silent"])
async def test_a_lost_pooled_connection_says_nothing_of_its_target(lost):
    accepted = []

    async def serve(stream):
        accepted.append(stream)
        first = len(accepted) == 1
        while await stream.receive_some(1000):
            if first and len(accepted) == 1 and stream in answered:
                if lost == "reset":
                    return
                await trio.sleep_forever()
            answered.append(stream)
            await stream.send_all(answer(OWN, LOAD))

    answered = []
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        prober, target = make_prober()
        target.ip = "127.0.0.1"
        target.port = listeners[0].socket.getsockname()[1]
        for _ in range(2):
            deadline = Deadline(trio.current_time() + 1.0)
            assert await prober.probe(target, deadline) is not None
        assert len(accepted) == 2
        nursery.cancel_scope.cancel()


# Guards against a host that keeps all that a load endpoint sends until the
# deadline of the probe.
@pytest.mark.parametrize(
    "head",
    [
        b"\r\n",
        b"transfer-encoding: chunked\r\n\r\n",
        b"content-length: 100000000000000\r\n\r\n",
    ],
)
async def test_an_endless_load_response_is_abandoned(head):
    first = b"HTTP/1.1 200 OK\r\n" + OWN + LOAD + head
    part = b"3e80\r\n" + b"x" * 16000 + b"\r\n"

    async def serve(stream):
        await stream.receive_some(1000)
        await stream.send_all(first)
        with contextlib.suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(part)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        prober, target = make_prober()
        target.ip = "127.0.0.1"
        target.port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(5):
            deadline = Deadline(trio.current_time() + 60.0)
            assert await prober.probe(target, deadline) is None
        assert not prober.pools.pool(target.process).open_count
        nursery.cancel_scope.cancel()


# Guards against hosts that ask targets as often while they lack the time to
# serve.
async def test_a_late_host_takes_fewer_looks(autojump_clock):
    prober, target = make_prober(hosts=1)
    prober.lateness.seconds = 0.2
    seconds, taken = 20.0, 0
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        taken += prober.take(target)
        await trio.sleep(0.01)
    assert 0.09 * RATE * seconds <= taken
    assert taken <= 0.11 * RATE * seconds + PRE_SEND_PROBE_BURST


WHOLE = answer(
    OWN, LOAD, b"server-leaving: 1\r\n", after=b"0123456789"
).replace(b"content-length: 0", b"content-length: 10")
CUT_REPORTS = [
    pytest.param(WHOLE[:end], id=str(end)) for end in range(1, len(WHOLE), 4)
] + [
    pytest.param(cut, id=name)
    for name, cut in {
        "no length": WHOLE.replace(b"content-length", b"x-length"),
        "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
        "interim with a report": b"HTTP/1.1 103 H\r\n" + OWN + LOAD + b"\r\n",
        "heads run together": b"HTTP/1.1 200 OK\r\nx-a: b"
        + answer(OWN, LOAD, status=b"503 Full"),
    }.items()
]


# Guards against a part of a response that counts as a report of load, and
# against a connection that carries a request behind it.
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("content", CUT_REPORTS)
async def test_a_cut_report_is_none(content, reset):
    async with trio.open_nursery() as nursery:
        raw = RawTarget(answer_and_end(content, reset))
        await nursery.start(raw.serve)
        prober, target = make_prober()
        target.ip = "127.0.0.1"
        target.port = raw.port
        deadline = Deadline(trio.current_time() + 1.0)
        assert await prober.probe(target, deadline) is None
        assert target.report is None
        assert not prober.pools.pool(target.process).open_count
        nursery.cancel_scope.cancel()
