"""Recognise messages that came before, by another way or from a past host."""

import dataclasses
import enum
from collections import OrderedDict

WINDOW = 1024
"""How far behind an origin's newest message one may arrive and be taken."""

MAX_ORIGINS = 8192
"""Origins remembered; the one heard longest ago is forgotten first."""


class Verdict(enum.Enum):
    """What is known of an arriving message."""

    NEW = "new"
    DUPLICATE = "duplicate"
    OLD_INCARNATION = "old-incarnation"


@dataclasses.dataclass(slots=True)
class OriginWindow:
    """The messages of one origin that were seen.

    Attributes:
        incarnation: The highest heard of.
        highest: The highest sequence number seen.
        seen: Bit n tells whether `highest - n` was seen.
    """

    incarnation: int
    highest: int = 0
    seen: int = 0


class DuplicateFilter:
    """The messages seen lately from every origin, in bounded memory."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.origins: OrderedDict[str, OriginWindow] = OrderedDict()

    def check(self, origin: str, incarnation: int, sequence: int) -> Verdict:
        """Return whether a message is new, and remember it."""
        window = self.origins.get(origin)
        if window is None or incarnation > window.incarnation:
            window = OriginWindow(incarnation, highest=sequence)
            self.origins[origin] = window
        elif incarnation < window.incarnation:
            return Verdict.OLD_INCARNATION
        self.origins.move_to_end(origin)
        if len(self.origins) > MAX_ORIGINS:
            self.origins.popitem(last=False)
        return _mark(window, sequence)


def _mark(window: OriginWindow, sequence: int) -> Verdict:
    if sequence > window.highest:
        shift = min(sequence - window.highest, WINDOW)
        window.seen = (window.seen << shift) & ((1 << WINDOW) - 1)
        window.highest = sequence
    behind = window.highest - sequence
    if behind >= WINDOW or window.seen >> behind & 1:
        return Verdict.DUPLICATE
    window.seen |= 1 << behind
    return Verdict.NEW
