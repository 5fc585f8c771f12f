"""Test requests to targets whose rejections and answers come twice."""

import contextlib
import itertools

import pytest
import trio
from returns.result import Success

from agatetack.attempts.fleet_budget import FleetBudget
from agatetack.attempts.once import OnceRunner
from agatetack.attempts.race import AttemptRunner
from agatetack.attempts.test_support import Claims, Crew
from agatetack.config.route import RequestClass
from agatetack.ids import RequestId
from agatetack.messages import BytesBody, Header, read_whole
from agatetack.metrics import Metrics
from agatetack.outcomes import Outcome
from agatetack.targets import pool as pools
from agatetack.targets.pool import ConnectionLimit
from agatetack.testing.repeating_target import RepeatingTarget, Repeats
from agatetack.testing.targets import make_request, make_route

WARM_UP = b"warm-up"
"""What the ids of the requests begin with that open the connections."""


class RepeatingCrew(Crew):
    """Attempts at targets that repeat what they send."""

    def __init__(self, targets, listed):
        super().__init__(targets, listed)
        self.budget = FleetBudget(self.settings, lambda: 1, self.metrics)

    async def run(self, once, name, attempts=2, seconds=1.0):
        """Run one request; return its result, and the body of an answer."""
        request = make_request(seconds=seconds, name=name)
        request.request_id = RequestId(name)
        request.method = b"POST"
        request.body = BytesBody(b"x")
        request.headers = [Header(b"request-id", name.encode())]
        if once:
            runner = OnceRunner(
                self.settings,
                Claims(),
                self.admission,
                self.single,
                Metrics(),
                self.budget,
            )
            route = make_route(
                request_class=RequestClass.ONCE, max_attempts=attempts
            )
            result = await runner.run(route, request)
        else:
            runner = AttemptRunner(
                self.settings,
                self.admission,
                self.single,
                Metrics(),
                fleet_budget=self.budget,
            )
            route = make_route(max_attempts=attempts)
            result = await runner.run(route, request, hedged=False)
        if isinstance(result, Success):
            return result, (await read_whole(result.unwrap().body)).content
        return result, None

    @property
    def runs(self):
        return sorted(
            run
            for target in self.targets
            for run in target.runs
            if not run.startswith(WARM_UP)
        )

    @property
    def connections(self):
        return sum(target.raw.connections for target in self.targets)

    async def warm_up(self, connections):
        """Leave this many idle connections, over all targets."""
        repeats = [target.repeats for target in self.targets]
        for target in self.targets:
            target.repeats = Repeats(rejections=0)
        async with trio.open_nursery() as nursery:
            for number in range(connections):
                nursery.start_soon(
                    self.run, False, f"{WARM_UP.decode()}{number}"
                )
        for target, kept in zip(self.targets, repeats, strict=True):
            target.repeats = kept


@contextlib.asynccontextmanager
async def crew(repeats, targets=1):
    async with trio.open_nursery() as nursery:
        made = [
            RepeatingTarget(f"t{number}", repeats, nursery)
            for number in range(targets)
        ]
        yield RepeatingCrew(made, [await target.start() for target in made])
        nursery.cancel_scope.cancel()


COPIES = [
    Repeats(
        rejections=rejections,
        of_rejections=of_rejections,
        of_answers=not of_rejections,
        after_seconds=after,
        split=split,
        identified=identified,
    )
    for rejections, of_rejections, after, (split, identified) in (
        itertools.product(
            (1, 2),
            (True, False),
            (0.0, 0.005, 0.02, 0.08, 0.2),
            ((False, True), (True, True), (False, False)),
        )
    )
]


# Guards against a caller that is told "not run" while its request runs, as a
# late copy of an earlier rejection was taken for the answer.
@pytest.mark.parametrize(
    "repeats",
    COPIES,
    ids=lambda r: (
        f"{'rejection' if r.of_rejections else 'answer'}-x{r.rejections}"
        f"-{1000 * r.after_seconds:.0f}ms{'-split' if r.split else ''}"
        f"{'' if r.identified else '-no-id'}"
    ),
)
@pytest.mark.parametrize(
    ("targets", "connections"), [(1, 1), (1, 2), (2, 2), (1, 0)]
)
@pytest.mark.parametrize("once", [True, False], ids=["once", "repeatable"])
async def test_a_copy_of_a_response_says_nothing_of_a_later_send(
    repeats, targets, connections, once, autojump_clock
):
    async with crew(repeats, targets) as made:
        await made.warm_up(connections)
        # The retry may go to a target that has not rejected it yet.
        attempts = repeats.rejections * targets + 1
        for name in ("a", "b"):
            result, body = await made.run(once, name, attempts)
            assert isinstance(result, Success), result
            assert body == f"ran {name}".encode()
        assert made.runs == [b"a", b"b"]


class OneConnection(ConnectionLimit):
    """Allows one connection to each target."""

    def limit_for(self, target):
        return 1


# Guards against a rejected request that is not sent again, as connections that
# it can't use fill the target's limit.
async def test_a_rejected_request_is_sent_again_at_the_limit_of_connections(
    autojump_clock,
):
    async with crew(Repeats(of_rejections=True, after_seconds=0.02)) as made:
        made.client.pools.connection_limit = OneConnection()
        await made.warm_up(1)
        for name in ("a", "b"):
            result, _ = await made.run(True, name)
            assert isinstance(result, Success), result
        (pool,) = made.client.pools.pools.values()
        assert pool.open_count == 1


# Guards against a connection that is closed though others may use it, and
# against one that remembers rejections without a bound.
async def test_a_connection_carries_other_requests_after_a_rejection(
    autojump_clock, monkeypatch
):
    monkeypatch.setattr(pools, "MAX_REJECTED_PER_CONNECTION", 3)
    async with crew(Repeats(rejections=1)) as made:
        for name in ("a", "b", "c", "d"):
            result, _ = await made.run(True, name, attempts=1)
            assert result.failure().outcome is Outcome.NOT_RUN
            assert made.connections == (2 if name == "d" else 1)
