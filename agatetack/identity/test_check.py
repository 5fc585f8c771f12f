"""Test how client accounts are identified."""

import math

import pytest
import trio

from agatetack.config.route import RequestClass, Route
from agatetack.identity.accounts import (
    AccountSource,
    AccountTable,
    BadAccount,
    ClientAccount,
)
from agatetack.identity.age import ConfigurationAge
from agatetack.identity.check import MAX_KEY_BYTES, AccountCheck
from agatetack.identity.keys import hash_key
from agatetack.ids import Deadline, RouteId, ServiceId, TeamId
from agatetack.messages import Header
from agatetack.metrics import Metrics
from agatetack.outcomes import RefusalReason
from agatetack.settings.defaults import default_settings
from agatetack.testing.targets import make_request

SETTINGS = default_settings(targets={"headers": {"account": "account-id"}})
OWN_HEADER = Header(b"a", b"1")


def account(name, *keys, **fields):
    hashes = frozenset(hash_key(key) for key in keys)
    return ClientAccount(id=name, key_hashes=hashes, **fields)


TABLE = AccountTable(
    [account("one", b"key-1", b"key-2"), account("two", b"key-3")],
    [RouteId("open")],
)


class FixedAge(ConfigurationAge):
    """A proof of `seconds` ago."""

    def __init__(self, seconds):
        self.seconds = seconds

    def proven_at(self):
        return Deadline(trio.current_time() - self.seconds)


def route(name):
    return Route(
        RouteId(name), TeamId("t"), ServiceId("s"), RequestClass.FAST, "/"
    )


def identify(*headers, table=TABLE, route_id="r", age=None):
    """Return a request with `headers` after the check, and the refusal."""
    check = AccountCheck(SETTINGS, AccountSource(table), Metrics(), age)
    request = make_request()
    request.headers = [OWN_HEADER, *headers]
    refusal = check.identify(route(route_id), request)
    return request, refusal


def bearer(key, scheme=b"Bearer "):
    return Header(b"authorization", scheme + key)


@pytest.mark.parametrize(
    ("headers", "found"),
    [
        ([bearer(b"key-1")], "one"),
        ([bearer(b"key-2")], "one"),
        ([bearer(b"key-3")], "two"),
        ([bearer(b"key-3", b"bearer  ")], "two"),
        ([bearer(b"key-1"), Header(b"account-id", b"two")], "one"),
        ([], None),
        ([bearer(b"key-4")], None),
        ([bearer(b"")], None),
        ([bearer(b"KEY-1")], None),
        ([bearer(b"key-1", b"Basic ")], None),
        ([bearer(b"key-1", b"")], None),
        ([bearer(b"key-1"), bearer(b"key-1")], None),
        ([bearer(b"k" * (MAX_KEY_BYTES + 1))], None),
        ([Header(b"account-id", b"one")], None),
    ],
)
async def test_the_account_comes_from_the_key_alone(headers, found):
    request, refusal = identify(*headers)
    if found is None:
        assert refusal.reason is RefusalReason.CREDENTIALS_UNKNOWN
        assert refusal.status == 401
        assert request.headers == [OWN_HEADER]
    else:
        assert refusal is None
        assert request.account.id == found
        assert request.caller == found
        sent = Header(b"account-id", found.encode())
        assert request.headers == [OWN_HEADER, sent]


# Guards against a key or a forged account reaching the targets of a route that
# needs no key.
@pytest.mark.parametrize("key", [b"key-1", b"unknown"])
async def test_public_routes_need_no_key_and_pass_none_on(key):
    forged = Header(b"account-id", b"one")
    request, refusal = identify(bearer(key), forged, route_id="open")
    assert refusal is None
    assert request.account is None
    assert request.headers == [OWN_HEADER]


async def test_without_accounts_nothing_is_changed():
    headers = [bearer(b"key-1"), Header(b"account-id", b"x")]
    request, refusal = identify(*headers, table=None)
    assert refusal is None
    assert request.headers == [OWN_HEADER, *headers]


# Guards against a key being used after its revocation, and against refusing a
# key for good that a newer configuration may have added.
@pytest.mark.parametrize(
    ("key", "age", "reason"),
    [
        (b"key-1", 3.9, None),
        (b"key-1", 4.1, RefusalReason.CONFIGURATION_UNPROVEN),
        (b"key-1", math.inf, RefusalReason.CONFIGURATION_UNPROVEN),
        (b"unknown", 2.4, RefusalReason.CREDENTIALS_UNKNOWN),
        (b"unknown", 2.6, RefusalReason.CONFIGURATION_UNPROVEN),
    ],
)
async def test_an_old_configuration_decides_nothing(
    autojump_clock, key, age, reason
):
    _, refusal = identify(bearer(key), age=FixedAge(age))
    assert (refusal and refusal.reason) is reason


async def test_an_old_configuration_serves_public_routes(autojump_clock):
    _, refusal = identify(route_id="open", age=FixedAge(math.inf))
    assert refusal is None


@pytest.mark.parametrize(
    ("accounts", "named"),
    [
        ([account("a", b"k"), account("b", b"k")], "'a' and 'b'"),
        ([account("a", b"k"), account("a", b"l")], "named 'a'"),
        ([account("", b"k")], "''"),
        ([account("a\r\nb", b"k")], "not valid"),
    ],
)
def test_a_table_refuses_accounts_that_cannot_be_told_apart(accounts, named):
    with pytest.raises(BadAccount, match=named):
        AccountTable(accounts)
