"""Draw the faults of a run from a seed."""

import itertools
import math
import random
import signal
from collections.abc import Callable, Sequence

import orjson

from agatetack.testing.memory_store import StoreFault
from bench.soak.faults import (
    ENDLESS,
    Crash,
    CutPaths,
    Endless,
    Fault,
    Freeze,
    Kill,
    Leave,
    Noise,
    Publish,
    Reject,
    Reload,
    RepeatedStop,
    ScaleIn,
    SilentPart,
    Stop,
    StoreOutage,
)
from bench.soak.machines import SEEDS
from bench.soak.paths import PathFault
from bench.soak.site import Site

MOMENTS = (1, 3)
"""Fewest and most moments around which faults come."""

FAULTS = (1, 4)
"""Fewest and most faults around one moment."""

SPREAD_SECONDS = 2.0
"""Time over which the faults of one moment are spread."""

FAULTY_SHARE = 0.5
"""Share of the run in which faults start; the rest shows recovery."""

CUTS = (1, 3)
"""Fewest and most times that hosts lose their paths to all targets."""

CUT_SECONDS = (2.0, 12.0)
"""Shortest and longest time for that."""

ENDLESS_SECONDS = (1.0, 6.0)
"""Shortest and longest time in which targets send bytes without end."""

REJECTED_SHARE = (0.2, 0.6)
"""Smallest and largest share of requests that are rejected at first."""

COPY_SECONDS = (0.0, 0.1)
"""Shortest and longest time until a rejection comes once more."""

SILENT_SECONDS = (0.3, 6.0)
"""Shortest and longest time in which a part of the store is silent."""

SILENT_TOPICS = ("keyed.op", "keyed.servers")
"""The parts that may be silent: the configuration and the targets."""

LEAVE_GAP_SECONDS = (0.5, 2.0)
"""Shortest and longest time between two targets that leave."""

STOP_SECONDS = (0.5, 4.0)
"""Shortest and longest time between two stops of a series; a drain may last
longer."""

STOP_SHARE = 1 / 6
"""Largest share of the hosts that are stopped at the same moment."""

MAX_REPEATS = 3
"""Most further signals during a stop."""

WAVES = (3, 9)
"""Fewest and most waves of starts in a row."""

WAVE_GAP_SECONDS = (0.4, 1.2)
"""Shortest and longest time between two of them."""

WAVE_PARTS = (1, 2, 3)
"""Into how many parts the hosts are split, which are killed in turn."""

WAVE_REST_SECONDS = (4.0, 6.0)
"""Shortest and longest time without one."""

CHANGE_SECONDS = (1.0, 2.0)
"""Shortest and longest time between two versions beside waves."""

STORM_VERSIONS = (3, 10)
"""Fewest and most versions in quick succession."""

STORM_GAP_SECONDS = (0.2, 0.6)
"""Shortest and longest time between two of them."""

STORM_REST_SECONDS = (0.5, 4.0)
"""Shortest and longest time without any."""

START_SHARE = 0.4
"""Share of first moments that are at the start of the hosts."""


def draw_faults(
    seed: int, site: Site, hosts: Sequence[str], seconds: float
) -> list[Fault]:
    """Return the faults of a run, in the order of their starts.

    Args:
        seed: The seed.
        site: The deployment.
        hosts: Ids of its hosts.
        seconds: How long the run lasts.
    """
    return _Draw(seed, site, hosts).faults(seconds)


def draw_path_cuts(
    seed: int, hosts: Sequence[str], seconds: float
) -> list[CutPaths]:
    """Return cuts of hosts from all targets, in the order of their starts.

    They have a source of their own, so that the other faults of a seed stay.

    Args:
        seed: The seed.
        hosts: Ids of the hosts.
        seconds: How long the run lasts.
    """
    source = random.Random(f"path cuts {seed}")
    cuts = []
    for _ in range(source.randint(*CUTS)):
        count = source.randint(1, max(1, len(hosts) - 1))
        cuts.append(
            CutPaths(
                round(source.uniform(0.0, seconds * FAULTY_SHARE), 3),
                source.sample(hosts, count),
                source.choice(list(PathFault)),
                round(source.uniform(*CUT_SECONDS), 3),
            )
        )
    return sorted(cuts, key=lambda cut: cut.at)


