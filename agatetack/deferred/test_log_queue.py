"""Test the answers callers get for deferred requests, also under faults."""

import contextlib
import dataclasses

import pytest
import trio
from returns.result import Failure, Success

from agatetack.deferred.queue import TicketState
from agatetack.ids import TicketId
from agatetack.messages import Header
from agatetack.outcomes import Outcome, RefusalReason, TicketRefusal
from agatetack.testing.deferred_fleet import (
    ROUTE,
    DeferredFleet,
    Work,
    make_request,
)
from agatetack.testing.memory_log import AppendFault

PATH = b"/waves/1"


@contextlib.asynccontextmanager
async def fleet_of(hosts, settings=None, **work):
    """Run a fleet with hosts named `host-1`, `host-2` and so on."""
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(**work), settings)
        for _ in range(hosts):
            await fleet.start()
        yield fleet, list(fleet.hosts.values())
        nursery.cancel_scope.cancel()


async def submit(host, number=1, **options):
    return await host.queue.submit(ROUTE, make_request(number, **options))


async def fetch(host, ticket, seconds=30.0):
    return await host.queue.fetch(ticket, trio.current_time() + seconds)


def reason_of(result):
    assert isinstance(result, Failure)
    return result.failure().reason


async def test_ticket_is_answered_on_any_host(autojump_clock):
    async with fleet_of(2) as (fleet, hosts):
        ticket = (await submit(hosts[0])).unwrap()
        answer = (await fetch(hosts[1], ticket)).unwrap()
        assert answer.body == fleet.work.body(PATH)
        assert answer.status == 200
        assert Header(b"content-type", b"text/csv") in answer.headers
        assert fleet.work.runs == {PATH: 1}


async def test_log_outage_is_refused_at_once_as_not_run(autojump_clock):
    async with fleet_of(1) as (fleet, [host]):
        fleet.service.faults.outage = True
        begun = trio.current_time()
        result = await submit(host)
        assert reason_of(result) is RefusalReason.LOG_UNAVAILABLE
        assert result.failure().outcome is Outcome.NOT_RUN
        assert trio.current_time() - begun < 1
        fleet.service.faults.outage = False
        await trio.sleep(60)
        assert fleet.work.runs == {}


@pytest.mark.parametrize(
    "faults",
    [
        [AppendFault.REPLY_LOST],
        [AppendFault.REQUEST_LOST],
        [AppendFault.LANDS_LATE],
        [AppendFault.TOO_FAST],
        [AppendFault.REPLY_LOST, AppendFault.UNAVAILABLE],
        [AppendFault.REQUEST_LOST, AppendFault.UNAVAILABLE],
        [AppendFault.LANDS_LATE, AppendFault.REPLY_LOST],
    ],
)
async def test_lost_replies_are_settled(autojump_clock, faults):
    async with fleet_of(2) as (fleet, hosts):
        fleet.service.faults.next_appends = list(faults)
        ticket = (await submit(hosts[0])).unwrap()
        answer = (await fetch(hosts[1], ticket)).unwrap()
        assert answer.body == fleet.work.body(PATH)
        assert fleet.work.runs == {PATH: 1}


@pytest.mark.parametrize("lands", [True, False])
async def test_doubt_gives_a_ticket_and_stays_with_it(autojump_clock, lands):
    async with fleet_of(1) as (fleet, [host]):
        fault = AppendFault.LANDS_LATE if lands else AppendFault.REQUEST_LOST
        fleet.service.faults.late_seconds = 10
        fleet.service.faults.next_appends = [fault]
        with trio.move_on_after(0.006):
            await submit(host)
        fleet.service.faults.outage = True
        refusal = (await submit(host)).failure()
        assert isinstance(refusal, TicketRefusal)
        assert refusal.reason is RefusalReason.TICKET_IN_DOUBT
        assert refusal.outcome is Outcome.UNKNOWN
        fleet.service.faults.outage = False
        await trio.sleep(10)
        found = await fetch(host, refusal.ticket)
        if lands:
            assert found.unwrap().body == fleet.work.body(PATH)
        else:
            assert reason_of(found) is RefusalReason.TICKET_UNKNOWN
        assert (await submit(host)).unwrap() == refusal.ticket
        answer = (await fetch(host, refusal.ticket)).unwrap()
        assert answer.body == fleet.work.body(PATH)
        assert fleet.work.runs == {PATH: 1}


