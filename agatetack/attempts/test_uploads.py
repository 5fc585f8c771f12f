"""Test bodies that are passed on as they arrive, from caller to target."""

import contextlib
import re

import pytest
import trio
import trio.testing
from returns.result import Failure

from agatetack.attempts.once import OnceRunner
from agatetack.attempts.race import AttemptRunner
from agatetack.attempts.single import SingleAttempt
from agatetack.attempts.test_support import (
    ROUTE,
    Claims,
    CountedPermit,
    Crashes,
    OpenAdmission,
)
from agatetack.callers.connection import CallerConnection, reap_connections
from agatetack.callers.problem import refusal_answer
from agatetack.callers.read_ahead import ReadAheadConnection
from agatetack.callers.streamed_body import KeptBodies
from agatetack.messages import Handler
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.targets.http_client import HttpTargetClient
from agatetack.targets.registry import TargetRegistry
from agatetack.testing.raw_target import RawTarget

SETTINGS = default_settings(
    callers={
        "max_body_bytes": 40_000,
        "replay_body_bytes": 2000,
        "stream_body_bytes": 100,
        "kept_bodies_bytes": 3000,
        "end_means_gone": True,
        "statuses_promise": True,
    },
    targets={"headers": {"instance": "x-instance"}},
    attempts={"retry_burst": 5, "max_attempts": 3},
)
BODY = bytes(range(256)) * 4
BODY_BYTES = len(BODY)
LONG_BODY = BODY * 8

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
SHED = (
    b"HTTP/1.1 503 No\r\nx-target-outcome: not-run\r\ncontent-length: 0\r\n\r\n"
)
MISDIRECTED = b"HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n"
FORBIDDEN = b"HTTP/1.1 403 No\r\ncontent-length: 0\r\n\r\n"
UNMARKED = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"


def target(answer, after):
    """Answer once `after` bytes of the body have come, and read on.

    Without an answer the connection is closed then.
    """

    async def script(stream, number):
        data = b""
        answered = False
        while True:
            head, found, body = data.partition(b"\r\n\r\n")
            if found and len(body) >= after and not answered:
                answered = True
                if answer is None:
                    return
                await stream.send_all(answer)
            part = await stream.receive_some()
            if not part:
                return
            data += part
            script.received[number] = data

    script.received = {}
    return script


class Admission(OpenAdmission):
    """Grants a permit for each target in turn."""

    def __init__(self, states):
        super().__init__(len(states))
        self.states = states

    async def acquire(self, wanted):
        result = await super().acquire(wanted)
        if not isinstance(result, Failure):
            result.unwrap().target = self.states[len(self.given) - 1]
        return result


class Runs(Handler):
    """Runs each request with one runner."""

    def __init__(self, runner):
        self.runner = runner
        self.requests = []
        self.errors = []

    async def handle(self, request):
        self.requests.append(request)
        try:
            if isinstance(self.runner, OnceRunner):
                result = await self.runner.run(ROUTE, request)
            else:
                result = await self.runner.run(ROUTE, request, hedged=False)
        except BaseException as error:
            self.errors.append(type(error).__name__)
            raise
        if isinstance(result, Failure):
            return refusal_answer(
                result.failure(), request.request_id, SETTINGS.callers
            )
        return result.unwrap()


class World:
    """One caller, one host's connection and its targets."""

    def __init__(self, states, targets, once, connection_class):
        self.targets = targets
        self.metrics = Metrics()
        self.client = HttpTargetClient(
            SETTINGS, TargetRegistry(SETTINGS, self.metrics)
        )
        self.states = states
        self.admission = Admission(states)
        self.claims = Claims()
        self.crashes = Crashes()
        single = SingleAttempt(
            SETTINGS, self.client, self.crashes, self.metrics
        )
        if once:
            runner = OnceRunner(
                SETTINGS, self.claims, self.admission, single, self.metrics
            )
        else:
            runner = AttemptRunner(
                SETTINGS, self.admission, single, self.metrics
            )
        self.runner = runner
        self.handler = Runs(runner)
        self.kept = KeptBodies(SETTINGS.callers, self.metrics)
        self.caller, ours = trio.testing.memory_stream_pair()
        self.connection = connection_class(
            ours,
            "127.0.0.1",
            SETTINGS.callers,
            self.handler,
            self.metrics,
            self.kept,
        )
        self.data = b""

    @property
    def statuses(self):
        return [int(x) for x in re.findall(rb"HTTP/1\.1 (\d+) ", self.data)]

    def bodies(self):
        """Return the body bytes that each connection of targets got."""
        return [
            content.partition(b"\r\n\r\n")[2]
            for each in self.targets
            for _, content in sorted(each.script.received.items())
        ]

    def open_connections(self):
        return sum(
            self.client.pools.pool(state.process).open_count
            for state in self.states
        )

    async def read_answer(self):
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while part := await self.caller.receive_some():
                self.data += part
                if b"\r\n\r\n" in self.data and self.statuses[-1] != 100:
                    return

    async def send(self, head, *parts):
        """Send a request in parts, as far as they are taken."""
        with contextlib.suppress(trio.BrokenResourceError):
            await self.caller.send_all(head)
            for part in parts:
                await trio.sleep(0.01)
                await self.caller.send_all(part)

    def check_released(self):
        """Check that neither memory nor a permit is still held."""
        assert self.kept.used == 0
        for permit in self.admission.given:
            assert isinstance(permit, CountedPermit)
            assert len(permit.results) == 1


