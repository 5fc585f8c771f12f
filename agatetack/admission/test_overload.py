"""Compare the ways to refuse requests of an overloaded service.

A model in virtual time: hosts that see few requests each, and targets of four
slots, which hosts fill up to the last one before they slow down.
"""

import dataclasses
import heapq
import itertools
import random
import sys
from collections import Counter, defaultdict

import pytest

from agatetack.admission.controller import PermitRequest
from agatetack.admission.overload import AdmissionLevel, SlotShares
from agatetack.admission.pressure import (
    STALE_SECONDS,
    Pressure,
    PressureMeter,
)
from agatetack.admission.queue import Order, Waiter
from agatetack.admission.ranks import RankOrder, rank_of
from agatetack.identity.accounts import ClientAccount
from agatetack.ids import CallerId, Deadline, RequestId
from agatetack.messages import BytesBody, CallerRequest
from agatetack.targets.state import LoadReport, ReportSource
from agatetack.testing.targets import make_route

SLOTS = 4
KNEE = 0.8
SLOWDOWN = 1.7
USABLE = 3
"""Slots that hosts fill of a target that slows down above `KNEE`."""

SERVICE_SECONDS = 0.35
TARGET_LATENCY = 0.9
DEADLINE = 2.0
TURN_SECONDS = 0.0014
GROUP = 18
"""Hosts that take turns at a freed slot."""

COLD_REQUESTS = 8
"""Requests that a cold target runs slowly."""

LATE_YIELD = 0.02
STANDING_SECONDS = 0.1
BURST_AT, BURST_END, END = 12.0, 18.0, 24.0
SIZES = (17, 107, 229)
RANK_SHARES = {0: 0.3, 1: 0.3, 2: 0.4}
ACCOUNTS_PER_RANK = 12
WAYS = ("today", "order", "level", "shares")


@dataclasses.dataclass(frozen=True)
class Load:
    """What is asked for, relative to what the targets can run.

    Attributes:
        use: Use of the usable slots before the burst.
        factors: By how much more each rank asks for in the burst.
        account_factor: By how much more the largest account of rank 1 asks.
        retries: Whether refused callers come back at once, up to three times.
        targets_left: Ratio of the targets that stay in the burst.
        cold: Whether requests take three times as long at first.
        seconds: Length of the burst.
        restarts: Whether half of the hosts restart 2 s after the burst begins.
    """

    use: float = 0.85
    factors: dict[int, float] = dataclasses.field(default_factory=dict)
    account_factor: float = 1.0
    retries: bool = False
    targets_left: float = 1.0
    cold: bool = False
    seconds: float = 6.0
    restarts: bool = False


LOADS = {
    "low rank 2.4": Load(factors={2: 2.4}),
    "high rank 1.8": Load(factors={0: 1.8}, use=0.9, seconds=3.0),
    "one account 8": Load(account_factor=8.0),
    "retries at once": Load(factors={2: 2.4}, retries=True),
    "half of targets": Load(targets_left=0.5),
    "cold targets": Load(cold=True),
}


class Host:
    """One host's queue, with the real order, pressure and control."""

    def __init__(self, way):
        self.order = RankOrder()
        self.waiters = []
        self.control = {"level": AdmissionLevel, "shares": SlotShares}.get(way)
        self.control = self.control and self.control()
        self.meter = PressureMeter(lambda target, _: target.free)
        self.standing_since = None
        self.mean_interval = 0.0
        self.last_served = 0.0


@dataclasses.dataclass
class Target:
    """One target."""

    running: int = 0
    alive: bool = True
    done: int = 0
    report: LoadReport | None = None

    cold_for: int = 0

    @property
    def warmth(self):
        return self

    def is_cold(self, now):
        return self.done < self.cold_for

    @property
    def free(self):
        return self.alive and self.running < USABLE


