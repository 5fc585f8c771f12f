"""Print what one admission costs in processor time, by number of targets.

The baseline of each ratio is the same run with the policy `random`. The last
lines show the policy `fleet-view` with the shares that a host on a metadata
store has: a request that gets a target at once, and a report of a peer while a
request waits for one of the targets, which are all full.
"""

import dataclasses
import math
import time

import defopt
import trio
import trio.testing

from agatetack.admission.controller import AttemptResult, PermitRequest
from agatetack.admission.service import ServiceAdmission
from agatetack.balance.cold_share import ColdShare
from agatetack.balance.policies import make_policy
from agatetack.balance.pushback_share import PushbackShare
from agatetack.balance.rate_share import RateShare
from agatetack.balance.start_share import StartShare
from agatetack.balance.target_share import CombinedShares
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import PolicyName
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import (
    LoadReport,
    ReportSource,
    TargetState,
    TargetStatus,
)
from agatetack.testing.targets import (
    SERVICE,
    listed_target,
    make_request,
    make_route,
)

SERVICE_SECONDS = 0.01

WAITED_TARGETS = 8
"""Targets of the service for which requests wait."""

WAIT_SECONDS = 2.0
"""How long they wait."""

SLOTS = 4
"""Slots of each target of the policy `fleet-view`."""


async def measure(policy: PolicyName, targets: int, requests: int) -> float:
    """Return processor seconds for one acquire, report, answer, release."""
    settings = default_settings(balance={"policy": policy.value})
    metrics = Metrics()
    registry = TargetRegistry(settings, metrics)
    registry.update([listed_target(n + 1) for n in range(targets)])
    admission = ServiceAdmission(
        settings, registry, make_policy(settings, 1), metrics
    )
    request = make_request(seconds=1000.0)
    wanted = PermitRequest(make_route(), request, request.deadline)
    started = time.process_time()
    for number in range(requests):
        result = await admission.acquire(wanted)
        permit = result.unwrap()
        now = Deadline(trio.current_time())
        load = number % 3
        report = LoadReport(load, 2, 0, now, ReportSource.ANSWER)
        registry.note_report(permit.target, report)
        permit.answered_headers(SERVICE_SECONDS)
        permit.release(AttemptResult.ANSWERED)
    assert len(registry.targets(SERVICE)) == targets
    return (time.process_time() - started) / requests


def _new_fleet_view(targets: int) -> ServiceAdmission:
    """Return the admission of a host with ready targets of `SLOTS` slots."""
    settings = default_settings(balance={"policy": PolicyName.FLEET_VIEW.value})
    metrics = Metrics()
    registry = TargetRegistry(settings, metrics)
    registry.update([listed_target(n + 1) for n in range(targets)])
    exchange = NoExchange()
    shares = CombinedShares(
        [
            PushbackShare(metrics),
            StartShare(registry, exchange, list),
            ColdShare(settings, registry, list),
            RateShare(settings, registry, list, exchange, metrics),
        ]
    )
    admission = ServiceAdmission(
        settings,
        registry,
        make_policy(settings, 1),
        metrics,
        share=shares,
    )
    for target in registry.targets(SERVICE):
        target.status = TargetStatus.READY
        target.idle_connections = 1
        _report(admission, target, 0)
    return admission


def _report(
    admission: ServiceAdmission, target: TargetState, load: int
) -> None:
    now = Deadline(trio.current_time())
    report = LoadReport(
        load, SLOTS, 0, now, ReportSource.PEER, peer_in_flight=load
    )
    admission.registry.note_report(target, report)


async def measure_grants(targets: int, requests: int) -> float:
    """Return processor seconds of one request that gets a target at once."""
    admission = _new_fleet_view(targets)
    request = make_request(seconds=1000.0)
    wanted = PermitRequest(make_route(), request, request.deadline)
    started = time.process_time()
    for _ in range(requests):
        result = await admission.acquire(wanted)
        permit = result.unwrap()
        permit.answered_headers(SERVICE_SECONDS)
        permit.release(AttemptResult.ANSWERED)
    return (time.process_time() - started) / requests


async def measure_reports(targets: int, reports: int) -> float:
    """Return processor seconds of a peer's report while a request waits."""
    admission = _new_fleet_view(targets)
    request = make_request(seconds=1000.0)
    wanted = PermitRequest(make_route(), request, request.deadline)
    states = admission.registry.targets(SERVICE)
    for target in states:
        target.peer_in_flight = SLOTS
        _report(admission, target, SLOTS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(admission.acquire, wanted)
        await trio.testing.wait_all_tasks_blocked()
        started = time.process_time()
        for number in range(reports):
            _report(admission, states[number % targets], SLOTS)
        spent = time.process_time() - started
        nursery.cancel_scope.cancel()
    return spent / reports


async def measure_waiting(waiting: int) -> float:
    """Return processor seconds of one of the requests that wait for 2 s.

    All targets are full, and the requests are late from the start. All time in
    which nothing runs is skipped.
    """
    settings = default_settings(admission={"max_queue": waiting})
    metrics = Metrics()
    registry = TargetRegistry(settings, metrics)
    registry.update([listed_target(n + 1) for n in range(WAITED_TARGETS)])
    admission = ServiceAdmission(
        settings, registry, make_policy(settings, 1), metrics
    )
    for target in registry.targets(SERVICE):
        target.in_flight = math.floor(target.limit) + 1
    route = dataclasses.replace(make_route(), target_latency_seconds=0.001)

    async def wait() -> None:
        request = make_request(seconds=WAIT_SECONDS)
        await admission.acquire(PermitRequest(route, request, request.deadline))

    started = time.process_time()
    async with trio.open_nursery() as nursery:
        for _ in range(waiting):
            nursery.start_soon(wait)
    return (time.process_time() - started) / waiting


def print_waiting() -> None:
    """Print what a waiting request costs, as a ratio to 100 that wait."""

    def cost(waiting: int) -> float:
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(measure_waiting, waiting, clock=clock)

    base = cost(100)
    for waiting in (10, 100, 1000, 10_000):
        found = cost(waiting)
        print(
            f"{waiting:6d} requests wait: each {found * 1e6:8.1f} us,"
            f" ratio {found / base:.2f}"
        )


def main(*, requests: int = 5000, waiting: bool = False) -> None:
    """Print microseconds and ratios for 3 to 100 targets.

    Args:
        requests: Requests in each run.
        waiting: Print what requests that wait cost instead.
    """
    if waiting:
        print_waiting()
        return
    for targets in (3, 12, 30, 100):
        base = trio.run(measure, PolicyName.RANDOM, targets, requests)
        found = trio.run(measure, PolicyName.EXPECTED_WAIT, targets, requests)
        print(
            f"{targets:4d} targets: random {base * 1e6:6.1f} us,"
            f" expected-wait {found * 1e6:6.1f} us, ratio {found / base:.2f}"
        )
    for targets in (8, 61):
        grant = trio.run(measure_grants, targets, requests)
        report = trio.run(measure_reports, targets, requests)
        print(
            f"{targets:4d} targets, fleet-view: request {grant * 1e6:6.1f} us,"
            f" report while one waits {report * 1e6:6.1f} us"
        )


if __name__ == "__main__":
    defopt.run(main)
