"""Track rate limits that targets report, and export them as metrics."""

import enum
from collections.abc import Sequence

import trio

from agatetack.decisions import DecisionLog, age
from agatetack.headers import DecimalProblem
from agatetack.ids import Deadline, TargetId
from agatetack.messages import Headers
from agatetack.metrics import Metrics
from agatetack.settings.model import Settings
from agatetack.targets.rate_limit import MAX_REQUESTS_PER_SECOND, read_rate
from agatetack.targets.state import ReportSource, TargetState, TargetStatus

MAX_EXPORTED_TARGETS = 200
"""Maximum number of targets whose rate limit is exported as a metric."""

decisions = DecisionLog("targets")


class SendKind(enum.Enum):
    """The kinds of requests that this host sends to a target.

    `LOOK` is a load request just before a caller's request, `PROBE` one of
    the background prober.
    """

    REQUEST = "request"
    LOOK = "look"
    PROBE = "probe"


class RateLimits:
    """The rate limits of targets for all hosts together.

    Attributes:
        name: The header that reports a rate, or None if not configured.
        exported_targets: The targets whose rate is exported as a metric.
    """

    def __init__(self, settings: Settings, metrics: Metrics):
        """Read the header name from `settings` and register the metrics."""
        name = settings.targets.headers.rate_limit
        self.name = None if name is None else name.encode()
        self.reports = metrics.counter(
            "agatetack_rate_limit_reports_total",
            "Answers and messages that named a target's rate, by source.",
        )
        self.refused = metrics.counter(
            "agatetack_rate_limit_refused_total",
            "Rates in answers that were not believed, by problem.",
        )
        self.changes = metrics.counter(
            "agatetack_rate_limit_changes_total",
            "Times that a target's rate changed or ended, by source.",
        )
        self.sends = metrics.counter(
            "agatetack_rate_limited_sends_total",
            "What this host sent to targets that limit their rate, by kind.",
        )

        self.rates = metrics.gauge(
            "agatetack_target_rate_limit",
            "Requests a second that a target takes; 0 if it names no rate.",
        )
        self.exported_targets: set[TargetId] = set()

    def forget(self, target: TargetState) -> None:
        """Export a rate of 0 for a target that was removed."""
        if target.id in self.exported_targets:
            self.rates.set({"target": target.id}, 0.0)

    def note_sent(self, target: TargetState, kind: SendKind) -> None:
        """Count a request that this host sends to a target with a limit."""
        if target.rate_limit.rate is not None:
            self.sends.inc({"kind": kind.value})

    def note_answer(
        self, target: TargetState, headers: Headers, sent_at: Deadline
    ) -> None:
        """Record the rate, or its absence, in the response to a request.

        Args:
            target: The target, which ran the request.
            headers: The response's headers, names in lower case.
            sent_at: When the request was sent. A response without a rate may
                have left the target before one with a rate. It ends the limit
                only if its request was sent after the last report.
        """
        values = self._values(headers)
        if values:
            self._take(target, values, ReportSource.ANSWER)
        elif self.name is not None and sent_at > target.rate_limit.reported_at:
            self._note(target, None, sent_at, ReportSource.ANSWER)

    def note_load_answer(
        self,
        target: TargetState,
        headers: Headers,
        source: ReportSource,
    ) -> None:
        """Record the rate, if any, in a response of the load path.

        A missing rate is ignored: targets may report their rate only in
        responses to requests.
        """
        values = self._values(headers)
        if values:
            self._take(target, values, source)

    def note_peer_rate(
        self, target: TargetState, rate: float, reported_at: Deadline
    ) -> None:
        """Record the rate of `target` as reported by a peer.

        Args:
            target: The target.
            rate: Requests per second; 0 if it no longer reports a limit.
            reported_at: When the target reported it to the first host.
        """
        if not 0 <= rate <= MAX_REQUESTS_PER_SECOND:
            self._refuse(target, DecimalProblem.OUT_OF_RANGE, ReportSource.PEER)
            return
        self._note(target, rate or None, reported_at, ReportSource.PEER)

    def _values(self, headers: Headers) -> Sequence[bytes]:
        if self.name is None:
            return ()
        return [value for name, value in headers if name == self.name]

    def _take(
        self, target: TargetState, values: Sequence[bytes], source: ReportSource
    ) -> None:
        read = read_rate(values)
        if read.problem is not None:
            self._refuse(target, read.problem, source)
            return
        now = Deadline(trio.current_time())
        self._note(target, read.value, now, source)

    def _export(self, target: TargetState) -> None:
        if target.status is TargetStatus.GONE:
            # Another process may have its id now.
            return
        if len(self.exported_targets) < MAX_EXPORTED_TARGETS:
            self.exported_targets.add(target.id)
        if target.id in self.exported_targets:
            rate = target.rate_limit.rate or 0.0
            self.rates.set({"target": target.id}, rate)

    def _refuse(
        self, target: TargetState, problem: DecimalProblem, source: ReportSource
    ) -> None:
        self.refused.inc({"problem": problem.value})
        decisions.note(
            "rate-limit-refused",
            target=target.id,
            service=target.service,
            problem=problem.value,
            source=source.value,
        )

    def _note(
        self,
        target: TargetState,
        rate: float | None,
        reported_at: Deadline,
        source: ReportSource,
    ) -> None:
        limit = target.rate_limit
        before, since = limit.rate, limit.since
        if rate is not None:
            self.reports.inc({"source": source.value})
        if not limit.note(rate, reported_at):
            return
        self.changes.inc({"source": source.value})
        self._export(target)
        decisions.note(
            "rate-limited" if rate is not None else "rate-limit-over",
            target=target.id,
            service=target.service,
            rate=rate,
            before=before,
            source=source.value,
            age=age(reported_at),
            lasted_ms=None if before is None else age(since),
        )
