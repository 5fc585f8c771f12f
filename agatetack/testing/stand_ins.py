"""Run the platform's stand-in and fake targets as a process of their own.

It prints one line of JSON with its ports, then takes one command a line on
its standard input, and ends with it. Commands are described at `Command`.
"""

import random
import sys
from collections.abc import Sequence

import pydantic
import trio

from agatetack.hosts.host_list import HostRole, HostState, ListedHost
from agatetack.ids import FailureDomain, HostId, IdempotencyKey, ServiceId
from agatetack.settings.defaults import default_settings
from agatetack.testing.fake_target import FakeTarget, FakeTargetOptions
from agatetack.testing.memory_host_list import MemoryHostList
from agatetack.testing.memory_log import MemoryLogService
from agatetack.testing.platform_server import serve_platform

LOOPBACK = "127.0.0.1"

SPREAD = 0.5
"""Sigma of the log-normal service times."""

SLOW_FACTOR = 10.0
NOISE_SECONDS = (0.01, 0.08)
"""Shortest and longest time for which a neighbour takes a slot."""

QUIET_SHARE = 0.01
"""Pace of the noise makers while there is no noise."""


class Gateway(pydantic.BaseModel):
    """A gateway to list."""

    id: str
    port: int


class Ports(pydantic.BaseModel):
    """Where the stand-ins listen: the platform, and targets by service."""

    platform: int
    targets: dict[str, list[int]]


class Command(pydantic.BaseModel):
    """One command; each field that is given is carried out.

    Attributes:
        gateways: The gateways to list from now on.
        outage: Whether the log is out.
        drain: Port of a target to drain.
        crash: Port of a target to crash.
        slow: Port of a target to make ten times slower.
        noise: Share of all slots that noisy neighbours take from now on.
        executions: Answer with how often this key was run, by any target.
    """

    gateways: list[Gateway] | None = None
    outage: bool | None = None
    drain: int | None = None
    crash: int | None = None
    slow: int | None = None
    noise: float | None = None
    executions: str | None = None


class Reply(pydantic.BaseModel):
    """The answer to a command."""

    executions: int = 0


class StandIns:
    """The platform and the targets, and what commands do to them."""

    def __init__(self) -> None:
        """Start without targets."""
        self.service = MemoryLogService()
        self.hosts = MemoryHostList()
        self.targets: dict[int, FakeTarget] = {}
        self.listed: list[ListedHost] = []
        self.noise = 0.0

    async def add_targets(
        self, nursery: trio.Nursery, service: str, count: int, seconds: float
    ) -> list[int]:
        """Start targets of one service and list them."""
        ports = []
        for number in range(count):
            options = FakeTargetOptions(
                service_seconds=seconds, spread=SPREAD, seed=number
            )
            target = FakeTarget(default_settings(), options)
            port = await nursery.start(target.serve)
            self.targets[port] = target
            ports.append(port)
            nursery.start_soon(self._make_noise, target, number)
            self.listed.append(
                _listed(f"{LOOPBACK}:{port}", HostRole.TARGET, port, service)
            )
        self.hosts.hosts = list(self.listed)
        return ports

    async def _make_noise(self, target: FakeTarget, seed: int) -> None:
        """Take slots for some tens of milliseconds, now and then."""
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            while True:
                share = max(self.noise, QUIET_SHARE)
                busy = rng.uniform(*NOISE_SECONDS)
                rate = share * target.options.slots / busy
                await trio.sleep(rng.expovariate(rate))
                if self.noise:
                    nursery.start_soon(target.occupy, busy)

    def carry_out(self, command: Command) -> Reply:
        """Do what a command says."""
        if command.gateways is not None:
            gateways = [
                _listed(each.id, HostRole.GATEWAY, each.port, "")
                for each in command.gateways
            ]
            self.hosts.hosts = self.listed + gateways
        if command.outage is not None:
            self.service.faults.outage = command.outage
        if command.drain is not None:
            self.targets[command.drain].drain()
        if command.crash is not None:
            self.targets[command.crash].crash()
        if command.slow is not None:
            self.targets[command.slow].faults.slow_factor = SLOW_FACTOR
        if command.noise is not None:
            self.noise = command.noise
        if command.executions is None:
            return Reply()
        key = IdempotencyKey(command.executions)
        targets = self.targets.values()
        return Reply(executions=sum(t.executions(key) for t in targets))


def _listed(name: str, role: HostRole, port: int, service: str) -> ListedHost:
    return ListedHost(
        HostId(name),
        role,
        HostState.LIVE,
        LOOPBACK,
        port,
        FailureDomain("domain-a"),
        ServiceId(service),
    )


async def main(services: Sequence[str], seconds: float, count: int) -> None:
    """Serve until standard input ends."""
    stand_ins = StandIns()
    async with trio.open_nursery() as nursery:
        platform = await nursery.start(
            serve_platform, stand_ins.service, stand_ins.hosts
        )
        targets = {}
        for service in services:
            targets[service] = await stand_ins.add_targets(
                nursery, service, count, seconds
            )
        ports = Ports(platform=platform, targets=targets)
        print(ports.model_dump_json(), flush=True)
        while line := await trio.to_thread.run_sync(
            sys.stdin.readline, abandon_on_cancel=True
        ):
            reply = stand_ins.carry_out(Command.model_validate_json(line))
            print(reply.model_dump_json(), flush=True)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main, sys.argv[3:], float(sys.argv[1]), int(sys.argv[2]))
