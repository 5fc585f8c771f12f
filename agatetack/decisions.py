"""Write one log line for each decision, with what it was decided by.

Decisions about a request are held with it and written when it ends: all of
them if it failed, was late or was sent more than once, and a sample of the
others. So the volume is bounded while each failure can be explained.
Decisions about what the host believes are written at once.
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

MOST_HELD = 64
"""Decisions held for one request; later ones are only counted."""

FIRST_SAMPLES = 5
"""Requests that went well of which the decisions are written, in a second."""

MOST_FAILED_LINES = 400
"""Lines about failed requests written in one second; more are counted."""

WINDOW_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Decision:
    """One decision about a request.

    Attributes:
        part: The part that decided.
        event: What was decided.
        wall: When, in seconds since 1970.
        fields: What it was decided by.
    """

    part: str
    event: str
    wall: float
    fields: dict[str, object]


@dataclasses.dataclass(slots=True)
class Story:
    """The decisions about one request, oldest first.

    Attributes:
        decisions: Those that are held.
        left_out: Decisions beyond what is held.
    """

    decisions: list[Decision] = dataclasses.field(default_factory=list)
    left_out: int = 0


class Importance(enum.Enum):
    """Whether a request's decisions are wanted."""

    FAILED = "failed"
    USUAL = "usual"


class DecisionSwitch:
    """Whether decisions are written, and how many may still be.

    Attributes:
        enabled: Whether they are written at all.
    """

    def __init__(self) -> None:
        """Write nothing until told to."""
        self.enabled = False
        self.window_ends = 0.0
        self.left: dict[Importance, int] = {}

    def take(self, importance: Importance, lines: int) -> bool:
        """Return whether a story of `lines` lines may be written now."""
        now = time.monotonic()
        if now >= self.window_ends:
            self.window_ends = now + WINDOW_SECONDS
            self.left = {
                Importance.FAILED: MOST_FAILED_LINES,
                Importance.USUAL: FIRST_SAMPLES,
            }
        cost = lines if importance is Importance.FAILED else 1
        if self.left[importance] < cost:
            limiter.count_drop(LineDrop.REPEATED)
            return False
        self.left[importance] -= cost
        return True


switch = DecisionSwitch()
"""Shared by all parts; `set_up_decisions` turns it on."""


def set_up_decisions(enabled: bool) -> None:
    """Have decisions written from now on, or not."""
    switch.enabled = enabled


class DecisionLog:
    """The decisions of one part."""

    def __init__(self, part: str):
        """Name the part."""
        self.part = part

    def note(self, event: str, **fields: object) -> None:
        """Write a change of what the host believes, or of its state.

        Args:
            event: What changed.
            **fields: What it was decided by, and the outcome.
        """
        if not switch.enabled:
            return
        left_out = limiter.take(f"{self.part}.{event}")
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
        _write(self.part, event, fields)

    def held(self, story: Story, event: str, **fields: object) -> None:
        """Hold a decision about a request until the request ends."""
        if not switch.enabled:
            return
        if len(story.decisions) >= MOST_HELD:
            story.left_out += 1
            return
        story.decisions.append(Decision(self.part, event, time.time(), fields))

    def finish(
        self,
        story: Story,
        importance: Importance,
        request: str,
        **fields: object,
    ) -> None:
        """Write the decisions about a request that has ended.

        Args:
            story: The decisions.
            importance: Whether all are wanted, or a sample.
            request: The request's id.
            **fields: How it ended.
        """
        if not switch.enabled:
            return
        if not switch.take(importance, len(story.decisions) + 1):
            return
        for decision in story.decisions:
            fields_of = {"request": request, **decision.fields}
            _write(decision.part, decision.event, fields_of, decision.wall)
        if story.left_out:
            fields["left_out"] = story.left_out
        _write(self.part, "end", {"request": request, **fields})


def age(at: float | None) -> float | None:
    """Return how old something of time `at` is, in ms; None if not known."""
    if at is None or math.isinf(at):
        return None
    return round((trio.current_time() - at) * 1000, 1)


def _write(
    part: str,
    event: str,
    fields: dict[str, object],
    wall: float | None = None,
) -> None:
    logger = logging.get_absl_logger()
    if not logger.isEnabledFor(std_logging.INFO):
        return
    line = {"part": part, "event": event, **fields}
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    extra = {"line": line, "wall": wall}
    logger.log(std_logging.INFO, "%s: %s %s", part, event, text, extra=extra)
