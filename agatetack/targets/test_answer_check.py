"""Test which responses are accepted, on bytes that a target may send."""

import pytest

from agatetack.messages import Header
from agatetack.settings.defaults import default_settings
from agatetack.targets.answer_check import AnswerCheck
from agatetack.targets.parser import (
    MAX_SKIPPED_ANSWERS,
    AnswerParser,
    AnswerState,
    read_keep_alive,
)
from agatetack.testing.store_fleet import (
    route_fields,
    store_fleet,
    template_settings,
)

ECHO = Header(b"request-id", b"r1")


def answer(
    request_id=b"r1", status=b"200 OK", body=b"own", extra=b"", signed=True
):
    head = b"HTTP/1.1 " + status + b"\r\ncontent-length: %d\r\n" % len(body)
    if request_id is not None:
        head += b"Request-Id: " + request_id + b"\r\n"
    if signed:
        head += b"Server-Signature: x\r\n"
    return head + extra + b"\r\n" + body


OTHER = answer(b"r0", body=b"another's")
OWN = answer()
ENDLESS = b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\nserver-signature: x\r\n\r\nown"


@pytest.mark.parametrize(
    ("content", "state", "body"),
    [
        (OWN, AnswerState.COMPLETE, b"own"),
        (OTHER + OWN, AnswerState.COMPLETE, b"own"),
        (OTHER + OTHER + OWN, AnswerState.COMPLETE, b"own"),
        (OTHER, AnswerState.HEAD, b""),
        (OTHER[:-3], AnswerState.HEAD, b""),
        (OWN[:-1], AnswerState.BODY, b"ow"),
        (b"junk\r\n\r\n" + OWN, AnswerState.BROKEN, b""),
        (OTHER + b"junk\r\n\r\n", AnswerState.BROKEN, b""),
        (ENDLESS, AnswerState.BODY, b"own"),
    ],
)
@pytest.mark.parametrize("step", [1, 7, 100_000])
def test_answers_to_others_are_passed_over(content, state, body, step):
    parser = AnswerParser(b"GET", 65536, ECHO)
    for start in range(0, len(content), step):
        parser.feed(content[start : start + step])
    assert parser.state is state
    if state is not AnswerState.BROKEN:
        assert b"".join(parser.parts) == body


@pytest.mark.parametrize(
    ("end", "state"),
    [("end", AnswerState.COMPLETE), ("abort", AnswerState.BROKEN)],
)
def test_only_a_proper_end_completes_an_answer_without_a_length(end, state):
    parser = AnswerParser(b"GET", 65536, ECHO)
    parser.feed(ENDLESS)
    getattr(parser, end)()
    assert parser.state is state


@pytest.mark.parametrize("end", ["end", "abort"])
def test_a_cut_answer_is_never_complete(end):
    parser = AnswerParser(b"GET", 65536, ECHO)
    parser.feed(OWN[:-1])
    getattr(parser, end)()
    assert parser.state is AnswerState.BROKEN


def test_what_follows_an_answer_is_noticed():
    parser = AnswerParser(b"GET", 65536, ECHO)
    parser.feed(OWN + OTHER)
    assert parser.state is AnswerState.COMPLETE
    assert b"".join(parser.parts) == b"own"
    assert parser.stray


SHED = b"503 Service Unavailable"
MARK = b"not-executed: 1\r\n"


@pytest.mark.parametrize(
    ("content", "sound", "not_run"),
    [
        (answer(), True, False),
        (answer(signed=False), False, False),
        (answer(request_id=None), False, False),
        (answer(status=SHED, extra=MARK, signed=False), True, True),
        (
            answer(None, status=SHED, extra=MARK, signed=False),
            True,
            True,
        ),
        (answer(status=SHED), True, False),
        (answer(None, status=SHED), False, False),
        (answer(status=b"421 Misdirected Request"), True, True),
        (answer(None, status=b"421 Misdirected Request"), True, True),
        (answer(status=b"429 Too Many", extra=MARK), True, True),
        # A success can't report that the request was not run.
        (answer(extra=MARK), True, False),
        (answer(status=b"500 Error"), True, False),
    ],
)
def test_what_an_answer_says_of_the_request(content, sound, not_run):
    check = AnswerCheck(template_settings(1))
    parser = AnswerParser(b"GET", 65536, ECHO)
    parser.feed(content)
    assert check.is_valid(parser) is sound
    assert check.is_not_run(parser) is not_run


