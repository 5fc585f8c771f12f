"""Check whether a target crashed when a connection to it was lost."""

import abc

import trio

from agatetack.ids import Deadline, ProcessId
from agatetack.targets.pool import TargetPools
from agatetack.targets.registry import TargetRegistry

REPORT_DELAY_SECONDS = 0.1
"""Maximum delay of a load report that a peer forwards from its target."""


MIN_LOST_TARGETS = 4
"""Number of lost paths from which a host that reaches no target at all is taken
to have lost its paths. One request crashes fewer before it is refused."""


class LivenessCheck(abc.ABC):
    """Distinguishes a crashed target from a single lost connection."""

    @abc.abstractmethod
    async def stayed_up(
        self, target: ProcessId, lost_at: Deadline, until: Deadline
    ) -> bool:
        """Return whether `target` surely did not go down at `lost_at`."""


class PoolLivenessCheck(LivenessCheck):
    """Checks the target's other connections.

    When a process crashes, all its connections are closed, even if it is
    restarted at once. A connection that was opened before the loss and is still
    open and idle proves that the target stayed up; a newer one does not.
    """

    def __init__(self, pools: TargetPools):
        """Check the connections in `pools`."""
        self.pools = pools

    async def stayed_up(
        self, target: ProcessId, lost_at: Deadline, until: Deadline
    ) -> bool:
        """Return whether `target` surely did not go down at `lost_at`."""
        # The closing of its other connections may be noticed a little later.
        await trio.sleep_until((lost_at + until) / 2)
        return any(
            connection.opened_at < lost_at and connection.is_quiet()
            for connection in self.pools.pool(target).idle
        )


class ReportLivenessCheck(LivenessCheck):
    """Checks for a load report that the same process sent after the loss.

    This needs target ids that identify the process: with ids by address, a
    restarted target would send such reports too.
    """

    def __init__(self, registry: TargetRegistry):
        """Check the load reports in `registry`."""
        self.registry = registry

    async def stayed_up(
        self, target: ProcessId, lost_at: Deadline, until: Deadline
    ) -> bool:
        """Return whether `target` surely did not go down at `lost_at`.

        A host that reaches no target can't tell a crash from its own lost
        path, so that it blames no request.
        """
        await trio.sleep_until(until)
        if self._is_cut_off():
            return True
        known = self.registry.by_process.get(target)
        if known is None or known.report is None:
            return False
        # A report received just after the loss may have been sent before it.
        return known.report.at > lost_at + REPORT_DELAY_SECONDS

    def _is_cut_off(self) -> bool:
        if len(self.registry.paths.lost) < MIN_LOST_TARGETS:
            return False
        return not any(map(self.registry.targets, self.registry.services))