def draw_endless(seed: int, targets: int, seconds: float) -> list[Endless]:
    """Return times in which targets send bytes without end, in their order.

    Args:
        seed: The seed.
        targets: How many targets there are.
        seconds: How long the run lasts.
    """
    source = random.Random(f"endless {seed}")
    found = [
        Endless(
            round(source.uniform(0.0, seconds * FAULTY_SHARE), 3),
            source.sample(
                range(targets), source.randint(1, max(1, targets // 3))
            ),
            source.randrange(len(ENDLESS)),
            round(source.uniform(*ENDLESS_SECONDS), 3),
        )
        for _ in range(source.randint(*MOMENTS))
    ]
    return sorted(found, key=lambda each: each.at)


def draw_stops(
    seed: int, hosts: Sequence[str], first: float, last: float
) -> list[RepeatedStop]:
    """Return a series of stops, some of which overlap.

    SIGTERM is repeated and SIGHUP comes while hosts drain. SIGINT comes once
    for a host at most, as a second one asks it to end.

    Args:
        seed: The seed.
        hosts: Ids of the hosts.
        first: When stops may begin, in seconds of the run.
        last: When the last one begins.
    """
    source = random.Random(f"stops {seed}")
    most = max(1, math.ceil(len(hosts) * STOP_SHARE))
    stops = []
    at = first + source.uniform(0.0, STOP_SECONDS[1])
    while at < last:
        again = [
            (round(source.uniform(0.0, 5.0), 3), int(number))
            for number in _further_signals(source)
        ]
        stops.append(
            RepeatedStop(
                round(at, 3),
                source.sample(hosts, source.randint(1, most)),
                0.0,
                round(source.random(), 3) if source.random() < 0.3 else None,
                again,
            )
        )
        at += source.uniform(*STOP_SECONDS)
    return stops


def draw_waves(
    seed: int, hosts: Sequence[str], first: float, last: float
) -> list[Fault]:
    """Return waves in which hosts are killed, and versions beside them.

    In a series all hosts, each half or each third in turn are killed again and
    again, with a time of rest after it. A seed of the others is in each part.

    Args:
        seed: The seed.
        hosts: Ids of the hosts, those that may be seeds first.
        first: When the first wave comes, in seconds of the run.
        last: When the last one comes.
    """
    source = random.Random(f"waves {seed}")
    found: list[Fault] = []
    at = first
    while at < last:
        count = source.choice(WAVE_PARTS)
        others = source.sample(hosts[SEEDS:], len(hosts[SEEDS:]))
        mixed = [*source.sample(hosts[:SEEDS], len(hosts[:SEEDS])), *others]
        gap = source.uniform(*WAVE_GAP_SECONDS)
        for number in range(source.randint(*WAVES)):
            if at < last:
                killed = mixed[number % count :: count]
                found.append(Kill(round(at, 3), killed, 0.0))
            at += gap
        at += source.uniform(*WAVE_REST_SECONDS)
    at = first - source.random()
    while at < last:
        found.append(Publish(round(at, 3), 1, 0.0))
        at += source.uniform(*CHANGE_SECONDS)
    return sorted(found, key=lambda fault: fault.at)


def draw_storms(seed: int, first: float, last: float) -> list[Publish]:
    """Return versions of the configuration in quick succession.

    Args:
        seed: The seed.
        first: When the first ones come, in seconds of the run.
        last: When the last ones come.
    """
    source = random.Random(f"storms {seed}")
    found = []
    at = first
    while at < last:
        count = source.randint(*STORM_VERSIONS)
        gap = round(source.uniform(*STORM_GAP_SECONDS), 3)
        found.append(Publish(round(at, 3), count, gap))
        at += count * gap + source.uniform(*STORM_REST_SECONDS)
    return found


def _further_signals(source: random.Random) -> list[signal.Signals]:
    repeated = (signal.SIGTERM, signal.SIGHUP)
    count = source.randint(0, MAX_REPEATS)
    found = [source.choice(repeated) for _ in range(count)]
    if source.random() < 0.2:
        found.append(signal.SIGINT)
    return found


def draw_troubles(
    seed: int, site: Site, first: float, last: float
) -> list[Fault]:
    """Return two kinds of troubles of targets and store, which may overlap.

    Targets of one service reject requests twice, a part of the store is silent
    while the configuration changes, or all targets of that service but one
    leave, so that requests wait for it.

    Args:
        seed: The seed.
        site: The deployment.
        first: When they may begin, in seconds of the run.
        last: The end of the run.
    """
    source = random.Random(f"troubles {seed}")
    span = FAULTY_SHARE * (last - first)
    numbers = source.choice(_targets_of(site))

    def reject(at: float) -> Fault:
        return Reject(
            at,
            list(numbers),
            round(source.uniform(*REJECTED_SHARE), 3),
            round(source.uniform(*COPY_SECONDS), 3),
            round(source.uniform(0.3, 0.8) * span, 3),
        )

    def silent_part(at: float) -> Fault:
        seconds = round(source.uniform(*SILENT_SECONDS), 3)
        change_after = round(source.uniform(0.0, seconds + 0.2), 3)
        topic = source.choice(SILENT_TOPICS)
        return SilentPart(at, topic, change_after, seconds)

    def scale_in(at: float) -> Fault:
        return ScaleIn(
            at,
            source.sample(numbers, len(numbers) - 1),
            round(source.uniform(*LEAVE_GAP_SECONDS), 3),
            round(span, 3),
        )

    kinds = source.sample([reject, silent_part, scale_in], 2)
    found = [
        kind(round(first + source.uniform(0.0, span), 3))
        for kind in kinds
        for _ in range(source.randint(1, 2))
    ]
    return sorted(found, key=lambda fault: fault.at)


def _targets_of(site: Site) -> Sequence[Sequence[int]]:
    """Return the numbers of the targets of each service."""
    counts = [sum(each.targets.values()) for each in site.services]
    ends = list(itertools.accumulate(counts))
    return [
        range(end - count, end) for count, end in zip(counts, ends, strict=True)
    ]


def as_lines(faults: Sequence[Fault]) -> str:
    """Return the plan with one JSON object a line."""
    return "\n".join(orjson.dumps(each.fields()).decode() for each in faults)


class _Draw:
    """Draws faults, all from one source."""

    def __init__(self, seed: int, site: Site, hosts: Sequence[str]):
        self.source = random.Random(f"faults {seed}")
        self.hosts = hosts
        self.targets = sum(
            count
            for service in site.services
            for count in service.targets.values()
        )
        self.kinds: list[tuple[float, Callable[[float], Fault]]] = [
            (3.0, self._stop),
            (3.0, self._kill),
            (2.0, self._freeze),
            (3.0, self._reload),
            (2.0, self._store),
            (1.0, self._publish),
            (1.0, self._crash),
            (1.0, self._leave),
            (1.0, self._noise),
        ]

    def faults(self, seconds: float) -> list[Fault]:
        found = []
        weights = [weight for weight, _ in self.kinds]
        for number in range(self.source.randint(*MOMENTS)):
            moment = self.source.uniform(0.0, seconds * FAULTY_SHARE)
            if number == 0 and self.source.random() < START_SHARE:
                moment = 0.0
            for _ in range(self.source.randint(*FAULTS)):
                at = moment + self.source.uniform(0.0, SPREAD_SECONDS)
                (kind,) = self.source.choices(self.kinds, weights)
                found.append(kind[1](round(at, 3)))
        return sorted(found, key=lambda fault: fault.at)

    def _some_hosts(self) -> tuple[Sequence[str], float]:
        """Return one host, some or all, and the time between two of them."""
        how = self.source.choices(("one", "some", "all"), (5, 3, 2))[0]
        count = {"one": 1, "all": len(self.hosts)}.get(
            how, self.source.randint(1, len(self.hosts))
        )
        gap = 0.0
        if count > 1 and self.source.random() < 0.5:
            gap = round(min(1.0, 5.0 / count) * self.source.random(), 3)
        return self.source.sample(self.hosts, count), gap

    def _seconds(self, least: float, most: float) -> float:
        return round(self.source.uniform(least, most), 3)

    def _stop(self, at: float) -> Fault:
        overlap = None
        if self.source.random() < 0.4:
            overlap = self._seconds(0.0, 1.0)
        return Stop(at, *self._some_hosts(), overlap)

    def _kill(self, at: float) -> Fault:
        return Kill(at, *self._some_hosts())

    def _freeze(self, at: float) -> Fault:
        return Freeze(at, *self._some_hosts(), self._seconds(0.1, 2.0))

    def _reload(self, at: float) -> Fault:
        slacks = [
            self.source.choice((None, self.source.randint(20, 80)))
            for _ in range(self.source.randint(1, 5))
        ]
        return Reload(at, *self._some_hosts(), slacks, self._seconds(0.0, 0.3))

    def _noise(self, at: float) -> Fault:
        seed, count = self.source.randrange(1 << 32), self.source.randint(1, 60)
        return Noise(
            at, *self._some_hosts(), seed, count, self._seconds(0.0, 4.0)
        )

    def _store(self, at: float) -> Fault:
        how = self.source.choice(list(StoreFault))
        return StoreOutage(at, how, self._seconds(0.5, 5.0))

    def _publish(self, at: float) -> Fault:
        return Publish(at, self.source.randint(1, 5), self._seconds(0.1, 0.6))

    def _some_targets(self) -> Sequence[int]:
        count = self.source.randint(1, max(1, self.targets // 5))
        return self.source.sample(range(self.targets), count)

    def _crash(self, at: float) -> Fault:
        return Crash(at, self._some_targets(), self._seconds(0.5, 4.0))

    def _leave(self, at: float) -> Fault:
        return Leave(at, self._some_targets())