class Model:
    """One service with its hosts, callers and targets."""

    def __init__(self, way, load, hosts, seed=1):
        self.way, self.load = way, load
        self.rng = random.Random(seed)
        # The same arrivals with each way.
        self.arrivals = random.Random(seed + 1)
        self.hosts = [Host(way) for _ in range(hosts)]
        cold_for = COLD_REQUESTS if load.cold else 0
        self.targets = [
            Target(cold_for=cold_for) for _ in range(round(hosts * 0.57))
        ]
        self.free_targets = set(range(len(self.targets)))
        self.rate = load.use * len(self.targets) * USABLE / SERVICE_SECONDS
        self.route = make_route(
            target_latency_seconds=TARGET_LATENCY, deadline_seconds=DEADLINE
        )
        self.accounts, self.weights = [], []
        for rank, share in RANK_SHARES.items():
            # One large account of each rank, the others alike.
            parts = [ACCOUNTS_PER_RANK, *[1] * (ACCOUNTS_PER_RANK - 1)]
            for number, part in enumerate(parts):
                name = f"{rank}-{number}"
                self.accounts.append(ClientAccount(name, priority=rank))
                self.weights.append(share * part / sum(parts))
        self.events, self.sequence = [], itertools.count()
        self.numbers = itertools.count()
        self.waiting_hosts = set()
        self.totals = defaultdict(Counter)
        self.now = 0.0
        self.last_refused_at = 0.0

    def at(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.sequence), action, args))

    def run(self):
        self.at(0.0, self.arrive_next)
        if self.load.targets_left < 1:
            self.at(BURST_AT, self.lose_targets)
        if self.load.restarts:
            self.at(BURST_AT + 2.0, self.restart_half)
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    def in_burst(self):
        return BURST_AT <= self.now < BURST_AT + self.load.seconds

    def arrive_next(self):
        weights = self.weights
        if self.in_burst():
            weights = [
                weight
                * self.load.factors.get(account.priority, 1.0)
                * (self.load.account_factor if account.id == "1-0" else 1.0)
                for account, weight in zip(self.accounts, weights, strict=True)
            ]
        account = self.arrivals.choices(self.accounts, weights)[0]
        self.arrive(account, 0)
        gap = self.arrivals.expovariate(self.rate * sum(weights))
        if self.now + gap < END:
            self.at(self.now + gap, self.arrive_next)

    def arrive(self, account, tries):
        now = Deadline(self.now)
        host = self.rng.choice(self.hosts)
        request = CallerRequest(
            RequestId(f"r{next(self.numbers)}"),
            CallerId("c"),
            b"GET",
            b"/",
            b"",
            [],
            BytesBody(b""),
            Deadline(now + DEADLINE),
            None,
            now,
            account=account,
        )
        wanted = PermitRequest(self.route, request, request.deadline)
        if not tries:
            self.count(wanted, "asked")
        host.order.note_arrival(wanted, now)
        if host.control:
            host.control.note_arrival(wanted, now)
        if self.free_targets:
            self.start(host, Waiter(wanted, now), tries)
            return
        late = now + 0.5 * SERVICE_SECONDS
        ahead = len(host.waiters)
        if self.way != "today":
            ahead = host.order.count_ahead(host.waiters, wanted)
        if self.newest_first(host):
            ahead = 0
        if late + ahead * host.mean_interval > wanted.deadline:
            self.refuse(wanted, tries, "no time")
            return
        if host.control:
            pressure = host.meter.measure(
                self.targets,
                [(now - each.since, longest_wait()) for each in host.waiters],
                now,
            )
            host.control.update(pressure, now)
            if not host.control.admits(wanted):
                host.control.refused.add(1, now)
                self.refuse(wanted, tries, "overloaded")
                return
        waiter = Waiter(wanted, now)
        if not host.waiters:
            host.standing_since = host.last_served = now
        host.waiters.append(waiter)
        self.waiting_hosts.add(host)
        until = wanted.deadline - 0.5 * SERVICE_SECONDS
        self.at(until, self.give_up, host, waiter, tries)

    def newest_first(self, host):
        since = host.standing_since
        return since is not None and self.now - since >= STANDING_SECONDS

    def give_up(self, host, waiter, tries):
        if waiter in host.waiters:
            self.remove(host, waiter)
            host.meter.note_wait(self.now - waiter.since, longest_wait())
            self.refuse(waiter.wanted, tries, "waited in vain")

    def remove(self, host, waiter):
        host.waiters.remove(waiter)
        if not host.waiters:
            host.standing_since = None
            self.waiting_hosts.discard(host)

    def refuse(self, wanted, tries, reason):
        self.count(wanted, reason)
        if self.load.retries and tries < 3:
            delay = self.now + 0.1
            self.at(delay, self.arrive, wanted.request.account, tries + 1)

    def start(self, host, waiter, tries=0):
        now = Deadline(self.now)
        number = self.rng.choice(sorted(self.free_targets))
        target = self.targets[number]
        target.running += 1
        if not target.free:
            self.free_targets.discard(number)
        host.order.note_served(waiter.wanted, now)
        host.meter.note_wait(now - waiter.since, longest_wait())
        if host.control:
            host.control.note_served(now)
        seconds = SERVICE_SECONDS * self.rng.lognormvariate(-0.054, 0.33)
        if target.running > KNEE * SLOTS:
            seconds *= SLOWDOWN
        if target.is_cold(now):
            seconds *= 3
        self.at(now + seconds, self.finish, number, waiter.wanted)

    def finish(self, number, wanted):
        target = self.targets[number]
        target.running -= 1
        target.done += 1
        target.report = LoadReport(
            target.running, SLOTS, 0, Deadline(self.now), ReportSource.ANSWER
        )
        latency = self.now - wanted.request.arrived
        self.count(wanted, "in time" if latency <= TARGET_LATENCY else "late")
        if not target.alive:
            return
        self.free_targets.add(number)
        if self.waiting_hosts:
            self.hand_over()

    def hand_over(self):
        """Give a freed slot to the host that comes first in its turn."""
        now = Deadline(self.now)
        hosts = sorted(self.waiting_hosts, key=id_of(self.hosts))
        hosts = self.rng.sample(hosts, min(GROUP, len(hosts)))
        best = None
        for turn, host in enumerate(hosts):
            waiter = self.next_waiter(host, now)
            wait = turn * TURN_SECONDS
            if not in_time(waiter, now):
                wait += LATE_YIELD
            if self.way != "today":
                wait += host.order.yield_seconds(waiter.wanted, now)
            if best is None or wait < best[0]:
                best = (wait, host, waiter)
        _, host, waiter = best
        interval = now - host.last_served
        host.last_served = now
        host.mean_interval += 0.1 * (interval - host.mean_interval)
        self.remove(host, waiter)
        self.start(host, waiter)

    def next_waiter(self, host, now):
        order = Order.OLDEST_FIRST
        if self.newest_first(host):
            order = Order.NEWEST_FIRST
        if self.way != "today":
            return host.order.candidates(
                host.waiters, order, lambda w: in_time(w, now), now
            )[0]
        waiters = host.waiters
        if order is Order.NEWEST_FIRST:
            waiters = waiters[::-1]
        return next((w for w in waiters if in_time(w, now)), waiters[0])

    def lose_targets(self):
        kept = round(len(self.targets) * self.load.targets_left)
        for number in range(kept, len(self.targets)):
            self.targets[number].alive = False
            self.free_targets.discard(number)

    def restart_half(self):
        """Have every second host forget all that it measured and counted."""
        for host in self.hosts[::2]:
            fresh = Host(self.way)
            host.order, host.meter = fresh.order, fresh.meter
            host.control = fresh.control

    def count(self, wanted, what):
        counted = BURST_AT <= wanted.request.arrived < BURST_END + 2.0
        if self.load.cold:
            counted = wanted.request.arrived < 8.0
        if what == "overloaded":
            self.last_refused_at = self.now
        if counted:
            self.totals[rank_of(wanted)][what] += 1
            self.totals[wanted.request.account.id][what] += 1
            self.totals["all"][what] += 1

    def ratio(self, what, key="all"):
        return self.totals[key][what] / max(1, self.totals[key]["asked"])


