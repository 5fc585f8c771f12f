"""Measure which parts of a gateway spend its time while no caller calls.

One gateway runs in this process, beside others and the stand-ins in processes
of their own; each step of each of its tasks is timed.
"""

import collections
import pathlib
import tempfile
import time

import trio

from agatetack.daemon import serve_host
from agatetack.gateway import Gateway
from agatetack.hosts.http_host_list import HttpHostList
from agatetack.logs import set_up_logs
from agatetack.process import tune_collector
from agatetack.record_log.http_log import HttpLog
from agatetack.settings.defaults import default_settings
from agatetack.settings.model import Settings
from agatetack.testing.processes import Fleet, running_fleet
from agatetack.testing.stand_ins import Gateway as ListedGateway
from bench.capacity.gateways import SERVICES, SETTLE_SECONDS, TARGETS
from bench.capacity.slopes import Slope, new_slope

COMMAND = "python -m bench.capacity measure tasks"
OTHERS = 13
SECONDS = 20.0
PARTS = ("measure", "peers", "config", "deferred", "claims", "platform")

PART_OF_PACKAGE = {"hosts": "platform", "record_log": "platform"}
"""Packages whose steps are added up under one name."""


class StepTimer(trio.abc.Instrument):
    """Adds up the time of tasks' steps by the package they belong to.

    Attributes:
        seconds: By the name of the package within agatetack, or "".
        steps: How often a task of it ran.
    """

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.seconds: collections.Counter[str] = collections.Counter()
        self.steps: collections.Counter[str] = collections.Counter()
        self.started = time.thread_time()

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Note when a step starts."""
        self.started = time.thread_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Add the step's time."""
        part = part_of(task)
        self.seconds[part] += time.thread_time() - self.started
        self.steps[part] += 1


def part_of(task: trio.lowlevel.Task) -> str:
    """Return the package within agatetack that a task runs."""
    names = task.name.split(".")
    if names[0] == "agatetack":
        return PART_OF_PACKAGE.get(names[1], names[1])
    # The library names the tasks of accepted connections after itself; the
    # only listener of it that has connections here is the peers'.
    return "peers" if "serve_listeners" in task.name else ""


def own_settings(fleet: Fleet) -> Settings:
    """Return settings for the gateway of this process."""
    endpoint = {"ip": "127.0.0.1", "port": fleet.stand_ins.ports.platform}
    anywhere = {"listen": {"ip": "127.0.0.1", "port": 0}}
    return default_settings(
        host={"id": "own"},
        callers=anywhere,
        operators=anywhere,
        peers=anywhere,
        platform={
            "log": {"endpoint": endpoint},
            "host_list": {"endpoint": endpoint},
        },
        logs={"level": "error"},
    )


def list_all(fleet: Fleet, own_port: int) -> None:
    """List the fleet's gateways and the one of this process."""
    listed = [
        ListedGateway(id=each.name, port=each.ports.peers)
        for each in fleet.gateways
    ]
    listed.append(ListedGateway(id="own", port=own_port))
    fleet.stand_ins.command(gateways=listed)


async def time_parts(fleet: Fleet) -> list[Slope]:
    """Return the share of a core of each part."""
    settings = own_settings(fleet)
    set_up_logs(settings.logs)
    gateway = Gateway(settings, HttpLog(settings), HttpHostList(settings))
    tune_collector()
    timer = StepTimer()
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(serve_host, gateway)
        list_all(fleet, ports.peers)
        await trio.sleep(SETTLE_SECONDS)
        trio.lowlevel.add_instrument(timer)
        cpu, begun = time.process_time(), time.perf_counter()
        await trio.sleep(SECONDS)
        span = time.perf_counter() - begun
        cpu = time.process_time() - cpu
        trio.lowlevel.remove_instrument(timer)
        nursery.cancel_scope.cancel()
    return part_slopes(timer, cpu, span)


def part_slopes(timer: StepTimer, cpu: float, span: float) -> list[Slope]:
    """Return the slopes of one run of `span` seconds."""
    slopes = [
        new_slope(
            f"idle_{part}_core",
            timer.seconds[part] / span,
            f"core in steps of agatetack.{part}, no calls, 14 gateways; "
            f"{timer.steps[part] / span:.0f} steps a second",
            COMMAND,
        )
        for part in PARTS
    ]
    rest = cpu - sum(timer.seconds[part] for part in PARTS)
    slopes.append(
        new_slope(
            "idle_rest_core",
            rest / span,
            "core for all else there: trio's scheduler, other parts, the timer",
            COMMAND,
        )
    )
    return slopes


def measure() -> list[Slope]:
    """Return the slopes of the parts."""
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(pathlib.Path(folder), SERVICES, targets=TARGETS) as fleet,
    ):
        for _ in range(OTHERS):
            fleet.add_gateway()
        return trio.run(time_parts, fleet)
