"""Ask hosts, as callers do, which version of the configuration they serve.

Each version adds a route, drops the one that the version before it added for
itself, and moves another one to the next service. What becomes of requests for
these shows when a host handles them as only an older version allows.
"""

import bisect
import dataclasses
import enum
import itertools
from collections.abc import Mapping, Sequence

import trio

from agatetack.ids import Deadline, ServiceId
from agatetack.unique import unique_name
from bench.soak.connection import Connection, ConnectionCut
from bench.soak.host import Host
from bench.soak.machines import CALLERS_PORT

APPLY_SECONDS = 2.0
"""`config_apply`: time after its confirmation until a version is in force."""

LOOK_SECONDS = 0.1
"""Interval at which each host is asked for one of the routes."""

MAX_LOOKS_PER_SECOND = 250
"""Most requests a second at all hosts; hosts are asked less often then."""

TIMEOUT_SECONDS = 1.0
"""Longest time to wait for an answer, which then shows nothing."""

MOVED_HOST = "moved.example"

UNKNOWN_STATUS = 404


class Probe(enum.Enum):
    """Which route a host is asked for."""

    ADDED = "added"
    DROPPED = "dropped"
    MOVED = "moved"


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """A request that was handled as only an older version allows.

    Attributes:
        host: The host's id.
        probe: Which route was asked for.
        at: When the request was sent, in seconds of the run.
        version: The version that had to be in force then.
        confirmed_seconds: How long that version had been confirmed.
        up_seconds: How long the host's process had run.
        stopping: Whether that process had been told to end.
    """

    host: str
    probe: Probe
    at: float
    version: int
    confirmed_seconds: float
    up_seconds: float
    stopping: bool


class Versions:
    """The versions of the configuration, by the time of their confirmation.

    Attributes:
        services: The services to which one route is moved in turn.
        idle_routes: Routes of each version that nobody asks for, which make a
            large configuration.
        confirmed_at: When each version was confirmed, the first one first.
    """

    def __init__(self, services: Sequence[ServiceId], idle_routes: int = 0):
        """Start without any version."""
        self.services = services
        self.idle_routes = [
            _route(f"idle-{number}.example", services[0])
            for number in range(idle_routes)
        ]
        self.confirmed_at: list[Deadline] = []

    @property
    def newest(self) -> int:
        """Return the newest version, 0 without any."""
        return len(self.confirmed_at)

    def due(self, sent_at: float) -> int:
        """Return the oldest version that a request may be handled by."""
        return max(
            1, bisect.bisect_right(self.confirmed_at, sent_at - APPLY_SECONDS)
        )

    def service(self, version: int) -> ServiceId:
        """Return where a version sends requests of the route that moves."""
        return self.services[version % len(self.services)]

    def routes(self, version: int) -> Sequence[Mapping[str, str]]:
        """Return names, hosts and services of the routes of a version."""
        first = self.services[0]
        added = [
            _route(added_host(each), first) for each in range(1, version + 1)
        ]
        return [
            *self.idle_routes,
            *added,
            _route(dropped_host(version), first),
            _route(MOVED_HOST, self.service(version)),
        ]


def _route(host: str, service: ServiceId) -> Mapping[str, str]:
    return {
        "name": host.partition(".")[0],
        "host": host,
        "service": str(service),
    }


def added_host(version: int) -> str:
    """Return the host of the route that a version added for good."""
    return f"version-{version}.example"


def dropped_host(version: int) -> str:
    """Return the host of the route that only one version has."""
    return f"only-{version}.example"


class Observer:
    """Asks all hosts all the time.

    Attributes:
        world: The store and the targets.
        epoch: The start of the run on trio's clock.
        interval: Time between two requests at one host, in seconds.
        asked: Number of answers that show whether a version is in force.
        stale: Requests that were handled by an older one.
    """

    def __init__(self, world, epoch: float):
        """Ask the hosts of `world`, which publishes the versions."""
        self.world = world
        self.versions: Versions = world.versions
        self.epoch = epoch
        self.interval = LOOK_SECONDS
        self.asked = 0
        self.stale: list[Stale] = []

    async def run(self, hosts: Sequence[Host]) -> None:
        """Ask `hosts` until cancelled."""
        self.interval = max(LOOK_SECONDS, len(hosts) / MAX_LOOKS_PER_SECOND)
        async with trio.open_nursery() as nursery:
            for number, host in enumerate(hosts):
                first = self.interval * number / len(hosts)
                nursery.start_soon(self._ask_all, host, first)

    async def _ask_all(self, host: Host, first: float) -> None:
        """Ask a host, on one connection for as long as it stays open."""
        await trio.sleep(first)
        connection = None
        for probe in itertools.cycle(Probe):
            started = trio.current_time()
            with trio.move_on_after(TIMEOUT_SECONDS):
                try:
                    if connection is None or not connection.open:
                        stream = await trio.open_tcp_stream(
                            host.ip, CALLERS_PORT
                        )
                        connection = Connection(stream)
                    await self._ask(host, connection, probe)
                except (OSError, ConnectionCut):
                    # It may be stopped or restarted just now.
                    pass
            if connection is not None and (
                not connection.usable or connection.reader.complete
            ):
                await connection.close()
                connection = None
            await trio.sleep_until(started + self.interval)

    async def _ask(
        self, host: Host, connection: Connection, probe: Probe
    ) -> None:
        connection.usable = False
        process, starts = host.process, host.starts
        sent_at = trio.current_time()
        due = self.versions.due(sent_at)
        name = {
            Probe.ADDED: added_host(due),
            Probe.DROPPED: dropped_host(due - 1),
            Probe.MOVED: MOVED_HOST,
        }[probe]
        request_id = unique_name()
        await connection.send(
            f"GET /x?service_ms=1 HTTP/1.1\r\nHost: {name}\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Request-Timeout-Ms: {TIMEOUT_SECONDS * 1000:.0f}\r\n\r\n".encode()
        )
        answer = await connection.receive()
        connection.usable = answer.keep_alive
        if len(host.processes) > 1 or host.starts != starts:
            # Another process may have answered.
            return
        is_old = self._is_old(probe, due, answer.status, request_id)
        if is_old is None:
            return
        self.asked += 1
        if is_old:
            self.stale.append(
                Stale(
                    str(host.id),
                    probe,
                    sent_at - self.epoch,
                    due,
                    sent_at - self.versions.confirmed_at[due - 1],
                    sent_at - process.started_at,
                    process.stopping,
                )
            )

    def _is_old(
        self, probe: Probe, due: int, status: int, request_id: str
    ) -> bool | None:
        """Return whether an answer is by an older version; None if unclear."""
        served = 200 <= status < 300
        if not served and status != UNKNOWN_STATUS:
            return None
        if probe is Probe.ADDED:
            return not served
        if probe is Probe.DROPPED:
            return served if due > 1 else None
        ran = self.world.service_that_ran(request_id)
        if not served or ran is None:
            return None
        allowed = range(due, self.versions.newest + 1)
        return ran not in {self.versions.service(each) for each in allowed}
