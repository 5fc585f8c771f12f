"""Test which requests are refused for crashing targets."""

import dataclasses

import pytest
import trio
import trio.testing

from agatetack.config.route import RequestClass, Route
from agatetack.ids import (
    CallerId,
    Deadline,
    HostId,
    IdempotencyKey,
    RequestId,
    RouteId,
    ServiceId,
    TargetId,
    TeamId,
)
from agatetack.messages import BytesBody, CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.peers.exchange import NoExchange, Topic
from agatetack.quarantine.liveness import LivenessCheck
from agatetack.quarantine.local_tracker import (
    ANSWERED_SECONDS,
    MAX_ANSWERED_REQUESTS,
    LocalCrashTracker,
)
from agatetack.quarantine.tracker import fingerprint
from agatetack.settings.defaults import default_settings

SETTINGS = default_settings(
    quarantine={"max_fingerprints": 10, "hold_seconds": 60}
)
ROUTE = Route(RouteId("r"), TeamId("t"), ServiceId("s"), RequestClass.FAST, "/")
ONCE = dataclasses.replace(ROUTE, request_class=RequestClass.ONCE)
LOST, ANSWERED = "lost", "answered"


def make_request(path=b"/x", body=b"", key=None, method=b"GET"):
    now = Deadline(trio.current_time())
    return CallerRequest(
        request_id=RequestId("r"),
        caller=CallerId("c"),
        method=method,
        path=path,
        host=b"a",
        headers=[],
        body=BytesBody(body),
        deadline=Deadline(now + 5),
        key=key,
        arrived=now,
    )


class ExchangeStub(NoExchange):
    """Delivers messages to other links at once, or drops them if `lossy`."""

    def __init__(self):
        self.others = []
        self.handlers = {}
        self.lossy = False

    def publish(self, topic, payload):
        for other in () if self.lossy else self.others:
            other.handlers[topic](HostId("peer"), payload)

    def subscribe(self, topic, handler):
        self.handlers[topic] = handler


class LivenessStub(LivenessCheck):
    """Returns a fixed result."""

    def __init__(self, up):
        self.up = up

    async def stayed_up(self, target, lost_at, until):
        await trio.sleep_until(until)
        return self.up


def make_trackers(count=2, up=False):
    links = [ExchangeStub() for _ in range(count)]
    for link in links:
        link.others = [other for other in links if other is not link]
    return [
        LocalCrashTracker(SETTINGS, link, LivenessStub(up), Metrics())
        for link in links
    ]


@pytest.mark.parametrize(
    ("events", "held"),
    [
        ([], False),
        ([(0, LOST, "t1")], False),
        ([(0, LOST, "t1"), (0, LOST, "t1")], False),
        ([(0, LOST, "t1"), (0, LOST, "t2")], True),
        ([(0, LOST, "t1"), (1, LOST, "t2")], True),
        ([(0, LOST, "t1"), (1, ANSWERED, ""), (0, LOST, "t2")], False),
        ([(0, LOST, "t1"), (0, LOST, "t2"), (1, ANSWERED, "")], False),
    ],
)
async def test_two_lost_targets_hold_a_request_on_every_host(
    events, held, autojump_clock
):
    trackers = make_trackers()
    request = make_request()
    for host, event, target in events:
        if event is LOST:
            trackers[host].connection_lost(ROUTE, request, TargetId(target))
        else:
            trackers[host].answered(ROUTE, request)
    for tracker in trackers:
        refusal = tracker.check(ROUTE, request)
        assert (refusal is not None) is held
        if held:
            assert refusal.reason is RefusalReason.QUARANTINED
            assert refusal.outcome is Outcome.NOT_RUN
            assert refusal.retry_at > trio.current_time()


async def test_a_held_key_may_have_run_before(autojump_clock):
    tracker = make_trackers()[0]
    request = make_request(key=IdempotencyKey("k"))
    for name in ("t1", "t2"):
        tracker.connection_lost(ONCE, request, TargetId(name))
    assert tracker.check(ONCE, request).outcome is Outcome.UNKNOWN


async def test_the_hold_ends(autojump_clock):
    tracker = make_trackers()[0]
    request = make_request()
    for name in ("t1", "t2"):
        tracker.connection_lost(ROUTE, request, TargetId(name))
    await trio.sleep(59)
    assert tracker.check(ROUTE, request) is not None
    await trio.sleep(2)
    assert tracker.check(ROUTE, request) is None


async def test_hosts_that_tell_each_other_again_do_not_prolong_the_hold(
    autojump_clock,
):
    trackers = make_trackers(count=3)
    request = make_request()
    for name in ("t1", "t2"):
        trackers[0].connection_lost(ROUTE, request, TargetId(name))
    async with trio.open_nursery() as nursery:
        for tracker in trackers:
            nursery.start_soon(tracker.run)
        await trio.sleep(59)
        assert all(tracker.check(ROUTE, request) for tracker in trackers)
        await trio.sleep(9)
        assert not any(tracker.check(ROUTE, request) for tracker in trackers)
        nursery.cancel_scope.cancel()


async def test_old_losses_are_forgotten(autojump_clock):
    tracker = make_trackers()[0]
    request = make_request()
    tracker.connection_lost(ROUTE, request, TargetId("t1"))
    await trio.sleep(SETTINGS.quarantine.decay_seconds + 1)
    tracker.connection_lost(ROUTE, request, TargetId("t2"))
    assert tracker.check(ROUTE, request) is None


