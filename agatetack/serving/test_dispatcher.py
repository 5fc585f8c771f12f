"""Check how requests are matched, refused and explained."""

import orjson
import pytest
import trio
from returns.result import Failure, Success

from agatetack.callers.parser import RequestBody
from agatetack.callers.streamed_body import (
    BodyTooLarge,
    KeptBodies,
    StreamedBody,
)
from agatetack.clock import Lateness
from agatetack.config.route import (
    Currency,
    RequestClass,
    Route,
    RouteSource,
    RouteTable,
)
from agatetack.identity.accounts import (
    AccountSource,
    AccountTable,
    ClientAccount,
)
from agatetack.identity.check import AccountCheck
from agatetack.identity.keys import hash_key
from agatetack.ids import (
    CallerId,
    Deadline,
    IdempotencyKey,
    RequestId,
    RouteId,
    ServiceId,
    TargetId,
    TeamId,
)
from agatetack.messages import (
    Answer,
    Body,
    BytesBody,
    CallerGone,
    CallerRequest,
    Handler,
    Header,
    find_header,
)
from agatetack.metrics import Metrics
from agatetack.outcomes import (
    Outcome,
    RefusalReason,
    RetryReason,
    TicketRefusal,
    refuse,
)
from agatetack.quarantine.tracker import CrashTracker
from agatetack.quotas.limiter import QuotaLimiter
from agatetack.serving.dispatcher import ClassRunner, Dispatcher
from agatetack.serving.explain import Explanations
from agatetack.settings.defaults import default_settings

SETTINGS = default_settings()
QUEUE_FULL = refuse(RefusalReason.QUEUE_FULL, "full")


def route(name, request_class=RequestClass.FAST, **fields):
    return Route(
        RouteId(name),
        TeamId("t"),
        ServiceId(name),
        request_class,
        f"/{name}",
        **fields,
    )


IN_DOUBT = TicketRefusal(
    RefusalReason.TICKET_IN_DOUBT, "doubt", Outcome.UNKNOWN, ticket="t-1"
)

ROUTES = [
    route("fast", deadline_seconds=2.0, max_body_bytes=3),
    route("once", RequestClass.ONCE, max_body_bytes=3),
    route("broken"),
    route("full"),
    route("doubt", RequestClass.DEFERRED),
]


class Runner(ClassRunner):
    """Answers, refuses or fails, by the route's id."""

    def __init__(self):
        self.requests = []

    async def run(self, route, request):
        await trio.lowlevel.checkpoint()
        self.requests.append(request)
        if route.id == "broken":
            raise ValueError("a bug")
        while await request.body.receive():
            pass
        if route.id == "full":
            return Failure(QUEUE_FULL)
        if route.id == "doubt":
            return Failure(IN_DOUBT)
        return Success(Answer(200, [], BytesBody(b"ok")))


class Tickets(Handler):
    """Answers every poll."""

    async def handle(self, request):
        if request.path.endswith(b"broken"):
            raise ValueError("a bug")
        return Answer(204, [], BytesBody(b""))


class NoCrashes(CrashTracker):
    """Suspects no request of crashing targets."""

    def check(self, route, request):
        return None

    def connection_lost(self, route, request, target):
        pass

    def answered(self, route, request):
        pass


def make_dispatcher(
    table, accounts=None, quotas=None, currency=None, source=None
):
    runner = Runner()
    runners = {request_class: runner for request_class in RequestClass}
    return Dispatcher(
        SETTINGS,
        source or RouteSource(table),
        runners,
        Tickets(),
        NoCrashes(),
        Explanations(),
        Metrics(),
        accounts=accounts,
        quotas=quotas,
        currency=currency,
    )


def make_request(path, key=None, body=b"", left=None):
    now = trio.current_time()
    return CallerRequest(
        request_id=RequestId("r1"),
        caller=CallerId("c"),
        method=b"POST",
        path=path,
        host=b"a",
        headers=[],
        body=BytesBody(body),
        deadline=Deadline(now + (10 if left is None else left)),
        key=None if key is None else IdempotencyKey(key),
        arrived=Deadline(now),
        deadline_given=left is not None,
    )


