"""Bring up the platform in memory or over HTTP, with clients and faults."""

import contextlib
import dataclasses
import uuid
from collections.abc import AsyncIterator, Sequence

import trio

from agatetack.hosts.host_list import HostList
from agatetack.hosts.http_host_list import HttpHostList
from agatetack.ids import StreamId
from agatetack.record_log.http_log import HttpLog
from agatetack.record_log.log import Log
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import Settings
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import (
    LogFaults,
    MemoryLog,
    MemoryLogService,
)
from agatetack.testing.platform_server import HttpFaults, serve_platform

LOOPBACK = "127.0.0.1"
HOSTS = 2


def platform_settings(ip: str, port: int) -> Settings:
    """Return settings that name one server for the log and the host list."""
    endpoint = {"ip": ip, "port": port}
    return default_settings(
        platform={
            "log": {"endpoint": endpoint},
            "host_list": {"endpoint": endpoint},
        }
    )


def new_stream() -> StreamId:
    """Return a stream that nobody else uses."""
    return StreamId("contract-" + uuid.uuid4().hex)


@dataclasses.dataclass
class PlatformWorld:
    """One implementation of the platform with the clients of two hosts.

    Attributes:
        logs: Each host's client of the log.
        host_list: A client of the host list.
        service: The stand-in behind the log, or None for a real one.
        source: The stand-in behind the host list, or None for a real one.
        http: Faults of the way there, or None without HTTP.
        nursery: Runs the server, or None without HTTP.
        port: Where the server listens.
        life: Ends the server.
        stream: A stream that nobody else uses.
        ended: Set once the server has ended.
    """

    logs: Sequence[Log]
    host_list: HostList
    service: MemoryLogService | None = None
    source: MemoryHostList | None = None
    http: HttpFaults | None = None
    nursery: trio.Nursery | None = None
    port: int = 0
    life: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    stream: StreamId = dataclasses.field(default_factory=new_stream)
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)

    def kill(self) -> None:
        """End the server at once; its port refuses connections."""
        self.life.cancel()

    async def until_gone(self) -> None:
        """Wait until a server that was killed has closed its connections."""
        if self.life.cancel_called:
            await self.ended.wait()

    async def heal(self) -> None:
        """End all faults and start a killed server again."""
        self.service.faults = LogFaults()
        self.source.outage = False
        self.source.delay_seconds = 0.0
        if self.http is None:
            return
        for field in dataclasses.fields(HttpFaults):
            setattr(self.http, field.name, field.default)
        if self.life.cancel_called:
            await self.start()

    async def start(self) -> None:
        """Start the server, on the same port as before."""
        self.life = trio.CancelScope()
        self.ended = trio.Event()
        self.port = await self.nursery.start(self._serve, self.port)

    async def _serve(
        self, port: int, task_status: trio.TaskStatus[int]
    ) -> None:
        ended = self.ended
        with self.life:
            await serve_platform(
                self.service, self.source, self.http, port, task_status
            )
        ended.set()


@contextlib.asynccontextmanager
async def memory_world() -> AsyncIterator[PlatformWorld]:
    """Bring up the stand-ins alone."""
    service = MemoryLogService()
    source = MemoryHostList()
    async with trio.open_nursery() as nursery:
        logs = [MemoryLog(service, nursery) for _ in range(HOSTS)]
        yield PlatformWorld(logs, source, service, source)
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def http_world() -> AsyncIterator[PlatformWorld]:
    """Bring up the stand-ins behind their server, with the real clients."""
    async with trio.open_nursery() as nursery:
        world = PlatformWorld(
            (),
            MemoryHostList(),
            MemoryLogService(),
            MemoryHostList(),
            HttpFaults(),
            nursery,
        )
        await world.start()
        settings = platform_settings(LOOPBACK, world.port)
        world.logs = [HttpLog(settings) for _ in range(HOSTS)]
        world.host_list = HttpHostList(settings)
        yield world
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def real_world(address: str) -> AsyncIterator[PlatformWorld]:
    """Use a real service at `address`, written `ip:port`."""
    ip, _, port = address.rpartition(":")
    settings = platform_settings(ip, int(port))
    logs = [HttpLog(settings) for _ in range(HOSTS)]
    yield PlatformWorld(logs, HttpHostList(settings))
