"""Exchange the use of quotas with the other hosts, without a network.

Each host reports to the collector of its group, the first leader. Collectors
tell each other the sums of their groups, and tell their hosts which accounts
are not admitted in full.
"""

import dataclasses
import enum
import math
import random
from collections.abc import Iterable, Sequence

from agatetack.generated.quotas.ttypes import (
    AccountShare,
    AccountUse,
    QuotaShares,
    QuotaUse,
)
from agatetack.identity.accounts import AccountTable, ClientAccount
from agatetack.ids import ClientAccountId, Deadline, HostId
from agatetack.logs import PartLog
from agatetack.peers.exchange import Topic
from agatetack.quotas.decision import (
    ALL_ADMITTED,
    OVER_SHARE,
    UNTOLD_DEMAND_SECONDS,
    FleetLevel,
    HostShare,
    QuotaLimits,
    ShareNews,
    limits_of,
)
from agatetack.quotas.reports import ReportBook, account_key
from agatetack.settings.model import QuotasSettings
from agatetack.thrift_codec import encode

CHECK_SECONDS = 0.4
"""How often a host checks whether it is the collector, and how often the
collector sends something, so that its hosts know that they hear it."""

LIMITED_SHARES_SECONDS = 0.2
"""How often the shares of limited accounts are sent, as they change."""

NEW_SHARES_SECONDS = 0.05
"""Minimum time between two messages of shares, if an account's requests are
no longer all admitted."""

SILENCE_SECONDS = UNTOLD_DEMAND_SECONDS
"""Time without a message of a collector after which a host is on its own. In
this time a host that was cut off admits what it was last told to."""

OWN_COLLECTOR_SILENCE_SECONDS = 0.5
"""Time without a message of the host's own collector after which it listens to
any other."""

PAUSE_SECONDS = 1.0
"""Time without a turn of this process after which it counts as paused. It has
a turn every `CHECK_SECONDS`."""

AFTER_PAUSE_SECONDS = 0.2
"""Time after a pause for which a host is on its own, as the messages that it
reads then were sent before or during the pause."""

YOUNG_SECONDS = 1.5
"""Time after the start of this process in which another host of the group that
collects knows more than this one."""

COLD_SECONDS = 0.8
"""Time after the start of this process in which a collector that hears no
other one doesn't know the demand."""

COLD_SHARE = 0.25
"""Share of all requests that is admitted in that time, as an account may ask
for more than four times its rate while all hosts restart."""

SUMS_SECONDS = 0.5
"""How often collectors tell each other the sums of their groups."""

SUMS_PER_GROUP_SECONDS = 0.025
"""The same for each group, so that a collector receives 40 such messages a
second, however many groups there are."""

SOON_SUMS_SECONDS = 0.05
"""Minimum time between two such messages, if there is much to tell."""

SOON_SUMS_PER_GROUP_SECONDS = 0.00625
"""The same for each group."""

COLLECTOR_SILENCE_INTERVALS = 2.5
"""Number of intervals without sums of a collector after which its hosts are
taken to be on their own."""

COLLECTING_SECONDS = 3.0
"""Time for which a host that got a report collects, even if by its own view
another host does. Two hosts may differ about which of them is first leader."""

FORGET_SECONDS = 10.0
"""Time after which a silent sender is forgotten."""

UNDER_SECONDS = 2.0
"""Time for which all requests must be admitted until an account counts as
under its quota again."""

PPM = 1_000_000
MS_PER_SECOND = 1000

log = PartLog("quotas")


