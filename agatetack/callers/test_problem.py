"""Test the status and the Retry-After time of refusals."""

import pytest
import trio

from agatetack.callers.problem import refusal_answer
from agatetack.ids import Deadline, RequestId
from agatetack.outcomes import Outcome, Refusal, RefusalReason
from agatetack.settings.defaults import default_settings

NOT_RUN, UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN


def answer_to(reason, outcome, left=None, **callers):
    settings = default_settings(callers=callers).callers
    retry_at = None
    if left is not None:
        retry_at = Deadline(trio.current_time() + left)
    refusal = Refusal(reason, "why", outcome, retry_at)
    return refusal_answer(refusal, RequestId("r1"), settings)


@pytest.mark.parametrize(
    ("reason", "outcome", "callers", "status"),
    [
        (RefusalReason.NO_TARGET, NOT_RUN, {}, 503),
        (RefusalReason.NO_TARGET, UNKNOWN, {}, 503),
        # With `statuses_promise`, a 503 means that nothing was run.
        (RefusalReason.NO_TARGET, UNKNOWN, {"statuses_promise": True}, 502),
        (RefusalReason.NO_TARGET, NOT_RUN, {"statuses_promise": True}, 503),
        (
            RefusalReason.SHED_BY_TARGET,
            UNKNOWN,
            {"statuses_promise": True},
            502,
        ),
        (
            RefusalReason.ANSWER_TIMEOUT,
            UNKNOWN,
            {"statuses_promise": True},
            504,
        ),
        (
            RefusalReason.CONNECT_FAILED,
            NOT_RUN,
            {"refusal_statuses": {"connect-failed": 503}},
            503,
        ),
        (
            RefusalReason.QUARANTINED,
            UNKNOWN,
            {
                "refusal_statuses": {"quarantined": 503},
                "statuses_promise": True,
            },
            502,
        ),
    ],
)
async def test_the_status_says_no_more_than_is_known(
    autojump_clock, reason, outcome, callers, status
):
    assert answer_to(reason, outcome, **callers).status == status


@pytest.mark.parametrize(
    ("left", "decimals", "text"),
    [
        (0.3, 0, b"1"),
        (1.0, 0, b"1"),
        (0.3, 3, b"0.300"),
        (0.3004, 3, b"0.301"),
        (0.0, 3, b"0.000"),
        (-5.0, 3, b"0.000"),
    ],
)
async def test_the_time_to_come_back_is_never_too_early(
    autojump_clock, left, decimals, text
):
    got = answer_to(
        RefusalReason.NO_TARGET, NOT_RUN, left, retry_after_decimals=decimals
    )
    assert dict(got.headers)[b"retry-after"] == text
