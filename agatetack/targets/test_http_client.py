"""Test how requests to misbehaving targets end."""

import contextlib
import os
import socket

import pytest
import trio

from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import AttemptId, CallerId, Deadline, HostId, RequestId
from agatetack.messages import (
    AnswerCut,
    Body,
    BytesBody,
    CallerRequest,
    Header,
)
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.settings.defaults import default_settings
from agatetack.streams import LINGER_NONE
from agatetack.targets.body import MAX_DROP_BYTES
from agatetack.targets.client import (
    Attempt,
    AttemptFailed,
    BodyDeadlines,
    Freshness,
)
from agatetack.targets.http_client import HttpTargetClient
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import TargetStatus
from agatetack.testing.raw_target import RawTarget

SETTINGS = default_settings(
    targets={
        "byte_timeout_seconds": 0.2,
        "connect_timeout_seconds": 2,
        "max_header_bytes": 2000,
    },
    claims={"proven_connection_seconds": 1},
)
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
CUT, NONE, BROKEN = "cut", "none", "broken"


def make_request(body=None, method=b"GET"):
    return CallerRequest(
        request_id=RequestId("r"),
        caller=CallerId("c"),
        method=method,
        path=b"/x",
        host=b"a",
        headers=[Header(b"host", b"a")],
        body=body or BytesBody(b""),
        deadline=Deadline(trio.current_time() + 5),
        key=None,
        arrived=Deadline(trio.current_time()),
    )


class Caller:
    """Calls a `RawTarget` through an HTTP client."""

    def __init__(self, target, state):
        self.target = target
        self.state = state
        self.client = HttpTargetClient(
            SETTINGS, TargetRegistry(SETTINGS, Metrics())
        )

    @property
    def pool(self):
        return self.client.pools.pool(self.state.id)

    async def call(self, seconds=2.0, request=None, **fields):
        attempt = Attempt(
            AttemptId("1"),
            request or make_request(),
            self.state,
            Deadline(trio.current_time() + seconds),
            **fields,
        )
        return await self.client.call(attempt)

    async def fetch(self, **fields):
        answer = await self.call(**fields)
        content = b""
        while data := await answer.body.receive():
            content += data
        return content


@contextlib.asynccontextmanager
async def raw_target(script):
    target = RawTarget(script)
    async with trio.open_nursery() as nursery:
        state = await nursery.start(target.serve)
        yield Caller(target, state)
        nursery.cancel_scope.cancel()


def sends(*parts, close=False):
    """Respond to each request with `parts`, pausing after each."""

    async def script(stream, number):
        while True:
            data = b""
            while b"\r\n\r\n" not in data:
                part = await stream.receive_some()
                if not part:
                    return
                data += part
            for part in parts:
                await stream.send_all(part)
                await trio.sleep(0.01)
            if close:
                return

    return script