class Reach(enum.Enum):
    """Which hosts a message is for."""

    ONE = "one"
    GROUP = "group"
    OTHER_GROUPS = "other-groups"


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to be sent.

    Attributes:
        topic: Its topic.
        payload: Its content.
        reach: Which hosts it is for.
        receiver: The host if it is for one.
    """

    topic: Topic
    payload: bytes
    reach: Reach
    receiver: HostId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """What a host knows of the fleet.

    Attributes:
        collector: The host that collects the reports of the own group.
        standby: The host that would collect them next, or None.
        near: Number of live hosts in the group, the own one included.
        hosts: Number of hosts listed.
        groups: Number of groups.
    """

    collector: HostId
    standby: HostId | None
    near: int
    hosts: int
    groups: int


@dataclasses.dataclass(slots=True)
class GroupUse:
    """What a collector tells the others of one account.

    Attributes:
        used: Used since the start of the collector.
        reported: The value of `used` in the last message.
        asked: Requests since the last message.
    """

    used: int = 0
    reported: int = 0
    asked: int = 0


class Collector:
    """The buckets of all accounts, from the reports of all hosts.

    Attributes:
        limits: The limits of all accounts in force, by key.
        levels: The buckets of the accounts that are in use.
        since: Since when this host has been told what all hosts use.
        members: Reports of the hosts of the group.
        others: Reports of other collectors.
        group: The use of the group, by account.
        part: Share of the rate that the hosts heard of may use.
        over: When each limited account was last over its quota.
        added: When accounts were added to the document.
        retired: Buckets of accounts that were removed, and when; an account
            that returns has no second burst.
        returned: When such accounts returned; their demand is not known yet.
    """

    def __init__(self, limits: dict[int, QuotaLimits], now: float):
        """Start with empty buckets for the accounts of `limits`."""
        self.limits = limits
        self.since = now
        self.levels: dict[int, FleetLevel] = {}
        self.members = ReportBook()
        self.others = ReportBook()
        self.group: dict[int, GroupUse] = {}
        self.part = 1.0
        self.over: dict[int, float] = {}
        self.added: dict[int, float] = {}
        self.retired: dict[int, tuple[FleetLevel, float]] = {}
        self.returned: dict[int, float] = {}

    def note_group(self, key: int, asked: int, used: int, now: float) -> None:
        """Note the use of a host of the group."""
        if key not in self.limits:
            return
        use = self.group.setdefault(key, GroupUse())
        use.asked += asked
        use.used += used
        self.note(key, asked, used, now)

    def note(self, key: int, asked: int, used: int, now: float) -> None:
        """Note the use of any host."""
        limits = self.limits.get(key)
        if limits is None:
            return
        level = self.levels.get(key)
        if level is None:
            level = FleetLevel(
                limits, self.added.get(key, self.since), now, self.part
            )
            self.levels[key] = level
        level.note(asked, used, now, self.part)

    def shares(self, now: float) -> dict[int, ShareNews]:
        """Return the shares of the accounts that are not admitted in full."""
        found = {}
        for key, level in self.levels.items():
            share = level.share(now, self.part)
            if now - self.returned.get(key, -math.inf) < COLD_SECONDS:
                share = min(share, COLD_SHARE)
            if share < OVER_SHARE:
                found[key] = ShareNews(share, level.wait())
        return found

    def change(self, limits: dict[int, QuotaLimits], now: float) -> None:
        """Apply the limits of another document."""
        added = limits.keys() - self.limits.keys()
        self.added.update(dict.fromkeys(added, now))
        self.limits = limits
        for key in added & self.retired.keys():
            self.levels[key], _ = self.retired.pop(key)
            self.returned[key] = now
        for key in list(self.levels):
            if key in limits:
                self.levels[key].change(limits[key])
            else:
                self.retired[key] = self.levels.pop(key), now
        self.group = {k: u for k, u in self.group.items() if k in limits}
        self.added = {k: at for k, at in self.added.items() if k in limits}
        self.returned = {
            k: at for k, at in self.returned.items() if k in limits
        }

    def skip(self, seconds: float) -> None:
        """Don't count the time of a pause as silence of the others."""
        for book in (self.members, self.others):
            for sender in book.senders.values():
                sender.heard_at += seconds

    def forget(self, now: float) -> None:
        """Forget silent senders and buckets that are full."""
        self.members.forget_before(now - FORGET_SECONDS)
        self.others.forget_before(now - FORGET_SECONDS)
        idle = [key for key, level in self.levels.items() if level.is_idle]
        for key in idle:
            del self.levels[key]
        before = now - FORGET_SECONDS
        self.retired = {
            key: (level, at)
            for key, (level, at) in self.retired.items()
            if at > before
        }


