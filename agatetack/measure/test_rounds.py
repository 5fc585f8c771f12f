"""Test which host probes a target and how often, also if a probe hangs."""

import random

import pytest
import trio

from agatetack.ids import Deadline, FailureDomain, HostId
from agatetack.measure.rounds import ProbeRounds, eligible_hosts
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange, Peer
from agatetack.peers.groups import Groups
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import listed_target, started_target

RATE = 10.0


class CountingProber:
    """Counts probes; each takes some seconds."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.probes = []
        self.at_once = 0
        self.most_at_once = 0

    async def probe(self, target):
        self.probes.append(target.id)
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        try:
            await trio.sleep(self.seconds)
        finally:
            self.at_once -= 1


def make_rounds(own, names, prober, targets, domain="d"):
    settings = default_settings(
        host={"id": own, "failure_domain": domain},
        measure={"target_probes_per_second": RATE},
    )
    registry = TargetRegistry(settings, Metrics())
    registry.update([listed_target(n) for n in range(1, targets + 1)])
    peers = [
        Peer(HostId(name), 1, FailureDomain("d"), False)
        for name in names
        if name != own
    ]
    exchange = NoExchange()
    exchange.live_peers = lambda: peers
    exchange.fleet_size = lambda: len(names)
    return ProbeRounds(
        settings,
        registry,
        exchange,
        prober,
        lambda: exchange.fleet_size(),
        random.Random(own),
    )


async def run_for(rounds, seconds):
    with trio.move_on_after(seconds):
        await rounds.run()


@pytest.mark.parametrize("seconds", [0.0, 0.03, 1000.0])
async def test_a_probe_that_hangs_stops_nothing_else(autojump_clock, seconds):
    prober = CountingProber(seconds)
    rounds = make_rounds("h1", ["h1"], prober, 1)
    await run_for(rounds, 10)
    assert prober.most_at_once == 1
    wanted = 1 if seconds > 10 else 10 * RATE
    assert wanted * 0.7 <= len(prober.probes) <= wanted * 1.3


async def test_each_target_is_probed_by_one_host(autojump_clock):
    names = [f"h{n}" for n in range(5)]
    probed = []
    for own in names:
        prober = CountingProber(0.001)
        await run_for(make_rounds(own, names, prober, 30), 1.0)
        probed += set(prober.probes)
    assert len(probed) == len(set(probed)) == 30


class Paths:
    """Says that one host reaches no target."""

    def __init__(self, cut_off):
        self.cut_off = cut_off
        self.changes = 1

    def is_lost_by(self, host, target):
        return host == self.cut_off


# Guards against nobody measuring the targets of a host that can't reach them.
async def test_targets_of_a_host_that_reaches_none_are_taken_over(
    autojump_clock,
):
    names = [f"h{n}" for n in range(5)]
    probed = []
    for own in names:
        prober = CountingProber(0.001)
        rounds = make_rounds(own, names, prober, 30)
        rounds.paths = Paths("h0")
        if own == "h0":
            for target in rounds.registry.by_id.values():
                rounds.registry.paths.note_refused(target)
            rounds.paths = Paths(None)
            await run_for(rounds, 1.0)
            assert not prober.probes
            continue
        await run_for(rounds, 1.0)
        probed += set(prober.probes)
    assert len(probed) == len(set(probed)) == 30


async def test_targets_of_a_host_that_is_gone_are_taken_over(autojump_clock):
    prober = CountingProber(0.001)
    rounds = make_rounds("h1", ["h1", "h2"], prober, 30)
    await run_for(rounds, 2.0)
    before = len(set(prober.probes))
    assert before < 30
    rounds.exchange.live_peers = list
    await run_for(rounds, 2.0)
    assert len(set(prober.probes)) == 30


@pytest.mark.parametrize(
    ("hosts", "targets", "able"),
    [
        pytest.param(
            {"a1": "a", "a2": "a", "b1": "b"},
            {"a": 4, "b": 2},
            {"a": {"a1", "a2"}, "b": {"b1"}},
            id="hosts of the same domain",
        ),
        pytest.param(
            {"a1": "a", "b1": "b"},
            {"a": 3, "c": 3},
            {"a": {"a1"}, "c": {"a1", "b1"}},
            id="no host there",
        ),
        pytest.param(
            {"a1": "a", "b1": "b", "b2": "b", "b3": "b"},
            {"a": 20, "b": 10},
            {"a": {"a1", "b1", "b2", "b3"}, "b": {"b1", "b2", "b3"}},
            id="too few hosts there",
        ),
    ],
)
async def test_hosts_near_a_target_probe_it(hosts, targets, able):
    domains = [
        domain for domain, count in targets.items() for _ in range(count)
    ]
    registry = TargetRegistry(default_settings(), Metrics())
    registry.update(
        [listed_target(n, domain=d) for n, d in enumerate(domains, 1)]
    )
    found = eligible_hosts(hosts, list(registry.by_id.values()))
    assert {domain: set(names) for domain, names in found.items()} == able


@pytest.mark.parametrize(
    ("linked_after", "owned"), [(0.1, "own"), (10.0, "all")]
)
async def test_a_host_that_starts_waits_for_its_peers(
    autojump_clock, linked_after, owned
):
    prober = CountingProber(0.001)
    rounds = make_rounds("h1", ["h1", "h2"], prober, 30)
    peers = rounds.exchange.live_peers()
    start = trio.current_time()
    rounds.exchange.live_peers = lambda: (
        peers if trio.current_time() >= start + linked_after else []
    )
    await run_for(rounds, 1.0)
    assert (len(set(prober.probes)) == 30) is (owned == "all")


@pytest.mark.parametrize("hosts", [14, 18, 30, 120])
@pytest.mark.parametrize(
    ("linked", "size_known"),
    [
        pytest.param(1.0, True, id="links with all"),
        pytest.param(0.5, True, id="links with half of the fleet"),
        pytest.param(0.0, True, id="no links"),
        pytest.param(0.0, False, id="nothing known"),
    ],
)
async def test_the_fleet_keeps_within_the_rate(
    autojump_clock, hosts, linked, size_known
):
    names = [f"h{n}" for n in range(hosts)]
    seconds, targets = 1.0, 20
    probers = []
    async with trio.open_nursery() as nursery:
        for number, own in enumerate(names):
            prober = CountingProber(0.001)
            probers.append(prober)
            rounds = make_rounds(own, names, prober, targets)
            others = names[number + 1 :] + names[:number]
            seen = others[: round(linked * len(others))]
            peers = [
                Peer(HostId(n), 1, FailureDomain("d"), False) for n in seen
            ]
            rounds.exchange.live_peers = lambda peers=peers: peers
            if not size_known:
                rounds.fleet_size = lambda: None
            nursery.start_soon(run_for, rounds, seconds)
    rate = sum(len(prober.probes) for prober in probers) / targets / seconds
    assert rate <= RATE * 1.1


class GroupExchange(NoExchange):
    """The exchange of one host of a fleet that is split into groups.

    Attributes:
        linked: Other hosts of its group that it has connections with.
    """

    def __init__(self, own, domains):
        self.own = own
        self.groups = Groups(domains, 16)
        self.group = self.groups.group_of[own]
        hosts = self.groups.hosts[self.group]
        self.linked = [host for host in hosts if host != own]
        self.domains = domains

    @property
    def is_grouped(self):
        return True

    def live_peers(self):
        return [
            Peer(host, 1, self.domains[host], False) for host in self.linked
        ]

    def fleet_size(self):
        return len(self.domains)

    def group_hosts(self):
        return self.groups.hosts[self.group]

    def shares_target(self, target, domain):
        return self.groups.group_of_target(target, domain) == self.group


@pytest.mark.parametrize("hosts", [120, 400])
@pytest.mark.parametrize("linked", [1.0, 0.5, 0.0])
async def test_groups_probe_their_own_targets_within_the_rate(
    autojump_clock, hosts, linked
):
    domains = {
        HostId(f"h{n}"): FailureDomain(f"d{n % 5}") for n in range(hosts)
    }
    seconds, targets = 2.0, 60
    probers = []
    async with trio.open_nursery() as nursery:
        for own in domains:
            prober = CountingProber(0.001)
            probers.append(prober)
            rounds = make_rounds(own, [own], prober, 0, domains[own])
            rounds.registry.update(
                [
                    listed_target(n, domain=f"d{n % 5}")
                    for n in range(1, targets + 1)
                ]
            )
            rounds.exchange = GroupExchange(own, domains)
            count = round(linked * len(rounds.exchange.linked))
            rounds.exchange.linked = rounds.exchange.linked[:count]
            nursery.start_soon(run_for, rounds, seconds)
    probed = [target for prober in probers for target in prober.probes]
    assert len(probed) / targets / seconds <= RATE * 1.1
    if linked == 1.0:
        assert len(set(probed)) == targets
        assert len(probed) / targets / seconds >= RATE * 0.5


@pytest.mark.parametrize(
    ("heard_every", "cold", "least", "most"),
    [
        (None, False, 70, 130),
        # Reports through others at twice the rate make probes needless.
        (0.05, False, 0, 2),
        (0.5, False, 55, 95),
        # Whether it is warm is only known from probes.
        (0.05, True, 70, 130),
    ],
)
async def test_a_target_that_is_heard_of_is_not_probed(
    autojump_clock, heard_every, cold, least, most
):
    prober = CountingProber(0.0)
    rounds = make_rounds("h1", ["h1"], prober, 1)
    target = next(iter(rounds.registry.by_id.values()))
    if cold:
        target.warmth.invalidate(Deadline(trio.current_time()))

    async def report_load():
        while heard_every is not None:
            now = Deadline(trio.current_time())
            rounds.registry.note_report(
                target, LoadReport(1, 2, 0, now, ReportSource.PEER)
            )
            await trio.sleep(heard_every)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(report_load)
        await run_for(rounds, 10)
        nursery.cancel_scope.cancel()
    assert least <= len(prober.probes) <= most


# Guards against hosts that probe as often while they lack the time to serve.
@pytest.mark.parametrize(
    ("late_seconds", "ratio"), [(0.0, 1.0), (0.02, 1.0), (0.04, 0.5), (1, 0.1)]
)
async def test_a_late_host_probes_less_often(
    autojump_clock, late_seconds, ratio
):
    prober = CountingProber(0.001)
    rounds = make_rounds("h1", ["h1"], prober, 1)
    rounds.lateness.seconds = late_seconds
    await run_for(rounds, 20.0)
    wanted = 20 * RATE * ratio
    assert 0.7 * wanted <= len(prober.probes) <= 1.3 * wanted


async def test_a_probe_that_hangs_does_not_delay_a_restarted_target(
    autojump_clock,
):
    """Guards against a new process that is unknown while the old is probed."""
    prober = CountingProber(1000.0)
    rounds = make_rounds("h1", ["h1"], prober, 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(rounds.run)
        for born in (1000, 2000):
            rounds.registry.update([started_target(1, born)])
            await trio.sleep(1.0)
        assert prober.at_once == 2
        nursery.cancel_scope.cancel()
