"""Choose who appends an entry: the partition's coordinator or this host."""

import dataclasses
import math

import trio
import xxhash

from agatetack.claims.appender import PendingAppend
from agatetack.claims.background import BackgroundTasks
from agatetack.claims.coordinator_client import CoordinatorClient
from agatetack.claims.partition import Partition
from agatetack.generated.claims.ttypes import Entry, Verdict, VerdictKind
from agatetack.ids import Deadline, HostId
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange
from agatetack.settings.model import Settings

AVOID_SECONDS = 2.0
"""How long a coordinator is avoided after it failed to append an entry."""

NOT_APPENDED = frozenset((VerdictKind.FAILED, VerdictKind.NOT_READY))
"""Verdicts of a host that appended nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorClientId:
    """The coordinator that a client calls, and for which partition."""

    coordinator: HostId
    partition: int


class Router:
    """Appends entries to the log and returns their verdicts.

    Live hosts are ranked for each partition by a hash. The first one, the
    partition's coordinator, appends for all, so that one record carries the
    claims of many hosts. Only the log's order decides: a coordinator that is
    wrong, outdated or paused can delay a claim, but not grant one twice.
    """

    def __init__(
        self,
        settings: Settings,
        exchange: Exchange,
        metrics: Metrics,
        background: BackgroundTasks,
    ):
        """Choose among this host and the peers of `exchange`."""
        self.settings = settings
        self.exchange = exchange
        self.background = background
        self.clients: dict[CoordinatorClientId, CoordinatorClient] = {}
        self.avoided: dict[HostId, Deadline] = {}
        self.fallback_count = metrics.counter(
            "agatetack_claims_fallback_total",
            "Entries that a steward did not take, by reason.",
        )

    def append_rate(self, number: int) -> float:
        """Return the appends per second that this host may make to a partition.

        Hosts that see only some of the others have their own coordinator;
        the shares of all such groups add up to the fleet's rate.
        """
        claims = self.settings.claims
        share = claims.fleet_appends_per_second / claims.partitions
        fleet = max(1, self.exchange.fleet_size())
        if self.coordinator(number) is not None:
            return share / fleet
        seen = len(self.exchange.live_peers()) + 1
        return share * min(1.0, seen / fleet)

    def coordinator(self, number: int) -> HostId | None:
        """Return the coordinator of a partition, or None for this host."""
        now = trio.current_time()
        best_score = self._score(HostId(self.settings.host.id), number)
        coordinator = None
        for peer in self.exchange.live_peers():
            if peer.leaving or self.avoided.get(peer.id, -math.inf) > now:
                continue
            score = self._score(peer.id, number)
            if score > best_score:
                best_score = score
                coordinator = peer.id
        return coordinator

    def rank(self, number: int) -> int:
        """Return how many live hosts are ranked before this one."""
        own = self._score(HostId(self.settings.host.id), number)
        return sum(
            self._score(peer.id, number) > own
            for peer in self.exchange.live_peers()
        )

    def _score(self, host: HostId, number: int) -> int:
        return xxhash.xxh64_intdigest(f"{number}/{host}".encode())

    async def submit(
        self, partition: Partition, entry: Entry, deadline: Deadline
    ) -> Verdict:
        """Append `entry` through its coordinator and return the verdict.

        Returns:
            FAILED or NOT_READY if it was never appended and never will be,
            IN_DOUBT if it may have been, else the verdict of a fold.
        """
        pending = partition.watch(entry)
        try:
            with trio.move_on_at(deadline):
                return await self._settle(partition, pending, deadline)
        finally:
            partition.unwatch(pending)
        if pending.verdict is None and not pending.maybe_sent:
            return Verdict(VerdictKind.FAILED)
        return pending.verdict or Verdict(VerdictKind.IN_DOUBT)

    async def _settle(
        self, partition: Partition, pending: PendingAppend, deadline: Deadline
    ) -> Verdict:
        while pending.verdict is None:
            coordinator = self.coordinator(partition.number)
            if coordinator is None:
                return await self._append_here(partition, pending, deadline)
            verdict = await self._send(coordinator, partition, pending)
            if verdict is None:
                self._avoid(coordinator, "no-answer")
            elif verdict.kind in NOT_APPENDED:
                name = VerdictKind._VALUES_TO_NAMES[verdict.kind]
                self._avoid(coordinator, name)
            elif verdict.kind != VerdictKind.IN_DOUBT:
                return verdict
        return pending.verdict

    async def _append_here(
        self, partition: Partition, pending: PendingAppend, deadline: Deadline
    ) -> Verdict:
        [verdict] = await partition.submit([pending.entry], deadline)
        if verdict.kind == VerdictKind.NOT_READY and pending.maybe_sent:
            # An append by a coordinator may yet succeed and be read here.
            await pending.settled.wait()
            return pending.verdict
        return verdict

    async def _send(
        self, coordinator: HostId, partition: Partition, pending: PendingAppend
    ) -> Verdict | None:
        """Return the coordinator's verdict, or None if it did not answer.

        Stops early if this host reads the entry in the stream.
        """
        sent_before = pending.in_doubt
        # From here on the coordinator may append it, whatever it replies.
        pending.in_doubt = True
        client = self._client(coordinator, partition.number)
        verdict = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_when_settled, pending, nursery.cancel_scope
            )
            verdict = await client.send(pending.entry)
            nursery.cancel_scope.cancel()
        if verdict is not None and verdict.kind in NOT_APPENDED:
            pending.in_doubt = sent_before
        return pending.verdict or verdict

    def _client(self, coordinator: HostId, number: int) -> CoordinatorClient:
        name = CoordinatorClientId(coordinator, number)
        if name not in self.clients:
            self.clients[name] = CoordinatorClient(
                self.settings,
                self.exchange,
                self.background,
                coordinator,
                number,
            )
        return self.clients[name]

    def _avoid(self, coordinator: HostId, reason: str) -> None:
        self.fallback_count.inc({"reason": reason.lower().replace("_", "-")})
        until = Deadline(trio.current_time() + AVOID_SECONDS)
        self.avoided[coordinator] = until


async def _cancel_when_settled(
    pending: PendingAppend, scope: trio.CancelScope
) -> None:
    await pending.settled.wait()
    scope.cancel()
