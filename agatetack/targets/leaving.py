"""Weigh signs that a target is leaving against evidence that it is back.

The load endpoint and the host list may be outdated or wrong, so neither of
them alone can revoke a sign.
"""

import dataclasses
import enum
import math

from agatetack.ids import Deadline

LONG_HOLD_FACTOR = 30
"""A target that never showed a restart may return after this many holds."""

MAX_HOLD_DOUBLINGS = 5
"""How often the hold doubles at most for a target that returns and leaves
repeatedly."""


class LeavingSign(enum.Enum):
    """The source of a sign that a target is leaving."""

    ANSWER_HEADER = "answer-header"
    CONNECT_REFUSED = "connect-refused"
    HOST_LIST = "host-list"
    HEALTH = "health"
    PEER = "peer"
    OTHER_INSTANCE = "other-instance"


SIGN_STRENGTHS = {
    LeavingSign.PEER: 0,
    LeavingSign.CONNECT_REFUSED: 0,
    LeavingSign.HOST_LIST: 1,
    LeavingSign.HEALTH: 2,
    LeavingSign.OTHER_INSTANCE: 2,
    LeavingSign.ANSWER_HEADER: 2,
}
"""How strong a sign is; a stronger one is harder to revoke.

A failed connection only suggests that the target is leaving. The platform may
revoke its own listing, but only a restart revokes what the target announced.
Hosts learn of signs in different orders, so the strongest sign counts rather
than the first.
"""


SELF_ANNOUNCED_SIGNS = frozenset(
    {LeavingSign.ANSWER_HEADER, LeavingSign.HEALTH}
)
"""Signs by which the target itself announced that it is leaving."""


@dataclasses.dataclass(slots=True)
class LeavingRecord:
    """Why a target gets no new work.

    Attributes:
        sign: The strongest sign.
        at: When the last sign was received.
        hold_until: Evidence that it is back is ignored until this time.
        restarted: Whether it was seen down or cold after the sign, or the
            platform revoked its listing, so that it may be a new process.
        listed_leaving: Whether the host list showed it as leaving.
        listed_live: Whether the host list showed it as live after the hold.
        returns: How often it has returned from leaving before.
        incarnation: The process incarnation that the signs are about.
        id_per_incarnation: Whether a later incarnation has another id, so that
            an announcement by the target itself is final.
    """

    sign: LeavingSign
    at: Deadline
    hold_until: Deadline
    restarted: bool = False
    listed_leaving: bool = False
    listed_live: bool = False
    returns: int = 0
    incarnation: int = 0
    id_per_incarnation: bool = False

    @property
    def announced(self) -> bool:
        """Return whether the target or the platform announced it."""
        return SIGN_STRENGTHS[self.sign] > 0

    @property
    def final(self) -> bool:
        """Return whether nothing can ever revoke it."""
        return self.id_per_incarnation and self.sign in SELF_ANNOUNCED_SIGNS

    def note_sign(
        self, sign: LeavingSign, now: Deadline, hold_seconds: float
    ) -> None:
        """Record another sign and restart the hold."""
        if sign is LeavingSign.CONNECT_REFUSED and self.announced:
            self.restarted = True
        if SIGN_STRENGTHS[sign] > SIGN_STRENGTHS[self.sign]:
            self.sign = sign
        self.hold(now, hold_seconds)

    def hold(self, now: Deadline, hold_seconds: float) -> None:
        """Restart the hold, during which evidence of a return is ignored."""
        self.at = now
        self.listed_live = False
        if self.final:
            self.hold_until = Deadline(math.inf)
            return
        doublings = min(self.returns, MAX_HOLD_DOUBLINGS)
        self.hold_until = Deadline(now + hold_seconds * 2**doublings)

    def note_listed_live(self, now: Deadline) -> None:
        """Weigh that the host list shows the target as live."""
        if now < self.hold_until:
            return
        if self.sign is LeavingSign.HOST_LIST:
            # The platform revoked its own listing as leaving.
            self.restarted = True
        self.listed_live = True

    def may_return(self, now: Deadline, hold_seconds: float) -> bool:
        """Return whether a target that reports to be ready may get work."""
        if not self.listed_live:
            return False
        if not self.announced or self.restarted:
            return True
        return now >= self.at + LONG_HOLD_FACTOR * hold_seconds
