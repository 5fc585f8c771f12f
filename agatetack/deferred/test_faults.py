"""Test that no ticket is lost in host and log faults and pairs of them."""

import itertools
import random

import pytest
import trio

from agatetack.deferred.queue import StoredAnswer, TicketState
from agatetack.outcomes import RefusalReason
from agatetack.testing.deferred_fleet import (
    ROUTE,
    DeferredFleet,
    Work,
    make_request,
)
from agatetack.testing.memory_log import AppendFault

TICKETS = 8
SHORT_LOG = {
    "platform": {"log": {"retention_seconds": 60, "poll_seconds": 5}},
    "deferred": {
        "result_keep_seconds": 900,
        "partitions": 2,
        "concurrency": 2,
        # No records are cached, so that those dropped by retention are lost.
        "cache_bytes": 1,
    },
}
PATH = b"/waves/1"


async def outage(fleet):
    fleet.service.faults.outage = True
    await trio.sleep(6)
    fleet.service.faults.outage = False


async def slow(fleet):
    fleet.service.faults.delay_seconds = 0.4
    await trio.sleep(6)
    fleet.service.faults.delay_seconds = 0.0


async def frozen(fleet):
    fleet.service.faults.frozen = True
    await trio.sleep(6)
    fleet.service.faults.frozen = False


async def replies_lost(fleet):
    fleet.service.faults.next_appends += [AppendFault.REPLY_LOST] * 6


async def requests_lost(fleet):
    fleet.service.faults.next_appends += [AppendFault.REQUEST_LOST] * 3


async def late_landings(fleet):
    fleet.service.faults.late_seconds = 20
    fleet.service.faults.next_appends += [AppendFault.LANDS_LATE] * 3


async def too_fast(fleet):
    fleet.service.faults.next_appends += [AppendFault.TOO_FAST] * 6


async def retention(fleet):
    """Drop records after 60 s and leave no slot free for longer than that."""
    fleet.nursery.start_soon(fleet.drop_old_records)
    fleet.work.busy = True
    await trio.sleep(90)
    fleet.work.busy = False


async def restart(fleet):
    for host in list(fleet.hosts)[:2]:
        fleet.kill(host)
        await fleet.start(host)


async def replace_all(fleet):
    for host in list(fleet.hosts):
        fleet.kill(host)
        await fleet.start()


async def pause_host(fleet):
    """Cut one host off from the log for longer than the retention."""
    host = next(iter(fleet.hosts.values()))
    host.log.faults.outage = True
    await trio.sleep(90)
    host.log.faults.outage = False


FAULTS = (
    outage,
    slow,
    frozen,
    replies_lost,
    requests_lost,
    late_landings,
    too_fast,
    retention,
    restart,
    replace_all,
    pause_host,
)
PAIRS = [(fault, fault) for fault in FAULTS]
PAIRS += list(itertools.combinations(FAULTS, 2))


async def submit_until_accepted(fleet, number, tickets):
    """Submit a request and resubmit it until it is accepted."""
    rng = random.Random(number)
    while number not in tickets:
        name = rng.choice(list(fleet.hosts))
        host = fleet.hosts[name]
        with fleet.serving(name):
            request = make_request(number, seconds=800)
            result = await host.queue.submit(ROUTE, request)
            tickets[number] = result.value_or(None)
        if tickets.get(number) is None:
            tickets.pop(number, None)
            await trio.sleep(0.5)


async def fetch_answer(fleet, ticket):
    """Poll on one host after another until the ticket has ended."""
    for number in range(200):
        hosts = list(fleet.hosts.values())
        host = hosts[number % len(hosts)]
        until = trio.current_time() + 10
        result = await host.queue.fetch(ticket, until)
        found = result.value_or(TicketState.OPEN)
        if found is not TicketState.OPEN:
            return found
        await trio.sleep(1)
    return TicketState.OPEN


async def fetch_answer_of(host, ticket):
    result = await host.queue.fetch(ticket, trio.current_time() + 30)
    assert isinstance(result.unwrap(), StoredAnswer)


@pytest.mark.parametrize(
    ("first", "second"),
    PAIRS,
    ids=lambda fault: fault.__name__,
)
async def test_no_ticket_is_lost(autojump_clock, first, second):
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(seconds=2.0), SHORT_LOG)
        for _ in range(3):
            await fleet.start()
        tickets = {}
        for number in range(TICKETS):
            nursery.start_soon(submit_until_accepted, fleet, number, tickets)
            await trio.sleep(0.3)
            if number == 1:
                nursery.start_soon(first, fleet)
            if number == 5:
                nursery.start_soon(second, fleet)
        while len(tickets) < TICKETS:
            await trio.sleep(1)
        for number, ticket in tickets.items():
            found = await fetch_answer(fleet, ticket)
            assert isinstance(found, StoredAnswer)
            assert found.body == fleet.work.body(b"/waves/%d" % number)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("peers_seen", [True, False])
async def test_live_hosts_do_not_double_runs(autojump_clock, peers_seen):
    """If hosts see no peers, each ranks first and the log's order decides."""
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(seconds=20.0))
        fleet.blind = not peers_seen
        for _ in range(4):
            await fleet.start()
        tickets = {}
        for number in range(40):
            await submit_until_accepted(fleet, number, tickets)
        for ticket in tickets.values():
            assert isinstance(await fetch_answer(fleet, ticket), StoredAnswer)
        assert set(fleet.work.runs.values()) == {1}
        nursery.cancel_scope.cancel()


