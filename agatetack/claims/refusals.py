"""Build the refusals of at-most-once requests."""

from agatetack.claims.fold import MS_PER_SECOND
from agatetack.generated.claims.ttypes import Verdict, VerdictKind
from agatetack.ids import Deadline, WallTime
from agatetack.outcomes import Outcome, Refusal, RefusalReason, refuse


def key_taken(verdict: Verdict, now: WallTime, retry_at: Deadline) -> Refusal:
    """Return the refusal for a key that another attempt holds.

    Args:
        verdict: REUSED, DONE or HELD.
        now: The wall time, to decide whether the holder may still run.
        retry_at: When to ask again for the outcome of a running attempt.
    """
    if verdict.kind == VerdictKind.REUSED:
        return refuse(
            RefusalReason.KEY_REUSED,
            "The key was used for a different request.",
        )
    if verdict.kind == VerdictKind.DONE:
        return refuse(
            RefusalReason.KEY_ALREADY_DONE,
            f"The request ran and was answered with {verdict.status}.",
        )
    if (verdict.until_ms or 0) > now * MS_PER_SECOND:
        return in_progress(retry_at)
    return refuse(
        RefusalReason.KEY_OUTCOME_UNKNOWN,
        "An earlier attempt with this key may have run.",
    )


def in_progress(retry_at: Deadline) -> Refusal:
    """Return the refusal for a key whose attempt is still running."""
    return refuse(
        RefusalReason.KEY_IN_PROGRESS,
        "An earlier attempt with this key is still running.",
        retry_at,
    )


def expired() -> Refusal:
    """Return the refusal for a key that may have been forgotten."""
    return refuse(
        RefusalReason.KEY_EXPIRED,
        "The key was issued outside the time for which keys are kept.",
    )


def in_doubt(retry_at: Deadline) -> Refusal:
    """Return the refusal for an attempt that was not decided in time."""
    return refuse(
        RefusalReason.CLAIM_IN_DOUBT,
        "It was not settled in time which attempt may run.",
        retry_at,
    )


def not_claimed(
    reason: RefusalReason, unused: bool, retry_at: Deadline
) -> Refusal:
    """Return the refusal for a key that could not be claimed.

    Args:
        reason: LOG_UNAVAILABLE or KEY_STORE_FULL.
        unused: Whether no earlier attempt ran or can still run.
        retry_at: When to try again.
    """
    detail = "The log that decides who may run a key does not answer."
    if reason is RefusalReason.KEY_STORE_FULL:
        detail = "No further keys can be remembered now."
    outcome = Outcome.NOT_RUN if unused else Outcome.UNKNOWN
    return Refusal(reason, detail, outcome, retry_at)
