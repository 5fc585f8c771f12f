"""Run platform, targets and gateways in one process and print the results."""

import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import httpcore
import orjson
import trio

from agatetack.config.route import RequestClass, Route
from agatetack.daemon import HostPorts, serve_host
from agatetack.gateway import Gateway
from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.hosts.http_host_list import HttpHostList
from agatetack.ids import (
    ChangeId,
    FailureDomain,
    HostId,
    RouteId,
    ServiceId,
    TeamId,
)
from agatetack.operators.calls import CallName
from agatetack.operators.client import OperatorsClient
from agatetack.operators.requests import ApplyRouteRequest
from agatetack.operators.tokens import NewToken, make_token
from agatetack.record_log.http_log import HttpLog
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import Settings
from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import MemoryLogService
from agatetack.testing.platform_server import serve_platform

LOOPBACK = "127.0.0.1"
GATEWAYS = 2
TARGETS_PER_SERVICE = 3
REQUESTS_PER_CLASS = 100
CONCURRENCY = 4
EXPORT_BYTES = 2_000_000
SERVICE_SECONDS = 0.004
START_SECONDS = 30
TEAM = TeamId("demo")
TICKET_WAIT_MS = 5000

ROUTES = tuple(
    Route(RouteId(name), TEAM, ServiceId(name), request_class, f"/{name}")
    for name, request_class in (
        ("profiles", RequestClass.FAST),
        ("payouts", RequestClass.ONCE),
        ("export", RequestClass.WHOLE),
        ("archive", RequestClass.DEFERRED),
    )
)


