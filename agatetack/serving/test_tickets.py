"""Check the answers to polls for deferred requests."""

import pytest
import trio
from returns.result import Failure, Success

from agatetack.deferred.queue import StoredAnswer, TicketState
from agatetack.messages import find_header
from agatetack.metrics import Metrics
from agatetack.outcomes import RefusalReason, refuse
from agatetack.serving.test_dispatcher import SETTINGS, make_request
from agatetack.serving.tickets import TicketHandler


class Queue:
    """Returns a scripted result and records the deadline of the wait."""

    def __init__(self, found):
        self.found = found
        self.until = None

    async def fetch(self, ticket, until):
        self.until = until
        return self.found


UNKNOWN = Failure(refuse(RefusalReason.TICKET_UNKNOWN, "none"))
DONE = Success(StoredAnswer(201, [], b"done"))


@pytest.mark.parametrize(
    ("found", "status", "reason"),
    [
        (DONE, 201, None),
        (Success(TicketState.OPEN), 202, None),
        (Success(TicketState.EXPIRED), 410, b"ticket-expired"),
        (UNKNOWN, 404, b"ticket-unknown"),
    ],
)
async def test_a_poll_tells_how_far_the_request_is(
    found, status, reason, autojump_clock
):
    handler = TicketHandler(SETTINGS, Queue(found), Metrics())
    answer = await handler.handle(make_request(b"/agatetack/tickets/1"))
    assert answer.status == status
    assert find_header(answer.headers, b"x-reason") == reason
    waits = find_header(answer.headers, b"retry-after")
    assert (waits is not None) is (status == 202)


@pytest.mark.parametrize(
    ("query", "seconds"),
    [
        (b"", 0),
        (b"?wait-ms=1500", 1.5),
        (b"?wait-ms=-1", 0),
        (b"?wait-ms=a", 0),
        (b"?wait-ms=90000", 10),
        (b"?wait-ms=" + b"9" * 400, 10),
        (b"?wait-ms=" + b"9" * 5000, 10),
    ],
)
async def test_a_poll_waits_until_its_deadline_at_most(
    query, seconds, autojump_clock
):
    queue = Queue(DONE)
    handler = TicketHandler(SETTINGS, queue, Metrics())
    await handler.handle(make_request(b"/agatetack/tickets/1" + query))
    assert queue.until - trio.current_time() == pytest.approx(seconds)
