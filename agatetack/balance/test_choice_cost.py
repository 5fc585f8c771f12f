"""Test that the choice of a target is cheap, and the same as a full comparison.

Every message of a peer leads to a choice while a request waits, over all
targets of the service.
"""

import dataclasses
import math
import random

import pytest
import trio
import trio.testing

from agatetack.admission.controller import PermitRequest
from agatetack.admission.service import ServiceAdmission
from agatetack.balance.cold_share import ColdShare
from agatetack.balance.fleet_view import (
    ABOVE_KNEE_FACTOR,
    CONNECT_COST_RATIO,
    FAILURE_COST_RATIO,
    LARGE_ANSWER_BYTES,
    MIN_TYPICAL_SECONDS,
    OTHER_DOMAIN_COST_RATIO,
    OTHER_GROUP_COST_RATIO,
    TIE_RATIO,
    FleetView,
)
from agatetack.balance.learning import FAILURES_TO_AVOID
from agatetack.balance.pushback_share import PushbackShare
from agatetack.balance.rate_share import RateShare
from agatetack.balance.room import is_above_knee
from agatetack.balance.start_share import StartShare
from agatetack.balance.target_share import CombinedShares
from agatetack.balance.test_cold_share import host
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.peers.exchange import NoExchange
from agatetack.settings.defaults import default_settings
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, ReportSource, TargetStatus
from agatetack.testing.targets import (
    SERVICE,
    listed_target,
    make_request,
    make_route,
)

SETTINGS = default_settings()
TARGETS = 61
SLOTS = 4
REPORTS = 50
NOW = Deadline(100.0)


class FullComparison(FleetView):
    """Computes every cost of every choice, by the terms of the cost."""

    def choose(self, candidates, now):
        """Return one of the nearly best candidates."""
        typical = max(self.update_typical(candidates, now), MIN_TYPICAL_SECONDS)
        limit = typical * self.settings.balance.slow_ratio
        costs = [self.full(t, now, typical, limit) for t in candidates]
        if min(costs) == math.inf:
            costs = [self.cost(t, now, typical) for t in candidates]
        near = min(costs) + TIE_RATIO * typical
        ties = [
            target
            for target, cost in zip(candidates, costs, strict=True)
            if cost <= near and self.has_free_slot(target, now)
        ]
        return self.rng.choice(ties) if ties else None

    def full(self, target, now, typical, limit):
        """Return the cost, or an infinite one to avoid or to try the target."""
        learned = target.learned
        if learned.peer_measured_at > learned.peer_applied_at:
            self.apply_peer_measurement(target, limit, now)
        slow = learned.service_seconds is not None and (
            learned.service_seconds > limit
        )
        if not slow and target.failures < FAILURES_TO_AVOID:
            return self.cost(target, now, typical)
        if now < learned.trial_at or target.in_flight:
            return math.inf
        if not self.has_free_slot(target, now):
            return math.inf
        self.postpone_trial(target, now)
        return -math.inf

    def cost(self, target, now, typical):
        """Return the sum of all terms."""
        load = self.expected_load(target, now)
        service = typical * self.slowness(target, now)
        if is_above_knee(load + 1, target.slots):
            service *= ABOVE_KNEE_FACTOR
        wait = max(0.0, load + 1 - target.slots) / target.slots
        cost = self.round_trip_seconds(target) + service * (1 + wait)
        if not target.idle_connections:
            cost += CONNECT_COST_RATIO * typical
        if not target.all_peers_report:
            cost += OTHER_GROUP_COST_RATIO * typical
        if target.failure_domain != self.domain:
            size_ratio = min(1.0, target.answer_bytes / LARGE_ANSWER_BYTES)
            cost += OTHER_DOMAIN_COST_RATIO * size_ratio * typical
        cost += self.extra_cost_ratio(target, now) * typical
        rate = self.failure_rate(target, now)
        return cost + FAILURE_COST_RATIO * rate * typical


def make_targets(rng, full):
    """Return targets in random states; all without a free slot if `full`."""
    registry = TargetRegistry(SETTINGS, Metrics())
    registry.update(
        [
            listed_target(n + 1, domain=rng.choice(("domain-a", "domain-b")))
            for n in range(rng.randint(1, 12))
        ]
    )
    targets = registry.targets(SERVICE)
    cold = rng.random() < 0.3
    for target in targets:
        ready = not cold or rng.random() < 0.7
        target.status = TargetStatus.READY if ready else TargetStatus.COLD
        target.status_since = Deadline(NOW - rng.uniform(0.0, 2.0))
        target.slots = rng.choice((2, 4, 6))
        target.in_flight = rng.choice((0, 0, 1, 3))
        target.peer_in_flight = rng.randint(0, 4)
        target.idle_connections = rng.randint(0, 1)
        target.all_peers_report = rng.random() < 0.8
        target.answer_bytes = rng.choice((0.0, 5000.0, 90000.0))
        target.failures = rng.choice((0, 0, 0, 2))
        if rng.random() < 0.8:
            target.report = LoadReport(
                in_flight=rng.randint(0, 6),
                slots=target.slots,
                own_in_flight=rng.randint(0, 2),
                peer_in_flight=rng.randint(0, 2),
                at=Deadline(NOW - rng.uniform(0.0, 4.0)),
                source=ReportSource.PEER,
                slowness=rng.choice((0.8, 1.0, 3.0)),
            )
        learned = target.learned
        learned.service_seconds = rng.choice((None, 0.1, 0.12, 0.9))
        learned.trial_at = NOW + rng.uniform(-1.0, 1.0)
        learned.slow = rng.random() < 0.2
        learned.shed_count = rng.choice((0, 0, 1))
        learned.shed_until = NOW + rng.uniform(-1.0, 0.1)
        learned.failure_rate = rng.choice((0.0, 0.0, 0.3))
        learned.failure_rate_at = NOW - 1.0
        if rng.random() < 0.3:
            learned.note_peer_measurement(rng.choice((0.1, 2.0)), NOW - 0.1)
        if full:
            if rng.random() < 0.5:
                target.free_slot_at = Deadline(NOW + 1.0)
            else:
                target.peer_in_flight = target.slots
    return targets


