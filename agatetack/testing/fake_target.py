"""Stand in for a target: slots, a queue, load reports and scripted faults."""

import dataclasses
import math
import random
import zlib
from collections import deque
from collections.abc import Callable

import trio

from agatetack.ids import (
    AttemptId,
    Deadline,
    IdempotencyKey,
    RequestId,
    TargetId,
)
from agatetack.settings.model import Settings
from agatetack.testing.target_connection import TargetConnection
from agatetack.testing.target_faults import Silence, TargetFaults
from agatetack.testing.target_wire import TargetRequest
from agatetack.unique import unique_name

LOOPBACK = "127.0.0.1"

MAX_LAGGED_REPORTS = 4096
"""In-flight figures kept for lagging reports."""


@dataclasses.dataclass(slots=True)
class ExecutedRequest:
    """One request that a fake target began to run.

    Attributes:
        key: Its idempotency key, or None.
        attempt: The attempt's id, or None.
        request_id: The request's id, or None.
        method: The HTTP method.
        url: Path and query.
        started: When it got its slot.
        finished: When its work ended, or None if it was cut short.
    """

    key: IdempotencyKey | None
    attempt: AttemptId | None
    request_id: RequestId | None
    method: bytes
    url: bytes
    started: Deadline
    finished: Deadline | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FakeTargetOptions:
    """How a fake target behaves without faults.

    Attributes:
        slots: Requests that run at the same time; others queue, first come
            first served.
        service_seconds: Mean time that a request takes.
        spread: Sigma of the times' log-normal distribution; 0 is constant.
        seed: Seed of the times.
    """

    slots: int = 2
    service_seconds: float = 0.0
    spread: float = 0.0
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request that reached a fake target, whatever became of it.

    Attributes:
        at: When its header had come.
        port: The port that it came from.
        asks_load: Whether it asked for the load only.
    """

    at: Deadline
    port: int
    asks_load: bool


class FakeTarget:
    """A target on a kernel-chosen loopback port.

    `GET /export?bytes=N` answers with the content of `export_content` and
    honours Range and If-Range. Every other path answers with its method,
    path, request id and body, so that a test can tell answers apart. The
    query `service_ms=N` replaces the drawn service time.

    Attributes:
        settings: Names of headers and paths.
        options: How it behaves without faults.
        faults: What goes wrong now.
        port: Where it listens, once `serve` has started.
        executed: Every request that got a slot, in order.
        arrivals: Every request that came, in order.
        turned_away: Every request that it shed, in order.
        said_to_leave: When each port first got an answer that says that it
            leaves.
        rate_named: When each port first got an answer that named a rate.
        rejected: Ids of requests that it shed as they came first.
        in_flight: Requests running or waiting.
        connections: Open connections.
        accepted: Connections accepted so far.
        cancelled: Requests whose connection closed before their answer.
        shed: Requests refused with 503.
        unanswered: Requests that could not be queued and got no answer.
        expired: Requests whose deadline passed in the queue.
        crashes: Crashes so far.
        probes: Requests of the load endpoint so far.
        misdirected: Requests that named another instance.
        instance: The name of this start of it.
        on_accept: Called with each connection before it is served.
    """

    def __init__(
        self, settings: Settings, options: FakeTargetOptions | None = None
    ):
        """Make a target that does not listen yet."""
        self.settings = settings
        self.options = options or FakeTargetOptions()
        self.faults = TargetFaults()
        self.port = 0
        self.executed: list[ExecutedRequest] = []
        self.arrivals: list[Arrival] = []
        self.turned_away: list[Arrival] = []
        self.said_to_leave: dict[int, Deadline] = {}
        self.rate_named: dict[int, Deadline] = {}
        self.rejected: set[bytes] = set()
        self.in_flight = 0
        self.connections: set[TargetConnection] = set()
        self.accepted = 0
        self.cancelled = 0
        self.shed = 0
        self.unanswered = 0
        self.expired = 0
        self.crashes = 0
        self.probes = 0
        self.misdirected = 0
        self.instance = TargetId(unique_name())
        self.on_accept: Callable[[TargetConnection], None] = _serve_all
        self.random = random.Random(self.options.seed)
        self.slots = trio.Semaphore(self.options.slots)
        self.history: deque[tuple[float, int]] = deque(
            maxlen=MAX_LAGGED_REPORTS
        )
        self.listening = trio.CancelScope()
        self.life = trio.CancelScope()
        self.restarted = trio.Event()

    @property
    def id(self) -> TargetId:
        """Return the target's id, `ip:port`."""
        return TargetId(f"{LOOPBACK}:{self.port}")

    async def serve(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the port once it listens."""
        listeners = await self._listen()
        task_status.started(self.port)
        while True:
            self.life = trio.CancelScope()
            self.restarted = trio.Event()
            with self.life:
                await self._live(listeners)
            await self._wait_for_restart()
            listeners = await self._listen()

    def rejects(self, request_id: bytes) -> bool:
        """Return whether a request is shed now, as it comes first."""
        share = self.faults.rejected_share
        if not share or request_id in self.rejected:
            return False
        if zlib.crc32(request_id) >= share * 2**32:
            return False
        self.rejected.add(request_id)
        return True

    def drain(self) -> None:
        """Say from now on that the target is leaving; go on answering."""
        self.faults.draining = True

    def refuse(self) -> None:
        """End the drain: refuse connections and shed what still comes."""
        self.faults.draining = True
        self.faults.refusing = True
        self.listening.cancel()

    def start_cold(self, seconds: float, factor: float = 10.0) -> None:
        """Be cold, and `factor` times slower, for `seconds` from now."""
        self.faults.cold_until = trio.current_time() + seconds
        self.faults.cold_factor = factor

    def silence(self, mode: Silence = Silence.REQUEST_LOST) -> None:
        """Let every open connection go silent for good; new ones work."""
        for connection in self.connections:
            connection.silence = mode

    def crash(self) -> None:
        """Close the listener and all connections at once."""
        self.crashes += 1
        self.life.cancel()

    def restart(self) -> None:
        """Come back after a crash, on the same port."""
        self.restarted.set()

    def executions(self, key: IdempotencyKey) -> int:
        """Return how often requests with idempotency key `key` ran."""
        return sum(1 for executed in self.executed if executed.key == key)

    async def occupy(self, seconds: float) -> None:
        """Take one slot for `seconds`, as another firm's work would."""
        self.count(1)
        try:
            async with self.slots:
                await trio.sleep(seconds)
        finally:
            self.count(-1)

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until either side closes it."""
        connection = TargetConnection(self, stream)
        self.accepted += 1
        self.on_accept(connection)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    def count(self, change: int) -> None:
        """Change the number of requests running or waiting."""
        self.in_flight += change
        if self.faults.report_lag_seconds:
            self.history.append((trio.current_time(), self.in_flight))

    def note_arrival(self, stream: trio.SocketStream, asks_load: bool) -> None:
        """Record that a request came on `stream`."""
        now = Deadline(trio.current_time())
        self.arrivals.append(Arrival(now, _peer_port(stream), asks_load))

    def note_turned_away(self, stream: trio.SocketStream) -> None:
        """Record that a request on `stream` is shed."""
        now = Deadline(trio.current_time())
        self.turned_away.append(Arrival(now, _peer_port(stream), False))

    def note_said_to_leave(self, stream: trio.SocketStream) -> None:
        """Record that an answer on `stream` says that it leaves."""
        now = Deadline(trio.current_time())
        self.said_to_leave.setdefault(_peer_port(stream), now)

    def note_rate_named(self, stream: trio.SocketStream) -> None:
        """Record that an answer on `stream` names a rate."""
        now = Deadline(trio.current_time())
        self.rate_named.setdefault(_peer_port(stream), now)

    def state(self) -> str:
        """Return the state that reports carry: ready, cold or draining."""
        if self.faults.reported_state is not None:
            return self.faults.reported_state
        if self.faults.draining:
            return "draining"
        if self.faults.cold_until > trio.current_time():
            return "cold"
        return "ready"

    def reported_in_flight(self) -> int:
        """Return the in-flight figure that reports carry."""
        if self.faults.reported_in_flight is not None:
            return self.faults.reported_in_flight
        if not self.faults.report_lag_seconds:
            return self.in_flight
        return self._lagged_in_flight()

    def draw_service_seconds(self, request: TargetRequest) -> float:
        """Return how long `request` takes, with the faults in force."""
        asked_ms = request.query(b"service_ms")
        seconds = self.options.service_seconds
        if asked_ms is not None:
            seconds = float(asked_ms) / 1000
        elif self.options.spread and seconds:
            sigma = self.options.spread
            mu = math.log(seconds) - sigma * sigma / 2
            seconds = self.random.lognormvariate(mu, sigma)
        seconds *= self.faults.slow_factor
        if self.faults.cold_until > trio.current_time():
            seconds *= self.faults.cold_factor
        return seconds

    def record(self, request: TargetRequest) -> ExecutedRequest:
        """Record that `request` starts to run."""
        callers = self.settings.callers.headers
        names = self.settings.targets.headers
        key = _text(request, callers.idempotency_key)
        attempt = _text(request, names.attempt)
        request_id = _text(request, callers.request_id)
        executed = ExecutedRequest(
            key=None if key is None else IdempotencyKey(key),
            attempt=None if attempt is None else AttemptId(attempt),
            request_id=None if request_id is None else RequestId(request_id),
            method=request.method,
            url=request.url,
            started=Deadline(trio.current_time()),
        )
        self.executed.append(executed)
        return executed

    def _lagged_in_flight(self) -> int:
        then = trio.current_time() - self.faults.report_lag_seconds
        figure = 0
        while self.history and self.history[0][0] <= then:
            figure = self.history.popleft()[1]
        # The figure in force at that time is needed again by the next report.
        self.history.appendleft((then, figure))
        return figure

    async def _listen(self) -> list[trio.SocketListener]:
        listeners = await trio.open_tcp_listeners(self.port, host=LOOPBACK)
        self.port = listeners[0].socket.getsockname()[1]
        return listeners

    async def _live(self, listeners: list[trio.SocketListener]) -> None:
        async with trio.open_nursery() as nursery:
            self.listening = trio.CancelScope()
            with self.listening:
                await trio.serve_listeners(
                    self.serve_connection, listeners, handler_nursery=nursery
                )
            # Connections live on until they close or the target crashes.
            await trio.sleep_forever()

    async def _wait_for_restart(self) -> None:
        if self.faults.restart_seconds is None:
            await self.restarted.wait()
            return
        with trio.move_on_after(self.faults.restart_seconds):
            await self.restarted.wait()


def _serve_all(connection: TargetConnection) -> None:
    """Serve every connection."""


def _peer_port(stream: trio.SocketStream) -> int:
    """Return the other end's port; 0 if it has reset the connection."""
    try:
        return stream.socket.getpeername()[1]
    except OSError:
        return 0


def _text(request: TargetRequest, name: str | None) -> str | None:
    if name is None:
        return None
    value = request.headers.get(name.encode())
    return None if value is None else value.decode("latin-1")
