"""Test that bytes, files and limits from outside end no process.

Each test starts one host as deployed, harms it, and then demands that the same
process serves again.
"""

import contextlib
import functools
import itertools
import pathlib
import random
import resource
import signal
import socket

import orjson
import pytest
import trio

from agatetack.generated.keyed.ttypes import StartRequest
from agatetack.streams import LINGER_NONE
from agatetack.testing.store_fleet import REGISTRATIONS
from agatetack.thrift_codec import encode
from bench.soak.connection import Connection, ConnectionCut
from bench.soak.deploy_file import build, read_role
from bench.soak.machines import (
    CALLERS_PORT,
    CONTROL_PORT,
    INTERNAL_PORTS,
    READY_PORT,
    make_hosts,
)
from bench.soak.site import small_site
from bench.soak.world import World

ROOT = pathlib.Path(__file__).parents[2]
PATIENCE_SECONDS = 60
RECEIVE_BYTES = 1 << 16

DEAF_SECONDS = 2
"""How long hosts stay without descriptors; readers of the store are replaced
within half of that."""

OUT = b"Accept failed"
"""What a host logs that has no descriptor for a connection."""

PORTS = (CALLERS_PORT, READY_PORT, CONTROL_PORT, *INTERNAL_PORTS)
"""Every port on which a host listens."""

READY_PATH = "/agatetack/readyz"
HEAD = b"GET /profile-read/x HTTP/1.1\r\nHost: profile-read.example\r\n"
NESTED = encode(StartRequest("h1", b'{"x":' + b"[" * 3000, False))
MESSAGES = (
    HEAD + b"Request-Id: a\r\n\r\n",
    b"POST /payout/x HTTP/1.1\r\nHost: payout.example\r\n"
    b"Content-Length: 99999\r\n\r\nshort",
    b"POST /payout/x HTTP/1.1\r\nHost: payout.example\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
    HEAD + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
    HEAD + b"Request-Timeout-Ms: " + b"9" * 5000 + b"\r\n\r\n",
    HEAD + b"X: " + b"y" * 70_000,
    b"\0\0\0\4junk",
    b"\0\0\0\1\0",
    b"\x7f\xff\xff\xff" + b"z" * 100,
    b"\0\0\x0b\xb8" + b"\xfc" + b"\x1c" * 2999,
    len(NESTED).to_bytes(4, "big") + NESTED,
    b"\x16\3\1\2\0\1\0\1\xfc\3\3" + b"t" * 200,
)
"""Messages that are cut, too long or meant for another port."""

ANSWERS = (
    b"",
    b"junk\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nhalf",
    b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"fffffffffffffff\r\nx",
    b"HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
    b"Connection: Upgrade\r\n\r\nx",
    b"HTTP/1.1 200 OK\r\nServer-Load: 1,1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nServer-Load: 9e99,nan,-1\r\nServer-Limit: "
    + b"9" * 400
    + b"\r\nWarmup-Remaining-Ms: inf\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 No\r\nRetry-After: " + b"9" * 400 + b"\r\n"
    b"Content-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nStore-Era: x\r\nContent-Length: 2\r\n\r\n[]",
    *(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        for body in (
            b"null",
            b'{"items":7,"end":1,"more":false}',
            b'{"items":[{"key":7,"value":"","offset":1}],"end":1,"more":0}',
            b'{"items":[{"key":"a","value":7,"offset":1}],"end":1,"more":0}',
            b'{"items":[],"end":"x","more":false}',
            b'{"items":[],"end":1e30,"more":false}',
            b'{"items":[],"end":-5,"more":true}',
            b'{"in_flight":1e30,"slots":-1}',
            b'{"offset":"x"}',
            b'{"offset":1e30}',
            b"[" * 5000,
            b"\0" * 15,
            b"\0" * 16 + b"\xff\xff\xff\xff",
            b"\0" * 16 + b"\0\0\0\0",
            b"\0" * 16 + b"\0\0\0\2\1\xff",
        )
    ),
)
"""Answers that are none, or none of the store and of a target."""


@pytest.fixture(scope="module")
def role():
    build(ROOT)
    return read_role(ROOT)


