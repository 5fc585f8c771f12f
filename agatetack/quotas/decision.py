"""Decide how much of an account's requests is admitted.

Nothing here needs a network or a clock: the time and what is known of the
fleet go in, and admission or the time to retry comes out.

`FleetLevel` follows an account's bucket over all hosts, at the host that
collects the reports of a group, and says which share of the requests is
admitted. `HostShare` applies that share at one host, or the host's static
share while it hears nothing from others.
"""

import dataclasses
import math
import random

from agatetack.identity.accounts import ClientAccount
from agatetack.ids import Deadline
from agatetack.settings.model import QuotasSettings

MAX_DEBT_RATIO = 0.3
"""Largest share of the tolerance that an account which asks for too much uses.
The rest is for what is admitted before the hosts learn of it."""

DEBT_REQUESTS = 5.0
"""Requests that an account may be in debt for. One that asks for 0.62 of its
rate and has a burst of 1 is deeper in debt in 1 % of the time."""

DEBT_SECONDS = 0.3
"""The same for requests that grow with the rate, as a time of that rate."""

START_DEBT_RATIO = 0.5
"""Share of the largest debt at which a bucket starts. The hosts may have used
the burst just before they all restarted; above the largest debt, so that a
small account isn't refused its first requests."""

CORRECTION_SECONDS = 0.3
"""Time in which the level is brought to its target, somewhat above the delay
of the reports; below that delay, the admitted rate would oscillate."""

MIN_DEMAND_SECONDS = 0.25
"""Minimum time over which the demand is averaged, twice the interval of the
reports about a busy account."""

MAX_DEMAND_SECONDS = 2.0
"""Maximum time over which the demand is averaged."""

DEMAND_REQUESTS = 2.0
"""Number of requests, at the account's rate, over which the demand is averaged.
Over a shorter time, two requests of a small account look like too many."""

EXPECTED_EXCESS = 4.0
"""Requests beyond its rate, as a multiple of the rate, that an account may
suddenly make; it determines how soon its use has to be reported."""

UNUSUAL_DEVIATIONS = 2.0
"""Standard deviations beyond the rate at which the use of a group is unusual,
so that usual use is reported at long intervals."""

MIN_REPORT_SECONDS = 0.1
"""Minimum time for which a host collects the use of an account."""

MAX_REPORT_SECONDS = 0.3
"""Maximum time for which a host collects the use of an account."""

UNTOLD_DEMAND_SECONDS = 0.65
"""Time for which a host that was cut off admits what it was last told to."""

UNTOLD_RATE_SECONDS = 2.0
"""Time for which it then uses its static share until the others know that it
was cut off, so that they have not deducted it."""

SPARE_RATIO = 0.4
"""Share of its rate that an account is expected to have left for requests that
are repeated; a usual quota is 1.6 times what is usually asked."""

MIN_RETRY_SECONDS = 0.5
"""Shortest time after which a refused caller is told to retry."""

MAX_RETRY_SECONDS = 30.0
"""Longest time after which a refused caller is told to retry."""

MIN_SPREAD_SECONDS = 1.0
"""Shortest time over which refused callers are spread, which covers those
that are refused between two messages about the account."""

SPREAD_RATIO = 0.25
"""Time over which refused callers are spread, as a share of their wait."""

RETURNING_RATIO_WEIGHT = 0.1
"""Weight of one request in the moving average of the ratio of requests that
return."""

