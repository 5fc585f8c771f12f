"""Count what a host does, for Prometheus.

One `Metrics` belongs to one host, so several hosts can run in one process.
Every refusal and retry reason of `agatetack.outcomes` has a counter that
exists from the start, so that a reason can't be missed by a dashboard.
"""

import collections
import enum
from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from agatetack.ids import RouteId, TargetId
from agatetack.outcomes import RefusalReason, RetryReason

LATENCY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 5)
"""Upper bounds of latency buckets, in seconds."""

NO_ROUTE_LABEL = RouteId("-")
"""The route label of requests that match no route."""


MAX_SHOWN_TARGETS = 200
"""Targets with a latency series of their own."""

OTHER_TARGETS_LABEL = "others"
"""The target label of all others."""


class MeasureKind(enum.Enum):
    """How a target was measured."""

    ANSWER = "answer"
    PROBE = "probe"
    PEER = "peer"


class HotCounter:
    """A counter with one label that is stepped for each request.

    Steps are kept in a plain map, which costs a tenth of a step of the
    library's counter, and handed over when the metrics are rendered.
    """

    def __init__(self, counter: Counter, label: str):
        """Count for `counter`, whose only label is `label`."""
        self.counter = counter
        self.label = label
        self.steps: collections.Counter[str] = collections.Counter()

    def inc(self, labels: Mapping[str, str]) -> None:
        """Add one to the series with `labels`."""
        self.steps[labels[self.label]] += 1

    def hand_over(self) -> None:
        """Add what was counted to the library's counter."""
        for value, count in self.steps.items():
            self.counter.add({self.label: value}, count)
        self.steps.clear()


class Metrics:
    """All counters of one host; names and help texts stand here only.

    Attributes:
        registry: What `/metrics` renders.
    """

    def __init__(self) -> None:
        """Create every counter, and one series for each reason."""
        self.registry = Registry()
        self.hot: list[HotCounter] = []
        self.shown_targets: set[TargetId] = set()
        self.requests = self.hot_counter(
            "agatetack_requests_total", "Requests by route.", "route"
        )
        self.refusals = self.counter(
            "agatetack_refusals_total",
            "Answers that are not a target's own, by route, reason, outcome.",
        )
        self.retries = self.counter(
            "agatetack_retries_total",
            "Attempts after a request's first, by route and reason.",
        )
        self.attempts = self.hot_counter(
            "agatetack_attempts_total",
            "Attempts sent to targets, by route.",
            "route",
        )
        self.budget_spent = self.counter(
            "agatetack_measure_spent_total",
            "Spent on measuring, by unit (probes or bytes).",
        )
        self.budget_refused = self.counter(
            "agatetack_measure_refused_total",
            "Probes not sent because the budget was spent.",
        )
        self.measured = self.hot_counter(
            "agatetack_load_reports_total",
            "Load reports taken, by source.",
            "source",
        )
        self.appends = self.counter(
            "agatetack_log_appends_total",
            "Appends to the log, by stream kind and result.",
        )
        self.appended_records = self.counter(
            "agatetack_log_records_total",
            "Records in those appends, by stream kind.",
        )
        self.dropped = self.counter(
            "agatetack_dropped_total",
            "Records, frames or messages left out, by part and reason.",
        )
        self.in_flight = self.gauge(
            "agatetack_in_flight", "Requests being served, by route."
        )
        self.log_offset = self.gauge(
            "agatetack_log_offset", "Offset read up to, by stream."
        )
        self.log_lag = self.gauge(
            "agatetack_log_lag_records",
            "Records in a stream that are not read yet, by stream.",
        )
        self.peers = self.gauge("agatetack_peers", "Live peers.")
        self.latency = Histogram(
            "agatetack_latency_seconds",
            "Time from arrival to answer headers, by route.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )
        self.target_latency = Histogram(
            "agatetack_target_latency_seconds",
            "Time from attempt to answer headers, by target.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )
        for reason in RefusalReason:
            self.refusals.add(
                {"route": NO_ROUTE_LABEL, "reason": reason.value}, 0
            )
        for retry_reason in RetryReason:
            self.retries.add(
                {"route": NO_ROUTE_LABEL, "reason": retry_reason.value}, 0
            )

    def counter(self, name: str, doc: str) -> Counter:
        """Register a counter; slices add their own this way."""
        return Counter(name, doc, registry=self.registry)

    def hot_counter(self, name: str, doc: str, label: str) -> HotCounter:
        """Register a counter with one label that each request steps."""
        counter = HotCounter(self.counter(name, doc), label)
        self.hot.append(counter)
        return counter

    def gauge(self, name: str, doc: str) -> Gauge:
        """Register a gauge; slices add their own this way."""
        return Gauge(name, doc, registry=self.registry)

    def refused(self, route: RouteId | None, reason: RefusalReason) -> None:
        """Count an answer that is not a target's own."""
        label = NO_ROUTE_LABEL if route is None else route
        self.refusals.inc({"route": label, "reason": reason.value})

    def retried(self, route: RouteId, reason: RetryReason) -> None:
        """Count an attempt after a request's first."""
        self.retries.inc({"route": route, "reason": reason.value})

    def answered(self, route: RouteId, seconds: float) -> None:
        """Count a request and note its time to answer headers."""
        self.latency.observe({"route": route}, seconds)

    def target_answered(self, target: TargetId, seconds: float) -> None:
        """Note an attempt's time to answer headers.

        Only the first targets have a series of their own: at 9,800 the page
        would be 10 MB and take most of a second.
        """
        label = target
        if target not in self.shown_targets:
            if len(self.shown_targets) < MAX_SHOWN_TARGETS:
                self.shown_targets.add(target)
            else:
                label = OTHER_TARGETS_LABEL
        self.target_latency.observe({"target": label}, seconds)

    def hand_over(self) -> None:
        """Add what hot counters hold to the library's counters."""
        for counter in self.hot:
            counter.hand_over()

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of `/metrics`.

        Args:
            accept: The Accept header of the request; text if empty.
        """
        self.hand_over()
        return render(self.registry, [accept] if accept else [])
