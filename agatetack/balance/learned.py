"""Hold a host's estimates of one target, from its answers and reports."""

import dataclasses

PEER_MAX_AGE_SECONDS = 1.0
"""Time after which the measurements of other hosts are discarded."""

PEER_WEIGHT = 0.12
"""Weight of one measurement of another host in the moving average, low enough
that one alone changes little."""


@dataclasses.dataclass(slots=True)
class LearnedLoad:
    """Moving averages and backoff state of one target, kept by this host.

    Attributes:
        service_seconds: Time one request takes on a free slot, or None.
        peer_service_seconds: The same, as recently measured by other hosts.
        peer_measured_at: When the last of them measured it.
        peer_applied_at: The last `peer_measured_at` that was applied.
        from_peers: Whether the service time comes from other hosts.
        slow: Whether the target is considered slow.
        others: Usual number of other hosts' requests there.
        trust: How well reports agreed with the latency, from 0 to 1.
        limit: The adaptive limit before rounding.
        shed_until: When requests may be sent again after a shed answer.
        shed_count: Consecutive shed answers.
        trial_at: When a target that is avoided may be tried again.
        trial_count: Consecutive trials that found it still slow.
        failure_rate: Ratio of failed attempts, as of `failure_rate_at`.
        failure_rate_at: When the last attempt ended.
        sent: When each request in flight was sent, oldest first.
    """

    service_seconds: float | None = None
    peer_service_seconds: float = 0.0
    peer_measured_at: float = float("-inf")
    peer_applied_at: float = float("-inf")
    from_peers: bool = False
    slow: bool = False
    others: float = 0.0
    trust: float = 1.0
    limit: float = 0.0
    shed_until: float = 0.0
    shed_count: int = 0
    trial_at: float = 0.0
    trial_count: int = 0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    sent: dict[int, float] = dataclasses.field(default_factory=dict)

    def note_peer_measurement(self, service_seconds: float, at: float) -> None:
        """Add a service time that another host measured."""
        base = self.peer_service_seconds
        if at - self.peer_measured_at > PEER_MAX_AGE_SECONDS:
            base = self.service_seconds or service_seconds
        base += PEER_WEIGHT * (service_seconds - base)
        self.peer_service_seconds = base
        self.peer_measured_at = at

    def oldest_in_flight_seconds(self, now: float) -> float:
        """Return how long the oldest request has been in flight."""
        for started in self.sent.values():
            return now - started
        return 0.0
