"""A TCP proxy whose open channels can go silent without a reset."""

import asyncio

PIECE_BYTES = 65536


class Proxy:
    """Passes bytes on between the machines and one address.

    Attributes:
        address: Where it listens.
        silenced: Number of channels that were silenced.
    """

    def __init__(self, target: str):
        """Pass channels on to `target`."""
        host, _, port = target.partition(":")
        self.target = host, int(port)
        self.address = ""
        self.silenced = 0
        self.channels: list[asyncio.Event] = []

    async def start(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def silence(self) -> None:
        """Pass nothing on any more on the channels that are open now."""
        for open_event in self.channels:
            self.silenced += open_event.is_set()
            open_event.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        flows = asyncio.Event()
        flows.set()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        self.channels.append(flows)
        pumps = [
            asyncio.create_task(_pump(reader, far_writer, flows)),
            asyncio.create_task(_pump(far_reader, writer, flows)),
        ]
        try:
            await asyncio.wait(pumps)
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            self.channels.remove(flows)
            for each in (writer, far_writer):
                each.close()


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    flows: asyncio.Event,
) -> None:
    """Pass bytes on while `flows` is set."""
    try:
        while data := await reader.read(PIECE_BYTES):
            await flows.wait()
            writer.write(data)
            await writer.drain()
        await flows.wait()
        writer.write_eof()
    except OSError:
        return
