"""Test how requests that are sent again are recognised."""

import dataclasses

import pytest

from agatetack.identity.accounts import ClientAccount
from agatetack.identity.returning import ReturningRequests
from agatetack.ids import Deadline, RouteId
from agatetack.testing.targets import make_request

ROUTE = RouteId("r")


def note(returning, seconds, account="a", route=ROUTE, given=True):
    request = make_request(seconds=seconds)
    request.deadline = Deadline(request.arrived + seconds)
    request = dataclasses.replace(
        request, account=ClientAccount(account), deadline_given=given
    )
    return returning.is_returning(request, route)


# Guards against requests being taken for returning ones because their callers
# give slightly different times, or other times than callers of other accounts.
@pytest.mark.parametrize(
    ("seconds", "account", "route", "given", "found"),
    [
        (4.0, "a", ROUTE, True, False),
        (3.5, "a", ROUTE, True, False),
        (2.7, "a", ROUTE, True, True),
        (2.7, "b", ROUTE, True, False),
        (2.7, "a", RouteId("other"), True, False),
        (2.7, "a", ROUTE, False, False),
    ],
)
async def test_a_request_with_much_less_time_left_returns(
    seconds, account, route, given, found
):
    returning = ReturningRequests()
    for usual in (3.6, 4.0, 3.8):
        assert not note(returning, usual)
    assert note(returning, seconds, account, route, given) is found


async def test_callers_may_begin_to_give_less_time():
    returning = ReturningRequests()
    note(returning, 10.0)
    for _ in range(200):
        last = note(returning, 2.0)
    assert not last
