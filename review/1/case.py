"""A server rejects a request and repeats that answer late.

The request is sent to the same server again, on the same channel, and the
repeated answer is taken for that of the second send.
"""

import asyncio

from review.standins.case import Case, main, route
from review.standins.clients import send
from review.standins.http import Message
from review.standins.servers import Plan, Server

PER_SECOND = 10.0
SPANS = 4
SPAN_SECONDS = 10.0
GREY = (2.0, 8.5)
"""When in each span the server fails part of its requests, 6.5 s."""

GARBLE = (3.0, 8.0)
"""When in each span it repeats some of its answers, 5 s."""

REJECT_SHARE = 0.45
REPEAT_SHARE = 0.03
REPEAT_SECONDS = 0.02
PROMISES = (408, 421, 429, 503)


class Faults:
    """Decides what the server does with each request.

    Attributes:
        sent: Requests that came while it fails part of them.
        rejected: How many of them it rejected.
        answers: Answers that it gave while it repeats some.
        repeated: How many of them it repeated.
    """

    def __init__(self, case: Case):
        """Count the load's time from now."""
        self.case = case
        self.loop = asyncio.get_running_loop()
        self.start = self.loop.time()
        self.seen: set[str] = set()
        self.sent = self.rejected = self.answers = self.repeated = 0

    def plan(self, server: Server, request: Message) -> Plan:
        """Return what to do with `request`."""
        at = (self.loop.time() - self.start) % SPAN_SECONDS
        if not self.case.trouble or not GREY[0] <= at < GREY[1]:
            return Plan()
        self.sent += 1
        shed = self._rejects(request.headers["request-id"])
        self.rejected += shed
        if not GARBLE[0] <= at < GARBLE[1]:
            return Plan(shed=shed)
        self.answers += 1
        if shed and self.repeated + 1 <= REPEAT_SHARE * self.answers:
            self.repeated += 1
            return Plan(shed=True, extra_after=REPEAT_SECONDS)
        return Plan(shed=shed)

    def _rejects(self, request_id: str) -> bool:
        """Return whether a request is rejected, as some new ones are."""
        new = request_id not in self.seen
        self.seen.add(request_id)
        return new and self.rejected + 1 <= REJECT_SHARE * self.sent


async def play(case: Case) -> bool:
    """Return whether a request that was refused has run."""
    await case.store.start()
    server = Server("i-1", "ledger", case.store, case.note, work_seconds=0.05)
    await server.start()
    routes = [route("pay", "non_idempotent", "ledger", timeout="1500ms")]
    await case.publish(3, routes, ["ledger"])
    await case.start_hosts(1)
    beats = asyncio.create_task(beat(server))
    faults = Faults(case)
    server.plan = faults.plan
    host = case.hosts[0]
    answered: dict[str, int | None] = {}

    async def pay() -> None:
        request_id, answer = await send(
            (host.ip, host.front), "POST", "pay.example", "/pay/x", 1500, b"5"
        )
        status = None if answer is None else answer.status
        answered[request_id] = status
        case.note("client", "gets", status, "for", request_id)

    async with asyncio.TaskGroup() as group:
        for _ in range(int(SPANS * SPAN_SECONDS * PER_SECOND)):
            group.create_task(pay())
            await asyncio.sleep(1 / PER_SECOND)
    beats.cancel()
    await asyncio.sleep(1.0)
    broken = [
        request_id
        for request_id, status in answered.items()
        if status in PROMISES and request_id in server.runs
    ]
    case.note(
        f"{len(answered)} requests, {len(server.runs)} runs;"
        f" of {faults.sent} sends {faults.rejected} were rejected,"
        f" of {faults.answers} answers {faults.repeated} were repeated"
    )
    case.note("REFUSED: answered as not run, and ran:", broken)
    return bool(broken)


async def beat(server: Server) -> None:
    """Have the server report regularly."""
    while True:
        await asyncio.sleep(1.5)
        await server.beat()


main("review/1/record.txt", play)
