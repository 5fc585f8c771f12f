"""Listen for callers and serve their connections."""

import contextlib
import resource
from typing import TYPE_CHECKING

import trio

from agatetack.callers.connection import CallerConnection, reap_connections
from agatetack.callers.memory import CallerMemory, Stage
from agatetack.callers.read_ahead import ReadAheadConnection
from agatetack.callers.streamed_body import KeptBodies
from agatetack.ids import Deadline
from agatetack.listeners import BACKLOG
from agatetack.logs import PartLog
from agatetack.messages import Handler
from agatetack.metrics import Metrics
from agatetack.settings.model import CallersSettings, Settings
from agatetack.streams import (
    ACCEPT_RETRY_SECONDS,
    PlainListener,
    PlainStream,
)

if TYPE_CHECKING:
    from agatetack.tls import ServerTls

END_POLL_SECONDS = 0.02
"""Interval at which a closed listener checks for open connections."""

FILE_DESCRIPTORS = 200
"""Descriptors that are left for files."""

CALLERS_SHARE = 0.5
"""Share of the other descriptors for callers; the rest is for targets, peers
and the store."""

log = PartLog("callers")


def caller_connections(settings: Settings) -> int:
    """Return for how many connections of callers there are descriptors."""
    descriptors = settings.host.max_descriptors
    if descriptors is None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return settings.callers.max_connections
    return max(1, int((descriptors - FILE_DESCRIPTORS) * CALLERS_SHARE))


class CallerServer:
    """The listener for callers.

    Attributes:
        connections: Open connections.
        limits: The settings in force for callers.
        kept_bodies: The memory for bodies that are streamed.
        descriptors: How many connections there are descriptors for.
        closing: Whether each connection ends after its current request.
        ended: Set once the listener and all connections are closed.
        port: The port listened on, once `run` has started.
    """

    def __init__(
        self,
        settings: Settings,
        handler: Handler,
        metrics: Metrics,
        tls: "ServerTls | None" = None,
        memory: CallerMemory | None = None,
    ):
        """Serve callers with `handler`.

        Args:
            settings: The host's settings.
            handler: Handles the requests.
            metrics: Where refusals are counted.
            tls: For connections over TLS; None for plain ones.
            memory: The host's memory for callers; no bound if None.
        """
        self.memory = memory
        self.settings = settings
        self.handler = handler
        self.metrics = metrics
        self.tls = tls
        self.limits = settings.callers
        self.descriptors = caller_connections(settings)
        self.kept_bodies = KeptBodies(self.limits, metrics)
        ahead = self.limits.pipeline_depth > 1 or self.limits.end_means_gone
        self.connection_class = (
            ReadAheadConnection if ahead else CallerConnection
        )
        self.connections: set[CallerConnection] = set()
        self.closing = False
        self.ended = trio.Event()
        self.port = 0
        self.accepting = trio.CancelScope()

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen until `stop_accepting`, then serve connections to their end.

        The port is reported through `task_status`.
        """
        listen = self.settings.callers.listen
        listener = PlainListener(listen.host, listen.port, BACKLOG)
        self.port = listener.port
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reap_connections, self.connections)
            task_status.started(self.port)
            try:
                with self.accepting:
                    await self._accept_all(listener, nursery)
                self._accept_pending(listener, nursery)
            finally:
                listener.close()
            await self._serve_to_the_end(nursery)

    async def _serve_to_the_end(self, nursery: trio.Nursery) -> None:
        while self.connections:
            await trio.sleep(END_POLL_SECONDS)
        self.ended.set()
        nursery.cancel_scope.cancel()

    async def _accept_all(
        self, listener: PlainListener, nursery: trio.Nursery
    ) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                log.warning("Accept failed: %s.", error)
                await trio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            self._start_connection(stream, nursery)

    def _accept_pending(
        self, listener: PlainListener, nursery: trio.Nursery
    ) -> None:
        """Accept pending connections; closing the listener would reset them."""
        with contextlib.suppress(OSError):
            while (stream := listener.accept_nowait()) is not None:
                self._start_connection(stream, nursery)

    def _start_connection(
        self, stream: PlainStream, nursery: trio.Nursery
    ) -> None:
        """Start to serve a connection, which counts as open from now on."""
        if not self._has_room():
            self._count_too_many()
            stream.close()
            return
        try:
            peer_ip = stream.sock.getpeername()[0]
        except OSError:
            stream.close()
            return
        connection = self.connection_class(
            self._wrap(stream),
            peer_ip,
            self.limits,
            self.handler,
            self.metrics,
            self.kept_bodies,
            self.memory,
        )
        connection.closing = self.closing
        self.connections.add(connection)
        nursery.start_soon(self._serve, connection)

    def _has_room(self) -> bool:
        """Return whether a connection may be added; make room if possible.

        A connection that only waits for its caller's end gives way first,
        then one whose caller has to send the rest of a request or to read:
        of those that never had an answer the one that has come no further
        for longest.
        """
        excess = len(self.connections) - self._max_connections()
        if excess < 0:
            return True
        waiting = [each for each in self.connections if each.only_waits]
        if len(waiting) > excess:
            oldest = min(waiting, key=lambda each: each.delivery.assumed_at)
            self.connections.remove(oldest)
            oldest.stop_waiting()
            return True
        unfinished = [
            each
            for each in self.connections
            if not each.delivering and each.memory_stage() is Stage.CALLER
        ]
        if len(unfinished) <= excess:
            return False
        oldest = min(
            unfinished, key=lambda each: (each.served, each.progress_at)
        )
        self._count_too_many()
        self.connections.remove(oldest)
        oldest.evict()
        return True

    def _max_connections(self) -> int:
        """Return how many connections fit into settings and descriptors."""
        return min(self.limits.max_connections, self.descriptors)

    def _count_too_many(self) -> None:
        self.metrics.dropped.inc(
            {"part": "callers", "reason": "too-many-connections"}
        )

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            await connection.serve()
        except Exception as error:
            # One connection's failure must not end the others, which share
            # the nursery.
            self.metrics.dropped.inc(
                {"part": "callers", "reason": "connection-failed"}
            )
            log.error("A connection failed: %r.", error)
        finally:
            self.connections.discard(connection)

    def _wrap(self, stream: PlainStream) -> trio.abc.Stream:
        return stream if self.tls is None else self.tls.accept_stream(stream)

    def limit(self, callers: CallersSettings) -> None:
        """Apply `callers` to open and new connections."""
        self.limits = callers
        self.kept_bodies.limit = callers.kept_bodies_bytes
        for connection in self.connections:
            connection.limit(callers)

    async def wait_delivered(self, deadline: Deadline) -> None:
        """Wait until all connections have ended.

        At the deadline it ends all the same if the next machine has all bytes
        of each connection, and only the caller's end is missing.
        """
        with trio.move_on_at(deadline):
            await self.ended.wait()
        while not all(each.only_waits for each in self.connections):
            await trio.sleep(END_POLL_SECONDS)

    def cut_unfinished(self) -> None:
        """Let all connections whose answers aren't whole close with a reset."""
        for connection in self.connections:
            connection.cut()

    def stop_accepting(self) -> None:
        """Close the listener; open connections are still served."""
        self.accepting.cancel()

    def close_idle(self) -> None:
        """Close idle connections now, and busy ones after their request."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_gracefully()
