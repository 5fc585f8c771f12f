"""Append one change to the log and determine the outcome."""

import trio

from agatetack.config.counters import AppendResult
from agatetack.config.records import CONFIG_STREAM
from agatetack.config.state import Waiter
from agatetack.config.tail import LogTail
from agatetack.ids import Deadline
from agatetack.record_log.log import (
    LogError,
    LogOutcomeUnknown,
    LogRecordTooLarge,
    LogTooFast,
    LogUnavailable,
)


class ChangeAppender:
    """Appends one change to the log until it is decided.

    All appends contain the same record, so the fold decides the first one in
    the log and ignores the others, in any order and no matter how late they
    are appended.

    Attributes:
        may_be_in_log: Whether any append may have taken effect or still may.
        too_large: Whether the record is too large for the log.
    """

    def __init__(self, tail: LogTail, payload: bytes, waiter: Waiter):
        """Write `payload` to the log that `tail` reads."""
        self.tail = tail
        self.counters = tail.state.counters
        self.payload = payload
        self.waiter = waiter
        self.may_be_in_log = False
        self.too_large = False

    async def run(self, deadline: Deadline) -> None:
        """Append until the change is decided or certainly not in the log."""
        while not self.waiter.settled.is_set():
            earlier_may_be_in_log = self.may_be_in_log
            # Stays true if this task is cancelled during the append.
            self.may_be_in_log = True
            try:
                await self.tail.log.append(
                    CONFIG_STREAM, self.payload, deadline
                )
            except LogTooFast as too_fast:
                self.may_be_in_log = earlier_may_be_in_log
                self.counters.count_append(AppendResult.TOO_FAST)
                await self._wait_until(too_fast.retry_at)
            except LogRecordTooLarge:
                self.may_be_in_log = earlier_may_be_in_log
                self.too_large = True
                return
            except LogUnavailable:
                self.may_be_in_log = earlier_may_be_in_log
                self.counters.count_append(AppendResult.UNAVAILABLE)
                if not earlier_may_be_in_log:
                    return
                await self._read_back()
            except LogOutcomeUnknown:
                self.counters.count_append(AppendResult.IN_DOUBT)
                await self._read_back()
            else:
                self.counters.count_append(AppendResult.DONE)
                await self._read_back()
                await self.waiter.settled.wait()

    async def _read_back(self) -> None:
        # Reads the log before the next append: if only the reply was lost,
        # another append would be harmless but add a needless record.
        while not self.waiter.settled.is_set():
            try:
                await self.tail.read_to_end()
            except LogError:
                pause = self.tail.settings.retry_seconds
                now = self.tail.clock.now()
                await self._wait_until(Deadline(now + pause))
            else:
                return

    async def _wait_until(self, when: Deadline) -> None:
        with trio.move_on_at(when):
            await self.waiter.settled.wait()
