"""Test until when the body of an answer may last."""

import pytest

from agatetack.attempts.rules import body_deadlines
from agatetack.config.route import RequestClass
from agatetack.ids import Deadline
from agatetack.settings.defaults import default_settings
from agatetack.testing.targets import make_request, make_route

CALLERS = default_settings(callers={"max_deadline_seconds": 60}).callers
TIMEOUT = 5.0
WHOLE, FAST = RequestClass.WHOLE, RequestClass.FAST


# Guards against a resumed download that outlasts its route's timeout: it has a
# deadline of its own, from when it was resumed.
@pytest.mark.parametrize(
    ("request_class", "timeout", "deadline", "given", "announced", "other"),
    [
        (FAST, TIMEOUT, 3.0, True, 3.0, 3.0),
        (FAST, TIMEOUT, 5.0, False, 5.0, 5.0),
        (WHOLE, TIMEOUT, 3.0, True, 5.0, 3.0),
        (WHOLE, TIMEOUT, 5.0, False, 5.0, 5.0),
        (WHOLE, 0.0, 3.0, True, 60.0, 3.0),
        (WHOLE, 0.0, 10.0, False, 60.0, 60.0),
        # Resumed after 4 s, with 10 s until the next answer begins.
        (WHOLE, TIMEOUT, 14.0, False, 5.0, 5.0),
        (WHOLE, 0.0, 14.0, False, 60.0, 60.0),
    ],
)
async def test_a_body_lasts_no_longer_than_its_routes_timeout(
    autojump_clock, request_class, timeout, deadline, given, announced, other
):
    route = make_route(request_class=request_class, timeout_seconds=timeout)
    request = make_request()
    begin = request.arrived
    request.deadline = Deadline(begin + deadline)
    request.deadline_given = given
    found = body_deadlines(route, request, CALLERS)
    assert found.of_length(9) == pytest.approx(begin + announced)
    assert found.of_length(None) == pytest.approx(begin + other)
