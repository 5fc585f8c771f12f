"""Run a soak from the command line.

`python -m bench.soak run FOLDER` starts the committed build's processes as the
deploy file says, sends a load and prints what was seen. `hunt` does so for many
seeds of faults.
"""

import os
import pathlib
import signal
import sys
from collections import Counter

import defopt
import orjson
import trio

from bench.soak.deploy_file import build
from bench.soak.fault_plan import as_lines
from bench.soak.hunt import run_hunt
from bench.soak.run import Plan, Report, run_soak
from bench.soak.site import patient_site, read_site, small_site

ROOT = pathlib.Path(__file__).parents[2]


def run(
    folder: str,
    *,
    site: str = "",
    hosts: int = 3,
    per_second: float = 40.0,
    seconds: float = 20.0,
    lead_seconds: float = 3.0,
    seed: int = 1,
    root: str = "",
    cores: int = 0,
    first_core: int = 0,
    load: float = 1.0,
    faults: int = -1,
    path_cuts: int = -1,
    stops: int = -1,
    stop_all: bool = False,
    downloads: float = 1.0,
    link_mbps: float = 0.0,
    endless: int = -1,
    troubles: int = -1,
    waves: int = -1,
    storms: int = -1,
    idle_routes: int = 0,
    store_mbps: float = 0.0,
    built: bool = False,
) -> int:
    """Build, run one soak and print its report as JSON.

    The plan of the faults and the violations come first, one JSON object a
    line.

    Args:
        folder: Gets settings and output of all hosts.
        site: A site file of the platform; a small site if empty.
        hosts: Hosts of the small site.
        per_second: Requests a second at the small site.
        seconds: How long requests are sent.
        lead_seconds: Time from the start of the hosts to that of the load.
        seed: Seed of load and faults.
        root: The checkout to run; this one if empty.
        cores: Processor cores that the hosts share; all if 0. Callers and
            stand-ins then use the others.
        first_core: The first of those cores.
        load: Factor of the site's rates; below 1, of its size as well.
        faults: Seed of the faults; none if negative.
        path_cuts: Seed of the times in which hosts lose their paths to all
            targets; none if negative.
        stops: Seed of a series of stops, with relays and links that end with
            their hosts; none if negative.
        stop_all: Whether all hosts are stopped at once after that series.
        downloads: Factor of the rate of downloads.
        link_mbps: What the links of hosts carry; as the site says if 0.
        endless: Seed of times in which targets send bytes without end; none if
            negative.
        troubles: Seed of rejections that come twice, a store of which a part is
            silent, and targets that leave; none if negative. Some callers of
            the small site then wait long for a target.
        waves: Seed of waves in which hosts are killed as the configuration
            changes; none if negative.
        storms: Seed of versions of the configuration in quick succession; none
            if negative.
        idle_routes: Routes of the configuration that nobody asks for.
        store_mbps: What the way of each answer of the store to its host
            carries; no bound if 0.
        built: Take the checkout as it is built.
    """
    checkout = pathlib.Path(root).resolve() if root else ROOT
    if not built:
        build(checkout)
    place = pathlib.Path(folder).resolve()
    place.mkdir(parents=True, exist_ok=True)
    make_site = small_site if troubles < 0 else patient_site
    found = (
        read_site(pathlib.Path(site)) if site else make_site(hosts, per_second)
    )
    shared = range(first_core, first_core + cores)
    others = os.sched_getaffinity(0).difference(shared)
    if cores and others:
        os.sched_setaffinity(0, others)
    plan = Plan(
        found.scaled(load).with_downloads(downloads, link_mbps),
        seconds,
        seed,
        checkout,
        place,
        shared,
        lead_seconds,
        faults if faults >= 0 else None,
        path_cuts if path_cuts >= 0 else None,
        stops if stops >= 0 else None,
        stop_all,
        endless if endless >= 0 else None,
        troubles if troubles >= 0 else None,
        waves if waves >= 0 else None,
        storms if storms >= 0 else None,
        idle_routes,
        store_mbps,
    )
    report = trio.run(run_soak, plan)
    if report.faults:
        print(as_lines(report.faults))
    for violation in report.violations:
        print(orjson.dumps(violation).decode())
    counters = orjson.dumps(report.host_counters, option=orjson.OPT_SORT_KEYS)
    (place / "host_counters.json").write_bytes(counters)
    print(_as_json(report))
    return int(bool(report.violations) or report.served_share == 0)