def id_of(hosts):
    places = {id(host): place for place, host in enumerate(hosts)}
    return lambda host: places[id(host)]


def longest_wait():
    return TARGET_LATENCY - 0.75 * SERVICE_SECONDS


def in_time(waiter, now):
    return now < waiter.wanted.request.arrived + longest_wait()


@pytest.mark.parametrize("hosts", SIZES)
@pytest.mark.parametrize("use", [0.5, 0.8, 0.95])
def test_nothing_is_refused_while_there_is_room(use, hosts):
    """Guards against refusals for a chance run of arrivals at a few hosts."""
    model = Model("shares", Load(use=use), hosts).run()
    assert not model.totals["all"]["overloaded"]
    assert model.ratio("in time") > 0.95


@pytest.mark.parametrize(
    ("name", "gain", "vain_ratio"),
    [
        # The least gain of rank 0 in answers in time, and the most requests
        # that wait in vain, relative to the code without ranks.
        ("low rank 2.4", 0.1, 0.75),
        ("high rank 1.8", 0.01, 1.1),
        ("one account 8", 0.2, 0.6),
        ("retries at once", 0.1, 0.75),
        ("half of targets", 0.3, 0.6),
        ("cold targets", 0.0, 1.1),
    ],
)
def test_shares_of_slots_keep_the_high_rank_in_time(name, gain, vain_ratio):
    """Guards against a burst of other requests that makes rank 0 late.

    It also guards against refusals that cost answers in time, and against
    requests that wait to their deadline in vain.
    """
    load = LOADS[name]
    today, order, shares = (
        Model(way, load, 107).run() for way in ("today", "order", "shares")
    )
    assert shares.ratio("in time", 0) >= today.ratio("in time", 0) + gain
    assert shares.ratio("in time") > today.ratio("in time") - 0.04
    assert shares.ratio("in time") > order.ratio("in time") - 0.03
    assert shares.ratio("waited in vain") <= vain_ratio * today.ratio(
        "waited in vain"
    )


