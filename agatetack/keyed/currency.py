"""Tell by the age of what is known of a topic whether it is current."""

import trio

from agatetack.clock import Lateness
from agatetack.config.currency import Currency
from agatetack.keyed.follower import TopicFollower

MAX_SERVED_AGE_SECONDS = 2.0
"""Age up to which requests are decided by what is known. Hosts that are on time
read the store before, so that only one that stood still or was late knows so
little. Changes have to be in force after 2 s or more."""


class TopicCurrency(Currency):
    """The currency of what a follower has read or was told.

    Attributes:
        follower: The follower of the topic.
        lateness: How late this host's event loop runs.
    """

    def __init__(self, follower: TopicFollower, lateness: Lateness):
        """Judge the records of `follower`."""
        self.follower = follower
        self.lateness = lateness

    @property
    def is_old(self) -> bool:
        """Return whether the records may be too old to be served by."""
        if self.follower.content.position is None or self._store_is_silent:
            return False
        age_seconds = trio.current_time() - self.follower.complete_at
        return age_seconds > MAX_SERVED_AGE_SECONDS

    @property
    def may_lack_routes(self) -> bool:
        """Return whether another host has more, or the records may be old."""
        return self.follower.backlog.since is not None or self.is_old

    @property
    def _store_is_silent(self) -> bool:
        """Return whether calls failed though this host took their replies.

        A late host may find a call's time over before it looks at the reply.
        """
        return self.follower.failures > 0 and not self.lateness.late
