"""Refuse requests of client accounts while their service is overloaded."""

import math
from collections.abc import Iterable, Sequence

from agatetack.admission.controller import PermitRequest, Priority
from agatetack.admission.overload import OverloadControl
from agatetack.admission.pressure import PressureMeter
from agatetack.ids import Deadline, ServiceId
from agatetack.logs import PartLog
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal, RefusalReason, refuse
from agatetack.targets.state import TargetState

log = PartLog("admission")

HOLD_SECONDS = 3.0
"""Time for which an overload lasts without a further sign of it. Refusals
shorten the waits that show it, so that they are below their limit at times."""


class OverloadMetrics:
    """Counts overloads of all services of a host."""

    def __init__(self, metrics: Metrics):
        """Register the metrics."""
        self.overloaded = metrics.gauge(
            "agatetack_overloaded",
            "Whether a service is overloaded (1 or 0), by service.",
        )
        self.refused = metrics.counter(
            "agatetack_overload_refusals_total",
            "Requests of accounts refused for an overload, by service.",
        )
        self.stopped = metrics.counter(
            "agatetack_overload_stopped_attempts_total",
            "Second attempts not made because of an overload, by service.",
        )


class OverloadGate:
    """Measures one service and refuses what its control does not admit.

    Attributes:
        meter: The pressure on the service.
        control: Decides which requests are refused.
        active_until: When the overload ends if nothing is found to be full.
        noted: Whether the log and the gauge say that it is overloaded.
    """

    def __init__(
        self,
        service: ServiceId,
        meter: PressureMeter,
        control: OverloadControl,
        metrics: OverloadMetrics,
    ):
        """Start without an overload.

        Args:
            service: The service.
            meter: Measures its pressure.
            control: Decides which requests are refused.
            metrics: Where overloads and refusals are counted.
        """
        self.service = service
        self.meter = meter
        self.control = control
        self.metrics = metrics
        self.active_until = Deadline(-math.inf)
        self.noted = False

    def note_arrival(self, wanted: PermitRequest, now: Deadline) -> None:
        """Count a request's first attempt."""
        if not _is_subject(wanted):
            return
        self.control.note_arrival(wanted, now)
        if self.noted and now >= self.active_until:
            self._set_noted(False)

    def note_wait(
        self,
        wanted: PermitRequest,
        wait: float,
        longest: float,
        now: Deadline,
        served: bool,
    ) -> None:
        """Count a request that got a target, or that waited in vain.

        Args:
            wanted: The request.
            wait: How long it waited.
            longest: The longest wait with which it is still in time.
            now: The time.
            served: Whether it got a target.
        """
        if not _is_subject(wanted):
            return
        self.meter.note_wait(wait, longest)
        if served:
            self.control.note_served(now)

    def check(
        self,
        wanted: PermitRequest,
        targets: Iterable[TargetState],
        waits: Sequence[tuple[float, float]],
        now: Deadline,
        least_wait: float,
    ) -> Refusal | None:
        """Return a refusal if a request that finds no slot may not wait.

        Args:
            wanted: The request.
            targets: The targets of the service.
            waits: How long other requests have waited, and how long each may.
            now: The time.
            least_wait: The least seconds that refused callers wait.
        """
        if not _is_subject(wanted):
            return None
        self.control.update(self.meter.measure(targets, waits, now), now)
        if self.control.overloaded:
            self.active_until = Deadline(now + HOLD_SECONDS)
            self._set_noted(True)
        if self.control.admits(wanted):
            return None
        self.control.refused.add(1, now)
        self.metrics.refused.inc({"service": self.service})
        return refuse(
            RefusalReason.OVERLOADED,
            "The service has more requests than it can run.",
            self.control.retry_at(wanted, now, least_wait),
        )

    def stops_second_attempt(self, has_account: bool, now: Deadline) -> bool:
        """Return whether a second attempt must not be made, and count it."""
        if not has_account or now >= self.active_until:
            return False
        self.metrics.stopped.inc({"service": self.service})
        return True

    def _set_noted(self, noted: bool) -> None:
        if noted is self.noted:
            return
        self.noted = noted
        self.metrics.overloaded.set({"service": self.service}, int(noted))
        if noted:
            log.warning("Service %s is overloaded.", self.service)
        else:
            log.info("Service %s is no longer overloaded.", self.service)


def _is_subject(wanted: PermitRequest) -> bool:
    """Return whether overload control applies to an attempt.

    It applies to the first attempts of requests with an account. One that
    avoids a target has been counted before.
    """
    return (
        wanted.request.account is not None
        and wanted.priority is Priority.NORMAL
        and wanted.wait
        and not wanted.avoid
    )
