"""Leave targets alone that asked this host to stay away."""

import trio

from agatetack.balance.target_share import TargetShare
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.targets.state import TargetState


class PushbackShare(TargetShare):
    """Lets a host send to a target once the time is over that it asked for.

    The target may report next to no load all the while, as it runs nothing,
    so load alone would choose it first.
    """

    def __init__(self, metrics: Metrics):
        """Count in `metrics` what is held back."""
        self.held = metrics.counter(
            "agatetack_target_pushback_held_total",
            "Choices that passed over a target as it had asked, by service.",
        )

    def allows(self, target: TargetState) -> bool:
        """Return whether this host may send one more request to `target`."""
        if trio.current_time() >= target.pushback_until:
            return True
        self.held.inc({"service": target.service})
        return False

    def opens_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return when it may at the soonest."""
        return max(now, target.pushback_until)

    def may_probe(self, target: TargetState) -> bool:
        """Return whether this host may probe `target`."""
        return trio.current_time() >= target.pushback_until
