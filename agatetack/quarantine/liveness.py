"""Find out whether a target went down when a connection was lost."""

import abc

import trio

from agatetack.ids import Deadline, ProcessId
from agatetack.targets.pool import TargetPools
from agatetack.targets.registry import TargetRegistry

REPORT_DELAY_SECONDS = 0.1
"""Longest time that a report is on its way, from its target by a peer."""


class LivenessCheck(abc.ABC):
    """A way to tell a crashed target from one lost connection."""

    @abc.abstractmethod
    async def stayed_up(
        self, target: ProcessId, lost_at: Deadline, until: Deadline
    ) -> bool:
        """Return whether `target` surely did not go down at `lost_at`."""


class PoolLivenessCheck(LivenessCheck):
    """Looks at the target's other connections.

    A process that went down took all its connections with it, even if it was
    started again at once. A connection opened before the loss that is still
    quiet proves that the target stayed up; a new connection would not.
    """

    def __init__(self, pools: TargetPools):
        """Look at the connections in `pools`."""
        self.pools = pools

    async def stayed_up(
        self, target: ProcessId, lost_at: Deadline, until: Deadline
    ) -> bool:
        """Return whether `target` surely did not go down at `lost_at`."""
        # The ends of its other connections may arrive a little later.
        await trio.sleep_until((lost_at + until) / 2)
        return any(
            connection.opened_at < lost_at and connection.is_quiet()
            for connection in self.pools.pool(target).idle
        )


class ReportLivenessCheck(LivenessCheck):
    """Looks for a load report that the same process gave after the loss.

    It takes targets that are named by process, as one that is started again
    at the same address would report just as well.
    """

    def __init__(self, registry: TargetRegistry):
        """Look at the reports in `registry`."""
        self.registry = registry

    async def stayed_up(
        self, target: ProcessId, lost_at: Deadline, until: Deadline
    ) -> bool:
        """Return whether `target` surely did not go down at `lost_at`."""
        await trio.sleep_until(until)
        known = self.registry.by_process.get(target)
        if known is None or known.report is None:
            return False
        # A report just after the loss may have left the target before it.
        return known.report.at > lost_at + REPORT_DELAY_SECONDS
