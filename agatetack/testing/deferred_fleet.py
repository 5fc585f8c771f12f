"""Run several hosts' deferred queues over one log in memory."""

import contextlib
import dataclasses
import random
from collections.abc import Iterator, Mapping, Sequence

import trio

from agatetack.config.route import RequestClass, Route, RouteSource, RouteTable
from agatetack.deferred.log_queue import LogDeferredQueue
from agatetack.deferred.queue import Executor
from agatetack.deferred.records import decode_batch
from agatetack.ids import (
    CallerId,
    Deadline,
    FailureDomain,
    HostId,
    RequestId,
    RouteId,
    ServiceId,
    StreamId,
    TeamId,
    TicketId,
)
from agatetack.messages import Answer, BytesBody, CallerRequest, Header
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal, RefusalReason, refuse
from agatetack.peers.exchange import NoExchange, Peer
from agatetack.record_log.log import LogRecord
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_log import MemoryLog, MemoryLogService
from agatetack.testing.virtual_clock import VirtualClock

ROUTE = Route(
    id=RouteId("archive"),
    team=TeamId("panel"),
    service=ServiceId("waves"),
    request_class=RequestClass.DEFERRED,
    path_prefix="/waves",
)


def make_request(
    number: int, seconds: float = 600.0, body: bytes = b""
) -> CallerRequest:
    """Return a request that is told by its path, `seconds` before its end."""
    now = Deadline(trio.current_time())
    return CallerRequest(
        request_id=RequestId(f"request-{number}"),
        caller=CallerId("analyst"),
        method=b"GET",
        path=b"/waves/%d" % number,
        host=b"waves.example",
        headers=[Header(b"accept", b"text/csv")],
        body=BytesBody(body),
        deadline=Deadline(now + seconds),
        key=None,
        arrived=now,
    )


def refusal_answer(refusal: Refusal) -> Answer:
    """Return a refusal as the callers' slice would answer it."""
    headers = [
        Header(b"x-outcome", refusal.outcome.value.encode()),
        Header(b"x-reason", refusal.reason.value.encode()),
    ]
    return Answer(refusal.status, headers, BytesBody(b""))


@dataclasses.dataclass(slots=True)
class Work:
    """What the targets of all hosts do.

    Attributes:
        seconds: How long a run takes at most.
        faults: Reasons of the next answers that are refusals.
        busy: Whether no slot is free, so that nothing runs.
        always: Reasons that a path is always refused with.
        fault_ratio: The share of runs that end in doubt or are not run.
        body_bytes: The size of each answer.
        header_bytes: The size of a header of each answer.
        runs: Runs begun, by path.
        running: Runs under way.
        peak: Most runs that were under way at the same time.
        finished: Runs that brought an answer, by path.
        dice: Chooses times and faults.
    """

    seconds: float = 0.05
    faults: list[RefusalReason] = dataclasses.field(default_factory=list)
    busy: bool = False
    always: dict[bytes, RefusalReason] = dataclasses.field(default_factory=dict)
    fault_ratio: float = 0.0
    body_bytes: int = 40
    header_bytes: int = 0
    runs: dict[bytes, int] = dataclasses.field(default_factory=dict)
    running: int = 0
    peak: int = 0
    finished: dict[bytes, int] = dataclasses.field(default_factory=dict)
    dice: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(5)
    )

    def body(self, path: bytes) -> bytes:
        """Return the one right answer to a path."""
        return (path + b";").ljust(self.body_bytes, b".")

    def next_fault(self, path: bytes) -> RefusalReason | None:
        """Return the reason of a refusal, or None for an answer."""
        if self.busy:
            return RefusalReason.QUEUE_FULL
        if path in self.always:
            return self.always[path]
        if self.faults:
            return self.faults.pop(0)
        if self.dice.random() >= self.fault_ratio:
            return None
        return self.dice.choice(
            [RefusalReason.QUEUE_FULL, RefusalReason.CONNECTION_LOST]
        )


class FakeExecutor(Executor):
    """Answer with the request's path after a while."""

    def __init__(self, work: Work):
        """Do `work`."""
        self.work = work

    async def execute(self, route: Route, request: CallerRequest) -> Answer:
        """Answer or refuse, as `work` says."""
        work = self.work
        path = request.path
        fault = work.next_fault(path)
        if fault is RefusalReason.QUEUE_FULL:
            return refusal_answer(refuse(fault, "scripted"))
        work.runs[path] = work.runs.get(path, 0) + 1
        work.running += 1
        work.peak = max(work.peak, work.running)
        try:
            await trio.sleep(work.dice.random() * work.seconds)
        finally:
            work.running -= 1
        if fault is not None:
            return refusal_answer(refuse(fault, "scripted"))
        work.finished[path] = work.finished.get(path, 0) + 1
        headers = [Header(b"content-type", b"text/csv")]
        headers.append(Header(b"etag", b"e" * work.header_bytes))
        return Answer(200, headers, BytesBody(work.body(path)))