@pytest.mark.parametrize(
    ("changes", "same"),
    [
        ({}, True),
        ({"request_id": "other"}, False),
        ({"caller": "other"}, False),
        ({"path": b"/waves/2"}, False),
        ({"headers": [Header(b"authorization", b"other")]}, False),
        ({"headers": [Header(b"user-agent", b"other")]}, True),
    ],
)
async def test_resubmission_gets_the_same_ticket(autojump_clock, changes, same):
    async with fleet_of(2) as (fleet, hosts):
        first = (await submit(hosts[0])).unwrap()
        await fetch(hosts[0], first)
        again = dataclasses.replace(make_request(1), **changes)
        second = (await hosts[1].queue.submit(ROUTE, again)).unwrap()
        await fetch(hosts[1], second)
        assert (first == second) is same
        assert sum(fleet.work.runs.values()) == (1 if same else 2)


async def test_racing_submissions_run_once(autojump_clock):
    async with fleet_of(2) as (fleet, hosts):
        tickets = []

        async def race(host):
            tickets.append((await submit(host)).unwrap())

        async with trio.open_nursery() as nursery:
            for host in hosts * 2:
                nursery.start_soon(race, host)
        for ticket in tickets:
            answer = (await fetch(hosts[0], ticket)).unwrap()
            assert answer.body == fleet.work.body(PATH)
        assert fleet.work.runs == {PATH: 1}


@pytest.mark.parametrize(
    ("settings", "options", "reason"),
    [
        ({"max_open": 1}, {}, RefusalReason.QUEUE_FULL),
        ({"max_kept": 1}, {}, RefusalReason.QUEUE_FULL),
        (
            {"max_body_bytes": 10},
            {"body": b"x" * 11},
            RefusalReason.BODY_TOO_LARGE,
        ),
    ],
)
async def test_limits_are_refused_as_not_run(
    autojump_clock, settings, options, reason
):
    work = {"always": {PATH: RefusalReason.QUEUE_FULL}}
    async with fleet_of(1, {"deferred": settings}, **work) as (_, [host]):
        assert isinstance(await submit(host), Success)
        refused = await submit(host, 2, **options)
        assert reason_of(refused) is reason
        assert refused.failure().outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    "ticket", ["", "x", "0-none", "9999-x", "-1-x", "3-" + "y" * 500]
)
async def test_unknown_tickets_are_told(autojump_clock, ticket):
    async with fleet_of(1) as (_, [host]):
        result = await fetch(host, TicketId(ticket))
        assert reason_of(result) is RefusalReason.TICKET_UNKNOWN


async def test_fetch_in_an_outage_says_nothing_of_the_request(autojump_clock):
    async with fleet_of(1) as (fleet, [host]):
        ticket = (await submit(host)).unwrap()
        await fetch(host, ticket)
        host.queue.schedule.partition_of(ticket).cache.clear()
        fleet.service.faults.outage = True
        for asked in (ticket, TicketId("0-none")):
            result = await fetch(host, asked)
            assert reason_of(result) is RefusalReason.LOG_UNAVAILABLE
            assert result.failure().outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("always", "reason", "runs"),
    [
        (RefusalReason.QUEUE_FULL, None, 0),
        (RefusalReason.CONNECTION_LOST, RefusalReason.CONNECTION_LOST, 3),
        (RefusalReason.QUARANTINED, RefusalReason.QUARANTINED, 1),
    ],
)
async def test_every_ticket_ends(autojump_clock, always, reason, runs):
    # Holds are short, so that refused tickets are tried again many times.
    settings = {"deferred": {"max_tries": 3, "attempt_timeout_seconds": 2}}
    work = {"always": {PATH: always}}
    async with fleet_of(3, settings, **work) as (fleet, hosts):
        ticket = (await submit(hosts[0], seconds=100)).unwrap()
        await trio.sleep(60)
        if reason is None:
            assert await fetch(hosts[1], ticket, 1) == Success(TicketState.OPEN)
        await trio.sleep(60)
        result = await fetch(hosts[1], ticket)
        if reason is None:
            assert result == Success(TicketState.EXPIRED)
        else:
            assert reason_of(result) is reason
            assert result.failure().outcome is Outcome.UNKNOWN
        assert fleet.work.runs.get(PATH, 0) == runs
        # A resubmission of a request without an answer gets a new ticket.
        assert (await submit(hosts[2])).unwrap() != ticket


