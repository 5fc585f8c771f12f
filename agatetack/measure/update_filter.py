"""Select the load reports that are new to the hosts that receive them."""

import dataclasses
from collections.abc import Callable

import trio

from agatetack.ids import Deadline, ProcessId
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, TargetState

MIN_SLOWNESS_CHANGE_RATIO = 0.15
"""Relative change of a target's slowness that is sent to peers at once.

If each probe were sent to all peers, each host of a fleet of 14 would handle
some 430 messages a second, which takes a sixth of a core; changes alone are
about a quarter of them.
"""

REPEAT_INTERVAL_SECONDS = 1.0
"""Interval at which unchanged reports are sent again."""


@dataclasses.dataclass(frozen=True, slots=True)
class SentReport:
    """The report of a target that was sent last.

    Attributes:
        slowness: Factor by which its work took longer than usual.
        load: Requests there that the receivers know of only by the report.
        cold: Whether it was warming up.
        rate: The rate limit that it announced, or None.
        repeat_at: When the report is sent again even if nothing changes.
    """

    slowness: float
    load: int
    cold: bool
    rate: float | None
    repeat_at: Deadline


class UpdateFilter:
    """Tracks which report of each target was last sent to a set of hosts.

    Attributes:
        sent: The reports sent last, by instance of a target.
    """

    def __init__(
        self, registry: TargetRegistry, load: Callable[[LoadReport], int]
    ):
        """Start with nothing sent.

        Args:
            registry: The targets.
            load: Returns how many requests at a target the receivers know of
                only by its report.
        """
        self.registry = registry
        self.load = load
        self.sent: dict[ProcessId, SentReport] = {}

    def accept(self, target: TargetState, report: LoadReport) -> bool:
        """Return whether to send `report`; if so it counts as sent."""
        load = self.load(report)
        now = Deadline(trio.current_time())
        cold = target.warmth.is_cold(now)
        rate = target.rate_limit.rate
        last = self.sent.get(target.process)
        if last is not None and now < last.repeat_at:
            change = abs(report.slowness - last.slowness)
            slower = change > MIN_SLOWNESS_CHANGE_RATIO * last.slowness
            same = (load, cold, rate) == (last.load, last.cold, last.rate)
            if same and not slower:
                return False
        repeat_at = Deadline(now + REPEAT_INTERVAL_SECONDS)
        self.sent[target.process] = SentReport(
            report.slowness, load, cold, rate, repeat_at
        )
        if len(self.sent) > 2 * len(self.registry.by_process):
            self._drop_removed()
        return True

    def _drop_removed(self) -> None:
        for process in self.sent.keys() - self.registry.by_process.keys():
            del self.sent[process]


def unreported_load(report: LoadReport) -> int:
    """Return the requests at a target that no host reports as its own."""
    known = report.own_in_flight + report.peer_in_flight
    return max(0, report.in_flight - known)


def total_load(report: LoadReport) -> int:
    """Return all requests at a target."""
    return report.in_flight