class FleetExchange(NoExchange):
    """Show the other hosts of a fleet as live peers."""

    def __init__(self, fleet: "DeferredFleet", host: HostId):
        """See `fleet` from `host`."""
        self.fleet = fleet
        self.host = host

    def live_peers(self) -> Sequence[Peer]:
        """Return the hosts that run now, without this one."""
        if self.fleet.blind:
            return []
        return [
            Peer(host, 1, FailureDomain("a"), False)
            for host in self.fleet.hosts
            if host != self.host
        ]

    def fleet_size(self) -> int:
        """Return the number of hosts."""
        return len(self.fleet.hosts)


@dataclasses.dataclass(slots=True)
class FleetHost:
    """One host of a fleet.

    Attributes:
        queue: Its queue.
        log: Its client of the log, for faults of its own.
        scope: Kills it when cancelled.
        metrics: Its counters.
    """

    queue: LogDeferredQueue
    log: MemoryLog
    scope: trio.CancelScope
    metrics: Metrics


class DeferredFleet:
    """Hosts that come and go over one log.

    Attributes:
        service: The log.
        work: What the targets do.
        hosts: The hosts that run now.
        blind: Whether no host sees another.
        callers: Cancel scopes of the calls that each host is serving.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        work: Work | None = None,
        settings: Mapping[str, Mapping] | None = None,
        seed: int = 5,
    ):
        """Start without hosts.

        Args:
            nursery: Runs the hosts.
            work: What the targets do.
            settings: Laid over the defaults.
            seed: Of the ids of tickets and attempts.
        """
        self.nursery = nursery
        self.clock = VirtualClock()
        self.service = MemoryLogService(self.clock)
        self.work = work or Work()
        self.settings = dict(settings or {})
        self.hosts: dict[HostId, FleetHost] = {}
        self.blind = False
        # Keys of dictionaries, unlike those of sets, keep their order.
        self.callers: dict[HostId, dict[trio.CancelScope, None]] = {}
        self.started = 0
        self.entropy = random.Random(f"ids {seed}")

    async def start(self, name: str | None = None) -> FleetHost:
        """Start a host and return it once its tasks run."""
        self.started += 1
        host = HostId(name or f"host-{self.started}")
        identity = {"id": host, "failure_domain": "a", "region": "r"}
        settings = default_settings(**self.settings, host=identity)
        log = MemoryLog(self.service, self.nursery)
        metrics = Metrics()
        queue = LogDeferredQueue(
            settings,
            log,
            FleetExchange(self, host),
            RouteSource(RouteTable([ROUTE])),
            FakeExecutor(self.work),
            metrics,
            self.clock,
            self.entropy,
        )
        found = FleetHost(queue, log, trio.CancelScope(), metrics)
        self.hosts[host] = found
        await self.nursery.start(self._run, found)
        return found

    def kill(self, host: HostId) -> None:
        """Stop a host at once, with the calls that it serves."""
        self.hosts.pop(host).scope.cancel()
        for scope in self.callers.pop(host, ()):
            scope.cancel()

    @contextlib.contextmanager
    def serving(self, host: HostId) -> Iterator[None]:
        """Cut the call inside if the host is killed meanwhile."""
        with trio.CancelScope() as scope:
            self.callers.setdefault(host, {})[scope] = None
            try:
                yield
            finally:
                self.callers.get(host, {}).pop(scope, None)

    async def drop_old_records(self) -> None:
        """Drop records older than the retention, for ever."""
        retention = default_settings(**self.settings).platform.log
        while True:
            await trio.sleep(1)
            oldest = self.clock.wall() - retention.retention_seconds
            for stream, records in self.service.streams.items():
                kept = [r.offset for r in records if r.appended_at > oldest]
                first = kept[0] if kept else self.service.ends[stream]
                self.service.truncate(stream, first)

    async def _run(
        self, host: FleetHost, task_status: trio.TaskStatus[None]
    ) -> None:
        with host.scope:
            await host.queue.run(task_status)


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A copy of a ticket's record that was appended.

    Attributes:
        ticket: Whose it is.
        at: When it was appended.
    """

    ticket: TicketId
    at: Deadline


def watch_copies(fleet: DeferredFleet) -> list[Copy]:
    """Return a list that takes each copy that is appended from now on."""
    copies: list[Copy] = []

    def watch(stream: StreamId, record: LogRecord) -> None:
        for entry in decode_batch(record.payload):
            part = entry.submission or entry.end
            if part is not None and part.origin is not None:
                at = Deadline(trio.current_time())
                copies.append(Copy(TicketId(part.ticket), at))

    fleet.service.watchers.append(watch)
    return copies