@dataclasses.dataclass(slots=True)
class ClassResult:
    """The results of the requests of one class.

    Attributes:
        name: The class.
        statuses: Answers by HTTP status.
        reasons: Refusals by reason.
        seconds: Time to the complete answer of each request.
    """

    name: str
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    seconds: list[float] = dataclasses.field(default_factory=list)

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the times, in milliseconds."""
        ordered = sorted(self.seconds)
        index = min(len(ordered) - 1, int(quantile * len(ordered)))
        return ordered[index] * 1000


@dataclasses.dataclass(slots=True)
class Demo:
    """A platform, targets and gateways in one process.

    Attributes:
        token: The operator's token; it only exists in memory.
        gateways: The hosts.
        ports: The ports on which each of them listens.
        targets: The fake targets.
    """

    token: NewToken
    gateways: list[Gateway] = dataclasses.field(default_factory=list)
    ports: list[HostPorts] = dataclasses.field(default_factory=list)
    targets: list[FakeTarget] = dataclasses.field(default_factory=list)


@contextlib.asynccontextmanager
async def running_demo() -> AsyncIterator[Demo]:
    """Start platform, targets and gateways on ports that the kernel picks."""
    async with contextlib.AsyncExitStack() as stack:
        nursery = await stack.enter_async_context(trio.open_nursery())
        hosts = MemoryHostList()
        platform_port = await nursery.start(
            serve_platform, MemoryLogService(), hosts
        )
        demo = Demo(make_token("demo", TEAM))
        await _start_targets(demo, hosts, nursery)
        for number in range(GATEWAYS):
            settings = _settings(demo, number, platform_port)
            await _start_gateway(demo, settings, hosts, nursery, stack)
        try:
            yield demo
        finally:
            nursery.cancel_scope.cancel()


def _settings(demo: Demo, number: int, platform_port: int) -> Settings:
    endpoint = {"ip": LOOPBACK, "port": platform_port}
    anywhere = {"listen": {"ip": LOOPBACK, "port": 0}}
    return default_settings(
        host={"id": f"gateway-{number + 1}"},
        callers=anywhere,
        operators={**anywhere, "tokens": [demo.token.entry.as_map()]},
        peers=anywhere,
        platform={
            "log": {"endpoint": endpoint},
            "host_list": {"endpoint": endpoint, "poll_seconds": 0.2},
        },
    )


async def _start_targets(
    demo: Demo, hosts: MemoryHostList, nursery: trio.Nursery
) -> None:
    settings = default_settings()
    for route in ROUTES:
        for number in range(TARGETS_PER_SERVICE):
            options = FakeTargetOptions(
                service_seconds=SERVICE_SECONDS, spread=0.3, seed=number
            )
            target = FakeTarget(settings, options)
            port = await nursery.start(target.serve)
            demo.targets.append(target)
            hosts.hosts.append(
                ListedHost(
                    HostId(f"{LOOPBACK}:{port}"),
                    HostRole.TARGET,
                    HostState.LIVE,
                    LOOPBACK,
                    port,
                    FailureDomain("domain-a"),
                    route.service,
                )
            )


async def _start_gateway(
    demo: Demo,
    settings: Settings,
    hosts: MemoryHostList,
    nursery: trio.Nursery,
    stack: contextlib.AsyncExitStack,
) -> None:
    platform_log = HttpLog(settings)
    host_list = HttpHostList(settings)
    stack.push_async_callback(platform_log.aclose)
    stack.push_async_callback(host_list.aclose)
    gateway = Gateway(settings, platform_log, host_list)
    ports = await nursery.start(serve_host, gateway)
    hosts.hosts.append(
        ListedHost(
            HostId(settings.host.id),
            HostRole.GATEWAY,
            HostState.LIVE,
            LOOPBACK,
            ports.peers,
            FailureDomain(settings.host.failure_domain),
            ServiceId(""),
        )
    )
    demo.gateways.append(gateway)
    demo.ports.append(ports)


async def publish_routes(demo: Demo) -> None:
    """Publish the four routes, and wait until all gateways have applied them.

    Raises:
        OperatorsError: A route was rejected.
    """
    url = f"http://{LOOPBACK}:{demo.ports[0].operators}"
    with trio.fail_after(START_SECONDS):
        while not all(gateway.config.ready for gateway in demo.gateways):
            await trio.sleep(0.05)
        async with OperatorsClient(url, demo.token.secret) as client:
            for route in ROUTES:
                change = ChangeId(f"demo-{route.id}")
                request = ApplyRouteRequest(route, change)
                await client.call(CallName.APPLY_ROUTE, request)
        while not all(_has_routes(gateway) for gateway in demo.gateways):
            await trio.sleep(0.01)


def _has_routes(gateway: Gateway) -> bool:
    table = gateway.routes.table
    return table is not None and len(table.routes) == len(ROUTES)


class DemoCaller:
    """Sends the requests of one class over all gateways."""

    def __init__(
        self, demo: Demo, route: Route, http: httpcore.AsyncConnectionPool
    ):
        """Send requests for `route` with `http`."""
        self.demo = demo
        self.route = route
        self.http = http
        self.result = ClassResult(route.request_class.value)
        self.numbers = iter(range(REQUESTS_PER_CLASS))

    async def run(self) -> None:
        """Send all requests, `CONCURRENCY` of them at a time."""
        async with trio.open_nursery() as nursery:
            for _ in range(CONCURRENCY):
                nursery.start_soon(self._send_in_turn)

    async def _send_in_turn(self) -> None:
        for number in self.numbers:
            started = trio.current_time()
            response = await self._send(number)
            self.result.seconds.append(trio.current_time() - started)
            self.result.statuses[response.status] += 1
            if response.status >= 400:
                problem = orjson.loads(response.content)
                self.result.reasons[problem["title"]] += 1

    async def _send(self, number: int) -> httpcore.Response:
        port = self.demo.ports[number % len(self.demo.ports)].callers
        base = f"http://{LOOPBACK}:{port}"
        path = f"{base}{self.route.path_prefix}/{number}"
        request_class = self.route.request_class
        if request_class is RequestClass.ONCE:
            key = {"Idempotency-Key": f"demo-{number}"}
            return await self.http.request("POST", path, headers=key)
        if request_class is RequestClass.WHOLE:
            path = f"{base}{self.route.path_prefix}?bytes={EXPORT_BYTES}"
        response = await self.http.request("GET", path)
        if response.status != 202:
            return response
        location = dict(response.headers)[b"location"].decode()
        other = self.demo.ports[(number + 1) % len(self.demo.ports)].callers
        url = f"http://{LOOPBACK}:{other}{location}"
        return await self.http.request("GET", f"{url}?wait-ms={TICKET_WAIT_MS}")


async def send_requests(demo: Demo) -> list[ClassResult]:
    """Send the requests of each class, one class after the other."""
    results = []
    async with httpcore.AsyncConnectionPool() as http:
        for route in ROUTES:
            caller = DemoCaller(demo, route, http)
            await caller.run()
            results.append(caller.result)
    return results


def result_table(results: list[ClassResult], probes: int) -> str:
    """Return the results as a table of text."""
    lines = [f"{'class':10}{'answers':24}{'p50 ms':>9}{'p99 ms':>9}  refusals"]
    for result in results:
        answers = " ".join(
            f"{status}:{count}"
            for status, count in sorted(result.statuses.items())
        )
        reasons = " ".join(
            f"{reason}:{count}"
            for reason, count in sorted(result.reasons.items())
        )
        lines.append(
            f"{result.name:10}{answers:24}"
            f"{result.quantile_ms(0.5):9.1f}{result.quantile_ms(0.99):9.1f}"
            f"  {reasons or '-'}"
        )
    lines.append(f"probes spent on measuring: {probes}")
    return "\n".join(lines)


def count_probes(demo: Demo) -> int:
    """Return how many probes the gateways have sent."""
    total = 0
    for gateway in demo.gateways:
        for labels, value in gateway.metrics.budget_spent.get_all():
            if labels.get("unit") == "probes":
                total += int(value)
    return total


async def run_demo() -> bool:
    """Run the demo, print its table, return whether all were answered."""
    async with running_demo() as demo:
        await publish_routes(demo)
        results = await send_requests(demo)
        print(result_table(results, count_probes(demo)))
    return all(set(result.statuses) == {200} for result in results)