@pytest.mark.parametrize("name", ["low rank 2.4", "one account 8"])
def test_no_rank_starves_in_an_overload(name):
    """Guards against a rank that is served less than a quarter as often."""
    model = Model("shares", LOADS[name], 107).run()
    mean = model.ratio("in time")
    for key in [*RANK_SHARES, *(account.id for account in model.accounts)]:
        assert model.ratio("in time", key) >= 0.25 * mean


@pytest.mark.parametrize("hosts", [17, 107])
def test_refusals_end_with_the_overload(hosts):
    """Guards against shares that stay low after the burst."""
    model = Model("shares", LOADS["low rank 2.4"], hosts).run()
    assert model.last_refused_at > BURST_AT
    assert model.last_refused_at < BURST_END + 3.0


@pytest.mark.parametrize("use", [0.8, 0.95])
def test_restart_of_half_of_the_hosts_refuses_nothing(use):
    """Guards against refusals of hosts that know no usual rates yet."""
    model = Model("shares", Load(use=use, restarts=True), 107).run()
    assert not model.totals["all"]["overloaded"]


def test_restart_of_half_of_the_hosts_in_an_overload():
    """Guards against hosts that admit everything after their restart."""
    load = LOADS["low rank 2.4"]
    kept = Model("shares", load, 107).run()
    load = dataclasses.replace(load, restarts=True)
    restarted = Model("shares", load, 107).run()
    for key in ("all", 0):
        assert restarted.ratio("in time", key) > (
            kept.ratio("in time", key) - 0.05
        )


FULL = Pressure(wait_ratio=2.0, full=True)


def wanted_of(account, number=0):
    """Return a request of `account`."""
    request = CallerRequest(
        RequestId(f"r{number}"),
        CallerId("c"),
        b"GET",
        b"/",
        b"",
        [],
        BytesBody(b""),
        Deadline(DEADLINE),
        None,
        Deadline(0.0),
        account=account,
    )
    return PermitRequest(make_route(), request, request.deadline)


