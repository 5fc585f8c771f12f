"""Check that a target has room for a request that can't be repeated.

A target that can neither run nor queue a request may never answer it. Where a
request can be repeated, an estimate of the load is enough.
"""

from agatetack.ids import Deadline
from agatetack.settings.model import Settings
from agatetack.targets.state import TargetState

REPORT_VALID_SECONDS = 0.5
"""Age up to which all requests in a target's report count as still there.
Targets are probed six times a second, so that a report of a full target is
followed by another one in this time unless the target can't be reached."""


def known_load(target: TargetState, now: Deadline) -> int:
    """Return the most requests that may be at `target`, as far as known."""
    known = target.in_flight + target.peer_in_flight
    report = target.report
    if report is None or now - report.at > REPORT_VALID_SECONDS:
        return known
    excess = report.in_flight - report.own_in_flight - report.peer_in_flight
    return known + max(0, excess)


def has_known_room(
    settings: Settings, target: TargetState, now: Deadline
) -> bool:
    """Return whether `target` can run or queue one more request."""
    max_queued = settings.targets.max_queued
    if max_queued is None:
        return True
    return known_load(target, now) < target.slots + max_queued
