"""Test that deferred requests are kept, run and given out."""

import trio
from returns.result import Success

from agatetack.testing.deferred_fleet import ROUTE, DeferredFleet, make_request


async def test_ticket_is_answered_on_any_host(autojump_clock):
    async with trio.open_nursery() as nursery:
        fleet = DeferredFleet(nursery)
        first = await fleet.start()
        second = await fleet.start()
        ticket = (await first.queue.submit(ROUTE, make_request(1))).unwrap()
        until = trio.current_time() + 30
        result = await second.queue.fetch(ticket, until)
        assert isinstance(result, Success)
        assert result.unwrap().body == fleet.work.body(b"/waves/1")
        nursery.cancel_scope.cancel()