async def test_paused_holder_does_not_change_the_end(autojump_clock):
    settings = {"deferred": {"attempt_timeout_seconds": 1000}}
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(seconds=0.0), settings)
        first = await fleet.start()
        fleet.work.seconds = 400.0
        ticket = (await first.queue.submit(ROUTE, make_request(1))).unwrap()
        while not fleet.work.runs:
            await trio.sleep(0.1)
        # The first host keeps running, but its peers no longer see it.
        fleet.work.seconds = 0.0
        second = await fleet.start()
        await trio.sleep(1)
        hidden = fleet.hosts.pop("host-1")
        answer = await fetch_answer(fleet, ticket)
        end = second.queue.schedule.find(ticket).end
        assert end.attempt.startswith("host-2")
        await trio.sleep(401)
        for host in (hidden, second, await fleet.start()):
            await trio.sleep(1)
            known = host.queue.schedule.find(ticket)
            assert known.end.attempt == end.attempt
            until = trio.current_time() + 1
            again = await host.queue.fetch(ticket, until)
            assert again.unwrap() == answer
        assert fleet.work.finished == {PATH: 2}
        nursery.cancel_scope.cancel()


async def test_overtaken_reader_takes_up_nothing_that_ended(autojump_clock):
    """Tickets that ended and were forgotten look open in outdated state."""
    deferred = {"result_keep_seconds": 20, "partitions": 1}
    settings = {**SHORT_LOG, "deferred": deferred}
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(busy=True), settings)
        nursery.start_soon(fleet.drop_old_records)
        cut_off = await fleet.start()
        other = await fleet.start()
        tickets = {}
        await submit_until_accepted(fleet, 0, tickets)
        await trio.sleep(10)
        cut_off.log.faults.outage = True
        fleet.work.busy = False
        await fetch_answer_of(other, tickets[0])
        await trio.sleep(100)
        # Write more than one page of records, and delay reads of each page.
        cut_off.log.faults.delay_seconds = 0.5
        for number in range(1, 41):
            request = make_request(number, seconds=800)
            ticket = (await other.queue.submit(ROUTE, request)).unwrap()
            await fetch_answer_of(other, ticket)
        appends = fleet.service.appends
        cut_off.log.faults.outage = False
        await trio.sleep(20)
        assert cut_off.queue.partitions[0].caught_up
        assert fleet.service.appends == appends
        assert set(fleet.work.runs.values()) == {1}
        assert len(fleet.work.runs) == 41
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seconds", [280, 320])
async def test_ends_are_kept_for_the_stated_time(autojump_clock, seconds):
    deferred = {"result_keep_seconds": 300, "cache_bytes": 1}
    settings = {**SHORT_LOG, "deferred": deferred}
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(), settings)
        nursery.start_soon(fleet.drop_old_records)
        host = await fleet.start()
        ticket = (await host.queue.submit(ROUTE, make_request(1))).unwrap()
        await fetch_answer(fleet, ticket)
        await trio.sleep(seconds)
        forgotten = host.queue.schedule.find(ticket) is None
        assert forgotten is (seconds > 300)
        for asked in (host, await fleet.start()):
            result = await asked.queue.fetch(ticket, trio.current_time())
            if seconds < 300:
                assert result.unwrap().body == fleet.work.body(PATH)
            else:
                reason = result.failure().reason
                assert reason is RefusalReason.TICKET_UNKNOWN
                again = await asked.queue.submit(ROUTE, make_request(1))
                assert again.unwrap() != ticket
        nursery.cancel_scope.cancel()


async def test_copies_of_the_largest_requests_fit(autojump_clock):
    """A copy also contains the hold, and must not block its stream."""
    log = {**SHORT_LOG["platform"]["log"], "max_record_bytes": 4096}
    settings = {**SHORT_LOG, "platform": {"log": log}}
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(busy=True), settings)
        nursery.start_soon(fleet.drop_old_records)
        host = await fleet.start()
        tickets = []
        for size in range(3300, 3990, 15):
            request = make_request(size, seconds=800, body=b"b" * size)
            result = await host.queue.submit(ROUTE, request)
            tickets.append(result.value_or(None))
        assert None in tickets
        kept = [ticket for ticket in tickets if ticket is not None]
        assert kept
        await trio.sleep(100)
        fleet.work.busy = False
        for ticket in kept:
            assert isinstance(await fetch_answer(fleet, ticket), StoredAnswer)
        nursery.cancel_scope.cancel()


async def test_drain_waits_for_what_runs_and_leaves_the_rest(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(seconds=5.0))
        host = await fleet.start()
        tickets = {}
        for number in range(10):
            await submit_until_accepted(fleet, number, tickets)
        while not fleet.work.runs:
            await trio.sleep(0.01)
        await host.queue.drain()
        begun = dict(fleet.work.runs)
        assert fleet.work.peak == 4
        assert 0 < len(begun) < 10
        assert fleet.work.finished == begun
        fleet.kill("host-1")
        await fleet.start()
        for ticket in tickets.values():
            assert isinstance(await fetch_answer(fleet, ticket), StoredAnswer)
        assert set(fleet.work.runs.values()) == {1}
        nursery.cancel_scope.cancel()
