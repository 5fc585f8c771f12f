"""Prometheus metrics of a host.

Each host has its own `Metrics`, so several hosts can run in one process.
Every refusal and retry reason of `agatetack.outcomes` has a series from the
start, so that dashboards show reasons that have not occurred yet.
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


MAX_TARGET_SERIES = 200
"""Most targets that have a latency series of their own."""

OTHER_TARGETS_LABEL = "others"
"""The target label that all other targets share."""


class MeasureKind(enum.Enum):
    """Source of a target's load report."""

    ANSWER = "answer"
    PROBE = "probe"
    PEER = "peer"


class BufferedCounter:
    """A counter with one label that is incremented for each request.

    Increments are collected in a plain map, at a tenth of the cost of an
    increment of the library's counter, and added to that counter when the
    metrics are rendered.
    """

    def __init__(self, counter: Counter, label: str):
        """Create a buffer of `counter`, whose only label is `label`."""
        self.counter = counter
        self.label = label
        self.increments: collections.Counter[str] = collections.Counter()

    def inc(self, labels: Mapping[str, str]) -> None:
        """Add one to the series with `labels`."""
        self.increments[labels[self.label]] += 1

    def flush_buffered(self) -> None:
        """Move the collected increments to the library's counter."""
        for value, count in self.increments.items():
            self.counter.add({self.label: value}, count)
        self.increments.clear()


class Metrics:
    """All common metrics of one host.

    Attributes:
        registry: The registry that `/metrics` renders.
    """

    def __init__(self) -> None:
        """Create the metrics, and one series for each reason."""
        self.registry = Registry()
        self.buffered_counters: list[BufferedCounter] = []
        self.targets_with_series: set[TargetId] = set()
        self.requests = self.buffered_counter(
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
        self.attempts = self.buffered_counter(
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
        self.measured = self.buffered_counter(
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
        self.last_answers = self.counter(
            "agatetack_last_answers_total",
            "Connections of callers that ended as this host stopped, by the"
            " evidence that their last answer was delivered.",
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
        """Register a counter; components use this to add their own."""
        return Counter(name, doc, registry=self.registry)

    def buffered_counter(
        self, name: str, doc: str, label: str
    ) -> BufferedCounter:
        """Register a counter with one label that each request increments."""
        counter = BufferedCounter(self.counter(name, doc), label)
        self.buffered_counters.append(counter)
        return counter

    def gauge(self, name: str, doc: str) -> Gauge:
        """Register a gauge; components use this to add their own."""
        return Gauge(name, doc, registry=self.registry)

    def refused(self, route: RouteId | None, reason: RefusalReason) -> None:
        """Count an answer that is not a target's own."""
        label = NO_ROUTE_LABEL if route is None else route
        self.refusals.inc({"route": label, "reason": reason.value})

    def retried(self, route: RouteId, reason: RetryReason) -> None:
        """Count an attempt after a request's first."""
        self.retries.inc({"route": route, "reason": reason.value})

    def answered(self, route: RouteId, seconds: float) -> None:
        """Record the time to a request's answer headers."""
        self.latency.observe({"route": route}, seconds)

    def target_answered(self, target: TargetId, seconds: float) -> None:
        """Record the time to an attempt's answer headers.

        Only the first targets have their own series, because with 9,800
        targets `/metrics` would have 10 MB and take most of a second.
        """
        label = target
        if target not in self.targets_with_series:
            if len(self.targets_with_series) < MAX_TARGET_SERIES:
                self.targets_with_series.add(target)
            else:
                label = OTHER_TARGETS_LABEL
        self.target_latency.observe({"target": label}, seconds)

    def flush_buffered(self) -> None:
        """Move the increments of all buffered counters to the library's."""
        for counter in self.buffered_counters:
            counter.flush_buffered()

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of `/metrics`.

        Args:
            accept: The request's Accept header; if empty, text is rendered.
        """
        self.flush_buffered()
        return render(self.registry, [accept] if accept else [])
