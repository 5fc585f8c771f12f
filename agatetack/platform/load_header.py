"""Parse the platform's load report, which is sent in one header."""

from collections.abc import Mapping

from agatetack.settings.model import Settings
from agatetack.targets.load import (
    USUAL_SLOWNESS,
    LoadReader,
    ParsedLoad,
    ReportedState,
)

NORMAL_SLOWNESS_PERCENT = 100.0

LEAVING_VALUE = b"1"
"""Value of the header that a leaving target adds to its answers."""

MAX_WARM_UP_MS = 3_600_000.0
"""Longest warm-up time that is accepted; a longer one counts as unreadable."""


class CommaSeparatedLoadReader(LoadReader):
    """Parses `running,waiting,slots` and an optional slowness in percent."""

    def __init__(self, settings: Settings):
        """Create a reader of the headers that `settings` name."""
        names = settings.targets.headers
        self.name = names.load.encode()
        self.warm_up_name = (names.warm_up_ms or "").encode()
        self.leaving_name = (names.leaving or "").encode()
        self.names = frozenset((self.name,))

    def read(self, headers: Mapping[bytes, bytes]) -> ParsedLoad:
        """Return the load report in `headers`."""
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
            slowness = max(figures[3], 1.0) / NORMAL_SLOWNESS_PERCENT
        return ParsedLoad(
            running + waiting,
            max(1, slots),
            slowness,
            state,
            warm_up_seconds=self._warm_up_seconds(headers),
        )

    def _state(self, headers: Mapping[bytes, bytes]) -> ReportedState | None:
        leaving = headers.get(self.leaving_name, b"").strip() == LEAVING_VALUE
        return ReportedState.DRAINING if leaving else None

    def _warm_up_seconds(self, headers: Mapping[bytes, bytes]) -> float | None:
        """Return the warm-up time that remains, or None if unreadable.

        A target that does not send the header is warm.
        """
        try:
            left = float(headers.get(self.warm_up_name, b"0"))
        except ValueError:
            return None
        return left / 1000 if 0 <= left <= MAX_WARM_UP_MS else None
