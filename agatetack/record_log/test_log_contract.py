"""Test the contract of the platform's log against each implementation.

Set AGATETACK_LOG to `ip:port` to run the scenarios without faults against a
real service; they use streams with new names and leave some records there.
"""

import contextlib
import dataclasses
import functools
import itertools
import os
from collections.abc import Callable

import hypothesis
import pytest
import trio
from hypothesis import strategies

from agatetack.http_call import PlatformReply
from agatetack.ids import Deadline, LogOffset, StreamId
from agatetack.record_log import http_log
from agatetack.record_log.log import (
    Log,
    LogError,
    LogOutcomeUnknown,
    LogRecordTooLarge,
    LogTooFast,
    LogTruncated,
    LogUnavailable,
)
from agatetack.testing.memory_log import AppendFault
from agatetack.testing.platform_worlds import (
    PlatformWorld,
    http_world,
    memory_world,
    real_world,
)

World = PlatformWorld
MAX_RECORD_BYTES = 1 << 20
"""The default of platform.log.max_record_bytes."""

REAL_LOG = os.environ.get("AGATETACK_LOG")
TIMEOUT_SECONDS = 5.0
TRY_SECONDS = 0.2
PAIR_TRY_SECONDS = 0.04
"""Shorter, as a pair of faults may have any result that matches the log."""

LATE_SECONDS = 0.02
SETTLE_SECONDS = 0.035


def deadline_in(seconds: float = TIMEOUT_SECONDS) -> Deadline:
    return Deadline(trio.current_time() + seconds)


async def append(world: World, payload: bytes = b"x") -> LogOffset:
    return await world.logs[0].append(world.stream, payload, deadline_in())


async def payloads(world: World) -> list[bytes]:
    page = await world.logs[1].read(world.stream, LogOffset(0), deadline_in())
    return [record.payload for record in page.records]


FAKE_WORLDS = {"memory": memory_world, "http": http_world}
WORLDS = dict(FAKE_WORLDS)
if REAL_LOG:
    WORLDS["real"] = functools.partial(real_world, REAL_LOG)
all_worlds = pytest.mark.parametrize("name", WORLDS)


async def appends_count_up(world: World):
    offsets = [await append(world, b"%d" % i) for i in range(3)]
    assert offsets == [0, 1, 2]
    assert await payloads(world) == [b"0", b"1", b"2"]


async def payloads_are_bytes(world: World):
    for payload in (b"", bytes(range(256)), b"\r\n" * 9, b"y" * 80_000):
        await append(world, payload)
        assert (await payloads(world))[-1] == payload


async def pages_are_consecutive(world: World):
    for number in range(5):
        await append(world, b"%d" % number)
    log, stream = world.logs[0], world.stream
    page = await log.read(stream, LogOffset(1), deadline_in(), max_records=3)
    assert [record.offset for record in page.records] == [1, 2, 3]
    assert (page.first, page.end) == (0, 5)
    page = await log.read(stream, LogOffset(5), deadline_in())
    assert (list(page.records), page.end) == ([], 5)


async def new_stream_is_empty(world: World):
    page = await world.logs[0].read(world.stream, LogOffset(0), deadline_in())
    assert (list(page.records), page.first, page.end) == ([], 0, 0)


async def streams_are_apart(world: World):
    other = StreamId(world.stream + "/ü?#%2F")
    await append(world, b"one")
    assert await world.logs[0].append(other, b"two", deadline_in()) == 0
    assert await payloads(world) == [b"one"]
    page = await world.logs[1].read(other, LogOffset(0), deadline_in())
    assert page.records[0].payload == b"two"


async def racing_appends_have_one_order(world: World):
    got: dict[LogOffset, bytes] = {}

    async def append_to(log: Log, payload: bytes):
        got[await log.append(world.stream, payload, deadline_in())] = payload

    async with trio.open_nursery() as nursery:
        for number in range(20):
            log = world.logs[number % 2]
            nursery.start_soon(append_to, log, b"%d" % number)
    assert await payloads(world) == [got[LogOffset(i)] for i in range(20)]


