"""Test who is let in and what may be done."""

import base64

import pytest

from agatetack.ids import TeamId
from agatetack.metrics import Metrics
from agatetack.operators.access import Authenticator, Sender
from agatetack.operators.conftest import make_settings
from agatetack.operators.refusals import AccessDenied, AccessProblem
from agatetack.operators.tokens import make_token
from agatetack.settings.model import OperatorRole

ADDRESS = "192.0.2.7"
BASIC = b"Basic " + base64.b64encode(b"anyone:ann-token")


def authenticator(**operators):
    return Authenticator(make_settings(**operators), Metrics())


def problem_of(access, authorization, address=ADDRESS):
    with pytest.raises(AccessDenied) as caught:
        access.authenticate(Sender(authorization, address))
    return caught.value.problem


@pytest.mark.parametrize(
    ("authorization", "name"),
    [
        (b"Bearer ann-token", "ann"),
        (b"bearer   root-token ", "root"),
        (BASIC, "ann"),
    ],
)
async def test_a_known_token_names_its_operator(authorization, name):
    access = authenticator()
    assert access.authenticate(Sender(authorization, ADDRESS)).name == name


@pytest.mark.parametrize(
    ("authorization", "problem"),
    [
        (b"", AccessProblem.TOKEN_MISSING),
        (b"Bearer ", AccessProblem.TOKEN_MISSING),
        (b"Digest ann-token", AccessProblem.TOKEN_MISSING),
        (b"Basic !!!", AccessProblem.TOKEN_MISSING),
        (b"Basic " + base64.b64encode(b"ann"), AccessProblem.TOKEN_MISSING),
        (b"Bearer ann-toke", AccessProblem.TOKEN_WRONG),
        (b"Bearer \xff\x00", AccessProblem.TOKEN_WRONG),
    ],
)
async def test_anything_else_is_denied(authorization, problem):
    assert problem_of(authenticator(), authorization) is problem


async def test_wrong_tokens_make_their_address_wait(mock_clock):
    access = authenticator(failed_attempts_per_minute=3)
    wrong, right = b"Bearer guess", b"Bearer ann-token"
    for _ in range(3):
        assert problem_of(access, wrong) is AccessProblem.TOKEN_WRONG
    assert problem_of(access, right) is AccessProblem.TOO_MANY_FAILURES
    access.authenticate(Sender(right, "192.0.2.8"))
    mock_clock.jump(19.9)
    assert problem_of(access, right) is AccessProblem.TOO_MANY_FAILURES
    mock_clock.jump(0.2)
    access.authenticate(Sender(right, ADDRESS))


@pytest.mark.parametrize(
    ("address", "allowed"),
    [
        ("127.0.0.1", True),
        ("::1", True),
        ("192.0.2.7", False),
        ("::ffff:192.0.2.7", False),
        ("", False),
    ],
)
async def test_without_tokens_only_loopback_may_read(address, allowed):
    access = authenticator(tokens=[])
    if not allowed:
        problem = problem_of(access, b"Bearer ann-token", address)
        assert problem is AccessProblem.NO_TOKENS_CONFIGURED
        return
    operator = access.authenticate(Sender(b"", address))
    operator.require(OperatorRole.READ)
    with pytest.raises(AccessDenied):
        operator.require(OperatorRole.CHANGE)


async def test_a_new_token_is_let_in():
    token = make_token("ops", TeamId("platform"))
    access = authenticator(tokens=[token.entry.as_map()])
    sender = Sender(f"Bearer {token.secret}".encode(), ADDRESS)
    assert access.authenticate(sender).all_services
    assert token.secret not in repr(token.entry)
