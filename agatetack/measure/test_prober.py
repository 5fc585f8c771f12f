"""Test probes, shared samples and leaving signs within the budget."""

import pytest
import trio
import trio.testing
from returns.result import Failure, Success
from thrift.protocol.TCompactProtocol import TCompactProtocolFactory
from thrift.TSerialization import serialize

from agatetack.generated.measure.ttypes import TargetSign
from agatetack.ids import Deadline, HostId
from agatetack.measure.budget import START_DELAY_SECONDS
from agatetack.measure.hashes import target_hash
from agatetack.measure.probe import ProbeAnswer, ProbeClient, ProbeFailure
from agatetack.measure.prober import Prober
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange, Peer, Scope, Topic
from agatetack.settings.defaults import default_settings
from agatetack.targets.paths import MIN_SILENCES
from agatetack.targets.registry import (
    LeavingSign,
    ReportedState,
    TargetRegistry,
)
from agatetack.targets.state import LoadReport, ReportSource, TargetStatus
from agatetack.testing.targets import SERVICE, listed_target

TOLD_SIGNS = [
    sign
    for sign in LeavingSign
    if sign not in (LeavingSign.PEER, LeavingSign.CONNECT_REFUSED)
]
"""Signs that peers take over; after a refused connection they look."""


class FakeProbe(ProbeClient):
    """Gives the same answer to each probe and records the targets."""

    def __init__(self):
        self.result = Success(ProbeAnswer(3, 2, ReportedState.READY, 200))
        self.probed = []

    async def probe(self, target, deadline, max_bytes):
        self.probed.append(target.id)
        await trio.sleep(0.001)
        return self.result


class Wire(NoExchange):
    """Connects two hosts; each receives at once what the other publishes."""

    def __init__(self):
        self.other = None
        self.handlers = {}
        self.sent = []

    def publish(self, topic, payload, scope=Scope.ALL):
        self.sent.append((topic, payload))
        self.other.handlers[topic](HostId("peer"), payload)

    def subscribe(self, topic, handler):
        self.handlers[topic] = handler

    def live_peers(self):
        return [Peer(HostId("peer"), 1, "domain-a", False)]

    def fleet_size(self):
        return 2


class Host:
    """One host's registry and prober."""

    def __init__(self, exchange, targets=3, **measure):
        settings = default_settings(measure=measure)
        self.registry = TargetRegistry(settings, Metrics())
        self.probe = FakeProbe()
        self.metrics = Metrics()
        self.prober = Prober(
            settings, self.registry, exchange, self.metrics, self.probe
        )
        self.registry.update([listed_target(n + 1) for n in range(targets)])
        self.targets = self.registry.targets(SERVICE)

    def choose(self):
        """Notify the watchers of a choice, as admission does."""
        for watcher in self.registry.choice_watchers:
            watcher(SERVICE)

    def report(self, target, in_flight, source=ReportSource.ANSWER):
        """Record a report with the current time."""
        now = Deadline(trio.current_time())
        self.registry.note_report(
            target, LoadReport(in_flight, 2, 0, now, source)
        )


def joined():
    first, second = Wire(), Wire()
    first.other, second.other = second, first
    return Host(first), Host(second)


async def run_for(seconds, host, every=0.01):
    """Run the prober while choices are made."""
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            await nursery.start(host.prober.run)
            while True:
                host.choose()
                await trio.sleep(every)


@pytest.mark.parametrize(
    ("targets", "measure", "least", "most"),
    [
        (3, {"probes_per_second": 20}, 95, 100),
        (3, {"probes_per_second": 0}, 0, 0),
        # With one target there is no choice.
        (1, {"probes_per_second": 20}, 0, 0),
        # Bytes run out before probes do; half of them are for samples.
        (3, {"probes_per_second": 100, "bytes_per_second": 4000}, 40, 51),
    ],
)
async def test_probes_keep_to_the_budget(
    autojump_clock, targets, measure, least, most
):
    host = Host(NoExchange(), targets, **measure)
    await run_for(START_DELAY_SECONDS + 5, host)
    assert least <= len(host.probe.probed) <= most


async def test_no_choice_no_probe(autojump_clock):
    host = Host(NoExchange())
    await run_for(START_DELAY_SECONDS + 5, host, every=100)
    assert len(host.probe.probed) <= 1