@pytest.mark.parametrize(
    ("path", "key", "body", "left", "status", "reason", "outcome"),
    [
        (b"/fast", None, b"", None, 200, None, None),
        (b"/fast/x?y=1", None, b"", None, 200, None, None),
        (b"/faster", None, b"", None, 404, "no-route", "not-run"),
        (b"/none", None, b"", None, 404, "no-route", "not-run"),
        (b"/none", "k", b"", None, 404, "no-route", "unknown"),
        (b"/fast", None, b"long", None, 413, "body-too-large", "not-run"),
        (b"/fast", "k", b"long", None, 413, "body-too-large", "not-run"),
        (b"/once", "k", b"long", None, 413, "body-too-large", "unknown"),
        (b"/fast", None, b"", 0, 503, "cannot-meet-deadline", "not-run"),
        (b"/once", "k", b"", 0, 503, "cannot-meet-deadline", "unknown"),
        (b"/broken", None, b"", None, 500, "internal-error", "unknown"),
        (b"/full", None, b"", None, 503, "queue-full", "not-run"),
        (b"/agatetack/tickets/1", None, b"", None, 204, None, None),
        (
            b"/agatetack/tickets/broken",
            None,
            b"",
            None,
            500,
            "internal-error",
            "unknown",
        ),
    ],
)
async def test_each_request_gets_one_answer_and_reason(
    path, key, body, left, status, reason, outcome, autojump_clock
):
    dispatcher = make_dispatcher(RouteTable(ROUTES))
    request = make_request(path, key, body, left)
    answer = await dispatcher.handle(request)
    assert answer.status == status
    if reason is None:
        return
    assert find_header(answer.headers, b"x-reason") == reason.encode()
    assert find_header(answer.headers, b"x-outcome") == outcome.encode()
    problem = orjson.loads(answer.body.content)
    assert problem["request_id"] == "r1"
    assert (find_header(answer.headers, b"retry-after") is not None) is (
        status == 503
    )
    note = dispatcher.explanations.find(RequestId("r1"))[0]
    assert note.refusal.reason.value == reason


async def handle_on_late_host(late_seconds, left):
    """Return a request, its answer and its note from a host that is late."""
    dispatcher = make_dispatcher(RouteTable(ROUTES))
    dispatcher.lateness = Lateness()
    dispatcher.lateness.seconds = late_seconds
    request = make_request(b"/fast", left=left)
    answer = await dispatcher.handle(request)
    return request, answer, dispatcher.explanations.find(RequestId("r1"))[0]


@pytest.mark.parametrize(
    ("late_seconds", "left"), [(0.0, 0.5), (0.1, 0.5), (1.0, 3.0)]
)
async def test_what_a_late_host_may_answer_in_time_is_not_refused(
    autojump_clock, late_seconds, left
):
    _, answer, _ = await handle_on_late_host(late_seconds, left)
    assert answer.status == 200


# Guards against hosts that hold requests which they lack the time to answer.
@pytest.mark.parametrize(("late_seconds", "left"), [(0.6, 0.5), (2.0, 1.5)])
async def test_what_a_late_host_cannot_answer_in_time_is_refused_at_once(
    autojump_clock, late_seconds, left
):
    request, answer, note = await handle_on_late_host(late_seconds, left)
    assert trio.current_time() == request.arrived
    assert answer.status == 503
    reason = find_header(answer.headers, b"x-reason")
    assert reason == b"cannot-meet-deadline"
    # Until then the host cannot answer in time even if it recovers at once.
    assert note.refusal.retry_at >= request.arrived + late_seconds


class Stream(Body):
    """A body without a Content-Length; an exception in `parts` is raised."""

    def __init__(self, *parts):
        self.parts = list(parts)

    async def receive(self):
        part = self.parts.pop(0) if self.parts else b""
        if isinstance(part, Exception):
            raise part
        return part


@pytest.mark.parametrize(
    ("parts", "status", "outcome"),
    [
        ([b"ab", b"c"], 200, None),
        ([b"ab", b"cd"], 413, b"unknown"),
        ([b"ab", BodyTooLarge(9)], 413, b"unknown"),
    ],
)
async def test_a_stream_is_bounded_by_its_route(
    parts, status, outcome, autojump_clock
):
    dispatcher = make_dispatcher(RouteTable(ROUTES))
    request = make_request(b"/fast")
    request.body = Stream(*parts)
    answer = await dispatcher.handle(request)
    assert answer.status == status
    assert find_header(answer.headers, b"x-outcome") == outcome


async def test_a_caller_that_goes_away_is_no_fault_of_ours(autojump_clock):
    dispatcher = make_dispatcher(RouteTable(ROUTES))
    request = make_request(b"/fast")
    request.body = Stream(b"ab", CallerGone())
    with pytest.raises(CallerGone):
        await dispatcher.handle(request)


async def test_a_ticket_in_doubt_can_still_be_polled(autojump_clock):
    dispatcher = make_dispatcher(RouteTable(ROUTES))
    answer = await dispatcher.handle(make_request(b"/doubt"))
    assert answer.status == 504
    assert find_header(answer.headers, b"x-ticket") == b"t-1"


