"""Wait until peers have the replies of a host that stops."""

import dataclasses
from collections.abc import Mapping, Sequence

import trio

from agatetack.clock import Clock
from agatetack.ids import Deadline, HostId
from agatetack.peers.link import Link

STALL_SECONDS = 1.0
"""Longest time for which a host that stops waits for a peer that takes none of
its replies."""

POLL_SECONDS = 0.02
"""Interval at which links are checked meanwhile."""


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How much of its replies a peer is known to have.

    Attributes:
        sequence: The last heartbeat among or after them that it acknowledged.
        stalled_at: When it counts as taking none unless that changes.
    """

    sequence: int
    stalled_at: Deadline


class ReplyFlush:
    """One flush of the replies to all peers.

    Attributes:
        progress: The progress of each peer that lacks a part of its replies.
    """

    def __init__(self, links: Mapping[HostId, Link], clock: Clock):
        """Flush the replies to the peers of `links`."""
        self.links = links
        self.clock = clock
        self.progress: dict[Link, Progress] = {}

    async def run(self, deadline: Deadline) -> Sequence[HostId]:
        """Wait until peers have their replies; return those that may not.

        Requests of peers that run meanwhile are waited for as well.
        """
        now = self.clock.now()
        while now < deadline and self._waits(now):
            stalls = [each.stalled_at for each in self.progress.values()]
            poll_at = now + POLL_SECONDS
            wake_at = min(
                [poll_at, deadline, *(at for at in stalls if at > now)]
            )
            await trio.sleep_until(wake_at)
            now = self.clock.now()
        return sorted(
            link.id for link in self.links.values() if link.has_undelivered
        )

    def _waits(self, now: Deadline) -> bool:
        waits = [self._waits_for(link, now) for link in self.links.values()]
        return any(waits)

    def _waits_for(self, link: Link, now: Deadline) -> bool:
        if link.answering_requests:
            self.progress.pop(link, None)
            return True
        if not link.has_undelivered:
            self.progress.pop(link, None)
            return False
        link.ask_for_acknowledgement()
        # Later heartbeats show no more of the replies.
        sequence = min(link.acknowledged_sequence, link.request_sequence)
        known = self.progress.get(link)
        if known is None or known.sequence != sequence:
            stalled_at = Deadline(now + STALL_SECONDS)
            self.progress[link] = Progress(sequence, stalled_at)
            return True
        return now < known.stalled_at
