"""Stand in for the platform's store, its entry and the targets of a site."""

import dataclasses
from collections.abc import Sequence

import orjson
import trio

from agatetack.ids import Deadline, FailureDomain, ServiceId, TargetId
from agatetack.testing.fake_entry import EntryHost, FakeEntry
from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.store_fleet import (
    CONFIGURATION,
    REGISTRATIONS,
    configuration,
    template_settings,
)
from agatetack.testing.store_server import store_server
from agatetack.testing.target_connection import TargetConnection
from agatetack.testing.target_faults import Silence
from agatetack.unique import unique_name
from bench.soak.host import Host
from bench.soak.machines import CALLERS_PORT, READY_PORT
from bench.soak.paths import PathCuts, PathFault
from bench.soak.site import Kind, RequestKind, Service, Site
from bench.soak.versions import Versions, added_host

STORE_SECONDS = 0.004
"""Time that the store takes for an answer."""

ONCE_ATTEMPTS, OTHER_ATTEMPTS = 1, 2
"""Most targets that one request may be sent to."""

VERSION_SECONDS = 2.0
"""Longest time to wait for the answer that shows a host's version."""

RECENT_RUNS = 200
"""How many of its last requests a target is asked about."""

READY_PATH = "/agatetack/readyz"


@dataclasses.dataclass(slots=True)
class SiteTarget:
    """A target and where it is registered.

    Attributes:
        target: The target.
        service: Its service.
        domain: Its failure domain.
        down: Whether it crashed and is not back.
        left: Whether it drains or is gone for good.
    """

    target: FakeTarget
    service: Service
    domain: FailureDomain
    down: bool = False
    left: bool = False

    def registration(self, state: str = "ready") -> bytes:
        """Return what the target registers of itself."""
        return orjson.dumps(
            {
                "address": self.target.id,
                "info": {
                    "service": self.service.id,
                    "version": "v1",
                    "zone": self.domain,
                    "slots": self.service.slots,
                },
                "status": {
                    "state": state,
                    "sequence": 1 if state == "ready" else 2,
                    "warmup_left": "0ms",
                },
            }
        )


