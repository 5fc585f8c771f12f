"""Read the platform's load report, which stands in one header."""

from collections.abc import Mapping

from agatetack.settings.model import Settings
from agatetack.targets.load import (
    USUAL_SLOWNESS,
    LoadReader,
    ParsedLoad,
    ReportedState,
)

USUAL_PERCENT = 100.0

LEAVING = b"1"
"""What the header says that a leaving target adds to its answers."""

LONGEST_WARM_UP_MS = 3_600_000.0
"""Longest time that a target is believed to need to warm up."""


class ListLoadReader(LoadReader):
    """Reads running, waiting, slots and slowness in percent, by commas."""

    def __init__(self, settings: Settings):
        """Read the header that `settings` name."""
        names = settings.targets.headers
        self.name = names.load.encode()
        self.warm_up_name = (names.warm_up_ms or "").encode()
        self.leaving_name = (names.leaving or "").encode()
        self.names = frozenset((self.name,))

    def read(self, headers: Mapping[bytes, bytes]) -> ParsedLoad:
        """Return the report that `headers` hold."""
        state = self._state(headers)
        try:
            figures = [
                float(text) for text in headers.get(self.name, b"").split(b",")
            ]
        except ValueError:
            return ParsedLoad(None, state=state)
        if len(figures) < 3 or any(not 0 <= f < 1e6 for f in figures):
            return ParsedLoad(None, state=state)
        running, waiting, slots = (int(figure) for figure in figures[:3])
        slowness = USUAL_SLOWNESS
        if len(figures) > 3:
            slowness = max(figures[3], 1.0) / USUAL_PERCENT
        return ParsedLoad(
            running + waiting,
            max(1, slots),
            slowness,
            state,
            warm_up_seconds=self._warm_up_seconds(headers),
        )

    def _state(self, headers: Mapping[bytes, bytes]) -> ReportedState | None:
        leaving = headers.get(self.leaving_name, b"").strip() == LEAVING
        return ReportedState.DRAINING if leaving else None

    def _warm_up_seconds(self, headers: Mapping[bytes, bytes]) -> float | None:
        """Return how long the target still warms up, or None if unreadable.

        A target that does not say so has no need to.
        """
        try:
            left = float(headers.get(self.warm_up_name, b"0"))
        except ValueError:
            return None
        return left / 1000 if 0 <= left <= LONGEST_WARM_UP_MS else None