# Guards against a rejection without an id that was that of an earlier request.
@pytest.mark.parametrize(
    "first",
    [
        answer(None),
        answer(None, status=SHED, extra=MARK, signed=False),
        answer(None, status=b"421 Misdirected Request"),
        answer(None, status=b"500 Error"),
    ],
)
def test_a_response_without_an_id_counts_only_on_a_new_connection(first):
    check = AnswerCheck(template_settings(1))
    parser = AnswerParser(b"GET", 65536, ECHO, first=False)
    parser.feed(first)
    assert parser.state is AnswerState.HEAD
    assert not check.is_not_run(parser)
    parser.feed(OWN)
    assert parser.state is AnswerState.COMPLETE
    assert b"".join(parser.parts) == b"own"


def test_by_the_defaults_only_the_mark_counts():
    check = AnswerCheck(default_settings())
    parser = AnswerParser(b"GET", 65536)
    parser.feed(answer(None, status=b"421 Misdirected Request"))
    assert check.is_valid(parser)
    assert not check.is_not_run(parser)


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (b"timeout=10", 10),
        (b"max=5, Timeout=7", 7),
        (b"timeout=x", None),
        (b"", None),
        (b"timeout", None),
    ],
)
def test_keep_alive_is_read(value, seconds):
    assert read_keep_alive(value) == seconds


@pytest.mark.parametrize(
    ("kind", "fault", "statuses", "runs"),
    [
        # Responses to other requests are skipped for both route types.
        ("idempotent", {"extra_answer": True}, {200}, 3),
        ("non_idempotent", {"extra_answer": True}, {200}, 3),
        # Only shed requests may be reported as not run.
        ("non_idempotent", {"shed_above": 0}, {503}, 0),
        ("non_idempotent", {"answer_lost": True}, {502}, 3),
        ("non_idempotent", {"stray_bytes": b"junk"}, {200}, 3),
        ("non_idempotent", {"fail_status": 500}, {500}, 3),
        ("non_idempotent", {"cut_after_bytes": 1}, {502}, 3),
    ],
)
async def test_each_request_runs_once_and_is_told_the_truth(
    kind, fault, statuses, runs
):
    async with store_fleet(route_fields(route_type=kind), targets=1) as fleet:
        for name, value in fault.items():
            setattr(fleet.targets[0].faults, name, value)
        answers = [
            await fleet.get("/a/x", request_id=f"q{n}", method="POST")
            for n in range(3)
        ]
        assert {each.status for each in answers} == statuses
        for number, each in enumerate(answers):
            if each.status == 200:
                assert b"q%d" % number in each.content
        assert len(fleet.targets[0].executed) == runs


async def test_another_instance_at_an_address_runs_nothing():
    async with store_fleet(targets=1) as fleet:
        target = fleet.targets[0]
        target.instance = "another"
        answer_got = await fleet.get("/a/x")
        assert answer_got.status == 503
        assert target.executed == []
        registry = fleet.gateways[0].registry
        assert registry.targets("svc-a") == ()
        fleet.register(target)
        await fleet.until(lambda: "another" in registry.by_id)
        assert (await fleet.get("/a/x")).status == 200


# Guards against responses to other requests that are read until the deadline.
@pytest.mark.parametrize("size", [0, 200_000])
def test_responses_to_other_requests_are_skipped_up_to_a_bound(size):
    parser = AnswerParser(b"GET", 65536, ECHO)
    other = (
        b"HTTP/1.1 200 OK\r\n%b: other\r\ncontent-length: %d\r\n\r\n"
        % (ECHO.name, size)
    ) + b"x" * size
    for _ in range(MAX_SKIPPED_ANSWERS + 1):
        parser.feed(other)
    assert parser.state is AnswerState.BROKEN
