"""Run one soak: start the hosts, send the load, and report."""

import dataclasses
import pathlib
from collections import Counter
from collections.abc import Sequence

import trio

from agatetack.testing.fake_target import ExecutedRequest
from bench.soak.callers import Callers, Result, count_results
from bench.soak.deploy_file import read_role
from bench.soak.fault_plan import (
    draw_endless,
    draw_faults,
    draw_path_cuts,
    draw_stops,
    draw_storms,
    draw_troubles,
    draw_waves,
)
from bench.soak.faults import Fault, Stage, Stop
from bench.soak.host import End, Host, ends_by_themselves
from bench.soak.links import Link
from bench.soak.machines import make_hosts
from bench.soak.observe import (
    Occupancy,
    StoreWatch,
    latencies,
    read_host_counters,
    read_kernel_counters,
    refusal_times,
    timeline,
)
from bench.soak.site import BYTES_PER_MEGABIT, Kind, Site
from bench.soak.verdict import Evidence, Violation, judge
from bench.soak.versions import Observer
from bench.soak.world import World

SETTLE_SECONDS = 1.0
"""Time after the last answer in which late runs at targets are seen."""


STOPS_SHARE = 0.7
"""Share of the load's time in which stops begin; the rest shows recovery."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What is run.

    Attributes:
        site: The deployment.
        seconds: How long requests are sent.
        seed: Seed of load and faults.
        root: The checkout that is run.
        folder: Gets settings and output of all hosts.
        cores: Processor cores that the hosts share; all if empty.
        lead_seconds: Time from the start of the hosts to that of the load.
        faults: Seed of the faults; None for a run without.
        path_cuts: Seed of the times in which hosts lose their paths to all
            targets; None for a run without.
        stops: Seed of a series of stops, with relays between callers and
            hosts, and links which end with the processes of their hosts; None
            for a run without.
        stop_all: Whether all hosts are stopped at once after the series.
        endless: Seed of times in which targets send bytes without end; None
            for a run without.
        troubles: Seed of rejections that come twice, a store of which a part
            is silent, and targets that leave; None for a run without.
        waves: Seed of waves in which hosts are killed as the configuration
            changes; None for a run without.
        storms: Seed of versions of the configuration in quick succession; None
            for a run without.
        idle_routes: Routes of the configuration that nobody asks for.
        store_mbps: What the way of each answer of the store to its host
            carries; 0 for no bound.
    """

    site: Site
    seconds: float
    seed: int
    root: pathlib.Path
    folder: pathlib.Path
    cores: Sequence[int] = ()
    lead_seconds: float = 3.0
    faults: int | None = None
    path_cuts: int | None = None
    stops: int | None = None
    stop_all: bool = False
    endless: int | None = None
    troubles: int | None = None
    waves: int | None = None
    storms: int | None = None
    idle_routes: int = 0
    store_mbps: float = 0.0


