"""Test how a file's routes are brought into force."""

import dataclasses

import httpcore
import pytest
import trio
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from agatetack.generated.operators import Operators, ttypes
from agatetack.ids import ChangeId, FailureDomain, HostId, LogOffset
from agatetack.lifecycle.phase import Phase
from agatetack.operators import publish
from agatetack.operators.calls import CallName
from agatetack.operators.client import (
    CallEffect,
    CallFailed,
    OperatorsClient,
)
from agatetack.operators.conftest import make_route
from agatetack.operators.publish import Progress, Step
from agatetack.operators.refusals import (
    ChangeInDoubt,
    ChangeRejected,
    Unavailable,
    UnavailableReason,
)
from agatetack.operators.requests import GetChangeRequest
from agatetack.operators.views import ChangeState, HostView, RouteRecord

OLD = make_route("r1")
CHANGED = make_route("r1", max_queue=5)
NEW = make_route("r2", "payouts")


def client_of(served, token="ann-token", **options):
    return OperatorsClient(served.url, token, **options)


def soon(seconds=5.0):
    return trio.current_time() + seconds


@pytest.mark.parametrize(
    ("wanted", "delete_missing", "steps"),
    [
        ([OLD], False, []),
        ([CHANGED], False, [(Step.REPLACE, "r1")]),
        ([NEW], False, [(Step.CREATE, "r2")]),
        ([NEW], True, [(Step.DELETE, "r1"), (Step.CREATE, "r2")]),
        ([], True, []),
    ],
)
def test_a_plan_holds_what_differs(wanted, delete_missing, steps):
    in_force = [
        RouteRecord(dataclasses.replace(OLD, version=3), LogOffset(3)),
        RouteRecord(make_route("p1", team="easements"), LogOffset(4)),
    ]
    plan = publish.make_plan(wanted, in_force, delete_missing)
    assert [(change.step, change.route_id) for change in plan] == steps
    assert len({change.change_id for change in plan}) == len(plan)


def test_a_diff_shows_the_fields_that_change():
    (change,) = publish.make_plan([CHANGED], [RouteRecord(OLD, LogOffset(3))])
    assert change.lines() == [
        "replace route r1",
        "  - max_queue: 0",
        "  + max_queue: 5",
    ]


def test_a_new_route_shows_what_the_file_says_of_it():
    (change,) = publish.make_plan([CHANGED], [])
    assert change.lines() == [
        "create route r1",
        "  + team: panel",
        "  + service: profiles",
        "  + request_class: fast",
        "  + path_prefix: /r1",
        "  + max_queue: 5",
    ]


class LosingClient(OperatorsClient):
    """Loses the first replies after the calls have taken effect."""

    losses = 2

    async def _post(self, body):
        response = await super()._post(body)
        if self.losses and b"apply_route" in body:
            self.losses -= 1
            raise CallFailed("scripted", CallEffect.UNKNOWN)
        return response


async def test_a_lost_reply_does_not_make_two_changes(served):
    async with LosingClient(served.url, "ann-token") as client:
        (change,) = await publish.plan_changes(client, [NEW])
        result = await publish.publish(client, change, soon())
    assert result.version == 2
    assert served.backend.offset == 3


@pytest.mark.parametrize(
    "failure",
    [
        ChangeInDoubt("reply lost", ChangeId("c"), 1),
        Unavailable(UnavailableReason.RATE_LIMITED, "too fast", 1),
    ],
)
async def test_a_change_in_doubt_is_sent_again(served, failure):
    served.backend.failures = [failure]
    async with client_of(served) as client:
        (change,) = await publish.plan_changes(client, [NEW])
        result = await publish.publish(client, change, soon())
    assert result.version == 2
    assert served.backend.offset == 3


@pytest.mark.parametrize(
    ("failure", "seconds"),
    [
        (Unavailable(UnavailableReason.LOG_UNAVAILABLE, "out"), 5.0),
        (ChangeInDoubt("reply lost", ChangeId("c"), 60_000), 5.0),
    ],
)
async def test_a_change_that_cannot_be_decided_is_told(
    served, failure, seconds
):
    served.backend.failures = [failure]
    async with client_of(served) as client:
        (change,) = await publish.plan_changes(client, [NEW])
        with pytest.raises(type(failure)):
            await publish.publish(client, change, soon(seconds))


