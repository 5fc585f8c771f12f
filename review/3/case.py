"""A server crashes while it delivers the answer to a download with a body."""

import asyncio
import hashlib
import random

from review.standins.case import Case, main, route
from review.standins.clients import send
from review.standins.http import Message
from review.standins.servers import Plan, Server

SERVERS = 8
PER_SECOND = 8.0
LOAD_SECONDS = 20.0
FIRST_CRASH_SECONDS = 3.0
CRASH_EVERY_SECONDS = 5.0
DOWN_SECONDS = 4.5
CRASHES = 3
ANSWER_BYTES = 2_000_000
PAUSE_SECONDS = 0.2


def deliver(server: Server, request: Message) -> Plan:
    """Return the export that a request asks for, with its ETag."""
    wanted = hashlib.sha256(request.path.encode() + b"\n" + request.body)
    body = random.Random(wanted.digest()).randbytes(ANSWER_BYTES)
    etag = ("ETag", f'"{wanted.hexdigest()}"')
    return Plan(headers=[etag], body=body, pause_seconds=PAUSE_SECONDS)


class Fleet:
    """The servers; one that crashed comes back as a new boot."""

    def __init__(self, case: Case):
        """Start without servers."""
        self.case = case
        self.all: list[Server] = []
        self.up: list[Server] = []

    async def add(self) -> None:
        """Start one more server."""
        name = f"i-{len(self.all) + 1}"
        store, note = self.case.store, self.case.note
        server = Server(name, "export", store, note, work_seconds=0.05)
        server.plan = deliver
        await server.start()
        self.all.append(server)
        self.up.append(server)

    async def beat(self) -> None:
        """Have all servers report regularly."""
        while True:
            await asyncio.sleep(1.5)
            for server in self.up:
                await server.beat()

    async def crash(self) -> None:
        """Crash one server at a time while it delivers an answer."""
        await asyncio.sleep(FIRST_CRASH_SECONDS)
        for _ in range(CRASHES):
            while not (busy := [s for s in self.up if s.delivering]):
                await asyncio.sleep(0.02)
            await asyncio.sleep(PAUSE_SECONDS / 2)
            server = busy[0]
            self.up.remove(server)
            server.crash()
            await asyncio.sleep(DOWN_SECONDS)
            await self.case.store.put("keyed.servers", server.name, None)
            await self.add()
            await asyncio.sleep(CRASH_EVERY_SECONDS - DOWN_SECONDS)


async def play(case: Case) -> bool:
    """Return whether a server ran a request with another body than sent."""
    await case.store.start()
    fleet = Fleet(case)
    for _ in range(SERVERS):
        await fleet.add()
    routes = [route("pull", "download", "export")]
    await case.publish(3, routes, ["export"])
    await case.start_hosts(1)
    tasks = [asyncio.create_task(fleet.beat())]
    if case.trouble:
        tasks.append(asyncio.create_task(fleet.crash()))
    sent: dict[str, bytes] = {}
    host = case.hosts[0]

    async def pull(number: int) -> None:
        request_id, body = f"rq{number:06}", b'{"wave": %d}' % number
        sent[request_id] = body
        case.note("client", "sends", request_id, "POST /pull/waves", body)
        _, answer = await send(
            (host.ip, host.front),
            "POST",
            "pull.example",
            "/pull/waves",
            3000,
            body,
            request_id,
        )
        status = None if answer is None else answer.status
        case.note("client", "gets", status, "for", request_id)

    async with asyncio.TaskGroup() as group:
        for number in range(int(LOAD_SECONDS * PER_SECOND)):
            group.create_task(pull(number))
            await asyncio.sleep(1 / PER_SECOND)
    for task in tasks:
        task.cancel()
    await asyncio.sleep(0.5)
    return judge(case, fleet, sent)


def judge(case: Case, fleet: Fleet, sent: dict[str, bytes]) -> bool:
    """Note each run of a request that no client sent."""
    broken = 0
    for server in fleet.all:
        for run in server.run_requests:
            request_id = run.headers.get("request-id")
            if (run.first[:2], run.body) == (
                ["POST", "/pull/waves"],
                sent.get(request_id),
            ):
                continue
            broken += 1
            case.note(
                f"UNASKED: {server.name} ran {request_id} with"
                f" {run.first[0]} {run.path} {run.body!r},"
                f" sent was {sent.get(request_id)!r}"
            )
    case.note(len(sent), "requests,", broken, "runs that nobody sent")
    return broken > 0


main("review/3/record.txt", play)
