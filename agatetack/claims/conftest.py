"""Provide claim tests with a small fleet on one log."""

import pytest
import trio

from agatetack.claims.log_store import LogClaimStore
from agatetack.clock import Clock
from agatetack.config.route import RequestClass, Route
from agatetack.ids import (
    AttemptId,
    CallerId,
    Deadline,
    HostId,
    IdempotencyKey,
    RequestId,
    RouteId,
    ServiceId,
    TeamId,
    WallTime,
)
from agatetack.messages import BytesBody, CallerRequest, Header
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.memory_log import MemoryLog, MemoryLogService

ROUTE = Route(
    RouteId("pay"), TeamId("t"), ServiceId("s"), RequestClass.ONCE, "/pay"
)
EPOCH = 1_700_000_000.0
RETENTION_SECONDS = 3600


class SkewedClock(Clock):
    """A wall clock that advances with trio's, off by `skew` seconds."""

    def __init__(self, start: float, skew: float = 0.0):
        """Return `EPOCH` plus `skew` at time `start` of trio's clock."""
        self.start = start
        self.skew = skew

    def wall(self) -> WallTime:
        """Return the wall time, in seconds since 1970."""
        elapsed = trio.current_time() - self.start
        return WallTime(EPOCH + elapsed + self.skew)


class ClaimFleet:
    """Hosts `h0`, `h1` and so on that share a log and a mesh."""

    def __init__(self, nursery: trio.Nursery, **claims: float):
        """Start with no host; `claims` are settings."""
        self.nursery = nursery
        # Tests wait little longer than this for hosts to notice an outage.
        self.platform = {
            "log": {
                "retention_seconds": RETENTION_SECONDS,
                "poll_seconds": 1,
            }
        }
        self.claims = {"partitions": 1} | claims
        self.start = trio.current_time()
        self.log = MemoryLogService(SkewedClock(self.start))
        self.mesh = MemoryMesh(nursery)
        self.clients: list[MemoryLog] = []
        self.scopes: list[trio.CancelScope] = []
        self.attempts = 0

    async def add(self, skew: float = 0.0) -> LogClaimStore:
        """Start a further host and let it read the log."""
        name = HostId(f"h{len(self.clients)}")
        client = MemoryLog(self.log, self.nursery)
        store = LogClaimStore(
            default_settings(
                host={"id": name}, platform=self.platform, claims=self.claims
            ),
            client,
            self.mesh.join(name),
            Metrics(),
            SkewedClock(self.start, skew),
        )
        scope = trio.CancelScope()
        self.clients.append(client)
        self.scopes.append(scope)
        await self.nursery.start(self._run, scope, store)
        await trio.sleep(0.05)
        return store

    async def _run(self, scope, store, task_status) -> None:
        with scope:
            await store.run(task_status)

    async def claim(self, store: LogClaimStore, key="k", **request):
        """Claim as a new attempt and return the result."""
        self.attempts += 1
        attempt = AttemptId(f"a{self.attempts}")
        return await store.claim(ROUTE, make_request(key, **request), attempt)


def make_request(
    key="k", body=b"1", issued=None, seconds=5.0, age=0.0
) -> CallerRequest:
    """Return a request that arrived `age` seconds ago."""
    headers = []
    if issued is not None:
        headers.append(Header(b"x-key-issued-at-ms", str(issued).encode()))
    now = trio.current_time()
    return CallerRequest(
        request_id=RequestId("r"),
        caller=CallerId("c"),
        method=b"POST",
        path=b"/pay",
        host=b"",
        headers=headers,
        body=BytesBody(body),
        deadline=Deadline(now + seconds),
        key=None if key is None else IdempotencyKey(key),
        arrived=Deadline(now - age),
    )


@pytest.fixture
async def fleet(nursery):
    """Provide a fleet without hosts."""
    return ClaimFleet(nursery)
