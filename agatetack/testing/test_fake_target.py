"""Test that the fake target does what its faults say."""

import dataclasses
from collections.abc import Awaitable, Callable

import pytest
import trio

from agatetack.settings.defaults import default_settings
from agatetack.testing.export_content import export_bytes
from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.target_faults import Silence

PATIENCE_SECONDS = 5
NOTHING_SECONDS = 0.05


@pytest.fixture
async def target(nursery):
    options = FakeTargetOptions(service_seconds=0.001, spread=0.5)
    fake = FakeTarget(default_settings(), options)
    await nursery.start(fake.serve)
    return fake


async def connect(fake: FakeTarget) -> trio.SocketStream:
    return await trio.open_tcp_stream("127.0.0.1", fake.port)


async def get(stream: trio.SocketStream, path: str, *headers: str) -> bytes:
    """Send a request and return all bytes up to the end of the connection."""
    lines = (f"GET {path} HTTP/1.1", "host: t", "connection: close", *headers)
    await stream.send_all("\r\n".join((*lines, "", "")).encode())
    answer = b""
    with trio.fail_after(PATIENCE_SECONDS):
        while data := await stream.receive_some(65536):
            answer += data
    return answer


@dataclasses.dataclass(frozen=True)
class FaultCase:
    """One fault: what is asked, and what stands in the answer."""

    name: str
    faults: dict
    path: str
    contains: tuple[bytes, ...]
    lacks: tuple[bytes, ...] = ()
    headers: tuple[str, ...] = ()
    executed: int = 1


EXPORT = "/export?bytes=200000"
FAULT_CASES = (
    FaultCase("none", {}, "/a?b=1", (b" 200 ", b"GET /a?b=1 -\n", b"ready")),
    FaultCase("load", {}, "/load", (b'"in_flight":0,"slots":2',), executed=0),
    FaultCase("drain", {"draining": True}, "/a", (b"draining", b" 200 ")),
    FaultCase(
        "refuse", {"refusing": True}, "/a", (b" 503 ", b"not-run"), executed=0
    ),
    FaultCase(
        "shed", {"shed_above": 0}, "/a", (b" 503 ", b"not-run"), executed=0
    ),
    FaultCase(
        "shed unmarked",
        {"shed_above": 0, "shed_marked": False},
        "/a",
        (b" 503 ",),
        (b"not-run",),
        executed=0,
    ),
    FaultCase("cold", {"cold_until": 1e12}, "/a", (b"state: cold",)),
    FaultCase("fail fast", {"fail_status": 500}, "/a", (b" 500 ",)),
    FaultCase("lie", {"reported_in_flight": 77}, "/a", (b"in-flight: 77",)),
    FaultCase("answer lost", {"answer_lost": True}, "/a", (), (b"HTTP",)),
    FaultCase("stray", {"stray_bytes": b"XYZ"}, "/a", (b"GET /a -\nXYZ",)),
    FaultCase("chunked", {"chunked": True}, "/a", (b"\r\n0\r\n\r\n",)),
    FaultCase(
        "late in queue",
        {},
        "/a",
        (b"not-run",),
        headers=("x-deadline-ms: 0",),
        executed=0,
    ),
    FaultCase("export", {}, EXPORT, (export_bytes(0, 200_000), b'"v1"')),
    FaultCase(
        "cut",
        {"cut_after_bytes": 1000},
        EXPORT,
        (b"content-length: 200000", export_bytes(0, 1000)),
        (export_bytes(0, 1001),),
    ),
    FaultCase(
        "range",
        {},
        EXPORT,
        (b" 206 ", b"bytes 1000-199999/200000", export_bytes(1000, 200_000)),
        headers=("range: bytes=1000-", 'if-range: "v1"'),
    ),
    FaultCase(
        "changed validator",
        {"etag": b'"v2"'},
        EXPORT,
        (b" 200 ", export_bytes(0, 200_000, b'"v2"')),
        headers=("range: bytes=1000-", 'if-range: "v1"'),
    ),
    FaultCase(
        "wrong range",
        {"wrong_range_bytes": 3},
        EXPORT,
        (b"bytes 1003-199999/200000",),
        headers=("range: bytes=1000-",),
    ),
    FaultCase(
        "no such range",
        {},
        EXPORT,
        (b" 416 ",),
        headers=("range: bytes=200000-",),
    ),
)


