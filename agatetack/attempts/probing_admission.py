"""Probe a target just before a request is sent, and choose another if bad.

Load changes within milliseconds, and load reports are some 70 ms old. A target
that became slow in the meantime takes several times as long for a request, and
one that crashed or is unreachable uses up all of the request's time; either way
a request that must not be repeated fails.
"""

import dataclasses
import enum

import trio
from returns.result import Failure, Result, Success

from agatetack.admission.controller import (
    AdmissionController,
    AttemptResult,
    Permit,
    PermitRequest,
)
from agatetack.config.route import Route
from agatetack.decisions import DecisionLog
from agatetack.ids import Deadline
from agatetack.messages import CallerRequest
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal
from agatetack.targets.presend_probe import PreSendProber
from agatetack.targets.state import LoadReport, TargetState

MAX_PROBES = 3
"""Maximum number of targets probed for one attempt. If a quarter of the
targets are slow at any time, all three are slow in one case of sixty."""

PROBE_TIMEOUT_SECONDS = 0.08
"""Timeout of a pre-send probe: a round trip between failure domains takes 3 ms,
and a busy host needs some 20 ms more to read the answer."""

MAX_PROBE_TIME_RATIO = 0.1
"""Maximum share of the remaining time that one pre-send probe may take."""

FRESH_REPORT_SECONDS = 0.01
"""A load report younger than this is used without a pre-send probe."""

MAX_SLOWNESS_RATIO = 2.0
"""Slowness above which another target is chosen."""

decisions = DecisionLog("attempts")


class Verdict(enum.Enum):
    """Result of a pre-send probe."""

    ABLE = "able"
    SILENT = "silent"
    SLOW = "slow"
    FULL = "full"
    COLD = "cold"
    UNWILLING = "unwilling"


RESULTS = {
    Verdict.SILENT: AttemptResult.FAILED,
    Verdict.SLOW: AttemptResult.CANCELLED,
    Verdict.FULL: AttemptResult.CANCELLED,
    Verdict.COLD: AttemptResult.CANCELLED,
    Verdict.UNWILLING: AttemptResult.CANCELLED,
}
"""Results with which permits are released, by verdict. A target that is only
busy or slow for the moment does not count as failed."""


class ProbingAdmission(AdmissionController):
    """Grants permits only for targets whose pre-send probe shows no problem.

    Without such probes and with 36 targets that were slower by a factor of 7
    in a quarter of the time, 2.2 % of the requests were sent to a target that
    had become slow since its last report. Those of them that must not be
    repeated all missed their deadlines.
    """

    def __init__(
        self,
        inner: AdmissionController,
        prober: PreSendProber,
        metrics: Metrics,
    ):
        """Probe the targets of the permits that `inner` grants."""
        self.inner = inner
        self.prober = prober
        self.probes = metrics.counter(
            "agatetack_looks_total",
            "Targets asked for their load before a request, by what they said.",
        )

    async def acquire(self, wanted: PermitRequest) -> Result[Permit, Refusal]:
        """Return a permit, or the refusal of the request as not run."""
        for _ in range(MAX_PROBES):
            result = await self.inner.acquire(wanted)
            if isinstance(result, Failure):
                return result
            permit = result.unwrap()
            verdict = await self._probe(permit, wanted)
            if verdict is Verdict.ABLE:
                return Success(permit)
            permit.release(RESULTS[verdict])
            wanted = dataclasses.replace(
                wanted, avoid=wanted.avoid | {permit.target.id}
            )
        return await self.inner.acquire(wanted)

    def retry_at(self, route: Route) -> Deadline:
        """Return when a refused caller should retry."""
        return self.inner.retry_at(route)

    def stops_second_attempts(
        self, route: Route, request: CallerRequest
    ) -> bool:
        """Return whether the request must not be sent a second time now."""
        return self.inner.stops_second_attempts(route, request)

    async def _probe(self, permit: Permit, wanted: PermitRequest) -> Verdict:
        """Return whether the permit's target can take the request now."""
        target = permit.target
        now = Deadline(trio.current_time())
        if target.rate_limit.rate is not None:
            # The target counts a probe as a request against its rate limit.
            return Verdict.ABLE
        if _is_fresh(target, now):
            slow = target.report.slowness > MAX_SLOWNESS_RATIO
            return Verdict.SLOW if slow else Verdict.ABLE
        if not self.prober.take(target):
            return Verdict.ABLE
        known_cold = target.is_warming_up(now)
        left = max(0.0, wanted.deadline - now)
        seconds = min(PROBE_TIMEOUT_SECONDS, MAX_PROBE_TIME_RATIO * left)
        try:
            report = await self.prober.probe(target, Deadline(now + seconds))
        except BaseException:
            permit.release(AttemptResult.CANCELLED)
            raise
        verdict = _classify(report)
        now = Deadline(trio.current_time())
        if (
            verdict is Verdict.ABLE
            and target.is_warming_up(now)
            and not known_cold
        ):
            # It became cold without a report; the permit assumes a warm one.
            verdict = Verdict.COLD
        if not target.is_willing(now):
            # It said so in answer to the probe or to another request.
            verdict = Verdict.UNWILLING
        self.probes.inc({"result": verdict.value})
        if verdict is not Verdict.ABLE:
            decisions.held(
                wanted.request.decision_trace,
                "passed-over",
                target=target.id,
                why=verdict.value,
                load=None if report is None else report.in_flight,
                slowness=None if report is None else report.slowness,
            )
        return verdict


def _is_fresh(target: TargetState, now: Deadline) -> bool:
    report = target.report
    return report is not None and now - report.at < FRESH_REPORT_SECONDS


def _classify(report: LoadReport | None) -> Verdict:
    if report is None:
        return Verdict.SILENT
    if report.slowness > MAX_SLOWNESS_RATIO:
        return Verdict.SLOW
    # The report does not count the request that the permit was granted for.
    if report.in_flight >= report.slots:
        return Verdict.FULL
    return Verdict.ABLE
