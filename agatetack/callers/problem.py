"""Write refusals as answers with a problem-details body (RFC 9457)."""

import math

import orjson
import trio

from agatetack.ids import RequestId
from agatetack.messages import Answer, BytesBody, Header
from agatetack.outcomes import Refusal
from agatetack.settings.model import CallerHeaders

PROBLEM_TYPE = b"application/problem+json"


def refusal_answer(
    refusal: Refusal, request_id: RequestId, names: CallerHeaders
) -> Answer:
    """Return the answer that tells a caller why and what became of it.

    Args:
        refusal: Why the request is not answered by a target.
        request_id: The request's id, so that operators can find it.
        names: Names of the headers that carry outcome and reason.
    """
    problem = {
        "title": refusal.reason.value,
        "status": refusal.status,
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
        headers.append(Header(b"retry-after", b"%d" % math.ceil(left)))
    return Answer(refusal.status, headers, BytesBody(orjson.dumps(problem)))
