"""Define the JSON bodies that the platform's services exchange over HTTP."""

import dataclasses
import enum
from typing import Annotated

import pydantic

MAX_PAGE_BYTES = 1 << 20
"""Maximum payload bytes in one page, unless a single record is larger."""

Offset = Annotated[int, pydantic.Field(ge=0, strict=True)]


class PlatformError(enum.Enum):
    """Why a platform service refused a call; the call had no effect.

    A refusal is valid only with one of these in its body, as a status alone
    may come from a proxy that does not know whether the call had an effect.
    """

    UNAVAILABLE = "unavailable"
    TOO_FAST = "too-fast"
    TRUNCATED = "truncated"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorReply:
    """The body of every refusal.

    Attributes:
        error: The reason.
        first: With `truncated`, the first offset still kept.
        retry_after_ms: With `too-fast`, when to try again, in ms from now.
    """

    error: PlatformError
    first: Offset | None = None
    retry_after_ms: Annotated[float, pydantic.Field(ge=0)] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """The body of a successful append.

    Attributes:
        offset: The offset of the record.
    """

    offset: Offset


@dataclasses.dataclass(frozen=True, slots=True)
class RecordBody:
    """One record of a page.

    Attributes:
        payload: The record, in Base64.
        at: When it was appended, in seconds since 1970.
    """

    payload: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PageReply:
    """The body of a successful read.

    Attributes:
        start: The offset of the first record here.
        first: The first offset the stream still keeps.
        end: The offset that the stream's next append will get.
        records: Consecutive records.
    """

    start: Offset
    first: Offset
    end: Offset
    records: list[RecordBody]


ERROR_REPLY = pydantic.TypeAdapter(ErrorReply)
APPEND_REPLY = pydantic.TypeAdapter(AppendReply)
PAGE_REPLY = pydantic.TypeAdapter(PageReply)


def parse_error(body: bytes) -> ErrorReply | None:
    """Return the refusal in `body`, or None if there is none."""
    try:
        return ERROR_REPLY.validate_json(body)
    except pydantic.ValidationError:
        return None
