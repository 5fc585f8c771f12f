"""Play a fleet's quotas in virtual time, without a network.

The nodes exchange their real messages, which can be lost, repeated, delayed
or cut off. Each request is judged by token buckets that see all hosts at once.
"""

import dataclasses
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence

from agatetack.generated.quotas.ttypes import QuotaShares, QuotaUse
from agatetack.identity.accounts import AccountTable, ClientAccount
from agatetack.ids import ClientAccountId, HostId
from agatetack.peers.exchange import Topic
from agatetack.quotas.decision import limits_of
from agatetack.quotas.node import FleetView, Outgoing, QuotaNode, Reach
from agatetack.settings.model import QuotasSettings
from agatetack.thrift_codec import decode

ONE_WAY_SECONDS = 0.0015
"""Time of a message from one host to another."""

LIVE_SECONDS = 2.2
"""Time for which a silent host is still considered live."""

GROUP_HOSTS = 18
"""Mean number of hosts in a group."""

MAX_MESH_HOSTS = 49
"""Most hosts that are not divided into groups."""

QUOTAS = QuotasSettings(
    window_seconds=5.0, overshoot_ratio=0.1, overshoot_slack=20.0
)
"""The bounds of the deployments that have client accounts."""


def make_account(
    name: str, rate: float, burst: float | None = None
) -> ClientAccount:
    """Return an account; its burst is one second's requests if None."""
    return ClientAccount(
        ClientAccountId(name),
        requests_per_second=rate,
        burst=max(1.0, rate) if burst is None else burst,
    )


