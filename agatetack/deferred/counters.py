"""Define the metrics of deferred requests."""

from agatetack.metrics import Metrics


class Counters:
    """The metrics of this package, with their names and help texts."""

    def __init__(self, metrics: Metrics):
        """Register the metrics."""
        self.submits = metrics.counter(
            "agatetack_deferred_submits_total",
            "Submissions, by result.",
        )
        self.runs = metrics.counter(
            "agatetack_deferred_runs_total",
            "Attempts at tickets by this host, by result.",
        )
        self.reappended_records = metrics.counter(
            "agatetack_deferred_reappended_total",
            "Records appended again before retention, by kind.",
        )
        self.scans = metrics.counter(
            "agatetack_deferred_looks_total",
            "Looks through the tickets of a partition, by whether copies "
            "waited for hosts that go first.",
        )
        self.open = metrics.gauge(
            "agatetack_deferred_open", "Open tickets of the whole fleet."
        )
        self.ended = metrics.gauge(
            "agatetack_deferred_ended", "Tickets whose end is kept."
        )
        self.second_ends = metrics.gauge(
            "agatetack_deferred_second_ends",
            "Ends read that came second, since start: doubled runs.",
        )

    def submit(self, result: str) -> None:
        """Count a submission."""
        self.submits.inc({"result": result})

    def run(self, result: str) -> None:
        """Count an attempt to run a ticket."""
        self.runs.inc({"result": result})

    def reappended(self, kind: str) -> None:
        """Count a record appended again."""
        self.reappended_records.inc({"kind": kind})
