"""Test requests that a host passes to another one."""

import dataclasses

import pytest
import trio
from returns.result import Failure, Success

from agatetack.callers.parser import RequestBody
from agatetack.callers.streamed_body import KeptBodies, StreamedBody
from agatetack.config.route import RequestClass, Route
from agatetack.forwarding.forwarder import (
    MAX_FORWARDED_PER_HOST,
    REPLY_GRACE_SECONDS,
    Forwarder,
)
from agatetack.forwarding.receiver import ForwardReceiver
from agatetack.forwarding.runner import ForwardingRunner
from agatetack.ids import (
    CallerId,
    Deadline,
    HostId,
    LogOffset,
    RequestId,
    RouteId,
    TeamId,
)
from agatetack.lifecycle.in_flight import InFlightRequests
from agatetack.measure.path_sharing import PathSharing
from agatetack.messages import Answer, Body, BytesBody, CallerRequest, Header
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, RefusalReason, refuse
from agatetack.peers.exchange import Topic
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.testing.memory_exchange import MemoryMesh
from agatetack.testing.targets import SERVICE, listed_target

MAX_FRAME_BYTES = 4000

ROUTE = Route(
    RouteId("r"),
    TeamId("t"),
    SERVICE,
    RequestClass.FAST,
    "/",
    "",
    5.0,
    1 << 20,
    0.0,
    0,
    LogOffset(1),
)


class Host:
    """One host, whose requests run in `run_request`."""

    def __init__(self, mesh, name, result=None):
        self.metrics = Metrics()
        self.exchange = mesh.join(HostId(name))
        self.registry = TargetRegistry(default_settings(), self.metrics)
        self.registry.update([listed_target(1), listed_target(2)])
        self.paths = PathSharing(
            self.registry, self.exchange, self.metrics, lambda target: None
        )
        self.forwarder = Forwarder(
            self.registry,
            self.exchange,
            self.paths,
            lambda target, now: target.in_flight < target.slots,
            self.metrics,
        )
        self.in_flight = InFlightRequests()
        self.receiver = ForwardReceiver(
            self.exchange,
            self.run_request,
            self.in_flight,
            MAX_FRAME_BYTES,
            self.metrics,
        )
        self.exchange.servers[Topic.FORWARD] = detached(
            mesh.nursery, self.receiver.answer
        )
        self.result = result or Success(
            Answer(200, [Header(b"a", b"b")], BytesBody(b"content"))
        )
        self.seconds = 0.0
        self.started = []
        self.ended = 0

    async def run_request(self, request):
        self.started.append(request)
        await trio.sleep(self.seconds)
        self.ended += 1
        return self.result

    def cut_off(self):
        for target in list(self.registry.targets(SERVICE)):
            self.registry.paths.note_refused(target)


def detached(nursery, handler):
    """Return `handler` running on when its caller is cancelled, as links do."""

    async def answer(sender, payload):
        replies = []
        done = trio.Event()

        async def run():
            replies.append(await handler(sender, payload))
            done.set()

        nursery.start_soon(run)
        await done.wait()
        return replies[0]

    return answer


class Stream(Body):
    """A body that can't be sent twice."""

    async def receive(self):
        return b""


def make_request(**fields):
    now = trio.current_time()
    request = CallerRequest(
        RequestId("r1"),
        CallerId("c"),
        b"POST",
        b"/x?y=1",
        b"a.example",
        [Header(b"h", b"v")],
        BytesBody(b"body"),
        Deadline(now + 2.0),
        None,
        Deadline(now),
    )
    return dataclasses.replace(request, **fields)


def failure(reason, outcome=None):
    refusal = refuse(reason, "Why.", Deadline(trio.current_time() + 3))
    if outcome is not None:
        refusal = dataclasses.replace(refusal, outcome=outcome)
    return Failure(refusal)