@pytest.mark.parametrize("up", [True, False])
async def test_a_target_that_stayed_up_did_not_crash(up, autojump_clock):
    tracker = make_trackers(up=up)[0]
    request = make_request()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(tracker.run)
        tracker.connection_lost(ROUTE, request, TargetId("t1"))
        await trio.sleep(1)
        tracker.connection_lost(ROUTE, request, TargetId("t2"))
        assert (tracker.check(ROUTE, request) is None) is up
        nursery.cancel_scope.cancel()


async def test_a_lost_message_is_told_again(autojump_clock):
    trackers = make_trackers()
    request = make_request()
    trackers[0].exchange.lossy = True
    for name in ("t1", "t2"):
        trackers[0].connection_lost(ROUTE, request, TargetId(name))
    assert trackers[1].check(ROUTE, request) is None
    trackers[0].exchange.lossy = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trackers[0].run)
        await trio.sleep(3)
        assert trackers[1].check(ROUTE, request) is not None
        nursery.cancel_scope.cancel()


async def test_one_request_sent_often_crashes_two_targets(autojump_clock):
    trackers = make_trackers(count=14)
    crashed = set()
    for number in range(100):
        tracker = trackers[number % len(trackers)]
        request = make_request(b"/crash")
        if tracker.check(ROUTE, request) is None:
            crashed.add(number)
            tracker.connection_lost(ROUTE, request, TargetId(f"t{number}"))
    assert len(crashed) <= 2


async def test_memory_is_bounded_and_new_ones_are_kept(autojump_clock):
    tracker = make_trackers()[0]
    for number in range(100):
        request = make_request(b"/%d" % number)
        for name in ("t1", "t2"):
            tracker.connection_lost(ROUTE, request, TargetId(name))
    assert len(tracker.suspicions) == 10
    assert tracker.check(ROUTE, request) is not None


async def test_an_answer_looks_at_no_other_requests_suspicions(
    autojump_clock, monkeypatch
):
    tracker = make_trackers()[0]
    tracker.connection_lost(ROUTE, make_request(b"/lost"), TargetId("t1"))
    looked_at = []
    monkeypatch.setattr(tracker, "_is_held", looked_at.append)
    tracker.answered(ROUTE, make_request(b"/other"))
    assert not looked_at


async def test_an_operator_releases(autojump_clock):
    trackers = make_trackers()
    request = make_request()
    for name in ("t1", "t2"):
        trackers[0].connection_lost(ROUTE, request, TargetId(name))
    assert trackers[1].release(fingerprint(ROUTE, request))
    assert trackers[0].check(ROUTE, request) is None


@pytest.mark.parametrize(
    "payload", [b"", b"\xff" * 50, b"\x18\x01a\x15\x02\x00", b"\x00"]
)
async def test_a_malformed_notice_harms_nothing(payload, autojump_clock):
    tracker = make_trackers()[0]
    handler = tracker.exchange.handlers[Topic.CRASH_FINGERPRINTS]
    handler(HostId("peer"), payload)
    assert not tracker.suspicions


@pytest.mark.parametrize(
    "other",
    [
        {"path": b"/y"},
        {"body": b"z"},
        {"key": IdempotencyKey("k")},
        {"method": b"POST"},
    ],
)
async def test_other_requests_have_other_fingerprints(other, autojump_clock):
    same = fingerprint(ROUTE, make_request())
    assert fingerprint(ROUTE, make_request()) == same
    assert fingerprint(ROUTE, make_request(**other)) != same


@pytest.mark.parametrize("up", [True, False])
async def test_with_confirmation_first_only_crashes_count(autojump_clock, up):
    settings = default_settings(
        quarantine={"confirm_first": True, "confirm_seconds": 1.5}
    )
    one_end, other_end = ExchangeStub(), ExchangeStub()
    one_end.others, other_end.others = [other_end], [one_end]
    one = LocalCrashTracker(settings, one_end, LivenessStub(up), Metrics())
    other = LocalCrashTracker(settings, other_end, LivenessStub(up), Metrics())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(one.run)
        for number in range(settings.quarantine.crashes):
            one.connection_lost(ROUTE, make_request(), TargetId(f"t{number}"))
        # Losses do not count until the targets were checked.
        assert one.check(ROUTE, make_request()) is None
        await trio.sleep(2)
        for tracker in (one, other):
            refusal = tracker.check(ROUTE, make_request())
            assert (refusal is None) is up
        nursery.cancel_scope.cancel()


# Guards against: a harmless request was refused because two of its targets were
# crashed by another request.
@pytest.mark.parametrize(
    ("since_answer", "lost", "held"),
    [
        (0.0, 2, False),
        (0.0, 3, True),
        (ANSWERED_SECONDS - 0.1, 2, False),
        (ANSWERED_SECONDS + 0.1, 2, True),
        (None, 2, True),
    ],
)
async def test_an_answer_speaks_for_a_request_for_a_while(
    since_answer, lost, held, autojump_clock
):
    tracker = make_trackers()[0]
    request = make_request()
    if since_answer is not None:
        tracker.answered(ROUTE, request)
        await trio.sleep(since_answer)
    for number in range(lost):
        tracker.connection_lost(ROUTE, request, TargetId(f"t{number}"))
    assert (tracker.check(ROUTE, request) is not None) is held


async def test_answers_are_remembered_in_bounded_memory(autojump_clock):
    tracker = make_trackers()[0]
    for number in range(MAX_ANSWERED_REQUESTS + 100):
        tracker.answered(ROUTE, make_request(path=b"/%d" % number))
    assert len(tracker.answered_until) == MAX_ANSWERED_REQUESTS
