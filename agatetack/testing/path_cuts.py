"""Cut single hosts of a test off from all targets."""

import contextvars
import enum

import trio

from agatetack.ids import HostId
from agatetack.measure import http_probe
from agatetack.streams import PlainStream, open_plain_stream
from agatetack.targets import connection

running_host: contextvars.ContextVar[HostId | None] = contextvars.ContextVar(
    "running_host", default=None
)
"""The host that the current task belongs to; set before a host is started."""


class CutKind(enum.Enum):
    """What a cut does to connections between a host and the targets."""

    SILENT = "silent"
    """Nothing arrives, on open connections and on new ones."""
    RESET = "reset"
    """Open connections are reset and new ones refused."""
    REFUSED = "refused"
    """Open connections live on and new ones are refused."""


class PathCuts:
    """The cuts in force between the hosts of a test and all targets.

    Attributes:
        cuts: The kind of cut of each host that is cut off.
        streams: The open connections to targets, by host.
        refused: Connections that were refused so far, by host.
    """

    def __init__(self, monkeypatch):
        """Open all connections to targets through this object."""
        self.cuts: dict[HostId, CutKind] = {}
        self.streams: dict[HostId, set[CutStream]] = {}
        self.refused: dict[HostId, int] = {}
        for module in (connection, http_probe):
            monkeypatch.setattr(module, "open_plain_stream", self.open)

    def cut(self, host: HostId, kind: CutKind) -> None:
        """Cut `host` off from all targets."""
        self.cuts[host] = kind
        if kind is CutKind.REFUSED:
            return
        for stream in self.streams.pop(host, set()):
            stream.cut(kind)

    def heal(self, host: HostId) -> None:
        """End the cut of `host`; what was cut stays lost."""
        del self.cuts[host]

    async def open(
        self, ip: str, port: int, source_ip: str = ""
    ) -> PlainStream:
        """Connect to a target, as `streams.open_plain_stream` does."""
        host = running_host.get()
        kind = self.cuts.get(host)
        if kind is CutKind.SILENT:
            await trio.sleep_forever()
        if kind is not None:
            await trio.lowlevel.checkpoint()
            self.refused[host] = self.refused.get(host, 0) + 1
            raise ConnectionRefusedError("cut off")
        plain = await open_plain_stream(ip, port, source_ip)
        stream = CutStream(plain.sock)
        self.streams.setdefault(host, set()).add(stream)
        return stream


class CutStream(PlainStream):
    """A connection to a target that can be cut.

    Attributes:
        kind: How it was cut, or None.
        was_cut: Set once it is cut.
    """

    def __init__(self, sock):
        """Use the connected socket `sock`."""
        super().__init__(sock)
        self.kind: CutKind | None = None
        self.was_cut = trio.Event()

    def cut(self, kind: CutKind) -> None:
        """Let nothing through any more."""
        self.kind = kind
        self.was_cut.set()

    async def send_all(self, data: bytes) -> None:
        """Send, unless it is cut."""
        if self.kind is CutKind.RESET:
            raise trio.BrokenResourceError("cut")
        if self.kind is None:
            await super().send_all(data)

    async def receive_some(self, max_bytes: int | None = 65536) -> bytes:
        """Receive, unless it is cut meanwhile."""
        data = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_cut, nursery.cancel_scope)
            data = await super().receive_some(max_bytes)
            nursery.cancel_scope.cancel()
        if self.kind is CutKind.SILENT:
            await trio.sleep_forever()
        if self.kind is CutKind.RESET:
            raise trio.BrokenResourceError("cut")
        return data

    async def _cancel_when_cut(self, scope: trio.CancelScope) -> None:
        await self.was_cut.wait()
        scope.cancel()
