"""Test what reaches a target that turns cold unannounced, with pre-send probes.

Requests arrive at random times. No host limits them until a periodic or a
pre-send probe finds that the target is cold and the other hosts know of it.
Until then only the pre-send probes bound the number of requests; afterwards the
choice of one owner and its quiet time do.
"""

import random

import pytest
import trio
from returns.result import Failure, Success

from agatetack.admission.controller import (
    AdmissionController,
    AttemptResult,
    Permit,
    PermitRequest,
)
from agatetack.attempts.probing_admission import ProbingAdmission
from agatetack.balance.test_cold_share import (
    BOUND,
    WARM_UP_SECONDS,
    host,
    make_registry,
    make_share,
    max_in_a_second,
)
from agatetack.ids import Deadline
from agatetack.measure.budget import TokenBucket
from agatetack.metrics import Metrics
from agatetack.outcomes import RefusalReason, refuse
from agatetack.targets.presend_probe import PRE_SEND_PROBE_BURST
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import SERVICE, make_request, make_route

PROBE_SECONDS = 0.17
NOTIFY_SECONDS = 0.02
PRE_SEND_PROBE_SECONDS = 0.005
PRE_SEND_PROBES_PER_SECOND = 30
REQUESTS_PER_SECOND = 60
TARGETS = 3
WARM_BEFORE_SECONDS = 2.0
"""How long requests arrive before the targets turn cold, so that no budget for
pre-send probes is saved up."""


class CancelledPermit(Permit):
    """Permit for one target."""

    def __init__(self, target):
        self.target = target

    def answered_headers(self, latency):
        raise NotImplementedError

    def release(self, result):
        assert result is AttemptResult.CANCELLED


class OneTargetAdmission(AdmissionController):
    """Grants permits for one target if the share of cold targets allows it."""

    def __init__(self, share, target):
        self.share = share
        self.target = target

    def retry_at(self, route):
        raise NotImplementedError

    async def acquire(self, wanted):
        allowed = self.share.allows(self.target)
        if self.target.id in wanted.avoid or not allowed:
            return Failure(refuse(RefusalReason.NO_TARGET, "cold"))
        return Success(CancelledPermit(self.target))


class Host:
    """One host, which knows only what it has observed or received.

    Attributes:
        admissions: An admission controller for each target, in list order.
    """

    def __init__(self, fleet, number, listed):
        self.fleet = fleet
        self.listed = listed
        self.registry = make_registry(TARGETS)
        self.share = make_share(self.registry, listed.id, fleet.listed)
        self.targets = self.registry.targets(SERVICE)
        self.admissions = [
            ProbingAdmission(
                OneTargetAdmission(self.share, target), self, Metrics()
            )
            for target in self.targets
        ]
        self.buckets = {}
        for target in self.targets:
            bucket = TokenBucket(
                PRE_SEND_PROBES_PER_SECOND,
                lambda: len(fleet.listed),
                PRE_SEND_PROBE_BURST,
                start_seconds=0.0,
            )
            bucket.tokens = PRE_SEND_PROBE_BURST
            self.buckets[target.id] = bucket

    def take(self, target):
        return self.buckets[target.id].take()

    async def probe(self, target, deadline):
        await trio.sleep(PRE_SEND_PROBE_SECONDS)
        self.fleet.observe(target.id, self)
        now = Deadline(trio.current_time())
        return LoadReport(0, 9, 0, now, ReportSource.ANSWER)

    def note_cold(self, target_id, now):
        target = next(t for t in self.targets if t.id == target_id)
        warm_at = self.fleet.cold_at + WARM_UP_SECONDS
        target.warmth.note(Deadline(warm_at), now)

    async def send(self, place):
        target = self.targets[place]
        request = make_request()
        wanted = PermitRequest(make_route(), request, request.deadline)
        result = await self.admissions[place].acquire(wanted)
        if isinstance(result, Success):
            self.share.record_request(target)
            self.fleet.sent.setdefault(target.id, []).append(
                trio.current_time()
            )


class Fleet:
    """Hosts, and targets that all turn cold at `cold_at`.

    Attributes:
        sent: Times at which requests were sent, by target.
    """

    def __init__(self, count, nursery):
        self.nursery = nursery
        self.cold_at = trio.current_time() + WARM_BEFORE_SECONDS
        self.listed = [host(number) for number in range(count)]
        self.hosts = [Host(self, *each) for each in enumerate(self.listed)]
        self.sent = {}

    def observe(self, target_id, seen_by):
        """Let a host observe a target; if it is cold, it reports to others."""
        now = Deadline(trio.current_time())
        if now >= self.cold_at:
            seen_by.note_cold(target_id, now)
            self.nursery.start_soon(self._notify_others, target_id)

    async def _notify_others(self, target_id):
        await trio.sleep(NOTIFY_SECONDS)
        for each in self.hosts:
            each.note_cold(target_id, Deadline(trio.current_time()))

    async def probe(self, place):
        """Probe one target periodically, and just before it turns cold."""
        await trio.sleep(WARM_BEFORE_SECONDS % PROBE_SECONDS - 0.001)
        while True:
            await trio.sleep(PROBE_SECONDS)
            prober = self.hosts[place]
            self.observe(prober.targets[place].id, prober)

    async def send_load(self, rng):
        """Send to all targets, at random times and by random hosts."""
        rate = REQUESTS_PER_SECOND * TARGETS
        end = self.cold_at + WARM_UP_SECONDS
        while trio.current_time() < end:
            await trio.sleep(rng.expovariate(rate))
            sender = rng.choice(self.hosts)
            self.nursery.start_soon(sender.send, rng.randrange(TARGETS))


# Guards against too many requests at a target that turned cold.
@pytest.mark.parametrize("count", [17, 96])
@pytest.mark.parametrize("seed", range(5))
async def test_targets_that_turn_cold_while_requests_come_at_random(
    autojump_clock, count, seed
):
    async with trio.open_nursery() as nursery:
        fleet = Fleet(count, nursery)
        for place in range(TARGETS):
            nursery.start_soon(fleet.probe, place)
        await fleet.send_load(random.Random(seed))
        nursery.cancel_scope.cancel()
    assert len(fleet.sent) == TARGETS
    for times in fleet.sent.values():
        cold = [at for at in times if at >= fleet.cold_at]
        assert max_in_a_second(cold) <= BOUND
