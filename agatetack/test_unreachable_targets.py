"""Test that callers of hosts that reach no target are served all the same."""

import collections

import httpcore
import pytest
import trio

from agatetack.testing.fake_target import FakeTargetOptions
from agatetack.testing.path_cuts import CutKind, PathCuts
from agatetack.testing.store_fleet import route_fields, store_fleet

DETECT_SECONDS = 3.0
"""Time from a cut's start after which its first attempts count."""

COUNT_SECONDS = 2.0
"""Time in which they count."""

INTERVAL_SECONDS = 0.2
"""Time between the requests to one host."""

MIN_SERVED_OF_OTHERS = 2 / 3
"""How much of the others' share cut hosts have to serve at the first attempt:
less is a broken rule of the platform's users."""

MIN_SERVED_ELSEWHERE = 0.97
"""Share that hosts which are not cut have to serve."""

TIMEOUT_MS = 3000
"""How long callers wait. Hosts, targets and callers share one process, which
may stand still for a second on a busy machine."""

HOSTS = 4


class Callers:
    """Sends requests to all hosts at even intervals.

    Attributes:
        statuses: How requests ended that were sent since `counting`, by host.
        counting: Whether requests sent from now on count.
    """

    def __init__(self, fleet, method):
        """Send requests of `method` to the hosts of `fleet`."""
        self.fleet = fleet
        self.method = method
        self.statuses = collections.defaultdict(collections.Counter)
        self.counting = False
        self.sent = 0

    async def run(self):
        """Send until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for host in range(HOSTS):
                    nursery.start_soon(self.ask, host)
                await trio.sleep(INTERVAL_SECONDS)

    async def ask(self, host):
        """Send one request and count how it ends."""
        counting = self.counting
        self.sent += 1
        request_id = f"r{self.sent}"
        try:
            answer = await self.fleet.get(
                "/a/x",
                gateway=host,
                request_id=request_id,
                timeout_ms=TIMEOUT_MS,
                method=self.method,
            )
            status = answer.status
        except httpcore.NetworkError:
            status = 0
        if counting:
            self.statuses[host][status] += 1

    def served(self, hosts):
        """Return the share of the counted requests that `hosts` served."""
        total = collections.Counter()
        for host in hosts:
            total += self.statuses[host]
        return total[200] / total.total()


KINDS = {
    "idempotent": "GET",
    "non_idempotent": "POST",
    "download": "GET",
}


# Guards against callers being refused because their host reaches no target,
# and against its view of the targets being taken over by the other hosts.
@pytest.mark.parametrize("kind", CutKind)
@pytest.mark.parametrize(
    ("cut_hosts", "route_type"),
    [
        (1, "idempotent"),
        (3, "idempotent"),
        (2, "non_idempotent"),
        (2, "download"),
    ],
)
async def test_callers_of_hosts_that_reach_no_target_are_served(
    monkeypatch, kind, cut_hosts, route_type
):
    cuts = PathCuts(monkeypatch)
    route = route_fields(route_type=route_type)
    options = FakeTargetOptions(service_seconds=0.02)
    async with store_fleet(
        route, gateways=HOSTS, targets=4, options=options
    ) as fleet:
        callers = Callers(fleet, KINDS[route_type])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.run)
            await trio.sleep(1.0)
            for host in fleet.gateways[:cut_hosts]:
                cuts.cut(host.settings.host.id, kind)
            await trio.sleep(DETECT_SECONDS)
            callers.counting = True
            await trio.sleep(COUNT_SECONDS)
            callers.counting = False
            await trio.sleep(TIMEOUT_MS / 1000)
            nursery.cancel_scope.cancel()
        others = callers.served(range(cut_hosts, HOSTS))
        assert others >= MIN_SERVED_ELSEWHERE, callers.statuses
        assert (
            callers.served(range(cut_hosts)) >= MIN_SERVED_OF_OTHERS * others
        ), callers.statuses
        ran = [e.request_id for t in fleet.targets for e in t.executed]
        if route_type == "non_idempotent":
            assert len(ran) == len(set(ran))