@contextlib.asynccontextmanager
async def attacked_fleet(role, folder, count, through=None):
    """Start hosts; yield them and their world, and then demand that all serve.

    Args:
        role: How the hosts are started.
        folder: Gets their settings and output.
        count: How many hosts.
        through: A relay in front of the store, or None.
    """
    site = small_site(count)
    world = World(site)
    async with trio.open_nursery() as nursery:
        await world.start(nursery)
        port = world.store_port
        if through is not None:
            port = await nursery.start(through.serve, port)
        hosts = make_hosts(site, role, f"127.0.0.1:{port}", folder)
        try:
            for host in hosts:
                host.start()
            processes = [host.process for host in hosts]
            for host in hosts:
                await until_ready(host)
            yield hosts, world
            for host, process in zip(hosts, processes, strict=True):
                await until_serving(host)
                assert host.process is process
                assert b"Traceback" not in process.output.read_bytes()
                assert b"Traceback" not in process.errors.read_bytes()
        finally:
            for host in hosts:
                host.kill()
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def attacked(role, folder, through=None):
    """Do the same with one host."""
    async with attacked_fleet(role, folder, 1, through) as (hosts, world):
        yield hosts[0], world


async def until(holds):
    with trio.fail_after(PATIENCE_SECONDS):
        while not await holds():
            await trio.sleep(0.02)


async def status_of(host, path, name, port):
    """Return the status of the answer to one request, 0 without an answer."""
    assert host.running, host.process.output.read_text()
    try:
        connection = Connection(await trio.open_tcp_stream(host.ip, port))
    except OSError:
        return 0
    head = f"GET {path} HTTP/1.1\r\nHost: {name}\r\nRequest-Id: r1\r\n\r\n"
    try:
        await connection.send(head.encode())
        return (await connection.receive()).status
    except ConnectionCut:
        return 0
    finally:
        await connection.close()


async def until_ready(host):
    async def is_ready():
        return await status_of(host, READY_PATH, "ready", READY_PORT) == 200

    await until(is_ready)


async def until_serving(host):
    await until_ready(host)
    await until(functools.partial(serves, host))


async def serves(host):
    path, name = "/profile-read/x", "profile-read.example"
    return await status_of(host, path, name, CALLERS_PORT) == 200


async def send_and_leave(ip, port, content, reset):
    """Send bytes on a connection of their own, and close or reset it."""
    with contextlib.suppress(OSError, trio.BrokenResourceError):
        stream = await trio.open_tcp_stream(ip, port)
        async with stream:
            await stream.send_all(content)
            if reset:
                stream.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
                )


# Guards against bytes from outside that end a process.
@pytest.mark.parametrize("port", PORTS)
async def test_bytes_on_a_port_end_nothing(role, tmp_path, port):
    source = random.Random(f"bytes {port}")
    contents = [*MESSAGES]
    for message in MESSAGES:
        contents += [message[:end] for end in range(min(len(message), 60))]
        changed = bytearray(message)
        for place in source.sample(range(len(changed)), min(4, len(changed))):
            changed[place] = source.randrange(256)
        contents.append(bytes(changed))
    contents += [source.randbytes(source.randrange(300)) for _ in range(100)]
    async with attacked(role, tmp_path) as (host, _):
        for number, content in enumerate(contents):
            await send_and_leave(host.ip, port, content, number % 2)


# Guards against hosts that end, or stay deaf, once descriptors ran out.
@pytest.mark.parametrize("limit", [30, 60, 100])
async def test_hosts_without_descriptors_serve_once_there_are(
    role, tmp_path, limit
):
    async with attacked_fleet(role, tmp_path, 3) as (hosts, world):
        before = [cap_descriptors(host, limit) for host in hosts]
        async with contextlib.AsyncExitStack() as stack:
            for host, number in itertools.product(hosts, range(2 * limit)):
                port = PORTS[number % len(PORTS)]
                stream = await trio.open_tcp_stream(host.ip, port)
                await stack.enter_async_context(stream)
            world.publish()
            for host in hosts:
                host.signal(signal.SIGHUP)
                await until(functools.partial(has_logged, host, OUT))
            with trio.move_on_after(DEAF_SECONDS):
                while True:
                    for host in hosts:
                        await serves(host)
        for host, limits in zip(hosts, before, strict=True):
            pid = host.process.popen.pid
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)


def cap_descriptors(host, limit):
    """Limit a host's descriptors; return the limits before."""
    pid = host.process.popen.pid
    before = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, before[1]))
    return before


async def has_logged(host, text):
    found = host.process.output.read_bytes() + host.process.errors.read_bytes()
    return text in found