async def test_without_configuration_nothing_is_run(autojump_clock):
    dispatcher = make_dispatcher(None)
    answer = await dispatcher.handle(make_request(b"/fast"))
    assert answer.status == 503
    assert find_header(answer.headers, b"x-outcome") == b"not-run"


@pytest.mark.parametrize(
    ("key", "outcome"), [(None, b"not-run"), ("k", b"unknown")]
)
async def test_late_in_a_drain_nothing_new_is_taken(
    key, outcome, autojump_clock
):
    dispatcher = make_dispatcher(RouteTable(ROUTES))
    dispatcher.accepting = lambda: False
    answer = await dispatcher.handle(make_request(b"/fast", key))
    assert find_header(answer.headers, b"x-reason") == b"shutting-down"
    assert find_header(answer.headers, b"x-outcome") == outcome


async def test_the_routes_deadline_stands_in_for_the_callers(autojump_clock):
    dispatcher = make_dispatcher(RouteTable(ROUTES))
    request = make_request(b"/fast")
    await dispatcher.handle(request)
    assert request.deadline - request.arrived == pytest.approx(2.0)


def test_every_reason_has_a_counter_from_the_start():
    text = Metrics().render()[0].decode()
    for reason in (*RefusalReason, *RetryReason):
        assert f'reason="{reason.value}"' in text


def test_the_page_of_metrics_stays_bounded():
    metrics = Metrics()
    for number in range(1000):
        metrics.target_answered(TargetId(f"t{number}"), 0.01)
    lines = metrics.render()[0].decode().count("agatetack_target_latency")
    assert lines < 5000


def test_every_reason_has_a_status_and_an_outcome():
    for reason in RefusalReason:
        refusal = refuse(reason, "")
        assert 400 <= refusal.status <= 599
        assert isinstance(refusal.outcome, Outcome)


class FixedQuota(QuotaLimiter):
    """Admits a fixed number of requests."""

    def __init__(self, left):
        self.left = left
        self.refunded = 0

    def admit(self, account, returning=False):
        if not self.left:
            return Deadline(trio.current_time() + 2.0)
        self.left -= 1
        return None

    def refund(self, account):
        self.refunded += 1


ACCOUNT = ClientAccount("acme", frozenset([hash_key(b"key")]))


# Guards against a credit being lost for a request that did not run.
@pytest.mark.parametrize(
    ("path", "key", "left", "status", "used", "refunded"),
    [
        (b"/fast", b"key", 1, 200, 1, 0),
        (b"/full", b"key", 1, 503, 1, 1),
        (b"/broken", b"key", 1, 500, 1, 0),
        (b"/doubt", b"key", 1, 504, 1, 0),
        (b"/fast", b"key", 0, 429, 0, 0),
        (b"/fast", b"other", 1, 401, 0, 0),
        (b"/none", b"key", 1, 404, 0, 0),
    ],
)
async def test_a_request_uses_the_quota_of_its_account(
    autojump_clock, path, key, left, status, used, refunded
):
    table = RouteTable(ROUTES)
    source = AccountSource(AccountTable([ACCOUNT]))
    quotas = FixedQuota(left)
    accounts = AccountCheck(SETTINGS, source, Metrics())
    dispatcher = make_dispatcher(table, accounts, quotas)
    request = make_request(path)
    request.headers = [Header(b"authorization", b"Bearer " + key)]
    answer = await dispatcher.handle(request)
    assert answer.status == status
    assert left - quotas.left == used
    assert quotas.refunded == refunded
    challenged = find_header(answer.headers, b"www-authenticate") is not None
    assert challenged is (status == 401)
    waits = find_header(answer.headers, b"retry-after") is not None
    assert waits is (status in (429, 503))


# Guards against a second check of the key, which was removed, by the host that
# a request was passed to.
async def test_a_forwarded_request_is_not_identified_again():
    source = AccountSource(AccountTable([ACCOUNT]))
    accounts = AccountCheck(SETTINGS, source, Metrics())
    dispatcher = make_dispatcher(RouteTable(ROUTES), accounts, FixedQuota(0))
    request = make_request(b"/fast")
    request.forwarded = True
    result = await dispatcher.run_forwarded(request)
    assert result.unwrap().status == 200


def streamed(length, read_more):
    callers = SETTINGS.callers
    kept = KeptBodies(callers, Metrics())
    source = RequestBody(length, read_more)
    return StreamedBody(source, callers.max_body_bytes, 1000, kept)