@pytest.mark.parametrize("case", FAULT_CASES, ids=lambda case: case.name)
async def test_answer_under_fault(target, case):
    for name, value in case.faults.items():
        setattr(target.faults, name, value)
    answer = await get(await connect(target), case.path, *case.headers)
    for part in case.contains:
        assert part in answer
    for part in case.lacks:
        assert part not in answer
    assert len(target.executed) == case.executed
    assert target.in_flight == 0


async def no_answer(stream: trio.SocketStream) -> bool:
    with trio.move_on_after(NOTHING_SECONDS):
        await stream.receive_some(1)
        return False
    return True


async def silent(target, old, mode: Silence, executed: int) -> None:
    target.silence(mode)
    await old.send_all(b"GET /old HTTP/1.1\r\nhost: t\r\n\r\n")
    assert await no_answer(old)
    assert len(target.executed) == executed
    assert b" 200 " in await get(await connect(target), "/new")


async def loses_request(target, old) -> None:
    await silent(target, old, Silence.REQUEST_LOST, 0)


async def loses_answer(target, old) -> None:
    await silent(target, old, Silence.ANSWER_LOST, 1)


async def freezes(target, old) -> None:
    target.faults.frozen = True
    await old.send_all(b"GET /old HTTP/1.1\r\nhost: t\r\n\r\n")
    assert await no_answer(old)
    target.faults.frozen = False
    assert b" 200 " in await old.receive_some(1000)


async def crashes_and_restarts(target, old) -> None:
    target.faults.crash_mark = b"poison"
    crashing = await connect(target)
    assert await get(crashing, "/a", "x-note: poison") == b""
    assert await old.receive_some(1) == b""
    with pytest.raises(OSError):
        await connect(target)
    target.restart()
    await trio.testing.wait_all_tasks_blocked()
    assert b" 200 " in await get(await connect(target), "/b")
    assert target.crashes == 1


async def refuses_connects(target, old) -> None:
    target.refuse()
    await trio.testing.wait_all_tasks_blocked()
    with pytest.raises(OSError):
        await connect(target)
    assert b"not-run" in await get(old, "/a")


async def frees_slots_of_cancelled(target, old) -> None:
    doomed = [await connect(target) for _ in range(3)]
    for stream in doomed:
        await stream.send_all(
            b"GET /a?service_ms=60000 HTTP/1.1\r\nhost: t\r\n\r\n"
        )
    while target.in_flight < 3:
        await trio.sleep(0.001)
    # The one that waits goes first, so that it never gets a slot.
    while target.cancelled < len(doomed):
        await doomed[-1 - target.cancelled].aclose()
        await trio.sleep(0.001)
    assert b" 200 " in await get(old, "/b")
    assert len(target.executed) == 3


# Guards against a cancelled request that for a moment counts neither as in
# flight nor as cancelled.
async def counts_cancelled_at_once(target, old) -> None:
    await old.send_all(b"GET /a?service_ms=60000 HTTP/1.1\r\nhost: t\r\n\r\n")
    while not target.in_flight:
        await trio.sleep(0.001)
    await old.aclose()
    while target.in_flight:
        await trio.lowlevel.checkpoint()
    assert target.cancelled == 1


async def queues_past_its_slots(target, old) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(2):
            nursery.start_soon(target.occupy, 60)
        await trio.testing.wait_all_tasks_blocked()
        await old.send_all(b"GET /a HTTP/1.1\r\nhost: t\r\n\r\n")
        assert await no_answer(old)
        assert target.in_flight == 3
        assert not target.executed
        nursery.cancel_scope.cancel()
    assert b" 200 " in await old.receive_some(1000)


SCENES: tuple[Callable[..., Awaitable[None]], ...] = (
    loses_request,
    loses_answer,
    freezes,
    crashes_and_restarts,
    refuses_connects,
    frees_slots_of_cancelled,
    counts_cancelled_at_once,
    queues_past_its_slots,
)


@pytest.mark.parametrize("scene", SCENES, ids=lambda scene: scene.__name__)
async def test_scene(target, scene):
    old = await connect(target)
    while target.accepted < 1:
        await trio.sleep(0.001)
    with trio.fail_after(PATIENCE_SECONDS):
        await scene(target, old)
