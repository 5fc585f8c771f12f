"""Relay connections as a thin network does that ends with its host's process.

The relay takes bytes from the host at once, so that the host's kernel sees them
acknowledged, and carries them on at a rate of its own.
"""

import trio

RECEIVE_BYTES = 4096


class HoldingRelay:
    """One connection's relay from a caller to a host.

    Attributes:
        ip: The host's address.
        host_port: The host's port.
        capacity: Most bytes that it holds.
        bytes_per_second: What it carries to the caller.
        held: What it has from the host and has not carried yet.
        carried_bytes: What it has carried.
        host_ended: Whether the host has ended its side.
    """

    def __init__(
        self, ip: str, host_port: int, capacity: int, bytes_per_second: float
    ):
        """Relay to `host_port`."""
        self.ip = ip
        self.host_port = host_port
        self.capacity = capacity
        self.bytes_per_second = bytes_per_second
        self.held = bytearray()
        self.carried_bytes = 0
        self.host_ended = False

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Relay one connection to its end; the port is reported."""
        (listener,) = await trio.open_tcp_listeners(0, host=self.ip)
        async with listener:
            task_status.started(listener.socket.getsockname()[1])
            caller = await listener.accept()
        host = await trio.open_tcp_stream(self.ip, self.host_port)
        async with caller, host, trio.open_nursery() as nursery:
            nursery.start_soon(self._take, host)
            nursery.start_soon(self._carry, caller)
            async for data in caller:
                await host.send_all(data)
            # The caller's end, which is passed on after all it has sent.
            await host.send_eof()

    async def _take(self, host: trio.SocketStream) -> None:
        while True:
            room = self.capacity - len(self.held)
            if room <= 0:
                await trio.sleep(0.005)
                continue
            data = await host.receive_some(min(room, RECEIVE_BYTES))
            if not data:
                self.host_ended = True
                return
            self.held += data

    async def _carry(self, caller: trio.SocketStream) -> None:
        while self.held or not self.host_ended:
            data = bytes(self.held[:RECEIVE_BYTES])
            if not data:
                await trio.sleep(0.005)
                continue
            await trio.sleep(len(data) / self.bytes_per_second)
            await caller.send_all(data)
            self.carried_bytes += len(data)
            del self.held[: len(data)]
        await caller.send_eof()
