"""Play a trace on a fleet of real gateways, in virtual time.

Gateways, targets and callers talk over loopback TCP; only clocks are virtual.
"""

import dataclasses
import math

import httpcore
import trio
import trio.testing
from returns.result import Success

from agatetack.config.change import RouteChange
from agatetack.hosts.host_list import HostState
from agatetack.ids import Deadline, RouteId
from agatetack.testing.memory_log import LogFaults
from agatetack.testing.replay_fleet import (
    LOOPBACK,
    ReplayFleet,
    ReplayHost,
    set_fault,
)
from agatetack.testing.target_faults import Silence
from agatetack.testing.trace import (
    Arrivals,
    Change,
    Event,
    GatewayEvent,
    ListEvent,
    LogEvent,
    TargetAction,
    TargetEvent,
    Trace,
)

IDLE_SECONDS = 0.0
"""Real time without any event after which virtual time goes on."""

CALLER_GRACE_SECONDS = 2.0
"""How long callers wait beyond their deadline before they give up."""

TICKET_WAIT_MS = 20_000
ACCEPTED = 202
NO_ANSWER = 0


@dataclasses.dataclass(slots=True)
class Reply:
    """What one caller got.

    Attributes:
        name: The request's name, which is also its id.
        arrivals: The line that it comes from.
        key: Its idempotency key, or None.
        started: When it was sent.
        ended: When its reply was complete or had failed.
        status: The HTTP status, or 0 without a complete reply.
        headers: The reply's header fields, names in lower case.
        body: The reply's body.
        error: Why there is no complete reply, or "".
        ticket: Whether the request was accepted to be run later.
    """

    name: str
    arrivals: Arrivals
    key: str | None
    started: float
    ended: float = 0.0
    status: int = NO_ANSWER
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    ticket: bool = False

    @property
    def seconds(self) -> float:
        """Return how long the caller waited."""
        return self.ended - self.started


@dataclasses.dataclass(slots=True)
class Leaving:
    """A time during which a target was leaving.

    Attributes:
        name: The target's name.
        since: When it, or the list, first said so.
        until: When that was taken back.
    """

    name: str
    since: float
    until: float = math.inf


@dataclasses.dataclass(slots=True)
class Replay:
    """What came of a trace.

    Attributes:
        fleet: The fleet as it was in the end.
        replies: What callers got, in the order of their requests.
        accepted: Names of the changes that were accepted.
        leaving: When targets were leaving.
    """

    fleet: ReplayFleet
    replies: list[Reply] = dataclasses.field(default_factory=list)
    accepted: set[str] = dataclasses.field(default_factory=set)
    leaving: list["Leaving"] = dataclasses.field(default_factory=list)