OVER_SHARE = 0.999
"""Share of admitted requests below which an account is over its quota."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLimits:
    """What one account may use.

    Attributes:
        rate: Requests a second of all hosts.
        burst: Requests that may be made at once beyond that rate.
        tolerance: Requests that may be admitted beyond rate and burst in any
            window.
    """

    rate: float
    burst: float
    tolerance: float

    @property
    def target(self) -> float:
        """Return the level that an account is held at that asks too much."""
        return -min(
            MAX_DEBT_RATIO * self.tolerance,
            DEBT_REQUESTS + DEBT_SECONDS * self.rate,
        )

    @property
    def start(self) -> float:
        """Return the level at which a bucket starts."""
        return START_DEBT_RATIO * self.target

    @property
    def demand_seconds(self) -> float:
        """Return over which time the demand is averaged."""
        seconds = DEMAND_REQUESTS / self.rate
        return min(MAX_DEMAND_SECONDS, max(MIN_DEMAND_SECONDS, seconds))

    @property
    def report_seconds(self) -> float:
        """Return for how long a host may collect the use of the account.

        In twice this time a sudden excess uses up half of the tolerance and a
        quarter of the burst.
        """
        absorbed = self.tolerance / 2 + self.burst / 4
        seconds = absorbed / (2 * EXPECTED_EXCESS * self.rate)
        return min(MAX_REPORT_SECONDS, max(MIN_REPORT_SECONDS, seconds))

    def unreported(
        self, groups: int, seconds: float, is_limited: bool
    ) -> float:
        """Return the use that a group need not report to the others at once.

        Args:
            groups: Number of groups.
            seconds: Interval of the reports that are sent in any case.
            is_limited: Whether not all requests are admitted. Then each report
                corrects the share.
        """
        usual = self.rate * seconds / groups
        if is_limited:
            absorbed = self.tolerance / 2 + self.burst / 4
            return max(1.0, min(usual, absorbed / (4 * groups)))
        return usual + UNUSUAL_DEVIATIONS * math.sqrt(usual) + 1.0


def limits_of(account: ClientAccount, settings: QuotasSettings) -> QuotaLimits:
    """Return the limits of `account` with the tolerance in the settings."""
    rate, burst = account.requests_per_second, account.burst
    in_window = rate * settings.window_seconds + burst
    tolerance = in_window * settings.overshoot_ratio + settings.overshoot_slack
    return QuotaLimits(rate, burst, tolerance)


class FleetLevel:
    """The bucket of one account, from the reports of all hosts.

    Attributes:
        limits: The account's limits.
        level: Requests that may be made at `at`; negative while the tolerance
            is used.
        part: Share of the bucket that this is about, at `at`. The rest is that
            of hosts which are not heard.
        demand: Requests asked for per second at `at`, refused ones included.
        refused: Refused requests that are expected to be repeated.
    """

    __slots__ = ("at", "demand", "level", "limits", "part", "refused")

    def __init__(
        self, limits: QuotaLimits, start: float, now: float, part: float
    ):
        """Fill a bucket that was empty at `start` until now.

        Args:
            limits: The account's limits.
            start: Since when this host has known what all hosts use.
            now: The current time.
            part: Share of the bucket that the reporting hosts may use.
        """
        self.limits = limits
        filled = limits.start + limits.rate * (now - start)
        self.level = part * min(limits.burst, filled)
        self.part = part
        self.at = now
        self.demand = 0.0
        self.refused = 0.0

    def change(self, limits: QuotaLimits) -> None:
        """Apply changed limits; a burst that grew is not filled."""
        self.limits = limits
        self.level = min(self.level, limits.burst * self.part)

    def note(self, asked: int, used: int, now: float, part: float) -> None:
        """Note what hosts were asked for and admitted.

        Args:
            asked: Requests since the last report.
            used: Those admitted, less the credits returned.
            now: The current time.
            part: Share of the bucket that the reporting hosts may use.
        """
        self._advance(now, part)
        self.level = min(self.level - used, self.limits.burst * part)
        self.demand += max(0, asked) / self.limits.demand_seconds
        self.refused += max(0, asked - max(0, used))

    def _advance(self, now: float, part: float) -> None:
        if part < self.part:
            self.level *= part / self.part
            # All parts of the fleet that lost contact deduct it.
            self._deduct((self.part - part) * part)
        else:
            # The hosts heard again may have used their part.
            self.level += (part - self.part) * self.limits.start
        self.part = part
        seconds = max(0.0, now - self.at)
        rate = self.limits.rate * part
        highest = self.limits.burst * part
        self.level = min(highest, self.level + rate * seconds)
        self.demand *= math.exp(-seconds / self.limits.demand_seconds)
        self.refused = max(0.0, self.refused - rate * SPARE_RATIO * seconds)
        self.at = max(self.at, now)

    def _deduct(self, part: float) -> None:
        """Deduct what hosts with `part` of the bucket may have used unheard."""
        rate = self.limits.rate
        demand = min(self.demand, (1.0 + EXPECTED_EXCESS) * rate)
        used = part * (
            demand * UNTOLD_DEMAND_SECONDS + rate * UNTOLD_RATE_SECONDS
        )
        lowest = min(self.level, -self.limits.tolerance * self.part)
        self.level = max(lowest, self.level - used)

    def share(self, now: float, part: float) -> float:
        """Return which share of the requests is admitted, from 0 to 1.

        Args:
            now: The current time.
            part: Share of the bucket that the reporting hosts may use.
        """
        self._advance(now, part)
        spare = self.level - self.limits.target * part
        allowed = self.limits.rate * part + spare / CORRECTION_SECONDS
        if allowed >= self.demand:
            return 1.0
        return 0.0 if allowed <= 0.0 else allowed / self.demand

    def wait(self) -> float:
        """Return after how many seconds a refused request has room."""
        seconds = self.refused / (self.limits.rate * SPARE_RATIO)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))

    @property
    def is_idle(self) -> bool:
        """Return whether a new bucket would be the same as this one."""
        return (
            self.level >= self.limits.burst * self.part
            and self.demand < 0.01
            and self.refused == 0.0
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ShareNews:
    """What a host was last told of an account.

    Attributes:
        share: Which share of the requests is admitted.
        wait_seconds: When a refused caller should retry.
    """

    share: float = 1.0
    wait_seconds: float = MIN_RETRY_SECONDS


ALL_ADMITTED = ShareNews()
"""What holds for an account of which nothing was said."""


class HostShare:
    """One host's requests of one account.

    Attributes:
        key: Identifies the account in messages.
        limits: The account's limits.
        asked: Requests since the last report.
        used: Admitted and not refunded requests since the host's start.
        reported: The value of `used` in the last report.
        due: When the next report has to be sent, or infinity.
        credit: Sum of the shares of requests that were refused.
        returning_credit: The same for requests that return.
        returning_ratio: Moving average of the ratio of requests that return,
            while not all requests are admitted.
        tokens: Requests that the host may admit now if it is on its own.
        filled_at: When `tokens` was computed.
    """

    __slots__ = (
        "asked",
        "credit",
        "due",
        "filled_at",
        "key",
        "limits",
        "reported",
        "returning_credit",
        "returning_ratio",
        "tokens",
        "used",
    )

    def __init__(
        self, key: int, limits: QuotaLimits, now: float, credit: float
    ):
        """Start with one free request.

        Args:
            key: Identifies the account in messages.
            limits: The account's limits.
            now: The current time.
            credit: From 0 to 1 and different on each host, so that not all
                hosts admit a request at the same moment.
        """
        self.key = key
        self.limits = limits
        self.asked = 0
        self.used = 0
        self.reported = 0
        self.due = math.inf
        self.credit = credit
        self.returning_credit = credit
        self.returning_ratio = 0.0
        self.tokens = 1.0
        self.filled_at = now

    def admit(
        self,
        now: float,
        news: ShareNews | None,
        hosts: int,
        chance: random.Random,
        returning: bool = False,
    ) -> Deadline | None:
        """Count a request; return None, or when it should be repeated.

        Args:
            now: The current time.
            news: What was said of the account, or None if this host has heard
                nothing from others for long.
            hosts: Number of hosts listed.
            chance: Spreads the callers that are refused.
            returning: Whether the request was surely refused before.
        """
        self.asked += 1
        self.due = min(self.due, now + self.limits.report_seconds)
        rate = self.limits.rate / max(1, hosts)
        filled = self.tokens + rate * max(0.0, now - self.filled_at)
        self.tokens = min(max(1.0, self.limits.burst / hosts), filled)
        self.filled_at = now
        if self._take(news, returning):
            self.used += 1
            return None
        if news is None:
            wait = max(MIN_RETRY_SECONDS, (1.0 - self.tokens) / rate)
        else:
            wait = news.wait_seconds
        wait = min(MAX_RETRY_SECONDS, wait)
        spread = max(MIN_SPREAD_SECONDS, wait * SPREAD_RATIO)
        return Deadline(now + wait + spread * chance.random())

    def _take(self, news: ShareNews | None, returning: bool) -> bool:
        if news is None:
            admitted = self.tokens >= 1.0
        elif news.share >= OVER_SHARE:
            admitted = True
        else:
            # An account that exceeds its quota has nothing left for the time
            # when this host has lost contact.
            self.tokens = 0.0
            admitted = self._spend(news.share, returning)
        if admitted:
            # It counts in either case, so that a host that loses contact has
            # no second request at once.
            self.tokens = max(0.0, self.tokens - 1.0)
        return admitted

    def _spend(self, share: float, returning: bool) -> bool:
        """Return whether a request is among the share that is admitted.

        Requests for the first time go before those that return. Otherwise
        requests that are late already use up the quota, so that all requests of
        an account that exceeds it are late.
        """
        step = RETURNING_RATIO_WEIGHT * (returning - self.returning_ratio)
        self.returning_ratio += step
        fresh_ratio = 1.0 - self.returning_ratio
        if returning:
            left = max(0.0, share - fresh_ratio)
            self.returning_credit += left / self.returning_ratio
            admitted = self.returning_credit >= 1.0
            self.returning_credit -= admitted
            return admitted
        self.credit += min(1.0, share / fresh_ratio)
        admitted = self.credit >= 1.0
        self.credit -= admitted
        return admitted

    def refund(self, now: float) -> None:
        """Return the credit of an admitted request that did not run."""
        self.used -= 1
        self.tokens += 1.0
        self.due = min(self.due, now + self.limits.report_seconds)

    def take_report(self) -> tuple[int, int]:
        """Return what was asked and used since the last report."""
        asked, used = self.asked, self.used - self.reported
        self.asked = 0
        self.reported = self.used
        self.due = math.inf
        return asked, used