async def wait_ends_with_a_record(world: World):
    async with trio.open_nursery() as nursery:
        pages = []

        async def wait():
            pages.append(
                await world.logs[1].read(
                    world.stream, LogOffset(0), deadline_in(60), deadline_in(50)
                )
            )

        nursery.start_soon(wait)
        await trio.sleep(SETTLE_SECONDS)
        # The waiting read must block neither this append nor other reads.
        await world.logs[1].append(world.stream, b"x", deadline_in())
    assert [record.payload for record in pages[0].records] == [b"x"]


async def wait_ends_empty(world: World):
    until = deadline_in(SETTLE_SECONDS)
    page = await world.logs[0].read(
        world.stream, LogOffset(0), deadline_in(), until
    )
    assert not page.records
    assert trio.current_time() >= until - 0.002


async def wait_until_deadline_is_no_failure(world: World):
    deadline = deadline_in(0.4)
    page = await world.logs[0].read(
        world.stream, LogOffset(0), deadline, deadline
    )
    assert not page.records


SCENARIOS = (
    appends_count_up,
    payloads_are_bytes,
    pages_are_consecutive,
    new_stream_is_empty,
    streams_are_apart,
    racing_appends_have_one_order,
    wait_ends_with_a_record,
    wait_ends_empty,
    wait_until_deadline_is_no_failure,
)