async def test_the_loser_of_a_race_is_told_what_to_do(served):
    async with client_of(served) as client:
        (mine,) = await publish.plan_changes(client, [CHANGED])
        theirs = make_route("r1", max_queue=9)
        (other,) = await publish.plan_changes(client, [theirs])
        await publish.publish(client, other, soon())
        with pytest.raises(ChangeRejected) as caught:
            await publish.publish(client, mine, soon())
    advice = publish.rejection_advice(caught.value, mine)
    assert advice.startswith("ann was first: version 2 of route r1 is in force")
    assert "agatetack get r1" in advice


def peer(name, offset, live=True):
    return HostView(HostId(name), FailureDomain("d"), Phase.READY, live, offset)


async def test_waiting_ends_when_every_live_host_has_read_it(served):
    served.backend.peers = [
        peer("slow", 1),
        peer("silent", None),
        peer("gone", 0, live=False),
    ]
    seen = []

    def report(progress):
        seen.append(progress)
        served.backend.peers[:2] = [peer("slow", 2), peer("silent", 7)]

    async with client_of(served) as client:
        last = await publish.wait_in_force(client, 1, soon(), report)
    assert seen[0] == Progress(("gateway-1",), ("silent", "slow"))
    assert last == seen[-1] == Progress(("gateway-1", "silent", "slow"), ())


async def test_waiting_ends_at_its_deadline(served):
    served.backend.peers = [peer("slow", 1)]
    async with client_of(served) as client:
        last = await publish.wait_in_force(client, 1, soon(0.01), print)
    assert last.behind == ("slow",)


class AnsweringPool:
    """Answers every request alike."""

    def __init__(self, status, content):
        """Answer with `status` and `content`."""
        self.response = httpcore.Response(status, content=content)

    async def request(self, *args, **kwargs):
        await self.response.aread()
        return self.response

    async def aclose(self):
        """Close nothing."""


@pytest.mark.parametrize(
    ("status", "content", "effect"),
    [
        (404, b"no such page", CallEffect.NONE),
        (503, b"busy", CallEffect.UNKNOWN),
        (200, b"", CallEffect.UNKNOWN),
        (200, b"<html>", CallEffect.UNKNOWN),
        (200, b"\x80\x01\x00\x02\x00\x00\x00\x00", CallEffect.UNKNOWN),
    ],
)
async def test_a_strange_answer_is_one_line(status, content, effect):
    client = OperatorsClient("http://127.0.0.1:1")
    client.pool = AnsweringPool(status, content)
    with pytest.raises(CallFailed) as caught:
        await publish.plan_changes(client, [])
    assert caught.value.effect is effect
    assert "\n" not in str(caught.value)


async def test_an_address_where_nobody_listens_is_tried_once(monkeypatch):
    (change,) = publish.make_plan([NEW], [])
    async with OperatorsClient("http://127.0.0.1:1") as client:
        tries = []
        post = client._post
        monkeypatch.setattr(
            client, "_post", lambda body: tries.append(1) or post(body)
        )
        with pytest.raises(CallFailed) as caught:
            await publish.publish(client, change, soon())
    assert caught.value.effect is CallEffect.NONE
    assert len(tries) == 1


async def test_a_reply_of_a_newer_daemon_is_read():
    out = TMemoryBuffer()
    writer = TBinaryProtocol(out)
    writer.writeMessageBegin("get_change", TMessageType.REPLY, 0)
    told = ttypes.Change("c", ttypes.ChangeState.REJECTED, reason=99)
    Operators.get_change_result(success=told).write(writer)
    client = OperatorsClient("http://127.0.0.1:1")
    client.pool = AnsweringPool(200, out.getvalue())
    change = await client.call(
        CallName.GET_CHANGE, GetChangeRequest(ChangeId("c"))
    )
    assert (change.state, change.reason) == (ChangeState.REJECTED, None)


async def test_a_long_list_is_read_page_by_page(served):
    for number in range(450):
        route = make_route(f"x{number}")
        served.backend.records[route.id] = RouteRecord(route, LogOffset(9))
    async with client_of(served) as client:
        plan = await publish.plan_changes(client, [make_route("x449")])
    assert plan == []
