"""Tell which failures allow a retry, and word them for callers."""

from agatetack.outcomes import RefusalReason, RetryReason

RETRY_REASONS = {
    RefusalReason.CONNECT_FAILED: RetryReason.CONNECT_FAILED,
    RefusalReason.SHED_BY_TARGET: RetryReason.SHED_BY_TARGET,
    RefusalReason.CONNECTION_LOST: RetryReason.CONNECTION_LOST,
    RefusalReason.ANSWER_TIMEOUT: RetryReason.ANSWER_TIMEOUT,
    RefusalReason.ANSWER_MALFORMED: RetryReason.ANSWER_MALFORMED,
    RefusalReason.ANSWER_CUT: RetryReason.ANSWER_CUT,
}
"""Failures after which an idempotent request may be sent again."""

DETAILS = {
    RefusalReason.CONNECT_FAILED: "No target could be reached.",
    RefusalReason.SHED_BY_TARGET: "The target has too much work.",
    RefusalReason.CONNECTION_LOST: "The target dropped the connection.",
    RefusalReason.ANSWER_TIMEOUT: "The target did not answer in time.",
    RefusalReason.ANSWER_MALFORMED: "The target's answer is not HTTP.",
    RefusalReason.ANSWER_CUT: "The target's answer ended before its end.",
}