def fleet(nursery, count=3, cut_off=True):
    """Return hosts, of which the first reaches no target if `cut_off`."""
    mesh = MemoryMesh(nursery)
    hosts = [Host(mesh, f"h{n}") for n in range(count)]
    for host in hosts:
        nursery.start_soon(host.forwarder.run)
    if cut_off:
        hosts[0].cut_off()
    return mesh, hosts


@pytest.mark.parametrize(
    ("method", "answered", "length"),
    [
        (b"GET", BytesBody(b"content"), 7),
        (b"POST", BytesBody(b""), 0),
        (b"HEAD", Stream(), 99),
    ],
)
async def test_the_answer_comes_back_whole(
    autojump_clock, method, answered, length
):
    async with trio.open_nursery() as nursery:
        _, (own, other) = fleet(nursery, 2)
        answered.length = length
        headers = [Header(b"server-signature", b"s"), Header(b"a", b"\xff")]
        other.result = Success(Answer(201, headers, answered))
        request = make_request(method=method, key="k")
        result = await own.forwarder.forward(ROUTE, request)
        answer = result.unwrap()
        assert (answer.status, answer.headers) == (201, headers)
        assert answer.body.length == length
        (taken,) = other.started
        for name in ("request_id", "caller", "method", "path", "host", "key"):
            assert getattr(taken, name) == getattr(request, name)
        assert taken.headers == request.headers
        assert taken.body.content == b"body"
        assert taken.deadline == pytest.approx(request.deadline, abs=0.01)
        assert taken.forwarded
        nursery.cancel_scope.cancel()


# Guards against a request that may have run being sent to another host.
@pytest.mark.parametrize(
    ("reason", "outcome", "hosts"),
    [
        (RefusalReason.NO_TARGET, None, 2),
        (RefusalReason.CONNECT_FAILED, None, 2),
        (RefusalReason.SHUTTING_DOWN, None, 2),
        (RefusalReason.NO_TARGET, Outcome.UNKNOWN, 1),
        (RefusalReason.QUEUE_FULL, None, 1),
        (RefusalReason.CANNOT_MEET_DEADLINE, None, 1),
        (RefusalReason.ANSWER_TIMEOUT, None, 1),
        (RefusalReason.CONNECTION_LOST, None, 1),
    ],
)
async def test_which_refusals_another_host_may_be_asked_after(
    autojump_clock, reason, outcome, hosts
):
    async with trio.open_nursery() as nursery:
        _, (own, *others) = fleet(nursery, 4)
        refused = failure(reason, outcome)
        for other in others:
            other.result = refused
        result = await own.forwarder.forward(ROUTE, make_request())
        found, told = result.failure(), refused.failure()
        assert (found.reason, found.outcome) == (told.reason, told.outcome)
        assert found.retry_at == pytest.approx(told.retry_at, abs=0.01)
        assert sum(len(other.started) for other in others) == hosts
        nursery.cancel_scope.cancel()


# Guards against a request running twice as the link with a host is lost.
async def test_a_lost_reply_is_unknown_and_not_repeated(autojump_clock):
    async with trio.open_nursery() as nursery:
        mesh, (own, *others) = fleet(nursery)
        for other in others:
            other.seconds = 0.1
        request = make_request()
        nursery.start_soon(lose_links, mesh, "h0", 0.05)
        result = await own.forwarder.forward(ROUTE, request)
        assert result.failure().outcome is Outcome.UNKNOWN
        assert sum(len(other.started) for other in others) == 1
        late = trio.current_time() - request.deadline
        assert late <= REPLY_GRACE_SECONDS + 0.001
        nursery.cancel_scope.cancel()


async def lose_links(mesh, host, seconds):
    await trio.sleep(seconds)
    mesh.isolate(host)


