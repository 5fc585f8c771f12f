"""Test what reaches targets that announce a rate limit in their answers.

Guards against hosts that ignore the limit. Targets of a busy service announced
1.3 to 2 requests per second from all hosts together, and got as many as before
and as many as targets without a limit: up to 31 requests in 4 s where 13 were
allowed. No host read the header. It was only forwarded to the caller, and the
choice of targets, retries, pre-send probes and probes depended on load alone.
Probes count at the target like requests: of 21 arrivals in 4 s, 14 were
callers' requests.
"""

import pytest
import trio
from returns.pipeline import is_successful

from agatetack.headers import DecimalProblem
from agatetack.messages import Header
from agatetack.outcomes import Outcome, RefusalReason
from agatetack.testing.limited_fleet import limited_fleet, most_within
from agatetack.testing.targets import make_request, make_route

WINDOW_SECONDS = 4.0
INFORMED_SECONDS = 0.5
"""Time after which a host that forwarded an answer with a rate limit has to
respect the limit."""

STABLE_SECONDS = 3.0
"""Time from the first announcement of a rate limit until it must be respected
by all hosts."""

RATIO = 1.5
SLACK = 5


def bound(rate):
    return RATIO * rate * WINDOW_SECONDS + SLACK


@pytest.mark.parametrize(
    ("rate", "linked"), [(0.2, True), (1.3, True), (1.3, False), (1.8, True)]
)
async def test_no_more_reaches_them_than_they_take(
    autojump_clock, monkeypatch, rate, linked
):
    # Hosts that are not linked get no messages from each other.
    async with limited_fleet(monkeypatch, 14, 9, linked) as fleet:
        await fleet.press(4.0, 34.0)
        limited = fleet.targets[::2]
        for target in limited:
            target.faults.rate_limits = (b"%.1f" % rate,)
            target.arrivals.clear()
        await fleet.press(STABLE_SECONDS + 2 * WINDOW_SECONDS, 34.0, seed=2)
        most = [
            most_within(
                fleet.from_told(target, INFORMED_SECONDS), WINDOW_SECONDS
            )
            for target in limited
        ]
        assert max(most) <= bound(rate)


async def test_a_limit_that_ends_is_heard_by_hosts_that_send_nothing(
    autojump_clock, monkeypatch
):
    async with limited_fleet(monkeypatch, 14, 3) as fleet:
        target = fleet.targets[0]
        target.faults.rate_limits = (b"0.2",)
        await fleet.press(6.0, 15.0)
        known = [host.registry.by_id[target.instance] for host in fleet.hosts]
        assert all(state.rate_limit.rate == 0.2 for state in known)
        # One host in fourteen has a quota at this rate.
        quotas = [
            host.rate_share.targets[target.instance].quota.own_requests
            for host in fleet.hosts
        ]
        assert sum(quotas) == 1
        label = {"target": target.instance}
        shown = [h.registry.rate_limits.rates for h in fleet.hosts]
        assert all(gauge.get(label) == 0.2 for gauge in shown)
        target.faults.rate_limits = ()
        await fleet.press(12.0, 15.0, seed=2)
        assert all(gauge.get(label) == 0.0 for gauge in shown)
        assert all(state.rate_limit.rate is None for state in known)


async def test_one_host_tells_the_others_of_a_rate(autojump_clock, monkeypatch):
    async with limited_fleet(monkeypatch, 14, 2) as fleet:
        target = fleet.targets[0]
        target.faults.rate_limits = (b"1.3",)
        alone = fleet.hosts
        fleet.hosts = alone[:1]
        await fleet.press(2.0, 3.0)
        fleet.hosts = alone
        known = [host.registry.by_id[target.instance] for host in fleet.hosts]
        assert all(state.rate_limit.rate == 1.3 for state in known)


async def test_what_no_target_takes_in_time_is_refused_at_once(
    autojump_clock, monkeypatch
):
    async with limited_fleet(monkeypatch, 14, 2) as fleet:
        for target in fleet.targets:
            target.faults.rate_limits = (b"0.2",)
        await fleet.press(4.0, 30.0)
        idle = next(
            host
            for host in fleet.hosts
            if not any(
                r.quota.own_requests for r in host.rate_share.targets.values()
            )
        )
        request = make_request(seconds=2.5, name="late")
        begin = trio.current_time()
        result = await idle.attempts.run(make_route(), request, hedged=True)
        refusal = result.failure()
        assert trio.current_time() == begin
        assert refusal.reason is RefusalReason.NO_TARGET
        assert refusal.outcome is Outcome.NOT_RUN
        # Each target accepts one request every 5 s, from all hosts together.
        assert refusal.retry_at == pytest.approx(begin + 5.0)


@pytest.mark.parametrize(
    ("values", "problem"),
    [
        ((b"",), DecimalProblem.NOT_A_NUMBER),
        ((b"-1",), DecimalProblem.NOT_A_NUMBER),
        ((b"0",), DecimalProblem.OUT_OF_RANGE),
        ((b"nan",), DecimalProblem.NOT_A_NUMBER),
        ((b"1e309",), DecimalProblem.NOT_A_NUMBER),
        ((b"1.3", b"2"), DecimalProblem.REPEATED),
        ((b"9" * 65_536,), DecimalProblem.TOO_LONG),
    ],
)
async def test_an_answer_with_a_bad_rate_reaches_its_caller(
    autojump_clock, monkeypatch, values, problem
):
    async with limited_fleet(monkeypatch, 1, 1) as fleet:
        host, target = fleet.hosts[0], fleet.targets[0]
        target.faults.rate_limits = values
        await fleet.press(2.0, 3.0)
        assert fleet.answered > 0
        assert fleet.refused == 0
        limits = host.registry.rate_limits
        assert limits.refused.get({"problem": problem.value}) > 0
        assert host.registry.by_id[target.instance].rate_limit.rate is None


async def test_no_more_requests_wait_than_targets_take_in_time(
    autojump_clock, monkeypatch
):
    # One host, and two targets that accept one request every 5 s each.
    async with limited_fleet(monkeypatch, 1, 2) as fleet:
        for target in fleet.targets:
            target.faults.rate_limits = (b"0.2",)
        await fleet.press(4.0, 10.0)
        begin = trio.current_time()
        ended = []

        async def ask(number):
            request = make_request(seconds=9.0, name=f"w{number}")
            request.headers = [Header(b"request-id", b"w%d" % number)]
            result = await fleet.hosts[0].attempts.run(
                make_route(), request, hedged=False
            )
            ended.append((trio.current_time() - begin, is_successful(result)))

        async with trio.open_nursery() as nursery:
            for number in range(10):
                nursery.start_soon(ask, number)
        late = [seconds for seconds, answered in ended if not answered]
        assert late == [0.0] * len(late)
        assert 2 <= len(ended) - len(late) <= 4
