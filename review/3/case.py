"""Machines get SIGTERM while requests wait in their queues for a server."""

import asyncio
import dataclasses
import signal

from review.standins.case import Case, main, route
from review.standins.clients import is_ready, send
from review.standins.servers import Server

HOSTS = 3
SERVERS = 4
PER_SECOND = 6.85
WORK_SECONDS = 0.48
TIMEOUT_MS = 8000
GRACE_SECONDS = 6.0
LOSS_SLACK_SECONDS = 0.2
DRAIN_SECONDS = 2.0
TAKEN_AWAY_SECONDS = (3.0, 6.0, 9.0)
"""When three of the four servers begin to leave, one at a time."""

STOP_SECONDS = (20.0, 28.0, 36.0)
"""When each machine is stopped; it is started again once it has ended."""

RESTART_SECONDS = 0.5
LOAD_SECONDS = 46.0
ROUTE = "scan"


@dataclasses.dataclass
class Sent:
    """One request.

    Attributes:
        host: The machine that took it.
        at: When its last byte was sent.
        ended: When its channel ended or the answer was there.
        status: The answer's status; None without a complete answer.
    """

    host: int
    at: float
    ended: float = 0.0
    status: int | None = None


class Entry:
    """The platform's entry: asks each machine once a second."""

    def __init__(self, case: Case):
        """Use all machines."""
        self.case = case
        self.misses = [0] * HOSTS

    async def run(self) -> None:
        """Ask until cancelled; two misses take a machine out."""
        while True:
            await asyncio.sleep(1.0)
            for number, host in enumerate(self.case.hosts):
                ready = await is_ready((host.ip, host.ready))
                self.misses[number] = 0 if ready else self.misses[number] + 1

    def choose(self, client: int) -> int:
        """Return the machine that a client's next channel goes to."""
        usable = [n for n in range(HOSTS) if self.misses[n] < 2]
        return usable[client % len(usable)]


async def take_away(case: Case, servers: list[Server]) -> None:
    """Empty all servers but one, one at a time, as planned work does."""
    passed = 0.0
    for server, at in zip(servers[1:], TAKEN_AWAY_SECONDS, strict=True):
        await asyncio.sleep(at - passed)
        passed = at
        case.note("server", server.name, "is draining")
        server.leaving = True
        await server.beat("draining")
        asyncio.get_running_loop().create_task(leave(case, server))


async def leave(case: Case, server: Server) -> None:
    """End a server once it has drained and is idle."""
    await asyncio.sleep(DRAIN_SECONDS + 1.0)
    while server.running or server.waiting:
        await asyncio.sleep(0.05)
    await case.store.put("keyed.servers", server.name, None)
    server.crash()


async def stop_in_turn(case: Case, told: list[float]) -> None:
    """Stop and start all machines in turn, as the platform does.

    Args:
        case: The case.
        told: Gets the time at which each machine was told.
    """
    loop = asyncio.get_running_loop()
    begin = loop.time()
    for host, at in zip(case.hosts, STOP_SECONDS, strict=True):
        await asyncio.sleep(begin + at - loop.time())
        told.append(loop.time())
        case.note("platform sends SIGTERM to", host.name)
        host.signal(signal.SIGTERM)
        while host.process.poll() is None:
            await asyncio.sleep(0.01)
            if loop.time() > told[-1] + GRACE_SECONDS:
                case.note("platform kills", host.name)
                host.end()
        case.note(host.name, "has ended with", host.process.returncode)
        await asyncio.sleep(RESTART_SECONDS)
        host.start()


async def play(case: Case) -> bool:
    """Return whether the stop has cut a request that it may not cut."""
    await case.store.start()
    servers = [
        Server(
            f"i-{number}",
            "trail",
            case.store,
            case.note,
            work_seconds=WORK_SECONDS,
        )
        for number in range(1, SERVERS + 1)
    ]
    for server in servers:
        await server.start()
    routes = [
        route(
            ROUTE,
            "idempotent",
            "trail",
            timeout=f"{TIMEOUT_MS}ms",
            target_latency="1200ms",
        )
    ]
    await case.publish(3, routes, ["trail"])
    await case.start_hosts(HOSTS)
    loop = asyncio.get_running_loop()
    entry = Entry(case)
    tasks = [
        asyncio.create_task(entry.run()),
        asyncio.create_task(beat(servers)),
        asyncio.create_task(take_away(case, servers)),
    ]
    requests: dict[str, Sent] = {}

    async def scan(number: int) -> None:
        request_id, chosen = f"rq{number:06}", entry.choose(number)
        host = case.hosts[chosen]
        sent = requests[request_id] = Sent(chosen, loop.time())
        case.note("client sends", request_id, "to", host.name)
        _, answer = await send(
            (host.ip, host.front),
            "GET",
            f"{ROUTE}.example",
            f"/{ROUTE}/deed",
            TIMEOUT_MS,
            request_id=request_id,
        )
        sent.ended = loop.time()
        sent.status = None if answer is None else answer.status
        case.note("client gets", sent.status, "for", request_id)

    told: list[float] = []
    async with asyncio.TaskGroup() as group:
        if case.trouble:
            group.create_task(stop_in_turn(case, told))
        for number in range(int(LOAD_SECONDS * PER_SECOND)):
            group.create_task(scan(number))
            await asyncio.sleep(1 / PER_SECOND)
    for task in tasks:
        task.cancel()
    return judge(case, servers, requests, told)


def judge(
    case: Case,
    servers: list[Server],
    requests: dict[str, Sent],
    told_all: list[float],
) -> bool:
    """Note the requests that the stop has cut, without those excused."""
    lost = []
    for request_id, sent in requests.items():
        if sent.status is not None or sent.host >= len(told_all):
            continue
        told = told_all[sent.host]
        if not told <= sent.ended <= told + GRACE_SECONDS + 1.0:
            continue
        spans = [s.spans[request_id] for s in servers if request_id in s.spans]
        held = sent.ended - sent.at
        if held >= TIMEOUT_MS / 1000 - 0.05:
            excuse = "deadline"
        elif not spans and held <= LOSS_SLACK_SECONDS:
            excuse = "crossed the close"
        elif sent.at <= told + 3.0 and any(
            end >= told + GRACE_SECONDS * 5 / 6 for _, end in spans
        ):
            excuse = "its server was at work in the last sixth"
        else:
            excuse = ""
            lost.append(request_id)
        case.note(
            request_id,
            f"sent {sent.at - told:+.2f} s, cut {sent.ended - told:+.2f} s"
            " from the SIGTERM,",
            "passed on," if spans else "not passed on,",
            excuse or "LOST",
        )
    case.note("LOST:", len(lost), "requests:", lost)
    return bool(lost)


async def beat(servers: list[Server]) -> None:
    """Have the servers that stay report regularly."""
    while True:
        await asyncio.sleep(1.5)
        for server in servers:
            if not server.leaving:
                await server.beat()


main("review/3/record.txt", play)