class Player:
    """Plays the events of a trace."""

    def __init__(self, fleet: ReplayFleet, nursery: trio.Nursery):
        """Play on `fleet`; callers run in `nursery`."""
        self.fleet = fleet
        self.nursery = nursery
        self.replay = Replay(fleet)
        self.turn = 0
        self.actions = {
            Arrivals: self._arrive,
            TargetEvent: self._change_targets,
            LogEvent: self._change_log,
            ListEvent: self._change_list,
            GatewayEvent: self._kill,
            Change: self._apply,
        }

    async def play(self, events: list[Event]) -> None:
        """Play all events, each at its time."""
        for event in events:
            await trio.sleep_until(self.fleet.started + event.at)
            self.actions[type(event)](event)

    def _arrive(self, line: Arrivals) -> None:
        self.nursery.start_soon(self._send_all, line)

    async def _send_all(self, line: Arrivals) -> None:
        start = self.fleet.started + line.at
        for number in range(line.count):
            await trio.sleep_until(start + number * line.every_ms / 1000)
            name = line.name if line.count == 1 else f"{line.name}-{number + 1}"
            key = line.key and line.key.replace("{name}", name)
            reply = Reply(name, line, key, trio.current_time())
            self.replay.replies.append(reply)
            host = self._next_host(line.gateway)
            self.nursery.start_soon(self._send, host, reply)

    def _next_host(self, number: int) -> ReplayHost:
        if number:
            return self.fleet.host(number)
        alive = [host for host in self.fleet.hosts if host.alive]
        self.turn += 1
        return alive[self.turn % len(alive)]

    async def _send(self, host: ReplayHost, reply: Reply) -> None:
        seconds = reply.arrivals.deadline_ms / 1000 + CALLER_GRACE_SECONDS
        async with httpcore.AsyncConnectionPool() as http:
            with trio.move_on_after(seconds) as patience:
                try:
                    await self._exchange(http, host, reply)
                except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                    reply.error = repr(error)
                    reply.status = NO_ANSWER
        if patience.cancelled_caught:
            reply.error = "the caller gave up"
            reply.status = NO_ANSWER
        reply.ended = trio.current_time()

    async def _exchange(
        self, http: httpcore.AsyncConnectionPool, host: ReplayHost, reply: Reply
    ) -> None:
        line = reply.arrivals
        response = await http.request(
            line.method,
            f"http://{LOOPBACK}:{host.port}{line.path}",
            headers=self._headers(reply),
            content=line.body.encode(),
        )
        headers = _fields(response)
        if response.status == ACCEPTED and "location" in headers:
            reply.ticket = True
            other = self._host_for_polls()
            path = f"{headers['location']}?wait-ms={TICKET_WAIT_MS}"
            response = await http.request(
                "GET",
                f"http://{LOOPBACK}:{other.port}{path}",
                headers={"x-deadline-ms": str(TICKET_WAIT_MS)},
            )
        reply.status = response.status
        reply.headers = _fields(response)
        reply.body = response.content

    def _host_for_polls(self) -> ReplayHost:
        """Return the last live gateway, so that others may end meanwhile."""
        return [host for host in self.fleet.hosts if host.alive][-1]

    def _headers(self, reply: Reply) -> dict[str, str]:
        names = self.fleet.settings.callers.headers
        headers = {
            names.request_id: reply.name,
            names.deadline_ms: str(reply.arrivals.deadline_ms),
        }
        if reply.key is not None:
            wall_ms = int(self.fleet.clock.wall() * 1000)
            headers[names.idempotency_key] = reply.key
            headers[names.issued_at] = str(wall_ms)
        return headers

    def _change_targets(self, event: TargetEvent) -> None:
        for name in event.names:
            target = self.fleet.targets[name]
            for fault, value in event.faults.items():
                set_fault(target.faults, fault, value)
            match event.action:
                case TargetAction.DRAIN:
                    target.drain()
                case TargetAction.REFUSE:
                    target.refuse()
                case TargetAction.CRASH:
                    target.crash()
                case TargetAction.RESTART:
                    target.restart()
                case TargetAction.LOSE_REQUESTS:
                    target.silence(Silence.REQUEST_LOST)
                case TargetAction.LOSE_ANSWERS:
                    target.silence(Silence.ANSWER_LOST)
                case TargetAction.START_COLD:
                    target.start_cold(event.seconds)
            self._note_leaving(name, target.faults.draining)

    def _note_leaving(self, name: str, leaving: bool) -> None:
        now = trio.current_time()
        spans = [span for span in self.replay.leaving if span.name == name]
        already = bool(spans) and spans[-1].until == math.inf
        if leaving and not already:
            self.replay.leaving.append(Leaving(name, now))
        elif already and not leaving:
            spans[-1].until = now

    def _change_log(self, event: LogEvent) -> None:
        faults: LogFaults = self.fleet.service.faults
        if event.gateway:
            faults = self.fleet.host(event.gateway).log.faults
        for fault, value in event.faults.items():
            set_fault(faults, fault, value)
        faults.next_appends.extend(event.next_appends)

    def _change_list(self, event: ListEvent) -> None:
        fleet = self.fleet
        if event.outage is not None:
            fleet.host_list.outage = event.outage
        for name in event.leaving:
            entry = fleet.entries[name]
            fleet.listed[name] = dataclasses.replace(
                entry, state=HostState.LEAVING
            )
            self._note_leaving(name, True)
        for name in event.missing:
            fleet.listed.pop(name, None)
        for name in event.listed:
            fleet.listed[name] = fleet.entries[name]
        fleet.show_list()

    def _kill(self, event: GatewayEvent) -> None:
        self.fleet.kill(event.gateway)

    def _apply(self, line: Change) -> None:
        config = self.fleet.host(line.gateway).gateway.config
        table = self.fleet.host(line.gateway).gateway.routes.table
        route = dataclasses.replace(
            table.routes[RouteId(line.service)],
            deadline_seconds=line.deadline_seconds,
        )
        change = self.fleet.make_change(line.name, route)
        self.nursery.start_soon(self._wait_for_change, config.apply, change)

    async def _wait_for_change(self, apply, change: RouteChange) -> None:
        deadline = Deadline(trio.current_time() + CALLER_GRACE_SECONDS)
        result = await apply(change, deadline)
        if isinstance(result, Success):
            self.replay.accepted.add(change.change_id)


def _fields(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode().lower(): value.decode("latin-1")
        for name, value in response.headers
    }


async def play_trace(trace: Trace) -> Replay:
    """Play `trace` and return what came of it; needs a mock clock."""
    async with trio.open_nursery() as world:
        fleet = ReplayFleet(trace, world)
        await fleet.start()
        async with trio.open_nursery() as callers:
            player = Player(fleet, callers)
            await player.play(trace.events)
            await trio.sleep_until(fleet.started + trace.about.seconds)
        world.cancel_scope.cancel()
    return player.replay


def run_trace(trace: Trace) -> Replay:
    """Play `trace` in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=IDLE_SECONDS)
    return trio.run(play_trace, trace, clock=clock)
