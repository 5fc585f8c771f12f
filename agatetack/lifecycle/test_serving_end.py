"""Test the refusals of requests that wait while their host stops."""

import httpcore
import pytest
import trio
import trio.testing

from agatetack.attempts.test_support import Crashes
from agatetack.clock import FixedClock
from agatetack.config.route import RequestClass, RouteSource, RouteTable
from agatetack.ids import AttemptId, Deadline, IdempotencyKey, TargetId
from agatetack.lifecycle.drain import LAST_REFUSAL_SECONDS, Lifecycle
from agatetack.lifecycle.in_flight import TrackingHandler
from agatetack.messages import AttemptRecord, find_header
from agatetack.metrics import Metrics
from agatetack.outcomes import RefusalReason
from agatetack.serving.dispatcher import ClassRunner, Dispatcher
from agatetack.serving.explain import Explanations
from agatetack.settings.defaults import default_settings
from agatetack.testing.fake_target import FakeTargetOptions
from agatetack.testing.store_fleet import route_fields, store_fleet
from agatetack.testing.targets import make_request, make_route

NOTICE, DRAIN = 2.5, 5.6
SETTINGS = default_settings(
    lifecycle={"notice_seconds": NOTICE, "drain_seconds": DRAIN}
)


def record(failure=None, cancelled=False):
    return AttemptRecord(
        AttemptId("a"),
        TargetId("t"),
        Deadline(0.0),
        failure=failure,
        cancelled=cancelled,
    )


class Waits(ClassRunner):
    """Leaves requests where a test puts them, and never answers.

    Attributes:
        place: Puts a request into its place.
        cancelled_at: When each request was cancelled.
    """

    def __init__(self, place):
        self.place = place
        self.cancelled_at = []

    async def run(self, route, request):
        self.place(request)
        try:
            await trio.sleep_forever()
        except trio.Cancelled:
            self.cancelled_at.append(trio.current_time())
            if request.at_peer:
                request.at_peer, request.lost_at_peer = False, True
            raise


def fails(*reasons):
    """Put a request behind attempts that failed."""

    def place(request):
        request.attempts = [record(reason) for reason in reasons]

    return place


def at_peer(request):
    request.at_peer = True


def with_target(request):
    request.attempts = [record(RefusalReason.SHED_BY_TARGET), record()]


def cancelled_at_target(request):
    request.attempts = [record(cancelled=True)]


def host(runner, request_class):
    """Return a host's lifecycle, and what answers its requests."""
    lifecycle = Lifecycle(SETTINGS, Metrics(), FixedClock())
    table = RouteTable([make_route(request_class=request_class)])
    dispatcher = Dispatcher(
        SETTINGS,
        RouteSource(table),
        {request_class: runner},
        None,
        Crashes(),
        Explanations(),
        Metrics(),
        serving_end=lifecycle.serving_end,
    )

    async def flush(deadline):
        await trio.sleep_until(deadline)

    lifecycle.add_flush("callers", flush)
    return lifecycle, TrackingHandler(dispatcher, lifecycle.in_flight)


FLUSH_START = DRAIN * 0.9
LAST = DRAIN - LAST_REFUSAL_SECONDS


# Guards against requests that are neither answered nor refused as a host stops,
# and against refusals that say "not run" of requests that may have run.
@pytest.mark.parametrize(
    ("place", "request_class", "key", "at", "outcome"),
    [
        # A look, a claim, a body's slot or a quota: nothing was sent.
        (fails(), RequestClass.FAST, None, FLUSH_START, b"not-run"),
        (fails(), RequestClass.ONCE, None, FLUSH_START, b"not-run"),
        (fails(), RequestClass.WHOLE, None, FLUSH_START, b"not-run"),
        # A claim that may be decided.
        (fails(), RequestClass.ONCE, "k", FLUSH_START, b"unknown"),
        # A pause before another send.
        (
            fails(RefusalReason.SHED_BY_TARGET, RefusalReason.CONNECT_FAILED),
            RequestClass.ONCE,
            None,
            FLUSH_START,
            b"not-run",
        ),
        (
            fails(RefusalReason.SHED_BY_TARGET, RefusalReason.CONNECTION_LOST),
            RequestClass.FAST,
            None,
            FLUSH_START,
            b"unknown",
        ),
        (
            cancelled_at_target,
            RequestClass.FAST,
            None,
            FLUSH_START,
            b"unknown",
        ),
        # Another host may still answer.
        (at_peer, RequestClass.ONCE, None, LAST, b"unknown"),
        # The target may still answer, and it is not cut before the end.
        (with_target, RequestClass.FAST, None, None, None),
        # It may be accepted already.
        (fails(), RequestClass.DEFERRED, "k", None, None),
    ],
)
async def test_a_request_that_waits_at_the_end_of_a_drain_is_refused(
    autojump_clock, place, request_class, key, at, outcome
):
    runner = Waits(place)
    lifecycle, handler = host(runner, request_class)
    answers = []
    async with trio.open_nursery() as nursery:

        async def ask():
            request = make_request(seconds=60.0)
            request.host, request.path = b"a", b"/"
            request.key = None if key is None else IdempotencyKey(key)
            answer = await handler.handle(request)
            answers.append((trio.current_time(), answer))
            await answer.aclose()

        nursery.start_soon(ask)
        await trio.testing.wait_all_tasks_blocked()
        begin = trio.current_time()
        report = await lifecycle.drain()
        assert bool(report.cut) is (at is None)
        nursery.cancel_scope.cancel()
    if at is None:
        assert not answers
        return
    ((answered_at, answer),) = answers
    assert answered_at == pytest.approx(begin + at, abs=0.01)
    names = SETTINGS.callers.headers
    assert find_header(answer.headers, names.outcome.encode()) == outcome
    if outcome == b"not-run":
        # Other hosts take it at once.
        assert float(find_header(answer.headers, b"retry-after")) == 0


# Guards against a drain that lasts longer though nothing waits.
async def test_an_idle_host_does_not_drain_for_longer(autojump_clock):
    lifecycle = Lifecycle(SETTINGS, Metrics(), FixedClock())
    begin = trio.current_time()
    await lifecycle.drain()
    assert trio.current_time() == pytest.approx(begin + NOTICE)


# Guards against connections that are reset, as requests that were read wait for
# a target when their host's drain ends.
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_a_stopped_host_answers_all_requests_of_a_long_queue(kind):
    fields = route_fields(route_type=kind, timeout="20s")
    options = FakeTargetOptions(slots=2, service_seconds=0.5)
    async with store_fleet(fields, targets=1, options=options) as fleet:
        gateway, target = fleet.gateways[0], fleet.targets[0]
        # Each request has a connection of its own.
        fleet.http = httpcore.AsyncConnectionPool(max_connections=None)
        await fleet.get("/a/x", request_id="first", method="POST")
        answers = {}

        async def ask(name):
            answers[name] = await fleet.get(
                "/a/x", request_id=name, method="POST", timeout_ms=20_000
            )

        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(ask, f"q{number}")
            await trio.sleep(1.0)
            gateway.stops.send_nowait(15)
            gateway.stops.send_nowait(15)
            report = await gateway.lifecycle.drain_on(gateway.stops_out)
            assert not report.cut
        ran = [each.request_id for each in target.executed]
        for name, answer in answers.items():
            assert answer.status in (200, 503)
            assert (name in ran) is (answer.status == 200)
        statuses = [answer.status for answer in answers.values()]
        assert statuses.count(200) >= 10
        assert statuses.count(503) >= 20
