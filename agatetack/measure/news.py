"""Tell which load reports say what the hosts that hear them don't know yet."""

import dataclasses
from collections.abc import Callable

import trio

from agatetack.ids import Deadline, ProcessId
from agatetack.targets.registry import TargetRegistry
from agatetack.targets.state import LoadReport, TargetState

TOLD_CHANGE = 0.15
"""Change of a target's slowness that peers are told of at once.

Each probe told to all costs a host of 14 some 430 messages a second, a sixth
of a core; changes alone are about a quarter of them.
"""

REPEAT_SECONDS = 1.0
"""How often peers are told of a target that does not change."""


@dataclasses.dataclass(frozen=True, slots=True)
class ToldReport:
    """What was told of a target last.

    Attributes:
        slowness: How many times longer than usual work took there.
        load: Requests there that the hearers don't know of otherwise.
        cold: Whether it was warming up.
        rate: The rate that it named, or None.
        repeat_at: When it is told again, even if nothing changes.
    """

    slowness: float
    load: int
    cold: bool
    rate: float | None
    repeat_at: Deadline


class ReportNews:
    """What some hosts were told of each target.

    Attributes:
        told: What was told last, by start of a target.
    """

    def __init__(
        self, registry: TargetRegistry, load: Callable[[LoadReport], int]
    ):
        """Start with nothing told.

        Args:
            registry: The targets.
            load: Returns how many requests at a target the hearers learn of
                by its report alone.
        """
        self.registry = registry
        self.load = load
        self.told: dict[ProcessId, ToldReport] = {}

    def take(self, target: TargetState, report: LoadReport) -> bool:
        """Return whether to tell `report`, which then counts as told."""
        load = self.load(report)
        now = Deadline(trio.current_time())
        cold = target.warmth.is_cold(now)
        rate = target.rate_limit.rate
        last = self.told.get(target.process)
        if last is not None and now < last.repeat_at:
            change = abs(report.slowness - last.slowness)
            slower = change > TOLD_CHANGE * last.slowness
            same = (load, cold, rate) == (last.load, last.cold, last.rate)
            if same and not slower:
                return False
        repeat_at = Deadline(now + REPEAT_SECONDS)
        self.told[target.process] = ToldReport(
            report.slowness, load, cold, rate, repeat_at
        )
        if len(self.told) > 2 * len(self.registry.by_process):
            self._forget_gone()
        return True

    def _forget_gone(self) -> None:
        for process in self.told.keys() - self.registry.by_process.keys():
            del self.told[process]


def unseen_load(report: LoadReport) -> int:
    """Return the requests at a target that no host tells of."""
    known = report.own_in_flight + report.told_in_flight
    return max(0, report.in_flight - known)


def whole_load(report: LoadReport) -> int:
    """Return all requests at a target."""
    return report.in_flight
