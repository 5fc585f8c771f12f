"""Track for how long targets asked this host to send nothing.

A target that rejects a request may say when to retry, in a Retry-After header
(RFC 9110, 10.2.3). That applies only to this target and the host that sent the
request, not to other targets of the service or to other hosts.
"""

import trio

from agatetack.decisions import DecisionLog
from agatetack.headers import read_decimal
from agatetack.ids import Deadline, ProcessId
from agatetack.messages import Headers
from agatetack.metrics import Metrics
from agatetack.targets.rate_limits import SendKind
from agatetack.targets.state import ReportSource, TargetState

HEADER_NAME = b"retry-after"

REJECTION_STATUSES = frozenset({429, 503})
"""Statuses with which a target rejects a request temporarily."""

MAX_PUSHBACK_SECONDS = 3600.0
"""Maximum pushback that a target can ask for. Then it is tried again, as no
other host can report that it accepts requests of this host."""

BACKOFF_FACTOR = 2.0
"""Backoff factor for each further pushback without an accepted request. Each
trial costs a request one attempt, and a target that rejects everything has the
lowest load and would be chosen first."""

MAX_BACKOFF_SECONDS = 12.0
"""Maximum pushback with `BACKOFF_FACTOR` applied, unless the target asked for
more. So a target that accepts requests again is found in time."""

MAX_VALID_SECONDS = 1e6
"""Highest Retry-After value that is accepted as valid."""

decisions = DecisionLog("targets")


class Pushbacks:
    """The pushbacks of targets for this host.

    Attributes:
        until: When the pushback of each process incarnation ends. It is kept
            while a registration expires and is made again.
    """

    def __init__(self, metrics: Metrics):
        """Register counters in `metrics`."""
        self.until: dict[ProcessId, Deadline] = {}
        self.learned = metrics.counter(
            "agatetack_target_pushbacks_total",
            "Answers that asked this host to stay away, by source.",
        )
        self.refused = metrics.counter(
            "agatetack_target_pushback_refused_total",
            "Times to stay away that were not believed, by problem.",
        )
        self.sends = metrics.counter(
            "agatetack_target_pushback_sends_total",
            "What was sent to targets that had asked to stay away, by kind.",
        )
        for kind in SendKind:
            self.sends.add({"kind": kind.value}, 0)

    def restore(self, target: TargetState) -> None:
        """Restore the pushback of `target` after it was registered again."""
        target.pushback_until = self.until.get(
            target.process, target.pushback_until
        )

    def note_sent(self, target: TargetState, kind: SendKind) -> None:
        """Count a request that this host sends during a pushback."""
        if trio.current_time() < target.pushback_until:
            self.sends.inc({"kind": kind.value})

    def note_answer(
        self,
        target: TargetState,
        status: int,
        headers: Headers,
        source: ReportSource,
    ) -> None:
        """Record the pushback, if any, in a response of `target`.

        Args:
            target: The target that sent the response.
            status: The response's status.
            headers: The response's headers, names in lower case.
            source: What kind of request it responds to.
        """
        if status not in REJECTION_STATUSES:
            return
        values = [value for name, value in headers if name == HEADER_NAME]
        read = read_decimal(values, MAX_VALID_SECONDS)
        if read.problem is not None:
            self.refused.inc({"problem": read.problem.value})
            decisions.note(
                "pushback-refused",
                target=target.id,
                service=target.service,
                problem=read.problem.value,
                source=source.value,
            )
        elif read.value:
            self._note(target, min(read.value, MAX_PUSHBACK_SECONDS), source)

    def note_accepted(self, target: TargetState) -> None:
        """Note that `target` accepted a request of this host."""
        target.pushbacks = 0

    def _note(
        self, target: TargetState, seconds: float, source: ReportSource
    ) -> None:
        self.learned.inc({"source": source.value})
        now = Deadline(trio.current_time())
        if now >= target.pushback_until:
            # Responses to requests sent before the pushback arrived are not
            # counted as further pushbacks.
            target.pushbacks += 1
        until = Deadline(now + _backoff_seconds(seconds, target.pushbacks))
        if until <= target.pushback_until:
            return
        decisions.note(
            "pushback",
            target=target.id,
            service=target.service,
            seconds=seconds,
            until_ms=round((until - now) * 1000),
            left_ms=round(max(0.0, target.pushback_until - now) * 1000),
            load=None if target.report is None else target.report.in_flight,
            source=source.value,
        )
        target.pushback_until = until
        self._forget_expired(now)
        self.until[target.process] = until

    def _forget_expired(self, now: Deadline) -> None:
        expired = [process for process, at in self.until.items() if at <= now]
        for process in expired:
            del self.until[process]


def _backoff_seconds(seconds: float, pushbacks: int) -> float:
    """Return the length of a pushback for which a target asked `seconds`."""
    max_seconds = max(seconds, MAX_BACKOFF_SECONDS)
    return min(seconds * BACKOFF_FACTOR ** min(pushbacks - 1, 10), max_seconds)