@pytest.mark.parametrize(
    ("parts", "close", "content", "reused"),
    [
        ([OK], False, b"hi", True),
        ([OK[:10], OK[10:]], False, b"hi", True),
        ([b"HTTP/1.1 100 Continue\r\n\r\n" + OK], False, b"hi", True),
        (
            [
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n",
                b"hi\r\n0\r\n\r\n",
            ],
            False,
            b"hi",
            True,
        ),
        ([b"HTTP/1.1 204 No\r\n\r\n"], False, b"", True),
        ([b"HTTP/1.1 200 OK\r\n\r\nhi"], True, b"hi", False),
        ([b"HTTP/1.1 200 OK\r\n\r\nh", b"i"], True, b"hi", False),
        ([OK + b"stray"], False, b"hi", False),
        ([OK, b"stray"], False, b"hi", False),
        ([OK + OK], False, b"hi", False),
        (
            [OK.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")],
            True,
            b"hi",
            False,
        ),
        (
            [b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhi"],
            True,
            CUT,
            False,
        ),
        (
            [b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhi"],
            False,
            CUT,
            False,
        ),
        (
            [b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi"],
            True,
            CUT,
            False,
        ),
        (
            [
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
                b"2\r\nhi\r\nzz\r\n",
            ],
            False,
            CUT,
            False,
        ),
    ],
    ids=[
        "length",
        "in-two-parts",
        "interim",
        "chunked",
        "no-content",
        "until-close",
        "until-close-in-parts",
        "stray-with-answer",
        "stray-later",
        "two-answers",
        "says-close",
        "short-then-closed",
        "short-then-silent",
        "chunks-cut",
        "bad-chunk",
    ],
)
async def test_body_is_whole_or_cut(parts, close, content, reused):
    async with raw_target(sends(*parts, close=close)) as caller:
        if content is CUT:
            with pytest.raises(AnswerCut):
                await caller.fetch()
        else:
            assert await caller.fetch() == content
            await trio.sleep(0.05)
            with contextlib.suppress(AttemptFailed, AnswerCut):
                await caller.fetch()
        assert caller.target.connections == (
            1 if reused or content is CUT else 2
        )


def answers_nothing():
    async def script(stream, number):
        await stream.receive_some()
        await trio.sleep_forever()

    return script


def closes(reset=False):
    async def script(stream, number):
        await stream.receive_some()

    return script


SHED = b"HTTP/1.1 503 No\r\nx-target-outcome: not-run\r\nretry-after: 3\r\n"


@pytest.mark.parametrize(
    ("script", "reason", "outcome"),
    [
        (answers_nothing(), RefusalReason.ANSWER_TIMEOUT, Outcome.UNKNOWN),
        (closes(), RefusalReason.CONNECTION_LOST, Outcome.UNKNOWN),
        (
            sends(b"rubbish\r\n\r\n"),
            RefusalReason.ANSWER_MALFORMED,
            Outcome.UNKNOWN,
        ),
        (
            sends(b"HTTP/1.1 200 OK\r\nx: ", close=True),
            RefusalReason.ANSWER_MALFORMED,
            Outcome.UNKNOWN,
        ),
        (
            sends(b"HTTP/1.1 200 OK\r\nx: " + b"y" * 5000),
            RefusalReason.ANSWER_MALFORMED,
            Outcome.UNKNOWN,
        ),
        (
            sends(SHED + b"content-length: 0\r\n\r\n"),
            RefusalReason.SHED_BY_TARGET,
            Outcome.NOT_RUN,
        ),
    ],
    ids=["silent", "closes", "rubbish", "cut-header", "endless", "sheds"],
)
async def test_failure_says_whether_it_may_have_run(script, reason, outcome):
    async with raw_target(script) as caller:
        with pytest.raises(AttemptFailed) as caught:
            await caller.call(seconds=0.3)
    assert caught.value.failure.reason is reason
    assert caught.value.failure.outcome is outcome
    assert caller.pool.open_count == len(caller.pool.idle)


async def test_503_without_the_mark_is_the_targets_answer():
    raw = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"
    async with raw_target(sends(raw)) as caller:
        assert (await caller.call()).status == 503


async def test_refused_connection_is_not_run():
    async with raw_target(sends(OK)) as caller:
        caller.state.port = 1
        with pytest.raises(AttemptFailed) as caught:
            await caller.call()
    assert caught.value.failure.reason is RefusalReason.CONNECT_FAILED
    assert caught.value.failure.outcome is Outcome.NOT_RUN
    assert caller.state.status is TargetStatus.LEAVING


async def test_cancelled_call_closes_its_connection():
    async with raw_target(answers_nothing()) as caller:
        with trio.move_on_after(0.05):
            await caller.call()
        assert caller.pool.open_count == 0


async def test_answer_closed_early_closes_its_connection():
    raw = b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhi"
    async with raw_target(sends(raw)) as caller:
        answer = await caller.call()
        await answer.aclose()
        assert caller.pool.open_count == 0


async def test_head_answer_keeps_length_and_connection():
    raw = b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n"
    async with raw_target(sends(raw)) as caller:
        for _ in range(2):
            request = make_request(method=b"HEAD")
            answer = await caller.call(request=request)
            assert answer.body.length == 99
            assert await answer.body.receive() == b""
        assert caller.target.connections == 1


class Parts(Body):
    """Streams `parts` as a request body and raises exceptions among them."""

    def __init__(self, *parts):
        self.parts = list(parts)

    async def receive(self):
        await trio.sleep(0.01)
        part = self.parts.pop(0) if self.parts else b""
        if isinstance(part, Exception):
            raise part
        return part


async def test_streams_a_body_in_chunks():
    async def script(stream, number):
        data = b""
        while b"0\r\n\r\n" not in data:
            data += await stream.receive_some()
        caller.target.received[number] = data
        await stream.send_all(OK)

    async with raw_target(script) as caller:
        request = make_request(Parts(b"abc", b"d"), b"POST")
        assert await caller.fetch(request=request) == b"hi"
    assert caller.target.received[0].endswith(
        b"3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"
    )


async def test_early_refusal_ends_the_upload():
    raw = b"HTTP/1.1 413 No\r\ncontent-length: 0\r\n\r\n"
    async with raw_target(sends(raw)) as caller:
        request = make_request(Parts(*[b"x"] * 1000), b"POST")
        answer = await caller.call(request=request)
        assert answer.status == 413
        assert caller.pool.open_count == 0


NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\npart"


# Guards against a part of a response without a length that counts as whole, as
# the reset behind it was reported to the upload and not to the next read.
@pytest.mark.parametrize("body", ["in parts", "at once"])
async def test_a_reset_that_the_upload_met_cuts_a_body_without_length(body):
    async def script(stream, number):
        await stream.receive_some()
        await stream.send_all(NO_LENGTH)
        await trio.sleep(0.05)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)

    content = {
        "in parts": lambda: Parts(*[b"x"] * 50),
        "at once": lambda: BytesBody(b"x" * 16_000_000),
    }
    async with raw_target(script) as caller:
        request = make_request(content[body](), b"POST")
        answer = await caller.call(request=request)
        assert await answer.body.receive() == b"part"
        with pytest.raises(AnswerCut):
            await answer.body.receive()
        assert caller.pool.open_count == 0


# Guards against whole responses that count as cut because their target closed
# the connection before it had read the request's body.
async def test_a_response_that_ends_before_its_upload_is_whole():
    async def script(stream, number):
        await stream.receive_some()
        await stream.send_all(NO_LENGTH)
        await stream.send_eof()
        with contextlib.suppress(trio.TooSlowError), trio.fail_after(0.1):
            while await stream.receive_some():
                pass

    async with raw_target(script) as caller:
        request = make_request(Parts(*[b"x"] * 50), b"POST")
        assert await caller.fetch(request=request) == b"part"


async def test_upload_that_fails_is_raised_and_closes():
    async with raw_target(answers_nothing()) as caller:
        request = make_request(Parts(b"x", ValueError("lost")), b"POST")
        with pytest.raises(ValueError, match="lost"):
            await caller.call(request=request)
        assert caller.pool.open_count == 0


def silent_after(requests):
    """Go silent after some responses on the first three connections."""

    async def script(stream, number):
        for _ in range(requests if number < 3 else 1000):
            if not await stream.receive_some():
                return
            await trio.sleep(0.05)
            await stream.send_all(OK)
        await trio.sleep_forever()

    return script


async def test_one_silent_connection_retires_its_siblings():
    async with raw_target(silent_after(1)) as caller:
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(caller.fetch)
        assert len(caller.pool.idle) == 3
        with pytest.raises(AttemptFailed):
            await caller.call(seconds=0.1)
        assert await caller.fetch(seconds=0.5) == b"hi"
        assert caller.target.connections == 4


@pytest.mark.parametrize(
    ("freshness", "age", "connections"),
    [
        (Freshness.ANY, 0.0, 1),
        (Freshness.ANY, 1.5, 1),
        (Freshness.ANY, 2.5, 2),
        (Freshness.PROVEN, 0.5, 1),
        (Freshness.PROVEN, 1.5, 2),
        (Freshness.NEW, 0.0, 2),
    ],
)
async def test_old_connections_are_not_trusted(freshness, age, connections):
    async with raw_target(sends(OK)) as caller:
        await caller.fetch()
        caller.pool.idle[0].last_byte_at -= age
        await caller.fetch(freshness=freshness)
        assert caller.target.connections == connections


async def test_connections_are_bounded():
    async with raw_target(answers_nothing()) as caller:
        caller.pool.open_count = SETTINGS.targets.max_connections
        with pytest.raises(AttemptFailed) as caught:
            await caller.call()
    assert caught.value.failure.outcome is Outcome.NOT_RUN


async def test_load_and_drain_marks_are_noted_and_not_passed_on():
    raw = OK.replace(
        b"\r\n\r\n",
        b"\r\nx-target-in-flight: 3\r\nx-target-slots: 4\r\n"
        b"x-target-state: draining\r\nx-b: 1\r\n\r\n",
    )
    async with raw_target(sends(raw)) as caller:
        registry = caller.client.registry
        listed = ListedHost(
            HostId(caller.state.id),
            HostRole.TARGET,
            HostState.LIVE,
            caller.state.ip,
            caller.state.port,
            caller.state.failure_domain,
            caller.state.service,
        )
        registry.update([listed])
        caller.state = registry.by_id[caller.state.id]
        answer = await caller.call()
        assert caller.state.report.in_flight == 3
        assert caller.state.report.slots == 4
        assert caller.state.status is TargetStatus.LEAVING
        assert [header.name for header in answer.headers] == [b"x-b"]


# Guards against: a request was sent to its chosen target after the target had
# announced a pushback or that it was leaving.
@pytest.mark.parametrize(
    ("status", "pushed_back"),
    [
        (TargetStatus.READY, True),
        (TargetStatus.LEAVING, False),
        (TargetStatus.GONE, False),
    ],
)
async def test_nothing_is_sent_to_a_target_that_became_unwilling(
    status, pushed_back
):
    async with raw_target(sends(OK)) as caller:
        await caller.fetch()
        caller.state.status = status
        if pushed_back:
            caller.state.pushback_until = Deadline(trio.current_time() + 3)
        with pytest.raises(AttemptFailed) as failed:
            await caller.call()
        failure = failed.value.failure
        assert failure.reason is RefusalReason.TARGET_UNWILLING
        assert failure.outcome is Outcome.NOT_RUN
        assert not failure.sent
        # The connection stays in the pool.
        assert caller.pool.open_count == len(caller.pool.idle) == 1


# Guards against: a pushback was ignored if the response body never ended.
async def test_a_pushback_is_known_once_the_head_is_read():
    head = (
        b"HTTP/1.1 503 Full\r\nretry-after: 3\r\nx-target-outcome: not-run"
        b"\r\ncontent-length: 5\r\n\r\n"
    )
    async with raw_target(sends(head)) as caller:
        with pytest.raises(AttemptFailed):
            await caller.call(seconds=1.0)
        assert caller.state.pushback_until > trio.current_time() + 1.0


# Guards against: a pushback was ignored if the attempt was cancelled, because
# another attempt got its response at the same moment.
async def test_the_pushback_of_an_answer_that_comes_too_late_is_known():
    answer = OK.replace(
        b"200 OK", b"503 Full\r\nretry-after: 3\r\nx-target-outcome: not-run"
    )
    scope = trio.CancelScope()

    async def script(stream, number):
        await stream.receive_some()
        # No checkpoint in between, so that the caller's task runs after
        # both.
        os.write(stream.socket.fileno(), answer)
        scope.cancel()

    async with raw_target(script) as caller:
        with scope:
            await caller.call()
        assert scope.cancelled_caught
        assert caller.state.pushback_until > trio.current_time() + 1.0


@pytest.mark.parametrize(
    ("status", "pushbacks"),
    [
        (b"200 OK", 0),
        (b"500 Broken", 0),
        (b"503 Full\r\nx-target-outcome: not-run", 3),
        (b"503 Full", 3),
        (b"503 Full\r\nretry-after: 1", 4),
    ],
)
async def test_only_a_request_that_was_taken_ends_the_count(status, pushbacks):
    async with raw_target(sends(OK.replace(b"200 OK", status))) as caller:
        caller.state.pushbacks = 3
        with contextlib.suppress(AttemptFailed):
            await caller.fetch()
        assert caller.state.pushbacks == pushbacks


@pytest.mark.parametrize(
    ("status", "name"),
    [
        (b"200 OK", b"x-target-in-flight"),
        (b"200 OK", b"x-target-slots"),
        (b"503 Full\r\nx-target-outcome: not-run", b"retry-after"),
    ],
)
@pytest.mark.parametrize("digits", [10, 400, 1500])
async def test_absurd_numbers_are_ignored_and_leak_nothing(
    status, name, digits
):
    raw = OK.replace(
        b"200 OK\r\n",
        b"%b\r\nx-target-in-flight: 1\r\n%b: %b\r\n"
        % (status, name, b"9" * digits),
    )
    async with raw_target(sends(raw)) as caller:
        try:
            await caller.fetch()
        except AttemptFailed as error:
            assert error.failure.outcome is Outcome.NOT_RUN
        assert caller.state.pushback_until <= trio.current_time()
        assert caller.pool.open_count == len(caller.pool.idle)
        report = caller.state.report
        assert report is None or report.in_flight <= 1


HUGE = b"HTTP/1.1 200 OK\r\ncontent-length: 900000000\r\n\r\n"


# Guards against a body of ten bytes at a time that a host passes on for days.
async def test_a_body_that_trickles_after_its_deadline_is_cut():
    async with raw_target(sends(HUGE, *[b"x" * 10] * 2000)) as caller:
        latest = Deadline(trio.current_time() + 60)
        answer = await caller.call(
            seconds=0.1, body_deadlines=BodyDeadlines(latest, latest)
        )
        with trio.fail_after(10), pytest.raises(AnswerCut):
            while await answer.body.receive():
                pass
        assert caller.pool.open_count == 0


# Guards against a connection that is read for as long as bytes come, only to
# be used again.
async def test_the_rest_of_an_unneeded_body_is_read_up_to_a_bound():
    async with raw_target(sends(HUGE, *[b"x" * 60_000] * 2000)) as caller:
        answer = await caller.call()
        await answer.body.drop()
        assert answer.body.parser.body_bytes < 2 * MAX_DROP_BYTES
        assert caller.pool.open_count == 0
