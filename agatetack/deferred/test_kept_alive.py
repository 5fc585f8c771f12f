"""Test that re-appending preserves tickets, however short hosts live."""

import contextlib

import pytest
import trio

from agatetack.deferred.queue import StoredAnswer
from agatetack.outcomes import RefusalReason
from agatetack.testing.deferred_fleet import (
    ROUTE,
    DeferredFleet,
    Work,
    make_request,
    watch_copies,
)
from agatetack.testing.memory_log import AppendFault

RETENTION_SECONDS = 60
SETTINGS = {
    "platform": {
        "log": {"retention_seconds": RETENTION_SECONDS, "poll_seconds": 5}
    },
    "deferred": {"result_keep_seconds": 900, "cache_bytes": 1},
}


@contextlib.asynccontextmanager
async def running_fleet(busy):
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(busy=busy), SETTINGS)
        nursery.start_soon(fleet.drop_old_records)
        yield fleet
        nursery.cancel_scope.cancel()


async def submit(fleet):
    host = await fleet.start()
    request = make_request(1, seconds=800)
    return (await host.queue.submit(ROUTE, request)).unwrap()


async def fetch(fleet, ticket):
    """Fetch an answer on a host that has just started."""
    host = await fleet.start()
    return await host.queue.fetch(ticket, trio.current_time() + 100)


async def replace_hosts(fleet, live_seconds, end):
    """Replace every host by a new one each `live_seconds` until `end`."""
    while trio.current_time() < end:
        await trio.sleep(live_seconds)
        for name in list(fleet.hosts):
            fleet.kill(name)
            await fleet.start()


# Guards against tickets that retention drops because no host runs long enough
# to re-append them.
@pytest.mark.parametrize("ended", [False, True])
@pytest.mark.parametrize("hosts", [1, 3])
@pytest.mark.parametrize("live_seconds", [0.5, 2, 4.9, 5.1, 20, 60])
async def test_tickets_outlive_all_hosts(
    autojump_clock, live_seconds, hosts, ended
):
    async with running_fleet(busy=not ended) as fleet:
        ticket = await submit(fleet)
        await trio.sleep(1)
        for _ in range(hosts - 1):
            await fleet.start()
        end = trio.current_time() + 2 * RETENTION_SECONDS
        await replace_hosts(fleet, live_seconds, end)
        fleet.work.busy = False
        result = await fetch(fleet, ticket)
        assert isinstance(result.value_or(None), StoredAnswer)


# Guards against tickets that retention drops after all hosts were lost at once.
@pytest.mark.parametrize("age", range(1, RETENTION_SECONDS - 1))
@pytest.mark.parametrize("ended", [False, True])
async def test_tickets_outlive_the_loss_of_all_hosts(
    autojump_clock, age, ended
):
    async with running_fleet(busy=not ended) as fleet:
        ticket = await submit(fleet)
        await trio.sleep(1)
        fleet.kill("host-1")
        await trio.sleep(age - 1)
        for _ in range(3):
            await fleet.start()
        await trio.sleep(RETENTION_SECONDS)
        fleet.work.busy = False
        result = await fetch(fleet, ticket)
        assert isinstance(result.value_or(None), StoredAnswer)


# Guards against tickets that are re-appended too late after a log outage.
@pytest.mark.parametrize("kind", ["outage", "frozen"])
@pytest.mark.parametrize("left", [0.5, 1, 2, 4])
@pytest.mark.parametrize("seconds", [2, 10, 20, 29])
async def test_tickets_outlive_an_outage_to_shortly_before_their_end(
    autojump_clock, seconds, left, kind
):
    async with running_fleet(busy=True) as fleet:
        ticket = await submit(fleet)
        fleet.kill("host-1")
        await trio.sleep(RETENTION_SECONDS - left - seconds)
        setattr(fleet.service.faults, kind, True)
        await fleet.start()
        await trio.sleep(seconds)
        setattr(fleet.service.faults, kind, False)
        await trio.sleep(RETENTION_SECONDS)
        fleet.work.busy = False
        result = await fetch(fleet, ticket)
        assert isinstance(result.value_or(None), StoredAnswer)


# Guards against giving up on re-appending a ticket after a failed append.
@pytest.mark.parametrize("failed", range(5))
@pytest.mark.parametrize(
    "fault",
    [
        AppendFault.UNAVAILABLE,
        AppendFault.TOO_FAST,
        AppendFault.REPLY_LOST,
        AppendFault.REQUEST_LOST,
        AppendFault.LANDS_LATE,
    ],
    ids=lambda fault: fault.name,
)
async def test_failed_copies_are_made_again_at_once(
    autojump_clock, fault, failed
):
    async with running_fleet(busy=True) as fleet:
        ticket = await submit(fleet)
        fleet.kill("host-1")
        await trio.sleep(RETENTION_SECONDS - 20)
        # Appends of holds use up some of the faults, too.
        fleet.service.faults.next_appends += [fault] * failed
        await fleet.start()
        await trio.sleep(RETENTION_SECONDS)
        fleet.work.busy = False
        result = await fetch(fleet, ticket)
        assert isinstance(result.value_or(None), StoredAnswer)


# Guards against hosts that start together re-appending tickets although they
# have already read another host's copies.
async def test_hosts_that_start_together_share_the_copies(autojump_clock):
    tickets, hosts = 1500, 10
    async with running_fleet(busy=True) as fleet:
        host = await fleet.start()
        async with trio.open_nursery() as nursery:
            for number in range(tickets):
                request = make_request(number, seconds=800)
                nursery.start_soon(host.queue.submit, ROUTE, request)
        fleet.kill("host-1")
        await trio.sleep(RETENTION_SECONDS * 0.6)
        copies = watch_copies(fleet)
        for _ in range(hosts):
            await fleet.start()
        await trio.sleep(RETENTION_SECONDS / 4)
        first = {}
        for copy in copies:
            first.setdefault(copy.ticket, copy.at)
        assert len(first) == tickets
        late = [copy for copy in copies if copy.at > first[copy.ticket] + 0.01]
        assert not late


# Guards against hiding from callers that the log has dropped a ticket.
async def test_callers_are_told_of_what_the_log_has_dropped(autojump_clock):
    async with running_fleet(busy=True) as fleet:
        ticket = await submit(fleet)
        fleet.kill("host-1")
        await trio.sleep(RETENTION_SECONDS + 2)
        result = await fetch(fleet, ticket)
        assert result.failure().reason is RefusalReason.TICKET_UNKNOWN


# Guards against unnecessary appends when nothing fails.
async def test_a_calm_fleet_copies_a_ticket_once_in_half_a_retention(
    autojump_clock,
):
    retention = 1200
    settings = {"platform": {"log": {"retention_seconds": retention}}}
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery, Work(busy=True), settings)
        for _ in range(3):
            await fleet.start()
        await trio.sleep(1)
        copies = watch_copies(fleet)
        host = await fleet.start()
        request = make_request(1, seconds=3 * retention)
        await host.queue.submit(ROUTE, request)
        await trio.sleep(retention * 2.2)
        assert len(copies) == 4
        nursery.cancel_scope.cancel()