async def test_least_known_target_is_probed(autojump_clock):
    host = Host(NoExchange())
    await run_for(START_DELAY_SECONDS + 0.05, host)
    for target in host.targets:
        if target is not host.targets[1]:
            host.report(target, 1)
    host.targets[1].report = None
    host.probe.probed.clear()
    host.probe.result = Failure(ProbeFailure.TIMEOUT)
    await run_for(1, host)
    assert set(host.probe.probed) == {host.targets[1].id}


@pytest.mark.parametrize(
    ("result", "status", "in_flight"),
    [
        (
            Success(ProbeAnswer(3, 2, ReportedState.READY, 200)),
            TargetStatus.COLD,
            3,
        ),
        (
            Success(ProbeAnswer(3, 2, ReportedState.DRAINING, 200)),
            TargetStatus.LEAVING,
            3,
        ),
        (Failure(ProbeFailure.REFUSED), TargetStatus.LEAVING, None),
        # A load endpoint without a usable answer changes no status.
        (Failure(ProbeFailure.TIMEOUT), TargetStatus.COLD, None),
        (Failure(ProbeFailure.MALFORMED), TargetStatus.COLD, None),
    ],
)
async def test_what_a_probe_shows(autojump_clock, result, status, in_flight):
    host = Host(NoExchange())
    host.probe.result = result
    await run_for(START_DELAY_SECONDS + 3, host)
    target = host.registry.by_id[host.probe.probed[0]]
    assert target.status is status
    seen = None if target.report is None else target.report.in_flight
    assert seen == in_flight


async def test_target_that_refused_returns_by_probe(autojump_clock):
    host = Host(NoExchange(), targets=1)
    target = host.targets[0]
    host.registry.note_leaving(target, LeavingSign.CONNECT_REFUSED)
    with trio.move_on_after(30):
        async with trio.open_nursery() as nursery:
            await nursery.start(host.prober.run)
            while True:
                host.registry.update([listed_target(1)])
                await trio.sleep(1)
    assert target.status is TargetStatus.COLD
    assert host.registry.targets(SERVICE) == (target,)


async def test_peers_take_samples(autojump_clock):
    sender, taker = joined()
    with trio.move_on_after(START_DELAY_SECONDS + 3):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sender.prober.run)
            await trio.sleep(START_DELAY_SECONDS + 1)
            sender.report(sender.targets[0], 7)
            sender.targets[0].learned.service_seconds = 0.02
    report = taker.targets[0].report
    assert (report.in_flight, report.source) == (7, ReportSource.PEER)
    assert taker.targets[0].learned.peer_service_seconds == 0.02
    assert taker.targets[1].report is None
    # The receiver does not send on the samples of others.
    assert not taker.prober.sharing.fresh


@pytest.mark.parametrize("peers", [0, 1])
async def test_idle_host_does_not_wake_for_samples(autojump_clock, peers):
    sender, _ = joined()
    sharing = sender.prober.sharing
    sharing.bucket.tokens = 4000
    sharing.exchange.live_peers = lambda: [HostId("peer")] * peers
    sender.report(sender.targets[0], 1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sharing.run)
        await trio.sleep(1)
        # With nothing fresh the only task left that has a deadline is this
        # one, so the loop has no timeout of its own.
        assert not sharing.fresh
        tasks = trio.lowlevel.current_statistics()
        assert tasks.seconds_to_next_deadline == float("inf")
        nursery.cancel_scope.cancel()


async def test_samples_keep_to_the_budget(autojump_clock):
    sender, _ = joined()
    with trio.move_on_after(START_DELAY_SECONDS + 10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sender.prober.run)
            while True:
                for target in sender.targets:
                    sender.report(target, 1)
                await trio.sleep(0.001)
    sharing = sender.prober.sharing
    assert 0 < sharing.bucket.spent <= sharing.bucket.rate * 10
    payloads = [len(p) for _, p in sharing.exchange.sent]
    assert sum(payloads) <= sharing.bucket.spent


@pytest.mark.parametrize("ratio", [10.0, 1.0])
async def test_peer_is_told_at_once_of_a_change(autojump_clock, ratio):
    # The receiver has no report of the target yet, so the first one counts.
    sender, taker = joined()
    sender.prober.sharing.bucket.tokens = 4000
    sender.report(sender.targets[0], 7)
    sender.targets[0].learned.service_seconds = 0.01 * ratio
    sender.registry.note_slowness(sender.targets[0])
    received = taker.targets[0].learned.peer_service_seconds
    assert received == pytest.approx(0.01 * ratio)