@pytest.mark.parametrize(
    ("gives_up", "reason"),
    [(0.2, None), (9.0, RefusalReason.ANSWER_TIMEOUT)],
)
async def test_the_other_host_stops_once_nobody_waits(
    autojump_clock, gives_up, reason
):
    async with trio.open_nursery() as nursery:
        mesh, (own, other) = fleet(nursery, 2)
        mesh.delay_seconds = 0.001
        other.seconds = 60.0
        result = None
        with trio.move_on_after(gives_up):
            result = await own.forwarder.forward(ROUTE, make_request())
        assert len(other.in_flight) == 1
        await trio.sleep(0.01)
        assert len(other.started) == 1
        assert not other.receiver.running
        assert not other.in_flight.all()
        assert not other.ended
        assert not own.forwarder.in_progress["h1"]
        if reason is not None:
            assert result.failure().reason is reason
        nursery.cancel_scope.cancel()


async def test_a_request_that_was_passed_on_is_not_passed_on_again(
    autojump_clock,
):
    async with trio.open_nursery() as nursery:
        _, (own, other) = fleet(nursery, 2)
        refused = failure(RefusalReason.NO_TARGET)

        class Refusing:
            async def run(self, route, request):
                return refused

        runner = ForwardingRunner(Refusing(), own.forwarder)
        result = await runner.run(ROUTE, make_request(forwarded=True))
        assert result is refused
        assert not other.started
        result = await runner.run(ROUTE, make_request())
        assert result.unwrap().status == 200
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("reason", "outcome", "cut_off", "passed_on"),
    [
        (RefusalReason.NO_TARGET, None, True, True),
        (RefusalReason.CONNECT_FAILED, None, True, True),
        (RefusalReason.CONNECT_FAILED, Outcome.UNKNOWN, True, False),
        (RefusalReason.CONNECTION_LOST, None, True, False),
        (RefusalReason.NO_TARGET, None, False, False),
        (RefusalReason.QUEUE_FULL, None, True, False),
    ],
)
async def test_a_request_that_loses_its_targets_meanwhile_is_passed_on(
    autojump_clock, reason, outcome, cut_off, passed_on
):
    async with trio.open_nursery() as nursery:
        _, (own, other) = fleet(nursery, 2, cut_off=False)

        class Losing:
            async def run(self, route, request):
                if cut_off:
                    own.cut_off()
                return failure(reason, outcome)

        runner = ForwardingRunner(Losing(), own.forwarder)
        result = await runner.run(ROUTE, make_request())
        assert isinstance(result, Success) is passed_on
        assert len(other.started) == passed_on
        nursery.cancel_scope.cancel()


class Local:
    """Counts the requests that this host runs itself."""

    def __init__(self):
        self.count = 0

    async def run(self, route, request):
        self.count += 1
        return Success(Answer(200, [], BytesBody(b"local")))


# Guards against all callers of a host waiting for the one target that it still
# reaches, and against hosts that reach the same passing requests around.
@pytest.mark.parametrize(
    ("lost", "lost_there", "in_use", "refused", "passed_on", "local"),
    [
        (1, 0, True, None, 1, 0),
        (1, 0, False, None, 0, 1),
        (0, 0, True, None, 0, 1),
        (1, 1, True, None, 0, 1),
        (1, 0, True, RefusalReason.NO_TARGET, 1, 1),
        (1, 0, True, RefusalReason.QUEUE_FULL, 1, 0),
        (1, 0, True, RefusalReason.CONNECTION_LOST, 1, 0),
    ],
)
async def test_a_host_with_few_targets_left_passes_requests_on(
    autojump_clock, lost, lost_there, in_use, refused, passed_on, local
):
    async with trio.open_nursery() as nursery:
        _, (own, other) = fleet(nursery, 2, cut_off=False)
        nursery.start_soon(other.paths.run)
        for host, count in ((own, lost), (other, lost_there)):
            for target in list(host.registry.targets(SERVICE))[:count]:
                host.registry.paths.note_refused(target)
        await trio.sleep(0.05)
        for target in own.registry.targets(SERVICE) if in_use else ():
            target.in_flight = target.slots
        if refused is not None:
            other.result = failure(refused)
        runner = Local()
        await ForwardingRunner(runner, own.forwarder).run(ROUTE, make_request())
        assert (len(other.started), runner.count) == (passed_on, local)
        nursery.cancel_scope.cancel()


