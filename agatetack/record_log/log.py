"""Define the platform's append-only log as agatetack uses it."""

import abc
import dataclasses
from collections.abc import Sequence

from agatetack.ids import Deadline, LogOffset, StreamId, WallTime


class LogError(Exception):
    """An operation of the log failed."""


class LogUnavailable(LogError):
    """The log is unreachable or refused the call; an append had no effect."""


class LogRecordTooLarge(LogUnavailable):
    """The log accepts no record of this size; the append had no effect."""


class LogOutcomeUnknown(LogError):
    """An append was sent without a valid reply; it may still take effect."""


class LogTooFast(LogError):
    """The log accepts no more appends now; this one had no effect.

    Attributes:
        retry_at: When to try again.
    """

    def __init__(self, retry_at: Deadline):
        """Store when to try again."""
        super().__init__("the log takes no more appends now")
        self.retry_at = retry_at


class LogTruncated(LogError):
    """The records asked for are no longer kept.

    Attributes:
        first: The first offset still kept.
    """

    def __init__(self, first: LogOffset):
        """Store the first offset that can be read."""
        super().__init__(f"records before offset {first} are no longer kept")
        self.first = first


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record as the log holds it.

    Attributes:
        offset: Its position in the stream.
        payload: What was appended.
        appended_at: The log's wall clock when it was appended.
    """

    offset: LogOffset
    payload: bytes
    appended_at: WallTime


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """What one read returned.

    Attributes:
        records: Consecutive records, from the offset asked for.
        first: The first offset the stream still keeps.
        end: The offset that the stream's next append will get.
    """

    records: Sequence[LogRecord]
    first: LogOffset
    end: LogOffset


class Log(abc.ABC):
    """The platform's log. Every stream exists and starts empty."""

    @abc.abstractmethod
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

    @abc.abstractmethod
    async def read(
        self,
        stream: StreamId,
        start: LogOffset,
        deadline: Deadline,
        wait_until: Deadline | None = None,
        max_records: int = 1000,
    ) -> LogPage:
        """Return records from `start` on.

        Args:
            stream: The stream to read.
            start: The offset of the first record wanted.
            deadline: When to give up the call.
            wait_until: If there is no record yet, wait for one until then.
            max_records: Maximum number of records to return.

        Raises:
            LogUnavailable: The log could not be reached in time.
            LogTruncated: `start` is before the first record kept.
        """