async def test_adopted_service_time_is_not_sent_on(autojump_clock):
    sender, taker = joined()
    sender.prober.sharing.bucket.tokens = 4000
    sender.report(sender.targets[0], 7)
    sender.targets[0].learned.service_seconds = 0.1
    sender.targets[0].learned.from_peers = True
    sender.registry.note_slowness(sender.targets[0])
    assert taker.targets[0].learned.peer_service_seconds == 0


async def test_leaving_sign_reaches_peers_once(autojump_clock):
    sender, taker = joined()
    sender.registry.note_leaving(sender.targets[0], LeavingSign.HEALTH)
    assert taker.targets[0].status is TargetStatus.LEAVING
    assert len(sender.prober.sharing.exchange.sent) == 1
    assert not taker.prober.sharing.exchange.sent


# Guards against a host's lost path being taken for a target that is gone.
@pytest.mark.parametrize(
    ("answer", "status"),
    [
        (Failure(ProbeFailure.REFUSED), TargetStatus.LEAVING),
        (
            Success(ProbeAnswer(3, 2, ReportedState.READY, 200)),
            TargetStatus.COLD,
        ),
        (Failure(ProbeFailure.TIMEOUT), TargetStatus.COLD),
    ],
)
async def test_peers_look_at_once_at_a_target_that_refused_another_host(
    autojump_clock, answer, status
):
    sender, taker = joined()
    taker.probe.result = answer
    target = sender.targets[0]
    async with trio.open_nursery() as nursery:
        await nursery.start(taker.prober.run)
        await trio.sleep(1)
        sender.registry.note_leaving(target, LeavingSign.CONNECT_REFUSED)
        sender.registry.note_leaving(target, LeavingSign.CONNECT_REFUSED)
        assert len(sender.prober.sharing.exchange.sent) == 1
        assert taker.targets[0].status is TargetStatus.COLD
        # Two ticks of the looks.
        await trio.sleep(0.11)
        assert taker.probe.probed == [target.id]
        assert taker.targets[0].status is status
        nursery.cancel_scope.cancel()


# Guards against many hosts that lose their paths having a target probed by all
# others for each of them.
@pytest.mark.parametrize(
    ("fleet", "least", "most"), [(2, 6, 8), (13, 3, 3), (60, 1, 1)]
)
async def test_a_suspected_target_is_looked_at_within_the_fleets_bound(
    autojump_clock, monkeypatch, fleet, least, most
):
    host, _ = joined()
    monkeypatch.setattr(Wire, "fleet_size", lambda _: fleet)
    target = host.targets[0]
    async with trio.open_nursery() as nursery:
        await nursery.start(host.prober.run)
        for _ in range(100):
            host.prober.looks.suspect(target)
            await trio.sleep(0.02)
        nursery.cancel_scope.cancel()
    # The first one comes at once; each takes up to a tick to start.
    assert least <= len(host.probe.probed) <= most


