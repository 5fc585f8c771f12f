"""Check that a drain cuts off requests only if it must, and names them."""

import dataclasses
import os
import signal

import pytest
import trio

from agatetack.clock import FixedClock, LatenessMeter
from agatetack.ids import Deadline, RequestId, RouteId
from agatetack.lifecycle.drain import MIN_DRAIN_SECONDS, Lifecycle
from agatetack.lifecycle.in_flight import Stage, TrackingHandler
from agatetack.lifecycle.phase import Phase
from agatetack.lifecycle.readiness import NotReadyReason, ReadinessView
from agatetack.messages import Answer, BytesBody, Handler
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings

NOTICE, DRAIN, WARM_UP = 3, 60, 2
ROUTE = RouteId("plats")


def new_lifecycle() -> Lifecycle:
    settings = default_settings(
        lifecycle={
            "notice_seconds": NOTICE,
            "drain_seconds": DRAIN,
            "warm_up_seconds": WARM_UP,
        }
    )
    return Lifecycle(settings, Metrics(), FixedClock())


class OneAnswer(Handler):
    """Answers every request with the same body."""

    async def handle(self, request):
        return Answer(200, [], BytesBody(b"plat"), ROUTE)


@dataclasses.dataclass
class Case:
    """A drain: the times of its events in seconds, and the expected end."""

    name: str
    ends_at: float
    exit_code: int = 0
    cut: tuple[str, ...] = ()
    unfinished: tuple[str, ...] = ()
    requests: tuple[tuple[str, float, float], ...] = ()
    flush_takes: float | None = None
    flush_fails: bool = False
    second_signal: float = 1000
    numbers: tuple[int, int] = (signal.SIGINT, signal.SIGINT)
    wall_jumps: float = 0


