"""Test that changes are decided once, spread everywhere and never go back."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator

import pytest
import trio
from returns.result import Success

from agatetack.clock import FixedClock
from agatetack.config.change import (
    NO_VERSION,
    Accepted,
    ChangeStatus,
    RejectReason,
    RouteChange,
)
from agatetack.config.route import RequestClass, Route, RouteSource
from agatetack.config.store import ChangeResult, ConfigStore
from agatetack.ids import ChangeId, HostId, RouteId, ServiceId, TeamId
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.memory_log import (
    AppendFault,
    MemoryLog,
    MemoryLogService,
)

LATE_SECONDS = 1.0
IN_FORCE_SECONDS = 5.0


def make_change(
    change_id: str, route_id: str = "a", expected: int = -1, **fields
) -> RouteChange:
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


class Fleet:
    """Hosts over one log and one mesh."""

    def __init__(self, nursery: trio.Nursery, **config):
        """Start without hosts."""
        self.nursery = nursery
        self.mesh = MemoryMesh(nursery)
        self.service = MemoryLogService(FixedClock())
        self.config = config
        self.hosts: dict[str, ConfigStore] = {}
        self.scopes: dict[str, trio.CancelScope] = {}

    async def start(self, name: str) -> ConfigStore:
        settings = default_settings(host={"id": name}, config=self.config)
        store = ConfigStore(
            settings,
            MemoryLog(self.service, self.nursery),
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
        self.scopes[name].cancel()
        self.mesh.leave(HostId(name))
        del self.hosts[name]

    async def settle(self, seconds: float = IN_FORCE_SECONDS) -> None:
        await trio.sleep(seconds)

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
async def open_fleet(count: int = 3, **config) -> AsyncIterator[Fleet]:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, **config)
        for index in range(count):
            await fleet.start(f"host-{index}")
        await fleet.settle()
        yield fleet
        nursery.cancel_scope.cancel()


async def apply(
    store: ConfigStore, change: RouteChange, seconds: float = 3.0
) -> ChangeResult:
    return await store.apply(change, trio.current_time() + seconds)


APPEND_FAULTS = [
    ([], Success(Accepted(0)), 1),
    ([AppendFault.TOO_FAST] * 2, Success(Accepted(0)), 1),
    ([AppendFault.REPLY_LOST], Success(Accepted(0)), 1),
    ([AppendFault.REQUEST_LOST], Success(Accepted(0)), 1),
    ([AppendFault.LANDS_LATE], Success(Accepted(0)), 2),
    ([AppendFault.REQUEST_LOST] * 2, Success(Accepted(0)), 1),
    ([AppendFault.LANDS_LATE, AppendFault.REPLY_LOST], Success(Accepted(0)), 2),
    (
        [AppendFault.LANDS_LATE, AppendFault.UNAVAILABLE],
        Success(Accepted(0)),
        2,
    ),
    ([AppendFault.UNAVAILABLE], RejectReason.LOG_UNAVAILABLE, 0),
    ([AppendFault.TOO_FAST] * 99, RejectReason.LOG_UNAVAILABLE, 0),
]


@pytest.mark.parametrize(("faults", "expected", "landed"), APPEND_FAULTS)
async def test_one_append_fault_or_two(
    faults, expected, landed, autojump_clock
):
    async with open_fleet() as fleet:
        fleet.service.faults.next_appends = list(faults)
        host = fleet.hosts["host-0"]
        result = await apply(host, make_change("one"))
        if isinstance(expected, RejectReason):
            assert result.failure().reason is expected
        else:
            assert result == expected
        await fleet.settle()
        assert fleet.service.ends.get("config", 0) == landed
        assert (RouteId("a") in host.state.source.table.routes) == (landed > 0)
        fleet.assert_agreed()


RACES = [
    (make_change("two", expected=-1), RejectReason.CONFLICT, 0),
    (make_change("two", expected=7), RejectReason.CONFLICT, 0),
    (
        make_change("two", "b", path_prefix="/a/"),
        RejectReason.PATH_TAKEN,
        0,
    ),
    (make_change("two", path_prefix="a"), RejectReason.INVALID, NO_VERSION),
    (make_change("one", max_queue=9), RejectReason.INVALID, 0),
]


@pytest.mark.parametrize(("change", "reason", "winner"), RACES)
async def test_second_writer_is_told_who_won(
    change, reason, winner, autojump_clock
):
    async with open_fleet() as fleet:
        assert await apply(
            fleet.hosts["host-0"], make_change("one")
        ) == Success(Accepted(0))
        result = await apply(fleet.hosts["host-1"], change)
        assert result.failure().reason is reason
        assert result.failure().version == winner
        fleet.assert_agreed()
        state = fleet.hosts["host-2"].change_state(ChangeId("one"))
        assert state.status is ChangeStatus.ACCEPTED
        assert state.version == 0
