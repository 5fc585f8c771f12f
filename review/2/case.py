"""The configuration changes while a part of the store is silent for seconds."""

import asyncio

from review.standins.case import Case, main, route
from review.standins.clients import send
from review.standins.servers import Server

HOSTS = 3
CALM_SECONDS = 4.0
SILENT_SECONDS = 4.5
STABLE_WINDOW_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 2.0
CHANGE_SECONDS = 2.0
"""When in the silence the change is made and confirmed."""

LOAD_SECONDS = 20.0
EACH_SECONDS = 0.25
TOPIC = "keyed.op"


async def play(case: Case) -> bool:
    """Return whether requests were run as only an older version allows."""
    await case.store.start()
    servers = {}
    for service in ("before", "after"):
        servers[service] = Server(
            f"i-{service}", service, case.store, case.note, work_seconds=0.02
        )
        await servers[service].start()
    services = list(servers)
    await case.publish(3, [route("r", "idempotent", "before")], services)
    await case.start_hosts(HOSTS)
    beats = asyncio.create_task(beat(list(servers.values())))
    await asyncio.sleep(CALM_SECONDS)
    silence = None
    if case.trouble:
        case.note("store: answers of", TOPIC, "are lost from now on")
        silence = asyncio.create_task(
            case.store.go_silent(TOPIC, SILENT_SECONDS)
        )
    await asyncio.sleep(CHANGE_SECONDS)
    await case.publish(5, [route("r", "idempotent", "after")], services)
    loop = asyncio.get_running_loop()
    confirmed = loop.time()
    due = CONFIG_APPLY_SECONDS
    if silence is not None:
        await silence
        case.note("store: sound again;", case.store.lost, "answers were lost")
        due = loop.time() - confirmed + STABLE_WINDOW_SECONDS
    sent: dict[str, float] = {}

    async def look(host_number: int) -> None:
        host = case.hosts[host_number]
        at = loop.time() - confirmed
        request_id, answer = await send(
            (host.ip, host.front), "GET", "r.example", "/r/x", 1000
        )
        sent[request_id] = at
        status = None if answer is None else answer.status
        case.note(f"client: {request_id} sent at +{at:.2f} s gets", status)

    async with asyncio.TaskGroup() as group:
        while loop.time() - confirmed < due + LOAD_SECONDS:
            for number in range(HOSTS):
                group.create_task(look(number))
            await asyncio.sleep(EACH_SECONDS)
    beats.cancel()
    late = {
        request_id: sent[request_id]
        for request_id in servers["before"].runs
        if sent.get(request_id, 0.0) > due
    }
    last = max(late.values(), default=0.0)
    case.note(
        f"CONFIG: {len(late)} of {len(sent)} requests were run by the old"
        f" service though sent over {due:.1f} s after the confirmation,"
        f" when all machines are in touch; the last one {last:.1f} s after it"
    )
    return bool(late)


async def beat(servers: list[Server]) -> None:
    """Have the servers report regularly."""
    while True:
        await asyncio.sleep(1.5)
        for server in servers:
            await server.beat()


main("review/2/record.txt", play)
