"""Limit the requests of client accounts together with the other hosts."""

import random
from collections.abc import Callable
from typing import TypeVar

import trio
import xxhash

from agatetack.clock import Clock
from agatetack.generated.quotas.ttypes import QuotaShares, QuotaUse
from agatetack.identity.accounts import AccountSource, ClientAccount
from agatetack.ids import Deadline, HostId
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange, Scope, Topic
from agatetack.quotas.limiter import QuotaLimiter
from agatetack.quotas.node import FleetView, Outgoing, QuotaNode, Reach
from agatetack.settings.model import Settings
from agatetack.thrift_codec import MalformedMessage, decode

MS_PER_SECOND = 1000

Message = TypeVar("Message")

SCOPES = {Reach.GROUP: Scope.NEAR, Reach.OTHER_GROUPS: Scope.FAR}


class SharedQuotas(QuotaLimiter):
    """Limits the requests of each account over the whole fleet.

    Without accounts nothing is sent, and no task wakes up.

    Attributes:
        node: The quotas' state, or None without accounts.
        woken: Set when a message may be due earlier than before.
    """

    def __init__(
        self,
        settings: Settings,
        source: AccountSource,
        exchange: Exchange,
        metrics: Metrics,
        clock: Clock,
    ):
        """Subscribe to the messages of other hosts.

        Args:
            settings: How exactly quotas are kept.
            source: The accounts in force; `apply` has to be called after each
                change.
            exchange: The other hosts.
            metrics: Where requests are counted.
            clock: Dates this process's start.
        """
        self.settings = settings
        self.source = source
        self.exchange = exchange
        self.metrics = metrics
        self.host = HostId(settings.host.id)
        self.incarnation = int(clock.wall() * MS_PER_SECOND)
        self.node: QuotaNode | None = None
        self.woken = trio.Event()
        self.checks = metrics.buffered_counter(
            "agatetack_quota_checks_total",
            "Requests of client accounts and returned credits, by result.",
            "result",
        )
        self.sent = metrics.counter(
            "agatetack_quota_messages_total",
            "Messages about quotas sent to other hosts, by kind.",
        )
        self.limited = metrics.gauge(
            "agatetack_quota_limited_accounts",
            "Accounts of which this host doesn't admit all requests.",
        )
        exchange.subscribe(Topic.QUOTA_USE, self._on_use)
        exchange.subscribe(Topic.QUOTA_SUMS, self._on_sums)
        exchange.subscribe(Topic.QUOTA_SHARES, self._on_shares)

    def apply(self) -> None:
        """Apply the accounts in force."""
        table = self.source.table
        if table is None and self.node is None:
            return
        if self.node is None:
            self.node = QuotaNode(
                self.host,
                self.incarnation,
                self.settings.quotas,
                random.Random(),
            )
        self.node.set_accounts(table, trio.current_time())
        if table is None:
            self.node = None
        self.woken.set()

    def admit(
        self, account: ClientAccount, returning: bool = False
    ) -> Deadline | None:
        """Count a request; return None, or when it should be repeated."""
        node = self.node
        if node is None:
            return None
        now = trio.current_time()
        before = node.due
        retry_at = node.admit(account, now, returning)
        if retry_at is None:
            self.checks.inc({"result": "admitted"})
        elif node.is_alone(now):
            self.checks.inc({"result": "refused-alone"})
        else:
            self.checks.inc({"result": "refused"})
        self._wake_if_earlier(before)
        return retry_at

    def refund(self, account: ClientAccount) -> None:
        """Return the credit of an admitted request that did not run."""
        node = self.node
        if node is None:
            return
        before = node.due
        node.refund(account, trio.current_time())
        self.checks.inc({"result": "refunded"})
        self._wake_if_earlier(before)

    def _wake_if_earlier(self, before: float) -> None:
        if self.node.due < before:
            self.woken.set()

    async def run(self) -> None:
        """Send what is due, until cancelled."""
        while True:
            self.woken = trio.Event()
            node = self.node
            if node is None:
                # A host without accounts must not wake up at all.
                await self.woken.wait()
                continue
            now = trio.current_time()
            if node.due <= now:
                for message in node.poll(self._view(), now):
                    self._send(message)
                self.limited.set({}, len(node.told))
            with trio.move_on_at(node.due):
                await self.woken.wait()

    def _send(self, message: Outgoing) -> None:
        self.sent.inc({"kind": message.topic.name.lower().replace("_", "-")})
        if message.receiver is not None:
            self.exchange.send(message.receiver, message.topic, message.payload)
        else:
            scope = SCOPES[message.reach]
            self.exchange.publish(message.topic, message.payload, scope)

    def _view(self) -> FleetView:
        exchange = self.exchange
        near = [peer.id for peer in exchange.near_peers() if not peer.leaving]
        firsts = exchange.first_leaders()
        if not exchange.is_grouped:
            ranked = sorted([self.host, *near], key=_rank)
        elif exchange.is_first_leader:
            ranked = [self.host, *exchange.group_hosts()]
        else:
            ranked = sorted(
                exchange.group_hosts(), key=lambda h: h not in firsts
            )
        collector = ranked[0] if ranked else self.host
        others = [h for h in ranked if h in near and h != collector]
        return FleetView(
            collector=collector,
            standby=others[0] if others else None,
            near=len(near) + 1,
            hosts=exchange.fleet_size(),
            groups=max(1, len(firsts)),
        )

    def _on_use(self, sender: HostId, payload: bytes) -> None:
        message = self._decode(QuotaUse, payload)
        if message is not None:
            self._read(lambda node, now: node.read_use(sender, message, now))

    def _on_sums(self, sender: HostId, payload: bytes) -> None:
        message = self._decode(QuotaUse, payload)
        if message is not None:
            self._read(lambda node, now: node.read_sums(sender, message, now))

    def _on_shares(self, sender: HostId, payload: bytes) -> None:
        message = self._decode(QuotaShares, payload)
        if message is not None:
            self._read(lambda node, now: node.read_shares(sender, message, now))

    def _decode(self, kind: type[Message], payload: bytes) -> Message | None:
        if self.node is None:
            # The configuration has no accounts, or is not read yet.
            return None
        try:
            return decode(kind, payload)
        except MalformedMessage:
            self.metrics.dropped.inc(
                {"part": "quotas", "reason": "quota-malformed"}
            )
            return None

    def _read(self, read: Callable[[QuotaNode, float], None]) -> None:
        before = self.node.due
        read(self.node, trio.current_time())
        self._wake_if_earlier(before)


def _rank(host: HostId) -> int:
    """Return the order in which hosts collect reports, alike on all hosts."""
    return xxhash.xxh3_64_intdigest(f"quotas|{host}".encode())
