"""Rank hosts for each ticket and detect hosts that have disappeared."""

import hashlib
from collections.abc import Sequence

from agatetack.clock import Clock
from agatetack.ids import Deadline, HostId, TicketId
from agatetack.peers.exchange import Exchange
from agatetack.settings.model import Settings

SCORE_BYTES = 8


def score(ticket: TicketId, host: HostId) -> bytes:
    """Return a host's weight for a ticket, for rendezvous hashing."""
    digest = hashlib.blake2b(digest_size=SCORE_BYTES)
    digest.update(ticket.encode())
    digest.update(host.encode())
    return digest.digest()


def rank_of(ticket: TicketId, host: HostId, others: Sequence[HostId]) -> int:
    """Return how many of `others` rank ahead of `host` for a ticket."""
    own = score(ticket, host)
    return sum(score(ticket, other) > own for other in others)


class HostRanking:
    """This host's view of which live host should run which ticket.

    The views of two hosts may differ without harm: the order of the log
    decides between two holds, and if a ticket runs twice, only one result is
    recorded.
    """

    def __init__(self, settings: Settings, exchange: Exchange, clock: Clock):
        """Learn of live peers from `exchange`."""
        self.exchange = exchange
        self.clock = clock
        self.host = HostId(settings.host.id)
        self.takeover_seconds = settings.deferred.takeover_seconds
        self.last_seen: dict[HostId, Deadline] = {}
        self.others: list[HostId] = []

    def refresh(self) -> None:
        """Update the set of live peers; call this about once a second."""
        now = self.clock.now()
        peers = self.exchange.live_peers()
        self.others = [peer.id for peer in peers if not peer.leaving]
        for peer in peers:
            self.last_seen[peer.id] = now

    def rank(self, ticket: TicketId) -> int:
        """Return how many live peers rank ahead of this host."""
        return rank_of(ticket, self.host, self.others)

    def presumed_dead_since(self, host: HostId) -> Deadline | None:
        """Return since when a host is presumed dead, or None if it isn't.

        A host is presumed dead once it has been seen alive and then not for
        `takeover_seconds`. A host that was never seen may only be unreachable
        from here, so its tickets are taken over only when its hold expires.
        """
        last_seen_at = self.last_seen.get(host)
        if last_seen_at is None or host in self.others:
            return None
        dead_since = Deadline(last_seen_at + self.takeover_seconds)
        return dead_since if dead_since <= self.clock.now() else None
