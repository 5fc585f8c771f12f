"""Build fleets of configuration stores over one log and one mesh."""

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator

import trio

from agatetack.clock import FixedClock
from agatetack.config.change import RouteChange
from agatetack.config.records import CONFIG_STREAM
from agatetack.config.route import RequestClass, Route, RouteSource
from agatetack.config.store import ChangeResult, ConfigStore
from agatetack.ids import (
    ChangeId,
    HostId,
    RouteId,
    ServiceId,
    StreamId,
    TeamId,
)
from agatetack.metrics import Metrics
from agatetack.record_log.log import LogPage
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.memory_log import MemoryLog, MemoryLogService

IN_FORCE_SECONDS = 5.0
"""Time in which an accepted change must be in force on every host."""

SEED = 5
"""Seeds the random waits of the stores."""


def make_change(
    change_id: str, route_id: str = "a", expected: int = -1, **fields
) -> RouteChange:
    """Return a change that puts a route in; `fields` are of the route."""
    route = Route(
        RouteId(route_id),
        TeamId("team"),
        ServiceId("service"),
        RequestClass.FAST,
        f"/{route_id}",
    )
    return RouteChange(
        ChangeId(change_id),
        RouteId(route_id),
        dataclasses.replace(route, **fields),
        expected,
        "ann",
        1_700_000_000.0,
    )


class CountingLog(MemoryLog):
    """A client of the log that counts its reads.

    Attributes:
        reads: Reads of the configuration stream.
    """

    reads = 0

    async def read(self, stream: StreamId, *args, **kwargs) -> LogPage:
        """Count one read and pass it on."""
        self.reads += stream == CONFIG_STREAM
        return await super().read(stream, *args, **kwargs)


class Fleet:
    """Hosts over one log and one mesh."""

    def __init__(self, nursery: trio.Nursery, **sections):
        """Start without hosts; `sections` are of their settings."""
        self.nursery = nursery
        self.mesh = MemoryMesh(nursery)
        self.service = MemoryLogService(FixedClock())
        self.sections = sections
        self.hosts: dict[str, ConfigStore] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    async def start(self, name: str) -> ConfigStore:
        """Start a host, without waiting for its configuration."""
        settings = default_settings(host={"id": name}, **self.sections)
        store = ConfigStore(
            settings,
            CountingLog(self.service, self.nursery),
            self.mesh.join(HostId(name)),
            RouteSource(),
            Metrics(),
            self.service.clock,
        )
        self.hosts[name] = store
        self.scopes[name] = trio.CancelScope()
        await self.nursery.start(self._run, name)
        return store

    async def _run(self, name: str, task_status) -> None:
        with self.scopes[name]:
            await self.hosts[name].run(task_status)

    def stop(self, name: str) -> None:
        """Lose a host and all it has."""
        self.scopes[name].cancel()
        self.mesh.leave(HostId(name))
        del self.hosts[name]

    def assert_agreed(self) -> None:
        """Check that every host is ready with the same routes in force."""
        first, *others = self.hosts.values()
        assert first.ready
        assert first.state.source.table.routes == {
            route.id: route for route in first.fold.routes()
        }
        for other in others:
            assert other.ready
            assert vars(other.fold) == vars(first.fold)
            table = other.state.source.table
            assert table.routes == first.state.source.table.routes


@contextlib.asynccontextmanager
async def open_fleet(count: int = 3, **sections) -> AsyncIterator[Fleet]:
    """Start hosts with these sections of settings, and stop them after."""
    random.seed(SEED)
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, **sections)
        for index in range(count):
            await fleet.start(f"host-{index}")
        await trio.sleep(IN_FORCE_SECONDS)
        yield fleet
        nursery.cancel_scope.cancel()


async def apply(
    store: ConfigStore, change: RouteChange, seconds: float = 3.0
) -> ChangeResult:
    """Apply a change and wait this long at most."""
    return await store.apply(change, trio.current_time() + seconds)