@pytest.mark.parametrize("header_bytes", [2000, 2600, 3200, 4096, 9000])
async def test_large_headers_block_nothing(autojump_clock, header_bytes):
    settings = {"platform": {"log": {"max_record_bytes": 4096}}}
    work = {"header_bytes": header_bytes, "body_bytes": 3000}
    async with fleet_of(1, settings, **work) as (fleet, [host]):
        ticket = (await submit(host)).unwrap()
        result = await fetch(host, ticket)
        if header_bytes <= 2000:
            assert result.unwrap().body == fleet.work.body(PATH)
        elif isinstance(result, Failure):
            assert reason_of(result) is RefusalReason.RESULT_TOO_LARGE
        fleet.work.header_bytes = 0
        other = (await submit(host, 2)).unwrap()
        assert isinstance((await fetch(host, other)).unwrap().body, bytes)


async def test_cut_polls_leave_nothing_behind(autojump_clock):
    async with fleet_of(1, always={PATH: RefusalReason.QUEUE_FULL}) as (
        _,
        [host],
    ):
        ticket = (await submit(host)).unwrap()
        ticket_events = host.queue.schedule.partition_of(ticket).ticket_events
        with trio.move_on_after(0.2):
            await fetch(host, ticket)
        assert ticket not in ticket_events


@pytest.mark.parametrize("outage_seconds", [0, 1, 30])
@pytest.mark.parametrize(
    "fault", [AppendFault.REQUEST_LOST, AppendFault.REPLY_LOST]
)
async def test_work_that_runs_is_recorded_after_faults(
    autojump_clock, outage_seconds, fault
):
    async with fleet_of(2, seconds=0.5) as (fleet, hosts):
        ticket = (await submit(hosts[0])).unwrap()
        while not fleet.work.runs:
            await trio.sleep(0.01)
        fleet.service.faults.next_appends = [fault]
        fleet.service.faults.outage = outage_seconds > 0
        await trio.sleep(outage_seconds)
        fleet.service.faults.outage = False
        answer = (await fetch(hosts[1], ticket)).unwrap()
        assert answer.body == fleet.work.body(PATH)
        assert fleet.work.runs == {PATH: 1}


async def test_attempts_are_bounded_across_killed_hosts(autojump_clock):
    async with fleet_of(3, seconds=1e9) as (fleet, hosts):
        ticket = (await submit(hosts[0])).unwrap()
        for runs in range(1, 7):
            while fleet.work.runs.get(PATH, 0) < runs:
                await trio.sleep(0.1)
            fold = hosts[0].queue.schedule.find(ticket)
            while fold.hold is None or fold.hold.tries < runs:
                await trio.sleep(0.1)
            runner = fold.hold.host
            fleet.kill(runner)
            await fleet.start()
            hosts = list(fleet.hosts.values())
            while not hosts[0].queue.schedule.find(ticket):
                await trio.sleep(0.1)
        result = await fetch(hosts[0], ticket)
        assert reason_of(result) is RefusalReason.CONNECTION_LOST
        assert fleet.work.runs == {PATH: 6}


@pytest.mark.parametrize(
    ("record_bytes", "result_bytes", "reason"),
    [
        (4096, 30_000, None),
        (4096, 0, None),
        (1_048_576, 262_144, None),
        (1_048_576, 262_145, RefusalReason.RESULT_TOO_LARGE),
    ],
)
async def test_results_are_whole_or_refused(
    autojump_clock, record_bytes, result_bytes, reason
):
    settings = {
        "platform": {
            "log": {"max_record_bytes": record_bytes, "retention_seconds": 60}
        }
    }
    async with fleet_of(2, settings, body_bytes=result_bytes) as (fleet, hosts):
        fleet.nursery.start_soon(fleet.drop_old_records)
        ticket = (await submit(hosts[0])).unwrap()
        for host in (hosts[1], await fleet.start()):
            result = await fetch(host, ticket)
            if reason is None:
                assert result.unwrap().body == fleet.work.body(PATH)
            else:
                assert reason_of(result) is reason
            await trio.sleep(100)
        largest = max(
            len(record.payload)
            for records in fleet.service.streams.values()
            for record in records
        )
        assert largest <= record_bytes
