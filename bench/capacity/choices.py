"""Measure what choosing a target takes, by the number of candidates."""

import time

import trio

from agatetack.admission.controller import AttemptResult, PermitRequest
from agatetack.admission.service import ServiceAdmission
from agatetack.balance.policies import make_policy
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.testing.targets import listed_target, make_request, make_route
from bench.capacity.slopes import Slope, new_slope

COMMAND = "python -m bench.capacity measure choices"
COUNTS = (12, 30, 100)
CHOICES = 3000
REPEATS = 3
LATENCY_SECONDS = 0.002


async def choose_us(targets: int) -> float:
    """Return the processor time of one permit taken and given back."""
    settings = default_settings()
    metrics = Metrics()
    registry = TargetRegistry(settings, metrics)
    registry.update([listed_target(number) for number in range(targets)])
    admission = ServiceAdmission(
        settings, registry, make_policy(settings, 1), metrics
    )
    wanted = PermitRequest(
        make_route(), make_request(), Deadline(trio.current_time() + 60)
    )
    await _choose(admission, wanted, CHOICES // 10)
    times = []
    for _ in range(REPEATS):
        begun = time.process_time()
        await _choose(admission, wanted, CHOICES)
        times.append(time.process_time() - begun)
    return min(times) / CHOICES * 1e6


async def _choose(
    admission: ServiceAdmission, wanted: PermitRequest, count: int
) -> None:
    for _ in range(count):
        permit = (await admission.acquire(wanted)).unwrap()
        permit.answered_headers(LATENCY_SECONDS)
        permit.release(AttemptResult.ANSWERED)


def measure() -> list[Slope]:
    """Return the slopes of choosing."""
    times = {count: trio.run(choose_us, count) for count in COUNTS}
    slopes = [
        new_slope(
            f"choice_{count}_us",
            us,
            f"processor time of a permit, {count} candidates",
            COMMAND,
        )
        for count, us in times.items()
    ]
    fewest, most = min(COUNTS), max(COUNTS)
    each = (times[most] - times[fewest]) / (most - fewest)
    slopes.append(
        new_slope(
            "choice_each_us",
            each,
            f"of it for each candidate, {fewest} to {most}",
            COMMAND,
        )
    )
    return slopes
