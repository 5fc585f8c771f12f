"""Run gateways on a stand-in of the platform in one process, for tests."""

import contextlib
import dataclasses
import pathlib
import re
from collections.abc import AsyncIterator, Mapping

import httpcore
import orjson
import trio
import trio.testing

from agatetack.platform.bounds import apply_bounds
from agatetack.settings.loader import check_settings_text
from agatetack.settings.model import Settings
from agatetack.store_gateway import StoreGateway, StorePorts
from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.memory_store import MemoryStore
from agatetack.testing.path_cuts import running_host
from agatetack.testing.store_server import store_server

LOOPBACK = "127.0.0.1"
TEMPLATE = pathlib.Path(__file__).parents[2] / "deploy/settings.yaml"
CONFIGURATION = "keyed.op"
REGISTRATIONS = "keyed.servers"
SERVICE = "svc-a"

FILLED = {
    "zone": "zone-a",
    "region": "region-a",
    "ip": LOOPBACK,
    "listen.front": f"{LOOPBACK}:0",
    "listen.ready": f"{LOOPBACK}:0",
    "listen.control": f"{LOOPBACK}:0",
    "internal_port_range.0": "0",
    "internal_port_range.1": "0",
    "limits.memory_mb": "300",
    "limits.max_fds": "4100",
}
"""What the platform would fill into the template of the settings."""

BOUNDS = {
    "grace": "6s",
    "budget_ratio": "0.2",
    "budget_window": "10s",
    "budget_slack": "58",
    "probes_per_s": "60",
    "seed_lag": "3s",
}
"""Bounds of a deployment; the last one is not used."""


def fill_template(text: str, values: Mapping[str, str]) -> str:
    """Return the template with the platform's values in their places."""
    zones = {values["zone"]: values["region"]}
    sections = {"bounds": BOUNDS, "seeds": {}, "zones": zones}
    for name, entries in sections.items():
        text = _fill_section(text, name, entries)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: values[m[1]], text)


def _fill_section(text: str, name: str, entries: Mapping[str, str]) -> str:
    """Return `text` with a section filled in once for each entry."""
    first, last = "{{#" + name + "}}", "{{/" + name + "}}"
    section = re.compile(
        rf"{re.escape(first)}\n?(.*?){re.escape(last)}\n?", re.S
    )
    row = section.search(text)[1]
    rows = "{{,}}".join(
        row.replace("{{,}}", "").replace("{{@}}", key).replace("{{.}}", value)
        for key, value in entries.items()
    )
    rows = rows.replace("{{,}}", "," if "{{,}}" in row else "")
    return section.sub(lambda _: rows, text)


def template_text(
    store_port: int,
    name: str = "edge-1",
    platform: Mapping[str, str] | None = None,
) -> str:
    """Return the settings file that the template gives a host.

    Args:
        store_port: Where the store listens.
        name: The host's id.
        platform: Values that differ from `FILLED`.
    """
    values = {
        **FILLED,
        "node_name": name,
        "platform.address": f"{LOOPBACK}:{store_port}",
        **(platform or {}),
    }
    return fill_template(TEMPLATE.read_text(), values)


def template_settings(store_port: int, name: str = "edge-1") -> Settings:
    """Return the settings that the template gives a host."""
    text = template_text(store_port, name)
    checked = check_settings_text(text, "deploy/settings.yaml")
    assert checked.settings is not None, checked.findings
    return apply_bounds(checked.settings)


def route_fields(**fields: object) -> dict[str, object]:
    """Return one route as operators write it to the store."""
    return {
        "name": "route-a",
        "host": "a.example",
        "path_prefix": "/a/",
        "route_type": "idempotent",
        "timeout": "5s",
        "target_latency": "400ms",
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        **fields,
    }