# Guards against a settings file that ends the host when it is read again.
@pytest.mark.parametrize("how", ["gone", "folder", "unreadable", "binary"])
async def test_a_settings_file_that_cannot_be_read_ends_nothing(
    role, tmp_path, how
):
    async with attacked(role, tmp_path) as (host, _):
        kept = host.config.read_bytes()
        host.config.unlink()
        if how == "folder":
            host.config.mkdir()
        elif how == "unreadable":
            host.config.symlink_to(host.config)
        elif how == "binary":
            host.config.write_bytes(random.Random(1).randbytes(4096))
        host.signal(signal.SIGHUP)
        await until(functools.partial(has_logged, host, b"refused"))
        if how == "folder":
            host.config.rmdir()
        else:
            host.config.unlink(missing_ok=True)
        host.config.write_bytes(kept)
        host.signal(signal.SIGHUP)
        await until(functools.partial(has_logged, host, b"in-force"))


class Meddler:
    """A relay that can answer in place of the store.

    Attributes:
        answers: What it answers, in turn; None while it relays.
        given: How many answers it has given.
    """

    def __init__(self):
        self.answers = None
        self.given = 0
        self.store_port = 0

    async def serve(self, store_port, task_status=trio.TASK_STATUS_IGNORED):
        self.store_port = store_port
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        task_status.started(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        with contextlib.suppress(trio.BrokenResourceError):
            if self.answers is not None:
                await stream.receive_some(RECEIVE_BYTES)
                self.given += 1
                await stream.send_all(next(self.answers))
                return
            store = await trio.open_tcp_stream("127.0.0.1", self.store_port)
            async with store, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, stream, store, nursery)
                nursery.start_soon(self._pump, store, stream, nursery)

    async def _pump(self, source, sink, nursery):
        with contextlib.suppress(trio.BrokenResourceError):
            while self.answers is None:
                data = b""
                with trio.move_on_after(0.05):
                    data = await source.receive_some(RECEIVE_BYTES)
                    if not data:
                        break
                if data:
                    await sink.send_all(data)
        nursery.cancel_scope.cancel()


# Guards against answers of the store that end who reads them.
@pytest.mark.parametrize("started", [True, False])
async def test_answers_of_a_store_end_nothing(role, tmp_path, started):
    meddler = Meddler()
    turns = 2 if started else 3
    if not started:
        meddler.answers = itertools.cycle(ANSWERS)

    async def has_answered():
        return meddler.given >= turns * len(ANSWERS)

    async def relay_later():
        await until(has_answered)
        meddler.answers = None

    async with trio.open_nursery() as nursery:
        if not started:
            nursery.start_soon(relay_later)
        async with attacked(role, tmp_path, meddler) as (host, world):
            if started:
                meddler.answers = itertools.cycle(ANSWERS)
                await relay_later()
            world.publish()
            assert host.running


# Guards against a reply that takes more memory than the machine has.
async def test_a_huge_answer_of_a_store_is_not_kept(role, tmp_path):
    meddler = Meddler()
    body = b'{"items":[],"end":1,"more":false,"x":"' + b"x" * (60 << 20) + b'"}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    async with attacked(role, tmp_path, meddler) as (host, world):
        meddler.answers = itertools.repeat(head + body)

        async def has_answered():
            return meddler.given >= 12

        await until(has_answered)
        meddler.answers = None
        world.publish()
        assert peak_mb(host) < host.fields["limits"]["memory_mb"]


def peak_mb(host):
    """Return the most resident memory that the host's process ever had."""
    status = pathlib.Path(f"/proc/{host.process.popen.pid}/status").read_text()
    (line,) = [row for row in status.splitlines() if row.startswith("VmHWM")]
    return int(line.split()[1]) >> 10


# Guards against answers of a target that end who asked it.
async def test_answers_of_a_target_end_nothing(role, tmp_path):
    answers = itertools.cycle(ANSWERS)
    given = 0

    async def answer(stream):
        nonlocal given
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some(RECEIVE_BYTES):
                given += 1
                content = next(answers)
                await stream.send_all(content)
                if not content:
                    return

    async def has_answered():
        return given >= 4 * len(ANSWERS)

    async with (
        trio.open_nursery() as nursery,
        attacked(role, tmp_path) as (host, world),
    ):
        listeners = await nursery.start(
            functools.partial(trio.serve_tcp, answer, 0, host="127.0.0.1")
        )
        port = listeners[0].socket.getsockname()[1]
        placed = next(iter(world.targets.values()))
        for number in range(3):
            fields = orjson.loads(placed.registration())
            fields["address"] = f"127.0.0.1:{port}"
            name = f"i-bad-{number}"
            world.store.append(REGISTRATIONS, name, orjson.dumps(fields))

        async def ask_until_answered():
            while not await has_answered():
                await serves(host)

        with trio.fail_after(PATIENCE_SECONDS):
            await ask_until_answered()
        for number in range(3):
            world.store.append(REGISTRATIONS, f"i-bad-{number}", b"")
        nursery.cancel_scope.cancel()
