"""Measure how many attempts failing targets cost, and what is answered.

Run as `python -m bench.attempts`. One gateway and eight fake targets in this
process, half of them failing in one way; 2,000 requests for each way.
"""

import dataclasses
from collections.abc import Callable

import trio

from agatetack.config.route import RequestClass
from agatetack.logs import set_up_logs
from agatetack.settings.defaults import default_settings
from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.fleet import LocalFleet, local_fleet

TARGETS = 8
REQUESTS = 2_000
USERS = 8
SERVICE_SECONDS = 0.002


def _drop(target: FakeTarget) -> None:
    target.faults.answer_lost = True


def _shed(target: FakeTarget) -> None:
    target.faults.shed_above = 0


def _slow(target: FakeTarget) -> None:
    target.faults.slow_factor = 10.0


def _cut(target: FakeTarget) -> None:
    target.faults.cut_after_bytes = 1


def _crash(target: FakeTarget) -> None:
    target.crash()


def _fail_fast(target: FakeTarget) -> None:
    target.faults.fail_status = 500


def _silence(target: FakeTarget) -> None:
    target.silence()


def _nothing(target: FakeTarget) -> None:
    pass


FAILURES: dict[str, Callable[[FakeTarget], None]] = {
    "none": _nothing,
    "drops connections": _drop,
    "sheds": _shed,
    "fails fast": _fail_fast,
    "ten times slower": _slow,
    "cuts answers": _cut,
    "crashed": _crash,
    "silent connections": _silence,
}


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the requests.

    Attributes:
        answered: Requests answered with 200.
        seconds: Time of each request.
    """

    answered: int = 0
    seconds: list[float] = dataclasses.field(default_factory=list)

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the times, in milliseconds."""
        ordered = sorted(self.seconds)
        return ordered[int(quantile * (len(ordered) - 1))] * 1000


async def send(fleet: LocalFleet, count: int, tally: Tally) -> None:
    """Send requests, a few at a time."""
    numbers = iter(range(count))

    async def user() -> None:
        for _ in numbers:
            started = trio.current_time()
            response = await fleet.get("/x", x_deadline_ms="1000")
            tally.seconds.append(trio.current_time() - started)
            tally.answered += response.status == 200

    async with trio.open_nursery() as nursery:
        for _ in range(USERS):
            nursery.start_soon(user)


async def measure(name: str, fail: Callable[[FakeTarget], None]) -> None:
    """Print one line for one way of failing."""
    options = FakeTargetOptions(service_seconds=SERVICE_SECONDS, spread=0.3)
    async with local_fleet(
        RequestClass.FAST, 1, targets=TARGETS, options=options
    ) as fleet:
        await send(fleet, 300, Tally())
        metrics = fleet.gateways[0].metrics
        before = _attempts(metrics)
        for target in fleet.targets[::2]:
            fail(target)
        tally = Tally()
        await send(fleet, REQUESTS, tally)
        attempts = _attempts(metrics) - before
    print(
        f"{name:20}{attempts / REQUESTS:10.3f}"
        f"{tally.answered / REQUESTS:10.4f}"
        f"{tally.quantile_ms(0.5):9.1f}{tally.quantile_ms(0.99):9.1f}"
        f"{tally.quantile_ms(1.0):9.1f}",
        flush=True,
    )


def _attempts(metrics) -> int:
    metrics.flush_buffered()
    return metrics.attempts.counter.values.get({"route": "route"}, 0)


async def main() -> None:
    """Print a table; the first line is the baseline."""
    set_up_logs(default_settings(logs={"level": "error"}).logs)
    print(
        f"{'half the targets':20}{'attempts':>10}{'answered':>10}"
        f"{'p50 ms':>9}{'p99 ms':>9}{'max ms':>9}"
    )
    for name, fail in FAILURES.items():
        await measure(name, fail)


if __name__ == "__main__":
    trio.run(main)