@pytest.mark.parametrize(
    ("path", "left", "accepting", "length", "reason"),
    [
        (b"/none", None, True, 3, "no-route"),
        (b"/fast", 0, True, 3, "cannot-meet-deadline"),
        (b"/fast", None, False, 3, "shutting-down"),
        (b"/fast", None, True, 4, "body-too-large"),
    ],
)
async def test_refusals_that_need_no_body_come_before_it_is_read(
    path, left, accepting, length, reason, autojump_clock
):
    """Guards against uploads that are read only to be refused."""

    async def read_more():
        raise AssertionError("the body was read")

    dispatcher = make_dispatcher(RouteTable(ROUTES))
    dispatcher.accepting = lambda: accepting
    request = make_request(path, None, b"", left)
    request.body = streamed(length, read_more)
    answer = await dispatcher.handle(request)
    assert find_header(answer.headers, b"x-reason") == reason.encode()


async def test_a_streamed_body_is_held_to_the_routes_bound(autojump_clock):
    """Guards against a body without a length beyond its route's bound."""

    async def read_more():
        body.source.feed(b"ab")

    body = streamed(None, read_more)
    request = make_request(b"/fast")
    request.body = body
    answer = await make_dispatcher(RouteTable(ROUTES)).handle(request)
    assert answer.status == 413
    assert find_header(answer.headers, b"x-outcome") == b"unknown"


async def test_what_was_kept_is_released_with_the_answer(autojump_clock):
    """Guards against memory that a slow reader of an answer holds."""

    async def read_more():
        body.source.feed(b"ab")
        body.source.complete = True

    body = streamed(2, read_more)
    request = make_request(b"/fast")
    request.body = body
    answer = await make_dispatcher(RouteTable(ROUTES)).handle(request)
    assert answer.status == 200
    assert body.received == 2
    assert body.kept_bodies.used == 0


class TimedCurrency(Currency):
    """Is old, and may lack routes, for some time."""

    def __init__(self, old_seconds, lacks_seconds):
        now = trio.current_time()
        self.old_until = now + old_seconds
        self.lacks_until = now + lacks_seconds

    @property
    def is_old(self):
        return trio.current_time() < self.old_until

    @property
    def may_lack_routes(self):
        return trio.current_time() < self.lacks_until


# Guards against a host that has not looked at the newest configuration yet and
# serves by an old one, or says for good that a route isn't there.
@pytest.mark.parametrize(
    ("old", "lacks", "added_after", "path", "left", "status", "seconds"),
    [
        (0, 0, 9, b"/fast", 10, 200, 0.0),
        (0, 9, 9, b"/fast", 10, 200, 0.0),
        (0.1, 0, 9, b"/fast", 10, 200, 0.1),
        (9, 9, 9, b"/fast", 10, 200, 0.3),
        (0, 0, 9, b"/added", 10, 404, 0.0),
        (0, 9, 0.1, b"/added", 10, 200, 0.1),
        (0.1, 0, 0.05, b"/added", 10, 200, 0.1),
        (0, 9, 9, b"/added", 10, 503, 0.3),
        (9, 9, 9, b"/added", 10, 503, 0.3),
        (0, 0.1, 9, b"/added", 10, 404, 0.1),
        (0, 9, 9, b"/added", 0.2, 503, 0.2),
    ],
)
@pytest.mark.parametrize("forwarded", [False, True])
async def test_a_host_that_lacks_the_newest_routes_does_not_deny_them(
    autojump_clock,
    old,
    lacks,
    added_after,
    path,
    left,
    status,
    seconds,
    forwarded,
):
    source = RouteSource(RouteTable(ROUTES))
    dispatcher = make_dispatcher(
        None, currency=TimedCurrency(old, lacks), source=source
    )

    async def add():
        await trio.sleep(added_after)
        source.table = RouteTable([*ROUTES, route("added")])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(add)
        asked_at = trio.current_time()
        request = make_request(path, left=left)
        if forwarded:
            result = await dispatcher.run_forwarded(request)
            got = result.value_or(None)
            failed = {404: RefusalReason.NO_ROUTE}.get(
                status, RefusalReason.NO_CONFIGURATION
            )
            if status == 200:
                assert got.status == 200
            else:
                assert result.failure().reason is failed
        else:
            answer = await dispatcher.handle(request)
            assert answer.status == status
            headers = {each.name for each in answer.headers}
            assert (b"retry-after" in headers) is (status == 503)
        took = trio.current_time() - asked_at
        nursery.cancel_scope.cancel()
    assert seconds <= took < seconds + 0.03
