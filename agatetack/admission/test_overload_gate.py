"""Test that requests of accounts are refused while a service is overloaded."""

import pytest
import trio
import trio.testing

from agatetack.admission import overload_gate
from agatetack.admission.overload_gate import HOLD_SECONDS
from agatetack.admission.test_support import make_account, make_harness
from agatetack.ids import Deadline
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import SERVICE, make_request, make_route

ROUTE = make_route(target_latency_seconds=0.4)


@pytest.fixture(autouse=True)
def lines(monkeypatch):
    """Return the log lines of the gate."""
    found = []
    for level in ("info", "warning"):
        monkeypatch.setattr(
            overload_gate.log, level, lambda text, *args: found.append(text)
        )
    return found


def make_slot_harness():
    """Return a harness with one target that has one slot."""
    harness = make_harness(max_queue=1000)
    harness.admission.policy.has_free_slot = lambda target, now: (
        target.in_flight < target.limit
    )
    return harness


def report(harness):
    now = Deadline(trio.current_time())
    for target in harness.targets:
        harness.registry.note_report(
            target, LoadReport(1, 1, 1, now, ReportSource.PROBE)
        )


async def overload(harness, nursery, account, count=100):
    """Ask ten times as often as the one slot allows."""
    for number in range(count):
        report(harness)
        name = str(number)
        nursery.start_soon(
            lambda name=name: harness.ask(
                name, seconds=2.0, account=account, route=ROUTE
            )
        )
        await trio.sleep(0.05)
        if number % 10 == 9 and harness.permits:
            harness.answer(0.3)


def refused_for_overload(harness):
    return [
        refusal
        for refusal in harness.refused.values()
        if refusal.reason is RefusalReason.OVERLOADED
    ]


async def test_overload_refuses_at_once_and_ends(autojump_clock, lines):
    """Guards against refusals after the overload, and a line for each one."""
    harness = make_slot_harness()
    account = make_account("a", 1)
    async with trio.open_nursery() as nursery:
        await overload(harness, nursery, account)
        refused = refused_for_overload(harness)
        assert len(refused) > 5
        assert {refusal.outcome for refusal in refused} == {Outcome.NOT_RUN}
        # Requests are refused from the third second on.
        assert all(refusal.retry_at > 2.0 + 1.0 for refusal in refused)
        assert len({refusal.retry_at for refusal in refused}) == len(refused)
        nursery.cancel_scope.cancel()
    while harness.permits:
        harness.answer(0.3)
    await trio.sleep(HOLD_SECONDS)
    before = len(harness.refused)
    await harness.ask("after", account=account, route=ROUTE)
    assert "after" in harness.served
    assert len(harness.refused) == before
    assert lines == [
        "Service %s is overloaded.",
        "Service %s is no longer overloaded.",
    ]


async def test_requests_without_account_are_not_refused(autojump_clock, lines):
    """Guards against new refusals where no account is configured."""
    harness = make_slot_harness()
    async with trio.open_nursery() as nursery:
        await overload(harness, nursery, None)
        assert not refused_for_overload(harness)
        assert not lines
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("account", "stopped"), [(make_account("a"), True), (None, False)]
)
async def test_second_attempts_stop_in_an_overload(
    autojump_clock, account, stopped
):
    """Guards against retries and hedges that take slots in an overload."""
    harness = make_slot_harness()
    request = make_request()
    request.account = account
    admission = harness.admission
    assert not admission.stops_second_attempts(ROUTE, request)
    async with trio.open_nursery() as nursery:
        await overload(harness, nursery, make_account("b", 1))
        assert admission.stops_second_attempts(ROUTE, request) is stopped
        await trio.sleep(HOLD_SECONDS)
        assert not admission.stops_second_attempts(ROUTE, request)
        nursery.cancel_scope.cancel()


async def test_without_reports_nothing_is_refused(autojump_clock):
    """Guards against refusals by a host that hears nothing for seconds."""
    harness = make_slot_harness()
    async with trio.open_nursery() as nursery:
        await overload(harness, nursery, make_account("a", 1))
        assert refused_for_overload(harness)
        await trio.sleep(4.0)
        before = len(refused_for_overload(harness))
        for number in range(20):
            nursery.start_soon(
                lambda number=number: harness.ask(
                    f"silent {number}",
                    seconds=2.0,
                    account=make_account("a", 1),
                    route=ROUTE,
                )
            )
            await trio.sleep(0.05)
        assert len(refused_for_overload(harness)) == before
        nursery.cancel_scope.cancel()


async def test_a_gate_is_made_for_each_service(autojump_clock):
    """Guards against refusals of one service for the overload of another."""
    harness = make_slot_harness()
    queues = [
        harness.admission._service_queue(service)
        for service in (SERVICE, "other")
    ]
    assert all(queue.overload is None for queue in queues)
    gates = [queue.make_overload_gate(queue.service) for queue in queues]
    assert gates[0].service != gates[1].service
    assert gates[0].control is not gates[1].control
