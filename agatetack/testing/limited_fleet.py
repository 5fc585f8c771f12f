"""Run hosts and targets that limit what they take in one process, for tests.

All of them run on one clock, which a test may let jump, and talk over
loopback, so that everything that reaches a target is seen there.
"""

import contextlib
import contextvars
import dataclasses
import random
from collections.abc import AsyncIterator, Mapping, Sequence

import pytest
import trio

from agatetack.attempts.race import AttemptRunner
from agatetack.config.route import Route
from agatetack.gateway_core import GatewayCore
from agatetack.hosts.listed_target import ListedTarget
from agatetack.ids import Deadline, HostId
from agatetack.messages import Header, read_whole
from agatetack.peers.mesh import PeerExchange
from agatetack.platform.load_header import CommaSeparatedLoadReader
from agatetack.streams import PlainStream, open_plain_stream
from agatetack.testing.fake_target import Arrival, FakeTarget, FakeTargetOptions
from agatetack.testing.peer_fleet import StaticDirectory, listed
from agatetack.testing.store_fleet import template_settings
from agatetack.testing.targets import (
    SERVICE,
    loopback_target,
    make_request,
    make_route,
)

SERVICE_SECONDS = 0.1
SLOTS = 2

NO_STORE_PORT = 1
"""Stands in the settings of hosts that read no store."""

OPENERS = (
    "agatetack.targets.connection.open_plain_stream",
    "agatetack.measure.http_probe.open_plain_stream",
)
"""What opens connections to targets."""

current_host: contextvars.ContextVar[HostId] = contextvars.ContextVar("host")
"""The host whose task this is."""