class SlowProbe(FakeProbe):
    """Answers after some time, if the deadline allows."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds

    async def probe(self, target, deadline, max_bytes):
        self.probed.append(target.id)
        with trio.move_on_at(deadline):
            await trio.sleep(self.seconds)
            return self.result
        return Failure(ProbeFailure.TIMEOUT)


# Guards against slow targets that count as unreachable until they are fast
# again, and that each look makes slower.
async def test_a_slow_answer_shows_that_a_path_is_back(autojump_clock):
    host = Host(NoExchange())
    host.prober.client = SlowProbe(0.3)
    paths, target = host.registry.paths, host.targets[0]
    for _ in range(MIN_SILENCES):
        paths.note_silence(target)
    paths.note_heard_elsewhere(target, Deadline(trio.current_time() + 0.1))
    assert paths.is_lost(target)
    async with trio.open_nursery() as nursery:
        await nursery.start(host.prober.run)
        await trio.sleep(2.0)
        assert not paths.is_lost(target)
        assert len(host.prober.client.probed) == 1
        nursery.cancel_scope.cancel()


# Guards against hosts whose new connections are accepted and reset on the way,
# and that learn only from failed requests that they reach no target.
@pytest.mark.parametrize(
    ("failure", "is_silence"),
    [
        (ProbeFailure.TIMEOUT, True),
        (ProbeFailure.UNANSWERED, True),
        (ProbeFailure.LOST, False),
        (ProbeFailure.MALFORMED, False),
    ],
)
async def test_probes_find_lost_paths(autojump_clock, failure, is_silence):
    host = Host(NoExchange())
    host.prober.client.result = Failure(failure)
    paths, target = host.registry.paths, host.targets[0]
    asked = []
    paths.doubt_watchers.append(asked.extend)
    for _ in range(MIN_SILENCES):
        await host.prober.probe(target)
    assert (target in asked) == is_silence
    paths.note_heard_elsewhere(target, Deadline(trio.current_time() + 0.1))
    assert paths.is_lost(target) == is_silence


@pytest.mark.parametrize("sign", TOLD_SIGNS)
async def test_peer_keeps_what_kind_of_sign_it_was(autojump_clock, sign):
    sender, taker = joined()
    sender.registry.note_leaving(sender.targets[0], sign)
    records = [host.registry.leaving for host in (sender, taker)]
    assert records[0] == records[1]


async def test_unknown_kind_of_sign_counts_as_a_peers_word(autojump_clock):
    host, _ = joined()
    message = TargetSign(target=host.targets[0].id, sign=99)
    payload = serialize(message, TCompactProtocolFactory())
    host.prober.sharing.exchange.handlers[Topic.TARGET_SIGNS]("x", payload)
    assert host.registry.leaving[host.targets[0].id].sign is LeavingSign.PEER


@pytest.mark.parametrize("topic", [Topic.LOAD_SAMPLES, Topic.TARGET_SIGNS])
@pytest.mark.parametrize("payload", [b"", b"\xff" * 40, b"\x19\xfc\xff\xff"])
async def test_malformed_message_is_dropped(autojump_clock, topic, payload):
    host, _ = joined()
    host.prober.sharing.exchange.handlers[topic](HostId("x"), payload)
    assert len(host.registry.targets(SERVICE)) == 3
    assert b"malformed" in host.metrics.render()[0]


async def test_hashes_follow_the_list(autojump_clock):
    host, _ = joined()
    host.registry.update([listed_target(9)])
    assert host.prober.sharing.hashes.known() == {target_hash("10.0.0.9:80")}


@pytest.mark.parametrize(
    ("left", "cold"), [(0.0, False), (3.0, True), (None, True)]
)
async def test_peers_learn_whether_a_target_is_warm(autojump_clock, left, cold):
    first, second = joined()
    for each in (first, second):
        each.registry.set_warm_up_rates({SERVICE: 5.6})
        # Now no host knows whether it is warm until a probe shows it.
        each.registry.set_evacuated(frozenset(["domain-a"]))
        each.registry.set_evacuated(frozenset())
    state = ReportedState.READY
    answer = ProbeAnswer(3, 2, state, 200, warm_up_seconds=left)
    first.probe.result = Success(answer)
    target, received = first.targets[0], second.targets[0]
    async with trio.open_nursery() as nursery:
        await nursery.start(first.prober.run)
        await trio.sleep(START_DELAY_SECONDS + 1)
        await first.prober.probe(target)
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    now = Deadline(trio.current_time())
    assert received.warmth.is_cold(now) is target.warmth.is_cold(now) is cold
    assert received.warmth.warm_at == pytest.approx(
        target.warmth.warm_at, abs=0.002
    )


# Guards against an age in a sample that its field of 32 bits can't hold.
async def test_what_was_said_a_month_ago_is_sent_on(autojump_clock):
    first, second = joined()
    target, received = first.targets[0], second.targets[0]
    then = Deadline(trio.current_time() - 30 * 24 * 3600)
    first.registry.set_warm_up_rates({SERVICE: 5.6})
    first.registry.note_warmth(target, then, then)
    target.rate_limit.note(7.0, then)
    async with trio.open_nursery() as nursery:
        await nursery.start(first.prober.run)
        await trio.sleep(START_DELAY_SECONDS + 1)
        first.report(target, 3)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert received.report.in_flight == 3
    assert received.rate_limit.rate == 7.0
