"""Stop sending to targets for as long as they asked this host to."""

from collections.abc import Sequence

import trio

from agatetack.balance.target_share import TargetShare
from agatetack.ids import Deadline
from agatetack.metrics import Metrics
from agatetack.targets.state import TargetState


class PushbackShare(TargetShare):
    """Allows requests to a target once the pushback delay it asked for is over.

    Until then the target may run nothing and report almost no load, so a choice
    by load alone would prefer it.
    """

    def __init__(self, metrics: Metrics):
        """Count in `metrics` the targets that were passed over."""
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

    def restricted(
        self, targets: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        """Return the targets whose pushback delay is not over."""
        return [t for t in targets if now < t.pushback_until]

    def next_send_at(self, target: TargetState, now: Deadline) -> Deadline:
        """Return the earliest time it may send."""
        return max(now, target.pushback_until)

    def may_probe(self, target: TargetState) -> bool:
        """Return whether this host may probe `target`."""
        return trio.current_time() >= target.pushback_until
