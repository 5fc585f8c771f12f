"""Use the platform's log over HTTP."""

import base64
import binascii
import urllib.parse

import pydantic
import trio

from agatetack.http_call import (
    CallFailed,
    PlatformClient,
    PlatformReply,
    PlatformRequest,
)
from agatetack.ids import Deadline, LogOffset, StreamId, WallTime
from agatetack.record_log.log import (
    Log,
    LogOutcomeUnknown,
    LogPage,
    LogRecord,
    LogRecordTooLarge,
    LogTooFast,
    LogTruncated,
    LogUnavailable,
)
from agatetack.record_log.messages import (
    APPEND_REPLY,
    MAX_PAGE_BYTES,
    PAGE_REPLY,
    ErrorReply,
    PageReply,
    PlatformError,
    parse_error,
)
from agatetack.settings.model import Settings

OK = 200

OCTETS = {"content-type": "application/octet-stream"}

REPLY_MARGIN_SECONDS = 0.25
"""Time reserved for the reply of a read that waits until its deadline."""

DEFAULT_RETRY_SECONDS = 0.1
"""Retry delay after a refusal that states none."""

MAX_BASE64_RATIO = 2
"""Upper bound of the factor by which Base64 lengthens a payload."""

MAX_RECORD_FRAME_BYTES = 128
"""Maximum bytes of JSON around one payload."""


class HttpLog(Log):
    """The log at the address given in the settings."""

    def __init__(self, settings: Settings):
        """Make a client; it connects when it is first used."""
        self.settings = settings.platform.log
        self.caller = PlatformClient(
            self.settings.endpoint, self.settings.timeout_seconds
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self.caller.aclose()

    async def append(
        self, stream: StreamId, payload: bytes, deadline: Deadline
    ) -> LogOffset:
        """Append one record and return its offset.

        Raises:
            LogRecordTooLarge: It had no effect; no retry can succeed.
            LogUnavailable: It had no effect.
            LogTooFast: It had no effect.
            LogOutcomeUnknown: It may have taken effect, or may do so later.
        """
        if len(payload) > self.settings.max_record_bytes:
            raise LogRecordTooLarge(f"{len(payload)} bytes are too many")
        until = trio.current_time() + self.settings.timeout_seconds
        request = PlatformRequest(
            "POST", _path(stream), min(deadline, until), payload, OCTETS
        )
        try:
            reply = await self.caller.call(request)
        except CallFailed as failure:
            if failure.sent:
                raise LogOutcomeUnknown(str(failure)) from failure
            raise LogUnavailable(str(failure)) from failure
        return read_append_reply(reply)

    async def read(
        self,
        stream: StreamId,
        start: LogOffset,
        deadline: Deadline,
        wait_until: Deadline | None = None,
        max_records: int = 1000,
    ) -> LogPage:
        """Return records from `start` on.

        Raises:
            LogUnavailable: The log could not be reached in time.
            LogTruncated: `start` is before the first record kept.
        """
        now = trio.current_time()
        wait_seconds = 0.0
        if wait_until is not None:
            latest = deadline - REPLY_MARGIN_SECONDS
            wait_seconds = max(0.0, min(wait_until, latest) - now)
        query = urllib.parse.urlencode(
            {
                "from": start,
                "max": max_records,
                "wait_ms": int(wait_seconds * 1000),
            }
        )
        until = now + wait_seconds + self.settings.timeout_seconds
        max_payload_bytes = max(MAX_PAGE_BYTES, self.settings.max_record_bytes)
        request = PlatformRequest(
            "GET",
            f"{_path(stream)}?{query}",
            min(deadline, until),
            max_reply_bytes=MAX_BASE64_RATIO * max_payload_bytes
            + MAX_RECORD_FRAME_BYTES * (max_records + 1),
        )
        try:
            reply = await self.caller.call(request)
        except CallFailed as failure:
            raise LogUnavailable(str(failure)) from failure
        return read_page_reply(reply, start)


def _path(stream: StreamId) -> str:
    return "/streams/" + urllib.parse.quote(stream, safe="")


def read_append_reply(reply: PlatformReply) -> LogOffset:
    """Return the offset, or raise the error for a refusal."""
    if reply.status == OK:
        try:
            answer = APPEND_REPLY.validate_json(reply.body)
        except pydantic.ValidationError as error:
            raise LogOutcomeUnknown("the reply is malformed") from error
        return LogOffset(answer.offset)
    refusal = parse_error(reply.body)
    if refusal is None:
        raise LogOutcomeUnknown(f"status {reply.status} without a reason")
    if refusal.error is PlatformError.TOO_FAST:
        raise LogTooFast(_retry_at(refusal))
    if refusal.error is PlatformError.TOO_LARGE:
        raise LogRecordTooLarge(refusal.error.value)
    raise LogUnavailable(refusal.error.value)


def _retry_at(refusal: ErrorReply) -> Deadline:
    seconds = DEFAULT_RETRY_SECONDS
    if refusal.retry_after_ms is not None:
        seconds = refusal.retry_after_ms / 1000
    return Deadline(trio.current_time() + seconds)


def read_page_reply(reply: PlatformReply, start: LogOffset) -> LogPage:
    """Return the page from `start` on, or raise the error for a refusal."""
    if reply.status == OK:
        try:
            page = PAGE_REPLY.validate_json(reply.body)
            return _make_page(page, start)
        except (pydantic.ValidationError, binascii.Error) as error:
            raise LogUnavailable("the page is malformed") from error
    refusal = parse_error(reply.body)
    if refusal is None:
        raise LogUnavailable(f"status {reply.status} without a reason")
    if refusal.error is PlatformError.TRUNCATED and refusal.first is not None:
        raise LogTruncated(LogOffset(refusal.first))
    raise LogUnavailable(refusal.error.value)


def _make_page(page: PageReply, start: LogOffset) -> LogPage:
    if page.start != start:
        raise LogUnavailable("the page starts at another offset")
    records = [
        LogRecord(
            offset=LogOffset(start + position),
            payload=base64.b64decode(record.payload, validate=True),
            appended_at=WallTime(record.at),
        )
        for position, record in enumerate(page.records)
    ]
    return LogPage(records, LogOffset(page.first), LogOffset(page.end))
