"""Resume a large answer with another target when it is cut off."""

import contextlib
import dataclasses
import enum

import trio
from returns.result import Failure

from agatetack.attempts.race import AttemptRunner
from agatetack.config.route import Route
from agatetack.download.ranges import (
    PARTIAL_STATUS,
    WHOLE_STATUS,
    ByteRange,
    answer_byte_range,
    strong_validator,
)
from agatetack.ids import Deadline
from agatetack.logs import PartLog
from agatetack.messages import (
    Answer,
    AnswerCut,
    AnswerOverdue,
    Body,
    CallerRequest,
    Header,
)
from agatetack.metrics import Metrics
from agatetack.outcomes import RetryReason

MAX_RESUMES_WITHOUT_PROGRESS = 3
"""Resumptions in a row without a new byte before the answer is cut."""

RANGE_HEADERS = frozenset({b"range", b"if-range"})

log = PartLog("download")


class CutReason(enum.Enum):
    """Why a cut answer could not be resumed."""

    NOT_REPEATABLE = "not-repeatable"
    NO_VALIDATOR = "no-validator"
    NO_LENGTH = "no-length"
    FRUITLESS = "fruitless"
    REFUSED = "refused"
    CHANGED = "changed"
    WRONG_RANGE = "wrong-range"
    DEADLINE = "deadline"


