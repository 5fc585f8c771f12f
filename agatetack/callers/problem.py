"""Write refusals as answers with a problem-details body (RFC 9457)."""

import math

import orjson
import trio

from agatetack.ids import RequestId
from agatetack.messages import Answer, BytesBody, Header
from agatetack.outcomes import Refusal, status_for_outcome
from agatetack.settings.model import CallersSettings

PROBLEM_TYPE = b"application/problem+json"


def refusal_status(refusal: Refusal, settings: CallersSettings) -> int:
    """Return the HTTP status of a refusal, with the settings' overrides."""
    override = settings.refusal_statuses.get(refusal.reason.value)
    status = refusal.status if override is None else override
    if settings.statuses_promise:
        return status_for_outcome(status, refusal.outcome)
    return status


def refusal_answer(
    refusal: Refusal, request_id: RequestId, settings: CallersSettings
) -> Answer:
    """Return an answer with a refusal's reason and the request's outcome.

    Args:
        refusal: Why the request is not answered by a target.
        request_id: The request's id, so that operators can find it.
        settings: Names of headers, and overrides of statuses.
    """
    names = settings.headers
    status = refusal_status(refusal, settings)
    problem = {
        "title": refusal.reason.value,
        "status": status,
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "request_id": request_id,
    }
    headers = [
        Header(b"content-type", PROBLEM_TYPE),
        Header(names.outcome.encode(), refusal.outcome.value.encode()),
        Header(names.reason.encode(), refusal.reason.value.encode()),
        Header(names.request_id.encode(), request_id.encode()),
    ]
    if refusal.retry_at is not None:
        left = max(0.0, refusal.retry_at - trio.current_time())
        text = _format_retry_after(left, settings.retry_after_decimals)
        headers.append(Header(b"retry-after", text))
    return Answer(status, headers, BytesBody(orjson.dumps(problem)))


def _format_retry_after(seconds: float, decimals: int) -> bytes:
    """Return `seconds`, rounded up so that no caller retries too early."""
    unit = 10**decimals
    return b"%.*f" % (decimals, math.ceil(seconds * unit) / unit)