def hunt(
    folder: str,
    *,
    seeds: int = 50,
    first: int = 1,
    jobs: int = 2,
    site: str = "",
    hosts: int = 3,
    per_second: float = 40.0,
    seconds: float = 20.0,
    lead_seconds: float = 3.0,
    load: float = 1.0,
    path_cuts: bool = False,
    stops: bool = False,
    endless: bool = False,
    troubles: bool = False,
    waves: bool = False,
    storms: bool = False,
    idle_routes: int = 0,
    store_mbps: float = 0.0,
    signals: bool = True,
) -> int:
    """Run soaks with faults of many seeds, and print one line for each.

    Args:
        folder: Gets the settings and output of runs in which a rule broke.
        seeds: How many.
        first: The first seed.
        jobs: Runs at the same time.
        site: A site file of the platform; a small site if empty.
        hosts: Hosts of the small site.
        per_second: Requests a second at the small site.
        seconds: How long each run sends requests.
        lead_seconds: Time from the start of the hosts to that of the load.
        load: Factor of the site's rates; below 1, of its size as well.
        path_cuts: Whether hosts lose their paths to all targets at times.
        stops: Whether hosts are stopped one after the other.
        endless: Whether targets send bytes without end at times.
        troubles: Whether rejections come twice, a part of the store is silent
            or targets leave at times.
        waves: Whether hosts are killed in waves as the configuration changes.
        storms: Whether the configuration changes in quick succession.
        idle_routes: Routes of the configuration that nobody asks for.
        store_mbps: What the way of each answer of the store to its host
            carries; no bound if 0.
        signals: Whether all other faults come as well.
    """
    build(ROOT)
    seeded = ["--faults"] * signals + ["--path-cuts"] * path_cuts
    seeded += ["--stops"] * stops + ["--endless"] * endless
    seeded += ["--troubles"] * troubles + ["--waves"] * waves
    seeded += ["--storms"] * storms
    options = [
        *("--hosts", str(hosts), "--per-second", str(per_second)),
        *("--seconds", str(seconds), "--lead-seconds", str(lead_seconds)),
        *("--load", str(load), "--idle-routes", str(idle_routes)),
        *("--store-mbps", str(store_mbps)),
        "--built",
    ]
    if site:
        options += ["--site", str(pathlib.Path(site).resolve())]
    place = pathlib.Path(folder).resolve()
    numbers = range(first, first + seeds)
    return trio.run(run_hunt, place, numbers, jobs, options, seeded)


def _as_json(report: Report) -> str:
    """Return the report with the ends grouped by what they said."""
    ends: dict[str, int] = {}
    for end in report.ends:
        last = (end.output.strip().splitlines() or [""])[-1]
        key = f"status {end.status}: {last}"
        ends[key] = ends.get(key, 0) + 1
    fields = {
        "requests": report.requests,
        "served_share": round(report.served_share, 4),
        "counts": {r.value: n for r, n in report.counts.items() if n},
        "refusals": dict(report.refusals),
        "first_answer_seconds": report.first_answer_seconds,
        "longest_gap_seconds": report.longest_gap_seconds,
        "ends": ends,
        "twice": report.twice,
        "ran_though_refused": report.ran_though_refused,
        "peak_mb": report.peak_mb,
        "latencies": report.latencies,
        "refusal_times": report.refusal_times,
        "processor_seconds": report.processor_seconds,
        "processor_wait_seconds": report.processor_wait_seconds,
        "stall_seconds": report.stall_seconds,
        "occupancy": report.occupancy,
        "kernel": dict(report.kernel),
        "timeline": report.timeline,
        "peak_descriptors": report.peak_descriptors,
        "starts": report.starts,
        "calm_requests": report.calm_requests,
        "version_answers": report.version_answers,
        "violations": Counter(each.rule for each in report.violations),
    }
    return orjson.dumps(fields, option=orjson.OPT_INDENT_2).decode()


if __name__ == "__main__":
    # A run that is stopped ends the processes that it started.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    sys.exit(defopt.run({"run": run, "hunt": hunt}))