# Guards against a shortcut that changes which target is chosen.
@pytest.mark.parametrize("full", [False, True])
@pytest.mark.parametrize("seed", range(150))
async def test_a_choice_is_that_of_a_full_comparison(seed, full):
    found = []
    for kind in (FleetView, FullComparison):
        targets = make_targets(random.Random(seed), full)
        policy = kind(SETTINGS, random.Random(seed))
        chosen = []
        for step in range(3):
            target = policy.choose(targets, Deadline(NOW + 0.05 * step))
            chosen.append(target and target.id)
            if target is not None:
                target.in_flight += 1
        learned = [dataclasses.asdict(each.learned) for each in targets]
        found.append((chosen, learned, policy.rng.getstate()))
    assert found[0] == found[1]
    assert not full or found[0][0] == [None] * 3


class Fleet:
    """The admission of one host, its shares, and its targets."""

    def __init__(self):
        """Start with ready targets that have reported to be idle."""
        metrics = Metrics()
        self.registry = TargetRegistry(SETTINGS, metrics)
        self.registry.update([listed_target(n + 1) for n in range(TARGETS)])
        self.targets = self.registry.targets(SERVICE)
        listed = [host(n) for n in range(3)]
        exchange = NoExchange()
        self.start_share = StartShare(self.registry, exchange, list)
        self.shares = [
            PushbackShare(metrics),
            self.start_share,
            ColdShare(SETTINGS, self.registry, lambda: listed),
            RateShare(
                SETTINGS, self.registry, lambda: listed, exchange, metrics
            ),
        ]
        self.share = CombinedShares(self.shares)
        self.policy = FleetView(SETTINGS, random.Random(1))
        self.admission = ServiceAdmission(
            SETTINGS, self.registry, self.policy, metrics, share=self.share
        )
        for target in self.targets:
            target.status = TargetStatus.READY
            self.report(target, 0)

    def report(self, target, load):
        """Apply a peer's report and its count of requests."""
        target.peer_in_flight = load
        now = Deadline(trio.current_time())
        report = LoadReport(
            load, SLOTS, 0, now, ReportSource.PEER, peer_in_flight=load
        )
        self.registry.note_report(target, report)


# Guards against work for each target and each share in each of the hundreds of
# messages a second that a busy host receives while a request waits.
async def test_reports_cost_little_while_a_request_waits(
    autojump_clock, monkeypatch
):
    fleet = Fleet()
    for target in fleet.targets:
        fleet.report(target, SLOTS)
    calls = {"allows": 0, "is_due": 0, "cost": 0, "clock": 0}

    def count(owner, name, key):
        original = getattr(owner, name)

        def counted(*args):
            calls[key] += 1
            return original(*args)

        monkeypatch.setattr(owner, name, counted)

    async with trio.open_nursery() as nursery:
        request = make_request(seconds=1000.0)
        wanted = PermitRequest(make_route(), request, request.deadline)
        nursery.start_soon(fleet.admission.acquire, wanted)
        await trio.testing.wait_all_tasks_blocked()
        for share in fleet.shares:
            count(share, "allows", "allows")
            count(share, "is_due", "is_due")
        count(fleet.policy, "cost", "cost")
        count(trio, "current_time", "clock")
        for number in range(REPORTS):
            fleet.report(fleet.targets[number], SLOTS)
        assert calls["allows"] == calls["is_due"] == calls["cost"] == 0
        # The report itself, its arrival in the registry, and the choice.
        assert calls["clock"] <= 4 * REPORTS
        fleet.report(fleet.targets[0], 0)
        assert calls["cost"] == TARGETS
        nursery.cancel_scope.cancel()


# Guards against a share that restricts a target and is not asked about it.
async def test_a_share_names_all_targets_that_it_restricts(autojump_clock):
    fleet = Fleet()
    now = Deadline(trio.current_time())
    until = Deadline(now + 5.0)
    rng = random.Random(1)
    for target in fleet.targets:
        state = rng.randrange(5)
        if state == 0:
            target.pushback_until = Deadline(now + rng.uniform(-1.0, 1.0))
        elif state == 1:
            target.rate_limit.note(1.3, now)
        elif state == 2:
            target.warm_up_rate = 3.0
            target.warmth.note(Deadline(now + rng.uniform(-1.0, 1.0)), now)
    for share in (*fleet.shares, fleet.share):
        restricted = {t.id for t in share.restricted(fleet.targets, now)}
        assert len(restricted) < len(fleet.targets)
        for target in fleet.targets:
            if target.id in restricted:
                continue
            assert share.allows(target)
            assert not share.is_due(target, now)
            assert share.next_send_at(target, now) == now
            assert share.fleet_next_send_at(target, now) == now
            assert share.max_requests_until(target, now, until) == math.inf
    assert restricted
    fleet.start_share.begin()
    assert len(fleet.share.restricted(fleet.targets, now)) == TARGETS
