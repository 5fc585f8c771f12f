"""Translate requests, answers and refusals to and from messages."""

import trio
from returns.result import Failure, Result, Success

from agatetack.generated.forwarding.ttypes import (
    ForwardedAnswer,
    ForwardedRefusal,
    ForwardedRequest,
    ForwardReply,
    HeaderField,
)
from agatetack.ids import CallerId, Deadline, IdempotencyKey, RequestId
from agatetack.messages import (
    Answer,
    BytesBody,
    CallerRequest,
    Header,
    Headers,
)
from agatetack.outcomes import Outcome, Refusal, RefusalReason
from agatetack.thrift_codec import MalformedMessage, decode, encode

MS_PER_SECOND = 1000


def encode_request(
    number: int, request: CallerRequest, content: bytes
) -> bytes:
    """Return the message of a request.

    Args:
        number: Its number at this host.
        request: The request.
        content: Its whole body.
    """
    left_seconds = max(0.0, request.deadline - trio.current_time())
    return encode(
        ForwardedRequest(
            id=number,
            request_id=request.request_id,
            caller=request.caller,
            method=request.method,
            path=request.path,
            host=request.host,
            headers=_header_fields(request.headers),
            body=content,
            left_ms=round(left_seconds * MS_PER_SECOND),
            key=request.key,
        )
    )


def to_request(message: ForwardedRequest) -> CallerRequest:
    """Return the request in a message, as if it had just arrived."""
    now = trio.current_time()
    return CallerRequest(
        request_id=RequestId(message.request_id),
        caller=CallerId(message.caller),
        method=message.method,
        path=message.path,
        host=message.host,
        headers=_headers(message.headers),
        body=BytesBody(message.body),
        deadline=Deadline(now + message.left_ms / MS_PER_SECOND),
        key=None if message.key is None else IdempotencyKey(message.key),
        arrived=Deadline(now),
        forwarded=True,
    )


def encode_answer(answer: Answer, length: int | None, content: bytes) -> bytes:
    """Return the reply with an answer.

    Args:
        answer: The answer.
        length: The length that it announced, or None.
        content: Its whole body.
    """
    return encode(
        ForwardReply(
            answer=ForwardedAnswer(
                status=answer.status,
                headers=_header_fields(answer.headers),
                body=content,
                length=length,
            )
        )
    )


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the reply with a refusal."""
    retry_ms = None
    if refusal.retry_at is not None:
        left_seconds = max(0.0, refusal.retry_at - trio.current_time())
        retry_ms = round(left_seconds * MS_PER_SECOND)
    return encode(
        ForwardReply(
            refusal=ForwardedRefusal(
                reason=refusal.reason.value,
                detail=refusal.detail,
                outcome=refusal.outcome.value,
                retry_ms=retry_ms,
            )
        )
    )


def decode_reply(payload: bytes, method: bytes) -> Result[Answer, Refusal]:
    """Return what a peer replied to a request of `method`.

    Raises:
        MalformedMessage: The reply has neither an answer nor a refusal, or
            one of another version.
    """
    reply = decode(ForwardReply, payload)
    if reply.refusal is not None:
        return Failure(_refusal(reply.refusal))
    if reply.answer is None:
        raise MalformedMessage("the reply is empty")
    answer = reply.answer
    body = BytesBody(answer.body)
    if method == b"HEAD":
        # The announced length is that of the body that a GET would return.
        body.length = answer.length
    return Success(Answer(answer.status, _headers(answer.headers), body))


def _refusal(message: ForwardedRefusal) -> Refusal:
    retry_at = None
    if message.retry_ms is not None:
        wait_seconds = message.retry_ms / MS_PER_SECOND
        retry_at = Deadline(trio.current_time() + wait_seconds)
    try:
        return Refusal(
            RefusalReason(message.reason),
            message.detail,
            Outcome(message.outcome),
            retry_at,
        )
    except ValueError as error:
        raise MalformedMessage(str(error)) from error


def _header_fields(headers: Headers) -> list[HeaderField]:
    return [HeaderField(name=name, value=value) for name, value in headers]


def _headers(fields: list[HeaderField]) -> list[Header]:
    return [Header(field.name, field.value) for field in fields]
