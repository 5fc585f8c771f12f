"""Count what hosts do in a second, idle and under load.

Run `python -m bench.host_work`. Hosts and the stand-ins of their targets are in
one process and on trio's mock clock, linked as in production; there is no store
and no caller side. Counts are of one host and second; processor time, too, and
it holds what the targets' stand-ins take.
"""

import collections
import time
from collections.abc import Sequence

import defopt
import pytest
import trio
import trio.testing

from agatetack.measure.prober import Prober
from agatetack.measure.samples import SampleExchange
from agatetack.peers.exchange import Topic
from agatetack.peers.link import Link
from agatetack.peers.mesh import PeerExchange
from agatetack.testing.limited_fleet import LimitedFleet, limited_fleet

SETTLE_SECONDS = 6.0
"""Time until links stand and groups are formed."""

REQUESTS_PER_HOST = 2.0
HOSTS_PER_TARGET = 1.1


class Steps(trio.abc.Instrument):
    """Counts the steps of tasks."""

    def __init__(self) -> None:
        """Start at 0."""
        self.count = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count one step."""
        self.count += 1


class Work:
    """Counts of what all hosts did."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        """Count from now on."""
        self.counts: collections.Counter[str] = collections.Counter()
        self._count_calls(patch, PeerExchange, "_handle_publish", self._message)
        self._count_calls(patch, Link, "publish", lambda *_: "messages sent")
        self._count_calls(
            patch, SampleExchange, "_take_sample", lambda *_: "samples taken"
        )
        self._count_calls(patch, Prober, "probe", lambda *_: "probes")

    def _message(self, link, publish) -> str:
        topic = publish.topic
        name = Topic(topic).name.lower() if topic else "announcements"
        return f"messages taken: {name}"

    def _count_calls(self, patch, owner, name, describe) -> None:
        real = getattr(owner, name)

        def counted(this, *args, **kwargs):
            self.counts[describe(*args)] += 1
            return real(this, *args, **kwargs)

        patch.setattr(owner, name, counted)


async def observe(
    fleet: LimitedFleet, work: Work, seconds: float, per_second: float
) -> dict[str, float]:
    """Return what a host does in a second, by kind."""
    steps = Steps()
    trio.lowlevel.add_instrument(steps)
    work.counts.clear()
    begun = time.process_time()
    if per_second:
        await fleet.press(seconds, per_second)
    else:
        await trio.sleep(seconds)
    used = time.process_time() - begun
    trio.lowlevel.remove_instrument(steps)
    total = {**work.counts, "task steps": steps.count, "ms": used * 1000}
    share = len(fleet.hosts) * seconds
    return {kind: count / share for kind, count in sorted(total.items())}


async def measure(hosts: int, seconds: float) -> None:
    """Print what a host of a fleet of `hosts` does, idle and loaded."""
    targets = max(1, round(hosts / HOSTS_PER_TARGET))
    with pytest.MonkeyPatch.context() as patch:
        work = Work(patch)
        async with limited_fleet(patch, hosts, targets) as fleet:
            await trio.sleep(SETTLE_SECONDS)
            idle = await observe(fleet, work, seconds, 0.0)
            loaded = await observe(
                fleet, work, seconds, REQUESTS_PER_HOST * hosts
            )
    print(f"{hosts} hosts, {targets} targets: idle, loaded")
    for kind in sorted(idle.keys() | loaded.keys()):
        row = f"{idle.get(kind, 0):10.1f} {loaded.get(kind, 0):10.1f}"
        print(f"  {kind:32}{row}")


def main(*, hosts: Sequence[int] = (14, 99), seconds: float = 3.0) -> None:
    """Count what hosts do.

    Args:
        hosts: Sizes of fleets.
        seconds: Virtual seconds observed, idle and then loaded.
    """
    for count in hosts:
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(measure, count, seconds, clock=clock)


if __name__ == "__main__":
    defopt.run(main)