class Openers:
    """Tells which host opened a connection.

    The kernel gives one local port to connections of several hosts if they go
    to different targets, and to one after another if they go to the same.

    Attributes:
        opened: For each pair of local port and target's port the hosts that
            opened a connection, with when each did so.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self.opened: dict[tuple[int, int], list[tuple[Deadline, HostId]]] = {}

    def note(self, local_port: int, target_port: int, host: HostId) -> None:
        """Note a connection that `host` has just opened."""
        now = Deadline(trio.current_time())
        pair = (local_port, target_port)
        self.opened.setdefault(pair, []).append((now, host))

    def find(self, local_port: int, target: FakeTarget, at: Deadline) -> HostId:
        """Return who had opened the connection that was in use at `at`."""
        hosts = [
            host
            for opened_at, host in self.opened[local_port, target.port]
            if opened_at <= at
        ]
        return hosts[-1]


@dataclasses.dataclass(slots=True)
class LimitedFleet:
    """Hosts, and the targets of one service.

    Attributes:
        hosts: The hosts.
        targets: The targets.
        directory: The list of hosts that all of them see.
        nursery: Runs all of them.
        openers: Tells which host opened a connection to a target.
        answered: Requests that were answered with success.
        refused: Requests that were refused, or failed.
    """

    hosts: list[GatewayCore]
    targets: list[FakeTarget]
    directory: StaticDirectory
    nursery: trio.Nursery
    openers: Openers = dataclasses.field(default_factory=Openers)
    answered: int = 0
    refused: int = 0

    def list_targets(self, targets: Sequence[FakeTarget]) -> None:
        """Let all hosts read a list that has only `targets`."""
        registrations = [_registration(target) for target in targets]
        for host in self.hosts:
            host.registry.update(registrations)

    async def press(
        self, seconds: float, per_second: float, seed: int = 1
    ) -> None:
        """Have callers send requests at random times to random hosts.

        Args:
            seconds: For how long.
            per_second: Requests a second, to all hosts together.
            seed: Of times and hosts.
        """
        rng = random.Random(seed)
        end = trio.current_time() + seconds
        number = 0
        while True:
            at = trio.current_time() + rng.expovariate(per_second)
            if at >= end:
                await trio.sleep_until(end)
                return
            await trio.sleep_until(at)
            host = rng.choice(self.hosts)
            number += 1
            self.nursery.start_soon(self._ask, host, f"r{seed}-{number}")

    async def _ask(self, host: GatewayCore, name: str) -> None:
        current_host.set(HostId(host.settings.host.id))
        route = make_route(target_latency_seconds=0.3, max_attempts=2)
        request = make_request(seconds=2.5, name=name)
        request.headers = [Header(b"request-id", name.encode())]
        if await _is_answered(host.attempts, route, request):
            self.answered += 1
        else:
            self.refused += 1

    def from_told(self, target: FakeTarget, after: float) -> list[Arrival]:
        """Return what came from hosts that had passed on a named rate.

        Args:
            target: The target.
            after: How long they must have, in seconds.
        """
        return self._from_told(target, target.rate_named, after)

    def sent_to_leaving(
        self, target: FakeTarget, after: float
    ) -> list[Arrival]:
        """Return the requests of hosts that `target` had told that it leaves.

        Args:
            target: The target.
            after: How long they may go on, in seconds.
        """
        told = target.said_to_leave
        came = self._from_told(target, told, after)
        return [arrival for arrival in came if not arrival.asks_load]

    def _from_told(
        self, target: FakeTarget, ports: Mapping[int, Deadline], after: float
    ) -> list[Arrival]:
        told: dict[HostId, Deadline] = {}
        for port, at in ports.items():
            host = self.openers.find(port, target, at)
            told[host] = min(at, told.get(host, at))
        return [
            arrival
            for arrival in target.arrivals
            if told.get(self._sender(target, arrival), float("inf"))
            <= arrival.at - after
        ]

    def _sender(self, target: FakeTarget, arrival: Arrival) -> HostId:
        return self.openers.find(arrival.port, target, arrival.at)

    def after_pushback(
        self, target: FakeTarget, after: float, seconds: float
    ) -> int:
        """Return the most that came from one host that was to stay away.

        Args:
            target: The target, which asked to be left alone for `seconds`
                whenever it shed a request.
            after: Seconds from such an answer that do not count.
            seconds: How long hosts were to stay away.
        """
        most = 0
        for shed in target.turned_away:
            host = self._sender(target, shed)
            came = [
                arrival
                for arrival in target.arrivals
                if self._sender(target, arrival) == host
                and shed.at + after <= arrival.at <= shed.at + seconds
            ]
            most = max(most, len(came))
        return most


async def _is_answered(runner: AttemptRunner, route: Route, request) -> bool:
    result = await runner.run(route, request, hedged=True)
    answer = result.value_or(None)
    if answer is None:
        return False
    await read_whole(answer.body)
    await answer.body.aclose()
    return True


def most_within(arrivals: Sequence[Arrival], seconds: float) -> int:
    """Return the most arrivals in any span of `seconds`."""
    times = [arrival.at for arrival in arrivals]
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


@contextlib.asynccontextmanager
async def limited_fleet(
    monkeypatch: pytest.MonkeyPatch,
    hosts: int,
    targets: int,
    linked: bool = True,
) -> AsyncIterator[LimitedFleet]:
    """Start hosts and targets; the hosts list each other.

    Args:
        monkeypatch: Notes who opens connections.
        hosts: How many hosts.
        targets: How many targets.
        linked: Whether hosts hear each other.
    """
    async with trio.open_nursery() as nursery:
        fleet = LimitedFleet([], [], StaticDirectory(), nursery)
        _note_openers(monkeypatch, fleet)
        for number in range(hosts):
            settings = template_settings(NO_STORE_PORT, f"h{number:03}")
            host = GatewayCore(settings, seed=number)
            host.build_target_side(
                fleet.directory,
                CommaSeparatedLoadReader(settings),
                {SERVICE: "/load"},
            )
            fleet.hosts.append(host)
        options = FakeTargetOptions(SLOTS, SERVICE_SECONDS, spread=0.3)
        for number in range(targets):
            own = dataclasses.replace(options, seed=number)
            target = FakeTarget(fleet.hosts[0].settings, own)
            # Its name decides which hosts send to it.
            target.instance = f"t{number}"
            await nursery.start(target.serve)
            fleet.targets.append(target)
        for host in fleet.hosts:
            await _start(fleet, host, linked)
        yield fleet
        nursery.cancel_scope.cancel()


def _note_openers(monkeypatch: pytest.MonkeyPatch, fleet: LimitedFleet) -> None:
    async def open_noted(ip: str, port: int) -> PlainStream:
        stream = await open_plain_stream(ip, port)
        local = stream.sock.getsockname()[1]
        fleet.openers.note(local, port, current_host.get())
        return stream

    for opener in OPENERS:
        monkeypatch.setattr(opener, open_noted)


async def _start(fleet: LimitedFleet, host: GatewayCore, linked: bool) -> None:
    current_host.set(HostId(host.settings.host.id))
    if linked:
        await fleet.nursery.start(host.peers.run)
    host.registry.update([_registration(each) for each in fleet.targets])
    _list(fleet.directory, host.peers)
    await fleet.nursery.start(host.prober.run)
    for task in (
        host.rounds.run,
        host.occupancy.run,
        host.client.pools.close_expired,
        host.attempts.hedger.run,
    ):
        fleet.nursery.start_soon(task)


def _list(directory: StaticDirectory, peers: PeerExchange) -> None:
    directory.replace([*directory.hosts, listed(peers)])


def _registration(target: FakeTarget) -> ListedTarget:
    return loopback_target(target.instance, target.port, SLOTS)