@dataclasses.dataclass(slots=True)
class Report:
    """What was seen.

    Attributes:
        requests: Requests of callers.
        counts: Requests by their result.
        refusals: Attempts that were refused, by reason.
        first_answer_seconds: Time from the first start of a host to the first
            served request; None without one.
        longest_gap_seconds: Longest time without a served request.
        ends: Ends of processes that nothing outside ended.
        twice: Requests that may run once only and ran more often.
        ran_though_refused: Requests that may run once only, were refused and
            ran.
        peak_mb: Most resident memory of a process.
        latencies: By kind of request, how long callers waited for answers.
        refusal_times: By reason, how long refused attempts were held.
        processor_seconds: Processor time of all hosts' processes.
        processor_wait_seconds: Most time that one of them, ready to run,
            waited for a processor.
        stall_seconds: Longest time in which the runner itself did nothing.
        occupancy: Busy share of the slots, by service.
        kernel: What the whole machine's kernel counted meanwhile.
        host_counters: Sums of the hosts' own counters at the end.
        timeline: What became of the attempts of each second.
        peak_descriptors: Most descriptors of a process.
        starts: Processes started.
        faults: The faults that were carried out.
        version_answers: Answers that show whether a host has a version in
            force that is due.
        calm_requests: Requests to which the bound of calm times applies.
        violations: Broken rules.
    """

    requests: int = 0
    counts: dict[Result, int] = dataclasses.field(default_factory=dict)
    refusals: Counter = dataclasses.field(default_factory=Counter)
    first_answer_seconds: float | None = None
    longest_gap_seconds: float = 0.0
    ends: list[End] = dataclasses.field(default_factory=list)
    twice: list[str] = dataclasses.field(default_factory=list)
    ran_though_refused: list[str] = dataclasses.field(default_factory=list)
    peak_mb: float = 0.0
    latencies: dict[str, dict] = dataclasses.field(default_factory=dict)
    refusal_times: dict[str, dict] = dataclasses.field(default_factory=dict)
    processor_seconds: float = 0.0
    processor_wait_seconds: float = 0.0
    stall_seconds: float = 0.0
    occupancy: dict[str, float] = dataclasses.field(default_factory=dict)
    kernel: Counter = dataclasses.field(default_factory=Counter)
    host_counters: Counter = dataclasses.field(default_factory=Counter)
    timeline: list[str] = dataclasses.field(default_factory=list)
    peak_descriptors: int = 0
    starts: int = 0
    faults: Sequence[Fault] = ()
    version_answers: int = 0
    calm_requests: int = 0
    violations: list[Violation] = dataclasses.field(default_factory=list)

    @property
    def served_share(self) -> float:
        """Return the share of requests that were served; 0 without any."""
        if not self.requests:
            return 0.0
        return self.counts[Result.SERVED] / self.requests


async def run_soak(plan: Plan) -> Report:
    """Run the hosts of a plan under its load, and return what was seen."""
    world = World(plan.site, plan.idle_routes)
    if plan.store_mbps:
        rate = plan.store_mbps * BYTES_PER_MEGABIT
        world.store.answer_bytes_per_second = rate
    callers = Callers(plan.site, world, plan.seed)
    occupancy = Occupancy()
    before = read_kernel_counters()
    async with trio.open_nursery() as nursery:
        await world.start(nursery)
        role = read_role(plan.root)
        address = f"127.0.0.1:{world.store_port}"
        hosts = make_hosts(plan.site, role, address, plan.folder, plan.cores)
        world.add_hosts(hosts)
        if plan.stops is not None:
            callers.links = _link(plan.site, hosts, nursery)
        epoch = trio.current_time()
        nursery.start_soon(occupancy.run, world)
        stage = Stage(world, hosts, epoch)
        faults = _draw(plan, hosts)
        nursery.start_soon(stage.carry_out, faults)
        observer = Observer(world, epoch)
        store = StoreWatch(world.store_port)
        if plan.waves is not None or plan.storms is not None:
            nursery.start_soon(observer.run, hosts)
            nursery.start_soon(store.run)
        for host in hosts:
            nursery.start_soon(host.run, epoch)
        nursery.start_soon(world.entry.run)
        await trio.sleep(plan.lead_seconds)
        until = trio.current_time() + plan.seconds
        occupancy.restart()
        await callers.run(epoch, until)
        shares = occupancy.shares()
        await trio.sleep(SETTLE_SECONDS)
        host_counters = await read_host_counters(hosts)
        processor = [host.processor_times() for host in hosts]
        nursery.cancel_scope.cancel()
    report = _report(plan, world, callers, hosts)
    report.occupancy = shares
    report.stall_seconds = occupancy.stall_seconds
    report.processor_seconds = sum(ran for ran, _ in processor)
    report.processor_wait_seconds = max(waited for _, waited in processor)
    report.kernel = read_kernel_counters() - before
    report.host_counters = host_counters
    report.faults = faults
    evidence = Evidence(
        world,
        hosts,
        callers.requests,
        stage.all_spans(),
        until - epoch,
        stage.cuts,
        stage.outdated,
        observer.stale,
        [(start - epoch, end - epoch) for start, end in store.unanswered],
    )
    report.version_answers = observer.asked
    report.calm_requests = sum(
        evidence.calm(each.started, each.attempts[-1].ended)
        for each in callers.requests
        if each.attempts
    )
    report.violations = judge(evidence)
    return report


