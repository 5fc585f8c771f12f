"""Choose which host runs a ticket, and tell which holders are gone."""

import hashlib
from collections.abc import Sequence

from agatetack.clock import Clock
from agatetack.ids import Deadline, HostId, TicketId
from agatetack.peers.exchange import Exchange
from agatetack.settings.model import Settings

SCORE_BYTES = 8


def score(ticket: TicketId, host: HostId) -> bytes:
    """Return the weight of a host for a ticket, for rendezvous hashing."""
    digest = hashlib.blake2b(digest_size=SCORE_BYTES)
    digest.update(ticket.encode())
    digest.update(host.encode())
    return digest.digest()


def rank_of(ticket: TicketId, host: HostId, others: Sequence[HostId]) -> int:
    """Return how many of `others` go before `host` for a ticket."""
    own = score(ticket, host)
    return sum(score(ticket, other) > own for other in others)


class Choice:
    """This host's view of who should run what.

    Views differ between hosts, and no harm comes of it: the log's order
    decides between two holds, and a doubled run is recorded once.
    """

    def __init__(self, settings: Settings, exchange: Exchange, clock: Clock):
        """Take the view from `exchange`."""
        self.exchange = exchange
        self.clock = clock
        self.host = HostId(settings.host.id)
        self.takeover_seconds = settings.deferred.takeover_seconds
        self.last_seen: dict[HostId, Deadline] = {}
        self.others: list[HostId] = []

    def refresh(self) -> None:
        """Note which peers are live now; call it every second or so."""
        now = self.clock.now()
        peers = self.exchange.live_peers()
        self.others = [peer.id for peer in peers if not peer.leaving]
        for peer in peers:
            self.last_seen[peer.id] = now

    def rank(self, ticket: TicketId) -> int:
        """Return how many live peers go before this host."""
        return rank_of(ticket, self.host, self.others)

    def gone_since(self, host: HostId) -> Deadline | None:
        """Return since when a host counts as gone, or None.

        It must have been seen, and not lately. One that was never seen may
        be out of this host's sight, so only the end of its hold tells.
        """
        seen = self.last_seen.get(host)
        if seen is None or host in self.others:
            return None
        gone_at = Deadline(seen + self.takeover_seconds)
        return gone_at if gone_at <= self.clock.now() else None