def configuration(
    version: int, *routes: Mapping[str, object], **fields: object
) -> bytes:
    """Return a configuration as operators write it to the store."""
    names = {SERVICE}
    for route in routes:
        parts = route.get("traffic_split") or [route]
        names |= {part["service"] for part in parts}
    services = [
        {"name": name, "health_path": "/load", "max_connections": 220}
        for name in sorted(names)
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    document = {
        "version": version,
        "routes": list(routes),
        "services": services,
        "limits": limits,
        **fields,
    }
    return orjson.dumps(document)


def registration(
    target: FakeTarget, service: str = SERVICE, state: str = "ready"
) -> bytes:
    """Return what a target registers of itself."""
    info = {"service": service, "version": "v1", "zone": "zone-a", "slots": 2}
    status = {"state": state, "sequence": 1, "warmup_left": "0ms"}
    address = f"{LOOPBACK}:{target.port}"
    return orjson.dumps({"address": address, "info": info, "status": status})


@dataclasses.dataclass(slots=True)
class StoreFleet:
    """Gateways, targets and a store.

    Attributes:
        store: The store.
        gateways: The hosts.
        ports: Where each listens.
        targets: The targets, all registered for one service.
        http: A plain HTTP client.
        nursery: Runs all of them.
    """

    store: MemoryStore
    gateways: list[StoreGateway]
    ports: list[StorePorts]
    targets: list[FakeTarget]
    http: httpcore.AsyncConnectionPool
    nursery: trio.Nursery

    async def get(
        self,
        path: str,
        gateway: int = 0,
        host: str = "a.example",
        request_id: str = "r1",
        timeout_ms: int = 5000,
        method: str = "GET",
    ) -> httpcore.Response:
        """Send a request through one of the gateways."""
        headers = {
            "host": host,
            "request-id": request_id,
            "request-timeout-ms": str(timeout_ms),
        }
        port = self.ports[gateway].callers
        url = f"http://{LOOPBACK}:{port}{path}"
        return await self.http.request(method, url, headers=headers)

    async def configure(self, version: int, *routes: Mapping) -> None:
        """Put a configuration in force on all gateways."""
        content = configuration(version, *routes)
        self.store.append(CONFIGURATION, "config", content)
        await self.until(
            lambda: all(g.documents.version == version for g in self.gateways)
        )

    def register(self, target: FakeTarget, **fields: str) -> None:
        """Let a target register, or change what it registered."""
        content = registration(target, **fields)
        self.store.append(REGISTRATIONS, target.instance, content)

    async def add_target(self, **fields: str) -> FakeTarget:
        """Start one more target and let it register."""
        target = FakeTarget(self.gateways[0].settings, self.targets[0].options)
        await self.nursery.start(target.serve)
        self.targets.append(target)
        self.register(target, **fields)
        return target

    async def add_gateway(self, **change: Mapping) -> StoreGateway:
        """Start one more host, with settings changed by section."""
        name = f"edge-{len(self.gateways) + 1}"
        store_port = self.gateways[0].settings.platform.store.endpoint.port
        settings = _changed(template_settings(store_port, name), change)
        gateway = StoreGateway(settings)
        self.gateways.append(gateway)
        running_host.set(settings.host.id)
        self.ports.append(await self.nursery.start(gateway.run))
        return gateway

    async def until(self, holds, seconds: float = 10.0) -> None:
        """Wait until `holds()`; fail after a while."""
        with trio.fail_after(seconds):
            while not holds():
                await trio.sleep(0.005)


@contextlib.asynccontextmanager
async def store_fleet(
    *routes: Mapping[str, object],
    gateways: int = 1,
    targets: int = 2,
    options: FakeTargetOptions | None = None,
    change: Mapping[str, Mapping] | None = None,
) -> AsyncIterator[StoreFleet]:
    """Start a store, targets and gateways that are ready.

    Args:
        *routes: The routes in force; one for `/a/` if none is given.
        gateways: How many hosts.
        targets: How many targets of the one service.
        options: How targets behave.
        change: Settings that differ from the template's, by section.
    """
    store = MemoryStore()
    server = store_server(store)
    fleet = StoreFleet(store, [], [], [], httpcore.AsyncConnectionPool(), None)
    async with trio.open_nursery() as nursery:
        fleet.nursery = nursery
        store_port = await nursery.start(server.run)
        settings = template_settings(store_port)
        for _ in range(targets):
            target = FakeTarget(settings, options)
            await nursery.start(target.serve)
            fleet.targets.append(target)
            fleet.register(target)
        content = configuration(1, *(routes or (route_fields(),)))
        store.append(CONFIGURATION, "config", content)
        for number in range(gateways):
            name = f"edge-{number + 1}"
            own = _changed(template_settings(store_port, name), change or {})
            gateway = StoreGateway(own)
            fleet.gateways.append(gateway)
            running_host.set(own.host.id)
            fleet.ports.append(await nursery.start(gateway.run))
        await fleet.until(
            lambda: all(g.lifecycle.ready for g in fleet.gateways)
        )
        yield fleet
        await fleet.http.aclose()
        for gateway in fleet.gateways:
            await gateway.aclose()
        nursery.cancel_scope.cancel()


def _changed(settings: Settings, change: Mapping[str, Mapping]) -> Settings:
    sections = {
        name: getattr(settings, name).copy_with(dict(values))
        for name, values in change.items()
    }
    return settings.copy_with(sections)
