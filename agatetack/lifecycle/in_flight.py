"""Track the requests being served until their last byte is sent."""

import dataclasses
import enum
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import trio

from agatetack.ids import Deadline, RequestId, RouteId
from agatetack.messages import Answer, Body, CallerRequest, Handler


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