def _link(
    site: Site, hosts: Sequence[Host], nursery: trio.Nursery
) -> dict[str, Link]:
    """Return a link for each host, which ends with its last process."""
    links = {}
    for host in hosts:
        links[host.id] = Link(site.link_bytes_per_second, nursery)
        host.when_ended = links[host.id].end
    return links


def _draw(plan: Plan, hosts: Sequence[Host]) -> Sequence[Fault]:
    names = [host.id for host in hosts]
    seconds = plan.lead_seconds + plan.seconds
    faults: list[Fault] = []
    if plan.faults is not None:
        faults += draw_faults(plan.faults, plan.site, names, seconds)
    if plan.path_cuts is not None:
        faults += draw_path_cuts(plan.path_cuts, names, seconds)
    if plan.endless is not None:
        targets = sum(sum(each.targets.values()) for each in plan.site.services)
        faults += draw_endless(plan.endless, targets, seconds)
    if plan.troubles is not None:
        faults += draw_troubles(
            plan.troubles, plan.site, plan.lead_seconds, seconds
        )
    last = plan.lead_seconds + STOPS_SHARE * plan.seconds
    if plan.waves is not None:
        seeds_first = sorted(hosts, key=lambda host: not host.is_seed)
        faults += draw_waves(
            plan.waves, [h.id for h in seeds_first], plan.lead_seconds, last
        )
    if plan.storms is not None:
        faults += draw_storms(plan.storms, plan.lead_seconds, last)
    if plan.stops is not None:
        faults += draw_stops(plan.stops, names, plan.lead_seconds, last)
        if plan.stop_all:
            faults.append(Stop(last, names, 0.0, None))
    return sorted(faults, key=lambda fault: fault.at)


def _report(
    plan: Plan, world: World, callers: Callers, hosts: Sequence[Host]
) -> Report:
    report = Report(len(callers.requests))
    report.starts = sum(host.starts for host in hosts)
    report.peak_descriptors = max(host.peak_descriptors for host in hosts)
    report.counts = dict(count_results(callers.requests))
    report.ends = list(ends_by_themselves(list(hosts)))
    report.peak_mb = max(host.peak_bytes for host in hosts) / (1 << 20)
    served_at = []
    for request in callers.requests:
        for attempt in request.attempts:
            if attempt.result is Result.SERVED:
                served_at.append(attempt.ended)
            elif attempt.result is Result.REFUSED:
                reason = attempt.detail.partition(" ")[0]
                report.refusals[f"{attempt.status} {reason}"] += 1
    served_at.sort()
    if served_at:
        report.first_answer_seconds = served_at[0]
    report.longest_gap_seconds = _longest_gap(
        [plan.lead_seconds, *served_at, plan.lead_seconds + plan.seconds]
    )
    report.latencies = latencies(callers.requests)
    report.refusal_times = refusal_times(callers.requests)
    report.timeline = timeline(callers.requests)
    _check_runs(report, world, callers)
    return report


def _longest_gap(times: Sequence[float]) -> float:
    return max(
        later - earlier
        for earlier, later in zip(times, times[1:], strict=False)
    )


def _check_runs(report: Report, world: World, callers: Callers) -> None:
    """Compare what callers were told with what ran at targets."""
    runs: Counter[str] = Counter()
    for placed in world.targets.values():
        executed: list[ExecutedRequest] = placed.target.executed
        runs.update(str(each.request_id) for each in executed)
    for request in callers.requests:
        if request.kind.kind is not Kind.ONCE:
            continue
        for attempt in request.attempts:
            count = runs[attempt.request_id]
            if count > 1:
                report.twice.append(attempt.request_id)
            if count and attempt.result is Result.REFUSED:
                report.ran_though_refused.append(attempt.request_id)