class World:
    """All that hosts meet.

    Attributes:
        site: The site.
        store: The store.
        store_port: Where it listens.
        targets: The targets, by the id of their first start, in the order in
            which they were added.
        versions: The versions of the configuration.
        entry: Chooses hosts for callers.
        hosts: The hosts, by id.
        path_cuts: The hosts that are cut off from all targets.
    """

    def __init__(self, site: Site, idle_routes: int = 0):
        """Make an empty store; `start` starts everything.

        Args:
            site: The site.
            idle_routes: Routes that nobody asks for.
        """
        self.site = site
        self.store = MemoryStore()
        self.store.latency_seconds = STORE_SECONDS
        self.store_port = 0
        self.targets: dict[TargetId, SiteTarget] = {}
        services = [each.id for each in site.services]
        self.versions = Versions(services, idle_routes)
        self.entry = FakeEntry([], {}, self._is_ready)
        self.hosts: dict[str, Host] = {}
        self.path_cuts = PathCuts(lambda: self.hosts)
        self.ready_addresses: dict[str, str] = {}
        self.nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start store and targets, and publish the configuration."""
        self.nursery = nursery
        server = store_server(self.store)
        self.store_port = await nursery.start(server.run)
        for service in self.site.services:
            for domain, count in service.targets.items():
                for _ in range(count):
                    await self._add_target(service, domain)
        self.publish()

    async def _add_target(
        self, service: Service, domain: FailureDomain
    ) -> None:
        settings = template_settings(self.store_port)
        options = FakeTargetOptions(slots=service.slots)
        target = FakeTarget(settings, options)
        target.instance = TargetId(f"i-{unique_name()}")
        target.faults.shed_above = service.slots + service.queue
        target.on_accept = self._cut_if_due
        await self.nursery.start(target.serve)
        placed = SiteTarget(target, service, domain)
        self.targets[target.instance] = placed
        self._register(placed)

    def _register(self, placed: SiteTarget, state: str = "ready") -> None:
        key = placed.target.instance
        self.store.append(REGISTRATIONS, key, placed.registration(state))

    def placed(self, number: int) -> SiteTarget:
        """Return a target by its place in the order of their first starts."""
        return list(self.targets.values())[number]

    def has_run(self, request_id: str) -> bool:
        """Return whether a target began to run a request."""
        return any(
            each.request_id == request_id
            for placed in self.targets.values()
            for each in placed.target.executed
        )

    def crash(self, number: int) -> TargetId | None:
        """Let a target crash; return its id, None if it does not run."""
        placed = self.placed(number)
        if placed.down or placed.left:
            return None
        placed.down = True
        crashed = placed.target.instance
        placed.target.crash()
        return crashed

    def restart(self, number: int) -> None:
        """Let a target come back after a crash, under a new id."""
        placed = self.placed(number)
        placed.down = False
        placed.target.instance = TargetId(f"i-{unique_name()}")
        placed.target.restart()
        self._register(placed)

    def forget(self, target: TargetId) -> None:
        """Remove the registration of a target that sends nothing more."""
        self.store.append(REGISTRATIONS, target, b"")

    async def add_beside(self, number: int) -> None:
        """Add a target like another one."""
        placed = self.placed(number)
        await self._add_target(placed.service, placed.domain)

    async def leave(self, number: int, seconds: float) -> None:
        """Let a target drain, serve for some more seconds, and go."""
        placed = self.placed(number)
        if placed.down or placed.left:
            return
        placed.left = True
        placed.target.drain()
        self._register(placed, "draining")
        await trio.sleep(seconds)
        self.forget(placed.target.instance)
        placed.target.refuse()

    def _cut_if_due(self, connection: TargetConnection) -> None:
        """Cut a connection if its host is cut off."""
        fault = self.path_cuts.fault_of(connection.stream)
        if fault is PathFault.SILENT:
            connection.silence = Silence.REQUEST_LOST
        elif fault is PathFault.RESET:
            connection.reset()

    def cut_paths(self, hosts: Sequence[str], fault: PathFault) -> None:
        """Cut hosts off from all targets."""
        self.path_cuts.begin(hosts, fault)
        for placed in self.targets.values():
            for connection in list(placed.target.connections):
                self._cut_if_due(connection)

    def restore_paths(self, hosts: Sequence[str], fault: PathFault) -> None:
        """End one cut of hosts; connections that were cut stay lost."""
        self.path_cuts.end(hosts, fault)

    @property
    def version(self) -> int:
        """Return the newest version of the configuration."""
        return self.versions.newest

    def publish(self) -> None:
        """Publish a configuration with one route for each kind of request.

        Further routes show whether a host knows the version.
        """
        version = self.version + 1
        kinds = list(self.site.kinds.values())
        routes = [route_fields(kind) for kind in kinds]
        routes += [
            {**route_fields(kinds[0]), **fields}
            for fields in self.versions.routes(version)
        ]
        content = configuration(version, *routes)
        self.store.append(CONFIGURATION, "config", content)
        self.versions.confirmed_at.append(Deadline(trio.current_time()))

    def service_that_ran(self, request_id: str) -> ServiceId | None:
        """Return the service that began to run a request lately, or None."""
        for placed in self.targets.values():
            for each in placed.target.executed[-RECENT_RUNS:]:
                if each.request_id == request_id:
                    return placed.service.id
        return None

    async def ask_for_version(self, ip: str, version: int) -> int:
        """Ask a host for the route of a version; return the status.

        It is 0 if there is no answer.
        """
        request = (
            f"GET /x?service_ms=1 HTTP/1.1\r\nConnection: close\r\n"
            f"Host: {added_host(version)}\r\n"
            f"Request-Id: {unique_name()}\r\nRequest-Timeout-Ms: 1000\r\n\r\n"
        )
        answer = b""
        with trio.move_on_after(VERSION_SECONDS):
            try:
                stream = await trio.open_tcp_stream(ip, CALLERS_PORT)
                async with stream:
                    await stream.send_all(request.encode())
                    answer = bytes(await stream.receive_some(4096))
            except (OSError, trio.BrokenResourceError):
                # It may be stopped or restarted just now.
                return 0
        return int(answer.split()[1]) if answer else 0

    def add_hosts(self, hosts: Sequence[Host]) -> None:
        """Let the entry choose among `hosts` from now on."""
        self.hosts = {host.id: host for host in hosts}
        self.ready_addresses = {host.id: host.ip for host in hosts}
        domains = list(self.site.hosts)
        near = {
            domain: [other for other in domains if other != domain]
            for domain in domains
        }
        entries = [EntryHost(host.id, host.domain) for host in hosts]
        self.entry = FakeEntry(entries, near, self._is_ready)

    async def _is_ready(self, host: EntryHost) -> bool:
        try:
            stream = await trio.open_tcp_stream(
                self.ready_addresses[host.id], READY_PORT
            )
            async with stream:
                await stream.send_all(
                    f"GET {READY_PATH} HTTP/1.1\r\nHost: r\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                answer = await stream.receive_some(4096)
        except (OSError, trio.BrokenResourceError):
            return False
        return bytes(answer).startswith(b"HTTP/1.1 200")


def route_fields(kind: RequestKind) -> dict[str, object]:
    """Return the route of one kind of request as operators write it."""
    once = kind.kind is Kind.ONCE
    return {
        "name": kind.name,
        "host": f"{kind.name}.example",
        "path_prefix": "/",
        "route_type": kind.kind.value,
        "timeout": f"{kind.timeout_seconds * 1000:.0f}ms",
        "target_latency": f"{kind.latency_seconds * 1000:.0f}ms",
        "priority": kind.priority,
        "service": kind.service,
        "max_attempts": kind.max_attempts
        or (ONCE_ATTEMPTS if once else OTHER_ATTEMPTS),
    }
