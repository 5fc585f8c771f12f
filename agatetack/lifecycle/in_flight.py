"""Track the requests being served, and refuse those that wait as a host stops.

A host that stops has to answer each request that it has read before its process
ends. A request that waits when no time is left to serve it is refused while its
refusal can still be written.
"""

import dataclasses
import enum
import math
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

import trio

from agatetack.ids import Deadline, RequestId, RouteId
from agatetack.messages import (
    Answer,
    AttemptRecord,
    Body,
    CallerRequest,
    Handler,
)
from agatetack.outcomes import (
    REASON_RULES,
    Outcome,
    Refusal,
    RefusalReason,
)


class Stage(enum.Enum):
    """The stage of a request being served."""

    RUNNING = "running"
    DELIVERING = "delivering"


@dataclasses.dataclass(slots=True, eq=False)
class InFlight:
    """One request being served.

    Attributes:
        request_id: Its id; callers may choose the same one twice.
        route: Its route, or None while that is not known.
        since: When it started.
        stage: Whether its answer has begun.
    """

    request_id: RequestId
    route: RouteId | None
    since: Deadline
    stage: Stage = Stage.RUNNING


class InFlightRequests:
    """The requests of one host that are being served."""

    def __init__(self) -> None:
        """Start with none."""
        self.requests: dict[InFlight, None] = {}
        self.emptied = trio.Event()

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self.requests)

    def begin(self, request_id: RequestId, route: RouteId | None) -> InFlight:
        """Add a request; `end` has to be called with what is returned."""
        now = Deadline(trio.current_time())
        request = InFlight(request_id, route, now)
        self.requests[request] = None
        return request

    def end(self, request: InFlight) -> None:
        """Remove a request; a second time has no effect."""
        self.requests.pop(request, None)
        if not self.requests:
            self.emptied.set()

    @contextmanager
    def track(
        self, request_id: RequestId, route: RouteId | None
    ) -> Iterator[InFlight]:
        """Keep a request in flight for the duration of a `with` block."""
        request = self.begin(request_id, route)
        try:
            yield request
        finally:
            self.end(request)

    def all(self) -> Sequence[InFlight]:
        """Return the requests, oldest first."""
        return list(self.requests)

    async def wait_empty(self) -> None:
        """Wait until there is none."""
        while self.requests:
            self.emptied = trio.Event()
            await self.emptied.wait()


class TrackingHandler(Handler):
    """Keeps each request in flight until its answer is closed.

    The callers package closes an answer once its last byte is sent or its
    caller is gone, so that a partly delivered answer counts as in flight.
    """

    def __init__(self, handler: Handler, in_flight: InFlightRequests):
        """Track what `handler` answers."""
        self.handler = handler
        self.in_flight = in_flight

    async def handle(self, request: CallerRequest) -> Answer:
        """Return the handler's answer, with a body that is tracked."""
        tracked = self.in_flight.begin(request.request_id, None)
        try:
            answer = await self.handler.handle(request)
        except BaseException:
            self.in_flight.end(tracked)
            raise
        tracked.route = answer.route
        tracked.stage = Stage.DELIVERING
        answer.body = TrackedBody(answer.body, tracked, self.in_flight)
        return answer


class TrackedBody(Body):
    """An answer's body that keeps its request in flight until closed."""

    def __init__(
        self, body: Body, request: InFlight, in_flight: InFlightRequests
    ):
        """Pass on `body`."""
        self.body = body
        self.request = request
        self.in_flight = in_flight

    @property
    def length(self) -> int | None:
        """Return the announced length in bytes, or None."""
        return self.body.length

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of it are in memory."""
        return self.body.held_bytes

    def receive_nowait(self) -> bytes | None:
        """Return the bytes already received, or None."""
        return self.body.receive_nowait()

    async def receive(self) -> bytes:
        """Return the body's next bytes, or `b""` at the verified end."""
        return await self.body.receive()

    async def aclose(self) -> None:
        """Close the body and end the tracking."""
        try:
            await self.body.aclose()
        finally:
            self.in_flight.end(self.request)


@dataclasses.dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request that has no answer yet.

    Attributes:
        request: The request.
        scope: Cancels what runs for it.
    """

    request: CallerRequest
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )

    @property
    def waits(self) -> bool:
        """Return whether neither a target nor another host has it now."""
        if self.request.at_peer:
            return False
        return all(_has_failed(each) for each in self.request.attempts)


class ServingEnd:
    """Tells until when this host serves requests, and refuses the rest.

    Attributes:
        until: When the last answer has to have come from a target; infinite
            unless the host stops.
        watchers: Called once `until` is known.
        tracked: The requests that have no answer yet.
    """

    def __init__(self) -> None:
        """Start without an end."""
        self.until = Deadline(math.inf)
        self.watchers: list[Callable[[], None]] = []
        self.tracked: dict[TrackedRequest, None] = {}

    def begin(self, until: Deadline) -> None:
        """Serve no request that would be answered later than `until`."""
        self.until = until
        for watcher in self.watchers:
            watcher()

    @contextmanager
    def track(self, request: CallerRequest) -> Iterator[None]:
        """Leave the `with` block early if `request` has to be refused."""
        tracked = TrackedRequest(request)
        self.tracked[tracked] = None
        try:
            with tracked.scope:
                yield
        finally:
            del self.tracked[tracked]

    def refuse_waiting(self) -> None:
        """Refuse the requests that neither a target nor another host has."""
        for tracked in list(self.tracked):
            if tracked.waits:
                tracked.scope.cancel()

    def refuse_forwarded(self) -> None:
        """Refuse the requests that another host has not answered yet."""
        for tracked in list(self.tracked):
            if tracked.request.at_peer:
                tracked.scope.cancel()


def stopping_refusal(request: CallerRequest) -> Refusal:
    """Return the refusal of a request that its host can't serve any more.

    Its caller need not wait: other hosts take the request at once.
    """
    may_have_run = request.lost_at_peer or any(
        not _is_not_run(each) for each in request.attempts
    )
    return Refusal(
        RefusalReason.SHUTTING_DOWN,
        "This host is leaving and can't serve the request in time.",
        Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        Deadline(trio.current_time()),
    )


def _has_failed(record: AttemptRecord) -> bool:
    return record.failure is not None or record.cancelled


def _is_not_run(record: AttemptRecord) -> bool:
    if record.failure is None:
        return False
    return REASON_RULES[record.failure].outcome is Outcome.NOT_RUN
