"""Fake a target at the interface: slots, a queue in order, noise and lies."""

import random
from collections import deque

import trio

from agatetack.ids import FailureDomain, TargetId
from bench.policy.scenario import (
    NOISE_FACTOR,
    NOISE_SECONDS,
    NOISE_SHARE,
    SHED_AT,
    Scenario,
    SelfCount,
)


class FakeTarget:
    """One target.

    Attributes:
        in_flight: Requests running or waiting here.
        coming: Requests on their way here.
        noise: Factor of a noisy neighbour on service times.
        slow: Factor of a fault on service times.
        dropped: Whether connections are refused and requests are lost.
        lying: Whether load reports always say 0.
        sends: When each request was sent here by a gateway.
    """

    def __init__(
        self, number: int, domain: FailureDomain, scenario: Scenario, seed: int
    ):
        """Start idle."""
        self.ip = f"10.0.0.{number}"
        self.id = TargetId(f"{self.ip}:80")
        self.domain = domain
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.slots = 2
        self.running = 0
        self.in_flight = 0
        self.queue: deque[trio.Event] = deque()
        self.noise = 1.0
        self.slow = 1.0
        self.dropped = False
        self.lying = False
        self.sends: list[float] = []
        self.lagging = 0
        self.coming = 0

    @property
    def sheds(self) -> bool:
        """Return whether a request that comes now is shed."""
        return self.in_flight >= SHED_AT

    async def run(self) -> None:
        """Be disturbed by noisy neighbours now and then."""
        quiet = NOISE_SECONDS * (1 - NOISE_SHARE) / NOISE_SHARE
        while True:
            await trio.sleep(self.rng.expovariate(1 / quiet))
            self.noise = NOISE_FACTOR
            await trio.sleep(self.rng.expovariate(1 / NOISE_SECONDS))
            self.noise = 1.0

    async def refresh(self) -> None:
        """Update what the load endpoint says, late."""
        while True:
            self.lagging = self.in_flight
            await trio.sleep(self.scenario.report_lag_seconds)

    async def serve(self, work: float) -> int:
        """Run one request in its turn; return the load the answer reports.

        Args:
            work: What it takes on a healthy target, in seconds.
        """
        self.in_flight += 1
        try:
            if self.running >= self.slots:
                turn = trio.Event()
                self.queue.append(turn)
                try:
                    await turn.wait()
                except trio.Cancelled:
                    self._abandon(turn)
                    raise
            else:
                self.running += 1
            try:
                await trio.sleep(work * self.noise * self.slow)
            finally:
                self._free()
            included = self.scenario.self_count is SelfCount.INCLUDED
            load = self.in_flight if included else self.in_flight - 1
        finally:
            self.in_flight -= 1
        return 0 if self.lying else load

    def _abandon(self, turn: trio.Event) -> None:
        if turn in self.queue:
            self.queue.remove(turn)
        else:
            self._free()

    def _free(self) -> None:
        if self.queue:
            self.queue.popleft().set()
        else:
            self.running -= 1