@all_worlds
@pytest.mark.parametrize("scene", SCENARIOS, ids=lambda scene: scene.__name__)
async def test_without_faults(name, scene):
    async with WORLDS[name]() as world:
        with trio.fail_after(TIMEOUT_SECONDS):
            await scene(world)


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault during an append.

    Attributes:
        name: Its name.
        begin: Injects the fault.
        error: What the append raises; None if it succeeds.
        landed: How often the record is in the log in the end.
        over_http: Whether it occurs only over HTTP.
    """

    name: str
    begin: Callable[[World], None]
    error: type[LogError] | None
    landed: int
    over_http: bool = False


def log_fault(**values: object) -> Callable[[World], None]:
    def begin(world: World) -> None:
        for name, value in values.items():
            setattr(world.service.faults, name, value)

    return begin


def append_fault(fault: AppendFault) -> Callable[[World], None]:
    return lambda world: world.service.faults.next_appends.append(fault)


def http_fault(**values: int) -> Callable[[World], None]:
    def begin(world: World) -> None:
        for name, value in values.items():
            setattr(world.http, name, value)

    return begin


FAULTS = (
    Fault("outage", log_fault(outage=True), LogUnavailable, 0),
    Fault("frozen", log_fault(frozen=True), LogOutcomeUnknown, 0),
    Fault("slow", log_fault(delay_seconds=0.005), None, 1),
    Fault("refused", append_fault(AppendFault.UNAVAILABLE), LogUnavailable, 0),
    Fault("too fast", append_fault(AppendFault.TOO_FAST), LogTooFast, 0),
    Fault(
        "reply lost", append_fault(AppendFault.REPLY_LOST), LogOutcomeUnknown, 1
    ),
    Fault(
        "request lost",
        append_fault(AppendFault.REQUEST_LOST),
        LogOutcomeUnknown,
        0,
    ),
    Fault(
        "lands late", append_fault(AppendFault.LANDS_LATE), LogOutcomeUnknown, 1
    ),
    Fault("cut reply", http_fault(cut_replies=1), LogOutcomeUnknown, 1, True),
    Fault("bare 503", http_fault(bare_errors=1), LogOutcomeUnknown, 1, True),
    Fault(
        "malformed", http_fault(malformed_replies=1), LogOutcomeUnknown, 1, True
    ),
    Fault(
        "too large", http_fault(max_record_bytes=0), LogRecordTooLarge, 0, True
    ),
    Fault("server gone", World.kill, LogUnavailable, 0, True),
)


async def try_append(world: World, seconds: float) -> LogError | LogOffset:
    log = world.logs[0]
    try:
        return await log.append(world.stream, b"tried", deadline_in(seconds))
    except LogError as error:
        return error


FAULT_CASES = [
    (name, faults)
    for name in FAKE_WORLDS
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
async def test_append_under_faults(name, faults):
    async with FAKE_WORLDS[name]() as world:
        world.service.faults.late_seconds = LATE_SECONDS
        await append(world, b"before")
        for fault in faults:
            fault.begin(world)
        await world.until_gone()
        await trio.sleep(0.001)
        seconds = TRY_SECONDS if len(faults) == 1 else PAIR_TRY_SECONDS
        result = await try_append(world, seconds)
        with contextlib.suppress(LogUnavailable):
            deadline = deadline_in(PAIR_TRY_SECONDS)
            page = await world.logs[1].read(
                world.stream, LogOffset(0), deadline
            )
            assert page.records[0].payload == b"before"
        await world.heal()
        await trio.sleep(SETTLE_SECONDS)
        await append(world, b"after")
        kept = await payloads(world)
    landed = kept.count(b"tried")
    # The result reported for an append stays true, whatever went wrong.
    if isinstance(result, LogUnavailable | LogTooFast):
        assert landed == 0
    elif isinstance(result, LogError):
        assert isinstance(result, LogOutcomeUnknown)
        assert landed <= 1
    else:
        assert kept.index(b"tried") == result
        assert landed == 1
    assert kept[0] == b"before"
    assert kept.count(b"after") == 1
    if len(faults) == 1:
        wanted = faults[0].error
        assert type(result) is (wanted or int)
        assert landed == faults[0].landed


@pytest.mark.parametrize("name", FAKE_WORLDS)
async def test_expired_records_are_truncated(name):
    async with FAKE_WORLDS[name]() as world:
        for number in range(4):
            await append(world, b"%d" % number)
        world.service.truncate(world.stream, 3)
        with pytest.raises(LogTruncated) as caught:
            await payloads(world)
        assert caught.value.first == 3
        world.service.truncate(world.stream, 4)
        with pytest.raises(LogTruncated) as caught:
            await payloads(world)
        assert caught.value.first == 4
        assert await append(world) == 4


async def test_killed_in_mid_append_is_unknown():
    async with http_world() as world:
        world.service.faults.delay_seconds = TIMEOUT_SECONDS
        async with trio.open_nursery() as nursery:

            async def lose():
                with pytest.raises(LogOutcomeUnknown):
                    await append(world)

            nursery.start_soon(lose)
            await trio.sleep(SETTLE_SECONDS)
            world.kill()


async def test_own_limit_spares_the_log():
    async with http_world() as world:
        with pytest.raises(LogRecordTooLarge):
            await append(world, b"x" * (MAX_RECORD_BYTES + 1))
        assert world.service.appends == 0


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    status=strategies.sampled_from((200, 204, 400, 410, 429, 503)),
    body=strategies.one_of(
        strategies.binary(max_size=60),
        strategies.sampled_from(
            (
                b'{"offset":-1}',
                b'{"offset":true}',
                b'{"error":"truncated"}',
                b'{"error":"too-fast","retry_after_ms":-1}',
                b'{"start":0,"first":0,"end":1,"records":[{"payload":"?"}]}',
                b'{"start":0,"first":0,"end":1,"records":[{"payload":"?",'
                b'"at":1}]}',
                b'{"start":9,"first":0,"end":1,"records":[]}',
            )
        ),
    ),
)
def test_odd_replies_are_log_errors(status, body):
    reply = PlatformReply(status, {}, body)
    for read in (
        lambda: http_log.read_append_reply(reply),
        lambda: http_log.read_page_reply(reply, LogOffset(0)),
    ):
        with pytest.raises(LogError):
            read()