# Guards against a request waiting for a host that can't serve it either.
@pytest.mark.parametrize("case", ["all cut off", "no peer", "streamed"])
async def test_a_request_nobody_can_take_is_refused_at_once(
    autojump_clock, case
):
    async with trio.open_nursery() as nursery:
        mesh, (own, other) = fleet(nursery, 2)
        request = make_request()
        if case == "all cut off":
            nursery.start_soon(other.paths.run)
            other.cut_off()
            await trio.sleep(0.05)
        elif case == "no peer":
            mesh.isolate("h0")
        else:
            request = make_request(body=Stream())
        started = trio.current_time()
        result = await own.forwarder.forward(ROUTE, request)
        assert result.failure().reason is RefusalReason.NO_TARGET
        assert result.failure().outcome is Outcome.NOT_RUN
        assert trio.current_time() == started
        assert not other.started
        nursery.cancel_scope.cancel()


async def test_requests_are_spread_and_bounded(autojump_clock):
    async with trio.open_nursery() as nursery:
        _, (own, *others) = fleet(nursery)
        for other in others:
            other.seconds = 1.0
        results = []

        async def forward():
            results.append(await own.forwarder.forward(ROUTE, make_request()))

        for _ in range(2 * MAX_FORWARDED_PER_HOST + 5):
            nursery.start_soon(forward)
        await trio.sleep(0.1)
        assert [len(o.started) for o in others] == [MAX_FORWARDED_PER_HOST] * 2
        assert len(results) == 5
        await trio.sleep(1.0)
        answered = [r for r in results if isinstance(r, Success)]
        assert len(answered) == 2 * MAX_FORWARDED_PER_HOST
        nursery.cancel_scope.cancel()


async def test_an_answer_too_large_to_pass_back_is_no_answer(autojump_clock):
    async with trio.open_nursery() as nursery:
        _, (own, other) = fleet(nursery, 2)
        content = BytesBody(b"x" * MAX_FRAME_BYTES)
        other.result = Success(Answer(200, [], content))
        result = await own.forwarder.forward(ROUTE, make_request())
        assert result.failure().reason is RefusalReason.RESULT_TOO_LARGE
        assert result.failure().outcome is Outcome.UNKNOWN
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("topic", [Topic.FORWARD, Topic.FORWARD_CANCEL])
@pytest.mark.parametrize("payload", [b"", b"\xff" * 40])
async def test_a_malformed_call_fails(autojump_clock, topic, payload):
    async with trio.open_nursery() as nursery:
        _, (host,) = fleet(nursery, 1)
        assert await host.exchange.servers[topic]("x", payload) is None
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("length", "stalls", "reason", "passed_on"),
    [
        (4, False, None, [b"body"]),
        (None, False, RefusalReason.NO_TARGET, []),
        (11, False, RefusalReason.NO_TARGET, []),
        (4, True, RefusalReason.CANNOT_MEET_DEADLINE, []),
    ],
    ids=["fits", "unknown-length", "too-long", "stalls"],
)
async def test_a_body_that_arrives_is_passed_on_only_whole(
    autojump_clock, length, stalls, reason, passed_on
):
    """Guards against a part of a body at another host as if it were whole."""

    async def read_more():
        if stalls:
            await trio.sleep_forever()
        source.feed(b"bo" if not source.received else b"dy")
        source.complete = source.received == 4

    source = RequestBody(length, read_more)
    kept = KeptBodies(default_settings().callers, Metrics())
    body = StreamedBody(source, 1000, 10, kept)
    async with trio.open_nursery() as nursery:
        _, (own, other) = fleet(nursery, 2)
        result = await own.forwarder.forward(ROUTE, make_request(body=body))
        assert [each.body.content for each in other.started] == passed_on
        if reason is not None:
            assert result.failure().reason is reason
            assert result.failure().outcome is Outcome.NOT_RUN
            # Another target can still get all of it.
            assert body.replayable
        nursery.cancel_scope.cancel()
