"""Hold what this host knows of each target."""

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

RECENT_LATENCIES = 64
"""How many of a target's latest latencies are kept."""


class TargetStatus(enum.Enum):
    """Whether a target may get new work."""

    COLD = "cold"
    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


class ReportSource(enum.Enum):
    """Where a load report came from."""

    ANSWER = "answer"
    PROBE = "probe"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target said of its own load, which may be late or wrong.

    Attributes:
        in_flight: Requests running or waiting there, from all gateways.
        slots: Requests that can run at the same time.
        own_in_flight: What this host had there when the report came.
        at: When the report was received.
        source: Where it came from.
        slowness: How many times longer than usual work took there then.
        told_in_flight: What the other hosts said they had there when it came.
    """

    in_flight: int
    slots: int
    own_in_flight: int
    at: Deadline
    source: ReportSource
    slowness: float = USUAL_SLOWNESS
    told_in_flight: int = 0


@dataclasses.dataclass(slots=True)
class TargetState:
    """What this host knows of one start of a target's process.

    Attributes:
        id: Its name: `ip:port`, or what the platform calls it.
        service: The service it belongs to.
        ip: Its IP number.
        port: Its port.
        failure_domain: Where it is.
        incarnation: When its process started, in Unix ms; 0 if not said.
        status: Whether it may get new work.
        status_since: When the status last changed.
        in_flight: Requests of this host there now; exact.
        told_in_flight: Requests that the other hosts say they have there.
        told_by_all: Whether all hosts that send there tell this one of it.
        room_at: When it is this host's turn to take a slot that another host
            gave up there.
        slots: Requests it can run at the same time.
        limit: Most requests this host puts there at the same time.
        report: Its latest load report, or None.
        report_uses: Choices that the latest report has served.
        latency: Moving average of answer times, in seconds, or None.
        recent: Latest answer times, in seconds.
        last_answer_at: When it last answered, or None.
        last_chosen_at: When it was last chosen, or None.
        failures: Failed attempts since the last answer.
        idle_connections: Open connections of this host without a request.
        answer_bytes: Moving size of its answers' bodies.
        learned: What this host's balancing has learned of it.
        warmth: Whether it has warmed up.
        warm_up_rate: Requests a second that it takes from all hosts while it
            is cold; 0 if nobody said so.
        rate_limit: The rate that it takes from all hosts, if it named one.
        pushback_until: Until when it wants nothing of this host, by its word.
        pushbacks: How often it said so since it last took a request.
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
    told_in_flight: int = 0
    told_by_all: bool = True
    room_at: Deadline = Deadline(0.0)
    slots: int = 2
    limit: int = 8
    report: LoadReport | None = None
    report_uses: int = 0
    latency: float | None = None
    recent: deque[float] = dataclasses.field(
        default_factory=lambda: deque(maxlen=RECENT_LATENCIES)
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

    def warms_up(self, now: Deadline) -> bool:
        """Return whether it may be cold, and takes only so many requests."""
        return self.warm_up_rate > 0 and self.warmth.is_cold(now)

    def is_willing(self, now: Deadline) -> bool:
        """Return whether it wants anything of this host, as far as is known."""
        ends = self.status in (TargetStatus.LEAVING, TargetStatus.GONE)
        return not ends and now >= self.pushback_until

    @property
    def on_trial(self) -> bool:
        """Return whether it has taken no request since it pushed back."""
        return self.pushbacks > 0

    @property
    def process(self) -> ProcessId:
        """Return the name of this start of the target's process."""
        if not self.incarnation:
            return ProcessId(self.id)
        return ProcessId(f"{self.id}/{self.incarnation}")