@contextlib.asynccontextmanager
async def world(*scripts, once=True, connection_class=ReadAheadConnection):
    async with trio.open_nursery() as nursery:
        targets = [RawTarget(script) for script in scripts]
        states = [await nursery.start(each.serve) for each in targets]
        for state, script in zip(states, scripts, strict=True):
            if script is REFUSES:
                state.port = 1
        found = World(states, targets, once, connection_class)
        if not once:
            nursery.start_soon(found.runner.hedger.run)
        nursery.start_soon(found.connection.serve)
        nursery.start_soon(reap_connections, {found.connection})
        with trio.fail_after(5):
            yield found
        nursery.cancel_scope.cancel()


REFUSES = target(OK, 0)


def head(length=BODY_BYTES, extra=b"", deadline_ms=3000):
    return (
        b"POST /x HTTP/1.1\r\nhost: a\r\nx-deadline-ms: %d\r\n"
        b"content-length: %d\r\n%b\r\n" % (deadline_ms, length, extra)
    )


def parts(body, count=8):
    size = -(-len(body) // count)
    return [body[i : i + size] for i in range(0, len(body), size)]


@pytest.mark.parametrize(
    "connection_class", [CallerConnection, ReadAheadConnection]
)
@pytest.mark.parametrize("once", [True, False], ids=["once", "repeatable"])
@pytest.mark.parametrize(
    ("scripts", "body", "status", "bodies"),
    [
        pytest.param([(OK, len(BODY))], BODY, 200, [BODY], id="plain"),
        pytest.param(
            [(OK, len(LONG_BODY))], LONG_BODY, 200, [LONG_BODY], id="unkept"
        ),
        pytest.param(
            [(SHED, 10), (OK, len(BODY))], BODY, 200, [None, BODY], id="shed"
        ),
        pytest.param(
            [(MISDIRECTED, 0), (SHED, len(BODY)), (OK, len(BODY))],
            BODY,
            200,
            [None, BODY, BODY],
            id="misdirected-then-shed",
        ),
        pytest.param(
            [REFUSES, (OK, len(LONG_BODY))],
            LONG_BODY,
            200,
            [LONG_BODY],
            id="not-opened",
        ),
        # A body that is no longer kept can't be sent again.
        pytest.param(
            [(SHED, 4000), (OK, len(LONG_BODY))],
            LONG_BODY,
            503,
            [None],
            id="shed-too-late",
        ),
        # A final answer that counts is passed on, whatever was sent.
        pytest.param([(FORBIDDEN, 0)], BODY, 403, [None], id="early-403"),
        pytest.param([(OK, 0)], BODY, 200, [BODY], id="early-200"),
    ],
)
async def test_a_body_reaches_a_target_whole_or_is_sent_again(
    scripts, body, status, bodies, once, connection_class
):
    """Guards against bytes that are lost, doubled or put on another request."""
    made = [x if x is REFUSES else target(*x) for x in scripts]
    async with world(*made, once=once, connection_class=connection_class) as w:
        await w.send(head(len(body)), *parts(body))
        await w.read_answer()
        await trio.sleep(0.02)
        assert w.statuses == [status]
        got = w.bodies()
        assert len(got) == len(bodies)
        for received, wanted in zip(got, bodies, strict=True):
            if wanted is None:
                # Only a part of this body, from its first byte on.
                assert body.startswith(received)
            else:
                assert received == wanted
        w.check_released()
        # Connections that got all of a body are reused; all others closed.
        assert w.open_connections() == sum(b == body for b in got)


@pytest.mark.parametrize(
    ("answer", "after"), [(None, 10), (None, len(BODY)), (UNMARKED, 10)]
)
async def test_never_repeated_without_the_word_of_the_target(answer, after):
    """Guards against a second run after an answer or loss that says nothing."""
    scripts = [target(answer, after), target(OK, len(BODY))]
    async with world(*scripts) as w:
        await w.send(head(), *parts(BODY))
        await w.read_answer()
        assert w.statuses == [502 if answer is None else 503]
        assert [each.connections for each in w.targets] == [1, 0]
        assert not w.claims.released
        w.check_released()


CHUNKED = (
    b"POST /x HTTP/1.1\r\nhost: a\r\nx-deadline-ms: 3000\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


@pytest.mark.parametrize(
    "connection_class", [CallerConnection, ReadAheadConnection]
)
@pytest.mark.parametrize(
    ("sent", "ending"),
    [
        pytest.param([head(), BODY[:500]], "end", id="short-body"),
        pytest.param([head(), BODY[:500]], "abort", id="reset"),
        pytest.param(
            [CHUNKED, b"80\r\n" + BODY[:128] + b"\r\nzz\r\n"],
            "end",
            id="broken-chunk",
        ),
        pytest.param(
            [CHUNKED, b"80\r\n" + BODY[:128] + b"\r\n"], "end", id="cut-chunks"
        ),
        pytest.param([head(), BODY[:500]], "cancel", id="cancelled"),
    ],
)
@pytest.mark.parametrize("once", [True, False], ids=["once", "repeatable"])
async def test_a_caller_that_leaves_halfway(
    sent, ending, connection_class, once
):
    """Guards against an upload that lasts, or counts as not run, after it."""
    async with world(
        target(OK, 2000),
        target(OK, 2000),
        once=once,
        connection_class=connection_class,
    ) as w:
        await w.send(*sent)
        await trio.sleep(0.05)
        assert w.targets[0].connections == 1
        if ending == "cancel":
            w.connection.abort()
        elif ending == "abort":
            await w.caller.aclose()
        else:
            await w.caller.send_eof()
        await trio.sleep(0.1)
        assert w.open_connections() == 0
        assert w.targets[1].connections == 0
        assert not w.claims.released
        assert not w.claims.finished
        assert not w.crashes.lost
        w.check_released()


async def test_a_connection_that_is_cancelled_ends_its_upload():
    """Guards against an upload that waits until its deadline for nothing."""
    async with world(target(OK, 2000)) as w:
        await w.send(head(), BODY[:500])
        await trio.sleep(0.05)
        w.connection.scope.cancel()
        await trio.sleep(0.1)
        assert w.open_connections() == 0
        assert not w.claims.released
        w.check_released()


async def test_a_caller_that_stalls_is_not_the_targets_fault():
    """Guards against failures and closed connections of a healthy target."""
    async with world(target(OK, 2000), target(OK, 2000)) as w:
        await w.send(head(deadline_ms=300), BODY[:500])
        await w.read_answer()
        assert w.statuses == [504]
        assert [r.value for r in w.admission.given[0].results] == ["cancelled"]
        assert w.targets[1].connections == 0
        assert not w.claims.released
        w.check_released()


async def test_a_long_tail_is_the_next_request():
    """Guards against bytes beyond the announced length at the target."""
    async with world(target(OK, len(BODY))) as w:
        await w.send(head(), *parts(BODY), b"and more\r\n\r\n")
        await w.read_answer()
        await trio.sleep(0.05)
        assert w.bodies() == [BODY]
        w.check_released()


async def test_an_early_answer_is_not_lost_when_the_caller_stalls():
    """Guards against 504 for a request that its target has answered."""
    async with world(target(OK, 10)) as w:
        await w.send(head(deadline_ms=300), BODY[:500])
        await w.read_answer()
        assert w.statuses == [200]
        assert w.open_connections() == 0
        w.check_released()


@pytest.mark.parametrize(
    ("permits", "statuses", "continues"), [(1, [100, 200], 1), (0, [503], 0)]
)
async def test_the_body_is_asked_for_only_when_it_is_wanted(
    permits, statuses, continues
):
    """Guards against uploads that are sent only to be refused."""
    async with world(target(OK, len(BODY))) as w:
        w.admission.permits = permits
        await w.send(head(extra=b"expect: 100-continue\r\n"))
        await trio.sleep(0.05)
        if permits:
            assert (await w.caller.receive_some()).startswith(
                b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            w.data = b"HTTP/1.1 100 "
            await w.send(*parts(BODY))
        await w.read_answer()
        assert w.statuses == statuses
        assert w.bodies() == [BODY] * continues
        w.check_released()


async def test_the_hosts_bound_limits_what_is_kept():
    """Guards against a host that many uploads fill with kept bodies."""
    async with world(target(SHED, len(BODY)), target(OK, len(BODY))) as w:
        assert w.kept.take(2500)
        await w.send(head(), *parts(BODY))
        await w.read_answer()
        # There was no room to keep it, so that it could not be sent again.
        assert w.statuses == [503]
        assert w.targets[1].connections == 0
        assert w.kept.used == 2500
        labels = {"part": "callers", "reason": "body-not-kept"}
        assert w.metrics.dropped.get(labels) == 1


@pytest.mark.parametrize("whole", [True, False])
async def test_a_stalled_target_is_passed_over_once_the_body_is_kept(whole):
    """Guards against two attempts that share a body that still arrives."""
    scripts = [target(OK, 10**9), target(OK, BODY_BYTES)]
    async with world(*scripts, once=False) as w:
        sent = BODY if whole else BODY[:500]
        await w.send(head(deadline_ms=900), sent)
        await w.read_answer()
        assert w.statuses == [200 if whole else 504]
        assert w.targets[1].connections == whole
        if whole:
            assert w.bodies() == [BODY, BODY]
        w.check_released()
