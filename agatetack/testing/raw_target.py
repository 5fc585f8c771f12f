"""Stand in for a target that sends exactly the bytes a test gives."""

import dataclasses
import socket
from collections.abc import Awaitable, Callable

import trio

from agatetack.ids import FailureDomain, ServiceId, TargetId
from agatetack.streams import LINGER_NONE
from agatetack.targets.state import TargetState, TargetStatus

LOOPBACK = "127.0.0.1"

END_PAUSE_SECONDS = 0.01
"""Pause before the end, so that the bytes before it arrive first."""

Script = Callable[[trio.SocketStream, int], Awaitable[None]]
"""Serves one connection; takes its stream and its number, from 0."""


@dataclasses.dataclass(slots=True)
class RawTarget:
    """A listener whose connections are served by a script.

    Attributes:
        script: What each connection does.
        connections: Connections accepted so far.
        received: Bytes received, by connection.
        port: The port listened on.
    """

    script: Script
    connections: int = 0
    received: list[bytes] = dataclasses.field(default_factory=list)
    port: int = 0

    async def serve(
        self,
        task_status: trio.TaskStatus[TargetState] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen on a port the kernel chooses; reports the target's state."""
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        self.port = listeners[0].socket.getsockname()[1]
        state = TargetState(
            id=TargetId(f"{LOOPBACK}:{self.port}"),
            service=ServiceId("service"),
            ip=LOOPBACK,
            port=self.port,
            failure_domain=FailureDomain("domain-a"),
            status=TargetStatus.READY,
        )
        await trio.serve_listeners(
            self._serve_one,
            listeners,
            task_status=_Reports(task_status, state),
        )

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        number = self.connections
        self.connections += 1
        self.received.append(b"")
        try:
            await self.script(stream, number)
        except trio.BrokenResourceError:
            return


async def end_connection(stream: trio.SocketStream, reset: bool) -> None:
    """Close a connection by a regular end, or by a reset."""
    if reset:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    await stream.aclose()


def answer_and_end(content: bytes, reset: bool) -> Script:
    """Return a script that answers one request with `content` and ends."""

    async def script(stream: trio.SocketStream, number: int) -> None:
        await stream.receive_some()
        await stream.send_all(content)
        await trio.sleep(END_PAUSE_SECONDS)
        await end_connection(stream, reset)

    return script


class _Reports:
    """Reports the target's state where trio would report the listeners."""

    def __init__(
        self, task_status: trio.TaskStatus[TargetState], state: TargetState
    ):
        self.task_status = task_status
        self.state = state

    def started(self, value: object = None) -> None:
        self.task_status.started(self.state)
