"""Define the metrics of one host's configuration."""

import enum

from agatetack.config.fold import Verdict
from agatetack.ids import LogOffset, WallTime
from agatetack.metrics import Metrics


class Problem(enum.Enum):
    """Kinds of failures in reading, replicating or storing configuration."""

    LOG_UNAVAILABLE = "log-unavailable"
    LOG_TRUNCATED = "log-truncated"
    LOG_BEHIND = "log-behind"
    NO_SNAPSHOT = "no-snapshot"
    BAD_SNAPSHOT = "bad-snapshot"
    BAD_PEER_MESSAGE = "bad-peer-message"
    CHAIN_MISMATCH = "chain-mismatch"
    PEER_UNREACHABLE = "peer-unreachable"
    SNAPSHOT_FAILED = "snapshot-failed"
    NOT_ACKNOWLEDGED = "not-acknowledged"


class AppendResult(enum.Enum):
    """The result of one append to the configuration stream."""

    DONE = "done"
    TOO_FAST = "too-fast"
    UNAVAILABLE = "unavailable"
    IN_DOUBT = "in-doubt"


class ConfigCounters:
    """Metrics of the configuration.

    All verdicts, problems and append results are exported from the start.
    """

    def __init__(self, metrics: Metrics):
        """Register the metrics."""
        self.verdicts = metrics.counter(
            "agatetack_config_verdicts_total",
            "Records of the configuration stream, by what the fold made of it.",
        )
        self.records = metrics.counter(
            "agatetack_config_records_total", "Records folded, by source."
        )
        self.snapshots_loaded = metrics.counter(
            "agatetack_config_snapshots_loaded_total",
            "Snapshots taken in place of records, by source.",
        )
        self.snapshots_written = metrics.counter(
            "agatetack_config_snapshots_written_total",
            "Snapshots written by this host.",
        )
        self.snapshots_written.set({}, 0)
        self.problems = metrics.counter(
            "agatetack_config_problems_total",
            "Failures in reading, spreading or keeping configuration.",
        )
        self.appends = metrics.counter(
            "agatetack_config_appends_total",
            "Appends of changes by this host, by result.",
        )
        self.version = metrics.gauge(
            "agatetack_config_version", "Offset of the last record folded."
        )
        self.routes = metrics.gauge(
            "agatetack_config_routes", "Routes in force."
        )
        self.confirmed = metrics.gauge(
            "agatetack_config_confirmed_timestamp_seconds",
            "Wall time at which the log last had nothing newer.",
        )
        self.ready = metrics.gauge(
            "agatetack_config_ready", "1 with configuration in force, else 0."
        )
        for verdict in Verdict:
            self.verdicts.add({"verdict": verdict.value}, 0)
        for problem in Problem:
            self.problems.add({"problem": problem.value}, 0)
        for result in AppendResult:
            self.appends.add({"result": result.value}, 0)

    def count_verdict(self, verdict: Verdict) -> None:
        """Count a record by its verdict."""
        self.verdicts.inc({"verdict": verdict.value})

    def count_folded(self, source: str, count: int) -> None:
        """Count folded records by source."""
        self.records.add({"source": source}, count)

    def count_loaded(self, source: str) -> None:
        """Count a loaded snapshot by source."""
        self.snapshots_loaded.inc({"source": source})

    def count_written(self) -> None:
        """Count a written snapshot."""
        self.snapshots_written.inc({})

    def count_problem(self, problem: Problem) -> None:
        """Count a problem."""
        self.problems.inc({"problem": problem.value})

    def count_append(self, result: AppendResult) -> None:
        """Count an append by its result."""
        self.appends.inc({"result": result.value})

    def set_confirmed(self, wall: WallTime) -> None:
        """Set the time at which this host last held the newest version."""
        self.confirmed.set({}, wall)

    def set_position(
        self, version: LogOffset, routes: int, ready: bool
    ) -> None:
        """Set the gauges of the version, the routes and readiness."""
        self.version.set({}, version)
        self.routes.set({}, routes)
        self.ready.set({}, int(ready))
