"""What all cases share: the record, the document, the start of the hosts."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

from review.standins.clients import is_ready
from review.standins.hosts import CannotRun, Host
from review.standins.store import Store

START_SECONDS = 15.0

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}


class Case:
    """One run of a case.

    Attributes:
        trouble: Whether the disruption is made.
        store: The platform's store.
        hosts: The machines of the system.
        folder: A temporary folder.
    """

    def __init__(self, folder: pathlib.Path, record: pathlib.Path):
        """Write what happens to `record`."""
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record.open("w")
        self.began = time.monotonic()
        self.store = Store()
        self.hosts: list[Host] = []

    def note(self, *words: object) -> None:
        """Add a line to the record."""
        at = time.monotonic() - self.began
        print(f"{at:8.3f}", *words, file=self.record, flush=True)

    async def publish(
        self, version: int, routes: list[dict], services: list[str], **more
    ) -> None:
        """Write a configuration as the operator does."""
        document = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_connections": 220,
                }
                for name in services
            ],
            "limits": LIMITS,
            **more,
        }
        await self.store.put("keyed.op", "config", document)
        self.note("operator", "version", version, "confirmed")

    async def start_hosts(self, count: int, **options) -> None:
        """Start the machines and wait until they are ready."""
        self.hosts += [
            Host(number, self.store.address, self.folder, **options)
            for number in range(1, count + 1)
        ]
        seeds = [host.control for host in self.hosts[:3]]
        for host in self.hosts:
            host.fields["seeds"] = seeds
            host.start()
        until = time.monotonic() + START_SECONDS
        for host in self.hosts:
            while not await is_ready((host.ip, host.ready)):
                if time.monotonic() > until or host.process.poll() is not None:
                    raise CannotRun(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        self.note("platform", count, "machines are ready")


def route(name: str, kind: str, service: str, **more) -> dict:
    """Return a route whose host and prefix follow from its name."""
    return {
        "name": name,
        "host": f"{name}.example",
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "service": service,
        "timeout": "3000ms",
        "target_latency": "500ms",
        "priority": 1,
        "max_attempts": 2,
        **more,
    }


def main(record: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if its rule was broken, 0 if not, else 2."""
    status = 2
    # The machines end also if the case is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(status))
    with tempfile.TemporaryDirectory() as folder:
        case = Case(pathlib.Path(folder), pathlib.Path(record))
        try:
            broken = asyncio.run(play(case))
            status = 1 if broken else 0
        except CannotRun as error:
            case.note("can't run:", error)
        finally:
            for host in case.hosts:
                host.end()
            if os.environ.get("KEEP_LOGS"):
                for host in case.hosts:
                    log = pathlib.Path(folder) / f"{host.name}.log"
                    target = pathlib.Path(os.environ["KEEP_LOGS"])
                    target.mkdir(parents=True, exist_ok=True)
                    (target / log.name).write_bytes(log.read_bytes())
        case.note("exit", status)
    sys.exit(status)
