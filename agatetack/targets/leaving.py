"""Weigh the signs that a target is leaving against those that it is back.

The load endpoint and the host list lag or mislead, so a good word from either
does not undo a sign by itself.
"""

import dataclasses
import enum
import math

from agatetack.ids import Deadline

LONG_HOLD_FACTOR = 30
"""Holds after which a target that never showed a restart may come back."""

MAX_HOLD_DOUBLINGS = 5
"""How often the hold doubles for a target that keeps coming and going."""


class LeavingSign(enum.Enum):
    """What showed that a target is leaving."""

    ANSWER_HEADER = "answer-header"
    CONNECT_REFUSED = "connect-refused"
    HOST_LIST = "host-list"
    HEALTH = "health"
    PEER = "peer"
    OTHER_INSTANCE = "other-instance"


STRENGTHS = {
    LeavingSign.PEER: 0,
    LeavingSign.CONNECT_REFUSED: 0,
    LeavingSign.HOST_LIST: 1,
    LeavingSign.HEALTH: 2,
    LeavingSign.OTHER_INSTANCE: 2,
    LeavingSign.ANSWER_HEADER: 2,
}
"""How hard a sign is to take back.

A failed connection only suggests that the target leaves. The platform may
take back its own word, but what the target said is undone by a restart only.
Hosts hear of signs in different orders, so the strongest counts and not the
first.
"""


OWN_WORDS = frozenset({LeavingSign.ANSWER_HEADER, LeavingSign.HEALTH})
"""Signs by which the target itself said that it leaves."""


@dataclasses.dataclass(slots=True)
class LeavingRecord:
    """Why a target gets no new work.

    Attributes:
        sign: The strongest sign.
        at: When the last sign came.
        hold_until: No evidence before this time counts.
        restarted: Whether it was seen gone, or cold, since it announced.
        listed_leaving: Whether the list said leaving.
        listed_live: Whether the list said live after the hold.
        returns: Times it came back and left again.
        incarnation: Which start of the target it is about.
        id_of_one_start: Whether a later start has another id, so that what
            the target said itself holds for ever.
    """

    sign: LeavingSign
    at: Deadline
    hold_until: Deadline
    restarted: bool = False
    listed_leaving: bool = False
    listed_live: bool = False
    returns: int = 0
    incarnation: int = 0
    id_of_one_start: bool = False

    @property
    def announced(self) -> bool:
        """Return whether the target or the platform said that it leaves."""
        return STRENGTHS[self.sign] > 0

    @property
    def final(self) -> bool:
        """Return whether nothing undoes it ever."""
        return self.id_of_one_start and self.sign in OWN_WORDS

    def note_sign(
        self, sign: LeavingSign, now: Deadline, hold_seconds: float
    ) -> None:
        """Take one more sign, or the first."""
        if sign is LeavingSign.CONNECT_REFUSED and self.announced:
            self.restarted = True
        if STRENGTHS[sign] > STRENGTHS[self.sign]:
            self.sign = sign
        self.hold(now, hold_seconds)

    def hold(self, now: Deadline, hold_seconds: float) -> None:
        """Let no evidence count for another hold."""
        self.at = now
        self.listed_live = False
        if self.final:
            self.hold_until = Deadline(math.inf)
            return
        doublings = min(self.returns, MAX_HOLD_DOUBLINGS)
        self.hold_until = Deadline(now + hold_seconds * 2**doublings)

    def note_listed_live(self, now: Deadline) -> None:
        """Weigh the list's word that the target is live."""
        if now < self.hold_until:
            return
        if self.sign is LeavingSign.HOST_LIST:
            # The platform took its own word back.
            self.restarted = True
        self.listed_live = True

    def may_return(self, now: Deadline, hold_seconds: float) -> bool:
        """Return whether a target that answers to be ready may get work."""
        if not self.listed_live:
            return False
        if not self.announced or self.restarted:
            return True
        return now >= self.at + LONG_HOLD_FACTOR * hold_seconds
