"""Map attempt failures to retry reasons and to refusals for callers."""

import dataclasses

from agatetack.config.route import RequestClass, Route
from agatetack.ids import Deadline
from agatetack.messages import CallerRequest
from agatetack.outcomes import Refusal, RefusalReason, RetryReason, refuse
from agatetack.settings.model import CallersSettings
from agatetack.targets.client import AttemptFailure, BodyDeadlines

RETRY_REASONS = {
    RefusalReason.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    RefusalReason.SHED_BY_TARGET: RetryReason.SHED_BY_TARGET,
    RefusalReason.TARGET_UNWILLING: RetryReason.TARGET_UNWILLING,
    RefusalReason.CONNECTION_LOST: RetryReason.CONNECTION_LOST,
    RefusalReason.ANSWER_TIMEOUT: RetryReason.ANSWER_TIMEOUT,
    RefusalReason.ANSWER_MALFORMED: RetryReason.ANSWER_MALFORMED,
    RefusalReason.ANSWER_CUT: RetryReason.ANSWER_CUT,
}
"""Failures after which an idempotent request may be sent again."""

DETAILS = {
    RefusalReason.CONNECT_FAILED: "No target could be reached.",
    RefusalReason.SHED_BY_TARGET: "The target has too much work.",
    RefusalReason.TARGET_UNWILLING: "The target takes no work now.",
    RefusalReason.CONNECTION_LOST: "The target dropped the connection.",
    RefusalReason.ANSWER_TIMEOUT: "The target did not answer in time.",
    RefusalReason.ANSWER_MALFORMED: "The target's answer is not HTTP.",
    RefusalReason.ANSWER_CUT: "The target's answer ended before its end.",
}


def body_deadlines(
    route: Route, request: CallerRequest, settings: CallersSettings
) -> BodyDeadlines:
    """Return when answers to `request` must be complete.

    An answer that began is worth as much as its last byte, so the request's
    deadline binds it to its end. Downloads of announced length are the
    exception: a caller that still reads one has no reason to lose it. Only the
    route's timeout and the longest deadline of all bind these, and those
    downloads for which the caller named no deadline. The route's timeout counts
    from the arrival of the request, also if its answer is resumed.
    """
    if route.request_class is not RequestClass.WHOLE:
        return BodyDeadlines(request.deadline, request.deadline)
    if route.timeout_seconds:
        latest = Deadline(request.arrived + route.timeout_seconds)
    else:
        longest = Deadline(request.arrived + settings.max_deadline_seconds)
        latest = max(longest, request.deadline)
    unannounced = request.deadline if request.deadline_given else latest
    return BodyDeadlines(latest, unannounced)


def retry_reason(failure: AttemptFailure | None) -> RetryReason | None:
    """Return the reason to retry after `failure`; None for a first attempt."""
    return None if failure is None else RETRY_REASONS[failure.reason]


def failure_refusal(failure: AttemptFailure) -> Refusal:
    """Return the refusal of a request whose last attempt was `failure`."""
    reason = failure.reason
    detail = DETAILS.get(reason, reason.value)
    if reason is RefusalReason.ANSWER_TIMEOUT and not failure.target_suspect:
        detail = "The request's body did not come in time."
    plain = refuse(reason, detail)
    return dataclasses.replace(plain, outcome=failure.outcome)
