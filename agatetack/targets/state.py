"""Define the state that this host keeps for each target."""

import dataclasses
import enum
import math
from collections import deque

from agatetack.balance.learned import LearnedLoad
from agatetack.ids import (
    Deadline,
    FailureDomain,
    ProcessId,
    ServiceId,
    TargetId,
)
from agatetack.targets.load import USUAL_SLOWNESS
from agatetack.targets.rate_limit import RateLimit
from agatetack.targets.warmth import Warmth

MAX_RECENT_LATENCIES = 64
"""Number of recent response times kept for each target."""


class TargetStatus(enum.Enum):
    """Whether a target may get new work."""

    COLD = "cold"
    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


class ReportSource(enum.Enum):
    """How a load report was received."""

    ANSWER = "answer"
    PROBE = "probe"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A load report of a target, which may be outdated or wrong.

    Attributes:
        in_flight: Requests running or queued there, from all hosts.
        slots: Requests that it can run concurrently.
        own_in_flight: This host's requests there when the report arrived.
        at: When the report was received.
        source: How it was received.
        slowness: How many times longer than usual work took there.
        peer_in_flight: The requests that the other hosts had reported to have
            there when the report arrived.
    """

    in_flight: int
    slots: int
    own_in_flight: int
    at: Deadline
    source: ReportSource
    slowness: float = USUAL_SLOWNESS
    peer_in_flight: int = 0


@dataclasses.dataclass(slots=True)
class TargetState:
    """What this host knows of one process incarnation of a target.

    Attributes:
        id: `ip:port`, or its id on the platform.
        service: The service it belongs to.
        ip: Its IP address.
        port: Its port.
        failure_domain: The failure domain it runs in.
        incarnation: When its process started, in Unix ms; 0 if not known.
        status: Whether it may get new work.
        status_since: When the status last changed.
        in_flight: Requests of this host in flight there; exact.
        peer_in_flight: Requests that the other hosts report to have there.
        all_peers_report: Whether all hosts that send there report their
            requests to this host.
        free_slot_at: When it is this host's turn to use a slot that another
            host released there.
        slots: Requests that it can run concurrently.
        limit: Maximum number of concurrent requests of this host there.
        report: Its latest load report, or None.
        report_uses: Number of choices based on the latest report.
        latency: Moving average of response times, in seconds, or None.
        recent: Latest response times, in seconds.
        last_answer_at: When it last responded, or None.
        last_chosen_at: When it was last chosen, or None.
        failures: Failed attempts since the last response.
        idle_connections: Open connections of this host without a request.
        answer_bytes: Moving average of the size of its response bodies.
        learned: What this host's load balancing has learned about it.
        warmth: When it has warmed up.
        warm_up_rate: Requests per second that it accepts from all hosts while
            it is cold; 0 if not known.
        rate_limit: The rate that it accepts from all hosts, if it reported one.
        pushback_until: When the last pushback for this host ends.
        pushbacks: Number of pushbacks since it last accepted a request.
    """

    id: TargetId
    service: ServiceId
    ip: str
    port: int
    failure_domain: FailureDomain
    incarnation: int = 0
    status: TargetStatus = TargetStatus.COLD
    status_since: Deadline = Deadline(0.0)
    in_flight: int = 0
    peer_in_flight: int = 0
    all_peers_report: bool = True
    free_slot_at: Deadline = Deadline(0.0)
    slots: int = 2
    limit: int = 8
    report: LoadReport | None = None
    report_uses: int = 0
    latency: float | None = None
    recent: deque[float] = dataclasses.field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_LATENCIES)
    )
    last_answer_at: Deadline | None = None
    last_chosen_at: Deadline | None = None
    failures: int = 0
    idle_connections: int = 0
    answer_bytes: float = 0.0
    learned: LearnedLoad = dataclasses.field(default_factory=LearnedLoad)
    warmth: Warmth = dataclasses.field(default_factory=Warmth)
    warm_up_rate: float = 0.0
    rate_limit: RateLimit = dataclasses.field(default_factory=RateLimit)
    pushback_until: Deadline = Deadline(-math.inf)
    pushbacks: int = 0

    def is_warming_up(self, now: Deadline) -> bool:
        """Return whether it may be cold and limits its rate meanwhile."""
        return self.warm_up_rate > 0 and self.warmth.is_cold(now)

    def is_willing(self, now: Deadline) -> bool:
        """Return whether it accepts requests of this host, as far as known."""
        ends = self.status in (TargetStatus.LEAVING, TargetStatus.GONE)
        return not ends and now >= self.pushback_until

    @property
    def on_trial(self) -> bool:
        """Return whether it has accepted no request since a pushback."""
        return self.pushbacks > 0

    @property
    def process(self) -> ProcessId:
        """Return the id of this process incarnation of the target."""
        if not self.incarnation:
            return ProcessId(self.id)
        return ProcessId(f"{self.id}/{self.incarnation}")
