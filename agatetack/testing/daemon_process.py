"""Run a host on a stand-in of the platform as a process of its own."""

import array
import contextlib
import fcntl
import os
import pathlib
import subprocess
import sys
import termios
from collections.abc import AsyncIterator, Callable, Mapping

import httpcore
import orjson
import trio

from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.store_fleet import (
    CONFIGURATION,
    LOOPBACK,
    REGISTRATIONS,
    configuration,
    registration,
    route_fields,
    template_settings,
    template_text,
)
from agatetack.testing.store_server import store_server

PATIENCE_SECONDS = 20

PIPE_BYTES = 4096
"""Smallest capacity of a pipe."""

LINE_BYTES = 500
"""More than the length of any log line in these tests."""

EXPORT_ROUTE = route_fields(
    name="route-export",
    host="export.example",
    path_prefix="/",
    route_type="download",
    timeout="20s",
)


class Daemon:
    """A daemon's process and its log lines.

    Attributes:
        process: The process.
        lines: The lines of its log so far.
    """

    def __init__(self, process: subprocess.Popen):
        """Follow `process`, whose standard output is a pipe."""
        self.process = process
        self.lines = []
        self.changed = trio.Event()
        self.may_read = trio.Event()
        self.may_read.set()

    def pause(self) -> None:
        """Stop reading the output; the kernel buffers at most 4 KB of it."""
        self.may_read = trio.Event()
        fcntl.fcntl(self.process.stdout, fcntl.F_SETPIPE_SZ, PIPE_BYTES)

    def is_stalled(self) -> bool:
        """Return whether no further line fits into the pipe."""
        size = array.array("i", [0])
        fcntl.ioctl(self.process.stdout, termios.FIONREAD, size)
        return size[0] > PIPE_BYTES - LINE_BYTES

    async def read(self) -> None:
        """Read the log until the process ends."""
        rest = b""
        stream = trio.lowlevel.FdStream(os.dup(self.process.stdout.fileno()))
        async with stream:
            async for data in stream:
                await self.may_read.wait()
                *lines, rest = (rest + data).split(b"\n")
                self.lines += [orjson.loads(line) for line in lines]
                self.changed.set()
                self.changed = trio.Event()

    async def line(self, **fields: object) -> Mapping[str, object]:
        """Wait for a line with these fields, and return it."""
        with trio.fail_after(PATIENCE_SECONDS):
            while True:
                for line in self.lines:
                    if fields.items() <= line.items():
                        return line
                await self.changed.wait()

    async def end(self) -> int:
        """Wait for the process to end, and return its exit status."""
        with trio.fail_after(PATIENCE_SECONDS):
            while self.process.poll() is None:
                await trio.sleep(0.02)
        return self.process.returncode


@contextlib.asynccontextmanager
async def running_daemon(
    path: pathlib.Path,
    change: Callable[[str], str] = lambda text: text,
    platform: Mapping[str, str] | None = None,
    options: FakeTargetOptions | None = None,
) -> AsyncIterator[tuple[Daemon, FakeTarget]]:
    """Start a store, one target and a host.

    Args:
        path: Where the host's settings are written.
        change: Changes the settings that the template gives.
        platform: What the platform fills into the template otherwise.
        options: How the target behaves.
    """
    store = MemoryStore()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(store_server(store).run)
        target = FakeTarget(template_settings(port), options)
        await nursery.start(target.serve)
        store.append(REGISTRATIONS, target.instance, registration(target))
        content = configuration(1, route_fields(), EXPORT_ROUTE)
        store.append(CONFIGURATION, "config", content)
        path.write_text(change(template_text(port, platform=platform)))
        process = subprocess.Popen(
            [sys.executable, "-m", "agatetack", "gateway"],
            stdout=subprocess.PIPE,
            env={**os.environ, "AGATETACK_CONFIG": str(path)},
        )
        daemon = Daemon(process)
        try:
            nursery.start_soon(daemon.read)
            yield daemon, target
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()
            process.stdout.close()
            nursery.cancel_scope.cancel()


async def ask(port: int, path: str = "/a/x", request_id: str = "r1") -> int:
    """Send a request on a connection of its own, and return the status."""
    headers = {"host": "a.example", "request-id": request_id}
    url = f"http://{LOOPBACK}:{port}{path}"
    async with httpcore.AsyncConnectionPool() as http:
        return (await http.request("GET", url, headers=headers)).status


async def wait_ready(port: int) -> None:
    """Wait until a host says that it is ready."""
    with trio.fail_after(PATIENCE_SECONDS):
        while await ask(port, "/agatetack/readyz") != 200:
            await trio.sleep(0.02)