CASES = [
    Case("idle host waits for the balancer", NOTICE),
    Case("request in flight ends", 10, requests=(("a", 0, 10),)),
    Case("request of the notice time", 8, requests=(("late", 2, 8),)),
    Case(
        "deadline passes",
        DRAIN,
        1,
        cut=("slow",),
        requests=(("slow", 0, 500), ("quick", 0, 1)),
    ),
    Case(
        "second signal",
        5,
        1,
        cut=("a",),
        requests=(("a", 0, 30),),
        second_signal=5,
    ),
    Case("second signal of an idle host", 1, second_signal=1),
    *(
        Case(
            f"{first.name}, then {second.name}",
            10,
            requests=(("a", 0, 10),),
            second_signal=5,
            numbers=(first, second),
        )
        for first, second in (
            (signal.SIGTERM, signal.SIGTERM),
            (signal.SIGTERM, signal.SIGINT),
            (signal.SIGINT, signal.SIGTERM),
        )
    ),
    Case("flush is waited for", 13, requests=(("a", 0, 9),), flush_takes=4),
    Case("flush does not end", DRAIN, 1, unfinished=("f",), flush_takes=999),
    Case("flush fails", NOTICE, 1, unfinished=("f",), flush_fails=True),
    Case(
        "flush runs though a request hangs",
        DRAIN,
        1,
        cut=("slow",),
        requests=(("slow", 0, 500),),
        flush_takes=2,
    ),
    Case(
        "request ends while flushes run",
        58,
        requests=(("a", 0, 58),),
        flush_takes=1,
    ),
    Case(
        "wall clock jumps ahead", 9, requests=(("a", 0, 9),), wall_jumps=86_400
    ),
    Case(
        "wall clock jumps back", 9, requests=(("a", 0, 9),), wall_jumps=-86_400
    ),
    Case(
        "second signal while flushing, clock jumped",
        20,
        1,
        unfinished=("f",),
        flush_takes=30,
        second_signal=20,
        wall_jumps=9999,
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
async def test_drain(case, nursery, autojump_clock):
    lifecycle = new_lifecycle()
    events = []
    lifecycle.on_leaving(lambda: events.append(("leaving", now())))
    lifecycle.on_closing(lambda: events.append(("closing", now())))
    lifecycle.on_ended(lambda: events.append(("ended", now())))
    start = trio.current_time()

    def now():
        return round(trio.current_time() - start, 3)

    async def request(name, begin, end):
        await trio.sleep_until(start + begin)
        with lifecycle.in_flight.track(RequestId(name), ROUTE):
            await trio.sleep_until(start + end)

    async def flush(deadline):
        if case.flush_fails:
            raise ValueError("scripted")
        await trio.sleep(case.flush_takes)

    async def jump():
        for _ in range(2):
            lifecycle.clock.wall_time += case.wall_jumps
            await trio.sleep(1)

    if case.flush_takes is not None or case.flush_fails:
        lifecycle.add_flush("f", flush)
    for each in case.requests:
        nursery.start_soon(request, *each)
    nursery.start_soon(jump)
    send, signals = trio.open_memory_channel(2)
    await trio.testing.wait_all_tasks_blocked()
    first, second = case.numbers
    send.send_nowait(first)

    async def send_second():
        await trio.sleep_until(start + case.second_signal)
        send.send_nowait(second)

    nursery.start_soon(send_second)
    report = await lifecycle.drain_on(signals)
    assert now() == case.ends_at
    assert report.exit_code == case.exit_code
    assert tuple(r.request_id for r in report.cut) == case.cut
    assert tuple(report.unfinished) == case.unfinished
    assert lifecycle.phase is Phase.STOPPED
    assert events[0] == ("leaving", 0)
    closes = case.ends_at >= NOTICE
    assert events[1:-1] == ([("closing", NOTICE)] if closes else [])
    assert events[-1] == ("ended", case.ends_at)
    nursery.cancel_scope.cancel()


async def test_connections_are_accepted_during_the_notice(
    nursery, autojump_clock
):
    lifecycle = new_lifecycle()
    nursery.start_soon(lifecycle.drain)
    await trio.sleep(NOTICE - 0.1)
    assert lifecycle.accepting
    assert not lifecycle.ready
    assert lifecycle.not_ready().reason is NotReadyReason.DRAINING
    await trio.sleep(0.2)
    assert not lifecycle.accepting


# Guards against requests that are let in as the drain ends, since a host that
# noticed its stop late counted the two from different times.
@pytest.mark.parametrize(
    ("late_seconds", "accepts_seconds"),
    [(0.0, NOTICE), (NOTICE / 2, NOTICE / 2), (DRAIN, 0.0)],
)
async def test_a_late_drain_leaves_as_much_time_for_the_last_request(
    nursery, autojump_clock, late_seconds, accepts_seconds
):
    lifecycle = new_lifecycle()
    await trio.sleep(100.0)
    started = trio.current_time()
    nursery.start_soon(lifecycle.drain, Deadline(started - late_seconds))
    await lifecycle.closing.wait()
    assert trio.current_time() - started == pytest.approx(accepts_seconds)


async def test_half_delivered_answer_is_in_flight(autojump_clock):
    lifecycle = new_lifecycle()
    handler = TrackingHandler(OneAnswer(), lifecycle.in_flight)
    request = dataclasses.make_dataclass("Request", ["request_id"])("r1")
    answer = await handler.handle(request)
    # All bytes were read, but the caller may not have received them.
    assert await answer.body.receive() == b"plat"
    assert await answer.body.receive() == b""
    [tracked] = lifecycle.in_flight.all()
    assert tracked.stage is Stage.DELIVERING
    assert tracked.route == ROUTE
    await answer.aclose()
    assert len(lifecycle.in_flight) == 0


async def test_failed_handler_is_not_in_flight():
    lifecycle = new_lifecycle()
    handler = TrackingHandler(None, lifecycle.in_flight)
    request = dataclasses.make_dataclass("Request", ["request_id"])("r1")
    with pytest.raises(AttributeError):
        await handler.handle(request)
    assert len(lifecycle.in_flight) == 0


async def test_signals_of_the_system_reach_the_drain(nursery):
    lifecycle = new_lifecycle()
    reports = []

    async def run():
        reports.append(await lifecycle.run_until_stopped())

    nursery.start_soon(run)
    await trio.testing.wait_all_tasks_blocked()
    with lifecycle.in_flight.track(RequestId("a"), ROUTE):
        for phase in (Phase.DRAINING, Phase.STOPPED):
            os.kill(os.getpid(), signal.SIGINT)
            with trio.fail_after(5):
                while lifecycle.phase is not phase:
                    await trio.sleep(0.005)
    assert [r.request_id for r in reports[0].cut] == ["a"]


@dataclasses.dataclass
class View(ReadinessView):
    """Conditions that become true at given times, in seconds."""

    configured_at: float
    measured_at: float

    def configured(self):
        return trio.current_time() >= self.configured_at

    def unmeasured_routes(self):
        measured = trio.current_time() >= self.measured_at
        return [] if measured else [ROUTE]


@pytest.mark.parametrize(
    ("configured_at", "measured_at", "ready_at", "reason"),
    [
        (0, 0, 0, None),
        (5, 0, 5, NotReadyReason.NO_CONFIGURATION),
        (0, 1, 1, NotReadyReason.TARGETS_NOT_MEASURED),
        (0, 99, WARM_UP, NotReadyReason.TARGETS_NOT_MEASURED),
        (5, 99, 5 + WARM_UP, NotReadyReason.NO_CONFIGURATION),
    ],
)
async def test_readiness(
    nursery, autojump_clock, configured_at, measured_at, ready_at, reason
):
    start = trio.current_time()
    view = View(start + configured_at, start + measured_at)
    lifecycle = new_lifecycle()
    nursery.start_soon(lifecycle.run_until_ready, view)
    await trio.testing.wait_all_tasks_blocked()
    lacking = lifecycle.not_ready()
    assert (lacking.reason if lacking else None) is reason
    await trio.sleep(max(0, ready_at - 0.1))
    assert lifecycle.ready == (ready_at == 0)
    await trio.sleep(0.2)
    assert lifecycle.ready
    # Once ready, a new route without measured targets changes nothing.
    view.measured_at = start + 9999
    await trio.sleep(10)
    assert lifecycle.ready


# Guards against a host that is killed in the middle of its drain, as it
# noticed late that it should stop.
@pytest.mark.parametrize(
    ("stall", "drain_seconds"),
    [(0.0, DRAIN - 0.1), (20.0, DRAIN - 20.1), (100.0, MIN_DRAIN_SECONDS)],
)
@pytest.mark.parametrize("late_first", [False, True])
async def test_a_drain_counts_from_the_stop_request(
    nursery, autojump_clock, stall, drain_seconds, late_first
):
    lifecycle = new_lifecycle()
    meter = LatenessMeter(lifecycle.lateness, Metrics())
    send, signals = trio.open_memory_channel(2)
    reports = []

    async def drain():
        reports.append(await lifecycle.drain_on(signals))

    nursery.start_soon(meter.run)
    nursery.start_soon(drain)
    lifecycle.in_flight.begin(RequestId("a"), ROUTE)
    await trio.sleep(1.01)
    asked = trio.current_time()
    # The process stands still and is asked to stop as that begins.
    autojump_clock.jump(stall)
    if late_first:
        await trio.sleep(0.001)
    send.send_nowait(signal.SIGTERM)
    await trio.testing.wait_all_tasks_blocked()
    left = lifecycle.drain_until - trio.current_time()
    assert drain_seconds <= left <= drain_seconds + 0.2
    assert lifecycle.drain_until <= max(
        asked + DRAIN, trio.current_time() + MIN_DRAIN_SECONDS
    )
    await trio.sleep(left + 1)
    assert [request.request_id for request in reports[0].cut] == ["a"]
