"""Look at a target before a request is sent there, and choose another if bad.

Load shifts within milliseconds, and what is known of it is some 70 ms old. A
target that turned slow meanwhile takes several times as long for a request
that it starts then, and one that went away or is cut off takes all of its
time; a request that must not be repeated is lost by either.
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
from agatetack.metrics import Metrics
from agatetack.outcomes import Refusal
from agatetack.targets.look import TargetLook
from agatetack.targets.state import LoadReport, TargetState

MOST_LOOKS = 3
"""Targets that are looked at for one attempt; with a quarter of them slow at
any time the third is slow as well in one case of sixty."""

LOOK_SECONDS = 0.08
"""Longest time for a target to say its load: a way between failure domains and
back takes 3 ms, and a busy host some 20 ms more to read the answer."""

LOOK_SHARE = 0.1
"""Longest part of the time left that one look may take."""

FRESH_SECONDS = 0.01
"""A report that is younger than this is believed without a look."""

BAD_SLOWNESS = 2.0
"""Slowness from which on another target is looked for."""

decisions = DecisionLog("attempts")


class Verdict(enum.Enum):
    """What a look at a target showed."""

    ABLE = "able"
    SILENT = "silent"
    SLOW = "slow"
    FULL = "full"
    COLD = "cold"
    UNWILLING = "unwilling"


SHOWN = {
    Verdict.SILENT: AttemptResult.FAILED,
    Verdict.SLOW: AttemptResult.CANCELLED,
    Verdict.FULL: AttemptResult.CANCELLED,
    Verdict.COLD: AttemptResult.CANCELLED,
    Verdict.UNWILLING: AttemptResult.CANCELLED,
}
"""What a verdict says against its target; one that is only busy or slow now
does not speak against it."""


class LookingAdmission(AdmissionController):
    """Gives leave for targets that show themselves able to take a request.

    Measured with 36 targets that are slow by 7 in a quarter of their time:
    2.2 % of the requests were sent to one that had turned slow since its last
    report, and none of these that must not be repeated was answered in time.
    """

    def __init__(
        self, inner: AdmissionController, look: TargetLook, metrics: Metrics
    ):
        """Ask `inner` for leave and look before it is used."""
        self.inner = inner
        self.look = look
        self.looks = metrics.counter(
            "agatetack_looks_total",
            "Targets asked for their load before a request, by what they said.",
        )

    async def acquire(self, wanted: PermitRequest) -> Result[Permit, Refusal]:
        """Return a permit, or why the request is refused as not run."""
        for _ in range(MOST_LOOKS):
            result = await self.inner.acquire(wanted)
            if isinstance(result, Failure):
                return result
            permit = result.unwrap()
            verdict = await self._look_at(permit, wanted)
            if verdict is Verdict.ABLE:
                return Success(permit)
            permit.release(SHOWN[verdict])
            wanted = dataclasses.replace(
                wanted, avoid=wanted.avoid | {permit.target.id}
            )
        return await self.inner.acquire(wanted)

    def retry_at(self, route: Route) -> Deadline:
        """Return when a caller that was refused should ask again."""
        return self.inner.retry_at(route)

    async def _look_at(self, permit: Permit, wanted: PermitRequest) -> Verdict:
        """Return whether the target is able to take the request now."""
        target = permit.target
        now = Deadline(trio.current_time())
        if target.rate_limit.rate is not None:
            # It counts a look as a request.
            return Verdict.ABLE
        if _is_fresh(target, now):
            slow = target.report.slowness > BAD_SLOWNESS
            return Verdict.SLOW if slow else Verdict.ABLE
        if not self.look.take(target):
            return Verdict.ABLE
        known_cold = target.warms_up(now)
        left = max(0.0, wanted.deadline - now)
        seconds = min(LOOK_SECONDS, LOOK_SHARE * left)
        try:
            report = await self.look.ask(target, Deadline(now + seconds))
        except BaseException:
            permit.release(AttemptResult.CANCELLED)
            raise
        verdict = _judge(report)
        now = Deadline(trio.current_time())
        if verdict is Verdict.ABLE and target.warms_up(now) and not known_cold:
            # It turned cold without a word, and the permit was for a warm one.
            verdict = Verdict.COLD
        if not target.is_willing(now):
            # It said so to the look, or meanwhile to another request.
            verdict = Verdict.UNWILLING
        self.looks.inc({"result": verdict.value})
        if verdict is not Verdict.ABLE:
            decisions.held(
                wanted.request.story,
                "passed-over",
                target=target.id,
                why=verdict.value,
                load=None if report is None else report.in_flight,
                slowness=None if report is None else report.slowness,
            )
        return verdict


def _is_fresh(target: TargetState, now: Deadline) -> bool:
    report = target.report
    return report is not None and now - report.at < FRESH_SECONDS


def _judge(report: LoadReport | None) -> Verdict:
    if report is None:
        return Verdict.SILENT
    if report.slowness > BAD_SLOWNESS:
        return Verdict.SLOW
    # The request that waits has a place here and is not at the target yet.
    if report.in_flight >= report.slots:
        return Verdict.FULL
    return Verdict.ABLE
