"""Test that the fleet never spends more than its budget on measuring."""

import dataclasses

import pytest
import trio

from agatetack.clock import Lateness
from agatetack.measure.budget import START_DELAY_SECONDS, TokenBucket

RATE = 50.0
SECONDS = 14.0


@dataclasses.dataclass(frozen=True)
class Case:
    """Behaviour of a fleet.

    Attributes:
        hosts: Number of hosts at the start.
        doubled_at: When as many hosts join, or None.
        lag_seconds: How long the old hosts do not know of the new ones.
        restart_seconds: Interval at which every host restarts, or None.
        pause_seconds: How long every host is paused, once.
        idle_seconds: Time without work before a burst.
        seen: Number of hosts in a wrong membership list, or None.
    """

    hosts: int = 13
    doubled_at: float | None = None
    lag_seconds: float = 0.0
    restart_seconds: float | None = None
    pause_seconds: float = 0.0
    idle_seconds: float = 0.0
    seen: int | None = None


CASES = {
    "always busy": Case(),
    "one host": Case(hosts=1),
    "many hosts": Case(hosts=40),
    "burst after idling": Case(idle_seconds=10.0),
    "restart storm": Case(restart_seconds=0.7),
    "slow restart storm": Case(restart_seconds=START_DELAY_SECONDS + 0.1),
    "pause, as if the clock jumped": Case(pause_seconds=8.0),
    "hosts doubled": Case(doubled_at=5.0),
    "hosts doubled, list lagging": Case(doubled_at=5.0, lag_seconds=3.0),
    "too many hosts listed": Case(seen=26),
}


class Fleet:
    """Hosts that spend whenever they can."""

    def __init__(self, case):
        self.case = case
        self.spends = []
        self.started = trio.current_time()

    def size(self, joined):
        """Return the fleet's size as known to a host that joined then."""
        if self.case.seen:
            return self.case.seen
        at = self.case.doubled_at
        if at is None:
            return self.case.hosts
        elapsed = trio.current_time() - self.started
        knows = elapsed >= at + (0 if joined else self.case.lag_seconds)
        return self.case.hosts * (2 if knows else 1)

    async def host(self, joined):
        """Spend as fast as the bucket allows, through all faults."""
        await trio.sleep(joined)
        bucket = TokenBucket(RATE, lambda: self.size(joined))
        born = trio.current_time()
        paused = False
        await trio.sleep(self.case.idle_seconds)
        while True:
            now = trio.current_time()
            restart = self.case.restart_seconds
            if restart and now - born >= restart:
                bucket = TokenBucket(RATE, lambda: self.size(joined))
                born = now
            if self.case.pause_seconds and not paused and now > 8.0:
                paused = True
                await trio.sleep(self.case.pause_seconds)
            if bucket.take():
                self.spends.append(trio.current_time())
            assert bucket.tokens >= 0
            await trio.sleep(0.02)

    async def run(self):
        """Run all hosts for `SECONDS`."""
        with trio.move_on_after(SECONDS):
            async with trio.open_nursery() as nursery:
                for _ in range(self.case.hosts):
                    nursery.start_soon(self.host, 0.0)
                    if self.case.doubled_at is not None:
                        nursery.start_soon(self.host, self.case.doubled_at)


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
async def test_fleet_stays_within_figure(autojump_clock, case):
    fleet = Fleet(case)
    await fleet.run()
    spends = [at - fleet.started for at in fleet.spends]
    hosts = case.hosts * (2 if case.doubled_at else 1)
    # In every window, not only over the whole run, at most what the hosts'
    # buckets have saved may be spent on top of the rate.
    for width in (0.5, 2.0, 8.0):
        limit = RATE * width + hosts
        start = 0
        for end, at in enumerate(spends):
            while spends[start] < at - width:
                start += 1
            assert end - start + 1 <= limit
    # From the start, nothing may be spent on top of the rate.
    for count, at in enumerate(spends, 1):
        assert count <= RATE * at


async def test_idle_hosts_spend_later_but_no_more(autojump_clock):
    bucket = TokenBucket(RATE, lambda: 1)
    await trio.sleep(100)
    taken = 0
    while bucket.take():
        taken += 1
    assert taken <= RATE * 0.1


async def test_zero_rate_spends_nothing(autojump_clock):
    bucket = TokenBucket(0.0, lambda: 1)
    await trio.sleep(100)
    assert not bucket.take()
    assert bucket.ready_at() == float("inf")


async def test_amount_larger_than_held_is_not_partly_taken(autojump_clock):
    bucket = TokenBucket(10.0, lambda: 1, min_burst=5.0)
    await trio.sleep(START_DELAY_SECONDS + 0.3)
    held = bucket.tokens
    assert not bucket.take(4.0)
    await trio.sleep(0.2)
    assert bucket.take(4.0)
    assert held <= 5.0


# Guards against hosts that measure as much while they lack the time to serve.
@pytest.mark.parametrize(
    ("late_seconds", "ratio"),
    [(0.0, 1.0), (0.02, 1.0), (0.04, 0.5), (0.1, 0.2), (1.0, 0.1)],
)
async def test_a_late_host_spends_less(autojump_clock, late_seconds, ratio):
    lateness = Lateness()
    bucket = TokenBucket(RATE, lambda: 1, lateness=lateness)
    lateness.seconds = late_seconds
    assert bucket.rate == pytest.approx(RATE * ratio)
    lateness.seconds = 0.0
    assert bucket.rate == RATE
