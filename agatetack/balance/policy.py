"""Define how a target is chosen."""

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
