"""Keep what other hosts reported of the use of quotas."""

import dataclasses
from collections.abc import Iterator

import xxhash

from agatetack.generated.quotas.ttypes import AccountUse, QuotaUse
from agatetack.ids import ClientAccountId, HostId

MAX_COUNT = 1_000_000
"""Most requests that one report of an account is believed to be about; a
higher number is a fault of the sender."""

MAX_GAP_SECONDS = 2.0
"""Time after which the use that a sender could not report is not made up for.
It was limited to its static share, which the others deducted."""


def account_key(account: ClientAccountId) -> int:
    """Return what identifies an account in messages: a signed xxhash32."""
    unsigned = xxhash.xxh32_intdigest(account.encode())
    return unsigned - 2**32 if unsigned >= 2**31 else unsigned


@dataclasses.dataclass(frozen=True, slots=True)
class UseChange:
    """What changed by a report.

    Attributes:
        key: Identifies the account.
        asked: Requests that were asked for.
        used: Requests admitted, less the credits returned.
    """

    key: int
    asked: int
    used: int


@dataclasses.dataclass(slots=True)
class ReportSender:
    """One sender of reports.

    Attributes:
        incarnation: When its process started, in ms since 1970.
        sequence: Number of its latest report.
        heard_at: When that was received.
        hosts: Number of hosts that it reports for.
        used: What it used since its start, by account.
    """

    incarnation: int
    sequence: int
    heard_at: float
    hosts: int
    used: dict[int, int]


class ReportBook:
    """The reports of all senders.

    The use in a report is the sum since the start of the sender, so that the
    next report makes up for a lost one, and one that is repeated or late is
    ignored.

    Attributes:
        senders: The senders that reported lately.
    """

    def __init__(self) -> None:
        """Start without senders."""
        self.senders: dict[HostId, ReportSender] = {}

    def read(
        self, sender: HostId, message: QuotaUse, now: float
    ) -> Iterator[UseChange] | None:
        """Return the changes; None if the report is old or repeated."""
        known = self.senders.get(sender)
        if known is None or message.incarnation > known.incarnation:
            known = ReportSender(message.incarnation, 0, now, 0, {})
            self.senders[sender] = known
        elif (
            message.incarnation < known.incarnation
            or message.sequence <= known.sequence
        ):
            return None
        if now - known.heard_at > MAX_GAP_SECONDS:
            known.used.clear()
        known.sequence = message.sequence
        known.heard_at = now
        known.hosts = max(0, message.hosts or 0)
        return map(lambda use: _change(known, use), message.uses)

    def forget_before(self, time: float) -> None:
        """Forget senders that were not heard since then."""
        old = [h for h, s in self.senders.items() if s.heard_at < time]
        for host in old:
            del self.senders[host]

    def hosts_heard_since(self, time: float) -> int:
        """Return the number of hosts reported for since then."""
        return sum(s.hosts for s in self.senders.values() if s.heard_at >= time)


def _change(sender: ReportSender, use: AccountUse) -> UseChange:
    """Return what changed for one account, and remember the sum."""
    before = sender.used.get(use.account)
    # Earlier use of a sender that is new here was reported to another host,
    # or deducted as its share.
    used = use.used_since if before is None else use.used - before
    sender.used[use.account] = use.used
    used = max(-MAX_COUNT, min(MAX_COUNT, used))
    asked = max(0, min(MAX_COUNT, use.asked_since))
    return UseChange(use.account, asked, used)