class Reference:
    """A token bucket that sees the requests of all hosts at once."""

    def __init__(self, account: ClientAccount):
        """Start with a full bucket."""
        self.rate = account.requests_per_second
        self.burst = max(1.0, account.burst)
        self.level = self.burst
        self.at = 0.0

    def has_room(self, now: float) -> bool:
        """Return whether a request is within rate and burst."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        return self.level >= 1.0

    def take(self) -> None:
        """Count a request; a debt is not kept."""
        self.level = max(0.0, self.level - 1.0)


@dataclasses.dataclass(slots=True)
class Outcome:
    """One request.

    Attributes:
        at: When it was made.
        host: At which host.
        retry_at: When it should be repeated; None if it was admitted.
        below: Whether a bucket of all requests had room for it.
        unused: Whether a bucket of the admitted requests had room for it.
    """

    at: float
    host: HostId
    retry_at: float | None
    below: bool
    unused: bool


class QuotaFleet:
    """Hosts, their links and the requests of some accounts.

    Attributes:
        nodes: The running hosts.
        listed: The hosts in the platform's list.
        outcomes: All requests, by account.
        received: Number of messages that each host received.
        by_topic: Number of messages received, by topic.
        cut_at: When the links of a host with all others were cut.
        leaders: Overrides who is first leader, by host.
        loss: Share of messages that is lost.
        repeats: Share of messages that arrives twice.
        jitter_seconds: Most time by which messages are delayed further.
    """

    def __init__(
        self,
        hosts: int,
        accounts: Sequence[ClientAccount],
        seed: int,
        settings: QuotasSettings = QUOTAS,
    ):
        """Start `hosts` hosts that know `accounts`."""
        self.random = random.Random(seed)
        self.settings = settings
        self.now = 0.0
        self.counter = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.listed = [HostId(f"h{n}") for n in range(hosts)]
        self.nodes: dict[HostId, QuotaNode] = {}
        self.scheduled: dict[HostId, float] = {}
        self.paused: dict[HostId, float] = {}
        self.cut_at: dict[HostId, float] = {}
        self.dead_at: dict[HostId, float] = {}
        self.leaders: dict[HostId, HostId] = {}
        self.loss = self.repeats = self.jitter_seconds = 0.0
        self.received: Counter[HostId] = Counter()
        self.by_topic: Counter[Topic] = Counter()
        self.table = AccountTable(accounts)
        self.outcomes: dict[ClientAccountId, list[Outcome]] = {}
        self.ideal: dict[ClientAccountId, Reference] = {}
        self.actual: dict[ClientAccountId, Reference] = {}
        for account in accounts:
            self.outcomes[account.id] = []
            self.ideal[account.id] = Reference(account)
            self.actual[account.id] = Reference(account)
        self.group_count = 1
        if hosts > MAX_MESH_HOSTS:
            self.group_count = round(hosts / GROUP_HOSTS)
        for host in self.listed:
            self.start(host)

    def start(self, host: HostId) -> None:
        """Start a host, with a new incarnation."""
        incarnation = round(self.now * 1000) + 1
        node = QuotaNode(
            host,
            incarnation,
            self.settings,
            random.Random(self.random.random()),
        )
        node.set_accounts(self.table, self.now)
        self.nodes[host] = node
        self.dead_at.pop(host, None)
        self.scheduled[host] = float("inf")
        self._schedule_poll(host)

    def kill(self, host: HostId) -> None:
        """End a host, which stays listed."""
        del self.nodes[host]
        self.dead_at[host] = self.now

    def configure(self, accounts: Sequence[ClientAccount]) -> None:
        """Put other accounts in force at all hosts."""
        self.table = AccountTable(accounts)
        for account in accounts:
            self.outcomes.setdefault(account.id, [])
            for references in (self.ideal, self.actual):
                if account.id in references:
                    references[account.id].rate = account.requests_per_second
                    references[account.id].burst = max(1.0, account.burst)
                else:
                    references[account.id] = Reference(account)
        for host, node in self.nodes.items():
            node.set_accounts(self.table, self.now)
            self._schedule_poll(host)

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Have `action` called at `time`."""
        heapq.heappush(self.events, (time, next(self.counter), action))

    def run(self, until: float) -> None:
        """Play all events up to a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def ask_at_rate(
        self,
        name: str,
        rate: float,
        start: float,
        end: float,
        hosts: Sequence[HostId] | None = None,
    ) -> None:
        """Have an account make requests at random hosts, as a Poisson process.

        Args:
            name: The account.
            rate: Requests a second.
            start: When it begins.
            end: When it ends.
            hosts: The hosts it asks; all if None.
        """

        def ask() -> None:
            self.ask(name, self.random.choice(hosts or self.listed))
            next_ask()

        def next_ask() -> None:
            time = max(self.now, start) + self.random.expovariate(rate)
            if time < end:
                self.at(time, ask)

        next_ask()

    def ask(self, name: str, host: HostId) -> None:
        """Make one request at a host; it is lost if the host is dead."""
        if host not in self.nodes:
            return
        if self.now < self.paused.get(host, 0.0):
            self.at(self.paused[host], lambda: self.ask(name, host))
            return
        account = self.table.by_id[ClientAccountId(name)]
        below = self.ideal[account.id].has_room(self.now)
        unused = self.actual[account.id].has_room(self.now)
        if below:
            self.ideal[account.id].take()
        retry_at = self.nodes[host].admit(account, self.now)
        if retry_at is None:
            self.actual[account.id].take()
        self.outcomes[account.id].append(
            Outcome(self.now, host, retry_at, below, unused)
        )
        self._schedule_poll(host)

    def refund(self, name: str, host: HostId) -> None:
        """Return the credit of the latest admitted request at a host."""
        account = self.table.by_id[ClientAccountId(name)]
        self.nodes[host].refund(account, self.now)
        for index in reversed(range(len(self.outcomes[account.id]))):
            outcome = self.outcomes[account.id][index]
            if outcome.host == host and outcome.retry_at is None:
                del self.outcomes[account.id][index]
                break
        self._schedule_poll(host)

    def _schedule_poll(self, host: HostId) -> None:
        due = max(self.now, self.nodes[host].due)
        if due < self.scheduled[host]:
            self.scheduled[host] = due
            self.at(due, lambda: self._poll(host))

    def _poll(self, host: HostId) -> None:
        if host not in self.nodes or self.now < self.scheduled[host]:
            return
        self.scheduled[host] = float("inf")
        if self.now < self.paused.get(host, 0.0):
            self.scheduled[host] = self.paused[host]
            self.at(self.paused[host], lambda: self._poll(host))
            return
        node = self.nodes[host]
        if node.due <= self.now:
            for message in node.poll(self._view(host), self.now):
                for receiver in self._receivers(host, message):
                    self._send(host, receiver, message)
        self._schedule_poll(host)

    def group(self, host: HostId) -> list[HostId]:
        """Return the listed hosts of a host's group, the leaders first."""
        number = self.listed.index(host) % self.group_count
        return self.listed[number :: self.group_count]

    def _sees(self, host: HostId, other: HostId) -> bool:
        """Return whether `host` considers `other` live."""
        if other == host:
            return True
        lost = min(
            self.cut_at.get(host, self.now),
            self.cut_at.get(other, self.now),
            self.dead_at.get(other, self.now),
        )
        return self.now - lost <= LIVE_SECONDS

    def _view(self, host: HostId) -> FleetView:
        group = [h for h in self.group(host) if self._sees(host, h)]
        collector = self.leaders.get(host, group[0])
        others = [h for h in group if h not in (collector, host)]
        return FleetView(
            collector,
            others[0] if others else None,
            len(group),
            len(self.listed),
            self.group_count,
        )

    def _receivers(self, host: HostId, message: Outgoing) -> Iterator[HostId]:
        if message.reach is Reach.ONE:
            yield message.receiver
        elif message.reach is Reach.GROUP:
            yield from (h for h in self.group(host) if h != host)
        elif self._view(host).collector == host:
            for number in range(self.group_count):
                group = self.listed[number :: self.group_count]
                if host not in group:
                    yield from [h for h in group if self._sees(host, h)][:2]

    def _send(
        self, sender: HostId, receiver: HostId, message: Outgoing
    ) -> None:
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.repeats else 1
        for _ in range(copies):
            delay = ONE_WAY_SECONDS + self.jitter_seconds * self.random.random()
            self.at(
                self.now + delay,
                lambda: self._deliver(sender, receiver, message),
            )

    def _deliver(
        self, sender: HostId, receiver: HostId, message: Outgoing
    ) -> None:
        if (
            receiver not in self.nodes
            or sender in self.cut_at
            or receiver in self.cut_at
        ):
            return
        if self.now < self.paused.get(receiver, 0.0):
            self.at(
                self.paused[receiver],
                lambda: self._deliver(sender, receiver, message),
            )
            return
        self.received[receiver] += 1
        self.by_topic[message.topic] += 1
        node = self.nodes[receiver]
        if message.topic is Topic.QUOTA_SHARES:
            shares = decode(QuotaShares, message.payload)
            node.read_shares(sender, shares, self.now)
        else:
            use = decode(QuotaUse, message.payload)
            if message.topic is Topic.QUOTA_USE:
                node.read_use(sender, use, self.now)
            else:
                node.read_sums(sender, use, self.now)
        self._schedule_poll(receiver)


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """How one account fared.

    Attributes:
        asked: Requests made.
        admitted: Those admitted.
        wrongly_refused: Refused ones that a bucket of all requests admits.
        unused_refused: Refused ones for which a bucket of the admitted
            requests had room.
        peak: Most requests admitted in any window.
        bound: Most requests that may be admitted in one.
    """

    asked: int
    admitted: int
    wrongly_refused: int
    unused_refused: int
    peak: int
    bound: float


def count_peak(times: Sequence[float], window: float) -> int:
    """Return the highest number of `times` in any window."""
    peak = first = 0
    for index, time in enumerate(times):
        while times[first] <= time - window:
            first += 1
        peak = max(peak, index - first + 1)
    return peak


def bound_of(account: ClientAccount, settings: QuotasSettings) -> float:
    """Return how many requests may be admitted in a window."""
    limits = limits_of(account, settings)
    in_window = limits.rate * settings.window_seconds
    return in_window + limits.burst + limits.tolerance


def figures(
    fleet: QuotaFleet,
    name: str,
    start: float = 0.0,
    end: float = float("inf"),
) -> Figures:
    """Return how an account fared between two times."""
    account_id = ClientAccountId(name)
    found = [o for o in fleet.outcomes[account_id] if start <= o.at < end]
    admitted = [o.at for o in found if o.retry_at is None]
    refused = [o for o in found if o.retry_at is not None]
    return Figures(
        len(found),
        len(admitted),
        sum(o.below for o in refused),
        sum(o.unused for o in refused),
        count_peak(admitted, fleet.settings.window_seconds),
        bound_of(fleet.table.by_id[account_id], fleet.settings),
    )
