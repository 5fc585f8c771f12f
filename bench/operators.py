"""Measure how long operators' calls hold up the other tasks of a host.

Run `python -m bench.operators`. A call's work between two checkpoints of the
event loop delays every caller's request that is served meanwhile, so the
longest such work is what counts. It is given as a ratio to the smallest call
in the same run, for lists of the size of letter 1 and for today's.
"""

import dataclasses
import statistics
import time
from collections.abc import Awaitable, Callable

import trio
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.transport.TTransport import TMemoryBuffer

from agatetack.config.route import RequestClass, Route
from agatetack.generated.operators import Operators, ttypes
from agatetack.ids import FailureDomain, RouteId, ServiceId, TargetId, TeamId
from agatetack.metrics import Metrics
from agatetack.operators import rpc
from agatetack.operators.access import Authenticator, Sender
from agatetack.operators.host_calls import HostCalls
from agatetack.operators.page import render_page
from agatetack.operators.paging import MAX_PAGE_SIZE
from agatetack.operators.route_calls import RouteCalls
from agatetack.operators.views import TargetView
from agatetack.settings.defaults import default_settings
from agatetack.targets.state import TargetStatus
from agatetack.testing.memory_backend import MemoryBackend

LOOPBACK = Sender(b"", "127.0.0.1")
ROUNDS = 7


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How much a host knows."""

    name: str
    routes: int
    targets: int


SIZES = (Size("today", 4, 35), Size("letter 1", 1500, 9800))


class Holder(trio.abc.Instrument):
    """Notes the longest step of any task, in seconds."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.longest = 0.0
        self.started = 0.0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Note when a step starts."""
        self.started = time.perf_counter()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Note how long it took."""
        taken = time.perf_counter() - self.started
        self.longest = max(self.longest, taken)


def make_backend(size: Size) -> MemoryBackend:
    """Return a host that knows as much as `size` says."""
    routes = [
        Route(
            RouteId(f"r{number}"),
            TeamId("team"),
            ServiceId(f"s{number}"),
            RequestClass.FAST,
            f"/r{number}",
        )
        for number in range(size.routes)
    ]
    backend = MemoryBackend(default_settings(), routes)
    for number in range(size.targets):
        target = TargetId(f"10.0.{number // 250}.{number % 250}:80")
        backend.listed_targets[target] = TargetView(
            target,
            ServiceId(f"s{number % size.routes}"),
            FailureDomain(f"d{number % 6}"),
            TargetStatus.READY,
            drained=False,
            in_flight=1,
            slots=2,
            allowed=8,
            failures=0,
            report_age_ms=3,
        )
    return backend


def encode(name: str, request: object) -> bytes:
    """Return the message of one call."""
    out = TMemoryBuffer()
    getattr(Operators.Client(TBinaryProtocol(out)), f"send_{name}")(request)
    return out.getvalue()


async def longest_step(work: Callable[[], Awaitable[object]]) -> float:
    """Return the longest step of `work`, the median of some rounds."""
    found = []
    for _ in range(ROUNDS):
        holder = Holder()
        trio.lowlevel.add_instrument(holder)
        await trio.lowlevel.checkpoint()
        holder.longest = 0.0
        await work()
        await trio.lowlevel.checkpoint()
        trio.lowlevel.remove_instrument(holder)
        found.append(holder.longest)
    return statistics.median(found)


async def measure(size: Size) -> None:
    """Print the longest step of each call at one size."""
    backend, metrics = make_backend(size), Metrics()
    access = Authenticator(backend.settings, metrics)
    dispatcher = rpc.Dispatcher(
        access,
        metrics,
        RouteCalls(backend.settings, backend),
        HostCalls(backend),
    )
    calls = {
        "get_status": ttypes.GetStatusRequest(),
        "list_targets, a page": ttypes.ListTargetsRequest(),
        "list_targets, longest page": ttypes.ListTargetsRequest(
            page_size=MAX_PAGE_SIZE
        ),
        "list_routes, a page": ttypes.ListRoutesRequest(),
        "get_route": ttypes.GetRouteRequest("r1"),
    }
    baseline = None
    for label, request in calls.items():
        body = encode(label.partition(",")[0], request)

        async def call(body: bytes = body) -> bytes:
            return await dispatcher.answer(
                body, rpc.ContentType.SNIFF, LOOPBACK
            )

        seconds = await longest_step(call)
        baseline = baseline or seconds
        show(size, label, seconds, baseline)
    operator = access.authenticate(LOOPBACK)
    seconds = await longest_step(
        lambda: render_page(backend, metrics, operator)
    )
    show(size, "status page", seconds, baseline)


def show(size: Size, label: str, seconds: float, baseline: float) -> None:
    """Print one line."""
    print(
        f"{size.name:9} {label:27}{seconds * 1000:8.2f} ms"
        f"{seconds / baseline:8.1f} x get_status"
    )


def main() -> None:
    """Print the longest step of each call at each size."""
    for size in SIZES:
        trio.run(measure, size)


if __name__ == "__main__":
    main()
