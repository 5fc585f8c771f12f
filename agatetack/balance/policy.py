"""Define the interface of the policies that choose targets."""

import abc
from collections.abc import Sequence

from agatetack.ids import Deadline
from agatetack.targets.state import TargetState


class Policy(abc.ABC):
    """A way to choose the target of an attempt."""

    @abc.abstractmethod
    def choose(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> TargetState | None:
        """Return one of `candidates`, or None to leave the request waiting.

        Args:
            candidates: Targets that may take a request now; not empty, each
                below its limit, none leaving.
            now: The time of the choice.
        """

    def hedge_candidates(
        self, candidates: Sequence[TargetState], now: Deadline
    ) -> Sequence[TargetState]:
        """Return the candidates that may get a second, hedged attempt.

        Args:
            candidates: Targets that may take a request now.
            now: The time of the choice.
        """
        return candidates

    def has_free_slot(self, target: TargetState, now: Deadline) -> bool:
        """Return whether a request would not wait at `target`."""
        return True

    def sent(self, target: TargetState, now: Deadline) -> None:  # noqa: B027
        """Record that an attempt goes to `target`, which already counts it."""

    def answered(  # noqa: B027
        self, target: TargetState, latency: float, ahead: float, now: Deadline
    ) -> None:
        """Update the estimates from one answer.

        Args:
            target: The target that answered.
            latency: Seconds from the attempt's start to the answer's headers.
            ahead: Requests that were expected ahead of it when it started.
            now: The time of the answer.
        """

    def shed(self, target: TargetState, now: Deadline) -> None:  # noqa: B027
        """Record that `target` refused a request because of its load."""

    def failed(self, target: TargetState, now: Deadline) -> None:  # noqa: B027
        """Record that an attempt at `target` failed."""

    def take_changed(self) -> Sequence[TargetState]:
        """Return targets that became slow or recovered since the last call."""
        return ()

    def expected_load(self, target: TargetState, now: Deadline) -> float:
        """Return the estimated number of requests at `target` now."""
        if target.report is None:
            return float(target.in_flight)
        return float(max(target.in_flight, target.report.in_flight))
