"""Test which connections give up memory when callers take too much."""

import contextlib

import pytest
import trio
import trio.testing

from agatetack.callers.memory import (
    CONNECTION_BYTES,
    CallerMemory,
    MemoryHolder,
    Stage,
    caller_memory_bytes,
    request_bytes,
)
from agatetack.callers.parser import RequestParser
from agatetack.callers.read_ahead import ReadAheadConnection
from agatetack.callers.test_connection import Echo, statuses
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings

KB = 1024


def host(memory_mb=60, **callers):
    settings = default_settings(callers={"memory_ratio": 0.5, **callers})
    own = settings.host.copy_with({"memory_mb": memory_mb})
    return settings.copy_with({"host": own})


class Holder(MemoryHolder):
    """A connection that only says what it waits for."""

    def __init__(self, stage, since):
        self.stage = stage
        self.since = since
        self.released = False

    def memory_stage(self):
        return self.stage

    def unchanged_since(self):
        return self.since

    def release_memory(self):
        self.released = True


def fill(memory, *rows):
    """Add holders of (stage, age in s, KB); return them."""
    holders = []
    for stage, age, size in rows:
        holder = Holder(stage, trio.current_time() - age)
        memory.add(holder)
        memory.charge(holder, CONNECTION_BYTES + size * KB)
        holders.append(holder)
    return holders


CALLER, HOST = Stage.CALLER, Stage.HOST


@pytest.mark.parametrize(
    ("rows", "released"),
    [
        pytest.param([(CALLER, 9, 900)], [], id="room"),
        pytest.param(
            [(CALLER, 1, 500), (CALLER, 9, 500), (HOST, 9, 1000)],
            [1],
            id="longest",
        ),
        pytest.param(
            [(CALLER, 9, 300), (CALLER, 9, 900), (HOST, 9, 800)],
            [1],
            id="largest",
        ),
        pytest.param(
            [(CALLER, 0, 300), (CALLER, 0, 900), (HOST, 0, 800)],
            [1],
            id="young",
        ),
        pytest.param(
            [(CALLER, 99, 4), (HOST, 9, 1000), (HOST, 1, 1000)],
            [1],
            id="small-ones-stay",
        ),
        pytest.param(
            [(HOST, 99, 1900), (CALLER, 1, 300)], [1], id="callers-first"
        ),
    ],
)
async def test_who_gives_up_memory(rows, released, autojump_clock):
    memory = CallerMemory(host(), Metrics())
    assert memory.limit == 2_000_000
    holders = fill(memory, *rows)
    assert [n for n, each in enumerate(holders) if each.released] == released
    assert memory.used <= memory.limit


@pytest.mark.parametrize(
    ("rows", "added", "admitted", "released"),
    [
        pytest.param([(HOST, 9, 1000)], 500, True, [], id="room"),
        pytest.param([(HOST, 9, 1700)], 300, True, [0], id="small-request"),
        pytest.param(
            [(HOST, 9, 900), (HOST, 9, 900)], 400, False, [], id="large-request"
        ),
        pytest.param(
            [(CALLER, 9, 900), (HOST, 9, 900)], 400, True, [0], id="waits"
        ),
    ],
)
async def test_whether_a_request_is_admitted(
    rows, added, admitted, released, autojump_clock
):
    memory = CallerMemory(host(), Metrics())
    holders = fill(memory, *rows)
    (new,) = fill(memory, (HOST, 0, 0))
    assert memory.admit(new, added * KB) is admitted
    assert [n for n, each in enumerate(holders) if each.released] == released
    for holder in [*holders, new]:
        memory.remove(holder)
    assert memory.used == 0


GET = b"GET /x HTTP/1.1\r\nHost: a\r\n"
FIELDS = b"a:\r\n" * 3000
POST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n"


@contextlib.asynccontextmanager
async def connected(memory, settings):
    caller, ours = trio.testing.memory_stream_pair()
    connection = ReadAheadConnection(
        ours, "127.0.0.1", settings.callers, Echo(), Metrics(), memory=memory
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(connection.serve)
        await trio.testing.wait_all_tasks_blocked()
        yield caller, connection
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("sent", "least"),
    [
        (b"", 0),
        (GET + FIELDS, 9_000),
        (POST + b"x" * 50_000, 50_000),
        (GET + b"\r\n", 0),
    ],
    ids=["silent", "header", "body", "answered"],
)
async def test_a_connection_is_charged_what_it_holds(
    sent, least, autojump_clock
):
    settings = host(pipeline_depth=4)
    memory = CallerMemory(settings, Metrics())
    async with connected(memory, settings) as (caller, _):
        await caller.send_all(sent)
        await trio.testing.wait_all_tasks_blocked()
        held = memory.used - CONNECTION_BYTES
        assert least <= held <= 1.5 * least
    assert memory.used == 0


# Guards against a request that is let in, or lost without a word, when there
# is no memory for it.
@pytest.mark.parametrize("part", ["body", "header"])
async def test_a_request_without_memory_is_refused_as_not_run(
    part, autojump_clock
):
    settings = host(pipeline_depth=4)
    memory = CallerMemory(settings, Metrics())
    async with connected(memory, settings) as (caller, connection):
        if part == "body":
            await caller.send_all(POST + b"x" * 50_000)
            await trio.testing.wait_all_tasks_blocked()
            fill(memory, (HOST, 0, 1900))
        else:
            fill(memory, (HOST, 0, 800), (HOST, 0, 800))
            await caller.send_all(GET + FIELDS + b"\r\n")
        with trio.fail_after(5):
            data = await caller.receive_some()
        assert statuses(data) == [503]
        assert b"x-reason: memory-short\r\n" in data
        assert b"x-outcome: not-run\r\n" in data
        assert connection.handler.requests == []


async def test_without_a_setting_callers_get_a_share_of_the_machine():
    assert caller_memory_bytes(default_settings()) > 0
    assert request_bytes(100, 3) > request_bytes(100, 2)


# Guards against a header that counts as too large for the bytes of the
# requests before it in the same read, or as it comes in several reads.
@pytest.mark.parametrize("count", [1, 2, 20])
@pytest.mark.parametrize("piece_bytes", [1000, 1 << 16])
async def test_large_headers_ahead_are_parsed_one_by_one(count, piece_bytes):
    async def read_more():
        pass

    parser = RequestParser(16_384, read_more)
    sent = (GET + FIELDS + b"\r\n") * count
    for start in range(0, len(sent), piece_bytes):
        parser.feed(sent[start : start + piece_bytes])
    waiting = 0
    for _ in range(count):
        waiting = max(waiting, len(parser.ready))
        request = parser.next_request()
        assert request.refusal is None
        assert len(request.head.headers()) == 3001
    assert not parser.pending
    assert waiting <= 2