class ResumingBody(Body):
    """A body that is resumed with another target when it is cut off.

    Attributes:
        position: Bytes given to the caller so far.
        byte_range: The byte range that the first answer announced.
    """

    def __init__(
        self,
        route: Route,
        request: CallerRequest,
        answer: Answer,
        attempts: AttemptRunner,
        metrics: Metrics,
    ):
        """Read the body of `answer`, the first one to `request`."""
        self.route = route
        self.request = request
        self.attempts = attempts
        self.metrics = metrics
        self.body = answer.body
        self.length = answer.body.length
        self.validator = strong_validator(answer.headers)
        self.byte_range = answer_byte_range(
            answer.status, answer.headers, answer.body.length
        )
        self.position = 0
        self.resumes_without_progress = 0

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of it are in memory."""
        return self.body.held_bytes

    def receive_nowait(self) -> bytes | None:
        """Return the bytes already received, or None."""
        data = self.body.receive_nowait()
        if data:
            self._advance(data)
        return data

    async def receive(self) -> bytes:
        """Return the next bytes, or `b""` at the verified end.

        Raises:
            AnswerCut: The answer was cut off and could not be resumed.
        """
        while True:
            try:
                data = await self.body.receive()
            except AnswerOverdue as error:
                raise self._cut_error(CutReason.DEADLINE) from error
            except AnswerCut:
                await self._resume()
                continue
            if not data and not self._is_whole():
                await self._resume()
                continue
            self._advance(data)
            return data

    def _advance(self, data: bytes) -> None:
        self.position += len(data)
        if data:
            self.resumes_without_progress = 0

    def _is_whole(self) -> bool:
        return self.length is None or self.position == self.length

    async def _resume(self) -> None:
        await self.body.aclose()
        self._check_resumable()
        self.resumes_without_progress += 1
        self.metrics.retried(self.route.id, RetryReason.RESUME)
        log.request(
            self.request.request_id,
            "Resuming at byte %d with another target.",
            self.position,
        )
        result = await self.attempts.run(
            self.route, self._range_request(), hedged=False
        )
        if isinstance(result, Failure):
            raise self._cut_error(CutReason.REFUSED)
        await self._continue_with(result.unwrap())

    def _check_resumable(self) -> None:
        if self.request.method != b"GET" or self.request.body.length != 0:
            # Ranges are defined for GET alone (RFC 9110, 14.2), and a target
            # must not get another body than the caller's.
            raise self._cut_error(CutReason.NOT_REPEATABLE)
        if self.byte_range is None:
            raise self._cut_error(CutReason.NO_LENGTH)
        if self.validator is None:
            raise self._cut_error(CutReason.NO_VALIDATOR)
        if self.resumes_without_progress >= MAX_RESUMES_WITHOUT_PROGRESS:
            raise self._cut_error(CutReason.FRUITLESS)
        if self._deadline() <= trio.current_time():
            raise self._cut_error(CutReason.DEADLINE)

    def _deadline(self) -> Deadline:
        """Return when the next answer must have begun.

        A deadline set by the caller holds for the whole download. A route's
        deadline starts again at each resumption, as it limits the time until
        an answer begins, not until it ends; its timeout does not.
        """
        if self.request.deadline_given:
            return self.request.deadline
        begun_by = Deadline(trio.current_time() + self.route.deadline_seconds)
        if not self.route.timeout_seconds:
            return begun_by
        latest = Deadline(self.request.arrived + self.route.timeout_seconds)
        return min(begun_by, latest)

    def _range_request(self) -> CallerRequest:
        first = self.byte_range.first + self.position
        headers = [
            header
            for header in self.request.headers
            if header.name not in RANGE_HEADERS
        ]
        span = b"bytes=%d-%d" % (first, self.byte_range.last)
        headers.append(Header(b"range", span))
        headers.append(Header(b"if-range", self.validator))
        return dataclasses.replace(
            self.request, headers=headers, deadline=self._deadline()
        )

    async def _continue_with(self, answer: Answer) -> None:
        reason = self._mismatch(answer)
        if reason is not None:
            await answer.aclose()
            raise self._cut_error(reason)
        self.body = answer.body
        if answer.status == WHOLE_STATUS:
            # If the body is cut off while it is skipped, the next read
            # raises the error again and resumes.
            with contextlib.suppress(AnswerCut):
                await self._skip(self.position)

    def _mismatch(self, answer: Answer) -> CutReason | None:
        """Return why `answer` can't continue the body, or None if it can."""
        if strong_validator(answer.headers) != self.validator:
            return CutReason.CHANGED
        byte_range = answer_byte_range(
            answer.status, answer.headers, answer.body.length
        )
        if answer.status == PARTIAL_STATUS:
            first = self.byte_range.first + self.position
            wanted = ByteRange(
                first, self.byte_range.last, self.byte_range.total
            )
            return None if byte_range == wanted else CutReason.WRONG_RANGE
        # A target without range support sends the whole resource again. The
        # bytes that the caller has are skipped, which is right only if the
        # caller asked for the whole resource.
        if byte_range is not None and byte_range == self.byte_range:
            return None
        return CutReason.WRONG_RANGE

    async def _skip(self, count: int) -> None:
        """Drop `count` bytes that the caller already has."""
        left = count
        while left > 0:
            data = await self.body.receive()
            if not data:
                return
            if len(data) > left:
                self.body = _PrefixedBody(data[left:], self.body)
            left -= len(data)

    def _cut_error(self, reason: CutReason) -> AnswerCut:
        self.metrics.dropped.inc({"part": "download", "reason": reason.value})
        log.request(
            self.request.request_id,
            "The answer is cut at byte %d: %s.",
            self.position,
            reason.value,
        )
        return AnswerCut(reason.value)

    async def aclose(self) -> None:
        """Release the connection that is being read."""
        await self.body.aclose()


class _PrefixedBody(Body):
    """Bytes received already, followed by the body they came from."""

    def __init__(self, prefix: bytes, body: Body):
        """Return `prefix` before the bytes of `body`."""
        self.prefix = prefix
        self.body = body

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of it are in memory."""
        return len(self.prefix) + self.body.held_bytes

    async def receive(self) -> bytes:
        """Return the prefix, then the bytes of the body."""
        if self.prefix:
            prefix, self.prefix = self.prefix, b""
            return prefix
        return await self.body.receive()

    async def aclose(self) -> None:
        """Close the body."""
        await self.body.aclose()
