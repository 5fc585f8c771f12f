"""Test claims against the log's faults, in tables."""

import trio

from agatetack.claims.log_store import LogClaimStore
from agatetack.clock import FixedClock
from agatetack.config.route import RequestClass, Route
from agatetack.ids import (
    AttemptId,
    CallerId,
    Deadline,
    IdempotencyKey,
    RequestId,
    RouteId,
    ServiceId,
    TeamId,
)
from agatetack.messages import BytesBody, CallerRequest, Header
from agatetack.metrics import Metrics
from agatetack.outcomes import RefusalReason
from agatetack.peers.exchange import NoExchange
from agatetack.settings.defaults import default_settings
from agatetack.testing.memory_log import MemoryLog, MemoryLogService

ROUTE = Route(
    RouteId("pay"), TeamId("t"), ServiceId("s"), RequestClass.ONCE, "/pay"
)


def make_request(key="k", body=b"1", issued=None, seconds=5.0):
    headers = []
    if issued is not None:
        value = str(issued).encode()
        headers.append(Header(b"x-key-issued-at-ms", value))
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
        arrived=Deadline(now),
    )


async def test_second_sender_gets_outcome(nursery, autojump_clock):
    clock = FixedClock()
    service = MemoryLogService(clock)
    settings = default_settings(claims={"partitions": 2})
    stores = []
    for _ in range(2):
        store = LogClaimStore(
            settings, MemoryLog(service), NoExchange(), Metrics(), clock
        )
        await nursery.start(store.run)
        stores.append(store)
    await trio.sleep(0.1)
    first, second = stores
    claim = (await first.claim(ROUTE, make_request(), AttemptId("a"))).unwrap()
    await trio.sleep(0.1)
    refusal = (
        await second.claim(ROUTE, make_request(), AttemptId("b"))
    ).failure()
    assert refusal.reason is RefusalReason.KEY_IN_PROGRESS
    await first.finish(claim, 201)
    await trio.sleep(0.1)
    refusal = (
        await second.claim(ROUTE, make_request(), AttemptId("b"))
    ).failure()
    assert refusal.reason is RefusalReason.KEY_ALREADY_DONE
