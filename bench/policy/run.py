"""Run one scenario in virtual time and measure it."""

import collections
import dataclasses
import random
import time

import trio
from trio.testing import MockClock

from agatetack.ids import CallerId, Deadline, RequestId
from agatetack.messages import BytesBody, CallerRequest
from agatetack.outcomes import RefusalReason
from bench.policy.attempts import Attempts, PlainAttempts
from bench.policy.fleet import Fleet
from bench.policy.scenario import (
    BURST_FACTOR,
    BURST_SECONDS,
    SLOW_FACTOR,
    Faults,
    Scenario,
    capacity,
)

HERD_WINDOW_SECONDS = 0.005
"""Window in which sends to one target are counted to find herding."""


@dataclasses.dataclass
class Outcomes:
    """What one run showed.

    Attributes:
        latencies: Of answered requests, in seconds, sorted.
        refusals: Requests not answered, by reason.
        attempts: Attempts per request.
        probes: Probes per request.
        herding: Variance of sends per target and window over their mean; 1
            is what independent sends show, more is herding.
        peer_bytes: Bytes per second that one gateway sent to its peers.
        faulty_share: Share of requests that went to the slowed target while
            it was slow.
        cpu: Processor seconds per request, bench included.
    """

    latencies: list[float]
    refusals: dict[RefusalReason, int]
    attempts: float
    probes: float
    herding: float
    peer_bytes: float
    faulty_share: float
    cpu: float

    def quantile(self, share: float) -> float:
        """Return a quantile of the latencies, in seconds."""
        if not self.latencies:
            return float("inf")
        last = len(self.latencies) - 1
        return self.latencies[min(last, int(share * len(self.latencies)))]


class Run:
    """One run in progress."""

    def __init__(self, scenario: Scenario, attempts: Attempts):
        """Prepare the run."""
        self.scenario = scenario
        self.attempts = attempts
        self.rng = random.Random(scenario.seed + 1000)
        self.rate = capacity(scenario) * scenario.load
        self.seconds = scenario.requests / self.rate
        self.latencies: list[float] = []
        self.refusals = collections.Counter()
        self.slow_window = (0.0, 0.0)

    async def main(self) -> Outcomes:
        """Run it in virtual time."""
        cpu = time.process_time()
        async with trio.open_nursery() as background:
            self.fleet = Fleet(self.scenario, background)
            self.fleet.start()
            if self.scenario.faults is Faults.ALL:
                background.start_soon(self._strike)
            async with trio.open_nursery() as requests:
                await self._arrive(requests)
            background.cancel_scope.cancel()
        return self._outcomes(time.process_time() - cpu)

    async def _arrive(self, nursery: trio.Nursery) -> None:
        start = trio.current_time()
        factor = 1.0
        factor_until = 0.0
        at = 0.0
        for number in range(self.scenario.requests):
            if at >= factor_until:
                factor = 1 + BURST_FACTOR * self.rng.choice((-1, 1))
                factor_until = at + BURST_SECONDS
            at += self.rng.expovariate(self.rate * factor)
            await trio.sleep_until(start + at)
            gateway = self.rng.choice(self.fleet.gateways)
            nursery.start_soon(self._request, number, gateway)

    async def _request(self, number, gateway) -> None:
        now = trio.current_time()
        request = CallerRequest(
            request_id=RequestId(str(number)),
            caller=CallerId(f"caller-{number % 7}"),
            method=b"GET",
            path=b"/",
            host="",
            headers=[],
            body=BytesBody(b""),
            deadline=Deadline(now + self.scenario.deadline_seconds),
            key=None,
            arrived=Deadline(now),
        )
        refusal = await self.attempts.send(gateway, request)
        if number < self.scenario.requests / 10:
            return
        if refusal is None:
            self.latencies.append(trio.current_time() - now)
        else:
            self.refusals[refusal] += 1

    async def _strike(self) -> None:
        """Lie all along; slow one down for 30 %; drop one at 70 %."""
        liar, slow, drop = list(self.fleet.targets.values())[:3]
        liar.lying = True
        await trio.sleep(0.3 * self.seconds)
        slow.slow = SLOW_FACTOR
        began = trio.current_time()
        await trio.sleep(0.3 * self.seconds)
        slow.slow = 1.0
        self.slow_window = (began, trio.current_time())
        await trio.sleep(0.1 * self.seconds)
        drop.dropped = True

    def _outcomes(self, cpu: float) -> Outcomes:
        scenario = self.scenario
        sent = sum(g.exchange.bytes_sent for g in self.fleet.gateways)
        return Outcomes(
            latencies=sorted(self.latencies),
            refusals=dict(self.refusals),
            attempts=self.fleet.attempts / scenario.requests,
            probes=self.fleet.probes / scenario.requests,
            herding=self._herding(),
            peer_bytes=sent / self.seconds / scenario.gateways,
            faulty_share=self._faulty_share(),
            cpu=cpu / scenario.requests,
        )

    def _herding(self) -> float:
        ratios = []
        windows = int(self.seconds / HERD_WINDOW_SECONDS)
        for target in self.fleet.targets.values():
            if len(target.sends) < windows / 10:
                continue
            counts = collections.Counter(
                int(at / HERD_WINDOW_SECONDS) for at in target.sends
            )
            mean = len(target.sends) / windows
            squares = sum(n * n for n in counts.values()) / windows
            ratios.append((squares - mean * mean) / mean)
        return sum(ratios) / len(ratios)

    def _faulty_share(self) -> float:
        began, ended = self.slow_window
        targets = list(self.fleet.targets.values())
        in_window = [
            sum(began <= at < ended for at in target.sends)
            for target in targets
        ]
        return in_window[1] / max(1, sum(in_window))


def run_scenario(
    scenario: Scenario, attempts: Attempts | None = None
) -> Outcomes:
    """Return what a run of `scenario` shows; the same for the same seed."""
    run = Run(scenario, attempts or PlainAttempts())
    clock = MockClock(autojump_threshold=0)
    return trio.run(run.main, clock=clock)
