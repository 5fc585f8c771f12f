"""Send scans ahead on kept channels, the first of which takes 3.5 s."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import harness  # noqa: E402

CHANNELS = 5
SCANS = 24
LONG_MS, USUAL_MS = 3500, 480
COOKIE = "session=" + "5a" * 400
"""A field of 0.8 KB; a head may have 16 KB."""

MAX_LOST = 3


class Channel:
    """One channel of a client.

    Attributes:
        answered: Statuses of the answers, by request.
        end: How it ended before all answers; empty if it didn't.
    """

    def __init__(self, world: harness.World, name: str):
        """Use the first gateway."""
        self.world, self.name = world, name
        self.answered: dict[str, int] = {}
        self.end = ""

    async def open(self) -> None:
        """Connect."""
        gateway = self.world.gateways[0]
        self.reader, self.writer = await asyncio.open_connection(
            gateway.ip, gateway.front
        )

    def send(self, requests: list[tuple[str, int]]) -> None:
        """Send requests, given as ids with their work in ms, at once."""
        heads = [
            f"GET /scan/{each}?ms={work_ms} HTTP/1.1\r\n"
            "Host: scan.example\r\n"
            f"Request-Id: {each}\r\n"
            "Request-Timeout-Ms: 8000\r\n"
            f"Cookie: {COOKIE}\r\n\r\n"
            for each, work_ms in requests
        ]
        self.writer.write("".join(heads).encode())
        for each, _ in requests:
            self.world.record.note(f"sent {each} on {self.name}")

    async def receive(self, count: int) -> None:
        """Read answers until all came or the channel ended."""
        for _ in range(count):
            try:
                head = await harness.read_head(self.reader)
                await harness.read_body(self.reader, head)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                self.end = type(error).__name__
                return
            request = head.get("request-id")
            self.answered[request] = int(head.first[1])
            self.world.record.note(f"answered {request}: {head.first[1]}")

    async def ask(self, requests: list[tuple[str, int]]) -> None:
        """Send requests at once and read their answers."""
        if not self.end:
            self.send(requests)
            await self.receive(len(requests))


async def use_channel(world: harness.World, number: int) -> list[str]:
    """Return the requests that ran and were not answered."""
    channel = Channel(world, f"channel-{number}")
    await channel.open()
    await channel.ask([(f"scan-{number}-before", USUAL_MS)])
    requests = [(f"scan-{number}-00", LONG_MS)]
    for n in range(1, SCANS):
        requests.append((f"scan-{number}-{n:02d}", USUAL_MS))
    if world.trouble:
        await channel.ask(requests)
    else:
        for each in requests:
            await channel.ask([each])
    channel.writer.close()
    world.record.note(f"{channel.name} ended: {channel.end or 'in order'}")
    ran = {run[0] for server in world.servers for run in server.runs}
    lost = [
        each
        for each, _ in requests
        if each in ran and each not in channel.answered
    ]
    world.record.note(f"{channel.name}: run and not answered: {lost}")
    return lost


async def main(world: harness.World) -> int:
    """Count the requests that were passed on and got no answer."""
    scan = harness.route(
        "scan",
        "idempotent",
        "title-trail",
        timeout="4000ms",
        target_latency="1200ms",
        priority=2,
    )
    if not await world.start({"title-trail": (8, 2)}, [scan]):
        return 2
    found = await asyncio.gather(
        *(use_channel(world, number) for number in range(CHANNELS))
        if not world.trouble
        else [one_after_the_other(world)]
    )
    lost = [each for part in found for each in part]
    seen = (
        f"{len(lost)} requests from kept channels were passed on to sound "
        "servers, and their channels closed without an answer"
    )
    world.record.note(seen)
    print(seen)
    return 1 if len(lost) > MAX_LOST else 0


async def one_after_the_other(world: harness.World) -> list[str]:
    """Use the channels one after the other."""
    lost = []
    for number in range(CHANNELS):
        lost += await use_channel(world, number)
    return lost


harness.run(main, HERE)
