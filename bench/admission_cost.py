"""Print what one admission costs in processor time, by number of targets.

The baseline of each ratio is the same run with the policy `random`.
"""

import time

import defopt
import trio

from agatetack.admission.controller import AttemptResult, PermitRequest
from agatetack.admission.service import ServiceAdmission
from agatetack.balance.policies import make_policy
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import PolicyName
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import (
    SERVICE,
    listed_target,
    make_request,
    make_route,
)

SERVICE_SECONDS = 0.01


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


def main(*, requests: int = 5000) -> None:
    """Print microseconds and ratios for 3 to 100 targets.

    Args:
        requests: Requests in each run.
    """
    for targets in (3, 12, 30, 100):
        base = trio.run(measure, PolicyName.RANDOM, targets, requests)
        found = trio.run(measure, PolicyName.EXPECTED_WAIT, targets, requests)
        print(
            f"{targets:4d} targets: random {base * 1e6:6.1f} us,"
            f" expected-wait {found * 1e6:6.1f} us, ratio {found / base:.2f}"
        )


if __name__ == "__main__":
    defopt.run(main)