def flood(control, seconds, pressure, start=0.0):
    """Send 10 requests a second of two ranks, of which 4 are served."""
    refused = Counter()
    high, low = (ClientAccount(f"{rank}", priority=rank) for rank in (0, 1))
    for number in range(round(seconds * 10)):
        now = Deadline(start + number / 10)
        account = high if number % 3 == 0 else low
        wanted = wanted_of(account, number)
        control.note_arrival(wanted, now)
        control.update(pressure, now)
        refused[account.id] += not control.admits(wanted)
        if number % 5 < 2:
            control.note_served(now)
    return refused


@pytest.mark.parametrize("make", [AdmissionLevel, SlotShares])
@pytest.mark.parametrize(
    "released",
    [
        # No report for some seconds: the state of the targets is not known.
        Pressure(wait_ratio=2.0, full=True, known=False),
        # There are free slots, though requests waited until just now.
        Pressure(wait_ratio=2.0, full=False),
    ],
)
def test_refusals_are_let_go(make, released):
    """Guards against a level that is stuck without reports or with room."""
    control = make()
    assert flood(control, 5.0, FULL).total() > 10
    flood(control, 1.1, released, start=5.0)
    assert not flood(control, 5.0, released, start=6.1).total()


@pytest.mark.parametrize("make", [AdmissionLevel, SlotShares])
def test_a_single_host_with_a_wrong_view_still_admits_each_rank(make):
    """Guards against a host that refuses all, as it believes all is full."""
    control = make()
    flood(control, 10.0, FULL)
    assert all(share > 0.01 for share in control.shares.values())
    shares = {rank: share for (rank, _), share in control.shares.items()}
    assert shares[1] <= shares[0]


def test_refused_callers_come_back_in_an_order_that_can_be_served():
    """Guards against callers that all come back in the same moment."""
    control = SlotShares()
    now = Deadline(0.0)
    for _ in range(10):
        control.note_served(now)
        control.refused.add(3, now)
    account = ClientAccount("a")
    back = sorted(
        control.retry_at(wanted_of(account, n), now, 1.0) for n in range(400)
    )
    # Three times as many were refused as were served in 2.9 s on average.
    assert back[0] >= 1.0
    assert back[-1] == pytest.approx(1.0 + 3 * 2.885, rel=0.02)
    for part in range(4):
        assert back[100 * part] == pytest.approx(1 + part * 2.16, abs=0.6)


@pytest.mark.parametrize(
    ("age", "known"), [(0.5, True), (STALE_SECONDS + 0.5, False)]
)
def test_pressure_without_reports_is_not_known(age, known):
    """Guards against refusals by what targets said seconds ago."""
    target = Target(running=USABLE)
    target.report = LoadReport(
        USABLE, SLOTS, 0, Deadline(10.0), ReportSource.ANSWER
    )
    meter = PressureMeter(lambda target, _: target.free)
    for _ in range(20):
        meter.note_wait(1.0, 1.0)
    pressure = meter.measure([target], [], Deadline(10.0 + age))
    assert pressure.known is known
    assert pressure.overloaded is known


def print_table(sizes=SIZES, loads=LOADS, ways=WAYS):
    """Print the figures of the design note."""
    for size, name in itertools.product(sizes, loads):
        for way in ways:
            model = Model(way, loads[name], size).run()
            print(
                f"{size:4} {name:16} {way:7}"
                f" in time {model.ratio('in time'):.3f}"
                f" late {model.ratio('late'):.3f}"
                f" vain {model.ratio('waited in vain'):.3f}"
                f" no time {model.ratio('no time'):.3f}"
                f" refused {model.ratio('overloaded'):.3f};"
                " in time by rank",
                *(f"{model.ratio('in time', r):.2f}" for r in RANK_SHARES),
                f"large {model.ratio('in time', '1-0'):.2f}",
                "refused by rank",
                *(f"{model.ratio('overloaded', r):.2f}" for r in RANK_SHARES),
                flush=True,
            )


if __name__ == "__main__":
    print_table(tuple(map(int, sys.argv[1:])) or SIZES)