class QuotaNode:
    """One host's part in the quotas of all accounts.

    Attributes:
        heard_at: When this host was last told the shares.
        own_heard_at: When it was last told by the collector that it follows.
        turn_at: When this process last had a turn.
        started_at: When it had the first one.
        deaf_until: Until when messages are ignored, after a pause.
        told: The shares of accounts that are not admitted in full.
        removed: When accounts were removed from the document.
        own: This host's requests, by account.
        changed: The accounts to be reported.
        collector: The buckets of all accounts, while others report here.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: int,
        settings: QuotasSettings,
        chance: random.Random,
    ):
        """Start without accounts.

        Args:
            host: This host.
            incarnation: When this process started, in ms since 1970.
            settings: How exactly quotas are kept.
            chance: Spreads the hosts and the callers that are refused.
        """
        self.host = host
        self.incarnation = incarnation
        self.settings = settings
        self.chance = chance
        self.names: dict[int, ClientAccountId] = {}
        self.limits: dict[int, QuotaLimits] = {}
        self.own: dict[ClientAccountId, HostShare] = {}
        self.changed: dict[int, HostShare] = {}
        self.told: dict[int, ShareNews] = {}
        self.removed: dict[int, float] = {}
        self.told_by: dict[HostId, tuple[int, int]] = {}
        self.heard_at = float("-inf")
        self.own_heard_at = float("-inf")
        self.turn_at: float | None = None
        self.started_at: float | None = None
        self.deaf_until = float("-inf")
        self.follows: HostId | None = None
        self.hosts = 1
        self.groups = 1
        self.collector: Collector | None = None
        self.collecting_until = float("-inf")
        self.rivals: dict[HostId, float] = {}
        self.sequence = 0
        self.due = float("-inf")
        self.sums_at = float("-inf")
        self.shares_at = float("-inf")
        self.sent_keys: frozenset[int] = frozenset()

    def set_accounts(self, table: AccountTable | None, now: float) -> None:
        """Apply the accounts of the document in force."""
        accounts = () if table is None else table.by_id.values()
        limited = [a for a in accounts if a.requests_per_second > 0]
        self.names = {account_key(a.id): a.id for a in limited}
        limits = {
            account_key(a.id): limits_of(a, self.settings) for a in limited
        }
        removed = self.limits.keys() - limits.keys()
        self.limits = limits
        for name, share in list(self.own.items()):
            if share.key in self.limits:
                share.limits = self.limits[share.key]
            else:
                del self.own[name]
                self.changed.pop(share.key, None)
        self.told = {k: s for k, s in self.told.items() if k in self.limits}
        for key in self.removed.keys() & self.limits.keys():
            if now - self.removed.pop(key) < FORGET_SECONDS:
                self.told[key] = ShareNews(COLD_SHARE)
        self.removed = {
            key: at
            for key, at in self.removed.items()
            if now - at < FORGET_SECONDS
        } | dict.fromkeys(removed, now)
        if self.collector is not None:
            self.collector.change(self.limits, now)
        if table is None:
            self.collector = None
        self.due = now

    def is_alone(self, now: float) -> bool:
        """Return whether this host has heard nothing of the others."""
        return now - self.heard_at > SILENCE_SECONDS

    def admit(
        self, account: ClientAccount, now: float, returning: bool = False
    ) -> Deadline | None:
        """Count a request; return None, or when it should be repeated."""
        if account.requests_per_second <= 0:
            return None
        self._note_pause(now)
        share = self.own.get(account.id)
        if share is None:
            share = self._add(account, now)
        news = None
        if not self.is_alone(now):
            news = self.told.get(share.key, ALL_ADMITTED)
        retry_at = share.admit(now, news, self.hosts, self.chance, returning)
        self._mark(share)
        return retry_at

    def _note_pause(self, now: float) -> None:
        """Distrust what was heard if this process was paused until now."""
        if self.turn_at is not None and now - self.turn_at > PAUSE_SECONDS:
            if self.collector is not None:
                self.collector.skip(now - self.turn_at)
            self.turn_at = now
            self.heard_at = self.own_heard_at = float("-inf")
            self.deaf_until = now + AFTER_PAUSE_SECONDS
            self.due = min(self.due, self.deaf_until)

    def refund(self, account: ClientAccount, now: float) -> None:
        """Return the credit of an admitted request that did not run."""
        share = self.own.get(account.id)
        if share is not None:
            share.refund(now)
            self._mark(share)

    def _add(self, account: ClientAccount, now: float) -> HostShare:
        key = account_key(account.id)
        limits = self.limits.get(key) or limits_of(account, self.settings)
        share = HostShare(key, limits, now, self.chance.random())
        self.own[account.id] = share
        return share

    def _mark(self, share: HostShare) -> None:
        self.changed[share.key] = share
        self.due = min(self.due, share.due)

    def read_use(self, sender: HostId, message: QuotaUse, now: float) -> None:
        """Read the report of a host of the group."""
        if not self.limits:
            return
        collector = self._collect(now)
        self.collecting_until = now + COLLECTING_SECONDS
        changes = collector.members.read(sender, message, now)
        for change in changes or ():
            collector.note_group(change.key, change.asked, change.used, now)
            self._wake_for(change.key, now)

    def read_sums(self, sender: HostId, message: QuotaUse, now: float) -> None:
        """Read the sums of another collector."""
        if not self.limits:
            return
        collector = self._collect(now)
        changes = collector.others.read(sender, message, now)
        for change in changes or ():
            collector.note(change.key, change.asked, change.used, now)
            self._wake_for(change.key, now)

    def read_shares(
        self, sender: HostId, message: QuotaShares, now: float
    ) -> None:
        """Read the shares that a collector sent."""
        self._note_pause(now)
        number = (message.incarnation, message.sequence)
        if number <= self.told_by.get(sender, (0, 0)):
            return
        self.told_by[sender] = number
        if now < self.deaf_until:
            return
        self.rivals[sender] = now
        if self.follows == self.host and not self._yields(now):
            return
        if sender == self.follows:
            self.own_heard_at = now
        elif now - self.own_heard_at <= OWN_COLLECTOR_SILENCE_SECONDS:
            return
        self.heard_at = now
        self.told = {
            share.account: ShareNews(
                min(1.0, max(0.0, share.share_ppm / PPM)),
                max(0.0, share.wait_ms / MS_PER_SECOND),
            )
            for share in message.shares
        }

    def _yields(self, now: float) -> bool:
        """Return whether another collector of the group knows more."""
        if self.started_at is None:
            return True
        is_young = now - self.started_at < YOUNG_SECONDS
        return is_young and any(
            now - at < SILENCE_SECONDS for at in self.rivals.values()
        )

    def _collect(self, now: float) -> Collector:
        if self.collector is None:
            self.collector = Collector(self.limits, now)
        return self.collector

    def _wake_for(self, key: int, now: float) -> None:
        """Have messages sent soon if an account needs them."""
        collector = self.collector
        level = collector.levels.get(key)
        if level is None:
            return
        if (
            key not in self.sent_keys
            and level.share(now, collector.part) < OVER_SHARE
        ):
            self.due = min(self.due, self.shares_at + NEW_SHARES_SECONDS)
        if self._has_much(key):
            self.due = min(self.due, self.sums_at + self._soon_seconds())

    def _has_much(self, key: int) -> bool:
        use = self.collector.group.get(key)
        if use is None or self.groups < 2:
            return False
        limits = self.limits[key]
        much = limits.unreported(
            self.groups, self._sums_seconds(), key in self.sent_keys
        )
        return abs(use.used - use.reported) >= much

    def _soon_seconds(self) -> float:
        return max(SOON_SUMS_SECONDS, SOON_SUMS_PER_GROUP_SECONDS * self.groups)

    def _sums_seconds(self) -> float:
        return max(SUMS_SECONDS, SUMS_PER_GROUP_SECONDS * self.groups)

    def poll(self, view: FleetView, now: float) -> Sequence[Outgoing]:
        """Return the messages that are due; `due` says when to call again."""
        self._note_pause(now)
        self.turn_at = now
        if self.started_at is None:
            self.started_at = now
        self.follows = view.collector
        self.hosts, self.groups = max(1, view.hosts), max(1, view.groups)
        self.due = now + CHECK_SECONDS
        if now < self.deaf_until:
            self.due = min(self.due, self.deaf_until)
            return ()
        if view.collector == self.host and not self._is_cut_off(view, now):
            # It goes on for a while after another host took over, which knows
            # nothing yet if it has just started.
            self.collecting_until = now + COLLECTING_SECONDS
        collects = now < self.collecting_until
        if not collects:
            self._forget_collecting(now)
            return self._report(view.collector, now)
        return self._lead(view, now)

    def _is_cut_off(self, view: FleetView, now: float) -> bool:
        """Return whether no other host is heard, although some are listed."""
        if view.hosts == 1 or view.near > 1:
            return False
        collector = self.collector
        since = now - COLLECTOR_SILENCE_INTERVALS * self._sums_seconds()
        return collector is None or not collector.others.hosts_heard_since(
            since
        )

    def _forget_collecting(self, now: float) -> None:
        """Drop the buckets once no other host reports here."""
        collector = self.collector
        if collector is None:
            return
        collector.forget(now)
        if not collector.members.senders and not collector.others.senders:
            self.collector = None

    def _report(self, collector: HostId, now: float) -> Sequence[Outgoing]:
        if not self.changed:
            return ()
        due = min(share.due for share in self.changed.values())
        if due > now:
            self.due = min(self.due, due)
            return ()
        uses = [
            AccountUse(share.key, share.used, used, asked)
            for share, asked, used in self._take_reports()
        ]
        return (self._use(Topic.QUOTA_USE, uses, None, Reach.ONE, collector),)

    def _take_reports(self) -> Iterable[tuple[HostShare, int, int]]:
        shares = list(self.changed.values())
        self.changed.clear()
        for share in shares:
            asked, used = share.take_report()
            yield share, asked, used

    def _use(
        self,
        topic: Topic,
        uses: list[AccountUse],
        hosts: int | None,
        reach: Reach,
        receiver: HostId | None = None,
    ) -> Outgoing:
        self.sequence += 1
        message = QuotaUse(self.incarnation, self.sequence, uses, hosts)
        return Outgoing(topic, encode(message), reach, receiver)

    def _lead(self, view: FleetView, now: float) -> Sequence[Outgoing]:
        collector = self._collect(now)
        for share, asked, used in self._take_reports():
            collector.note_group(share.key, asked, used, now)
        self._update_part(view, now)
        shares = collector.shares(now)
        out = list(self._sums(view, now))
        if not self._yields(now):
            if now - self.started_at < COLD_SECONDS:
                shares = dict.fromkeys(self.limits, ShareNews(COLD_SHARE))
            silent = now - self.own_heard_at > OWN_COLLECTOR_SILENCE_SECONDS
            if view.collector == self.host:
                self.own_heard_at = now
            if view.collector == self.host or silent:
                self.told, self.heard_at = shares, now
            out += self._shares(shares, now)
        collector.forget(now)
        self._log_changes(now)
        return out

    def _update_part(self, view: FleetView, now: float) -> None:
        collector = self.collector
        silent = COLLECTOR_SILENCE_INTERVALS * self._sums_seconds()
        heard = collector.others.hosts_heard_since(now - silent)
        collector.part = min(1.0, (view.near + heard) / self.hosts)

    def _sums(self, view: FleetView, now: float) -> Iterable[Outgoing]:
        group = self.collector.group
        much = any(
            use.used != use.reported and self._has_much(key)
            for key, use in group.items()
        )
        seconds = self._soon_seconds() if much else self._sums_seconds()
        if now < self.sums_at + seconds:
            self.due = min(self.due, self.sums_at + seconds)
            return
        receivers = {view.collector, view.standby, *self._live_rivals(now)}
        receivers -= {self.host, None}
        if not receivers and self.groups < 2:
            # There is no other host, or none that would collect next.
            return
        self.sums_at = now
        uses = []
        for key, use in group.items():
            if use.asked or use.used != use.reported:
                since = use.used - use.reported
                uses.append(AccountUse(key, use.used, since, use.asked))
                use.asked, use.reported = 0, use.used
        hosts = view.near
        if self.groups > 1:
            yield self._use(Topic.QUOTA_SUMS, uses, hosts, Reach.OTHER_GROUPS)
        for receiver in sorted(receivers):
            # Its hosts are the same as those of this collector.
            yield self._use(Topic.QUOTA_SUMS, uses, 0, Reach.ONE, receiver)
        self.due = min(self.due, now + self._sums_seconds())

    def _live_rivals(self, now: float) -> Iterable[HostId]:
        self.rivals = {
            host: at
            for host, at in self.rivals.items()
            if now - at < COLLECTING_SECONDS
        }
        return self.rivals

    def _shares(
        self, shares: dict[int, ShareNews], now: float
    ) -> Iterable[Outgoing]:
        seconds = LIMITED_SHARES_SECONDS if shares else CHECK_SECONDS
        if shares.keys() - self.sent_keys:
            seconds = NEW_SHARES_SECONDS
        elif self.sent_keys - shares.keys():
            seconds = LIMITED_SHARES_SECONDS
        at = self.shares_at + seconds
        if now < at:
            self.due = min(self.due, at)
            return
        self.shares_at = now
        self.sent_keys = frozenset(shares)
        self.sequence += 1
        message = QuotaShares(
            self.incarnation,
            self.sequence,
            [
                AccountShare(
                    key,
                    round(news.share * PPM),
                    round(news.wait_seconds * MS_PER_SECOND),
                )
                for key, news in shares.items()
            ],
        )
        yield Outgoing(Topic.QUOTA_SHARES, encode(message), Reach.GROUP)
        seconds = LIMITED_SHARES_SECONDS if shares else CHECK_SECONDS
        self.due = min(self.due, now + seconds)

    def _log_changes(self, now: float) -> None:
        over = self.collector.over
        shares = self.collector.shares(now)
        for key, news in shares.items():
            if key not in over:
                log.info(
                    "The account %s exceeds its quota of %g a second; %d %% of "
                    "its requests are admitted.",
                    self.names.get(key),
                    self.limits[key].rate,
                    round(news.share * 100),
                )
            over[key] = now
        for key in [k for k, at in over.items() if now - at > UNDER_SECONDS]:
            del over[key]
            log.info("The account %s is within its quota.", self.names.get(key))
