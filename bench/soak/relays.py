"""Relays between callers and a host, each of which stores and forwards.

A relay takes bytes from its host at once, so that the host's kernel sees them
acknowledged, and carries them on later. With the host's network it may lose
what it holds.
"""

import contextlib
import select
from collections import deque
from socket import SO_LINGER, SOL_SOCKET
from typing import TYPE_CHECKING

import trio

from agatetack.streams import LINGER_NONE, unacknowledged_bytes

if TYPE_CHECKING:
    from bench.soak.links import Link, Path

STEP_BYTES = 4096
"""Most bytes that one relay takes or carries at a time."""


class LinkEnded(Exception):
    """The host's network ended before the host ended the connection."""


class Relay:
    """One connection of a caller to a host.

    Attributes:
        host: The relay's connection to the host.
        link: What its bytes are carried over.
        path: What kind of relay it is.
        held: What it has from the host and has not carried, and when the link
            has carried it.
        room: How many further bytes it takes.
        upward: What it has from the caller; nothing stands for the end.
        host_end: When the caller sees the end of the host's side, and what it
            gets if that is no end in order.
        caller_ended: Whether the caller has ended the connection.
        crossed: Whether the caller's last bytes reached the host's machine
            after the end of the host's side had come from there.
    """

    def __init__(self, host: trio.SocketStream, link: "Link", path: "Path"):
        """Relay from and to `host`; `run` does it."""
        self.host = host
        self.link = link
        self.path = path
        self.held: deque[tuple[float, bytes]] = deque()
        self.room = path.capacity
        self.upward: deque[tuple[float, bytes]] = deque()
        self.host_end: tuple[float, Exception | None] | None = None
        self.caller_ended = False
        self.crossed = False
        self.changed = trio.lowlevel.ParkingLot()

    async def run(self) -> None:
        """Relay until both sides have ended."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._take)
                nursery.start_soon(self._pass_up)
        finally:
            self.link.relays.discard(self)
            self.host.socket.close()

    @property
    def open(self) -> bool:
        """Return whether the caller sees neither bytes nor an end."""
        return not (self.held or self._has_ended())

    @property
    def delivered(self) -> bool:
        """Return whether the host's kernel took all that the caller sent.

        A request that crosses the end of the host's side may stay unread
        though its kernel took it, and no reset may come before the end.
        """
        left = unacknowledged_bytes(self.host.socket._sock)
        return not (self.upward or self.crossed or left)

    async def send_all(self, data: bytes) -> None:
        """Send bytes of the caller.

        Raises:
            trio.BrokenResourceError: The caller knows that the host has ended.
        """
        await trio.lowlevel.checkpoint()
        if self._has_ended():
            raise trio.BrokenResourceError
        self._send_up(data)

    async def receive_some(self) -> bytes:
        """Return bytes for the caller as the link carries them.

        Raises:
            LinkEnded: The host's network has ended.
            trio.BrokenResourceError: The host has reset the connection.
        """
        while True:
            if self.held:
                await trio.sleep_until(self.held[0][0])
                # They may have been lost meanwhile.
                if self.held:
                    _, data = self.held.popleft()
                    self.room += len(data)
                    self.changed.unpark_all()
                    return data
            elif self.host_end is not None:
                at, error = self.host_end
                await trio.sleep_until(at)
                if error is not None:
                    raise error
                return b""
            else:
                await self.changed.park()

    def end_caller(self) -> None:
        """End the connection as the caller does."""
        if not self.caller_ended:
            self.caller_ended = True
            self._send_up(b"")

    def end_network(self) -> None:
        """Lose what the host's kernel has, and what the relay holds, or not."""
        with contextlib.suppress(OSError):
            while data := self.host.socket._sock.recv(STEP_BYTES):
                self._hold(data)
        self.link.relays.discard(self)
        self.host.socket.close()
        lost = 0
        if self.path.loses:
            now = trio.current_time()
            while self.held and self.held[-1][0] > now:
                lost += len(self.held.pop()[1])
        if self.host_end is None or lost:
            error = LinkEnded(f"a relay lost {lost} bytes")
            self.host_end = trio.current_time(), error
        self.changed.unpark_all()

    def _has_ended(self) -> bool:
        if self.host_end is None:
            return self.caller_ended
        return self.caller_ended or self.host_end[0] <= trio.current_time()

    def _host_has_ended(self) -> bool:
        if self.host.socket.fileno() < 0:
            return True
        poller = select.poll()
        poller.register(self.host.socket.fileno(), select.POLLRDHUP)
        return bool(poller.poll(0))

    def _later(self) -> float:
        return trio.current_time() + self.path.delay_seconds

    def _send_up(self, data: bytes) -> None:
        self.upward.append((self._later(), data))
        self.changed.unpark_all()

    def _hold(self, data: bytes) -> None:
        at = self.link.carried_at(self._later(), len(data))
        self.held.append((at, data))
        self.room -= len(data)
        self.changed.unpark_all()

    async def _take(self) -> None:
        error = None
        try:
            while True:
                while self.room <= 0 and not self.caller_ended:
                    await self.changed.park()
                most = max(1, min(self.room, STEP_BYTES))
                data = await self.host.receive_some(most)
                if not data:
                    break
                self._hold(data)
                if self.caller_ended:
                    self._reset()
        except trio.BrokenResourceError as reset:
            error = reset
        except trio.ClosedResourceError:
            return
        self.host_end = self._later(), error
        self.changed.unpark_all()
        while self.held and not self.caller_ended:
            await self.changed.park()
        await trio.sleep_until(self.host_end[0])
        if self.path.prompt:
            self.end_caller()

    async def _pass_up(self) -> None:
        data = None
        while data != b"":
            while not self.upward:
                await self.changed.park()
            at, data = self.upward[0]
            await trio.sleep_until(at)
            try:
                if data:
                    self.crossed = self._host_has_ended()
                    await self.host.send_all(data)
                elif self.held:
                    self._reset()
                else:
                    await self.host.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            self.upward.popleft()

    def _reset(self) -> None:
        """Reset the host's connection, as the caller takes no more of it."""
        if self.host.socket.fileno() >= 0:
            self.host.setsockopt(SOL_SOCKET, SO_LINGER, LINGER_NONE)
            self.host.socket.close()
