"""Hold what a host learns of one target from its answers and reports."""

import dataclasses

PEER_SECONDS = 1.0
"""Time after which what other hosts told is forgotten."""

PEER_WEIGHT = 0.12
"""Weight of one other host's word, so that it takes several."""


@dataclasses.dataclass(slots=True)
class LearnedLoad:
    """Moving estimates of one target, kept by this host.

    Attributes:
        service_seconds: Time one request takes on a free slot, or None.
        peer_service_seconds: The same by what other hosts lately told.
        peer_at: When the last of them measured it.
        peer_seen: The last `peer_at` that was weighed.
        adopted: Whether the service time is a peer's and not learned here.
        slow: Whether this host found it slow.
        others: Usual number of other hosts' requests there.
        trust: How well reports agreed with latency, from 0 to 1.
        limit: The adaptive limit before rounding.
        shed_until: No work is sent before this time after a shed answer.
        shed_count: Shed answers in a row.
        trial_at: When a target left for slowness may be tried again.
        trial_count: Trials in a row that found it still slow.
        failing: Share of attempts that failed there, as of `failing_at`.
        failing_at: When the last one ended.
        sent: When each request still there was sent, oldest first.
    """

    service_seconds: float | None = None
    peer_service_seconds: float = 0.0
    peer_at: float = float("-inf")
    peer_seen: float = float("-inf")
    adopted: bool = False
    slow: bool = False
    others: float = 0.0
    trust: float = 1.0
    limit: float = 0.0
    shed_until: float = 0.0
    shed_count: int = 0
    trial_at: float = 0.0
    trial_count: int = 0
    failing: float = 0.0
    failing_at: float = 0.0
    sent: dict[int, float] = dataclasses.field(default_factory=dict)

    def note_peer(self, service_seconds: float, at: float) -> None:
        """Take another host's service time; one word alone moves little."""
        base = self.peer_service_seconds
        if at - self.peer_at > PEER_SECONDS:
            base = self.service_seconds or service_seconds
        base += PEER_WEIGHT * (service_seconds - base)
        self.peer_service_seconds = base
        self.peer_at = at

    def out_seconds(self, now: float) -> float:
        """Return how long the oldest request still there has been out."""
        for started in self.sent.values():
            return now - started
        return 0.0
