"""Log each decision of a host together with its inputs.

Decisions about a request are buffered and written when the request ends: all
of them if it failed, was late or was sent more than once, and a sample
otherwise. This bounds the volume, while each failure can be explained.
Decisions that change the host's own state are written at once.
"""

import dataclasses
import enum
import logging as std_logging
import math
import time

import trio
from absl import logging

from agatetack.log_writer import LineDrop
from agatetack.logs import limiter

MAX_BUFFERED_DECISIONS = 64
"""Decisions buffered for one request; further ones are only counted."""

MAX_SAMPLES_PER_SECOND = 5
"""Successful requests per second whose decisions are written."""

MAX_FAILED_LINES_PER_SECOND = 400
"""Lines about failed requests written per second; the requests whose lines
don't fit are only counted."""

WINDOW_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Decision:
    """One decision about a request.

    Attributes:
        part: The component that decided.
        event: Name of the decision.
        wall: Wall time of the decision, in seconds since 1970.
        fields: The inputs of the decision and its outcome.
    """

    part: str
    event: str
    wall: float
    fields: dict[str, object]


@dataclasses.dataclass(slots=True)
class DecisionTrace:
    """The decisions about one request, oldest first.

    Attributes:
        decisions: The buffered decisions.
        left_out: Number of decisions that were dropped, as the buffer was
            full.
    """

    decisions: list[Decision] = dataclasses.field(default_factory=list)
    left_out: int = 0


class Importance(enum.Enum):
    """Whether all requests' decisions are written, or only a sample."""

    FAILED = "failed"
    USUAL = "usual"


class DecisionSwitch:
    """Turns decision logs on or off and limits their rate.

    Attributes:
        enabled: Whether decisions are written at all.
    """

    def __init__(self) -> None:
        """Start disabled."""
        self.enabled = False
        self.window_ends = 0.0
        self.left: dict[Importance, int] = {}

    def take(self, importance: Importance, lines: int) -> bool:
        """Return whether a trace of `lines` lines may be written now."""
        now = time.monotonic()
        if now >= self.window_ends:
            self.window_ends = now + WINDOW_SECONDS
            self.left = {
                Importance.FAILED: MAX_FAILED_LINES_PER_SECOND,
                Importance.USUAL: MAX_SAMPLES_PER_SECOND,
            }
        cost = lines if importance is Importance.FAILED else 1
        if self.left[importance] < cost:
            limiter.count_drop(LineDrop.REPEATED)
            return False
        self.left[importance] -= cost
        return True


switch = DecisionSwitch()
"""Shared by all components; `set_up_decisions` turns it on."""


def set_up_decisions(enabled: bool) -> None:
    """Turn decision logs on or off."""
    switch.enabled = enabled


class DecisionLog:
    """The decision log of one component."""

    def __init__(self, part: str):
        """Create the log of the component named `part`."""
        self.part = part

    def note(self, event: str, **fields: object) -> None:
        """Write a change of the host's state or of its view of others.

        Args:
            event: Name of the change.
            **fields: The inputs of the decision, and its outcome.
        """
        self._note(event, fields, std_logging.INFO)

    def warn(self, event: str, **fields: object) -> None:
        """Write, as a warning, a state that the host should not be in.

        Args:
            event: Name of the state.
            **fields: What shows it.
        """
        self._note(event, fields, std_logging.WARNING)

    def _note(self, event: str, fields: dict[str, object], level: int) -> None:
        if not switch.enabled:
            return
        left_out = limiter.take(f"{self.part}.{event}")
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
        _write(self.part, event, fields, level=level)

    def held(
        self, decision_trace: DecisionTrace, event: str, **fields: object
    ) -> None:
        """Buffer a decision about a request until the request ends."""
        if not switch.enabled:
            return
        if len(decision_trace.decisions) >= MAX_BUFFERED_DECISIONS:
            decision_trace.left_out += 1
            return
        decision_trace.decisions.append(
            Decision(self.part, event, time.time(), fields)
        )

    def finish(
        self,
        decision_trace: DecisionTrace,
        importance: Importance,
        request: str,
        **fields: object,
    ) -> None:
        """Write the decisions about a request that has ended.

        Args:
            decision_trace: The decisions.
            importance: Whether the request failed or is subject to sampling.
            request: The request's id.
            **fields: The result of the request.
        """
        if not switch.enabled:
            return
        if not switch.take(importance, len(decision_trace.decisions) + 1):
            return
        for decision in decision_trace.decisions:
            fields_of = {"request": request, **decision.fields}
            _write(decision.part, decision.event, fields_of, decision.wall)
        if decision_trace.left_out:
            fields["left_out"] = decision_trace.left_out
        _write(self.part, "end", {"request": request, **fields})


def age(at: float | None) -> float | None:
    """Return the time since `at` in ms; None if `at` is unknown."""
    if at is None or math.isinf(at):
        return None
    return round((trio.current_time() - at) * 1000, 1)


def _write(
    part: str,
    event: str,
    fields: dict[str, object],
    wall: float | None = None,
    level: int = std_logging.INFO,
) -> None:
    logger = logging.get_absl_logger()
    if not logger.isEnabledFor(level):
        return
    line = {"part": part, "event": event, **fields}
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    extra = {"line": line, "wall": wall}
    logger.log(level, "%s: %s %s", part, event, text, extra=extra)
