"""Measure what counters and known hosts take, by the number of each."""

import time
import tracemalloc

import trio

from agatetack.clock import SystemClock
from agatetack.ids import Deadline, FailureDomain, HostId, RouteId
from agatetack.metrics import Metrics
from agatetack.outcomes import RefusalReason
from agatetack.peers.members import Member, MemberTable
from agatetack.testing.peer_fleet import StaticDirectory
from bench.capacity.held import traced_bytes
from bench.capacity.slopes import Slope, new_slope

COMMAND = "python -m bench.capacity measure series"
ROUTES = 300
MEMBERS = 1000
RENDERS = 5


def count_routes(metrics: Metrics, routes: int) -> None:
    """Step the counters that each route has."""
    for number in range(routes):
        route = RouteId(f"profiles-{number:05d}")
        metrics.requests.inc({"route": route})
        metrics.attempts.inc({"route": route})
        metrics.answered(route, 0.002)
        metrics.refused(route, RefusalReason.QUEUE_FULL)
        metrics.in_flight.set({"route": route}, 1)


def render_costs(metrics: Metrics) -> tuple[float, int]:
    """Return the processor microseconds and the bytes of one page."""
    page = metrics.render()[0]
    begun = time.process_time()
    for _ in range(RENDERS):
        page = metrics.render()[0]
    return (time.process_time() - begun) / RENDERS * 1e6, len(page)


def route_slopes() -> list[Slope]:
    """Return what the counters of one route cost."""
    metrics = Metrics()
    few_us, few_bytes = render_costs(metrics)
    count_routes(metrics, ROUTES)
    many_us, many_bytes = render_costs(metrics)
    return [
        new_slope(
            "series_render_us",
            (many_us - few_us) / ROUTES,
            "processor time of rendering the counters of one route",
            COMMAND,
        ),
        new_slope(
            "series_page_bytes",
            (many_bytes - few_bytes) / ROUTES,
            "length of those counters in the page",
            COMMAND,
        ),
    ]


def series_bytes() -> float:
    """Return the memory of the counters of one route."""
    metrics = Metrics()
    before = traced_bytes()
    count_routes(metrics, ROUTES)
    metrics.render()
    return (traced_bytes() - before) / ROUTES


async def member_bytes() -> float:
    """Return the memory of one host that was heard of."""
    table = MemberTable(HostId("own"), StaticDirectory(), SystemClock())
    until = Deadline(trio.current_time() + 60)
    domain = FailureDomain("domain-a")
    before = traced_bytes()
    for number in range(MEMBERS):
        name = HostId(f"gateway-{number:05d}")
        ip = f"10.0.{number // 250}.{number % 250}"
        table.update(
            Member(name, time.time_ns(), domain, ip, 7003, False, until)
        )
    return (traced_bytes() - before) / MEMBERS


def measure() -> list[Slope]:
    """Return the slopes of counters and members."""
    slopes = route_slopes()
    tracemalloc.start()
    slopes += [
        new_slope(
            "series_bytes",
            series_bytes(),
            "memory of the counters of one route",
            COMMAND,
        ),
        new_slope(
            "member_bytes",
            trio.run(member_bytes),
            "memory of one gateway that was heard of",
            COMMAND,
        ),
    ]
    tracemalloc.stop()
    return slopes
