"""Store one host's configuration and accept changes to it."""

import trio
from returns.result import Failure, Result, Success

from agatetack.clock import Clock
from agatetack.config.change import (
    NO_VERSION,
    Accepted,
    ChangeState,
    ChangeStatus,
    InDoubt,
    Rejected,
    RejectReason,
    RouteChange,
)
from agatetack.config.counters import ConfigCounters
from agatetack.config.fold import Decision, Fold, Verdict, check_change
from agatetack.config.records import (
    change_digest,
    encode_change,
)
from agatetack.config.route import RouteSource
from agatetack.config.sharing import PeerSharing
from agatetack.config.snapshot_writer import SnapshotWriter
from agatetack.config.state import ConfigState, Waiter
from agatetack.config.tail import LogTail
from agatetack.config.writing import ChangeAppender
from agatetack.ids import ChangeId, Deadline, LogOffset
from agatetack.metrics import Metrics
from agatetack.peers.exchange import Exchange
from agatetack.record_log.log import Log
from agatetack.settings.model import Settings

ChangeResult = Result[Accepted, Rejected | InDoubt]
"""The result of `ConfigStore.apply`."""

REJECT_REASONS = {
    Verdict.CONFLICT: RejectReason.CONFLICT,
    Verdict.PATH_TAKEN: RejectReason.PATH_TAKEN,
    Verdict.INVALID: RejectReason.INVALID,
}

REJECT_DETAILS = {
    Verdict.CONFLICT: "the route is not at the expected version",
    Verdict.PATH_TAKEN: "another route takes the same host and path prefix",
    Verdict.INVALID: "the change breaks the rules",
}


class ConfigStore:
    """One host's configuration: follows the log and peers, accepts changes.

    Attributes:
        state: The fold, the table in force and the waiters for changes.
    """

    def __init__(
        self,
        settings: Settings,
        log: Log,
        exchange: Exchange,
        source: RouteSource,
        metrics: Metrics,
        clock: Clock,
    ):
        """Put the routes in force into `source`, which has none at first."""
        self.settings = settings
        self.log = log
        self.clock = clock
        self.counters = ConfigCounters(metrics)
        self.state = ConfigState(
            source, self.counters, settings.config.kept_records
        )
        self.tail = LogTail(settings, log, exchange, self.state, clock)
        self.sharing = PeerSharing(settings, exchange, self.state, clock)
        self.writer = SnapshotWriter(settings, log, self.state, clock)

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow the log, exchange records with peers and write snapshots.

        Runs until cancelled.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.tail.run)
            nursery.start_soon(self.sharing.announce)
            nursery.start_soon(self.sharing.fetch)
            nursery.start_soon(self.writer.run)
            task_status.started()

    @property
    def ready(self) -> bool:
        """Return whether the routes in force are known."""
        return self.state.ready

    @property
    def fold(self) -> Fold:
        """Return this host's fold, which must not be modified."""
        return self.state.fold

    def version(self) -> LogOffset:
        """Return the offset of the last record folded, or NO_VERSION."""
        return self.state.fold.version

    def change_state(self, change_id: ChangeId) -> ChangeState:
        """Return what this host knows of a change."""
        decision = self.state.fold.decisions.get(change_id)
        if decision is None:
            if change_id in self.state.waiters:
                return ChangeState(ChangeStatus.PENDING)
            return ChangeState(ChangeStatus.UNKNOWN)
        if decision.verdict is Verdict.ACCEPTED:
            return ChangeState(ChangeStatus.ACCEPTED, decision.offset)
        return ChangeState(
            ChangeStatus.REJECTED,
            decision.winner,
            REJECT_REASONS[decision.verdict],
        )

    async def apply(
        self, change: RouteChange, deadline: Deadline
    ) -> ChangeResult:
        """Append a change to the log and return its outcome.

        It may be called again with the same change, on this or another host;
        the change takes effect at most once.

        Args:
            change: The requested change.
            deadline: When to stop waiting.

        Returns:
            Accepted once the change was read back from the log and is in
            force on this host, Rejected if it never will be in force, and
            InDoubt if the outcome was not known by `deadline`.
        """
        known = self._known_result(change)
        if known is not None:
            return known
        rejection = self._reject_early(change)
        if rejection is not None:
            return Failure(rejection)
        waiter = self.state.add_waiter(change.change_id)
        try:
            payload = encode_change(change, waiter.base)
            appender = ChangeAppender(self.tail, payload, waiter)
            with trio.move_on_at(deadline):
                await appender.run(deadline)
                await self._publish(waiter.decision)
            return self._result(change, waiter, appender)
        finally:
            self.state.remove_waiter(change.change_id, waiter)

    def _reject_early(self, change: RouteChange) -> Rejected | None:
        findings = check_change(change)
        if findings:
            return Rejected(RejectReason.INVALID, "; ".join(findings))
        if not self.ready:
            return Rejected(
                RejectReason.NOT_READY, "this host has no configuration yet"
            )
        # A route never returns to an earlier version, so if this host has read
        # the expected version and the route now has another one, the change
        # is rejected without reading the log. NO_VERSION is not checked here,
        # as it applies again once the route is deleted.
        expected = change.expected_version
        current = self.fold.version_of(change.route_id)
        if NO_VERSION < expected <= self.version() and expected != current:
            return Rejected(
                RejectReason.CONFLICT, REJECT_DETAILS[Verdict.CONFLICT], current
            )
        return None

    def _result(
        self, change: RouteChange, waiter: Waiter, appender: ChangeAppender
    ) -> ChangeResult:
        known = self._known_result(change)
        if known is not None:
            return known
        if waiter.stale:
            return Failure(
                Rejected(
                    RejectReason.STALE,
                    "too many other records were appended before the change",
                )
            )
        if appender.too_large:
            return Failure(
                Rejected(
                    RejectReason.INVALID, "the record is too large for the log"
                )
            )
        if not appender.may_be_in_log:
            return Failure(
                Rejected(
                    RejectReason.LOG_UNAVAILABLE,
                    "the log did not accept the change",
                )
            )
        return Failure(InDoubt("the change was not read back in time"))

    async def _publish(self, decision: Decision | None) -> None:
        if decision is None or decision.verdict is not Verdict.ACCEPTED:
            return
        self.sharing.publish_from(decision.offset)
        await self.sharing.wait_acknowledged(decision.offset)

    def _known_result(self, change: RouteChange) -> ChangeResult | None:
        decision = self.fold.decisions.get(change.change_id)
        if decision is None:
            return None
        if decision.digest != change_digest(change):
            return Failure(
                Rejected(
                    RejectReason.INVALID,
                    "change_id: was used for another change",
                    decision.offset,
                )
            )
        if decision.verdict is Verdict.ACCEPTED:
            return Success(Accepted(decision.offset))
        return Failure(
            Rejected(
                REJECT_REASONS[decision.verdict],
                REJECT_DETAILS[decision.verdict],
                decision.winner,
            )
        )
